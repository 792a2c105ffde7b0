package engine

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/clock"
	"pepperlead/internal/discovery"
	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

// RuleSet is one as this instance can act by it: what binds, and all else that it says.
type RuleSet struct {
	ruleset.RuleSet
	Settings  *policy.Settings
	Endpoints []discovery.Entry   // nil: those of the instance's own source
	Table     []policy.EndpointID // who has which slot; nil: as assigned here
}

// mostPlaces is how many classes there may be, with those that requests in hand were admitted to before a change.
const mostPlaces = 512

// terms are the rules that this instance agrees on with others. The loop's own.
type terms struct {
	holder  *ruleset.LeaseClient
	places  ruleset.ClassTable
	of      map[ruleset.RevisionNumber]*RuleSet
	named   []string // by place
	rows    []int    // by place: where its figures are
	offered []string
	turns   uint64
	leased  bool
	last    []ruleset.RevisionNumber
	unfit   ruleset.RevisionNumber // version whose table could not be taken
	table   uint64                 // digest of the table that was taken last
	acts    uint64                 // changes
}

// RulesFront is a front that can go on while classes and tenants come and go. With NoClass and NoTenant they go.
type RulesFront interface {
	SetClass(name string, at policy.ClassID, cutOff policy.Time)
	SetTenant(name string, at policy.TenantID)
}

// UseAgreedRules has the engine go by versions from now on: by its own file's as number 0, and until there is a lease by the floor of that. life tells
// this process's lives apart. To be called before Run.
func (e *Engine) UseAgreedRules(own *RuleSet, life uint32) {
	t := &terms{holder: ruleset.NewLeaseClient(life), of: map[ruleset.RevisionNumber]*RuleSet{}, turns: 1 << 63}
	t.places.Capacity = mostPlaces
	e.terms = t
	e.Tally.Answered = make([][Results]atomic.Int64, mostPlaces)
	names := len(e.labels)
	e.names.Store(int64(names))
	e.labels = append(e.labels, make([][Results]string, mostPlaces-names)...)
	t.holder.Add(own.RuleSet)
	t.of[own.Number] = own
	t.leased = true // its classes are there from the first moment, by the floor of what it says: nothing has changed that is worth a line
	e.act(&own.Rules, true)
	e.obey()
}

// AddRuleSet takes in a version, if it can come into force. False: its number is known with another digest, or it is too old.
func (e *Engine) AddRuleSet(v *RuleSet) bool {
	t := e.terms
	if !t.holder.Add(v.RuleSet) {
		return false
	}
	t.of[v.Number] = v
	for n := range t.of {
		if !t.holder.Knows(n) {
			delete(t.of, n)
		}
	}
	e.obey()
	return true
}

// NewLeaseRequest numbers a question for a lease that is sent now.
func (e *Engine) NewLeaseRequest() (ask uint64, knows []ruleset.RevisionNumber) {
	return e.terms.holder.NewRequest(clock.LeaseTime())
}

// AcceptLease takes a lease.
func (e *Engine) AcceptLease(g ruleset.Lease) bool {
	granted := e.terms.holder.Accept(g)
	e.obey()
	return granted
}

// LeasedRevisions tells by which versions this instance acts, and whether it has a lease on them.
func (e *Engine) LeasedRevisions() (of []ruleset.RevisionNumber, leased bool) {
	return e.terms.holder.Leased(), e.terms.leased
}

// RulesLog is a line of the log with what this instance acts by, and when.
func (e *Engine) RulesLog() *logrus.Entry {
	return e.Logger.WithFields(logrus.Fields{"versions": e.terms.holder.Leased(), "leased": e.terms.leased, "awake_ns": int64(clock.BootTime())})
}

// TracesRequests whether each step of a request is to be written down: where rules are agreed on, and debug lines are wanted.
func (e *Engine) TracesRequests() bool {
	return e.terms != nil && e.Logger.IsLevelEnabled(logrus.DebugLevel)
}

// acted counts changes of what may be done, so that what was decided before one is looked at again.
func (e *Engine) acted() uint64 {
	if e.terms == nil {
		return 0
	}
	return e.terms.acts
}

// obey goes over to the rules of this moment: a lease may have run out since the loop last looked, or in a process that stood still.
func (e *Engine) obey() {
	t := e.terms
	if t == nil {
		return
	}
	r, leased := t.holder.Active(clock.LeaseTime())
	if leased != t.leased || t.turns != t.holder.Changes() {
		t.turns = t.holder.Changes()
		e.act(r, leased)
	}
}

