package ruleset

import (
	"slices"

	"pepperlead/policy"
)

// Floor returns the rules restricted to what every possible revision allows: no retry of a request that may have run,
// and no load for cold endpoints. It applies to an instance that can't know which revision is in force.
func (r Rules) Floor() Rules {
	floor := r
	floor.OverloadMultiple = 0
	floor.Classes = slices.Clone(r.Classes)
	for i := range floor.Classes {
		floor.Classes[i].ClassRule = ClassRule{Deadline: r.Classes[i].Deadline}
	}
	return floor
}

// Strictest returns rules that allow only what both a and b allow. The operation is commutative, associative and
// idempotent. A class that only one of them has becomes non-idempotent; a tenant that only one of them has keeps its
// quota.
func Strictest(a, b Rules) Rules {
	return Rules{
		Classes:   mergeSorted(a.Classes, b.Classes, compareClasses, strictestClass),
		Tenants:   mergeSorted(a.Tenants, b.Tenants, compareTenants, strictestTenant),
		Endpoints: strictestEndpoints(&a, &b),
		Drained: slices.Compact(slices.Sorted(slices.Values(
			slices.Concat(a.Drained, b.Drained)))),
		AnyEndpoint:      a.AnyEndpoint && b.AnyEndpoint,
		Instances:        max(a.Instances, b.Instances),
		ColdCapacity:     min(a.ColdCapacity, b.ColdCapacity),
		ColdTime:         max(a.ColdTime, b.ColdTime),
		OverloadMultiple: min(a.OverloadMultiple, b.OverloadMultiple),
	}
}

// strictestClassRule returns the rule that allows only what both rules allow.
func strictestClassRule(a, b ClassRule) ClassRule {
	deadline := shorterDeadline(a.Deadline, b.Deadline)
	if !a.Repeatable || !b.Repeatable {
		return ClassRule{Deadline: deadline}
	}
	return ClassRule{
		Repeatable: true,
		SameZone:   a.SameZone || b.SameZone,
		SameCell:   a.SameCell || b.SameCell,
		Window:     min(a.Window, b.Window),
		Deadline:   deadline,
	}
}

// shorterDeadline returns the shorter of two deadlines, where 0 means none.
func shorterDeadline(a, b policy.Time) policy.Time {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func strictestClass(a, b *NamedClassRule) (NamedClassRule, bool) {
	if a == nil {
		return NamedClassRule{b.Name, ClassRule{Deadline: b.Deadline}}, true
	}
	if b == nil {
		return NamedClassRule{a.Name, ClassRule{Deadline: a.Deadline}}, true
	}
	return NamedClassRule{a.Name, strictestClassRule(a.ClassRule, b.ClassRule)}, true
}

func strictestTenant(a, b *TenantQuota) (TenantQuota, bool) {
	if a == nil {
		return *b, true
	}
	if b == nil {
		return *a, true
	}
	return TenantQuota{a.Name, min(a.Quota, b.Quota)}, true
}

// strictestEndpoints returns the endpoints that both a and b allow. Rules with AnyEndpoint name no endpoints and allow
// those that the other rules name.
func strictestEndpoints(a, b *Rules) []Endpoint {
	return mergeSorted(a.Endpoints, b.Endpoints, compareEndpoints, func(x, y *Endpoint) (Endpoint, bool) {
		if x == nil {
			return *y, a.AnyEndpoint
		}
		if y == nil {
			return *x, b.AnyEndpoint
		}
		return Endpoint{x.ID, max(x.Started, y.Started)}, true
	})
}

// mergeSorted merges two sorted lists. It calls combine for each pair of elements that compare equal, and for each
// element that only one list has, with nil in place of the other. combine reports whether its result belongs in the
// merged list.
func mergeSorted[T any](a, b []T, compare func(x, y T) int, combine func(x, y *T) (T, bool)) []T {
	var merged []T
	for len(a) > 0 || len(b) > 0 {
		var x, y *T
		if len(b) == 0 || len(a) > 0 && compare(a[0], b[0]) <= 0 {
			x = &a[0]
		}
		if len(a) == 0 || len(b) > 0 && compare(b[0], a[0]) <= 0 {
			y = &b[0]
		}
		if x != nil {
			a = a[1:]
		}
		if y != nil {
			b = b[1:]
		}
		if element, ok := combine(x, y); ok {
			merged = append(merged, element)
		}
	}
	return merged
}

// Allows reports whether r permits everything that other permits.
func (r Rules) Allows(other Rules) bool {
	return r.allowsClasses(&other) && r.allowsTenants(&other) && r.allowsDrained(&other) &&
		r.allowsEndpoints(&other) && r.allowsLimits(&other)
}

func (r *Rules) allowsClasses(other *Rules) bool {
	for _, class := range other.Classes {
		own, known := r.Class(class.Name)
		if known && strictestClassRule(own, class.ClassRule) != class.ClassRule {
			return false
		}
		if !known && class.Repeatable {
			return false
		}
	}
	return true
}

func (r *Rules) allowsTenants(other *Rules) bool {
	for _, tenant := range r.Tenants {
		i := slices.IndexFunc(other.Tenants, func(candidate TenantQuota) bool { return candidate.Name == tenant.Name })
		if i < 0 || other.Tenants[i].Quota > tenant.Quota {
			return false
		}
	}
	return true
}

func (r *Rules) allowsDrained(other *Rules) bool {
	for _, id := range r.Drained {
		if _, drained := slices.BinarySearch(other.Drained, id); !drained {
			return false
		}
	}
	return true
}

func (r *Rules) allowsEndpoints(other *Rules) bool {
	for _, endpoint := range other.Endpoints {
		i := slices.IndexFunc(r.Endpoints, func(own Endpoint) bool { return own.ID == endpoint.ID })
		if i < 0 && !r.AnyEndpoint || i >= 0 && endpoint.Started < r.Endpoints[i].Started {
			return false
		}
	}
	return r.AnyEndpoint || !other.AnyEndpoint
}

func (r *Rules) allowsLimits(other *Rules) bool {
	return other.Instances >= r.Instances &&
		other.ColdCapacity <= r.ColdCapacity &&
		other.ColdTime >= r.ColdTime &&
		other.OverloadMultiple <= r.OverloadMultiple
}
