package policy

import "fmt"

const (
	// meanLatencyWeight is the weight of the latest answer in a class's mean latency.
	meanLatencyWeight = 0.05
	// baselineRise is the weight of an answer in the baseline latency if the endpoint's mean latency is above
	// the baseline, and baselineFall is the weight if it is below. The baseline rises slowly so that it does
	// not adapt to a long overload.
	baselineRise = 0.0005
	baselineFall = 0.05

	// endpointReductionInterval is the minimum time between two reductions of an endpoint's limit.
	endpointReductionInterval Time = 200 * Millisecond
	// overloadReduction is the factor by which a rejection or timeout that shows overload reduces an
	// endpoint's limit.
	overloadReduction = 0.7
	// maxEndpointReduction is the smallest factor by which a late answer reduces an endpoint's limit.
	maxEndpointReduction = 0.5
	// loneTimeoutGrowth is added to an endpoint's limit for a timeout that shows no overload, because the
	// attempt took up part of the limit that other attempts needed.
	loneTimeoutGrowth = 0.5
)

// recordOutcome updates the statistics after an attempt whose outcome says something about the endpoint.
func (b *Balancer) recordOutcome(now Time, r *request, e *endpoint, outcome Outcome, elapsed Time) {
	if outcome == TimedOut && elapsed < Time(b.meanLatency(r)) {
		return // the client allowed less time than answers take, which says nothing about the endpoint
	}
	if outcome == Succeeded {
		b.recordSuccess(now, r, e, elapsed)
	} else {
		b.recordFailure(now, r, e, outcome, elapsed)
	}
}

func (b *Balancer) recordSuccess(now Time, r *request, e *endpoint, elapsed Time) {
	target := b.class(r).Target
	ratio := float64(elapsed) / float64(target)
	b.observeLateness(now, e, min(1, ratio), min(elapsed, target), target)
	e.failures = 0
	e.ejectionTime = 0
	e.healthyAt = max(e.healthyAt, now-elapsed)
	e.successes.count(now)
	if !b.warmup.isCold(now, e) {
		b.successes.count(now)
	}
	b.retries.earn()
	stats := &b.classes[r.class]
	stats.meanLatency += meanLatencyWeight * (float64(elapsed) - stats.meanLatency)
	e.observeLatency(now, target, ratio)
	b.advanceSlowStart(e)
	difference := e.latencyRatio - b.baseline
	b.baseline += baselineRise*max(0, difference) + baselineFall*min(0, difference)
	b.adjustEndpointLimit(now, e, ratio)
}

// recordFailure distinguishes overload, which reduces the limits, from other failures, which count towards an
// ejection. An endpoint that rejects attempts although it answers in time is about to shut down. Other errors
// are no sign of load, and neither is a timeout while attempts that were sent later succeed, unless the load
// is above lowLoad. A timeout counts towards an ejection whether or not it shows overload.
func (b *Balancer) recordFailure(now Time, r *request, e *endpoint, outcome Outcome, elapsed Time) {
	overloaded := outcome == Rejected && (b.load(e) > highLoad || e.reportedLoad > b.reports.mean)
	if !overloaded {
		b.countFailure(now, r, e, outcome)
	}
	overloadTimeout := outcome == TimedOut && (now-elapsed >= e.healthyAt || b.load(e) > lowLoad)
	if overloaded || overloadTimeout {
		target := b.class(r).Target
		ratio := float64(elapsed) / float64(target)
		b.observeLateness(now, e, 1, min(elapsed, target), target)
		e.reduceLimit(now, overloadReduction)
		e.observeLatency(now, target, max(1, ratio))
	} else if outcome == TimedOut && e.nearLimit() {
		e.limit += loneTimeoutGrowth
	}
}

// advanceSlowStart doubles the attempts that may be in flight to an endpoint in slow start, and ends the slow
// start once they reach the endpoint's limit.
func (b *Balancer) advanceSlowStart(e *endpoint) {
	e.slowStart *= 2
	if e.slowStart > 0 && float64(e.slowStart) >= e.limit {
		e.slowStart = 0
		b.front.Log(fmt.Sprintf("endpoint %d: slow start completed", e.ID))
	}
}

// adjustEndpointLimit adapts the endpoint's limit to its load after an answer. ratio is the answer time /
// target latency.
func (b *Balancer) adjustEndpointLimit(now Time, e *endpoint, ratio float64) {
	load := b.load(e)
	switch {
	case load > highLoad:
		e.reduceLimit(now, max(maxEndpointReduction, highLoad/load))
	case load < lowLoad && e.nearLimit():
		// The limit grows by one in two target latencies of full use, however short the answers are.
		e.limit += ratio / e.limit / 2
	}
}

// reduceLimit multiplies the endpoint's limit by a factor below 1, unless it was reduced within the last
// endpointReductionInterval.
func (e *endpoint) reduceLimit(now Time, factor float64) {
	if now-e.reducedAt >= endpointReductionInterval {
		e.reducedAt = now
		e.limit = max(1, e.limit*factor)
	}
}
