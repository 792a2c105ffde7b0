package policy

import "math"

const (
	// unlimited is the concurrency limit before anything is late.
	unlimited = math.MaxInt32
	// latenessBound is the mean lateness over which the limit is reduced.
	latenessBound = 0.75
	// strictLatenessBound is the same where no class leaves value to a late answer.
	strictLatenessBound = 0.5
	// limitGrowth is the part by which the limit grows in a target latency at no lateness.
	limitGrowth = 0.5
	// limitHeadroom is how many times the mean in flight the limit may be.
	limitHeadroom = 4
	// limitPerEndpoint is how many attempts at each endpoint, over all instances, are always allowed.
	limitPerEndpoint = 16
	// minLimitCap is the least that the limit may grow to.
	minLimitCap = 2
	// maxReduction is the part that a reduction leaves at least.
	maxReduction = 0.5

	// inFlightWeight is the weight of the latest attempt in the mean in flight.
	inFlightWeight = 0.1
	// minLatenessWeight and maxLatenessWeight bound the weight of the latest attempt in the mean lateness.
	minLatenessWeight = 0.1
	maxLatenessWeight = 0.5
	// latenessMemory is the silence, in target latencies, that an attempt's weight is relative to: at one
	// attempt in two seconds, ten of them would outlast any jam.
	latenessMemory = 4
)

// concurrencyLimit bounds the attempts in flight from this instance, over all endpoints: one from each of
// hundreds of instances would choke every endpoint.
type concurrencyLimit struct {
	limit       float64
	inFlight    int
	bodyPending int     // of these, such whose body is still coming
	inUseMean   float64 // mean of the attempts in flight

	latenessMean  float64 // mean of answer time over target latency, each 1 at most
	latenessBound float64 // mean at which the limit is reduced
	observedAt    Time    // last change of latenessMean
	reducedAt     Time
	resumeAt      Time // no attempt before
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

// processing is the number of attempts that endpoints work on.
func (c *concurrencyLimit) processing() int { return c.inFlight - c.bodyPending }

// allows reports whether one more attempt may be sent.
func (c *concurrencyLimit) allows(now Time) bool {
	return float64(c.processing()) < c.limit && now >= c.resumeAt
}

// observe adds an attempt's lateness, and what was in flight with it, to the means.
func (c *concurrencyLimit) observe(now, target Time, lateness float64) {
	sinceLast := float64(now-c.observedAt) / float64(latenessMemory*target)
	weight := max(minLatenessWeight, min(maxLatenessWeight, sinceLast))
	c.latenessMean += weight * (lateness - c.latenessMean)
	c.observedAt = now
	c.inUseMean += inFlightWeight * (float64(c.processing()+1) - c.inUseMean)
}

// reduce sets the limit to a part of what is in use, within bounds.
func (c *concurrencyLimit) reduce(now Time, part, minimum float64) {
	c.reducedAt = now
	c.limit = max(minimum, min(c.limit, c.inUseMean)*max(maxReduction, part))
}

// grow raises the limit by how far the mean lateness is under the bound.
func (c *concurrencyLimit) grow(lateness, mean, bound, minimum float64) {
	c.limit *= 1 + limitGrowth*(1-mean/bound)*min(1, lateness/c.limit)
	c.limit = min(c.limit, max(minLimitCap, limitHeadroom*c.inUseMean, limitPerEndpoint*minimum))
}

// pause keeps a limit under one: a part of the time, no attempt is in flight.
func (c *concurrencyLimit) pause(now, elapsed Time) {
	c.resumeAt = now + Time(float64(elapsed)*max(0, 1/c.limit-1))
}

// minConcurrency is the limit at which all instances together have one attempt in flight to each endpoint.
func (b *Balancer) minConcurrency() float64 {
	return float64(len(b.table.byID)) / float64(b.settings.Instances)
}

// observeLateness adjusts the concurrency limit after an attempt to the endpoint. Lateness is its answer time
// in target latencies, 1 at most.
func (b *Balancer) observeLateness(now Time, e *endpoint, lateness float64, elapsed, target Time) {
	b.zones.observe(b.table.isLocal(e), lateness)
	if b.reports.available() && b.loadShare(e) < 1 {
		return // its own trouble, and no reason to send less to the others
	}
	c := &b.concurrency
	c.observe(now, target, lateness)
	mean := c.latenessMean
	if b.reports.fresh(now) {
		mean = min(mean, b.reports.expectedLateness()) // a few late answers mean nothing while load is low
	}
	bound := b.effectiveLatenessBound()
	if mean > bound && now-c.reducedAt > target/2 {
		c.reduce(now, bound/mean, b.minConcurrency())
	} else if mean < bound {
		c.grow(lateness, mean, bound, b.minConcurrency())
	}
	c.pause(now, elapsed)
}

// effectiveLatenessBound leaves answers half of the time over an unloaded one where a connection carries one
// attempt at once: some take long by themselves.
func (b *Balancer) effectiveLatenessBound() float64 {
	if b.settings.sharedConnections() {
		return b.concurrency.latenessBound
	}
	return max(b.concurrency.latenessBound, (1+b.baseline)/2)
}
