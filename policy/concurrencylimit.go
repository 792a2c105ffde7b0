package policy

import "math"

const (
	// unlimited is the concurrency limit until answers are late for the first time.
	unlimited = math.MaxInt32
	// latenessBound is the mean lateness above which the limit is reduced. Lateness is answer time / target
	// latency, and 1 at most.
	latenessBound = 0.75
	// strictLatenessBound replaces latenessBound if late answers have no value in any class.
	strictLatenessBound = 0.5
	// limitGrowth is the part by which the limit grows in one target latency while it is fully used and the
	// mean lateness is 0.
	limitGrowth = 0.5
	// limitHeadroom is the multiple of the mean attempts in flight up to which the limit may grow.
	limitHeadroom = 4
	// limitPerEndpoint is the number of attempts in flight to each endpoint, from all instances together, up
	// to which the instances' limits may always grow.
	limitPerEndpoint = 16
	// minLimitCap is the value up to which the limit of a single instance may always grow.
	minLimitCap = 2
	// maxReduction is the smallest factor of a reduction: one reduction at most halves the limit.
	maxReduction = 0.5

	// inFlightWeight is the weight of the latest attempt in the mean attempts in flight.
	inFlightWeight = 0.1
	// minLatenessWeight and maxLatenessWeight bound the weight of the latest attempt in the mean lateness.
	minLatenessWeight = 0.1
	maxLatenessWeight = 0.5
	// latenessMemory is the number of target latencies by which the time since the previous attempt is divided
	// to give the weight of an attempt, before minLatenessWeight and maxLatenessWeight are applied. If every
	// attempt had the weight minLatenessWeight, the mean would need some ten attempts to follow a change: at
	// one attempt in two seconds, that is longer than any overload.
	latenessMemory = 4
)

// concurrencyLimit limits the attempts in flight from this instance to all endpoints together. The limits of
// single endpoints are not enough: one attempt to each from each of hundreds of instances would overload all
// endpoints.
type concurrencyLimit struct {
	limit        float64 // most attempts in flight, not counting those in bodyPending; below 1: see pause
	inFlight     int     // attempts in flight
	bodyPending  int     // attempts in flight whose request body is incomplete
	inFlightMean float64 // moving average of the attempts in flight, without those in bodyPending

	latenessMean  float64 // moving average of the lateness of attempts
	latenessBound float64 // latenessMean above which the limit is reduced
	observedAt    Time    // when latenessMean last changed
	reducedAt     Time    // when the limit was last reduced
	resumeAt      Time    // no attempt is sent before this time; see pause
}

func newConcurrencyLimit(settings *Settings) concurrencyLimit {
	c := concurrencyLimit{limit: unlimited, latenessBound: strictLatenessBound}
	for i := range settings.Classes {
		if settings.Classes[i].LateValue > 0 {
			c.latenessBound = latenessBound
		}
	}
	return c
}

// processing returns the number of attempts that endpoints are working on.
func (c *concurrencyLimit) processing() int { return c.inFlight - c.bodyPending }

// allows reports whether one more attempt may be sent.
func (c *concurrencyLimit) allows(now Time) bool {
	return float64(c.processing()) < c.limit && now >= c.resumeAt
}

// observe adds the lateness of an attempt that has just ended, and the number of attempts that were in flight
// until then, to the means.
func (c *concurrencyLimit) observe(now, target Time, lateness float64) {
	sinceLast := float64(now-c.observedAt) / float64(latenessMemory*target)
	weight := max(minLatenessWeight, min(maxLatenessWeight, sinceLast))
	c.latenessMean += weight * (lateness - c.latenessMean)
	c.observedAt = now
	c.inFlightMean += inFlightWeight * (float64(c.processing()+1) - c.inFlightMean)
}

// reduce sets the limit to the product of part and either the old limit or the mean attempts in flight,
// whichever of these two is less. A part below maxReduction counts as maxReduction, and the new limit is at
// least minimum.
func (c *concurrencyLimit) reduce(now Time, part, minimum float64) {
	c.reducedAt = now
	c.limit = max(minimum, min(c.limit, c.inFlightMean)*max(maxReduction, part))
}

// grow raises the limit after an attempt with the given lateness. The further the mean lateness is below the
// bound, the more the limit grows. minimum is the result of minConcurrency.
func (c *concurrencyLimit) grow(lateness, mean, bound, minimum float64) {
	c.limit *= 1 + limitGrowth*(1-mean/bound)*min(1, lateness/c.limit)
	c.limit = min(c.limit, max(minLimitCap, limitHeadroom*c.inFlightMean, limitPerEndpoint*minimum))
}

// pause enforces a limit below 1 after an attempt that took the time elapsed: it delays the next attempt so
// that the part of the time during which an attempt is in flight equals the limit. With a limit of 0.25, for
// example, the delay is three times elapsed.
func (c *concurrencyLimit) pause(now, elapsed Time) {
	c.resumeAt = now + Time(float64(elapsed)*max(0, 1/c.limit-1))
}

// minConcurrency returns the limit at which all instances together have one attempt in flight to each
// endpoint.
func (b *Balancer) minConcurrency() float64 {
	return float64(len(b.table.byID)) / float64(b.settings.Instances)
}

// observeLateness adjusts the concurrency limit after an attempt to the endpoint. lateness is the lateness of
// the answer, or 1 if the attempt shows overload; elapsed is how long the attempt took, or the target latency
// if that is less.
func (b *Balancer) observeLateness(now Time, e *endpoint, lateness float64, elapsed, target Time) {
	b.zones.observe(b.table.isLocal(e), lateness)
	if b.reports.available() && b.boundToLoad(e) < 1 {
		return // only this endpoint is overloaded, which is no reason to send less to the others
	}
	c := &b.concurrency
	c.observe(now, target, lateness)
	mean := c.latenessMean
	if b.reports.fresh(now) {
		mean = min(mean, b.reports.expectedLateness()) // a few late answers do not matter while load is low
	}
	bound := b.effectiveLatenessBound()
	if mean > bound && now-c.reducedAt > target/2 {
		c.reduce(now, bound/mean, b.minConcurrency())
	} else if mean < bound {
		c.grow(lateness, mean, bound, b.minConcurrency())
	}
	c.pause(now, elapsed)
}

// effectiveLatenessBound returns the mean lateness above which the limit is reduced. Where a connection
// carries one attempt at a time, it is at least halfway from the baseline latency to the target latency,
// because some requests take long even without load.
func (b *Balancer) effectiveLatenessBound() float64 {
	if b.settings.sharedConnections() {
		return b.concurrency.latenessBound
	}
	return max(b.concurrency.latenessBound, (1+b.baseline)/2)
}
