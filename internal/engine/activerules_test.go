package engine

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/discovery"
	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

// fakeFront sends nothing and records calls of its methods.
type fakeFront struct {
	Front
	classes  map[string]policy.ClassID
	tenants  map[string]policy.TenantID
	attempts int
	answers  int
}

func (f *fakeFront) Gather(policy.Time)                                     {}
func (f *fakeFront) Send(policy.Time, *Request, *Endpoint)                  { f.attempts++ }
func (f *fakeFront) TimedOut(policy.Time, *Request)                         {}
func (f *fakeFront) Fail(policy.Time, *Request)                             { f.answers++ }
func (f *fakeFront) Reject(policy.Time, *Request, policy.Time)              { f.answers++ }
func (f *fakeFront) DiscardResponse(*Request)                               {}
func (f *fakeFront) Released(*Request)                                      {}
func (f *fakeFront) CloseIdle(*Endpoint)                                    {}
func (f *fakeFront) Forget(*Endpoint)                                       {}
func (f *fakeFront) SetClass(name string, id policy.ClassID, _ policy.Time) { f.classes[name] = id }
func (f *fakeFront) SetTenant(name string, id policy.TenantID)              { f.tenants[name] = id }

// newRuleSet returns a rule set whose digest is derived from its number.
func newRuleSet(number ruleset.RevisionNumber, endpoints []discovery.Entry, tenants []policy.Tenant, classes ...policy.Class) *RuleSet {
	settings := &policy.Settings{Instances: 4, FixedWeights: true, OverloadMultiple: 3, ColdCapacity: 0.5, MaxAttempts: 3, Tick: policy.Millisecond, Classes: classes, Tenants: tenants}
	var deadlines []policy.Time
	for _, class := range classes {
		deadlines = append(deadlines, class.Deadline)
	}
	var members []policy.Member
	for _, endpoint := range endpoints {
		members = append(members, endpoint.Member)
	}
	return &RuleSet{
		RuleSet:  ruleset.RuleSet{Number: number, Digest: [32]byte{byte(number)}, Rules: ruleset.NewRules(settings, deadlines, members, nil)},
		Settings: settings, Endpoints: endpoints,
	}
}

