package emulator

import (
	"math"

	"pepperlead/policy"
)

// View is the true state of the fleet, which no sidecar can see. Only an upper mark is given it.
type View interface {
	// Best is the server where the work would be done first, of those that allowed says yes to; false: there is none.
	Best(now policy.Time, zone policy.Zone, o policy.ClassID, key string, allowed func(policy.EndpointID) bool) (policy.EndpointID, policy.Time, bool)
}

// Best looks at every server as it really is.
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
		// What is on its way there counts as if it were in already.
		coming := max(0, v.inFlight-v.machine.Jobs())
		left := v.machine.EstimateTime(now, k, of.Work, of.IO)
		left += policy.Time(float64(coming) / v.traits.Cores * float64(of.Work) / (v.traits.Speed * max(0.05, v.machine.Warmth(now))))
		if v.zone != zone {
			left += 2*w.scenario.Network.Far + policy.Time(w.scenario.Limits.CrossZonePrice*float64(of.Target))
		}
		if v.machine.Cold(now) && v.traits.OverloadMultiple > 0 && !v.machine.CanTake(now, of.Work*policy.Time(2*coming+1)) {
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
