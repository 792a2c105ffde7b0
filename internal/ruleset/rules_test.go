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
	v := Rules{Instances: 1 + r.Intn(3), ColdCapacity: float64(r.Intn(3)) / 2, ColdTime: policy.Time(r.Intn(3)),
		OverloadMultiple: float64(r.Intn(3)), AnyEndpoint: r.Intn(3) == 0}
	for _, name := range []string{"a", "b", "c"} {
		o := ClassRule{Deadline: policy.Time(r.Intn(3))}
		switch r.Intn(4) {
		case 0:
			continue
		case 1:
			o = IdempotentRule(o.Deadline)
		case 2:
			o = ClassRule{true, r.Intn(2) == 0, r.Intn(2) == 0, policy.Time(1 + r.Intn(3)), o.Deadline}
		}
		v.Classes = append(v.Classes, NamedClassRule{name, o})
	}
	for _, name := range []string{"x", "y"} {
		if r.Intn(2) == 0 {
			v.Tenants = append(v.Tenants, TenantQuota{name, float64(r.Intn(3))})
		}
	}
	for id := range policy.EndpointID(3) {
		if r.Intn(3) == 0 {
			v.Drained = append(v.Drained, id)
		}
	}
	for id := range 4 {
		if !v.AnyEndpoint && r.Intn(3) > 0 {
			v.Endpoints = append(v.Endpoints, Endpoint{policy.EndpointID(id), policy.Time(r.Intn(3))})
		}
	}
	return reflect.ValueOf(v)
}

func same(a, b Rules) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

