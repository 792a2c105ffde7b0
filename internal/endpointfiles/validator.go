// Package endpointfiles parses list files and decides whether the list that they make up is accepted. It is accepted if
// it is complete, newer than the list in force, and plausible. The package does no I/O, reads no clock and starts no
// goroutines. docs/watched-files.md explains the reasons for the rules.
package endpointfiles

import (
	"cmp"
	"slices"

	"pepperlead/policy"
)

// Limits are the limits that lists must comply with.
type Limits struct {
	MaxRemovedShare float64     // share of the ready weight that a list may remove without declaring it
	SettleTime      policy.Time // how long a file that has no digest, or is invalid, must stay unchanged
	MissingTime     policy.Time // how long a file must be missing before its endpoints are removed
	RequireDigest   bool        // files without a digest are rejected
	RequiredFiles   []string    // files that must exist
	DrainMemory     policy.Time // how long a drain is remembered after the endpoint was last listed
}

// Verdict is the decision on the current content of all files.
type Verdict uint8

// The verdicts.
const (
	Unchanged Verdict = iota // the files are those in force
	Wait                     // a file may still be being written
	Rejected                 // the files are not used, and the list in force stays
	Accepted                 // the files are in force from now on
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Unchanged:
		return "unchanged"
	case Wait:
		return "wait"
	case Rejected:
		return "rejected"
	case Accepted:
		return "accepted"
	default:
		return "unknown"
	}
}

// Result is a verdict with its details.
type Result struct {
	Verdict   Verdict
	Reason    string      // set for Wait and Rejected
	RecheckAt policy.Time // set for Wait: when to read the files again at the latest
	Entries   []Entry     // set for Accepted: the full list, sorted by uid
}

// Validator holds the list in force and decides whether a new list replaces it.
type Validator struct {
	limits       Limits
	digests      map[string]Digest // digests of the files in force, by name; nil after a restart
	current      map[string]Entry  // the list in force, by uid; empty: there is none yet
	state        State
	observed     map[string]observation // the files last read, by name
	missingSince map[string]policy.Time // since when files in force are missing, by name
}

// observation is the digest of a file, and the time since which the file has that digest.
type observation struct {
	digest Digest
	since  policy.Time
}

// New returns a validator with no list in force.
func New(limits Limits) *Validator {
	return &Validator{
		limits:       limits,
		current:      map[string]Entry{},
		state:        State{Issues: map[string]Issue{}, Drains: map[string]Drain{}},
		observed:     map[string]observation{},
		missingSince: map[string]policy.Time{},
	}
}

// Evaluate decides whether the given files, which must be all list files, are put in force. The time must not decrease
// between calls.
func (v *Validator) Evaluate(now policy.Time, files []File) Result {
	slices.SortFunc(files, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	if reason, until := v.unsettled(now, files); reason != "" {
		return Result{Verdict: Wait, Reason: reason, RecheckAt: until}
	}
	if v.unchanged(files) {
		return Result{Verdict: Unchanged}
	}
	if reason := v.findFault(now, files); reason != "" {
		return Result{Verdict: Rejected, Reason: reason}
	}
	return Result{Verdict: Accepted, Entries: v.accept(now, files)}
}

// unsettled returns why a file may still be being written, and the earliest time at which that may have changed; an
// empty reason if none is. While an editor writes a file in place, the file may be empty, truncated, or new at its
// start and old at its end. While a file is replaced, it may be missing for a moment.
func (v *Validator) unsettled(now policy.Time, files []File) (reason string, until policy.Time) {
	waitUntil := func(cause string, time policy.Time) {
		if now < time && (reason == "" || time < until) {
			reason = cause
			until = time
		}
	}
	v.observe(now, files)
	for _, file := range files {
		if (file.Problem != "" || !file.Sealed) && !v.inForce(file) {
			waitUntil(file.Name+": changed recently", v.observed[file.Name].since+v.limits.SettleTime)
		}
	}
	for name := range v.digests {
		if since, missing := v.missingSince[name]; missing {
			waitUntil(name+": went missing recently", since+v.limits.MissingTime)
		}
	}
	return reason, until
}

// observe records since when files have their content, and since when files in force are missing.
func (v *Validator) observe(now policy.Time, files []File) {
	present := map[string]bool{}
	for _, file := range files {
		present[file.Name] = true
		delete(v.missingSince, file.Name)
		if last, known := v.observed[file.Name]; !known || last.digest != file.Digest {
			v.observed[file.Name] = observation{file.Digest, now}
		}
	}
	for name := range v.observed {
		if !present[name] {
			delete(v.observed, name)
		}
	}
	for name := range v.digests {
		if _, known := v.missingSince[name]; !known && !present[name] {
			v.missingSince[name] = now
		}
	}
}

// unchanged reports whether the files are those in force.
func (v *Validator) unchanged(files []File) bool {
	if v.digests == nil || len(files) != len(v.digests) {
		return false
	}
	for _, file := range files {
		digest, known := v.digests[file.Name]
		if !known || digest != file.Digest || file.Problem != "" {
			return false
		}
	}
	return true
}

// inForce reports whether a file has the content that is in force.
func (v *Validator) inForce(file File) bool {
	return v.digests != nil && v.digests[file.Name] == file.Digest
}

// accept puts the files in force and returns their list.
func (v *Validator) accept(now policy.Time, files []File) []Entry {
	v.digests = map[string]Digest{}
	v.current = map[string]Entry{}
	var list []Entry
	for _, file := range files {
		v.digests[file.Name] = file.Digest
		v.state.Issues[file.Name] = file.Issue
		for _, entry := range file.Entries {
			list = append(list, entry)
			v.current[entry.UID] = entry
			v.state.recordStatus(now, entry)
		}
	}
	v.forget(now)
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.UID, b.UID) })
	return list
}
