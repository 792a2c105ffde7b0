package endpointfiles

import (
	"cmp"
	"fmt"
	"maps"
	old "math/rand"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/quick"

	"pepperlead/policy"
)

// model is a second implementation of the validator's rules. It keeps the complete history and computes every verdict from it with plain
// loops.
type model struct {
	limits  Limits
	history []reading
}

type reading struct {
	now      policy.Time
	files    []File
	accepted bool
}

// last returns the last accepted reading, or nil if there is none.
func (m *model) last() *reading {
	for i := len(m.history) - 1; i >= 0; i-- {
		if m.history[i].accepted {
			return &m.history[i]
		}
	}
	return nil
}

func find(files []File, name string) *File {
	for i := range files {
		if files[i].Name == name {
			return &files[i]
		}
	}
	return nil
}

// since returns the time of the first of the consecutive readings, up to the last one, for which the condition holds.
func (m *model) since(condition func(reading) bool) policy.Time {
	at := m.history[len(m.history)-1].now
	for i := len(m.history) - 1; i >= 0 && condition(m.history[i]); i-- {
		at = m.history[i].now
	}
	return at
}

func (m *model) evaluate(now policy.Time, files []File) Verdict {
	m.history = append(m.history, reading{now: now, files: files})
	this, last := &m.history[len(m.history)-1], m.last()
	inForce := func(name string) *File {
		if last == nil {
			return nil
		}
		return find(last.files, name)
	}
	// Check whether a file may still be being written.
	for _, f := range files {
		if was := inForce(f.Name); was != nil && was.Digest == f.Digest || f.Sealed && f.Problem == "" {
			continue
		}
		same := func(r reading) bool { g := find(r.files, f.Name); return g != nil && g.Digest == f.Digest }
		if now < m.since(same)+m.limits.SettleTime {
			return Wait
		}
	}
	same := last != nil && len(files) == len(last.files)
	if last != nil {
		for _, f := range last.files {
			g := find(files, f.Name)
			if g == nil && now < m.since(func(r reading) bool { return find(r.files, f.Name) == nil })+m.limits.MissingTime {
				return Wait
			}
			same = same && g != nil && g.Digest == f.Digest
		}
	}
	if same {
		return Unchanged
	}
	// Check whether the list is complete, newer than the one in force, and plausible.
	ids, addrs, ready := map[string]int{}, map[string]int{}, map[string]bool{}
	declared := 0
	for _, f := range files {
		issue := Issue(0)
		for _, r := range m.history {
			if g := find(r.files, f.Name); r.accepted && g != nil {
				issue = g.Issue
			}
		}
		was := inForce(f.Name)
		if f.Problem != "" || m.limits.RequireDigest && !f.Sealed || f.Issue < issue ||
			f.Issue == issue && issue > 0 && last != nil && (was == nil || was.Digest != f.Digest) {
			return Rejected
		}
		if was == nil || was.Digest != f.Digest {
			declared += f.Removes
		}
		for _, e := range f.Entries {
			ids[e.UID]++
			if e.Status == policy.Ready {
				addrs[e.Addr]++
				ready[e.UID] = true
				if f.Issue <= issue && m.drained(now, e) {
					return Rejected
				}
			}
		}
	}
	for _, n := range slices.Concat(slices.Collect(maps.Values(ids)), slices.Collect(maps.Values(addrs))) {
		if n > 1 {
			return Rejected
		}
	}
	for _, name := range m.limits.RequiredFiles {
		if find(files, name) == nil {
			return Rejected
		}
	}
	removedWeight, weight, removed := 0.0, 0.0, 0
	if last != nil {
		for _, f := range last.files {
			for _, e := range f.Entries {
				if e.Status == policy.Ready {
					weight += e.Weight
					if !ready[e.UID] {
						removed++
						removedWeight += e.Weight
					}
				}
			}
		}
	}
	noneReady := len(ready) == 0
	if len(files) == 0 || last == nil && noneReady || removed > declared && (removedWeight > m.limits.MaxRemovedShare*weight || noneReady) {
		return Rejected
	}
	this.accepted = true
	return Accepted
}

