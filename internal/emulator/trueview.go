package emulator

import (
	"math"

	"pepperlead/policy"
)

// View is the true state of the fleet, which no instance can see. Only a policy that serves as an upper bound uses it.
type View interface {
	// Best returns the allowed endpoint where the work would be done first, and when; false if there is none.
	Best(
		now policy.Time,
		zone policy.Zone,
		o policy.ClassID,
		key string,
		allowed func(policy.EndpointID) bool,
	) (policy.EndpointID, policy.Time, bool)
}

// Best compares the true state of every endpoint.
func (w *World) Best(now policy.Time, zone policy.Zone, o policy.ClassID, key string,
	allowed func(policy.EndpointID) bool) (policy.EndpointID, policy.Time, bool) {
	best, least := (*endpoint)(nil), policy.Time(math.MaxInt64)
	k := uint64(0)
	if key != "" {
		k = parseKey(key)
	}
	of := &w.scenario.Classes[o]
	for _, v := range w.endpoints {
		if v.status != policy.Ready || v.down || v.unreachable() || !allowed(v.id) {
			continue
		}
		if v.errorRate > 0.05 {
			continue
		}
		// Attempts on their way count as if they had arrived.
		coming := max(0, v.inFlight-v.machine.Jobs())
		left := v.machine.EstimateTime(now, k, of.Work, of.IO)
		left += policy.Time(
			float64(coming) / v.traits.Cores * float64(of.Work) / (v.traits.Speed * max(0.05, v.machine.Warmth(now))),
		)
		if v.zone != zone {
			left += 2*w.scenario.Network.Far + policy.Time(w.scenario.Limits.CrossZonePrice*float64(of.Target))
		}
		if v.machine.Cold(now) && v.traits.OverloadMultiple > 0 &&
			!v.machine.CanTake(now, of.Work*policy.Time(2*coming+1)) {
			continue
		}
		if left < least {
			best, least = v, left
		}
	}
	if best == nil {
		return 0, 0, false
	}
	return best.id, least, true
}
