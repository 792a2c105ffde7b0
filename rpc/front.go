package rpc

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// front is the engine's side of the plug-in. Callers' goroutines post what happens; the loop answers each by orders on the call's
// own channel.
type front struct {
	engine *engine.Engine
	no     int
	dial   []grpc.DialOption
	calls  sync.Pool

	mu     sync.Mutex // of what is posted
	posted []posting
	spare  []posting
}

// posting is what a caller has to tell the loop.
type posting struct {
	do      func(f *front, now policy.Time, c *call, p posting)
	call    *call
	at      policy.Time
	seq     uint32
	to      *backend // that the push used
	outcome policy.Outcome
	last    bool // it is the caller's last
}

// order is what the loop has a call do.
type order struct {
	to      *backend // push there; nil: the final answer
	seq     uint32
	at      policy.Time // when it was decided
	final   final
	retryIn policy.Time
}

type final uint8

const (
	turnedBack final = iota
	givenUp
	left
)

// call is one RPC, from its ticket to its end. The loop owns ticket and seq, the caller the rest; mu is between both.
type call struct {
	orders chan order
	ticket *engine.Request
	seq    uint32 // of the latest push; it goes on when the call is used again, so that nothing late is taken for something new
	gone   bool   // its caller has its answer, or has left: it reads no more orders
	closed bool   // its caller has posted its last

	offering  policy.ClassID
	franchise policy.TenantID
	key       string
	left      policy.Time
	stream    bool

	attempts atomic.Int32 // streams that gRPC began for the push
	watch    []grpc.CallOption
	on       *backend      // of the push
	decided  policy.Time   // when the module did on it
	mark     atomic.Uint64 // its stream's, while that is not written
	trailer  metadata.MD
	creds    credentials.PerRPCCredentials // the caller's, if it has some
	theirs   *metadata.MD                  // where the caller wants the trailer

	mu      sync.Mutex
	cancel  context.CancelFunc // of the push
	stopped uint32             // pushes up to this one are called off
}

// backend is a server's connection. It is closed when the server leaves and nothing is under way on it.
type backend struct {
	conn    *grpc.ClientConn
	begun   *begun
	uses    int
	retired bool
}

func (f *front) post(p posting) {
	p.at = f.engine.Clock.Now()
	f.mu.Lock()
	f.posted = append(f.posted, p)
	f.mu.Unlock()
	f.engine.Signal()
}

// ---- engine.Front ----

func (f *front) Gather(now policy.Time) {
	f.mu.Lock()
	got := f.posted
	f.posted, f.spare = f.spare[:0], got
	f.mu.Unlock()
	for i := range got {
		p := got[i]
		p.do(f, now, p.call, p)
		f.engine.RunSteps(now)
	}
	clear(got)
}

func (f *front) More() bool { return false }

// begins is a call that came.
func (f *front) begins(now policy.Time, c *call, p posting) {
	if _, leaving := f.engine.ShuttingDown(); leaving {
		c.gone = true
		c.orders <- order{final: turnedBack}
		return
	}
	t := f.engine.NewRequest(f.no)
	t.FrontData, c.ticket = c, t
	f.engine.Admit(now, p.at, t, c.offering, c.franchise, c.key, false, c.left)
}

// ended is how a push ended for its caller. What the loop has called off meanwhile has been told already.
func (f *front) ended(now policy.Time, c *call, p posting) {
	t := c.ticket
	current := t != nil && t.InFlight && c.seq == p.seq
	if p.last && t != nil && (!current || c.stream && p.outcome != policy.Succeeded && p.outcome != policy.Declined) {
		// Its caller has an answer that nothing can change any more.
		f.engine.ClientLeft(now, t)
	}
	if current {
		f.engine.AttemptEnded(p.at, t, p.outcome)
	}
	f.used(p.to)
	if p.last {
		f.lastOf(c)
	}
}

// opened is a stream that is open: it has no cut-off any more.
func (f *front) opened(_ policy.Time, c *call, p posting) {
	if t := c.ticket; t != nil && t.InFlight && c.seq == p.seq {
		f.engine.Timers.Stop(&t.AttemptTimer)
		f.engine.Module.Until(t.Handle, 0)
	}
}

// streams is the first message of a stream's server: its opening was honoured. The stream goes on.
func (f *front) streams(_ policy.Time, c *call, p posting) {
	if t := c.ticket; t != nil && t.InFlight && c.seq == p.seq {
		f.engine.AttemptEnded(p.at, t, policy.Succeeded)
	}
}

// leaves is a caller that waits no longer, or has its final answer, with no push of its own under way.
func (f *front) leaves(now policy.Time, c *call, _ posting) {
	if c.ticket != nil {
		f.engine.ClientLeft(now, c.ticket)
	}
	f.lastOf(c)
}

