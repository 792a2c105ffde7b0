package ruleset

import (
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"
	"testing/quick"

	"pepperlead/policy"
)

// Generate makes rules of few names and figures, so that any two have much in common.
func (Rules) Generate(r *rand.Rand, _ int) reflect.Value {
	v := Rules{Instances: 1 + r.Intn(3), ColdShare: float64(r.Intn(3)) / 2, ColdTime: policy.Time(r.Intn(3)), Fall: float64(r.Intn(3)), Open: r.Intn(3) == 0}
	for _, name := range []string{"a", "b", "c"} {
		o := Offering{CutOff: policy.Time(r.Intn(3))}
		switch r.Intn(4) {
		case 0:
			continue
		case 1:
			o = Reissuable(o.CutOff)
		case 2:
			o = Offering{true, r.Intn(2) == 0, r.Intn(2) == 0, policy.Time(1 + r.Intn(3)), o.CutOff}
		}
		v.Offerings = append(v.Offerings, Named{name, o})
	}
	for _, name := range []string{"x", "y"} {
		if r.Intn(2) == 0 {
			v.Franchises = append(v.Franchises, Franchise{name, float64(r.Intn(3))})
		}
	}
	for id := range policy.EndpointID(3) {
		if r.Intn(3) == 0 {
			v.Bans = append(v.Bans, id)
		}
	}
	for id := range 4 {
		if !v.Open && r.Intn(3) > 0 {
			v.Servers = append(v.Servers, Server{policy.EndpointID(id), policy.Time(r.Intn(3))})
		}
	}
	return reflect.ValueOf(v)
}

func same(a, b Rules) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

