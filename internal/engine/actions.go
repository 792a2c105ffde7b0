package engine

import (
	"pepperlead/policy"
)

func (e *Engine) want(h policy.Handle, n step) *Request {
	n.request = e.byPlace[h.Place()]
	n.request.PendingSteps++
	e.steps = append(e.steps, n)
	return n.request
}

func (e *Engine) Attempt(h policy.Handle, to policy.EndpointID, wait policy.Time) {
	t := e.want(h, step{do: (*Engine).send, endpoint: to, span: wait})
	t.InFlight, t.Endpoint, t.AttemptNo, t.decided = true, to, policy.AttemptNo(t.Attempts), e.acted()
	t.Attempts++
}

func (e *Engine) Cancel(h policy.Handle, n policy.AttemptNo) {
	e.want(h, step{do: (*Engine).cancel, attempt: n})
}

func (e *Engine) Succeed(h policy.Handle, _ policy.AttemptNo) {
	e.want(h, step{do: func(_ *Engine, now policy.Time, t *Request, _ step) { t.Front.Succeed(now, t) }}).Decided = true
}

func (e *Engine) Reject(h policy.Handle, retryIn policy.Time) {
	e.want(h, step{do: func(_ *Engine, now policy.Time, t *Request, n step) { t.Front.Reject(now, t, n.span) }, span: retryIn}).Decided = true
}

func (e *Engine) Fail(h policy.Handle) {
	e.want(h, step{do: func(_ *Engine, now policy.Time, t *Request, _ step) { t.Front.Fail(now, t) }}).Decided = true
}

func (e *Engine) Wake(in policy.Time) {
	if at := e.Clock.Now() + in; !e.wake.Active() || at < e.wake.At() {
		e.Timers.Set(&e.wake, at)
	}
}

func (e *Engine) FollowList(on bool) { e.list.follow(on) }

func (e *Engine) Log(line string) { e.Logger.Info(line) }

// Release closes what stands idle to an endpoint that stays listed.
func (e *Engine) Release(id policy.EndpointID) {
	if s := e.Endpoints[id]; s != nil {
		for _, f := range e.fronts {
			f.CloseIdle(s)
		}
	}
}

// Forget lets an endpoint go that is listed no more. Its connections, if any are left, close when they are free.
func (e *Engine) Forget(id policy.EndpointID) {
	if s := e.Endpoints[id]; s != nil {
		e.retire(s)
		for _, f := range e.fronts {
			f.Forget(s)
		}
		delete(e.Endpoints, id)
	}
}

// retire has no connection to the endpoint kept for later.
func (e *Engine) retire(s *Endpoint) {
	s.Draining = true
	s.Generation++
	for _, f := range e.fronts {
		f.CloseIdle(s)
	}
}

func (e *Engine) send(now policy.Time, t *Request, n step) {
	t.SentAt = now
	s := e.Endpoints[n.endpoint]
	if t.Decided || s == nil || !e.AttemptStillValid(now, t) {
		e.AttemptEnded(now, t, policy.NotSent)
		return
	}
	e.Counters.Attempts++
	e.recordAttempt(now, t, s)
	e.Timers.Set(&t.AttemptTimer, now+n.span)
	t.Front.Send(now, t, s)
}

func (e *Engine) cancel(now policy.Time, t *Request, n step) {
	if t.InFlight && t.AttemptNo == n.attempt {
		t.Front.CancelAttempt(now, t)
	}
}
