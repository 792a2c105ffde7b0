package policy

import (
	"cmp"
	"math"
)

// never is later than any point in time.
const never Time = math.MaxInt64

const (
	// earlyTimeoutTargets is the timeout, in target latencies, of an attempt after which the request may be
	// retried.
	earlyTimeoutTargets = 2.0
	// earlyTimeoutMeans is the minimum of that timeout, in mean latencies of the request's class.
	earlyTimeoutMeans = 6
)

// tryKind says which endpoints a request may be sent to, and what happens if none of them can take it.
type tryKind uint8

const (
	ordinaryTry tryKind = iota // its home or an endpoint that it may spill to (see choose); else the queue
	lastTry                    // also any endpoint with room and a load below highLoad; else rejection
)

// dispatch sends the request to an endpoint if one can take it now, and otherwise queues or rejects it.
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
		b.reject(now, r, EndedByOverload)
	}
}

// attempt sends the request to the endpoint and updates the counts, the cold budget and the next wake-up.
func (b *Balancer) attempt(now Time, r *request, index endpointIndex) {
	e := &b.table.endpoints[index]
	timeout := b.attemptTimeout(now, r)
	if b.warmup.isCold(now, e) {
		e.coldBudget--
	}
	r.tried[r.attempts%len(r.tried)] = index
	r.attempts++
	r.sentAt = now
	r.inFlight++
	e.inFlight++
	b.concurrency.inFlight++
	b.countBodyPending(r, index, 1)
	r.next = (*Balancer).finishAttempt
	b.front.Attempt(r.handle(), e.ID, timeout)
	b.wake(now, b.answerBy(r))
}

// attemptTimeout returns the timeout of the next attempt. It is shortened where another attempt may follow
// and endpoints stop working on cancelled attempts, so that an endpoint that does not answer cannot hold up
// the request. Cancelling and the retry budget limit the work that the retries after early timeouts add.
func (b *Balancer) attemptTimeout(now Time, r *request) Time {
	timeout := b.answerBy(r) - now
	class := b.class(r)
	mayRetry := r.attempts+1 < b.settings.MaxAttempts && b.retries.available() &&
		class.Idempotency != NonIdempotent
	if mayRetry && b.settings.MayCancel {
		early := max(Time(earlyTimeoutTargets*float64(class.Target)), Time(earlyTimeoutMeans*b.meanLatency(r)))
		timeout = min(timeout, early)
	}
	return timeout
}

// AttemptEnded reports how an attempt ended. elapsed is the time since it was sent; answered says that the
// request needs no answer any more.
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
	e.lastUsedAt = now
	b.concurrency.inFlight--
	if outcome == NotConnected {
		b.doubt(now, e)
	}
	if outcome < Cancelled { // Cancelled, NotSent and Declined say nothing about the endpoint
		b.recordOutcome(now, r, e, outcome, elapsed)
	}
	if answered {
		r.markAnswered()
	}
	r.next(b, r, attemptResult{now: now, outcome: outcome, endpoint: index, attempt: attempt})
	b.requests.release(r)
	b.drainQueue(now, index)
}

// finishAttempt is the continuation of a request that was sent. If the attempt succeeded or was declined, the
// front passes the endpoint's answer on to the client; otherwise the request is retried.
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
		if b.table.endpoints[result.endpoint].inDoubt(r.sentAt) {
			r.ranOn = noEndpoint
		}
	}
	b.retry(r, result)
}

// reject ends the request without an endpoint's answer: as rejected if the client may safely send it again,
// else as failed.
func (b *Balancer) reject(now Time, r *request, reason EndReason) {
	class := b.class(r)
	r.markAnswered()
	r.endReason = reason
	repeatable := class.Idempotency == Idempotent || class.Idempotency == Keyed && class.Group == GroupAll
	// An endpoint cannot run a request whose body is incomplete.
	if repeatable || !r.mayHaveRun && (r.inFlight == 0 || r.bodyPending) {
		b.noteRejection(now)
		b.front.Reject(r.handle(), min(b.settings.MaxRetryAfter, class.Target))
	} else {
		b.front.Fail(r.handle())
	}
	b.requests.release(r)
}

// cancel cancels the request's attempt in flight if endpoints stop working on cancelled attempts.
func (b *Balancer) cancel(r *request) {
	if r.inFlight > 0 && b.settings.MayCancel {
		b.front.Cancel(r.handle(), AttemptNo(r.attempts-1))
	}
}

// ClientLeft reports that a request's client has disconnected or given up, so that it needs no answer.
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

// SetDeadline replaces a request's deadline; 0 means none. The front removes the deadline of a request whose
// answer has begun: how long the answer may take is up to the client.
func (b *Balancer) SetDeadline(handle Handle, deadline Time) {
	if r := b.requests.lookup(handle); r != nil {
		r.deadline = cmp.Or(deadline, never)
	}
}

// BodyPending is called with complete false while the body of an admitted request is not complete, and with
// complete true once it is. deadline is the request's deadline from then on; 0 means none. Between the two,
// its attempt counts against no limit. During a shutdown, the end of the shutdown is the deadline, if the
// given one is not earlier.
func (b *Balancer) BodyPending(now Time, handle Handle, complete bool, deadline Time) {
	r := b.requests.lookup(handle)
	if r == nil || r.answered || complete && !r.bodyPending {
		return
	}
	index := r.lastTried()
	b.countBodyPending(r, index, -r.inFlight)
	r.bodyPending = !complete
	b.countBodyPending(r, index, r.inFlight)
	r.deadline = min(cmp.Or(deadline, never), b.shutdownAt)
	if r.deadline != never {
		b.wake(now, b.answerBy(r))
	}
}

// countBodyPending adds to the counts of attempts with incomplete bodies if the request's body is incomplete.
func (b *Balancer) countBodyPending(r *request, index endpointIndex, attempts int) {
	if r.bodyPending {
		b.concurrency.bodyPending += attempts
		b.table.endpoints[index].bodyPending += attempts
	}
}

// AttemptAllowed reports whether the request's latest attempt is still allowed. It is for attempts that have
// been decided on and not yet written: time has passed and the settings may have changed since. An attempt
// that is no longer allowed must be reported as NotSent.
func (b *Balancer) AttemptAllowed(now Time, handle Handle) bool {
	r := b.requests.lookup(handle)
	if r == nil || r.attempts == 0 {
		return false
	}
	r.attempts-- // not counting the latest attempt, whose endpoint isAllowed would refuse as already tried
	index := r.tried[r.attempts%len(r.tried)]
	cold := b.warmup.isCold(now, &b.table.endpoints[index])
	allowed := b.isAllowed(now, r, index) && (b.settings.OverloadMultiple > 0 || !cold)
	r.attempts++
	return allowed
}

// Shutdown announces that the instance ends at the time by. No request, including those admitted later, has a
// deadline after that time.
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
