package engine

import (
	"slices"

	"pepperlead/policy"
)

// Reconfigure applies a new configuration and a new source of endpoints. Requests and the learned state of endpoints
// are kept. It reports whether the settings were applied: they are not if the module's counts would become wrong.
func (e *Engine) Reconfigure(config Config) (settingsApplied bool) {
	settingsApplied = sameShape(config.Settings, e.Settings)
	if settingsApplied {
		*e.Settings = *config.Settings // the module keeps the pointer
		e.configuredInstances = config.Settings.Instances
		e.SetInstances(e.liveInstances)
	}
	e.ShutdownTime = config.ShutdownTime
	if config.Source.Name() != e.Source.Name() {
		e.Source = config.Source
		e.list.replaceSource(config.Source)
	}
	e.Counters.Reconfigurations++
	return settingsApplied
}

// SetInstances sets the number of instances among which budgets and waiting times are shared. It is the number of live
// instances, but never less than the configured number: in a network partition an instance sees only few others and
// must not assume that the rest have stopped. Only the loop calls it.
func (e *Engine) SetInstances(live int) {
	e.liveInstances = live
	if n := max(e.configuredInstances, live); n != e.Settings.Instances {
		e.Logger.Infof("peers: budgets are shared among %d, %d are configured", n, e.configuredInstances)
		e.Settings.Instances = n
	}
}

// sameShape reports whether the module can switch from one of the settings to the other. Its counts by class, tenant
// and zone must stay correct.
func sameShape(a, b *policy.Settings) bool {
	return a.Zone == b.Zone && a.Zones == b.Zones &&
		a.PollList == b.PollList && a.FixedWeights == b.FixedWeights &&
		slices.EqualFunc(a.Classes, b.Classes, sameClass) &&
		slices.EqualFunc(a.Tenants, b.Tenants, sameTenant)
}

func sameClass(a, b policy.Class) bool {
	return a.Name == b.Name && a.Idempotency == b.Idempotency && a.Group == b.Group
}

func sameTenant(a, b policy.Tenant) bool { return a.Name == b.Name }