// Classes, tenants, endpoints and drains follow the leased rule sets while the engine runs. Requests in flight never get
// laxer rules than those that they were admitted under, and an attempt that was decided on under a lease is not written
// once the lease has expired.
func TestAgreedRulesChangeAtRunTime(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	class := func(name string, idempotency policy.Idempotency) policy.Class {
		return policy.Class{Name: name, Value: 1, Target: policy.Second, Deadline: 2 * policy.Second, Idempotency: idempotency, Window: policy.Second}
	}
	own := newRuleSet(0, nil, nil, class("a", policy.Idempotent))
	settings := *own.Settings
	settings.Classes = append([]policy.Class{}, own.Settings.Classes...)
	e := New(Config{Settings: &settings}, log)
	f := &fakeFront{classes: map[string]policy.ClassID{}, tenants: map[string]policy.TenantID{}}
	e.AddFront(f)
	e.UseAgreedRules(own, 1)
	accept := func(duration policy.Time, revisions ...ruleset.RevisionNumber) {
		t.Helper()
		id, _ := e.NewLeaseRequest()
		if !e.AcceptLease(ruleset.Lease{Term: 1, RequestID: id, Revisions: revisions, Duration: duration}) {
			t.Fatal("a valid lease was rejected")
		}
	}
	if a := f.classes["a"]; settings.Classes[a].Idempotency != policy.NonIdempotent || settings.OverloadMultiple != 0 {
		t.Fatalf("unexpected settings without a lease: %+v", settings)
	}
	accept(policy.Second*100, 0)
	a := f.classes["a"]
	if settings.Classes[a].Idempotency != policy.Idempotent || settings.OverloadMultiple != 3 {
		t.Fatalf("unexpected settings with a lease on the instance's own rule set: %+v", settings)
	}
	e.list.handle(0, sourceEvent{event: discovery.Event{List: &discovery.List{Kind: policy.ListFull, Entries: []discovery.Entry{{Member: policy.Member{ID: 9}, UID: "own"}}}}})
	now := e.Clock.Now()
	first := e.NewRequest(0)
	e.Admit(now, now, first, a, policy.NoTenant, "k", false, 2*policy.Second) // admitted as idempotent: its rules may become stricter later, but not laxer
	e.Round(now)
	if f.attempts != 1 || len(e.Endpoints) != 1 {
		t.Fatalf("%d attempts and %d endpoints, want 1 and 1", f.attempts, len(e.Endpoints))
	}
	endpoints := []discovery.Entry{{Member: policy.Member{ID: 1, Weight: 1}, UID: "x"}, {Member: policy.Member{ID: 2, Weight: 1}, UID: "y"}}
	if !e.AddRuleSet(newRuleSet(1, endpoints, []policy.Tenant{{Name: "f", Quota: 5}}, class("a", policy.NonIdempotent), class("b", policy.Keyed))) {
		t.Fatal("rule set 1 was not added")
	}
	accept(policy.Second*100, 0, 1)
	if settings.Classes[a].Idempotency != policy.NonIdempotent || f.classes["a"] != a || settings.Classes[f.classes["b"]].Idempotency != policy.NonIdempotent {
		t.Fatalf("with revisions 0 and 1 in force: unexpected classes %+v or class ids %v", settings.Classes, f.classes)
	}
	accept(policy.Second*100, 1)
	if b := settings.Classes[f.classes["b"]]; b.Name != "b" || b.Idempotency != policy.Keyed || settings.TotalQuota != 5 || f.tenants["f"] != 0 || !e.list.rulesList ||
		len(e.Endpoints) != 3 || e.Endpoints[9].Listed || !e.Endpoints[1].Listed {
		t.Fatalf("with revision 1 in force: unexpected settings %+v, front %+v or endpoints %+v", settings, f, e.Endpoints)
	}
	if !e.AddRuleSet(newRuleSet(2, endpoints[:1], nil, class("a", policy.Idempotent))) {
		t.Fatal("rule set 2 was not added")
	}
	accept(policy.Second*100, 1, 2)
	if y := e.Endpoints[2]; !y.Listed || !y.Draining || e.Endpoints[1].Draining {
		t.Fatalf("the endpoint being removed is not listed as draining, or another one is draining: %+v", y)
	}
	accept(policy.Second*100, 2)
	if e.Endpoints[2].Listed {
		t.Fatalf("a removed endpoint is still listed: %+v", e.Endpoints[2])
	}
	if !e.AddRuleSet(newRuleSet(3, nil, nil, class("a", policy.Idempotent))) {
		t.Fatal("rule set 3 was not added")
	}
	accept(policy.Second*100, 3)
	if id := f.classes["a"]; id == a || settings.Classes[id].Idempotency != policy.Idempotent || settings.Classes[a].Idempotency != policy.NonIdempotent ||
		f.classes["b"] != policy.NoClass || f.tenants["f"] != policy.NoTenant || !e.Endpoints[9].Listed {
		t.Fatalf("rules of requests in flight were relaxed, or revision 3 is not in force: classes %+v, front %+v", settings.Classes, f)
	}
	withDrain := newRuleSet(4, nil, nil, class("a", policy.Idempotent))
	withDrain.Rules.Drained = []policy.EndpointID{9}
	if !e.AddRuleSet(withDrain) {
		t.Fatal("rule set 4 was not added")
	}
	accept(policy.Second*100, 3, 4)
	if !e.Endpoints[9].Draining {
		t.Error("an endpoint that the rules drain is not draining")
	}
	accept(policy.Second*100, 4)
	if !e.AddRuleSet(newRuleSet(5, nil, nil, class("a", policy.Idempotent))) {
		t.Fatal("rule set 5 was not added")
	}
	if accept(policy.Second*100, 5); e.Endpoints[9].Draining {
		t.Error("an endpoint that the rules no longer drain is still draining")
	}
	// The lease expires between the decision on an attempt and its write.
	accept(30*policy.Millisecond, 5)
	second := e.NewRequest(0)
	now = e.Clock.Now()
	e.Admit(now, now, second, f.classes["a"], policy.NoTenant, "k", false, 2*policy.Second)
	if len(e.steps) != 1 || !e.AttemptStillValid(now, second) {
		t.Fatal("no attempt was decided on, or it is not valid")
	}
	e.Endpoints[9].Entry.Status = policy.Draining
	e.list.apply(now, &discovery.List{Kind: policy.ListChanges, Entries: []discovery.Entry{{Member: policy.Member{ID: 9, Status: policy.Draining}, UID: "own"}}})
	time.Sleep(40 * time.Millisecond)
	if e.AttemptStillValid(now, second) || e.rules.leased {
		t.Error("an attempt that was decided on under a lease is still valid after the lease has expired and its endpoint drains")
	}
}
