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

// Generate returns rules with few distinct names and values, so that any two have much in common.
func (Rules) Generate(random *rand.Rand, _ int) reflect.Value {
	rules := Rules{Instances: 1 + random.Intn(3), ColdCapacity: float64(random.Intn(3)) / 2,
		ColdTime: policy.Time(random.Intn(3)), OverloadMultiple: float64(random.Intn(3)),
		AnyEndpoint: random.Intn(3) == 0}
	for _, name := range []string{"a", "b", "c"} {
		rule := ClassRule{Deadline: policy.Time(random.Intn(3))}
		switch random.Intn(4) {
		case 0:
			continue
		case 1:
			rule = IdempotentRule(rule.Deadline)
		case 2:
			rule = ClassRule{true, random.Intn(2) == 0, random.Intn(2) == 0, policy.Time(1 + random.Intn(3)),
				rule.Deadline}
		}
		rules.Classes = append(rules.Classes, NamedClassRule{name, rule})
	}
	for _, name := range []string{"x", "y"} {
		if random.Intn(2) == 0 {
			rules.Tenants = append(rules.Tenants, TenantQuota{name, float64(random.Intn(3))})
		}
	}
	for id := range policy.EndpointID(3) {
		if random.Intn(3) == 0 {
			rules.Drained = append(rules.Drained, id)
		}
	}
	for id := range 4 {
		if !rules.AnyEndpoint && random.Intn(3) > 0 {
			rules.Endpoints = append(rules.Endpoints, Endpoint{policy.EndpointID(id), policy.Time(random.Intn(3))})
		}
	}
	return reflect.ValueOf(rules)
}

// same compares rules by their text, which doesn't distinguish nil from empty lists.
func same(a, b Rules) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

