package engine

import (
	"slices"

	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

// eachRulesFront calls do for each front whose classes and tenants can change.
func (e *Engine) eachRulesFront(do func(RulesFront)) {
	for _, f := range e.fronts {
		if rulesFront, ok := f.(RulesFront); ok {
			do(rulesFront)
		}
	}
}

// setClasses copies the classes of the rules to the module's settings.
func (e *Engine) setClasses(rules *ruleset.Rules, leased bool, latest *RuleSet) {
	set := func(class policy.ClassID, name string, rule ruleset.ClassRule, admits bool) {
		e.setClass(class, name, rule, latest)
		if admits {
			e.eachRulesFront(func(f RulesFront) { f.SetClass(name, class, rule.Deadline) })
		}
	}
	e.rules.classes.Update(rules, leased, set)
}

// removeClasses makes the fronts drop the classes that no longer admit requests.
func (e *Engine) removeClasses() {
	active := e.rules
	names := append(active.admitted, active.classNames...)
	slices.Sort(names)
	active.admitted = nil
	for _, name := range slices.Compact(names) {
		if _, admits := active.classes.Lookup(name); admits {
			active.admitted = append(active.admitted, name)
		} else {
			e.eachRulesFront(func(f RulesFront) { f.SetClass(name, policy.NoClass, 0) })
		}
	}
}

// setClass sets one class by its rule. Settings that the rule doesn't determine are those of the latest rule set, or
// else those of the class that had this name before.
func (e *Engine) setClass(id policy.ClassID, name string, rule ruleset.ClassRule, latest *RuleSet) {
	e.growClasses(id)
	active := e.rules
	class := &e.Settings.Classes[id]
	renamed := active.classNames[id] != name
	previous := slices.Index(active.classNames, name)
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
	active.classNames[id] = name
	active.classRows[id] = e.classRow(name)
	if previous < 0 {
		previous = int(id)
	}
	e.Module.AddClass(id, policy.ClassID(previous))
	if e.Latency != nil {
		e.Latency.SetClassName(id, name)
	}
}

// growClasses makes room for the class with the given id.
func (e *Engine) growClasses(id policy.ClassID) {
	active := e.rules
	for len(active.classNames) <= int(id) {
		active.classNames = append(active.classNames, "")
		active.classRows = append(active.classRows, 0)
	}
	for len(e.Settings.Classes) <= int(id) {
		e.Settings.Classes = append(e.Settings.Classes, policy.Class{})
	}
}

// setQuotas applies the tenants and their quotas. A tenant that the rules no longer name has no quota, and its requests
// are attributed to no tenant.
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

// tenant returns the id of the tenant with that name. It adds the tenant if there is none.
func (e *Engine) tenant(name string) policy.TenantID {
	hasName := func(t policy.Tenant) bool { return t.Name == name }
	if i := slices.IndexFunc(e.Settings.Tenants, hasName); i >= 0 {
		return policy.TenantID(i)
	}
	e.Settings.Tenants = append(e.Settings.Tenants, policy.Tenant{Name: name})
	e.Module.AddTenants()
	return policy.TenantID(len(e.Settings.Tenants) - 1)
}
