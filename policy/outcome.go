package policy

import "fmt"

const (
	// meanLatencyWeight is the weight of the latest answer in a class's mean answer time.
	meanLatencyWeight = 0.05
	// baselineRise and baselineFall are the weights of an answer in the baseline. It is followed from below,
	// so that a long overload is not taken for it.
	baselineRise = 0.0005
	baselineFall = 0.05

	// endpointReductionInterval is the least time between two reductions of an endpoint's limit.
	endpointReductionInterval Time = 200 * Millisecond
	// overloadReduction is the part of an endpoint's limit left after a rejection or time-out that shows
	// overload.
	overloadReduction = 0.7
	// maxEndpointReduction is the part that late answers leave of it at least.
	maxEndpointReduction = 0.5
	// loneTimeoutGrowth is added to the limit for a time-out that shows no overload: the attempt held a place
	// that others needed.
	loneTimeoutGrowth = 0.5
)

// recordOutcome learns from an attempt that was not cancelled.
func (b *Balancer) recordOutcome(now Time, r *request, e *endpoint, outcome Outcome, elapsed Time) {
	if outcome == TimedOut && elapsed < Time(b.meanLatency(r)) {
		return // its client left less time than answers take, which is no sign of the endpoint
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

// recordFailure tells overload from other failures. What rejects, yet answers in time, is about to leave;
// other errors are no sign of load, nor is a time-out while later attempts succeed.
func (b *Balancer) recordFailure(now Time, r *request, e *endpoint, outcome Outcome, elapsed Time) {
	full := outcome == Rejected && (b.load(e) > highLoad || e.reportedLoad > b.reports.mean)
	if !full {
		b.countFailure(now, r, e, outcome)
	}
	timedOutLate := outcome == TimedOut && (now-elapsed >= e.healthyAt || b.load(e) > lowLoad)
	if full || timedOutLate {
		target := b.class(r).Target
		ratio := float64(elapsed) / float64(target)
		b.observeLateness(now, e, 1, min(elapsed, target), target)
		e.reduceLimit(now, overloadReduction)
		e.observeLatency(now, target, max(1, ratio))
	} else if outcome == TimedOut && e.nearLimit() {
		e.limit += loneTimeoutGrowth
	}
}

// advanceSlowStart doubles what may be in flight to an endpoint after its ejection.
func (b *Balancer) advanceSlowStart(e *endpoint) {
	e.slowStart *= 2
	if e.slowStart > 0 && float64(e.slowStart) >= e.limit {
		e.slowStart = 0
		b.front.Log(fmt.Sprintf("endpoint %d: slow start completed", e.ID))
	}
}

// adjustEndpointLimit follows the endpoint's load after an answer.
func (b *Balancer) adjustEndpointLimit(now Time, e *endpoint, ratio float64) {
	load := b.load(e)
	switch {
	case load > highLoad:
		e.reduceLimit(now, max(maxEndpointReduction, highLoad/load))
	case load < lowLoad && e.nearLimit():
		// One more in two target latencies of full use, however short the answers.
		e.limit += ratio / e.limit / 2
	}
}

// reduceLimit leaves a part of the endpoint's limit, unless it was reduced a moment ago.
func (e *endpoint) reduceLimit(now Time, part float64) {
	if now-e.reducedAt >= endpointReductionInterval {
		e.reducedAt = now
		e.limit = max(1, e.limit*part)
	}
}
