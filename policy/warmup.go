package policy

import (
	"cmp"
	"math"
)

const (
	// cacheMissCapacity is the part of its capacity that an endpoint has while it remembers no keys: work it
	// does not remember costs up to four times as much.
	cacheMissCapacity = 0.25
	// ownSuccessPart is the part of a cold endpoint's own successes that its budget grows by. With more, a
	// fleet that is cold altogether is sent bursts.
	ownSuccessPart = 0.6
	// unusedBudgetPart is how long an unused budget is kept, in overload windows.
	unusedBudgetPart = 0.4
	// minColdRate is the rate of attempts, over the fleet, that a cold endpoint is sent at least, a second.
	minColdRate = 0.25
)

// warmup bounds what is sent to endpoints that have just started.
type warmup struct {
	settings *Settings
	until    Time    // no endpoint is cold later
	rate     float64 // successes a second on warm endpoints, for each unit of weight
}

// isCold reports whether the endpoint is still within ColdTime of its start.
func (w *warmup) isCold(now Time, e *endpoint) bool {
	return e.Started > 0 && now < e.Started+w.settings.ColdTime
}

// capacityWeight is the weight an endpoint is taken to have. One learned from falling weights is small until
// the endpoint has been idle.
func (w *warmup) capacityWeight(e *endpoint) float64 {
	if w.settings.FixedWeights {
		return e.Weight
	}
	return 1
}

// growBudget lets a cold endpoint's budget grow to now and returns it. As every instance allows the same part
// of its own rate, the parts add up to that part of the fleet's.
func (w *warmup) growBudget(now Time, e *endpoint) float64 {
	s := w.settings
	growth := w.budgetGrowth(now, e)
	budget := e.coldBudget + growth*float64(now-e.budgetUpdatedAt)
	maxUnused := growth * unusedBudgetPart * float64(cmp.Or(s.OverloadWindow, Second))
	budget -= max(0, math.Ceil(budget-1-maxUnused)) // one at most is kept, and for no longer
	e.coldBudget = min(2-math.Floor(min(1, maxUnused)), s.OverloadMultiple, budget)
	e.budgetUpdatedAt = now
	return e.coldBudget
}

// budgetGrowth is the growth of a cold endpoint's budget, in attempts a nanosecond.
func (w *warmup) budgetGrowth(now Time, e *endpoint) float64 {
	s := w.settings
	share := s.ColdCapacity + (1-s.ColdCapacity)*float64(now-e.Started)/float64(s.ColdTime)
	byFloor := minColdRate / float64(s.Instances)
	byWarmRate := s.OverloadMultiple * share * cacheMissCapacity * w.rate * w.capacityWeight(e)
	byOwnSuccesses := s.OverloadMultiple * ownSuccessPart * e.successes.now(now)
	return max(byFloor, byWarmRate, byOwnSuccesses) / float64(Second)
}

// chooseCold returns a cold endpoint that may be sent a keyless request now. An instance of hundreds has
// budget for it only for moments, and its requests seldom reach it by their slots just then.
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