// AttemptStillValid tells whether an attempt that was decided on may be written now. A dial, or a loop that stood still, may have taken a request that is
// sent again out of the window in which its repeat is dropped.
func (e *Engine) AttemptStillValid(now policy.Time, t *Request) bool {
	if t.Attempts > 1 && !e.Module.AttemptAllowed(e.Clock.Now(), t.Handle) {
		return false
	}
	if e.terms == nil {
		return true
	}
	e.obey()
	return t.decided == e.acted() || e.Module.AttemptAllowed(now, t.Handle)
}

// act has the module go by these rules from its next decision on.
func (e *Engine) act(r *ruleset.Rules, leased bool) {
	t, c := e.terms, e.Settings
	t.acts++
	said := e.said()
	t.places.Update(r, leased, func(at policy.ClassID, name string, now ruleset.ClassRule, admits bool) {
		e.place(at, name, now, said[0])
		if admits {
			e.agreeing(func(f RulesFront) { f.SetClass(name, at, now.Deadline) })
		}
	})
	was := t.offered
	t.offered = nil
	for _, name := range slices.Compact(slices.Sorted(slices.Values(append(was, t.named...)))) {
		if _, offered := t.places.Lookup(name); offered {
			t.offered = append(t.offered, name)
		} else {
			e.agreeing(func(f RulesFront) { f.SetClass(name, policy.NoClass, 0) })
		}
	}
	c.ColdCapacity, c.ColdTime, c.OverloadMultiple, e.configured = r.ColdCapacity, r.ColdTime, r.OverloadMultiple, r.Instances
	e.SetInstances(e.there)
	e.quotas(r)
	if t.leased != leased || !slices.Equal(t.last, t.holder.Leased()) {
		t.leased, t.last = leased, slices.Clone(t.holder.Leased())
		message := LogLeaseExpired
		if leased {
			message = LogLeaseHeld
		}
		e.RulesLog().Info(message)
	}
	e.list.ban(r.Drained)
	// What is older than the latest grant names nobody any more; what only may come does without a lease.
	said = slices.DeleteFunc(said, func(v *RuleSet) bool {
		return v.Number < oldest(t.holder) || leased && !slices.Contains(t.holder.Leased(), v.Number)
	})
	e.list.agreed(r, said, t.of[oldest(t.holder)])
	e.adopt()
}

// oldest is the version whose table is gone by: the one in force, and while a change is under way the one before it.
func oldest(h *ruleset.LeaseClient) (n ruleset.RevisionNumber) {
	if of := h.Leased(); len(of) > 0 {
		n = of[0]
	}
	return n
}

// TableDigest is the digest of the table as it stands. One that was agreed on is taken again where the module has left it: an endpoint whose time
// after its end is over may have moved slots.
func (e *Engine) TableDigest() uint64 {
	table := e.Module.TableDigest()
	if e.terms != nil && table != e.terms.table && e.adopt() {
		table = e.terms.table
	}
	return table
}

// adopt takes the agreed table, where there is one.
func (e *Engine) adopt() bool {
	t := e.terms
	if !t.leased || !e.list.closed {
		return false
	}
	v := t.of[oldest(t.holder)]
	if v == nil || v.Table == nil {
		return false
	}
	if e.Module.AdoptTable(v.Table) {
		t.table = e.Module.TableDigest()
		return true
	}
	if t.unfit != v.Number {
		t.unfit = v.Number
		e.Logger.WithField("version", v.Number).Error("rules: the agreed table names a server that is not in the list, and is left out")
	}
	return false
}

// said are the versions that say what does not bind: those in force, the newest first, then the others that are known.
func (e *Engine) said() (all []*RuleSet) {
	t := e.terms
	for _, v := range t.of {
		all = append(all, v)
	}
	inForce := func(v *RuleSet) int {
		if slices.Contains(t.holder.Leased(), v.Number) {
			return 1
		}
		return 0
	}
	slices.SortFunc(all, func(x, y *RuleSet) int {
		return cmp.Or(inForce(y)-inForce(x), cmp.Compare(y.Number, x.Number))
	})
	return all
}

func (e *Engine) agreeing(do func(RulesFront)) {
	for _, f := range e.fronts {
		if one, does := f.(RulesFront); does {
			do(one)
		}
	}
}

// place writes what binds a place's requests to where the module reads it.
func (e *Engine) place(at policy.ClassID, name string, now ruleset.ClassRule, latest *RuleSet) {
	t, c := e.terms, e.Settings
	for len(t.named) <= int(at) {
		t.named, t.rows = append(t.named, ""), append(t.rows, 0)
	}
	for len(c.Classes) <= int(at) {
		c.Classes = append(c.Classes, policy.Class{})
	}
	o := &c.Classes[at]
	like := slices.Index(t.named, name)
	if i := slices.IndexFunc(latest.Settings.Classes, func(o policy.Class) bool { return o.Name == name }); i >= 0 {
		*o = latest.Settings.Classes[i]
	} else if t.named[at] != name && like >= 0 {
		*o = c.Classes[like]
	}
	now.ApplyTo(o)
	if t.named[at] != name {
		t.named[at], t.rows[at] = name, e.row(name)
		if like < 0 {
			like = int(at)
		}
		e.Module.AddClass(at, policy.ClassID(like))
		if e.Latency != nil {
			e.Latency.SetClassName(at, name)
		}
	}
}