func TestStrictestIsStrict(t *testing.T) {
	laws := map[string]any{
		"commutative": func(a, b Rules) bool { return same(Strictest(a, b), Strictest(b, a)) },
		"associative": func(a, b, c Rules) bool { return same(Strictest(Strictest(a, b), c), Strictest(a, Strictest(b, c))) },
		"idempotent":  func(a Rules) bool { return same(Strictest(a, a), a) },
		"allows nothing that a part forbids": func(a, b Rules) bool {
			s := Strictest(a, b)
			return a.Allows(s) && b.Allows(s) && a.Allows(a)
		},
		"the floor is under it": func(a, b Rules) bool {
			f := Strictest(a, b).Floor()
			return Strictest(a, b).Allows(f) && same(f, f.Floor())
		},
		"no more strict than it must be": func(a, b Rules) bool {
			// What both allow of an offering that both know is allowed.
			s := Strictest(a, b)
			return !a.Allows(b) || !slices.EqualFunc(a.Offerings, b.Offerings, func(x, y Named) bool { return x.Name == y.Name }) ||
				a.Open != b.Open || len(a.Franchises) != len(b.Franchises) || same(s, b)
		},
	}
	for name, law := range laws {
		if err := quick.Check(law, &quick.Config{MaxCount: 20000, Rand: rand.New(rand.NewSource(1))}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Each kind of thing that a version can forbid, told apart from what it allows.
func TestWhatIsForbidden(t *testing.T) {
	base := Rules{Instances: 2, ColdShare: 0.2, ColdTime: 20, Fall: 3, Offerings: []Named{{"a", Offering{true, true, false, 5, 9}}},
		Franchises: []Franchise{{"x", 5}}, Servers: []Server{{1, 0}, {2, 7}}}
	for name, laxer := range map[string]func(r *Rules){
		"reissuable":       func(r *Rules) { r.Offerings[0].Offering = Reissuable(9) },
		"longer window":    func(r *Rules) { r.Offerings[0].Window++ },
		"wider group":      func(r *Rules) { r.Offerings[0].Zone = false },
		"later cut-off":    func(r *Rules) { r.Offerings[0].CutOff++ },
		"no cut-off":       func(r *Rules) { r.Offerings[0].CutOff = 0 },
		"another offering": func(r *Rules) { r.Offerings = append(r.Offerings, Named{"b", Reissuable(9)}) },
		"fewer instances":  func(r *Rules) { r.Instances-- },
		"less cold":        func(r *Rules) { r.ColdShare += 0.1 },
		"warm sooner":      func(r *Rules) { r.ColdTime-- },
		"higher fall":      func(r *Rules) { r.Fall++ },
		"larger quota":     func(r *Rules) { r.Franchises[0].Quota++ },
		"no quota":         func(r *Rules) { r.Franchises = nil },
		"another server":   func(r *Rules) { r.Servers = append(r.Servers, Server{3, 0}) },
		"an older start":   func(r *Rules) { r.Servers[1].Started = 0 },
		"any server":       func(r *Rules) { r.Open = true },
	} {
		r := base
		r.Offerings, r.Franchises, r.Servers = slices.Clone(base.Offerings), slices.Clone(base.Franchises), slices.Clone(base.Servers)
		if laxer(&r); base.Allows(r) {
			t.Errorf("%s is allowed", name)
		}
		if !base.Allows(Strictest(base, r)) || !r.Allows(Strictest(base, r)) {
			t.Errorf("%s: %+v", name, Strictest(base, r))
		}
	}
}

// Versions told far ahead never push out the one that is granted: with it gone, nothing that it forbids would be known.
func TestVersionsAheadKeepTheOneInForce(t *testing.T) {
	h := NewHolder(1)
	h.Learn(version(1))
	ask, _ := h.Ask(0)
	h.Granted(Grant{1, ask, []Number{1}, 100})
	for n := Number(2); n < 2+2*keptVersions; n++ {
		if h.Learn(version(n)) != (n <= keptVersions) {
			t.Errorf("version %d", n)
		}
	}
	if r, leased := h.Acts(1); !leased || !r.Allows(version(1).Rules) || !version(1).Rules.Allows(*r) {
		t.Errorf("%+v", r)
	}
}

// A sidecar whose lease has run out goes on, by the floor of what it knows; old answers, older terms and damaged versions change nothing.
func TestHolderWithoutALease(t *testing.T) {
	h := NewHolder(1)
	if _, leased := h.Acts(0); leased {
		t.Error("leased from the first moment")
	}
	if learned, again := h.Learn(version(1)), h.Learn(version(1)); !learned || !again || h.Learn(Version{Number: 1, Digest: [32]byte{9}}) {
		t.Error("one number with two digests")
	}
	first, _ := h.Ask(10)
	ask, knows := h.Ask(20)
	for _, g := range []Grant{{1, first, []Number{1}, 100}, {1, ask, []Number{1, 2}, 100}, {1, ask, nil, 100}} {
		if h.Granted(g) {
			t.Errorf("%+v was taken", g)
		}
	}
	if !h.Granted(Grant{2, ask, []Number{1}, 100}) || !slices.Equal(knows, []Number{1}) || h.Granted(Grant{1, ask, []Number{1}, 500}) {
		t.Error("the answer was not taken, or an older term's was")
	}
	if r, leased := h.Acts(119); !leased || !r.Offerings[0].Repeats {
		t.Errorf("%+v", r)
	}
	if r, leased := h.Acts(120); leased || r.Offerings[0].Repeats || r.Fall != 0 || len(r.Offerings) != 2 {
		t.Errorf("%+v without a lease", r)
	}
	h.Learn(version(2))
	ask, _ = h.Ask(130)
	if !h.Granted(Grant{2, ask, []Number{1, 2}, 100}) {
		t.Error("not granted")
	}
	if r, _ := h.Acts(131); r.Offerings[0].Repeats || r.Offerings[1].Repeats {
		t.Errorf("%+v while a change is under way", r)
	}
	ask, _ = h.Ask(140)
	if !h.Granted(Grant{2, ask, []Number{2}, 100}) || h.Learn(version(1)) && len(h.known) > 2 {
		t.Error("the change did not end")
	}
	if r, _ := h.Acts(141); r.Offerings[0].Repeats || !r.Offerings[1].Repeats {
		t.Errorf("%+v after the change", r)
	}
	ask, _ = h.Ask(150)
	if h.Granted(Grant{3, ask, []Number{1}, 100}) {
		t.Error("back to a version that is over")
	}
	if n := testing.AllocsPerRun(100, func() { h.Acts(160) }); n > 0 {
		t.Errorf("%.0f allocations a look", n)
	}
}