func TestStrictestIsStrict(t *testing.T) {
	laws := map[string]any{
		"commutative": func(a, b Rules) bool { return same(Strictest(a, b), Strictest(b, a)) },
		"associative": func(a, b, c Rules) bool {
			return same(Strictest(Strictest(a, b), c),
				Strictest(a, Strictest(b, c)))
		},
		"idempotent": func(a Rules) bool { return same(Strictest(a, a), a) },
		"allows nothing that a part forbids": func(a, b Rules) bool {
			s := Strictest(a, b)
			return a.Allows(s) && b.Allows(s) && a.Allows(a)
		},
		"the floor is under it": func(a, b Rules) bool {
			f := Strictest(a, b).Floor()
			return Strictest(a, b).Allows(f) && same(f, f.Floor())
		},
		"no more strict than it must be": func(a, b Rules) bool {
			// What both allow of a class that both know is allowed.
			s := Strictest(a, b)
			return !a.Allows(b) || !slices.EqualFunc(a.Classes, b.Classes,
				func(x, y NamedClassRule) bool { return x.Name == y.Name }) ||
				a.AnyEndpoint != b.AnyEndpoint || len(a.Tenants) != len(b.Tenants) || same(s, b)
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
	base := Rules{Instances: 2, ColdCapacity: 0.2, ColdTime: 20, OverloadMultiple: 3,
		Classes: []NamedClassRule{{"a", ClassRule{true, true, false, 5, 9}}},
		Tenants: []TenantQuota{{"x", 5}}, Endpoints: []Endpoint{{1, 0}, {2, 7}}}
	for name, laxer := range map[string]func(r *Rules){
		"idempotent":       func(r *Rules) { r.Classes[0].ClassRule = IdempotentRule(9) },
		"longer window":    func(r *Rules) { r.Classes[0].Window++ },
		"wider group":      func(r *Rules) { r.Classes[0].Zone = false },
		"later deadline":   func(r *Rules) { r.Classes[0].Deadline++ },
		"no deadline":      func(r *Rules) { r.Classes[0].Deadline = 0 },
		"another class":    func(r *Rules) { r.Classes = append(r.Classes, NamedClassRule{"b", IdempotentRule(9)}) },
		"fewer instances":  func(r *Rules) { r.Instances-- },
		"less cold":        func(r *Rules) { r.ColdCapacity += 0.1 },
		"warm sooner":      func(r *Rules) { r.ColdTime-- },
		"higher fall":      func(r *Rules) { r.OverloadMultiple++ },
		"larger quota":     func(r *Rules) { r.Tenants[0].Quota++ },
		"no quota":         func(r *Rules) { r.Tenants = nil },
		"another endpoint": func(r *Rules) { r.Endpoints = append(r.Endpoints, Endpoint{3, 0}) },
		"an older start":   func(r *Rules) { r.Endpoints[1].Started = 0 },
		"any endpoint":     func(r *Rules) { r.AnyEndpoint = true },
	} {
		r := base
		r.Classes = slices.Clone(base.Classes)
		r.Tenants = slices.Clone(base.Tenants)
		r.Endpoints = slices.Clone(base.Endpoints)
		if laxer(&r); base.Allows(r) {
			t.Errorf("%s is allowed", name)
		}
		if !base.Allows(Strictest(base, r)) || !r.Allows(Strictest(base, r)) {
			t.Errorf("%s: %+v", name, Strictest(base, r))
		}
	}
}

// Revisions sent far ahead never push out the leased one: with it gone, nothing that it forbids would be known.
func TestVersionsAheadKeepTheOneInForce(t *testing.T) {
	client := NewLeaseClient(1)
	client.Add(ruleSetNumbered(1))
	requestID, _ := client.NewRequest(0)
	client.Accept(Lease{1, requestID, []RevisionNumber{1}, 100})
	for n := RevisionNumber(2); n < 2+2*maxRuleSets; n++ {
		if client.Add(ruleSetNumbered(n)) != (n <= maxRuleSets) {
			t.Errorf("version %d", n)
		}
	}
	if r, leased := client.Active(1); !leased || !r.Allows(ruleSetNumbered(1).Rules) ||
		!ruleSetNumbered(1).Rules.Allows(*r) {
		t.Errorf("%+v", r)
	}
}

// An instance whose lease has expired continues by the floor of what it knows; old answers, older terms and conflicting
// digests change nothing.
func TestLeaseClientWithoutALease(t *testing.T) {
	client := NewLeaseClient(1)
	if _, leased := client.Active(0); leased {
		t.Error("leased from the first moment")
	}
	if learned, again := client.Add(ruleSetNumbered(1)), client.Add(ruleSetNumbered(1)); !learned || !again ||
		client.Add(RuleSet{Number: 1, Digest: [32]byte{9}}) {
		t.Error("one number with two digests")
	}
	first, _ := client.NewRequest(10)
	requestID, known := client.NewRequest(20)
	for _, g := range []Lease{{1, first, []RevisionNumber{1}, 100}, {1, requestID, []RevisionNumber{1, 2}, 100}, {1,
		requestID, nil, 100}} {
		if client.Accept(g) {
			t.Errorf("%+v was taken", g)
		}
	}
	if !client.Accept(Lease{2, requestID, []RevisionNumber{1}, 100}) || !slices.Equal(known, []RevisionNumber{1}) ||
		client.Accept(Lease{1, requestID, []RevisionNumber{1}, 500}) {
		t.Error("the answer was not taken, or an older term's was")
	}
	if r, leased := client.Active(119); !leased || !r.Classes[0].Repeatable {
		t.Errorf("%+v", r)
	}
	if r, leased := client.Active(120); leased || r.Classes[0].Repeatable || r.OverloadMultiple != 0 ||
		len(r.Classes) != 2 {
		t.Errorf("%+v without a lease", r)
	}
	client.Add(ruleSetNumbered(2))
	requestID, _ = client.NewRequest(130)
	if !client.Accept(Lease{2, requestID, []RevisionNumber{1, 2}, 100}) {
		t.Error("not accepted")
	}
	if r, _ := client.Active(131); r.Classes[0].Repeatable || r.Classes[1].Repeatable {
		t.Errorf("%+v while a change is under way", r)
	}
	requestID, _ = client.NewRequest(140)
	if !client.Accept(Lease{2, requestID, []RevisionNumber{2}, 100}) ||
		client.Add(ruleSetNumbered(1)) && len(client.known) > 2 {
		t.Error("the change did not end")
	}
	if r, _ := client.Active(141); r.Classes[0].Repeatable || !r.Classes[1].Repeatable {
		t.Errorf("%+v after the change", r)
	}
	requestID, _ = client.NewRequest(150)
	if client.Accept(Lease{3, requestID, []RevisionNumber{1}, 100}) {
		t.Error("back to a version that is over")
	}
	if n := testing.AllocsPerRun(100, func() { client.Active(160) }); n > 0 {
		t.Errorf("%.0f allocations a look", n)
	}
}
