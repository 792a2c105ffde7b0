package engine

import "pepperlead/policy"

// DeadlineMarginTicks is the number of ticks before the client's deadline at which an attempt is ended if the module's
// timeout does not apply to it. Such an attempt was sent before its request body was complete, or its streamed response
// has stalled.
const DeadlineMarginTicks = 4

// Request is the engine's state of a request.
type Request struct {
	Handle        policy.Handle
	Front         Front
	FrontData     any    // data of the front, kept when the Request is reused
	No            uint64 // sequence number of the request
	Class         policy.ClassID
	ReceivedAt    policy.Time       // when the request's last byte was received
	ClientWaiting bool              // the client waits for an answer
	InFlight      bool              // an attempt is in flight, or is about to be sent
	AttemptNo     policy.AttemptNo  // number of the latest attempt, by which the module identifies it
	Attempts      int               // number of attempts so far
	Endpoint      policy.EndpointID // endpoint of the latest attempt
	SentAt        policy.Time       // when the latest attempt was sent
	AttemptTimer  Timer             // timeout of the attempt in flight
	EndReason     policy.EndReason  // why the module ended the request without an endpoint's answer
	Decided       bool              // the module has decided on the final answer, or the client has left
	PendingSteps  int               // steps that are decided on and not yet carried out

	frontIndex   int
	rulesVersion uint64 // version of the rules under which the latest attempt was decided on
}

// endedAttempt is an attempt that has ended and is not yet reported to the module.
type endedAttempt struct {
	request *Request
	outcome policy.Outcome
	spent   policy.Time
}

// NewRequest returns an unused request of the front with the given index. Its FrontData is nil, or what the front
// stored there for an earlier request.
func (e *Engine) NewRequest(front int) *Request {
	e.InFlight++
	if n := len(e.freeRequests[front]); n > 0 {
		request := e.freeRequests[front][n-1]
		e.freeRequests[front] = e.freeRequests[front][:n-1]
		return request
	}
	request := &Request{Front: e.fronts[front], frontIndex: front}
	request.AttemptTimer.Run = func(now policy.Time) { request.Front.TimedOut(now, request) }
	return request
}

// Admit passes a request to the module. receivedAt is the time at which its last byte was received, and timeout is how
// long its client waits from then on.
func (e *Engine) Admit(now, receivedAt policy.Time, request *Request, class policy.ClassID, tenant policy.TenantID,
	key string, repeat bool, timeout policy.Time) {
	e.Counters.Requests++
	request.No = uint64(e.Counters.Requests)
	request.Class = class
	request.ReceivedAt = receivedAt
	request.ClientWaiting = true
	e.Metrics.Pending.Add(1)
	timeout -= now - receivedAt
	e.recordRequest(now, request, tenant, key, repeat, timeout)
	request.Handle = e.Module.Admit(now, class, tenant, key, repeat, max(0, timeout))
	for len(e.requests) <= request.Handle.Index() {
		e.requests = append(e.requests, nil)
	}
	e.requests[request.Handle.Index()] = request
	if e.rules != nil {
		e.rules.classes.Acquire(class)
	}
	e.Module.Begin(now, request.Handle)
}

// BodyExpected reports that the body of an admitted request is not complete yet, and the deadline by which the client
// must be answered if it had sent everything by now; 0: none. It is called again whenever that changes.
func (e *Engine) BodyExpected(now policy.Time, request *Request, deadline policy.Time) {
	if !request.Decided {
		e.Module.BodyPending(now, request.Handle, false, deadline)
	}
}

// BodyComplete reports that the last byte of the body was received. sentAt is when the client has sent it, at the
// earliest, and timeout how long it waits from then on.
func (e *Engine) BodyComplete(now, sentAt policy.Time, request *Request, timeout policy.Time) {
	if request.Decided {
		return
	}
	request.ReceivedAt = sentAt
	e.Module.BodyPending(now, request.Handle, true, sentAt+timeout)
	if request.InFlight {
		request.SentAt = now
		e.Timers.Set(&request.AttemptTimer, max(now, sentAt+timeout-DeadlineMarginTicks*e.Settings.Tick))
	}
}

// AttemptEnded records the outcome of the attempt in flight. ReportEndedAttempts reports it to the module.
func (e *Engine) AttemptEnded(at policy.Time, request *Request, outcome policy.Outcome) {
	e.Timers.Stop(&request.AttemptTimer)
	e.ended = append(e.ended, endedAttempt{request: request, outcome: outcome, spent: max(0, at-request.SentAt)})
}

// Answered reports that the client has its final answer. answer is its kind, such as AnswerSucceeded.
func (e *Engine) Answered(now policy.Time, request *Request, answer int) {
	e.endWait(request, answer)
	e.observe(now, request, answer)
}

// Unanswered reports that the final answer did not reach the client: the client had left, or the answer was a streamed
// response that broke off.
func (e *Engine) Unanswered(request *Request) { e.endWait(request, answerClientLeft) }

// ClientLeft reports that the client has left.
func (e *Engine) ClientLeft(now policy.Time, request *Request) {
	e.endWait(request, answerClientLeft)
	if !request.Decided {
		e.Counters.ClientsDisconnected++
		e.observe(now, request, answerClientLeft)
		request.Decided = true
		e.Module.ClientLeft(now, request.Handle)
	}
	e.release(request)
}

// FinishRequest reports that the front has finished with a request. It is only needed if the front called AttemptEnded
// before it had finished with the request, as it does for a streamed response.
func (e *Engine) FinishRequest(request *Request) { e.release(request) }

// endWait marks that the client no longer waits, and counts the result of the request. Further calls have no effect.
func (e *Engine) endWait(request *Request, answer int) {
	if !request.ClientWaiting {
		return
	}
	request.ClientWaiting = false
	e.Metrics.Pending.Add(-1)
	e.CountResult(request.Class, resultOf[answer])
}

// release makes a request available for reuse, if nothing refers to it any more.
func (e *Engine) release(request *Request) {
	if !request.Decided || request.InFlight || request.PendingSteps != 0 || request.ClientWaiting {
		return
	}
	e.Timers.Stop(&request.AttemptTimer)
	if slot := request.Handle.Index(); slot < len(e.requests) && e.requests[slot] == request {
		e.requests[slot] = nil
	}
	if e.rules != nil {
		e.rules.classes.Release(request.Class)
	}
	request.Front.Released(request)
	*request = Request{
		Front:        request.Front,
		FrontData:    request.FrontData,
		AttemptTimer: Timer{Run: request.AttemptTimer.Run},
		frontIndex:   request.frontIndex,
	}
	e.freeRequests[request.frontIndex] = append(e.freeRequests[request.frontIndex], request)
	e.InFlight--
}
