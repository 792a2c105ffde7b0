// Package agreement decides by which rules a sidecar may act while versions of them change and links break: what the strictest of
// several versions is, how long a lease on a version holds, and when the next one may come into force. No I/O, no clock, no goroutine:
// moments are handed in. Why it is so: docs/agreement.md.
package ruleset

import (
	"cmp"
	"math"
	"slices"

	"pepperlead/policy"
)

// ClassRule is what binds of one offering. The zero value is the strictest: at-most-once.
type ClassRule struct {
	Repeatable bool // it may run twice, within what follows
	Zone       bool // only within the zone of the server that may have run it first
	Cell       bool // only within its pod
	Window     policy.Time
	Deadline   policy.Time // longest; 0: none is stated
}

// Endpoint is one that may be pushed to.
type Endpoint struct {
	ID      policy.EndpointID
	Started policy.Time
}

// TenantQuota is a tenant's quota, in tickets a second over all sidecars.
type TenantQuota struct {
	Name  string
	Quota float64
}

// Rules are what binds of a version. Offerings, franchises and servers are in the order of their names, each once.
type Rules struct {
	Classes          []NamedClassRule
	Tenants          []TenantQuota
	Endpoints        []Endpoint          // ready ones; Open: any that a list names
	AnyEndpoint      bool                // the version says nothing of servers
	Drained          []policy.EndpointID // taken out by hand, whoever lists them; in order
	Instances        int                 // sidecars among which budgets are split
	ColdCapacity     float64             // part of its work that a cold server can do
	ColdTime         policy.Time
	OverloadMultiple float64 // times what it can do that make a cold server fall over; 0: it gets nothing
}

// NamedClassRule is an offering under its name.
type NamedClassRule struct {
	Name string
	ClassRule
}

// IdempotentRule allows everything.
func IdempotentRule(cutOff policy.Time) ClassRule {
	return ClassRule{Repeatable: true, Window: math.MaxInt64, Deadline: cutOff}
}

// NeedsKey tells whether tickets may run twice only where servers know them again by their number.
func (o ClassRule) NeedsKey() bool {
	return o.Repeatable && (o.Zone || o.Cell || o.Window < math.MaxInt64)
}

