package engine

import "pepperlead/policy"

// step is an action that the module has decided on. The loop carries it out at the end of the round.
type step struct {
	run      func(e *Engine, now policy.Time, s step)
	request  *Request
	endpoint policy.EndpointID
	attempt  policy.AttemptNo
	duration policy.Time // timeout of the attempt, or the time after which a rejected client may retry
}

// addStep queues a step for the request with the given handle, and returns that request.
func (e *Engine) addStep(handle policy.Handle, s step) *Request {
	s.request = e.requests[handle.Index()]
	s.request.PendingSteps++
	e.steps = append(e.steps, s)
	return s.request
}

// Attempt implements policy.Front.
func (e *Engine) Attempt(handle policy.Handle, to policy.EndpointID, timeout policy.Time) {
	request := e.addStep(handle, step{run: sendAttempt, endpoint: to, duration: timeout})
	request.InFlight = true
	request.Endpoint = to
	request.AttemptNo = policy.AttemptNo(request.Attempts)
	request.rulesVersion = e.rulesVersion()
	request.Attempts++
}

// Cancel implements policy.Front.
func (e *Engine) Cancel(handle policy.Handle, attempt policy.AttemptNo) {
	e.addStep(handle, step{run: cancelAttempt, attempt: attempt})
}

// Succeed implements policy.Front.
func (e *Engine) Succeed(handle policy.Handle, _ policy.AttemptNo) {
	e.addStep(handle, step{run: succeed}).Decided = true
}

// Reject implements policy.Front.
func (e *Engine) Reject(handle policy.Handle, retryAfter policy.Time) {
	e.endRequest(handle, step{run: reject, duration: retryAfter})
}

// Fail implements policy.Front.
func (e *Engine) Fail(handle policy.Handle) {
	e.endRequest(handle, step{run: fail})
}

// endRequest queues the step that ends a request without an endpoint's answer.
func (e *Engine) endRequest(handle policy.Handle, s step) {
	request := e.addStep(handle, s)
	request.Decided = true
	request.EndReason = e.Module.EndReason(handle)
	e.Counters.Ended[request.EndReason]++
}

// Wake implements policy.Front.
func (e *Engine) Wake(after policy.Time) {
	if at := e.Clock.Now() + after; !e.wakeTimer.Active() || at < e.wakeTimer.At() {
		e.Timers.Set(&e.wakeTimer, at)
	}
}

// FollowList implements policy.Front.
func (e *Engine) FollowList(follow bool) { e.list.follow(follow) }

// Log implements policy.Front.
func (e *Engine) Log(line string) { e.Logger.Info(line) }

// ReleaseConnections implements policy.Front. It closes the idle connections to an endpoint that is still listed.
func (e *Engine) ReleaseConnections(id policy.EndpointID) {
	if endpoint := e.Endpoints[id]; endpoint != nil {
		e.closeIdle(endpoint)
	}
}

// Forget implements policy.Front. It drops an endpoint that is no longer listed. Its connections that are in use are
// closed when they become idle.
func (e *Engine) Forget(id policy.EndpointID) {
	endpoint := e.Endpoints[id]
	if endpoint == nil {
		return
	}
	e.retire(endpoint)
	for _, f := range e.fronts {
		f.Forget(endpoint)
	}
	delete(e.Endpoints, id)
}

func sendAttempt(e *Engine, now policy.Time, s step) {
	request := s.request
	request.SentAt = now
	to := e.Endpoints[s.endpoint]
	if request.Decided || to == nil || !e.AttemptStillValid(now, request) {
		e.AttemptEnded(now, request, policy.NotSent)
		return
	}
	e.Counters.Attempts++
	e.recordAttempt(now, request, to)
	e.Timers.Set(&request.AttemptTimer, now+s.duration)
	request.Front.Send(now, request, to)
}

func cancelAttempt(_ *Engine, now policy.Time, s step) {
	if request := s.request; request.InFlight && request.AttemptNo == s.attempt {
		request.Front.CancelAttempt(now, request)
	}
}

func succeed(_ *Engine, now policy.Time, s step) { s.request.Front.Succeed(now, s.request) }

func reject(_ *Engine, now policy.Time, s step) { s.request.Front.Reject(now, s.request, s.duration) }

func fail(_ *Engine, now policy.Time, s step) { s.request.Front.Fail(now, s.request) }
