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

// frontless carries nothing, and notes what it is told.
type frontless struct {
	Front
	offers  map[string]policy.ClassID
	quotes  map[string]policy.TenantID
	pushed  int
	answers int
}

func (f *frontless) Gather(policy.Time)                                     {}
func (f *frontless) Send(policy.Time, *Request, *Endpoint)                  { f.pushed++ }
func (f *frontless) TimedOut(policy.Time, *Request)                         {}
func (f *frontless) Fail(now policy.Time, t *Request)                       { f.answers++ }
func (f *frontless) Reject(now policy.Time, t *Request, _ policy.Time)      { f.answers++ }
func (f *frontless) DiscardResponse(*Request)                               {}
func (f *frontless) Released(*Request)                                      {}
func (f *frontless) CloseIdle(*Endpoint)                                    {}
func (f *frontless) Forget(*Endpoint)                                       {}
func (f *frontless) SetClass(name string, at policy.ClassID, _ policy.Time) { f.offers[name] = at }
func (f *frontless) SetTenant(name string, at policy.TenantID)              { f.quotes[name] = at }

func versionOf(n ruleset.RevisionNumber, servers []discovery.Entry, franchises []policy.Tenant, offerings ...policy.Class) *RuleSet {
	c := &policy.Settings{Instances: 4, FixedWeights: true, OverloadMultiple: 3, ColdCapacity: 0.5, MaxAttempts: 3, Tick: policy.Millisecond, Classes: offerings, Tenants: franchises}
	var cutOffs []policy.Time
	for _, o := range offerings {
		cutOffs = append(cutOffs, o.Deadline)
	}
	var members []policy.Member
	for _, s := range servers {
		members = append(members, s.Member)
	}
	return &RuleSet{RuleSet: ruleset.RuleSet{Number: n, Digest: [32]byte{byte(n)}, Rules: ruleset.NewRules(c, cutOffs, members, nil)}, Settings: c, Endpoints: servers}
}

