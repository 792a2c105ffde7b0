package policy

import "fmt"

const (
	// minEjectionTime is the time of a first ejection; it doubles on each relapse.
	minEjectionTime Time = 2 * Second
	// maxEjectionTime bounds the doubling.
	maxEjectionTime Time = 16 * Second
	// ejectAfter is the number of consecutive failures that eject an endpoint.
	ejectAfter = 3
	// ejectionJitter spreads the time of an ejection, so that instances don't return in one moment.
	ejectionJitter = 0.5
	// maxEjectedPart is the part of the endpoints, as a divisor, that failures other than of connections
	// eject.
	maxEjectedPart = 2
	// minSuccessRate keeps the time between an endpoint's answers finite, in successes a second.
	minSuccessRate = 0.01
	// reliableLateness is the mean lateness under which few failures are enough where few answers are seen.
	reliableLateness = 0.5
)

// countFailure counts a failure against the endpoint and ejects it after too many in a row.
func (b *Balancer) countFailure(now Time, r *request, e *endpoint, outcome Outcome) {
	// A request that fails at any endpoint, under one key or on a retry, says little of this one.
	repeated := r.attempts > 1 || e.failures > 0 && r.key == e.failureKey
	if outcome != NotConnected && outcome != Rejected && repeated {
		return
	}
	e.failures++
	e.failureKey = r.key
	needed, ejectionTime := b.ejectionThreshold(now, e, outcome)
	if e.failures < needed && e.slowStart == 0 || now < e.ejectedUntil {
		return
	}
	// When most endpoints look bad at once the cause is shared, and moving their work makes it worse.
	if outcome != NotConnected && maxEjectedPart*(b.ejected+1) > len(b.table.byID) {
		return
	}
	b.eject(now, e, ejectionTime, outcome)
}

// ejectionThreshold is how many consecutive failures eject the endpoint, and for how long at first. Where an
// instance sees few answers of each endpoint, three failures in a row, or two seconds, mean nothing.
func (b *Balancer) ejectionThreshold(
	now Time, e *endpoint, outcome Outcome,
) (failures int, ejectionTime Time) {
	failures = ejectAfter
	ejectionTime = minEjectionTime
	successRate := b.successes.now(now) / float64(len(b.table.byID)) // of each endpoint
	enoughSeen := b.concurrency.latenessMean < reliableLateness && b.recentKeys.count > frequencyPrior
	if enoughSeen || e.reportedLoad > b.reports.mean {
		failures = 1 + int((ejectAfter-1)*min(1, successRate))
		ejectionTime = max(ejectionTime, Time(float64(Second)/max(successRate, minSuccessRate)))
	}
	if outcome == NotConnected && b.settings.sharedConnections() {
		failures = 1 // where connections last, one that fails says more than an attempt
	}
	return failures, ejectionTime
}

// eject takes the endpoint out of use for a time; on its return it is in slow start.
func (b *Balancer) eject(now Time, e *endpoint, minimum Time, outcome Outcome) {
	e.ejectionTime = min(max(2*e.ejectionTime, minimum), maxEjectionTime)
	jitter := 1 - ejectionJitter/2 + ejectionJitter*b.random.fraction()
	e.ejectedUntil = now + Time(float64(e.ejectionTime)*jitter)
	e.slowStart = 1
	b.ejected++
	b.front.Log(fmt.Sprintf("endpoint %d: ejected for %dms after %d consecutive failures, last outcome %d",
		e.ID, e.ejectionTime/Millisecond, e.failures, outcome))
}
