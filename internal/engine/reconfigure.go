package engine

import (
	"slices"

	"pepperlead/policy"
)

// Reconfigure goes over to a new configuration and a new source of endpoints. Requests and all that is known of
// endpoints stay. It returns whether the settings were taken over: not if the module's counts would become wrong.
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

// SetInstances shares budgets and waits among as many instances as are live, and never among fewer than are configured:
// a partitioned part of the network knows of few and must not assume that the others have stopped. Only the loop calls
// it.
func (e *Engine) SetInstances(live int) {
	e.liveInstances = live
	if n := max(e.configuredInstances, live); n != e.Settings.Instances {
		e.Logger.Infof("peers: budgets are shared among %d, %d are configured", n, e.configuredInstances)
		e.Settings.Instances = n
	}
}

// sameShape tells whether the module can go over from one to the other: what it has counted by class, tenant and zone
// must stay true.
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
