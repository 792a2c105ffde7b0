package ruleset

import (
	"cmp"
	"math"
	"slices"

	"pepperlead/policy"
)

// ClassRule is what is binding for one class. The zero value is the strictest: non-idempotent.
type ClassRule struct {
	Repeatable bool        // a request may run twice, within the limits of the other fields
	Zone       bool        // only within the zone of the endpoint that may have run it first
	Cell       bool        // only within that endpoint's cell
	Window     policy.Time // how long after the first attempt
	Deadline   policy.Time // longest deadline of a request; 0: none is stated
}

// NamedClassRule is the rule of a class and its name.
type NamedClassRule struct {
	Name string
	ClassRule
}

// Endpoint is an endpoint that requests may be sent to.
type Endpoint struct {
	ID      policy.EndpointID
	Started policy.Time
}

// TenantQuota is a tenant's quota in requests per second over all instances.
type TenantQuota struct {
	Name  string
	Quota float64
}

// Rules are what is binding in a revision. Each list is sorted by name or ID and has no duplicates.
type Rules struct {
	Classes          []NamedClassRule
	Tenants          []TenantQuota
	Endpoints        []Endpoint          // the ready ones; unused with AnyEndpoint
	AnyEndpoint      bool                // the revision names no endpoints
	Drained          []policy.EndpointID // administratively drained, whatever lists them
	Instances        int                 // the instances that budgets are split among
	ColdCapacity     float64             // the fraction of its capacity that a cold endpoint has
	ColdTime         policy.Time         // how long an endpoint is cold
	OverloadMultiple float64             // of its capacity, at which a cold endpoint fails; 0: it gets no load
}

// IdempotentRule returns the rule that allows every retry.
func IdempotentRule(deadline policy.Time) ClassRule {
	return ClassRule{Repeatable: true, Window: math.MaxInt64, Deadline: deadline}
}

// NeedsKey reports whether requests may be retried only with an idempotency key that endpoints deduplicate by.
func (r ClassRule) NeedsKey() bool {
	return r.Repeatable && (r.Zone || r.Cell || r.Window < math.MaxInt64)
}

// NewRules returns what is binding in settings whose classes have these deadlines. endpoints is nil if the revision
// names none.
func NewRules(settings *policy.Settings, deadlines []policy.Time, endpoints []policy.Member,
	drained []policy.EndpointID,
) Rules {
	rules := Rules{
		AnyEndpoint:      endpoints == nil,
		Drained:          slices.Sorted(slices.Values(drained)),
		Instances:        settings.Instances,
		ColdCapacity:     settings.ColdCapacity,
		ColdTime:         settings.ColdTime,
		OverloadMultiple: settings.OverloadMultiple,
	}
	for i := range settings.Classes {
		class := &settings.Classes[i]
		rules.Classes = append(rules.Classes, NamedClassRule{class.Name, newClassRule(class, deadlines[i])})
	}
	for _, tenant := range settings.Tenants {
		rules.Tenants = append(rules.Tenants, TenantQuota{tenant.Name, tenant.Quota})
	}
	for _, member := range endpoints {
		if member.Status == policy.Ready {
			rules.Endpoints = append(rules.Endpoints, Endpoint{member.ID, member.Started})
		}
	}
	slices.SortFunc(rules.Classes, compareClasses)
	slices.SortFunc(rules.Tenants, compareTenants)
	slices.SortFunc(rules.Endpoints, compareEndpoints)
	return rules
}

// newClassRule returns the rule of one class of the settings.
func newClassRule(class *policy.Class, deadline policy.Time) ClassRule {
	switch class.Idempotency {
	case policy.Idempotent:
		return IdempotentRule(deadline)
	case policy.Keyed:
		return ClassRule{
			Repeatable: true,
			Zone:       class.Group == policy.GroupZone,
			Cell:       class.Group == policy.GroupCell,
			Window:     class.Window,
			Deadline:   deadline,
		}
	}
	return ClassRule{Deadline: deadline}
}

// ApplyTo writes the rule into a class of the settings. A rule that limits retries to a zone and to a cell allows none
// there, because a class has a single group.
func (r ClassRule) ApplyTo(class *policy.Class) {
	class.Idempotency = policy.NonIdempotent
	class.Group = policy.GroupAll
	class.Window = 0
	if r.Deadline > 0 {
		class.Deadline = r.Deadline
	}
	if !r.Repeatable || r.Zone && r.Cell {
		return
	}
	if !r.NeedsKey() {
		class.Idempotency = policy.Idempotent
		return
	}
	class.Idempotency = policy.Keyed
	class.Window = r.Window
	if r.Zone {
		class.Group = policy.GroupZone
	}
	if r.Cell {
		class.Group = policy.GroupCell
	}
}

// Class returns the rule of the class with a name.
func (r *Rules) Class(name string) (ClassRule, bool) {
	i, known := slices.BinarySearchFunc(r.Classes, name, func(class NamedClassRule, name string) int {
		return cmp.Compare(class.Name, name)
	})
	if !known {
		return ClassRule{}, false
	}
	return r.Classes[i].ClassRule, true
}

func compareClasses(a, b NamedClassRule) int { return cmp.Compare(a.Name, b.Name) }

func compareTenants(a, b TenantQuota) int { return cmp.Compare(a.Name, b.Name) }

func compareEndpoints(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) }
