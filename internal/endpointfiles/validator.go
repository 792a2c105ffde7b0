// Package endpointfiles parses list files and decides whether the list that they make up is accepted: whether it is
// complete, newer than the one in force, and plausible. It does no I/O, reads no clock and starts no goroutines.
// docs/watched-files.md gives the reasons for its rules.
package endpointfiles

import (
	"cmp"
	"slices"

	"pepperlead/policy"
)

// Limits are the bounds that lists must keep to.
type Limits struct {
	MaxRemovedShare float64     // share of the ready weight that a list may remove without declaring it
	SettleTime      policy.Time // for which a file that has no digest, or is invalid, must stay unchanged
	MissingTime     policy.Time // for which a file must be missing before its endpoints are removed
	RequireDigest   bool        // files without a digest are rejected
	RequiredFiles   []string    // files that must exist
	DrainMemory     policy.Time // for which a drain is remembered after the endpoint was last listed
}

// Verdict is the decision about a reading of all files.
type Verdict uint8

// The verdicts.
const (
	Unchanged Verdict = iota // the list is in force already
	Wait                     // a file may still be being written
	Rejected                 // the list in force stays
	Accepted                 // the list is in force from now on
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
	Reason    string      // of Wait and Rejected
	LookAgain policy.Time // of Wait: when to read the files again at the latest
	Entries   []Entry     // of Accepted: the full list, by uid
}

// Validator holds the list in force and decides about those that may follow it.
type Validator struct {
	limits       Limits
	digests      map[string]Digest // of the files in force, by name; nil after a restart
	current      map[string]Entry  // the list in force, by uid; empty: there is none yet
	state        State
	observed     map[string]observation // the files last read, by name
	missingSince map[string]policy.Time // files in force that are missing, by name
}

// observation is a content of a file, and since when the file has it.
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

// Evaluate decides about a reading of all files. Time must not go back between calls.
func (v *Validator) Evaluate(now policy.Time, files []File) Result {
	slices.SortFunc(files, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	if reason, until := v.unsettled(now, files); reason != "" {
		return Result{Verdict: Wait, Reason: reason, LookAgain: until}
	}
	if v.unchanged(files) {
		return Result{Verdict: Unchanged}
	}
	if reason := v.findFault(now, files); reason != "" {
		return Result{Verdict: Rejected, Reason: reason}
	}
	return Result{Verdict: Accepted, Entries: v.accept(now, files)}
}

// unsettled returns why a file may still be being written, and until when at least; empty if none is. An editor that
// writes in place shows a file that is empty, truncated, or new at its start and old at its end; one that renames a new
// file shows a moment without a file.
func (v *Validator) unsettled(now policy.Time, files []File) (reason string, until policy.Time) {
	waitUntil := func(why string, time policy.Time) {
		if now < time && (reason == "" || time < until) {
			reason = why
			until = time
		}
	}
	v.observe(now, files)
	for _, file := range files {
		if (file.Problem != "" || !file.Sealed) && !v.inForce(file) {
			waitUntil(file.Name+": changed just now", v.observed[file.Name].since+v.limits.SettleTime)
		}
	}
	for name := range v.digests {
		if since, missing := v.missingSince[name]; missing {
			waitUntil(name+": missing just now", since+v.limits.MissingTime)
		}
	}
	return reason, until
}

// observe notes which files have changed and which are missing.
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
			v.state.noteStatus(now, entry)
		}
	}
	v.forget(now)
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.UID, b.UID) })
	return list
}
