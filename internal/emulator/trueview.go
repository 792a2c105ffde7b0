package emulator

import (
	"math"

	"pepperlead/policy"
)

// View gives access to the true state of the fleet, which a real instance cannot see. Only the baseline that serves
// as an upper bound uses it.
type View interface {
	// Best returns the allowed endpoint where a request would finish first and how long it would take there. It
	// returns false if no allowed endpoint is usable.
	Best(
		now policy.Time,
		zone policy.Zone,
		class policy.ClassID,
		key string,
		allowed func(policy.EndpointID) bool,
	) (id policy.EndpointID, expected policy.Time, found bool)
}

// Best compares the expected times at all endpoints in their true state. The price of crossing zones counts as time.
func (w *World) Best(now policy.Time, zone policy.Zone, class policy.ClassID, key string,
	allowed func(policy.EndpointID) bool) (policy.EndpointID, policy.Time, bool) {
	best, least := (*endpoint)(nil), policy.Time(math.MaxInt64)
	keyNumber := uint64(0)
	if key != "" {
		keyNumber = parseKey(key)
	}
	costs := &w.scenario.Classes[class]
	for _, ep := range w.endpoints {
		if ep.status != policy.Ready || ep.down || ep.unreachable() || !allowed(ep.id) {
			continue
		}
		if ep.errorRate > 0.05 {
			continue
		}
		// Attempts that have not reached the endpoint yet count as if they had.
		underway := max(0, ep.inFlight-ep.machine.Jobs())
		expected := ep.machine.EstimateTime(now, keyNumber, costs.Work, costs.IO)
		expected += policy.Time(
			float64(underway) / ep.traits.Cores * float64(costs.Work) /
				(ep.traits.Speed * max(0.05, ep.machine.Warmth(now))),
		)
		if ep.zone != zone {
			expected += 2*w.scenario.Network.Far + policy.Time(w.scenario.Limits.CrossZonePrice*float64(costs.Target))
		}
		if ep.machine.Cold(now) && ep.traits.OverloadMultiple > 0 &&
			!ep.machine.CanTake(now, costs.Work*policy.Time(2*underway+1)) {
			continue
		}
		if expected < least {
			best, least = ep, expected
		}
	}
	if best == nil {
		return 0, 0, false
	}
	return best.id, least, true
}
