package policy

import "fmt"

const (
	// minEjectionTime is the length of a first ejection. It doubles with each ejection until an attempt
	// succeeds.
	minEjectionTime Time = 2 * Second
	// maxEjectionTime is the longest ejection, before jitter.
	maxEjectionTime Time = 16 * Second
	// ejectAfter is the number of consecutive failures that eject an endpoint.
	ejectAfter = 3
	// ejectionJitter is the width of the random range of an ejection's length, as a part of that length. The
	// jitter keeps instances from returning to the endpoint all at once.
	ejectionJitter = 0.5
	// maxEjectedDivisor divides the number of endpoints to give the most that can be ejected at the same time.
	// Failed connections eject endpoints beyond that number too.
	maxEjectedDivisor = 2
	// minSuccessRate is the least rate of an endpoint's successes, per second, from which ejectionThreshold
	// derives the time between them. It keeps that time finite.
	minSuccessRate = 0.01
	// reliableLateness is the mean lateness below which fewer than ejectAfter failures are enough where an
	// instance sees few answers.
	reliableLateness = 0.5
)

// countFailure counts a failure against the endpoint and ejects it after too many in a row.
func (b *Balancer) countFailure(now Time, r *request, e *endpoint, outcome Outcome) {
	// A retry, or a request with the key of the previous failure, may fail on any endpoint and says little
	// about this one.
	repeated := r.attempts > 1 || e.failures > 0 && r.key == e.failureKey
	if outcome != NotConnected && outcome != Rejected && repeated {
		return
	}
	e.failures++
	e.failureKey = r.key
	needed, ejectionTime := b.ejectionThreshold(now, e, outcome)
	// In slow start, one failure is enough. An endpoint that is already ejected is not ejected again.
	if e.failures < needed && e.slowStart == 0 || now < e.ejectedUntil {
		return
	}
	// When most endpoints fail at the same time, they have a common cause, and moving their load makes it
	// worse.
	if outcome != NotConnected && maxEjectedDivisor*(b.ejected+1) > len(b.table.byID) {
		return
	}
	b.eject(now, e, ejectionTime, outcome)
}

// ejectionThreshold returns the number of consecutive failures that eject the endpoint and the length of its
// first ejection. Where an instance sees few answers of each endpoint, ejectAfter failures in a row hardly
// ever occur and minEjectionTime may pass without an attempt. Then fewer failures and a longer ejection
// apply, provided that the instance has seen more than frequencyPrior requests and the mean lateness is below
// reliableLateness, or that the endpoint's reported load is above the mean.
func (b *Balancer) ejectionThreshold(
	now Time, e *endpoint, outcome Outcome,
) (failures int, ejectionTime Time) {
	failures = ejectAfter
	ejectionTime = minEjectionTime
	successRate := b.successes.current(now) / float64(len(b.table.byID)) // of one endpoint
	reliable := b.concurrency.latenessMean < reliableLateness && b.recentKeys.count > frequencyPrior
	if reliable || e.reportedLoad > b.reports.mean {
		failures = 1 + int((ejectAfter-1)*min(1, successRate))
		ejectionTime = max(ejectionTime, Time(float64(Second)/max(successRate, minSuccessRate)))
	}
	if outcome == NotConnected && b.settings.sharedConnections() {
		failures = 1 // with long-lived connections, a failed connection says more than a failed attempt
	}
	return failures, ejectionTime
}

// eject takes the endpoint out of use for a time, after which it is in slow start. minimum is the length of a
// first ejection.
func (b *Balancer) eject(now Time, e *endpoint, minimum Time, outcome Outcome) {
	e.ejectionTime = min(max(2*e.ejectionTime, minimum), maxEjectionTime)
	jitter := 1 - ejectionJitter/2 + ejectionJitter*b.random.fraction()
	e.ejectedUntil = now + Time(float64(e.ejectionTime)*jitter)
	e.slowStart = 1
	b.ejected++
	b.front.Log(fmt.Sprintf("endpoint %d: ejected for %dms after %d consecutive failures, last outcome %d",
		e.ID, e.ejectionTime/Millisecond, e.failures, outcome))
}
