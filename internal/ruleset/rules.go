package ruleset

import (
	"cmp"
	"math"
	"slices"

	"pepperlead/policy"
)

// ClassRule is the binding rule of one class. The zero value allows no retries: the class is non-idempotent.
type ClassRule struct {
	Repeatable bool        // whether a request may run twice, within the limits of the other fields
	SameZone   bool        // retries stay in the zone of the endpoint that may have run the request first
	SameCell   bool        // retries stay in the cell of that endpoint
	Window     policy.Time // how long after the first attempt a request may be retried
	Deadline   policy.Time // longest deadline of a request; 0: the rule sets none
}

// NamedClassRule is the name of a class with its rule.
type NamedClassRule struct {
	Name string
	ClassRule
}

// Endpoint is an endpoint that requests may be sent to.
type Endpoint struct {
	ID      policy.EndpointID
	Started policy.Time // when it started, from which ColdTime counts; 0: long ago
}

// TenantQuota is a tenant's quota in requests per second over all instances.
type TenantQuota struct {
	Name  string
	Quota float64
}

// Rules are the binding rules of a revision. Each list is sorted by name or ID and has no duplicates.
type Rules struct {
	Classes          []NamedClassRule
	Tenants          []TenantQuota
	Endpoints        []Endpoint          // the ready endpoints; unused with AnyEndpoint
	AnyEndpoint      bool                // the revision names no endpoints
	Drained          []policy.EndpointID // administratively drained; they need not be in Endpoints
	Instances        int                 // number of instances among which quotas and other budgets are split
	ColdCapacity     float64             // capacity of a cold endpoint, as a fraction of its full one
	ColdTime         policy.Time         // how long an endpoint is cold
	OverloadMultiple float64             // multiple of its capacity at which a cold endpoint fails; 0: it gets no load
}

// IdempotentRule returns the rule that allows every retry.
func IdempotentRule(deadline policy.Time) ClassRule {
	return ClassRule{Repeatable: true, Window: math.MaxInt64, Deadline: deadline}
}

// NeedsKey reports whether requests may be retried only with an idempotency key that endpoints deduplicate by.
func (r ClassRule) NeedsKey() bool {
	return r.Repeatable && (r.SameZone || r.SameCell || r.Window < math.MaxInt64)
}

// NewRules returns the binding rules of settings. deadlines holds the deadline of each class, in the order of
// settings.Classes; endpoints is nil if the revision names none.
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
			SameZone:   class.Group == policy.GroupZone,
			SameCell:   class.Group == policy.GroupCell,
			Window:     class.Window,
			Deadline:   deadline,
		}
	}
	return ClassRule{Deadline: deadline}
}

// ApplyTo writes the rule into a class of the settings. If the rule limits retries to both a zone and a cell, the class
// allows none, because a class has a single deduplication group.
func (r ClassRule) ApplyTo(class *policy.Class) {
	class.Idempotency = policy.NonIdempotent
	class.Group = policy.GroupAll
	class.Window = 0
	if r.Deadline > 0 {
		class.Deadline = r.Deadline
	}
	if !r.Repeatable || r.SameZone && r.SameCell {
		return
	}
	if !r.NeedsKey() {
		class.Idempotency = policy.Idempotent
		return
	}
	class.Idempotency = policy.Keyed
	class.Window = r.Window
	if r.SameZone {
		class.Group = policy.GroupZone
	}
	if r.SameCell {
		class.Group = policy.GroupCell
	}
}

// Class returns the rule of the class with the given name, and whether there is such a class.
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