func TestStrictestLaws(t *testing.T) {
	laws := map[string]any{
		"commutative": func(a, b Rules) bool { return same(Strictest(a, b), Strictest(b, a)) },
		"associative": func(a, b, c Rules) bool {
			return same(Strictest(Strictest(a, b), c),
				Strictest(a, Strictest(b, c)))
		},
		"idempotent": func(a Rules) bool { return same(Strictest(a, a), a) },
		"allows only what both allow": func(a, b Rules) bool {
			strictest := Strictest(a, b)
			return a.Allows(strictest) && b.Allows(strictest) && a.Allows(a)
		},
		"allows its floor": func(a, b Rules) bool {
			floor := Strictest(a, b).Floor()
			return Strictest(a, b).Allows(floor) && same(floor, floor.Floor())
		},
		"no stricter than necessary": func(a, b Rules) bool {
			// If a allows everything that b does, and both have the same classes, the combination is b.
			strictest := Strictest(a, b)
			return !a.Allows(b) || !slices.EqualFunc(a.Classes, b.Classes,
				func(x, y NamedClassRule) bool { return x.Name == y.Name }) ||
				a.AnyEndpoint != b.AnyEndpoint || len(a.Tenants) != len(b.Tenants) ||
				same(strictest, b)
		},
	}
	for name, law := range laws {
		if err := quick.Check(law, &quick.Config{MaxCount: 20000, Rand: rand.New(rand.NewSource(1))}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Allows detects every way in which rules can be laxer than others.
func TestAllowsRejectsLaxerRules(t *testing.T) {
	base := Rules{Instances: 2, ColdCapacity: 0.2, ColdTime: 20, OverloadMultiple: 3,
		Classes: []NamedClassRule{{"a", ClassRule{true, true, false, 5, 9}}},
		Tenants: []TenantQuota{{"x", 5}}, Endpoints: []Endpoint{{1, 0}, {2, 7}}}
	for name, laxer := range map[string]func(rules *Rules){
		"idempotent":      func(rules *Rules) { rules.Classes[0].ClassRule = IdempotentRule(9) },
		"longer window":   func(rules *Rules) { rules.Classes[0].Window++ },
		"larger group":    func(rules *Rules) { rules.Classes[0].SameZone = false },
		"longer deadline": func(rules *Rules) { rules.Classes[0].Deadline++ },
		"no deadline":     func(rules *Rules) { rules.Classes[0].Deadline = 0 },
		"additional class": func(rules *Rules) {
			rules.Classes = append(rules.Classes, NamedClassRule{"b", IdempotentRule(9)})
		},
		"fewer instances":          func(rules *Rules) { rules.Instances-- },
		"higher cold capacity":     func(rules *Rules) { rules.ColdCapacity += 0.1 },
		"shorter cold time":        func(rules *Rules) { rules.ColdTime-- },
		"higher overload multiple": func(rules *Rules) { rules.OverloadMultiple++ },
		"larger quota":             func(rules *Rules) { rules.Tenants[0].Quota++ },
		"no quota":                 func(rules *Rules) { rules.Tenants = nil },
		"additional endpoint":      func(rules *Rules) { rules.Endpoints = append(rules.Endpoints, Endpoint{3, 0}) },
		"earlier start":            func(rules *Rules) { rules.Endpoints[1].Started = 0 },
		"any endpoint":             func(rules *Rules) { rules.AnyEndpoint = true },
	} {
		rules := base
		rules.Classes = slices.Clone(base.Classes)
		rules.Tenants = slices.Clone(base.Tenants)
		rules.Endpoints = slices.Clone(base.Endpoints)
		if laxer(&rules); base.Allows(rules) {
			t.Errorf("%s is allowed", name)
		}
		if !base.Allows(Strictest(base, rules)) || !rules.Allows(Strictest(base, rules)) {
			t.Errorf("%s: %+v", name, Strictest(base, rules))
		}
	}
}

// Rule sets of later revisions never push out that of the leased revision: without it, the client would not know what
// the leased revision forbids.
func TestLaterRuleSetsKeepTheLeasedOne(t *testing.T) {
	client := NewLeaseClient(1)
	client.Add(testRuleSet(1))
	requestID, _ := client.NewRequest(0)
	client.Accept(Lease{1, requestID, []RevisionNumber{1}, 100})
	for number := RevisionNumber(2); number < 2+2*maxRuleSets; number++ {
		if client.Add(testRuleSet(number)) != (number <= maxRuleSets) {
			t.Errorf("revision %d: unexpected result of Add, stored: %v", number, client.Knows(number))
		}
	}
	if rules, leased := client.Active(1); !leased || !rules.Allows(testRuleSet(1).Rules) ||
		!testRuleSet(1).Rules.Allows(*rules) {
		t.Errorf("unexpected rules %+v, leased: %v", rules, leased)
	}
}

// After its lease has expired, a client uses the floor of the rule sets it knows. Responses to earlier requests, leases
// of older terms and conflicting digests are rejected.
func TestLeaseClientExpiryAndRejections(t *testing.T) {
	client := NewLeaseClient(1)
	if _, leased := client.Active(0); leased {
		t.Error("Active reports a lease before the first lease was accepted")
	}
	if added, addedAgain := client.Add(testRuleSet(1)), client.Add(testRuleSet(1)); !added || !addedAgain ||
		client.Add(RuleSet{Number: 1, Digest: [32]byte{9}}) {
		t.Error("a rule set is rejected, or another digest accepted under its number")
	}
	first, _ := client.NewRequest(10)
	requestID, known := client.NewRequest(20)
	for _, lease := range []Lease{{1, first, []RevisionNumber{1}, 100}, {1, requestID, []RevisionNumber{1, 2}, 100},
		{1, requestID, nil, 100}} {
		if client.Accept(lease) {
			t.Errorf("an invalid lease was accepted: %+v", lease)
		}
	}
	if !client.Accept(Lease{2, requestID, []RevisionNumber{1}, 100}) || !slices.Equal(known, []RevisionNumber{1}) ||
		client.Accept(Lease{1, requestID, []RevisionNumber{1}, 500}) {
		t.Error("a valid lease was rejected, or one of an older term accepted")
	}
	if rules, leased := client.Active(119); !leased || !rules.Classes[0].Repeatable {
		t.Errorf("unexpected rules before the lease expires: %+v", rules)
	}
	if rules, leased := client.Active(120); leased || rules.Classes[0].Repeatable || rules.OverloadMultiple != 0 ||
		len(rules.Classes) != 2 {
		t.Errorf("unexpected rules without a lease: %+v", rules)
	}
	client.Add(testRuleSet(2))
	requestID, _ = client.NewRequest(130)
	if !client.Accept(Lease{2, requestID, []RevisionNumber{1, 2}, 100}) {
		t.Error("a lease on two revisions was rejected")
	}
	if rules, _ := client.Active(131); rules.Classes[0].Repeatable || rules.Classes[1].Repeatable {
		t.Errorf("unexpected rules during a change: %+v", rules)
	}
	requestID, _ = client.NewRequest(140)
	if !client.Accept(Lease{2, requestID, []RevisionNumber{2}, 100}) ||
		client.Add(testRuleSet(1)) && len(client.ruleSets) > 2 {
		t.Error("the change was not completed")
	}
	if rules, _ := client.Active(141); rules.Classes[0].Repeatable || !rules.Classes[1].Repeatable {
		t.Errorf("unexpected rules after the change: %+v", rules)
	}
	requestID, _ = client.NewRequest(150)
	if client.Accept(Lease{3, requestID, []RevisionNumber{1}, 100}) {
		t.Error("a lease on a replaced revision was accepted")
	}
	if allocations := testing.AllocsPerRun(100, func() { client.Active(160) }); allocations > 0 {
		t.Errorf("Active makes %.0f allocations", allocations)
	}
}
