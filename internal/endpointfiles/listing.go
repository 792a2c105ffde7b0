// Package listing decides whether a list of servers that was read from files becomes the truth: whether it is whole, newer
// than the one in force, and plausible. It does no I/O, has no clock and starts nothing; docs/watched-files.md gives the
// reasons.
package endpointfiles

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pepperlead/policy"
)

// Entry is a server as a list names it, and where it is.
type Entry struct {
	policy.Member
	UID, Addr string
}

// EndpointID gives the id under which the module knows a server.
func EndpointID(uid string) policy.EndpointID { return policy.EndpointID(xxhash.Sum64String(uid)) }

// Digest tells one content of a file from another.
type Digest uint64

// Issue is the number that a list file gives itself; 0: it is not numbered.
type Issue int64

// File is one file of a list as it was read.
type File struct {
	Name    string
	Digest  Digest
	Problem string // why it cannot be used; "": it is whole
	Sealed  bool   // it carries a digest, which holds
	Issue   Issue
	Removes int // ready servers that it says it takes away
	Entries []Entry
}

// Limits are the bounds that lists are held to.
type Limits struct {
	MaxRemovedShare float64     // part of the ready weight that a list may take away without saying so
	SettleTime      policy.Time // a file without a digest, or a spoilt one, must hold still for so long before it counts
	MissingTime     policy.Time // a file must be gone for so long before its servers are
	RequireDigest   bool        // a file without a digest is never taken
	RequiredFiles   []string    // files that must be there
	DrainMemory     policy.Time // a drain is remembered for so long after its server was last named
}

// Verdict is what becomes of a reading.
type Verdict uint8

const (
	Unchanged Verdict = iota // it is in force already
	Wait                     // it may still be in the making: look again
	Rejected                 // the list in force stays
	Accepted
)

// Result is a verdict and the reasons for it.
type Result struct {
	Verdict   Verdict
	Reason    string      // Wait, Refused
	LookAgain policy.Time // Wait: when to look at the latest
	Entries   []Entry     // Taken: the whole list, by id
}

// Drain is what is remembered of a server told to be draining.
type Drain struct {
	FirstListed policy.Time // when it was first told
	LastListed  policy.Time // when a list last named it
}

// State is what must survive a restart for the rules to go on holding.
type State struct {
	Issues map[string]Issue
	Drains map[string]Drain // by uid
}

// seen is the content that a file was last found to have, and since when.
type seen struct {
	mark Digest
	at   policy.Time
}

// mostDrains bounds the memory of drains; beyond it the oldest are forgotten.
const mostDrains = 1 << 16

// mostNames bounds the memory of the issues of files; beyond it those of files that are gone are forgotten.
const mostNames = 1 << 12

// Validator holds the list in force and judges what might follow it. The zero of in means that none is in force yet.
type Validator struct {
	terms  Limits
	marks  map[string]Digest // of the files in force; nil after a restart
	in     map[string]Entry
	memo   State
	seen   map[string]seen
	absent map[string]policy.Time
}

// New makes a keeper with no list in force.
func New(terms Limits) *Validator {
	return &Validator{terms: terms, in: map[string]Entry{}, seen: map[string]seen{}, absent: map[string]policy.Time{},
		memo: State{Issues: map[string]Issue{}, Drains: map[string]Drain{}}}
}

// Resume puts a list saved earlier in force, with what was remembered beside it.
func (k *Validator) Resume(entries []Entry, memo State) {
	for _, e := range entries {
		k.in[e.UID] = e
	}
	maps.Copy(k.memo.Issues, memo.Issues)
	maps.Copy(k.memo.Drains, memo.Drains)
}

// State gives a copy of what must survive.
func (k *Validator) State() State { return State{maps.Clone(k.memo.Issues), maps.Clone(k.memo.Drains)} }

