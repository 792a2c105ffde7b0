package engine

import "pepperlead/policy"

// step is an action that the module has decided on. It is carried out at the end of the round.
type step struct {
	run      func(e *Engine, now policy.Time, s step)
	request  *Request
	endpoint policy.EndpointID
	attempt  policy.AttemptNo
	duration policy.Time // until the attempt's time-out, or until a rejected client may retry
}

// addStep adds a step for the request of that handle.
func (e *Engine) addStep(h policy.Handle, s step) *Request {
	s.request = e.requests[h.Index()]
	s.request.PendingSteps++
	e.steps = append(e.steps, s)
	return s.request
}

// Attempt implements policy.Front.
func (e *Engine) Attempt(h policy.Handle, to policy.EndpointID, wait policy.Time) {
	t := e.addStep(h, step{run: sendAttempt, endpoint: to, duration: wait})
	t.InFlight = true
	t.Endpoint = to
	t.AttemptNo = policy.AttemptNo(t.Attempts)
	t.rulesVersion = e.rulesVersion()
	t.Attempts++
}

// Cancel implements policy.Front.
func (e *Engine) Cancel(h policy.Handle, n policy.AttemptNo) {
	e.addStep(h, step{run: cancelAttempt, attempt: n})
}

// Succeed implements policy.Front.
func (e *Engine) Succeed(h policy.Handle, _ policy.AttemptNo) {
	e.addStep(h, step{run: succeed}).Decided = true
}

// Reject implements policy.Front.
func (e *Engine) Reject(h policy.Handle, retryIn policy.Time) {
	e.addStep(h, step{run: reject, duration: retryIn}).Decided = true
}

// Fail implements policy.Front.
func (e *Engine) Fail(h policy.Handle) {
	e.addStep(h, step{run: fail}).Decided = true
}

// Wake implements policy.Front.
func (e *Engine) Wake(in policy.Time) {
	if at := e.Clock.Now() + in; !e.wakeTimer.Active() || at < e.wakeTimer.At() {
		e.Timers.Set(&e.wakeTimer, at)
	}
}

// FollowList implements policy.Front.
func (e *Engine) FollowList(on bool) { e.list.follow(on) }

// Log implements policy.Front.
func (e *Engine) Log(line string) { e.Logger.Info(line) }

// ReleaseConnections implements policy.Front: it closes the idle connections to an endpoint that stays listed.
func (e *Engine) ReleaseConnections(id policy.EndpointID) {
	if s := e.Endpoints[id]; s != nil {
		e.closeIdle(s)
	}
}

// Forget implements policy.Front: it drops an endpoint that is not listed any more. Connections that are in use close
// when they become idle.
func (e *Engine) Forget(id policy.EndpointID) {
	s := e.Endpoints[id]
	if s == nil {
		return
	}
	e.retire(s)
	for _, f := range e.fronts {
		f.Forget(s)
	}
	delete(e.Endpoints, id)
}

func sendAttempt(e *Engine, now policy.Time, s step) {
	t := s.request
	t.SentAt = now
	to := e.Endpoints[s.endpoint]
	if t.Decided || to == nil || !e.AttemptStillValid(now, t) {
		e.AttemptEnded(now, t, policy.NotSent)
		return
	}
	e.Counters.Attempts++
	e.recordAttempt(now, t, to)
	e.Timers.Set(&t.AttemptTimer, now+s.duration)
	t.Front.Send(now, t, to)
}

func cancelAttempt(_ *Engine, now policy.Time, s step) {
	if t := s.request; t.InFlight && t.AttemptNo == s.attempt {
		t.Front.CancelAttempt(now, t)
	}
}

func succeed(_ *Engine, now policy.Time, s step) { s.request.Front.Succeed(now, s.request) }

func reject(_ *Engine, now policy.Time, s step) { s.request.Front.Reject(now, s.request, s.duration) }

func fail(_ *Engine, now policy.Time, s step) { s.request.Front.Fail(now, s.request) }