// NewRules is what binds of a campaign whose offerings are cut off at these times. servers: nil where it says nothing of them.
func NewRules(c *policy.Settings, cutOffs []policy.Time, servers []policy.Member, bans []policy.EndpointID) Rules {
	r := Rules{AnyEndpoint: servers == nil, Drained: slices.Sorted(slices.Values(bans)), Instances: c.Instances, ColdCapacity: c.ColdCapacity, ColdTime: c.ColdTime, OverloadMultiple: c.OverloadMultiple}
	for i, o := range c.Classes {
		one := ClassRule{Deadline: cutOffs[i]}
		switch o.Idempotency {
		case policy.Idempotent:
			one = IdempotentRule(cutOffs[i])
		case policy.Keyed:
			one.Repeatable, one.Window, one.Zone, one.Cell = true, o.Window, o.Group == policy.GroupZone, o.Group == policy.GroupCell
		}
		r.Classes = append(r.Classes, NamedClassRule{o.Name, one})
	}
	for _, f := range c.Tenants {
		r.Tenants = append(r.Tenants, TenantQuota{f.Name, f.Quota})
	}
	for _, m := range servers {
		if m.Status == policy.Ready {
			r.Endpoints = append(r.Endpoints, Endpoint{m.ID, m.Started})
		}
	}
	slices.SortFunc(r.Classes, func(x, y NamedClassRule) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(r.Tenants, func(x, y TenantQuota) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(r.Endpoints, func(x, y Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	return r
}

// ApplyTo writes into an offering what binds of it. Where it may be repeated within a zone and within a pod alike it may not at all: the module
// knows one group for each.
func (o ClassRule) ApplyTo(to *policy.Class) {
	to.Idempotency, to.Group, to.Window = policy.NonIdempotent, policy.GroupAll, 0
	if o.Deadline > 0 {
		to.Deadline = o.Deadline
	}
	switch {
	case !o.Repeatable || o.Zone && o.Cell:
	case !o.NeedsKey():
		to.Idempotency = policy.Idempotent
	default:
		to.Idempotency, to.Window = policy.Keyed, o.Window
		if o.Zone {
			to.Group = policy.GroupZone
		}
		if o.Cell {
			to.Group = policy.GroupCell
		}
	}
}

// Floor is what may be done under any version at all: no repeat once a push may have run, nothing to a cold server. It is what is left to
// a sidecar that cannot know which version is in force.
func (r Rules) Floor() Rules {
	f := r
	f.OverloadMultiple = 0
	f.Classes = slices.Clone(r.Classes)
	for i := range f.Classes {
		f.Classes[i].ClassRule = ClassRule{Deadline: r.Classes[i].Deadline}
	}
	return f
}

// strict is what both allow of an offering.
func strict(a, b ClassRule) ClassRule {
	o := ClassRule{Deadline: shorter(a.Deadline, b.Deadline)}
	if a.Repeatable && b.Repeatable {
		o.Repeatable, o.Zone, o.Cell, o.Window = true, a.Zone || b.Zone, a.Cell || b.Cell, min(a.Window, b.Window)
	}
	return o
}

// shorter takes 0 for a span without end.
func shorter(a, b policy.Time) policy.Time {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// Strictest is what both versions allow. It is commutative, associative and idempotent. An offering that one of them does not know is
// at-most-once by the other; a franchise keeps the quota of the one that knows it.
func Strictest(a, b Rules) Rules {
	r := Rules{Instances: max(a.Instances, b.Instances), ColdCapacity: min(a.ColdCapacity, b.ColdCapacity), ColdTime: max(a.ColdTime, b.ColdTime),
		OverloadMultiple: min(a.OverloadMultiple, b.OverloadMultiple), AnyEndpoint: a.AnyEndpoint && b.AnyEndpoint}
	r.Classes = merge(a.Classes, b.Classes, func(x, y NamedClassRule) int { return cmp.Compare(x.Name, y.Name) }, func(x, y *NamedClassRule) (NamedClassRule, bool) {
		switch {
		case x == nil:
			return NamedClassRule{y.Name, ClassRule{Deadline: y.Deadline}}, true
		case y == nil:
			return NamedClassRule{x.Name, ClassRule{Deadline: x.Deadline}}, true
		}
		return NamedClassRule{x.Name, strict(x.ClassRule, y.ClassRule)}, true
	})
	r.Tenants = merge(a.Tenants, b.Tenants, func(x, y TenantQuota) int { return cmp.Compare(x.Name, y.Name) },
		func(x, y *TenantQuota) (TenantQuota, bool) {
			switch {
			case x == nil:
				return *y, true
			case y == nil:
				return *x, true
			}
			return TenantQuota{x.Name, min(x.Quota, y.Quota)}, true
		})
	r.Drained = slices.Compact(slices.Sorted(slices.Values(slices.Concat(a.Drained, b.Drained))))
	r.Endpoints = merge(a.Endpoints, b.Endpoints, func(x, y Endpoint) int { return cmp.Compare(x.ID, y.ID) }, func(x, y *Endpoint) (Endpoint, bool) {
		switch {
		case x == nil:
			return *y, a.AnyEndpoint
		case y == nil:
			return *x, b.AnyEndpoint
		}
		return Endpoint{x.ID, max(x.Started, y.Started)}, true
	})
	return r
}

// merge walks two sorted lists side by side. one is given what stands under the same name on either side, nil where there is none.
func merge[T any](a, b []T, order func(x, y T) int, one func(x, y *T) (T, bool)) (all []T) {
	for len(a) > 0 || len(b) > 0 {
		var x, y *T
		if len(b) == 0 || len(a) > 0 && order(a[0], b[0]) <= 0 {
			x = &a[0]
		}
		if len(a) == 0 || len(b) > 0 && order(b[0], a[0]) <= 0 {
			y = &b[0]
		}
		if x != nil {
			a = a[1:]
		}
		if y != nil {
			b = b[1:]
		}
		if t, kept := one(x, y); kept {
			all = append(all, t)
		}
	}
	return all
}

// Allows tells whether all that other allows is allowed here too: nothing that r forbids.
func (r Rules) Allows(other Rules) bool {
	for _, o := range other.Classes {
		mine, known := r.Class(o.Name)
		if known && strict(mine, o.ClassRule) != o.ClassRule || !known && o.Repeatable {
			return false
		}
	}
	for _, f := range r.Tenants {
		i := slices.IndexFunc(other.Tenants, func(g TenantQuota) bool { return g.Name == f.Name })
		if i < 0 || other.Tenants[i].Quota > f.Quota {
			return false
		}
	}
	for _, id := range r.Drained {
		if _, banned := slices.BinarySearch(other.Drained, id); !banned {
			return false
		}
	}
	for _, s := range other.Endpoints {
		i := slices.IndexFunc(r.Endpoints, func(mine Endpoint) bool { return mine.ID == s.ID })
		if i < 0 && !r.AnyEndpoint || i >= 0 && s.Started < r.Endpoints[i].Started {
			return false
		}
	}
	return (r.AnyEndpoint || !other.AnyEndpoint) && other.Instances >= r.Instances && other.ColdCapacity <= r.ColdCapacity && other.ColdTime >= r.ColdTime &&
		other.OverloadMultiple <= r.OverloadMultiple
}

// Class is what binds of the one under that name.
func (r *Rules) Class(name string) (ClassRule, bool) {
	i, known := slices.BinarySearchFunc(r.Classes, name, func(n NamedClassRule, name string) int { return cmp.Compare(n.Name, name) })
	if !known {
		return ClassRule{}, false
	}
	return r.Classes[i].ClassRule, true
}