// Evaluate judges a reading of all the files. Moments never go back.
func (k *Validator) Evaluate(now policy.Time, files []File) Result {
	slices.SortFunc(files, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	if why, again := k.settled(now, files); why != "" {
		return Result{Verdict: Wait, Reason: why, LookAgain: again}
	}
	if k.unchanged(files) {
		return Result{Verdict: Unchanged}
	}
	if why := k.fault(now, files); why != "" {
		return Result{Verdict: Rejected, Reason: why}
	}
	return Result{Verdict: Accepted, Entries: k.take(now, files)}
}

// settled tells why the files may still be in the making, and until when. An editor that writes in place shows a file that
// is empty, cut short, or new at its head and old at its tail; one that renames shows for a moment that there is none.
func (k *Validator) settled(now policy.Time, files []File) (why string, again policy.Time) {
	later := func(reason string, at policy.Time) {
		if now < at && (why == "" || at < again) {
			why, again = reason, at
		}
	}
	there := map[string]bool{}
	for _, f := range files {
		there[f.Name] = true
		delete(k.absent, f.Name)
		if was, known := k.seen[f.Name]; !known || was.mark != f.Digest {
			k.seen[f.Name] = seen{f.Digest, now}
		}
		if (f.Problem != "" || !f.Sealed) && !(k.marks != nil && k.marks[f.Name] == f.Digest) {
			later(f.Name+": changed just now", k.seen[f.Name].at+k.terms.SettleTime)
		}
	}
	for name := range k.seen {
		if !there[name] {
			delete(k.seen, name)
		}
	}
	for name := range k.marks {
		if there[name] {
			continue
		}
		if _, known := k.absent[name]; !known {
			k.absent[name] = now
		}
		later(name+": missing just now", k.absent[name]+k.terms.MissingTime)
	}
	return why, again
}

func (k *Validator) unchanged(files []File) bool {
	return k.marks != nil && len(files) == len(k.marks) && !slices.ContainsFunc(files, func(f File) bool {
		mark, known := k.marks[f.Name]
		return !known || mark != f.Digest || f.Problem != ""
	})
}

// fault says what speaks against a reading that has settled; "" if nothing does.
func (k *Validator) fault(now policy.Time, files []File) string {
	if len(files) == 0 {
		return "no list file is there"
	}
	for _, f := range files {
		if f.Problem != "" {
			return f.Problem
		}
		if k.terms.RequireDigest && !f.Sealed {
			return f.Name + ": carries no digest, and only sealed lists are taken: seal it"
		}
		was, changed := k.memo.Issues[f.Name], k.marks == nil || k.marks[f.Name] != f.Digest
		switch {
		case f.Issue < was:
			return fmt.Sprintf("%s: issue: found %d, allowed from %d on: an older list than the one in force", f.Name, f.Issue, was)
		case f.Issue == was && was > 0 && changed && k.marks != nil:
			return fmt.Sprintf("%s: issue: found %d again with other content, allowed from %d on: seal it anew", f.Name, f.Issue, was+1)
		}
	}
	for _, name := range k.terms.RequiredFiles {
		if !slices.ContainsFunc(files, func(f File) bool { return f.Name == name }) {
			return name + ": missing"
		}
	}
	if why := conflict(files); why != "" {
		return why
	}
	if why := k.returned(now, files); why != "" {
		return why
	}
	return k.shrunk(files)
}

// conflict finds two servers under one id, or two ready ones at one address.
func conflict(files []File) string {
	byUID, byAddr, byID := map[string]string{}, map[string]string{}, map[policy.EndpointID]string{}
	for _, f := range files {
		for _, e := range f.Entries {
			if in, twice := byUID[e.UID]; twice {
				return fmt.Sprintf("%s: server %q stands in %s too: each id is allowed once", f.Name, e.UID, in)
			}
			if other, twice := byID[e.ID]; twice {
				return fmt.Sprintf("%s: servers %q and %q have one hash: give one another id", f.Name, e.UID, other)
			}
			byUID[e.UID], byID[e.ID] = f.Name, e.UID
			if e.Status != policy.Ready {
				continue
			}
			if other, twice := byAddr[e.Addr]; twice {
				return fmt.Sprintf("%s: servers %q and %q are both ready at %s", f.Name, other, e.UID, e.Addr)
			}
			byAddr[e.Addr] = e.UID
		}
	}
	return ""
}

// returned finds a server that was told draining and is now ready without a reason: an old copy of the list put back would
// look just so, and what drains must get nothing new. A later start is a reason, and so is a higher issue.
func (k *Validator) returned(now policy.Time, files []File) string {
	for _, f := range files {
		if f.Issue > k.memo.Issues[f.Name] {
			continue
		}
		for _, e := range f.Entries {
			d, drained := k.memo.Drains[e.UID]
			if drained && e.Status == policy.Ready && e.Started <= d.FirstListed && now-d.LastListed < k.terms.DrainMemory {
				return fmt.Sprintf("%s: server %q was told draining and is ready again: allowed with a later start (started) "+
					"or in a list of a higher issue", f.Name, e.UID)
			}
		}
	}
	return ""
}

// shrunk finds a list that takes away more of what is ready than it may: more likely a slip than a wish.
func (k *Validator) shrunk(files []File) string {
	if ready(files) == 0 && k.marks == nil && len(k.in) == 0 {
		return "the list names no ready server"
	}
	stays, says := map[string]bool{}, 0
	for _, f := range files {
		if k.marks == nil || k.marks[f.Name] != f.Digest {
			says += f.Removes // one that is in force already has had its say
		}
		for _, e := range f.Entries {
			stays[e.UID] = e.Status == policy.Ready
		}
	}
	count, before, weight, lost := 0, 0, 0.0, 0.0
	for _, uid := range slices.Sorted(maps.Keys(k.in)) {
		e := k.in[uid]
		if e.Status != policy.Ready {
			continue
		}
		before++
		weight += e.Weight
		if !stays[uid] {
			count++
			lost += e.Weight
		}
	}
	if count > says && (lost > k.terms.MaxRemovedShare*weight || ready(files) == 0) {
		return fmt.Sprintf("the list takes away %d of %d ready servers, %.0f%% of the weight, allowed %.0f%%: it must say so "+
			"(takes_away = %d)", count, before, 100*lost/max(weight, 1e-300), 100*k.terms.MaxRemovedShare, count)
	}
	return ""
}

func ready(files []File) int {
	n := 0
	for _, f := range files {
		for _, e := range f.Entries {
			if e.Status == policy.Ready {
				n++
			}
		}
	}
	return n
}

// take puts the files in force.
func (k *Validator) take(now policy.Time, files []File) []Entry {
	k.marks, k.in = map[string]Digest{}, map[string]Entry{}
	var all []Entry
	for _, f := range files {
		k.marks[f.Name] = f.Digest
		k.memo.Issues[f.Name] = f.Issue
		for _, e := range f.Entries {
			all = append(all, e)
			k.in[e.UID] = e
			d, drained := k.memo.Drains[e.UID]
			switch {
			case e.Status == policy.Ready:
				delete(k.memo.Drains, e.UID)
			case drained:
				k.memo.Drains[e.UID] = Drain{d.FirstListed, now}
			default:
				k.memo.Drains[e.UID] = Drain{now, now}
			}
		}
	}
	k.forget(now)
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.UID, b.UID) })
	return all
}

// forget lets go of drains of servers that no list has named for long, and of the oldest where there are too many.
func (k *Validator) forget(now policy.Time) {
	maps.DeleteFunc(k.memo.Drains, func(uid string, d Drain) bool {
		_, named := k.in[uid]
		return !named && now-d.LastListed >= k.terms.DrainMemory
	})
	if len(k.memo.Issues) > mostNames {
		maps.DeleteFunc(k.memo.Issues, func(name string, _ Issue) bool { _, there := k.marks[name]; return !there })
	}
	over := len(k.memo.Drains) - mostDrains
	if over <= 0 {
		return
	}
	uids := slices.SortedFunc(maps.Keys(k.memo.Drains), func(a, b string) int {
		return cmp.Or(cmp.Compare(k.memo.Drains[a].LastListed, k.memo.Drains[b].LastListed), cmp.Compare(a, b))
	})
	for _, uid := range uids[:over] {
		delete(k.memo.Drains, uid)
	}
}
