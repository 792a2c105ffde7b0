package rpc

import (
	"context"
	"io"
	"runtime"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"pepperlead/policy"
)

// NewStream opens a stream. Its server is chosen now; what could not be opened, as nothing has run, is opened elsewhere, what may
// have run never. Once open it has the context's deadline and no cut-off, and goes on where its server drains.
func (c *Conn) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	k, end, err := c.begin(ctx, method, nil)
	if err != nil {
		return nil, err
	}
	k.stream = true
	all := k.options(opts)
	c.front.post(posting{do: (*front).begins, call: k})
	var last error
	for {
		o, err := c.next(ctx, k)
		switch {
		case err != nil:
			return nil, err
		case o.to == nil:
			return nil, c.finish(k, o, end, last)
		}
		if c.stale(o) {
			c.front.post(posting{do: (*front).ended, call: k, seq: o.seq, to: o.to, outcome: policy.NotSent})
			continue
		}
		k.on, k.decided = o.to, o.at
		push, cancel := k.pushing(ctx, o.seq, time.Time{})
		in, err := o.to.conn.NewStream(push, desc, method, all...)
		if err != nil {
			cancel()
			o.to.begun.drop(k.mark.Load())
			how := k.ended(err)
			p := posting{do: (*front).ended, call: k, seq: o.seq, to: o.to, outcome: how}
			if ctx.Err() != nil {
				p.last, err = true, status.FromContextError(ctx.Err()).Err()
			}
			// With an error no stream is open, but gRPC may have begun one: then it is not begun again.
			p.last = p.last || how != policy.NotConnected && how != policy.Rejected
			c.front.post(p)
			if p.last {
				return nil, err
			}
			last = err
			continue
		}
		c.front.post(posting{do: (*front).opened, call: k, seq: o.seq})
		s := &stream{ClientStream: in, c: c, desc: desc}
		s.state = &streamState{front: c.front, call: k, seq: o.seq, to: o.to, cancel: cancel}
		// A caller that drops a stream without reading it to its end, or cancelling its context, must not hold the server's place.
		runtime.AddCleanup(s, (*streamState).dropped, s.state)
		context.AfterFunc(ctx, func() { s.state.end(policy.Cancelled) })
		return s, nil
	}
}

// stream tells the loop once how its opening ended: with the first message of the server, or the end.
type stream struct {
	grpc.ClientStream
	c     *Conn
	desc  *grpc.StreamDesc
	state *streamState
}

type streamState struct {
	front  *front
	call   *call
	seq    uint32
	to     *backend
	cancel context.CancelFunc
	mu     sync.Mutex
	told   bool // how it began
	over   bool
}

// began tells of the first message, after which nothing is held against the server.
func (t *streamState) began() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.told {
		t.told = true
		t.front.post(posting{do: (*front).streams, call: t.call, seq: t.seq, outcome: policy.Succeeded})
	}
}

// end tells of the end, and gives the connection back.
func (t *streamState) end(o policy.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over {
		return
	}
	t.over = true
	t.cancel()
	t.to.begun.drop(t.call.mark.Load())
	if t.told {
		o = policy.Succeeded
	}
	t.told = true
	t.front.post(posting{do: (*front).ended, call: t.call, seq: t.seq, to: t.to, outcome: o, last: true})
}

func (t *streamState) dropped() { t.end(policy.Cancelled) }

func (s *stream) RecvMsg(m any) error {
	err := s.ClientStream.RecvMsg(m)
	switch {
	case err == nil && s.desc.ServerStreams:
		s.state.began()
	case err == nil || err == io.EOF:
		s.state.end(policy.Succeeded)
	default:
		v := s.Trailer().Get(NotProcessed)
		s.state.end(outcome(1, status.Code(err), len(v) > 0 && v[0] == "1"))
	}
	return err
}

func (s *stream) Header() (metadata.MD, error) {
	md, err := s.ClientStream.Header()
	if err != nil {
		s.state.end(outcome(1, status.Code(err), false))
	}
	return md, err
}