// drained reports whether the endpoint must not be ready again: the accepted lists have it as draining, DrainMemory has not passed since,
// and it has not started again.
func (m *model) drained(now policy.Time, e Entry) bool {
	firstListed, lastListed := policy.Time(-1), policy.Time(-1)
	for _, r := range m.history {
		if !r.accepted {
			continue
		}
		if firstListed >= 0 && r.now-lastListed >= m.limits.DrainMemory && !slices.ContainsFunc(r.files, func(f File) bool {
			return slices.ContainsFunc(f.Entries, func(x Entry) bool { return x.UID == e.UID })
		}) {
			firstListed = -1
		}
		for _, f := range r.files {
			for _, x := range f.Entries {
				switch {
				case x.UID != e.UID:
				case x.Status == policy.Ready:
					firstListed = -1
				default:
					if lastListed = r.now; firstListed < 0 {
						firstListed = r.now
					}
				}
			}
		}
	}
	return firstListed >= 0 && e.Started <= firstListed && now-lastListed < m.limits.DrainMemory
}

// edit makes a random change to one of the files, valid or not.
func edit(rnd *rand.Rand, now policy.Time, files map[string]File) {
	name := fmt.Sprint("f", rnd.IntN(3))
	f, exists := files[name]
	f.Name, f.Entries = name, slices.Clone(f.Entries)
	f.Digest = Digest(rnd.Uint64())
	f.Problem = ""
	if f.Removes = 0; rnd.IntN(8) == 0 {
		f.Removes = rnd.IntN(4)
	}
	switch change := rnd.IntN(12); {
	case change == 0 && exists:
		delete(files, name)
		return
	case change == 1:
		f.Problem = name + ": broken"
		files[name] = f
		return
	case change == 2 && rnd.IntN(3) == 0:
		f.Entries = nil
	case change < 5 && len(f.Entries) > 0:
		i := rnd.IntN(len(f.Entries))
		f.Entries = slices.Delete(f.Entries, i, i+1)
	case change < 8 && len(f.Entries) > 0:
		e := &f.Entries[rnd.IntN(len(f.Entries))]
		if e.Status = policy.EndpointStatus(rnd.IntN(2)); rnd.IntN(3) == 0 {
			e.Started = now
		}
	case change < 9 && len(f.Entries) > 0:
		f.Entries[rnd.IntN(len(f.Entries))].Weight = 1 + float64(rnd.IntN(4))
	default:
		n := rnd.IntN(12)
		uid := fmt.Sprint("s", n)
		f.Entries = append(f.Entries, Entry{UID: uid, Addr: fmt.Sprint("a", n-rnd.IntN(20)/19),
			Member: policy.Member{ID: EndpointID(uid), Weight: 1}})
	}
	f.Sealed = rnd.IntN(3) == 0
	if f.Issue > 0 || rnd.IntN(4) == 0 {
		f.Issue += Issue(rnd.IntN(4)) - Issue(rnd.IntN(8)/7)
		f.Issue = max(f.Issue, 0)
	}
	files[name] = f
}

