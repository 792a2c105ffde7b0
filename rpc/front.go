package rpc

import (
	"sync"

	"google.golang.org/grpc"

	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// front connects callers to the engine. Callers' goroutines post events, which the engine's loop, a single goroutine,
// handles. The loop sends instructions on the channel of the call.
type front struct {
	engine      *engine.Engine
	index       int // index of this front's entry in Endpoint.FrontData
	dialOptions []grpc.DialOption
	calls       sync.Pool

	mu     sync.Mutex // guards posted
	posted []event
	spare  []event // swapped with posted by Gather
}

var _ engine.Front = (*front)(nil)

func newFront(e *engine.Engine, dialOptions []grpc.DialOption) *front {
	f := &front{engine: e, dialOptions: dialOptions}
	f.calls.New = newClientCall
	f.index = e.AddFront(f)
	return f
}

func (f *front) post(e event) {
	e.at = f.engine.Clock.Now()
	f.mu.Lock()
	f.posted = append(f.posted, e)
	f.mu.Unlock()
	f.engine.Signal()
}

// Gather handles the events posted since the last call.
func (f *front) Gather(now policy.Time) {
	f.mu.Lock()
	events := f.posted
	f.posted = f.spare[:0]
	f.spare = events
	f.mu.Unlock()
	for _, e := range events {
		e.handle(f, now, e)
		f.engine.ReportEndedAttempts(now)
	}
	clear(events)
}

// HasPending returns false: post signals the loop for each event.
func (f *front) HasPending() bool { return false }

// callStarted admits a new call, or rejects it during the shutdown.
func (f *front) callStarted(now policy.Time, e event) {
	call := e.call
	if _, shuttingDown := f.engine.ShuttingDown(); shuttingDown {
		call.abandoned = true
		call.instructions <- instruction{answer: rejected}
		return
	}
	call.request = f.engine.NewRequest(f.index)
	call.request.FrontData = call
	f.engine.Admit(now, e.at, call.request, call.class, call.tenant, call.key, false, call.timeout)
}

// attemptEnded handles the end of an attempt. If the attempt is no longer current, the loop has ended it already, by
// cancellation or timeout.
func (f *front) attemptEnded(now policy.Time, e event) {
	call := e.call
	current := call.isCurrent(e.sequence)
	if e.last && call.request != nil && (!current || call.stream && !isFinal(e.outcome)) {
		// The caller already has its result, so the engine must not make a further attempt.
		f.engine.ClientLeft(now, call.request)
	}
	if current {
		f.engine.AttemptEnded(e.at, call.request, e.outcome)
	}
	e.backend.release()
	if e.last {
		f.closeCall(call)
	}
}

// isCurrent reports whether the attempt with this sequence number is in flight.
func (c *clientCall) isCurrent(sequence uint32) bool {
	return c.request != nil && c.request.InFlight && c.sequence == sequence
}

// streamOpened removes the deadline of a stream that has been opened.
func (f *front) streamOpened(_ policy.Time, e event) {
	if e.call.isCurrent(e.sequence) {
		f.engine.Timers.Stop(&e.call.request.AttemptTimer)
		f.engine.Module.SetDeadline(e.call.request.Handle, 0)
	}
}

// streamAnswered handles the endpoint's first message on a stream: the attempt has succeeded. The stream continues.
func (f *front) streamAnswered(_ policy.Time, e event) {
	if e.call.isCurrent(e.sequence) {
		f.engine.AttemptEnded(e.at, e.call.request, policy.Succeeded)
	}
}

// callerLeft handles a caller that has stopped waiting or has its final answer, and is not executing an attempt.
func (f *front) callerLeft(now policy.Time, e event) {
	if e.call.request != nil {
		f.engine.ClientLeft(now, e.call.request)
	}
	f.closeCall(e.call)
}

// closeCall marks the call as closed and releases the connections of instructions that its caller has not read.
func (f *front) closeCall(call *clientCall) {
	call.abandoned = true
	call.closed = true
	for {
		select {
		case unread := <-call.instructions:
			if unread.backend != nil {
				unread.backend.release()
			}
		default:
			f.recycle(call)
			return
		}
	}
}

// recycle returns the call to the pool once neither its caller nor the engine refers to it.
func (f *front) recycle(call *clientCall) {
	if call.closed && call.request == nil {
		call.reset()
		f.calls.Put(call)
	}
}

// Send instructs the caller to send its call to the endpoint.
func (f *front) Send(now policy.Time, request *engine.Request, to *engine.Endpoint) {
	call := request.FrontData.(*clientCall)
	b, err := f.backend(to)
	if err != nil || call.abandoned {
		f.engine.AttemptEnded(now, request, policy.NotSent)
		return
	}
	call.sequence++
	b.uses++
	// now is the start of the round. Reading the clock here would hide a suspension of the process since then.
	call.instructions <- instruction{backend: b, sequence: call.sequence, decidedAt: now}
	f.limitArrival(now, call)
}

// backend returns the connection to the endpoint. If there is none, or it is retired, it creates one.
func (f *front) backend(to *engine.Endpoint) (*backend, error) {
	if b, ok := to.FrontData[f.index].(*backend); ok && !b.retired {
		return b, nil
	}
	b, err := newBackend(to.Addr, f.engine.Clock, f.dialOptions)
	if err != nil {
		return nil, err
	}
	to.FrontData[f.index] = b
	return b, nil
}

// TimedOut cancels the attempt in flight, which has timed out.
func (f *front) TimedOut(now policy.Time, request *engine.Request) {
	call := request.FrontData.(*clientCall)
	outcome := policy.TimedOut
	if call.streamCount.Load() == 0 {
		outcome = policy.NotConnected // gRPC has not begun a stream
	}
	call.cancelAttempt()
	f.engine.AttemptEnded(now, request, outcome)
}

// CancelAttempt cancels the attempt in flight.
func (f *front) CancelAttempt(now policy.Time, request *engine.Request) {
	request.FrontData.(*clientCall).cancelAttempt()
	f.engine.AttemptEnded(now, request, policy.Cancelled)
}

// Succeed records the success of a call. Its caller has the reply already.
func (f *front) Succeed(now policy.Time, request *engine.Request) {
	f.engine.Counters.Succeeded++
	f.engine.Answered(now, request, engine.AnswerSucceeded)
}

// Reject instructs the caller to return an error that says that the call may safely be sent again.
func (f *front) Reject(now policy.Time, request *engine.Request, retryAfter policy.Time) {
	f.engine.Counters.Rejected++
	request.FrontData.(*clientCall).sendAnswer(instruction{answer: rejected, retryAfter: retryAfter})
	f.engine.Answered(now, request, engine.AnswerRejected)
}

// Fail instructs the caller to return an error that says that the call may have run.
func (f *front) Fail(now policy.Time, request *engine.Request) {
	f.engine.Counters.Failed++
	request.FrontData.(*clientCall).sendAnswer(instruction{answer: failed})
	f.engine.Answered(now, request, engine.AnswerFailed)
}

// sendAnswer sends the caller its final instruction, if it still reads instructions.
func (c *clientCall) sendAnswer(final instruction) {
	if !c.abandoned {
		c.abandoned = true
		c.instructions <- final
	}
}

// DiscardResponse does nothing: only callers handle responses.
func (f *front) DiscardResponse(*engine.Request) {}

// Released recycles the request's call if its caller has finished with it too.
func (f *front) Released(request *engine.Request) {
	call := request.FrontData.(*clientCall)
	f.engine.Timers.Stop(&call.arrivalTimer)
	request.FrontData = nil
	call.request = nil
	f.recycle(call)
}

// CloseIdle retires the endpoint's connection, which could otherwise reconnect by itself while nothing uses it.
func (f *front) CloseIdle(endpoint *engine.Endpoint) {
	if b, ok := endpoint.FrontData[f.index].(*backend); ok && !b.retired {
		b.retire()
	}
}

// Forget does nothing: CloseIdle has retired the connection.
func (f *front) Forget(*engine.Endpoint) {}

// BeginShutdown does nothing: callStarted rejects new calls.
func (f *front) BeginShutdown(policy.Time) {}

// Drained returns true: callStarted admits no calls during the shutdown.
func (f *front) Drained(policy.Time) bool { return true }

// Close closes the connections that are still open.
func (f *front) Close() {
	for _, endpoint := range f.engine.Endpoints {
		if b, ok := endpoint.FrontData[f.index].(*backend); ok {
			_ = b.conn.Close() // fails only if it is already closed
		}
	}
}
