package engine

import "pepperlead/policy"

// BeforeDeadline is how many ticks before the client's deadline the engine's fronts end what the module does not: an
// attempt whose body came late, or a streamed response that stopped.
const BeforeDeadline = 4

// Request is a request as the engine has it.
type Request struct {
	Handle        policy.Handle
	Front         Front
	FrontData     any    // the front's own, kept when the Request is reused
	No            uint64 // counts requests
	Class         policy.ClassID
	ReceivedAt    policy.Time // when its last byte came
	ClientWaiting bool        // for an answer
	InFlight      bool        // an attempt is in flight, or about to be
	AttemptNo     policy.AttemptNo
	Attempts      int
	Endpoint      policy.EndpointID
	SentAt        policy.Time
	AttemptTimer  Timer
	Decided       bool // on the final answer
	PendingSteps  int  // decided on and not yet carried out

	frontIndex   int
	rulesVersion uint64 // when the latest attempt was decided on
}

// endedAttempt is an attempt that has ended.
type endedAttempt struct {
	request *Request
	outcome policy.Outcome
	spent   policy.Time
}

// NewRequest returns an unused request of the front with that index. Its FrontData may be one that the front left there
// earlier, or nil.
func (e *Engine) NewRequest(front int) *Request {
	e.InFlight++
	if n := len(e.freeRequests[front]); n > 0 {
		t := e.freeRequests[front][n-1]
		e.freeRequests[front] = e.freeRequests[front][:n-1]
		return t
	}
	t := &Request{Front: e.fronts[front], frontIndex: front}
	t.AttemptTimer.Run = func(now policy.Time) { t.Front.TimedOut(now, t) }
	return t
}

// Admit hands a request to the module. receivedAt is when its last byte came, and timeout how long its client waits
// from then on.
func (e *Engine) Admit(now, receivedAt policy.Time, t *Request, class policy.ClassID, tenant policy.TenantID,
	key string, repeat bool, timeout policy.Time) {
	e.Counters.Requests++
	t.No = uint64(e.Counters.Requests)
	t.Class = class
	t.ReceivedAt = receivedAt
	t.ClientWaiting = true
	e.Tally.Pending.Add(1)
	timeout -= now - receivedAt
	e.recordRequest(now, t, tenant, key, repeat, timeout)
	t.Handle = e.Module.Admit(now, class, tenant, key, repeat, max(0, timeout))
	for len(e.requests) <= t.Handle.Index() {
		e.requests = append(e.requests, nil)
	}
	e.requests[t.Handle.Index()] = t
	if e.rules != nil {
		e.rules.classes.Acquire(class)
	}
	e.Module.Begin(now, t.Handle)
}

// BodyBegun says that the last byte of an admitted request is still to come: it has no deadline until BodyComplete.
func (e *Engine) BodyBegun(t *Request) {
	if !t.Decided {
		e.Module.BodyPending(t.Handle, false, 0)
	}
}

// BodyComplete says that the last byte has come, and how long the client waits from now on.
func (e *Engine) BodyComplete(now policy.Time, t *Request, timeout policy.Time) {
	if t.Decided {
		return
	}
	t.ReceivedAt = now
	e.Module.BodyPending(t.Handle, true, now+timeout)
	if t.InFlight {
		t.SentAt = now
		e.Timers.Set(&t.AttemptTimer, now+max(0, timeout-BeforeDeadline*e.Settings.Tick))
	}
}

// AttemptEnded notes how the attempt in flight ended. The module is told before the next step.
func (e *Engine) AttemptEnded(at policy.Time, t *Request, outcome policy.Outcome) {
	e.Timers.Stop(&t.AttemptTimer)
	e.ended = append(e.ended, endedAttempt{request: t, outcome: outcome, spent: max(0, at-t.SentAt)})
}

// Answered says that the client has its final answer, of a kind such as AnswerSucceeded.
func (e *Engine) Answered(now policy.Time, t *Request, answer int) {
	e.endWait(t, answer)
	e.observe(now, t, answer)
}

// Unanswered says that the final answer found no client.
func (e *Engine) Unanswered(t *Request) { e.endWait(t, answerClientLeft) }

// ClientLeft says that the client has gone.
func (e *Engine) ClientLeft(now policy.Time, t *Request) {
	e.endWait(t, answerClientLeft)
	if !t.Decided {
		e.Counters.ClientsDisconnected++
		e.observe(now, t, answerClientLeft)
		t.Decided = true
		e.Module.ClientLeft(now, t.Handle)
	}
	e.release(t)
}

// Done says that the front has finished with a request whose attempt had ended before.
func (e *Engine) Done(t *Request) { e.release(t) }

// endWait counts the end of a request, once.
func (e *Engine) endWait(t *Request, answer int) {
	if !t.ClientWaiting {
		return
	}
	t.ClientWaiting = false
	e.Tally.Pending.Add(-1)
	e.Count(t.Class, resultOf[answer])
}

// release frees a request that nothing refers to any more.
func (e *Engine) release(t *Request) {
	if !t.Decided || t.InFlight || t.PendingSteps != 0 || t.ClientWaiting {
		return
	}
	e.Timers.Stop(&t.AttemptTimer)
	if slot := t.Handle.Index(); slot < len(e.requests) && e.requests[slot] == t {
		e.requests[slot] = nil
	}
	if e.rules != nil {
		e.rules.classes.Release(t.Class)
	}
	t.Front.Released(t)
	*t = Request{
		Front:        t.Front,
		FrontData:    t.FrontData,
		AttemptTimer: Timer{Run: t.AttemptTimer.Run},
		frontIndex:   t.frontIndex,
	}
	e.freeRequests[t.frontIndex] = append(e.freeRequests[t.frontIndex], t)
	e.InFlight--
}