// Compares the validator's verdicts with those of the model, over random histories of changes.
func TestValidatorMatchesModel(t *testing.T) {
	var seen [Accepted + 1]int
	history := func(seed uint64) bool {
		rnd := rand.New(rand.NewPCG(seed, 1))
		limits := Limits{MaxRemovedShare: []float64{0, 0.4, 1}[rnd.IntN(3)], SettleTime: policy.Time(rnd.IntN(4)) * 100,
			MissingTime: policy.Time(rnd.IntN(4)) * 200, DrainMemory: 3000, RequireDigest: rnd.IntN(8) == 0}
		if rnd.IntN(4) == 0 {
			limits.RequiredFiles = []string{"f0"}
		}
		validator, reference := New(limits), &model{limits: limits}
		files, copied := map[string]File{}, map[string]File{}
		now := policy.Time(1000)
		var current []Entry
		for step := range 60 {
			now += policy.Time(rnd.IntN(300))
			switch rnd.IntN(8) {
			case 0:
				copied = maps.Clone(files)
			case 1:
				files = maps.Clone(copied) // an old copy is put back
			case 2, 3: // read again
			default:
				edit(rnd, now, files)
			}
			read := slices.SortedFunc(maps.Values(files), func(a, b File) int { return len(a.Name) - len(b.Name) })
			got, want := validator.Evaluate(now, slices.Clone(read)), reference.evaluate(now, slices.Clone(read))
			seen[got.Verdict]++
			if got.Verdict != want {
				t.Logf("seed %d step %d: got verdict %d (%s), the model's is %d", seed, step, got.Verdict, got.Reason, want)
				return false
			}
			if got.Verdict == Wait && got.RecheckAt <= now || (got.Reason == "") != (got.Verdict == Unchanged || got.Verdict == Accepted) {
				t.Logf("seed %d step %d: %+v at %d", seed, step, got, now)
				return false
			}
			if got.Verdict != Accepted {
				continue
			}
			current = nil
			for _, f := range read {
				current = append(current, f.Entries...)
			}
			byUID := func(a, b Entry) int { return cmp.Compare(a.UID, b.UID) }
			a, b := slices.SortedFunc(slices.Values(current), byUID), slices.SortedFunc(slices.Values(got.Entries), byUID)
			if !slices.Equal(a, b) {
				t.Logf("seed %d step %d: accepted entries %v, want %v", seed, step, b, a)
				return false
			}
		}
		return true
	}
	if err := quick.Check(history, &quick.Config{MaxCount: 4000, Rand: old.New(old.NewSource(7))}); err != nil {
		t.Error(err)
	}
	if min(seen[Unchanged], seen[Wait], seen[Rejected], seen[Accepted]) < 1000 {
		t.Errorf("a verdict is reached too rarely to test it: %v", seen)
	}
}

// After a restart, the resumed list is treated like an accepted one: its drains, its issues and the share of it that may be removed.
func TestResumedListIsInForce(t *testing.T) {
	file := func(issue Issue, statuses ...policy.EndpointStatus) File {
		f := File{Name: "f", Digest: Digest(issue)<<8 + Digest(len(statuses)), Sealed: true, Issue: issue}
		for i, s := range statuses {
			uid := fmt.Sprint("s", i)
			f.Entries = append(f.Entries, Entry{UID: uid, Addr: uid, Member: policy.Member{ID: EndpointID(uid), Weight: 1, Status: s}})
		}
		return f
	}
	const R, D = policy.Ready, policy.Draining // short names for the table
	for _, test := range []struct {
		before, after File
		want          Verdict
	}{
		{file(7, R, R, D), file(7, R, R, D), Accepted}, // the first reading of a process is accepted even if nothing has changed
		{file(7, R, R, D), file(6, R, R, R), Rejected},
		{file(7, R, R, R), file(8, R, D, D), Rejected},
		{file(7, R, R, R), file(8, R, R, D), Accepted},
		{file(0, R, R, D), file(0, R, R, R), Rejected},
	} {
		first := New(Limits{MaxRemovedShare: 0.5, DrainMemory: 1000})
		accepted := first.Evaluate(1, []File{test.before})
		next := New(first.limits)
		next.Resume(accepted.Entries, first.State())
		if got := next.Evaluate(500, []File{test.after}); got.Verdict != test.want {
			t.Errorf("issue %d after issue %d: got %+v, want verdict %d", test.after.Issue, test.before.Issue, got, test.want)
		}
	}
}
