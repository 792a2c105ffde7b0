package rpc

import (
	"sync"

	"google.golang.org/grpc"

	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Answers as engine.Latency counts them.
const (
	answeredSuccessfully = 0
	answeredRejected     = 2
	answeredFailed       = 3
)

// front is the engine's side of the plug-in. Callers' goroutines post events; the loop answers each by orders on the
// call's own channel.
type front struct {
	engine      *engine.Engine
	number      int // of the front at the engine
	dialOptions []grpc.DialOption
	calls       sync.Pool

	mu     sync.Mutex // guards posted
	posted []event
	spare  []event
}

var _ engine.Front = (*front)(nil)

func newFront(e *engine.Engine, dialOptions []grpc.DialOption) *front {
	f := &front{engine: e, dialOptions: dialOptions}
	f.calls.New = newCall
	f.number = e.AddFront(f)
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

// HasPending reports no: each event signals the loop.
func (f *front) HasPending() bool { return false }

// callStarted admits a new call.
func (f *front) callStarted(now policy.Time, e event) {
	k := e.call
	if _, shuttingDown := f.engine.ShuttingDown(); shuttingDown {
		k.abandoned = true
		k.orders <- order{answer: rejected}
		return
	}
	k.request = f.engine.NewRequest(f.number)
	k.request.FrontData = k
	f.engine.Admit(now, e.at, k.request, k.class, k.tenant, k.key, false, k.timeLeft)
}

// attemptEnded handles the end of an attempt. What the loop has cancelled meanwhile has ended for it already.
func (f *front) attemptEnded(now policy.Time, e event) {
	k := e.call
	current := k.isCurrent(e.sequence)
	if e.last && k.request != nil && (!current || k.stream && !isFinal(e.outcome)) {
		// The caller has an answer that nothing can change any more.
		f.engine.ClientLeft(now, k.request)
	}
	if current {
		f.engine.AttemptEnded(e.at, k.request, e.outcome)
	}
	e.backend.release()
	if e.last {
		f.closeCall(k)
	}
}

// isCurrent reports whether the attempt of the sequence number is in flight.
func (k *call) isCurrent(sequence uint32) bool {
	return k.request != nil && k.request.InFlight && k.sequence == sequence
}

// streamOpened lifts the deadline of a stream that is open.
func (f *front) streamOpened(_ policy.Time, e event) {
	if e.call.isCurrent(e.sequence) {
		f.engine.Timers.Stop(&e.call.request.AttemptTimer)
		f.engine.Module.Until(e.call.request.Handle, 0)
	}
}

// streamAnswered handles the endpoint's first message on a stream: the attempt succeeded. The stream goes on.
func (f *front) streamAnswered(_ policy.Time, e event) {
	if e.call.isCurrent(e.sequence) {
		f.engine.AttemptEnded(e.at, e.call.request, policy.Succeeded)
	}
}

// callerLeft handles a caller that waits no longer, or has its final answer, with no attempt of its own in flight.
func (f *front) callerLeft(now policy.Time, e event) {
	if e.call.request != nil {
		f.engine.ClientLeft(now, e.call.request)
	}
	f.closeCall(e.call)
}

// closeCall takes back the orders that a caller who has left did not read.
func (f *front) closeCall(k *call) {
	k.abandoned = true
	k.closed = true
	for {
		select {
		case o := <-k.orders:
			if o.backend != nil {
				o.backend.release()
			}
		default:
			f.recycle(k)
			return
		}
	}
}

// recycle puts a call back into the pool once neither side refers to it any more.
func (f *front) recycle(k *call) {
	if k.closed && k.request == nil {
		k.reset()
		f.calls.Put(k)
	}
}

// Send has the caller send its call to the endpoint.
func (f *front) Send(now policy.Time, request *engine.Request, to *engine.Endpoint) {
	k := request.FrontData.(*call)
	b, err := f.backend(to)
	if err != nil || k.abandoned {
		f.engine.AttemptEnded(now, request, policy.NotSent)
		return
	}
	k.sequence++
	b.uses++
	// The round's time: the process may have stood still within it.
	k.orders <- order{backend: b, sequence: k.sequence, decidedAt: now}
}

// backend returns the endpoint's connection, a new one where there is none.
func (f *front) backend(to *engine.Endpoint) (*backend, error) {
	if b, ok := to.FrontData[f.number].(*backend); ok && !b.retired {
		return b, nil
	}
	b, err := newBackend(to.Addr, f.engine.Clock, f.dialOptions)
	if err != nil {
		return nil, err
	}
	to.FrontData[f.number] = b
	return b, nil
}

// TimedOut cancels an attempt whose time is up.
func (f *front) TimedOut(now policy.Time, request *engine.Request) {
	k := request.FrontData.(*call)
	outcome := policy.TimedOut
	if k.streamCount.Load() == 0 {
		outcome = policy.NotConnected // no stream was ever begun
	}
	k.cancelAttempt()
	f.engine.AttemptEnded(now, request, outcome)
}

// CancelAttempt cancels the attempt in flight.
func (f *front) CancelAttempt(now policy.Time, request *engine.Request) {
	request.FrontData.(*call).cancelAttempt()
	f.engine.AttemptEnded(now, request, policy.Cancelled)
}

// Succeed ends a call whose caller has the reply already.
func (f *front) Succeed(now policy.Time, request *engine.Request) {
	f.engine.Counters.Succeeded++
	f.engine.Answered(now, request, answeredSuccessfully)
}

// Reject has the caller answer that the call may be sent again.
func (f *front) Reject(now policy.Time, request *engine.Request, retryAfter policy.Time) {
	f.engine.Counters.Rejected++
	request.FrontData.(*call).answer(order{answer: rejected, retryAfter: retryAfter})
	f.engine.Answered(now, request, answeredRejected)
}

// Fail has the caller answer that the call may have run.
func (f *front) Fail(now policy.Time, request *engine.Request) {
	f.engine.Counters.Failed++
	request.FrontData.(*call).answer(order{answer: failed})
	f.engine.Answered(now, request, answeredFailed)
}

// answer gives the caller its final order, if it still reads orders.
func (k *call) answer(final order) {
	if !k.abandoned {
		k.abandoned = true
		k.orders <- final
	}
}

// DiscardResponse does nothing: responses are the callers'.
func (f *front) DiscardResponse(*engine.Request) {}

// Released recycles the request's call, once its caller is done with it too.
func (f *front) Released(request *engine.Request) {
	k := request.FrontData.(*call)
	request.FrontData = nil
	k.request = nil
	f.recycle(k)
}

// CloseIdle retires the endpoint's connection, which must not come up again by itself when nothing uses it.
func (f *front) CloseIdle(endpoint *engine.Endpoint) {
	if b, ok := endpoint.FrontData[f.number].(*backend); ok && !b.retired {
		b.retire()
	}
}

// Forget does nothing: CloseIdle has retired the connection.
func (f *front) Forget(*engine.Endpoint) {}

// BeginShutdown does nothing: callStarted rejects new calls.
func (f *front) BeginShutdown(policy.Time) {}

// Drained reports yes: there is nothing that new calls come from.
func (f *front) Drained(policy.Time) bool { return true }

// Close closes the connections that are still open.
func (f *front) Close() {
	for _, endpoint := range f.engine.Endpoints {
		if b, ok := endpoint.FrontData[f.number].(*backend); ok {
			_ = b.conn.Close() // fails only where it is closed already
		}
	}
}
