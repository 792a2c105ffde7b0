package engine

import (
	"slices"

	"pepperlead/policy"
)

// Reconfigure goes over to new settings and a new source of endpoints. Requests and all that is known of endpoints stay. alike: the settings
// is taken over; else the old one stays, as what the module has counted by it would not be true any more.
func (e *Engine) Reconfigure(post Config) (alike bool) {
	if alike = sameShape(post.Settings, e.Settings); alike {
		*e.Settings = *post.Settings // where the module reads it
		e.configured = post.Settings.Instances
		e.SetInstances(e.there)
	}
	e.Config.ShutdownTime = post.ShutdownTime
	if post.Source.Name() != e.Source.Name() {
		e.Source = post.Source
		e.list.move(post.Source)
	}
	e.Counters.Reconfigurations++
	return alike
}

// SetInstances has budgets and waits shared out among as many instances as are there, and never among fewer than are configured: a part of a network
// that is cut off knows of few, and must not take the others for gone. To be called by the loop.
func (e *Engine) SetInstances(there int) {
	e.there = there
	if n := max(e.configured, there); n != e.Settings.Instances {
		e.Logger.Infof("peers: budgets are shared among %d, %d are configured", n, e.configured)
		e.Settings.Instances = n
	}
}

// sameShape tells whether the module may go on with the one in place of the other: what it has counted by class,
// tenant and zone must stay true.
func sameShape(a, b *policy.Settings) bool {
	return a.Zone == b.Zone && a.Zones == b.Zones && a.PollList == b.PollList && a.FixedWeights == b.FixedWeights &&
		slices.EqualFunc(a.Classes, b.Classes, func(x, y policy.Class) bool {
			return x.Name == y.Name && x.Idempotency == y.Idempotency && x.Group == y.Group
		}) &&
		slices.EqualFunc(a.Tenants, b.Tenants, func(x, y policy.Tenant) bool { return x.Name == y.Name })
}

// ListFresh tells whether the source has told a list since the start.
func (e *Engine) ListFresh() bool { return e.list.fresh }

// ListStatus tells whether a list of endpoints is known, and why the latest was refused, "" if it was not.
func (e *Engine) ListStatus() (heard bool, refused string) { return e.list.heard, e.list.refused }
