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

// fakeFront sends nothing and notes its calls.
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
func (f *fakeFront) Fail(now policy.Time, t *Request)                       { f.answers++ }
func (f *fakeFront) Reject(now policy.Time, t *Request, _ policy.Time)      { f.answers++ }
func (f *fakeFront) DiscardResponse(*Request)                               {}
func (f *fakeFront) Released(*Request)                                      {}
func (f *fakeFront) CloseIdle(*Endpoint)                                    {}
func (f *fakeFront) Forget(*Endpoint)                                       {}
func (f *fakeFront) SetClass(name string, at policy.ClassID, _ policy.Time) { f.classes[name] = at }
func (f *fakeFront) SetTenant(name string, at policy.TenantID)              { f.tenants[name] = at }

func ruleSetOf(n ruleset.RevisionNumber, endpoints []discovery.Entry, tenants []policy.Tenant, classes ...policy.Class) *RuleSet {
	c := &policy.Settings{Instances: 4, FixedWeights: true, OverloadMultiple: 3, ColdCapacity: 0.5, MaxAttempts: 3, Tick: policy.Millisecond, Classes: classes, Tenants: tenants}
	var deadlines []policy.Time
	for _, o := range classes {
		deadlines = append(deadlines, o.Deadline)
	}
	var members []policy.Member
	for _, s := range endpoints {
		members = append(members, s.Member)
	}
	return &RuleSet{RuleSet: ruleset.RuleSet{Number: n, Digest: [32]byte{byte(n)}, Rules: ruleset.NewRules(c, deadlines, members, nil)}, Settings: c, Endpoints: endpoints}
}