// row is where a class's figures are: all of one name have one. Of very many names over time the last share one.
func (e *Engine) row(name string) int {
	n := int(e.names.Load())
	for i := range n {
		if e.labels[i][0] == label(name, results[0]) {
			return i
		}
	}
	if n == len(e.labels) {
		return n - 1
	}
	for r := range results {
		e.labels[n][r] = label(name, results[r])
	}
	e.names.Store(int64(n) + 1)
	return n
}

// quotas takes over those of the tenants. One that is not named any more has none, and its requests come as nobody's.
func (e *Engine) quotas(r *ruleset.Rules) {
	c := e.Settings
	c.TotalQuota = 0
	for i, f := range c.Tenants {
		if !slices.ContainsFunc(r.Tenants, func(now ruleset.TenantQuota) bool { return now.Name == f.Name }) {
			e.agreeing(func(front RulesFront) { front.SetTenant(f.Name, policy.NoTenant) })
			c.Tenants[i].Quota = 0
		}
	}
	for _, f := range r.Tenants {
		at := slices.IndexFunc(c.Tenants, func(was policy.Tenant) bool { return was.Name == f.Name })
		if at < 0 {
			at = len(c.Tenants)
			c.Tenants = append(c.Tenants, policy.Tenant{Name: f.Name})
			e.Module.GrowTenants()
		}
		c.Tenants[at].Quota = f.Quota
		c.TotalQuota += f.Quota
		e.agreeing(func(front RulesFront) { front.SetTenant(f.Name, policy.TenantID(at)) })
	}
}

// agreed has the endpoints that versions name in the place of the source's own. One that not all of those name that may be in force drains.
// One that is only coming is not known yet, so that the table stays as it is in force; table is the version that it is of.
func (f *members) agreed(r *ruleset.Rules, said []*RuleSet, table *RuleSet) {
	if r.AnyEndpoint {
		if f.closed {
			f.closed = false
			f.apply(f.e.Clock.Now(), &discovery.List{Kind: policy.ListFull, Entries: f.own})
		}
		return
	}
	f.closed = true
	var all []discovery.Entry
	named := map[policy.EndpointID]bool{}
	for _, v := range said {
		for _, e := range v.Endpoints {
			if named[e.ID] {
				continue
			}
			named[e.ID] = true
			i, byAll := slices.BinarySearchFunc(r.Endpoints, e.ID, func(s ruleset.Endpoint, id policy.EndpointID) int { return cmp.Compare(s.ID, id) })
			if byAll {
				e.Started = max(e.Started, r.Endpoints[i].Started)
			} else if f.e.Endpoints[e.ID] == nil && (table == nil || v != table) {
				continue
			} else if e.Status == policy.Ready {
				e.Status = policy.Draining
			}
			all = append(all, e)
		}
	}
	f.apply(f.e.Clock.Now(), &discovery.List{Kind: policy.ListFull, Entries: all})
}

// ban takes out the endpoints that a version bans, and calls back those that none does any more.
func (f *members) ban(ids []policy.EndpointID) {
	if slices.Equal(f.banned, ids) {
		return
	}
	f.banned = slices.Clone(ids)
	var changed []policy.Member
	for _, id := range slices.Sorted(maps.Keys(f.e.Endpoints)) {
		if s := f.e.Endpoints[id]; s.Listed {
			if shown := f.shown(s.Entry); shown.Status == policy.Ready == s.Draining && f.know(shown) {
				changed = append(changed, shown.Member)
			}
		}
	}
	if len(changed) > 0 {
		f.e.Module.UpdateEndpoints(f.e.Clock.Now(), policy.ListChanges, changed)
	}
}

// keep notes what the own source tells while versions say which endpoints there are.
func (f *members) keep(l *discovery.List) {
	if l.Kind != policy.ListChanges {
		f.own = nil
	}
	for _, e := range l.Entries {
		at := slices.IndexFunc(f.own, func(was discovery.Entry) bool { return was.ID == e.ID })
		switch {
		case at >= 0 && e.Status == policy.Gone:
			f.own = slices.Delete(f.own, at, at+1)
		case at >= 0:
			f.own[at] = e
		case e.Status != policy.Gone:
			f.own = append(f.own, e)
		}
	}
}
