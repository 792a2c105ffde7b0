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

// Offering is what binds of one offering. The zero value is the strictest: at-most-once.
type Offering struct {
	Repeats bool // it may run twice, within what follows
	Zone    bool // only within the zone of the server that may have run it first
	Cell    bool // only within its pod
	Window  policy.Time
	CutOff  policy.Time // longest; 0: none is stated
}

// Server is one that may be pushed to.
type Server struct {
	ID      policy.EndpointID
	Started policy.Time
}

// Franchise is a tenant's quota, in tickets a second over all sidecars.
type Franchise struct {
	Name  string
	Quota float64
}

// Rules are what binds of a version. Offerings, franchises and servers are in the order of their names, each once.
type Rules struct {
	Offerings  []Named
	Franchises []Franchise
	Servers    []Server            // ready ones; Open: any that a list names
	Open       bool                // the version says nothing of servers
	Bans       []policy.EndpointID // taken out by hand, whoever lists them; in order
	Instances  int                 // sidecars among which budgets are split
	ColdShare  float64             // part of its work that a cold server can do
	ColdTime   policy.Time
	Fall       float64 // times what it can do that make a cold server fall over; 0: it gets nothing
}

// Named is an offering under its name.
type Named struct {
	Name string
	Offering
}

// Reissuable allows everything.
func Reissuable(cutOff policy.Time) Offering {
	return Offering{Repeats: true, Window: math.MaxInt64, CutOff: cutOff}
}

// Numbered tells whether tickets may run twice only where servers know them again by their number.
func (o Offering) Numbered() bool { return o.Repeats && (o.Zone || o.Cell || o.Window < math.MaxInt64) }

// RulesOf is what binds of a campaign whose offerings are cut off at these times. servers: nil where it says nothing of them.
func RulesOf(c *policy.Settings, cutOffs []policy.Time, servers []policy.Member, bans []policy.EndpointID) Rules {
	r := Rules{Open: servers == nil, Bans: slices.Sorted(slices.Values(bans)), Instances: c.Instances, ColdShare: c.ColdCapacity, ColdTime: c.ColdTime, Fall: c.OverloadMultiple}
	for i, o := range c.Classes {
		one := Offering{CutOff: cutOffs[i]}
		switch o.Idempotency {
		case policy.Idempotent:
			one = Reissuable(cutOffs[i])
		case policy.Keyed:
			one.Repeats, one.Window, one.Zone, one.Cell = true, o.Window, o.Group == policy.GroupZone, o.Group == policy.GroupCell
		}
		r.Offerings = append(r.Offerings, Named{o.Name, one})
	}
	for _, f := range c.Tenants {
		r.Franchises = append(r.Franchises, Franchise{f.Name, f.Quota})
	}
	for _, m := range servers {
		if m.Status == policy.Ready {
			r.Servers = append(r.Servers, Server{m.ID, m.Started})
		}
	}
	slices.SortFunc(r.Offerings, func(x, y Named) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(r.Franchises, func(x, y Franchise) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(r.Servers, func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
	return r
}

// Bind writes into an offering what binds of it. Where it may be repeated within a zone and within a pod alike it may not at all: the module
// knows one group for each.
func (o Offering) Bind(to *policy.Class) {
	to.Idempotency, to.Group, to.Window = policy.NonIdempotent, policy.GroupAll, 0
	if o.CutOff > 0 {
		to.Deadline = o.CutOff
	}
	switch {
	case !o.Repeats || o.Zone && o.Cell:
	case !o.Numbered():
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
	f.Fall = 0
	f.Offerings = slices.Clone(r.Offerings)
	for i := range f.Offerings {
		f.Offerings[i].Offering = Offering{CutOff: r.Offerings[i].CutOff}
	}
	return f
}

// strict is what both allow of an offering.
func strict(a, b Offering) Offering {
	o := Offering{CutOff: shorter(a.CutOff, b.CutOff)}
	if a.Repeats && b.Repeats {
		o.Repeats, o.Zone, o.Cell, o.Window = true, a.Zone || b.Zone, a.Cell || b.Cell, min(a.Window, b.Window)
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
	r := Rules{Instances: max(a.Instances, b.Instances), ColdShare: min(a.ColdShare, b.ColdShare), ColdTime: max(a.ColdTime, b.ColdTime),
		Fall: min(a.Fall, b.Fall), Open: a.Open && b.Open}
	r.Offerings = merge(a.Offerings, b.Offerings, func(x, y Named) int { return cmp.Compare(x.Name, y.Name) }, func(x, y *Named) (Named, bool) {
		switch {
		case x == nil:
			return Named{y.Name, Offering{CutOff: y.CutOff}}, true
		case y == nil:
			return Named{x.Name, Offering{CutOff: x.CutOff}}, true
		}
		return Named{x.Name, strict(x.Offering, y.Offering)}, true
	})
	r.Franchises = merge(a.Franchises, b.Franchises, func(x, y Franchise) int { return cmp.Compare(x.Name, y.Name) },
		func(x, y *Franchise) (Franchise, bool) {
			switch {
			case x == nil:
				return *y, true
			case y == nil:
				return *x, true
			}
			return Franchise{x.Name, min(x.Quota, y.Quota)}, true
		})
	r.Bans = slices.Compact(slices.Sorted(slices.Values(slices.Concat(a.Bans, b.Bans))))
	r.Servers = merge(a.Servers, b.Servers, func(x, y Server) int { return cmp.Compare(x.ID, y.ID) }, func(x, y *Server) (Server, bool) {
		switch {
		case x == nil:
			return *y, a.Open
		case y == nil:
			return *x, b.Open
		}
		return Server{x.ID, max(x.Started, y.Started)}, true
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
	for _, o := range other.Offerings {
		mine, known := r.Offering(o.Name)
		if known && strict(mine, o.Offering) != o.Offering || !known && o.Repeats {
			return false
		}
	}
	for _, f := range r.Franchises {
		i := slices.IndexFunc(other.Franchises, func(g Franchise) bool { return g.Name == f.Name })
		if i < 0 || other.Franchises[i].Quota > f.Quota {
			return false
		}
	}
	for _, id := range r.Bans {
		if _, banned := slices.BinarySearch(other.Bans, id); !banned {
			return false
		}
	}
	for _, s := range other.Servers {
		i := slices.IndexFunc(r.Servers, func(mine Server) bool { return mine.ID == s.ID })
		if i < 0 && !r.Open || i >= 0 && s.Started < r.Servers[i].Started {
			return false
		}
	}
	return (r.Open || !other.Open) && other.Instances >= r.Instances && other.ColdShare <= r.ColdShare && other.ColdTime >= r.ColdTime &&
		other.Fall <= r.Fall
}

// Offering is what binds of the one under that name.
func (r *Rules) Offering(name string) (Offering, bool) {
	i, known := slices.BinarySearchFunc(r.Offerings, name, func(n Named, name string) int { return cmp.Compare(n.Name, name) })
	if !known {
		return Offering{}, false
	}
	return r.Offerings[i].Offering, true
}
