package rpc

import (
	"context"
	"errors"
	"io"
	"runtime"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"pepperlead/policy"
)

// NewStream opens a stream. Its endpoint is chosen now; what could not be opened, as nothing has run, is opened
// elsewhere, what may have run never. Once open it has the context's deadline and no other, and goes on where its
// endpoint drains.
func (c *Conn) NewStream(
	ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption,
) (grpc.ClientStream, error) {
	k, deadline, err := c.newCall(ctx, method, nil)
	if err != nil {
		return nil, err
	}
	k.stream = true
	options := k.withOptions(opts)
	c.front.post(event{handle: (*front).callStarted, call: k})
	var lastErr error
	for {
		o, err := c.nextAttempt(ctx, k, deadline, lastErr)
		if err != nil {
			return nil, err
		}
		attemptCtx, cancel := k.startAttempt(ctx, o.sequence, time.Time{})
		grpcStream, err := o.backend.conn.NewStream(attemptCtx, desc, method, options...)
		if err == nil {
			state := &streamState{front: c.front, call: k, sequence: o.sequence, backend: o.backend, cancel: cancel}
			return openedStream(ctx, grpcStream, desc.ServerStreams, state), nil
		}
		cancel()
		k.forgetPending()
		ended := event{handle: (*front).attemptEnded, call: k, sequence: o.sequence, backend: o.backend}
		ended.outcome = k.finishAttempt(err)
		if ctx.Err() != nil {
			ended.last = true
			err = status.FromContextError(ctx.Err()).Err()
		}
		// With an error no stream is open, but gRPC may have begun one: then it is not begun again.
		ended.last = ended.last || ended.outcome.MayHaveRun()
		c.front.post(ended)
		if ended.last {
			return nil, err
		}
		lastErr = err
	}
}

// openedStream returns a stream that gRPC has opened, and notifies the loop.
func openedStream(ctx context.Context, in grpc.ClientStream, serverStreams bool, state *streamState) *stream {
	state.front.post(event{handle: (*front).streamOpened, call: state.call, sequence: state.sequence})
	s := &stream{ClientStream: in, serverStreams: serverStreams, state: state}
	// A caller that drops a stream without reading it to its end, or cancelling its context, must not take up the
	// endpoint's capacity.
	runtime.AddCleanup(s, (*streamState).cancelled, state)
	context.AfterFunc(ctx, func() { s.state.cancelled() })
	return s
}

// stream notifies the loop once how its opening ended: with the endpoint's first message, or the end.
type stream struct {
	grpc.ClientStream
	serverStreams bool
	state         *streamState
}

// streamState is what the loop has to be notified of; it outlives a stream that its caller drops.
type streamState struct {
	front    *front
	call     *call
	sequence uint32
	backend  *backend
	cancel   context.CancelFunc

	mu       sync.Mutex // guards the fields below
	answered bool       // the loop knows that the opening succeeded
	over     bool
}

// firstMessage notifies the loop of the endpoint's first message, after which nothing counts against the endpoint.
func (s *streamState) firstMessage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answered {
		return
	}
	s.answered = true
	s.front.post(event{
		handle:   (*front).streamAnswered,
		call:     s.call,
		sequence: s.sequence,
		outcome:  policy.Succeeded,
	})
}

// end notifies the loop of the stream's end, once, and gives the connection back.
func (s *streamState) end(outcome policy.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	s.over = true
	s.cancel()
	s.backend.pending.remove(s.call.pendingID.Load())
	if s.answered {
		outcome = policy.Succeeded
	}
	s.answered = true
	s.front.post(event{
		handle:   (*front).attemptEnded,
		call:     s.call,
		sequence: s.sequence,
		backend:  s.backend,
		outcome:  outcome,
		last:     true,
	})
}

func (s *streamState) cancelled() { s.end(policy.Cancelled) }

// RecvMsg receives a message.
func (s *stream) RecvMsg(m any) error {
	err := s.ClientStream.RecvMsg(m)
	switch {
	case err == nil && s.serverStreams:
		s.state.firstMessage()
	case err == nil || errors.Is(err, io.EOF):
		s.state.end(policy.Succeeded)
	default:
		s.state.end(outcome(1, status.Code(err), isNotProcessed(s.Trailer())))
	}
	return err
}

// Header returns the endpoint's header metadata.
func (s *stream) Header() (metadata.MD, error) {
	md, err := s.ClientStream.Header()
	if err != nil {
		s.state.end(outcome(1, status.Code(err), false))
	}
	return md, err
}
