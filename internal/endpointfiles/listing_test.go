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

// The model knows the whole history and works everything out of it anew at each reading, by plain loops.
type model struct {
	terms   Limits
	history []reading
}

type reading struct {
	now   policy.Time
	files []File
	taken bool
}

func (m *model) last() *reading {
	for i := len(m.history) - 1; i >= 0; i-- {
		if m.history[i].taken {
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

// since is the first moment of the unbroken run of readings, up to the last, of which the test holds.
func (m *model) since(holds func(reading) bool) policy.Time {
	at := m.history[len(m.history)-1].now
	for i := len(m.history) - 1; i >= 0 && holds(m.history[i]); i-- {
		at = m.history[i].now
	}
	return at
}

func (m *model) weigh(now policy.Time, files []File) Verdict {
	m.history = append(m.history, reading{now: now, files: files})
	this, last := &m.history[len(m.history)-1], m.last()
	inForce := func(name string) *File {
		if last == nil {
			return nil
		}
		return find(last.files, name)
	}
	// Still in the making?
	for _, f := range files {
		if was := inForce(f.Name); was != nil && was.Digest == f.Digest || f.Sealed && f.Problem == "" {
			continue
		}
		same := func(r reading) bool { g := find(r.files, f.Name); return g != nil && g.Digest == f.Digest }
		if now < m.since(same)+m.terms.SettleTime {
			return Wait
		}
	}
	same := last != nil && len(files) == len(last.files)
	if last != nil {
		for _, f := range last.files {
			g := find(files, f.Name)
			if g == nil && now < m.since(func(r reading) bool { return find(r.files, f.Name) == nil })+m.terms.MissingTime {
				return Wait
			}
			same = same && g != nil && g.Digest == f.Digest
		}
	}
	if same {
		return Unchanged
	}
	// Whole, newer, plausible?
	ids, addrs, ready := map[string]int{}, map[string]int{}, map[string]bool{}
	says := 0
	for _, f := range files {
		issue := Issue(0)
		for _, r := range m.history {
			if g := find(r.files, f.Name); r.taken && g != nil {
				issue = g.Issue
			}
		}
		was := inForce(f.Name)
		if f.Problem != "" || m.terms.RequireDigest && !f.Sealed || f.Issue < issue ||
			f.Issue == issue && issue > 0 && last != nil && (was == nil || was.Digest != f.Digest) {
			return Rejected
		}
		if was == nil || was.Digest != f.Digest {
			says += f.Removes
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
	for _, name := range m.terms.RequiredFiles {
		if find(files, name) == nil {
			return Rejected
		}
	}
	lost, weight, gone, before := 0.0, 0.0, 0, 0
	if last != nil {
		for _, f := range last.files {
			for _, e := range f.Entries {
				if e.Status == policy.Ready {
					before++
					weight += e.Weight
					if !ready[e.UID] {
						gone++
						lost += e.Weight
					}
				}
			}
		}
	}
	nothing := len(ready) == 0
	if len(files) == 0 || last == nil && nothing || gone > says && (lost > m.terms.MaxRemovedShare*weight || nothing) {
		return Rejected
	}
	this.taken = true
	return Accepted
}

// drained tells whether the lists taken so far have the server drain, and none has given a reason for its return.
func (m *model) drained(now policy.Time, e Entry) bool {
	told, named := policy.Time(-1), policy.Time(-1)
	for _, r := range m.history {
		if !r.taken {
			continue
		}
		if told >= 0 && r.now-named >= m.terms.DrainMemory && !slices.ContainsFunc(r.files, func(f File) bool {
			return slices.ContainsFunc(f.Entries, func(x Entry) bool { return x.UID == e.UID })
		}) {
			told = -1
		}
		for _, f := range r.files {
			for _, x := range f.Entries {
				switch {
				case x.UID != e.UID:
				case x.Status == policy.Ready:
					told = -1
				default:
					if named = r.now; told < 0 {
						told = r.now
					}
				}
			}
		}
	}
	return told >= 0 && e.Started <= told && now-named < m.terms.DrainMemory
}

// edit changes some files as people, programs and accidents do.
func edit(rnd *rand.Rand, now policy.Time, files map[string]File) {
	name := fmt.Sprint("f", rnd.IntN(3))
	f, there := files[name]
	f.Name, f.Entries = name, slices.Clone(f.Entries)
	f.Digest = Digest(rnd.Uint64())
	f.Problem = ""
	if f.Removes = 0; rnd.IntN(8) == 0 {
		f.Removes = rnd.IntN(4)
	}
	switch act := rnd.IntN(12); {
	case act == 0 && there:
		delete(files, name)
		return
	case act == 1:
		f.Problem = name + ": broken"
		files[name] = f
		return
	case act == 2 && rnd.IntN(3) == 0:
		f.Entries = nil
	case act < 5 && len(f.Entries) > 0:
		i := rnd.IntN(len(f.Entries))
		f.Entries = slices.Delete(f.Entries, i, i+1)
	case act < 8 && len(f.Entries) > 0:
		e := &f.Entries[rnd.IntN(len(f.Entries))]
		if e.Status = policy.EndpointStatus(rnd.IntN(2)); rnd.IntN(3) == 0 {
			e.Started = now
		}
	case act < 9 && len(f.Entries) > 0:
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

func TestKeeperAgainstTheModel(t *testing.T) {
	var seen [Accepted + 1]int
	history := func(seed uint64) bool {
		rnd := rand.New(rand.NewPCG(seed, 1))
		terms := Limits{MaxRemovedShare: []float64{0, 0.4, 1}[rnd.IntN(3)], SettleTime: policy.Time(rnd.IntN(4)) * 100,
			MissingTime: policy.Time(rnd.IntN(4)) * 200, DrainMemory: 3000, RequireDigest: rnd.IntN(8) == 0}
		if rnd.IntN(4) == 0 {
			terms.RequiredFiles = []string{"f0"}
		}
		keeper, plain := New(terms), &model{terms: terms}
		files, copied := map[string]File{}, map[string]File{}
		now := policy.Time(1000)
		var inForce []Entry
		for step := range 60 {
			now += policy.Time(rnd.IntN(300))
			switch rnd.IntN(8) {
			case 0:
				copied = maps.Clone(files)
			case 1:
				files = maps.Clone(copied) // an old copy is put back
			case 2, 3: // just another look
			default:
				edit(rnd, now, files)
			}
			read := slices.SortedFunc(maps.Values(files), func(a, b File) int { return len(a.Name) - len(b.Name) })
			got, want := keeper.Evaluate(now, slices.Clone(read)), plain.weigh(now, slices.Clone(read))
			seen[got.Verdict]++
			if got.Verdict != want {
				t.Logf("seed %d step %d: %d (%s), the model says %d", seed, step, got.Verdict, got.Reason, want)
				return false
			}
			if got.Verdict == Wait && got.LookAgain <= now || (got.Reason == "") != (got.Verdict == Unchanged || got.Verdict == Accepted) {
				t.Logf("seed %d step %d: %+v at %d", seed, step, got, now)
				return false
			}
			if got.Verdict != Accepted {
				continue
			}
			inForce = nil
			for _, f := range read {
				inForce = append(inForce, f.Entries...)
			}
			byUID := func(a, b Entry) int { return cmp.Compare(a.UID, b.UID) }
			a, b := slices.SortedFunc(slices.Values(inForce), byUID), slices.SortedFunc(slices.Values(got.Entries), byUID)
			if !slices.Equal(a, b) {
				t.Logf("seed %d step %d: took %v of %v", seed, step, b, a)
				return false
			}
		}
		return true
	}
	if err := quick.Check(history, &quick.Config{MaxCount: 4000, Rand: old.New(old.NewSource(7))}); err != nil {
		t.Error(err)
	}
	if min(seen[Unchanged], seen[Wait], seen[Rejected], seen[Accepted]) < 1000 {
		t.Errorf("the histories reach too little: %v", seen)
	}
}

// What is resumed counts like what was taken: drains and issues, and the part that may be taken away.
func TestResumedListsCount(t *testing.T) {
	file := func(issue Issue, standings ...policy.EndpointStatus) File {
		f := File{Name: "f", Digest: Digest(issue)<<8 + Digest(len(standings)), Sealed: true, Issue: issue}
		for i, s := range standings {
			uid := fmt.Sprint("s", i)
			f.Entries = append(f.Entries, Entry{UID: uid, Addr: uid, Member: policy.Member{ID: EndpointID(uid), Weight: 1, Status: s}})
		}
		return f
	}
	const R, D = policy.Ready, policy.Draining
	for _, k := range []struct {
		before, after File
		want          Verdict
	}{
		{file(7, R, R, D), file(7, R, R, D), Accepted}, // the first reading of a process is a list, also if nothing changed
		{file(7, R, R, D), file(6, R, R, R), Rejected},
		{file(7, R, R, R), file(8, R, D, D), Rejected},
		{file(7, R, R, R), file(8, R, R, D), Accepted},
		{file(0, R, R, D), file(0, R, R, R), Rejected},
	} {
		first := New(Limits{MaxRemovedShare: 0.5, DrainMemory: 1000})
		taken := first.Evaluate(1, []File{k.before})
		next := New(first.terms)
		next.Resume(taken.Entries, first.State())
		if got := next.Evaluate(500, []File{k.after}); got.Verdict != k.want {
			t.Errorf("%d after %d: %+v", k.after.Issue, k.before.Issue, got)
		}
	}
}
