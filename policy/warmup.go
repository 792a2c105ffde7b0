package policy

import (
	"cmp"
	"math"
)

const (
	// cacheMissCapacity is the part of its capacity that an endpoint has while it has no keys cached: a
	// request whose key is not cached costs up to four times as much.
	cacheMissCapacity = 0.25
	// ownSuccessPart is the part of a cold endpoint's own rate of successes that, multiplied by
	// Settings.OverloadMultiple, is the rate at which its budget grows. With a larger part, a fleet in which
	// all endpoints are cold is sent bursts.
	ownSuccessPart = 0.6
	// unusedBudgetPart is how long an unused budget is kept, as a part of Settings.OverloadWindow.
	unusedBudgetPart = 0.4
	// minColdRate is the least rate at which a cold endpoint's budget grows, in attempts per second summed
	// over all instances.
	minColdRate = 0.25
)

// warmup limits the attempts to endpoints that have started recently.
type warmup struct {
	settings *Settings
	until    Time    // time from which on no listed endpoint is cold
	rate     float64 // successful attempts per second to warm endpoints, for each unit of capacityWeight
}

// isCold reports whether the endpoint is still within ColdTime of its start.
func (w *warmup) isCold(now Time, e *endpoint) bool {
	return e.Started > 0 && now < e.Started+w.settings.ColdTime
}

// capacityWeight returns the weight by which an endpoint's capacity is estimated. Where listed weights fall
// with load, every endpoint counts as 1, because a learned weight is too small until the endpoint has been
// idle.
func (w *warmup) capacityWeight(e *endpoint) float64 {
	if w.settings.FixedWeights {
		return e.Weight
	}
	return 1
}

// growBudget adds the growth since the latest update to a cold endpoint's budget and returns the new budget.
// Every instance allows the same part of its own rate of successes, so together they allow that part of the
// fleet's rate.
func (w *warmup) growBudget(now Time, e *endpoint) float64 {
	s := w.settings
	growth := w.budgetGrowth(now, e)
	budget := e.coldBudget + growth*float64(now-e.budgetUpdatedAt)
	maxUnused := growth * unusedBudgetPart * float64(cmp.Or(s.OverloadWindow, Second))
	// At most one unused attempt is kept, and it lapses after unusedBudgetPart of the window.
	budget -= max(0, math.Ceil(budget-1-maxUnused))
	e.coldBudget = min(2-math.Floor(min(1, maxUnused)), s.OverloadMultiple, budget)
	e.budgetUpdatedAt = now
	return e.coldBudget
}

// budgetGrowth returns the growth of a cold endpoint's budget, in attempts per nanosecond. It is derived from
// the rate of successes of warm endpoints or from the endpoint's own, whichever gives more, with a minimum.
func (w *warmup) budgetGrowth(now Time, e *endpoint) float64 {
	s := w.settings
	share := s.ColdCapacity + (1-s.ColdCapacity)*float64(now-e.Started)/float64(s.ColdTime)
	minimum := minColdRate / float64(s.Instances)
	byWarmRate := s.OverloadMultiple * share * cacheMissCapacity * w.rate * w.capacityWeight(e)
	byOwnSuccesses := s.OverloadMultiple * ownSuccessPart * e.successes.current(now)
	return max(minimum, byWarmRate, byOwnSuccesses) / float64(Second)
}

// chooseCold returns a cold endpoint that may be sent a keyless request now, or noEndpoint. By their slots
// alone, too few requests would reach a cold endpoint: with hundreds of instances, each has a budget for the
// endpoint only for moments at a time, and few of its requests reach the endpoint by their slots in these
// moments.
func (b *Balancer) chooseCold(now Time, r *request, localOnly bool) endpointIndex {
	for _, index := range b.table.byID {
		e := &b.table.endpoints[index]
		if !b.warmup.isCold(now, e) || localOnly && !b.table.isLocal(e) {
			continue
		}
		if b.isAllowed(now, r, index) && b.isUsable(now, e) && e.hasRoom() {
			return index
		}
	}
	return noEndpoint
}