// lastOf takes back what a caller that has gone did not read.
func (f *front) lastOf(c *call) {
	c.gone, c.closed = true, true
	for {
		select {
		case o := <-c.orders:
			if o.to != nil {
				f.used(o.to)
			}
		default:
			f.free(c)
			return
		}
	}
}

// free gives a call back once neither side refers to it any more.
func (f *front) free(c *call) {
	if c.closed && c.ticket == nil {
		c.gone, c.closed, c.key, c.cancel, c.creds, c.theirs, c.trailer, c.stream = false, false, "", nil, nil, nil, nil, false
		f.calls.Put(c)
	}
}

// used gives a backend back.
func (f *front) used(b *backend) {
	if b.uses--; b.uses == 0 && b.retired {
		b.conn.Close()
	}
}

// Send has the caller send its call to the server.
func (f *front) Send(now policy.Time, t *engine.Request, to *engine.Endpoint) {
	c := t.FrontData.(*call)
	b, err := f.backend(to)
	if err != nil {
		f.engine.AttemptEnded(now, t, policy.NotSent)
		return
	}
	if c.gone {
		f.engine.AttemptEnded(now, t, policy.NotSent)
		return
	}
	c.seq++
	b.uses++
	c.orders <- order{to: b, seq: c.seq, at: now} // the round's: the process may have stood still within it
}

func (f *front) backend(to *engine.Endpoint) (*backend, error) {
	if b, is := to.FrontData[f.no].(*backend); is && !b.retired {
		return b, nil
	}
	// One address, no retries, no configuration from a resolver: nothing may be sent again behind the module's back.
	opts := append([]grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}, f.dial...)
	begun := &begun{clock: f.engine.Clock}
	opts = append(opts, grpc.WithContextDialer(begun.dialer), grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 2 * time.Second,
			Backoff: backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second}}))
	conn, err := grpc.NewClient("passthrough:///"+to.Addr, opts...)
	if err != nil {
		return nil, err
	}
	b := &backend{conn: conn, begun: begun}
	to.FrontData[f.no] = b
	return b, nil
}

// stop calls off the push that is out at its caller.
func (k *call) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped = k.seq; k.cancel != nil {
		k.cancel()
	}
}

func (f *front) TimedOut(now policy.Time, t *engine.Request) {
	c := t.FrontData.(*call)
	o := policy.TimedOut
	if c.attempts.Load() == 0 {
		o = policy.NotConnected // no stream was ever begun
	}
	c.stop()
	f.engine.AttemptEnded(now, t, o)
}

func (f *front) CancelAttempt(now policy.Time, t *engine.Request) {
	t.FrontData.(*call).stop()
	f.engine.AttemptEnded(now, t, policy.Cancelled)
}

// Succeed: the caller has the reply already.
func (f *front) Succeed(now policy.Time, t *engine.Request) {
	f.engine.Counters.Succeeded++
	f.engine.Answered(now, t, 0)
}

func (f *front) Reject(now policy.Time, t *engine.Request, retryIn policy.Time) {
	f.engine.Counters.Rejected++
	f.answer(now, t, order{final: turnedBack, retryIn: retryIn}, 2)
}

func (f *front) Fail(now policy.Time, t *engine.Request) {
	f.engine.Counters.Failed++
	f.answer(now, t, order{final: givenUp}, 3)
}

func (f *front) answer(now policy.Time, t *engine.Request, o order, kind int) {
	if c := t.FrontData.(*call); !c.gone {
		c.gone = true
		c.orders <- o
	}
	f.engine.Answered(now, t, kind)
}

func (f *front) DiscardResponse(*engine.Request) {}

// Released has the call's place used again, once its caller is through with it too.
func (f *front) Released(t *engine.Request) {
	c := t.FrontData.(*call)
	t.FrontData, c.ticket = nil, nil
	f.free(c)
}

func (f *front) CloseIdle(s *engine.Endpoint) {
	if b, is := s.FrontData[f.no].(*backend); is && !b.retired {
		// Calls and streams that are open go on; a connection that nobody uses must not come up again by itself.
		b.retired = true
		if b.uses == 0 {
			b.conn.Close()
		}
	}
}

func (f *front) Forget(*engine.Endpoint) {}

func (f *front) BeginShutdown(policy.Time) {}
func (f *front) Drained(policy.Time) bool  { return true }

// Close closes what is still open.
func (f *front) Close() {
	for _, s := range f.engine.Endpoints {
		if b, is := s.FrontData[f.no].(*backend); is {
			b.conn.Close()
		}
	}
}