func TestRulesComeAndGoWithoutARestart(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	class := func(name string, r policy.Idempotency) policy.Class {
		return policy.Class{Name: name, Value: 1, Target: policy.Second, Deadline: 2 * policy.Second, Idempotency: r, Window: policy.Second}
	}
	own := ruleSetOf(0, nil, nil, class("a", policy.Idempotent))
	settings := *own.Settings
	settings.Classes = append([]policy.Class{}, own.Settings.Classes...)
	e := New(Config{Settings: &settings}, log)
	f := &fakeFront{classes: map[string]policy.ClassID{}, tenants: map[string]policy.TenantID{}}
	e.Add(f)
	e.UseAgreedRules(own, 1)
	accept := func(duration policy.Time, of ...ruleset.RevisionNumber) {
		t.Helper()
		id, _ := e.NewLeaseRequest()
		if !e.AcceptLease(ruleset.Lease{Term: 1, RequestID: id, Revisions: of, Duration: duration}) {
			t.Fatal("a lease is not accepted")
		}
	}
	if a := f.classes["a"]; settings.Classes[a].Idempotency != policy.NonIdempotent || settings.OverloadMultiple != 0 {
		t.Fatalf("without a lease: %+v", settings)
	}
	accept(policy.Second*100, 0)
	a := f.classes["a"]
	if settings.Classes[a].Idempotency != policy.Idempotent || settings.OverloadMultiple != 3 {
		t.Fatalf("by its own file: %+v", settings)
	}
	e.list.handle(0, sourceEvent{event: discovery.Event{List: &discovery.List{Kind: policy.ListFull, Entries: []discovery.Entry{{Member: policy.Member{ID: 9}, UID: "own"}}}}})
	now := e.Clock.Now()
	first := e.NewRequest(0)
	e.Admit(now, now, first, a, policy.NoTenant, "k", false, 2*policy.Second) // idempotent, and stays so or stricter
	e.Round(now)
	if f.attempts != 1 || len(e.Endpoints) != 1 {
		t.Fatalf("%d attempts, %d endpoints", f.attempts, len(e.Endpoints))
	}
	endpoints := []discovery.Entry{{Member: policy.Member{ID: 1, Weight: 1}, UID: "x"}, {Member: policy.Member{ID: 2, Weight: 1}, UID: "y"}}
	if !e.AddRuleSet(ruleSetOf(1, endpoints, []policy.Tenant{{Name: "f", Quota: 5}}, class("a", policy.NonIdempotent), class("b", policy.Keyed))) {
		t.Fatal("not added")
	}
	accept(policy.Second*100, 0, 1)
	if settings.Classes[a].Idempotency != policy.NonIdempotent || f.classes["a"] != a || settings.Classes[f.classes["b"]].Idempotency != policy.NonIdempotent {
		t.Fatalf("by both: %+v %v", settings.Classes, f.classes)
	}
	accept(policy.Second*100, 1)
	if o := settings.Classes[f.classes["b"]]; o.Name != "b" || o.Idempotency != policy.Keyed || settings.TotalQuota != 5 || f.tenants["f"] != 0 || !e.list.rulesList ||
		len(e.Endpoints) != 3 || e.Endpoints[9].Listed || !e.Endpoints[1].Listed {
		t.Fatalf("by the new: %+v %+v %+v", settings, f, e.Endpoints)
	}
	if !e.AddRuleSet(ruleSetOf(2, endpoints[:1], nil, class("a", policy.Idempotent))) {
		t.Fatal("not added")
	}
	accept(policy.Second*100, 1, 2)
	if y := e.Endpoints[2]; !y.Listed || !y.Draining || e.Endpoints[1].Draining {
		t.Fatalf("while an endpoint is taken away: %+v", y)
	}
	accept(policy.Second*100, 2)
	if e.Endpoints[2].Listed {
		t.Fatalf("an endpoint that was taken away: %+v", e.Endpoints[2])
	}
	if !e.AddRuleSet(ruleSetOf(3, nil, nil, class("a", policy.Idempotent))) {
		t.Fatal("not added")
	}
	accept(policy.Second*100, 3)
	if at := f.classes["a"]; at == a || settings.Classes[at].Idempotency != policy.Idempotent || settings.Classes[a].Idempotency != policy.NonIdempotent ||
		f.classes["b"] != policy.NoClass || f.tenants["f"] != policy.NoTenant || !e.Endpoints[9].Listed {
		t.Fatalf("laxer than the requests in flight were promised: %+v %+v", settings.Classes, f)
	}
	ban := ruleSetOf(4, nil, nil, class("a", policy.Idempotent))
	ban.Rules.Drained = []policy.EndpointID{9}
	if !e.AddRuleSet(ban) {
		t.Fatal("not added")
	}
	accept(policy.Second*100, 3, 4)
	if !e.Endpoints[9].Draining {
		t.Error("a banned server is used")
	}
	accept(policy.Second*100, 4)
	if !e.AddRuleSet(ruleSetOf(5, nil, nil, class("a", policy.Idempotent))) {
		t.Fatal("not added")
	}
	if accept(policy.Second*100, 5); e.Endpoints[9].Draining {
		t.Error("an endpoint that is banned no more is not used")
	}
	// The lease runs out between a decision and its write.
	accept(30*policy.Millisecond, 5)
	second := e.NewRequest(0)
	now = e.Clock.Now()
	e.Admit(now, now, second, f.classes["a"], policy.NoTenant, "k", false, 2*policy.Second)
	if len(e.steps) != 1 || !e.AttemptStillValid(now, second) {
		t.Fatal("no attempt was decided on, or it does not stand")
	}
	e.Endpoints[9].Entry.Status = policy.Draining
	e.list.apply(now, &discovery.List{Kind: policy.ListChanges, Entries: []discovery.Entry{{Member: policy.Member{ID: 9, Status: policy.Draining}, UID: "own"}}})
	time.Sleep(40 * time.Millisecond)
	if e.AttemptStillValid(now, second) || e.rules.leased {
		t.Error("what was decided under a lease is written without it, to an endpoint that has gone")
	}
}
