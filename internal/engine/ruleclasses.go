package engine

import (
	"slices"

	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

// eachRulesFront calls do for each front that supports classes and tenants that come and go.
func (e *Engine) eachRulesFront(do func(RulesFront)) {
	for _, f := range e.fronts {
		if rulesFront, ok := f.(RulesFront); ok {
			do(rulesFront)
		}
	}
}

// setClasses writes the classes of the rules to the settings that the module reads.
func (e *Engine) setClasses(rules *ruleset.Rules, leased bool, latest *RuleSet) {
	set := func(class policy.ClassID, name string, rule ruleset.ClassRule, admits bool) {
		e.setClass(class, name, rule, latest)
		if admits {
			e.eachRulesFront(func(f RulesFront) { f.SetClass(name, class, rule.Deadline) })
		}
	}
	e.rules.classes.Update(rules, leased, set)
}

// removeClasses has the fronts drop the classes that admit no requests any more.
func (e *Engine) removeClasses() {
	a := e.rules
	names := append(a.admitted, a.classNames...)
	slices.Sort(names)
	a.admitted = nil
	for _, name := range slices.Compact(names) {
		if _, admits := a.classes.Lookup(name); admits {
			a.admitted = append(a.admitted, name)
		} else {
			e.eachRulesFront(func(f RulesFront) { f.SetClass(name, policy.NoClass, 0) })
		}
	}
}

// setClass sets one class by its rule. What the rule doesn't bind is that of the latest rule set, or else that of the
// class that had the name before.
func (e *Engine) setClass(id policy.ClassID, name string, rule ruleset.ClassRule, latest *RuleSet) {
	e.growClasses(id)
	a := e.rules
	class := &e.Settings.Classes[id]
	renamed := a.classNames[id] != name
	previous := slices.Index(a.classNames, name)
	hasName := func(c policy.Class) bool { return c.Name == name }
	if i := slices.IndexFunc(latest.Settings.Classes, hasName); i >= 0 {
		*class = latest.Settings.Classes[i]
	} else if renamed && previous >= 0 {
		*class = e.Settings.Classes[previous]
	}
	rule.ApplyTo(class)
	if !renamed {
		return
	}
	a.classNames[id] = name
	a.classRows[id] = e.classRow(name)
	if previous < 0 {
		previous = int(id)
	}
	e.Module.AddClass(id, policy.ClassID(previous))
	if e.Latency != nil {
		e.Latency.SetClassName(id, name)
	}
}

// growClasses makes room for the class of that id.
func (e *Engine) growClasses(id policy.ClassID) {
	a := e.rules
	for len(a.classNames) <= int(id) {
		a.classNames = append(a.classNames, "")
		a.classRows = append(a.classRows, 0)
	}
	for len(e.Settings.Classes) <= int(id) {
		e.Settings.Classes = append(e.Settings.Classes, policy.Class{})
	}
}

// setQuotas takes over the tenants and their quotas. A tenant that is not named any more has none, and its requests
// count as no tenant's.
func (e *Engine) setQuotas(rules *ruleset.Rules) {
	e.Settings.TotalQuota = 0
	for i, tenant := range e.Settings.Tenants {
		named := func(quota ruleset.TenantQuota) bool { return quota.Name == tenant.Name }
		if !slices.ContainsFunc(rules.Tenants, named) {
			e.eachRulesFront(func(f RulesFront) { f.SetTenant(tenant.Name, policy.NoTenant) })
			e.Settings.Tenants[i].Quota = 0
		}
	}
	for _, quota := range rules.Tenants {
		id := e.tenant(quota.Name)
		e.Settings.Tenants[id].Quota = quota.Quota
		e.Settings.TotalQuota += quota.Quota
		e.eachRulesFront(func(f RulesFront) { f.SetTenant(quota.Name, id) })
	}
}

// tenant is the id of a tenant, which is added if need be.
func (e *Engine) tenant(name string) policy.TenantID {
	hasName := func(t policy.Tenant) bool { return t.Name == name }
	if i := slices.IndexFunc(e.Settings.Tenants, hasName); i >= 0 {
		return policy.TenantID(i)
	}
	e.Settings.Tenants = append(e.Settings.Tenants, policy.Tenant{Name: name})
	e.Module.AddTenants()
	return policy.TenantID(len(e.Settings.Tenants) - 1)
}