func TestRulesComeAndGoWithoutARestart(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	offering := func(name string, r policy.Idempotency) policy.Class {
		return policy.Class{Name: name, Value: 1, Target: policy.Second, Deadline: 2 * policy.Second, Idempotency: r, Window: policy.Second}
	}
	own := versionOf(0, nil, nil, offering("a", policy.Idempotent))
	campaign := *own.Settings
	campaign.Classes = append([]policy.Class{}, own.Settings.Classes...)
	e := New(Config{Settings: &campaign}, log)
	f := &frontless{offers: map[string]policy.ClassID{}, quotes: map[string]policy.TenantID{}}
	e.Add(f)
	e.UseAgreedRules(own, 1)
	grant := func(span policy.Time, of ...ruleset.RevisionNumber) {
		t.Helper()
		ask, _ := e.NewLeaseRequest()
		if !e.AcceptLease(ruleset.Lease{Term: 1, RequestID: ask, Revisions: of, Duration: span}) {
			t.Fatal("a grant is not taken")
		}
	}
	if a := f.offers["a"]; campaign.Classes[a].Idempotency != policy.NonIdempotent || campaign.OverloadMultiple != 0 {
		t.Fatalf("without a lease: %+v", campaign)
	}
	grant(policy.Second*100, 0)
	a := f.offers["a"]
	if campaign.Classes[a].Idempotency != policy.Idempotent || campaign.OverloadMultiple != 3 {
		t.Fatalf("by its own file: %+v", campaign)
	}
	e.list.take(0, told{news: discovery.Event{List: &discovery.List{Kind: policy.ListFull, Entries: []discovery.Entry{{Member: policy.Member{ID: 9}, UID: "own"}}}}})
	now := e.Clock.Now()
	first := e.NewRequest(0)
	e.Admit(now, now, first, a, policy.NoTenant, "k", false, 2*policy.Second) // idempotent, and stays so or stricter
	e.Round(now)
	if f.pushed != 1 || len(e.Endpoints) != 1 {
		t.Fatalf("%d pushes, %d servers", f.pushed, len(e.Endpoints))
	}
	servers := []discovery.Entry{{Member: policy.Member{ID: 1, Weight: 1}, UID: "x"}, {Member: policy.Member{ID: 2, Weight: 1}, UID: "y"}}
	if !e.AddRuleSet(versionOf(1, servers, []policy.Tenant{{Name: "f", Quota: 5}}, offering("a", policy.NonIdempotent), offering("b", policy.Keyed))) {
		t.Fatal("not learned")
	}
	grant(policy.Second*100, 0, 1)
	if campaign.Classes[a].Idempotency != policy.NonIdempotent || f.offers["a"] != a || campaign.Classes[f.offers["b"]].Idempotency != policy.NonIdempotent {
		t.Fatalf("by both: %+v %v", campaign.Classes, f.offers)
	}
	grant(policy.Second*100, 1)
	if o := campaign.Classes[f.offers["b"]]; o.Name != "b" || o.Idempotency != policy.Keyed || campaign.TotalQuota != 5 || f.quotes["f"] != 0 || !e.list.closed ||
		len(e.Endpoints) != 3 || e.Endpoints[9].Listed || !e.Endpoints[1].Listed {
		t.Fatalf("by the new: %+v %+v %+v", campaign, f, e.Endpoints)
	}
	if !e.AddRuleSet(versionOf(2, servers[:1], nil, offering("a", policy.Idempotent))) {
		t.Fatal("not learned")
	}
	grant(policy.Second*100, 1, 2)
	if y := e.Endpoints[2]; !y.Listed || !y.Draining || e.Endpoints[1].Draining {
		t.Fatalf("while a server is taken away: %+v", y)
	}
	grant(policy.Second*100, 2)
	if e.Endpoints[2].Listed {
		t.Fatalf("a server that was taken away: %+v", e.Endpoints[2])
	}
	if !e.AddRuleSet(versionOf(3, nil, nil, offering("a", policy.Idempotent))) {
		t.Fatal("not learned")
	}
	grant(policy.Second*100, 3)
	if at := f.offers["a"]; at == a || campaign.Classes[at].Idempotency != policy.Idempotent || campaign.Classes[a].Idempotency != policy.NonIdempotent ||
		f.offers["b"] != policy.NoClass || f.quotes["f"] != policy.NoTenant || !e.Endpoints[9].Listed {
		t.Fatalf("laxer than what is in hand was promised: %+v %+v", campaign.Classes, f)
	}
	ban := versionOf(4, nil, nil, offering("a", policy.Idempotent))
	ban.Rules.Drained = []policy.EndpointID{9}
	if !e.AddRuleSet(ban) {
		t.Fatal("not learned")
	}
	grant(policy.Second*100, 3, 4)
	if !e.Endpoints[9].Draining {
		t.Error("a banned server is used")
	}
	grant(policy.Second*100, 4)
	if !e.AddRuleSet(versionOf(5, nil, nil, offering("a", policy.Idempotent))) {
		t.Fatal("not learned")
	}
	if grant(policy.Second*100, 5); e.Endpoints[9].Draining {
		t.Error("a server that is banned no more is not used")
	}
	// The lease runs out between a decision and its write.
	grant(30*policy.Millisecond, 5)
	second := e.NewRequest(0)
	now = e.Clock.Now()
	e.Admit(now, now, second, f.offers["a"], policy.NoTenant, "k", false, 2*policy.Second)
	if len(e.steps) != 1 || !e.AttemptStillValid(now, second) {
		t.Fatal("no push was decided on, or it does not stand")
	}
	e.Endpoints[9].Entry.Status = policy.Draining
	e.list.apply(now, &discovery.List{Kind: policy.ListChanges, Entries: []discovery.Entry{{Member: policy.Member{ID: 9, Status: policy.Draining}, UID: "own"}}})
	time.Sleep(40 * time.Millisecond)
	if e.AttemptStillValid(now, second) || e.terms.leased {
		t.Error("what was decided under a lease is written without it, to a server that has gone")
	}
}
