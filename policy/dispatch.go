package policy

import (
	"cmp"
	"math"
)

// never is later than any moment.
const never Time = math.MaxInt64

const (
	// attemptTimeout is how many target latencies an attempt is given while another may follow.
	attemptTimeout = 2.0
	// latencyTimeout is how many mean answer times it is given at least.
	latencyTimeout = 6
)

// tryKind says how much room a request asks for.
type tryKind uint8

const (
	ordinaryTry tryKind = iota
	lastTry             // any endpoint that isn't crowded will do; without one the request is rejected
)

// dispatch sends the request, queues it or rejects it.
func (b *Balancer) dispatch(now Time, r *request, kind tryKind) {
	r.home = noEndpoint
	if now < b.answerBy(r) && b.concurrency.allows(now) {
		if endpoint := b.choose(now, r, kind); endpoint >= 0 {
			b.attempt(now, r, endpoint)
			return
		}
	}
	if now < r.waitUntil && kind == ordinaryTry {
		b.enqueue(now, r)
	} else {
		b.reject(now, r)
	}
}

// attempt sends the request to the endpoint.
func (b *Balancer) attempt(now Time, r *request, to endpointIndex) {
	e := &b.table.endpoints[to]
	timeout := b.attemptTimeout(now, r)
	if b.warmup.isCold(now, e) {
		e.coldBudget--
	}
	r.tried[r.attempts%len(r.tried)] = to
	r.attempts++
	r.sentAt = now
	r.inFlight++
	e.inFlight++
	b.concurrency.inFlight++
	b.countBodyPending(r, to, 1)
	r.next = (*Balancer).finishAttempt
	b.front.Attempt(r.handle(), e.ID, timeout)
	b.wake(now, b.answerBy(r))
}

// attemptTimeout is the time for the next attempt. A silent endpoint must not hold the request while another
// attempt may follow; cancelling and the retry budget bound the work that this adds.
func (b *Balancer) attemptTimeout(now Time, r *request) Time {
	timeout := b.answerBy(r) - now
	class := b.class(r)
	mayRetry := r.attempts+1 < b.settings.MaxAttempts && b.retries.available() &&
		class.Idempotency != NonIdempotent
	if mayRetry && b.settings.MayCancel {
		early := max(Time(attemptTimeout*float64(class.Target)), Time(latencyTimeout*b.meanLatency(r)))
		timeout = min(timeout, early)
	}
	return timeout
}

// AttemptEnded is called when an attempt has ended; elapsed is the time since it was sent. answered is true
// when the request needs no answer any more.
func (b *Balancer) AttemptEnded(
	now Time, handle Handle, attempt AttemptNo, endpoint EndpointID,
	outcome Outcome, elapsed Time, answered bool,
) {
	index, known := b.table.indexes[endpoint]
	r := b.requests.lookup(handle)
	if r == nil || !known || r.inFlight == 0 {
		return
	}
	b.countBodyPending(r, index, -1)
	e := &b.table.endpoints[index]
	r.inFlight--
	e.inFlight--
	e.connectedAt = now
	b.concurrency.inFlight--
	if outcome < Cancelled {
		b.recordOutcome(now, r, e, outcome, elapsed)
	}
	if answered {
		r.markAnswered()
	}
	r.next(b, r, attemptResult{now: now, outcome: outcome, endpoint: index, attempt: attempt})
	b.requests.release(r)
	b.drainQueue(now, index)
}

// finishAttempt answers the request by its latest attempt, or tries again.
func (b *Balancer) finishAttempt(r *request, result attemptResult) {
	if result.outcome == Succeeded || result.outcome == Declined {
		r.markAnswered()
		b.front.Succeed(r.handle(), result.attempt)
		return
	}
	if result.outcome.MayHaveRun() && !r.mayHaveRun {
		r.mayHaveRun = true
		r.ranAt = r.sentAt
		r.ranOn = result.endpoint
	}
	b.retry(r, result)
}

// reject answers at once: rejected where the client may safely send the request again, else failed.
func (b *Balancer) reject(now Time, r *request) {
	class := b.class(r)
	r.markAnswered()
	repeatable := class.Idempotency == Idempotent || class.Idempotency == Keyed && class.Group == GroupAll
	if repeatable || !r.mayHaveRun && r.inFlight == 0 {
		b.noteRejection(now)
		b.front.Reject(r.handle(), min(b.settings.MaxRetryAfter, class.Target))
	} else {
		b.front.Fail(r.handle())
	}
	b.requests.release(r)
}

// cancel cancels the request's attempt that is in flight, if endpoints stop work that is cancelled.
func (b *Balancer) cancel(r *request) {
	if r.inFlight > 0 && b.settings.MayCancel {
		b.front.Cancel(r.handle(), AttemptNo(r.attempts-1))
	}
}

// ClientLeft is called when a request is over because its client has left.
func (b *Balancer) ClientLeft(_ Time, handle Handle) {
	r := b.requests.lookup(handle)
	if r == nil || r.answered {
		return
	}
	b.queue.removeRequest(&b.requests, r)
	r.markAnswered()
	b.cancel(r)
	b.requests.release(r)
}

// Until sets a request's deadline anew: none (0) once its answer has begun, the client's from then on.
func (b *Balancer) Until(handle Handle, deadline Time) {
	if r := b.requests.lookup(handle); r != nil {
		r.deadline = cmp.Or(deadline, never)
	}
}

// BodyPending is called when it shows that a request's body is still coming, and again when it is complete.
// Until then its attempt does not count against any limit and the request has no deadline.
func (b *Balancer) BodyPending(handle Handle, complete bool, deadline Time) {
	r := b.requests.lookup(handle)
	if r == nil || r.answered || r.bodyPending != complete {
		return
	}
	index := r.lastTried()
	b.countBodyPending(r, index, -r.inFlight)
	r.bodyPending = !complete
	r.deadline = deadline
	if !complete {
		r.deadline = never
	}
	b.countBodyPending(r, index, r.inFlight)
}

// countBodyPending counts attempts to the endpoint if the request's body is still coming.
func (b *Balancer) countBodyPending(r *request, index endpointIndex, attempts int) {
	if r.bodyPending {
		b.concurrency.bodyPending += attempts
		b.table.endpoints[index].bodyPending += attempts
	}
}

// AttemptAllowed reports whether the request's latest attempt, decided on and not yet written, is still
// allowed: the settings may have changed since. Where it is not, the attempt's outcome is NotSent.
func (b *Balancer) AttemptAllowed(now Time, handle Handle) bool {
	r := b.requests.lookup(handle)
	if r == nil || r.attempts == 0 {
		return false
	}
	r.attempts--
	index := r.tried[r.attempts%len(r.tried)]
	cold := b.warmup.isCold(now, &b.table.endpoints[index])
	allowed := b.isAllowed(now, r, index) && (b.settings.OverloadMultiple > 0 || !cold)
	r.attempts++
	return allowed
}

// Shutdown brings all deadlines, also those still to come, forward to the instance's own end.
func (b *Balancer) Shutdown(now, by Time) {
	b.shutdownAt = by
	answerBy := by - b.settings.answerMargin()
	for i := range b.requests.entries {
		r := &b.requests.entries[i]
		r.deadline = min(r.deadline, by)
		r.waitUntil = min(r.waitUntil, answerBy)
	}
	b.wake(now, answerBy)
}
