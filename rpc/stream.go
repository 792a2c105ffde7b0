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

// NewStream chooses an endpoint and opens a stream to it. If opening fails and the call cannot have run, NewStream can
// try another endpoint; if the call may have run, it returns gRPC's error. Its other errors are those of Invoke. The
// deadline of the class applies only to the opening. An open stream has no deadline other than that of the context, and
// it continues while its endpoint drains.
func (c *Conn) NewStream(
	ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption,
) (grpc.ClientStream, error) {
	call, deadline, err := c.newCall(ctx, method, nil)
	if err != nil {
		return nil, err
	}
	call.stream = true
	options := call.withOptions(opts)
	c.front.post(event{handle: (*front).callStarted, call: call})
	var lastErr error
	for {
		attempt, err := c.nextAttempt(ctx, call, deadline, lastErr)
		if err != nil {
			return nil, err
		}
		attemptCtx, cancel := call.startAttempt(ctx, attempt.sequence, time.Time{})
		grpcStream, err := attempt.backend.conn.NewStream(attemptCtx, desc, method, options...)
		if err == nil {
			state := &streamState{
				front:    c.front,
				call:     call,
				sequence: attempt.sequence,
				backend:  attempt.backend,
				cancel:   cancel,
			}
			return openedStream(ctx, grpcStream, desc.ServerStreams, state), nil
		}
		cancel()
		call.forgetPending()
		ended := event{handle: (*front).attemptEnded, call: call, sequence: attempt.sequence, backend: attempt.backend}
		ended.outcome = call.finishAttempt(err)
		if ctx.Err() != nil {
			ended.last = true
			err = status.FromContextError(ctx.Err()).Err()
		}
		// gRPC may have begun a stream although it returned an error. The call may then have run and is not sent again.
		ended.last = ended.last || ended.outcome.MayHaveRun()
		c.front.post(ended)
		if ended.last {
			return nil, err
		}
		lastErr = err
	}
}

// openedStream wraps a stream that gRPC has opened, and notifies the loop.
func openedStream(
	ctx context.Context, grpcStream grpc.ClientStream, serverStreams bool, state *streamState,
) *stream {
	state.front.post(event{handle: (*front).streamOpened, call: state.call, sequence: state.sequence})
	s := &stream{ClientStream: grpcStream, serverStreams: serverStreams, state: state}
	// A stream that its caller drops without reading it to its end or cancelling its context must not occupy the
	// endpoint's capacity.
	runtime.AddCleanup(s, (*streamState).cancelled, state)
	context.AfterFunc(ctx, func() { s.state.cancelled() })
	return s
}

// stream is the stream that the caller gets. It informs its streamState of the endpoint's first message and of the end
// of the stream.
type stream struct {
	grpc.ClientStream
	serverStreams bool
	state         *streamState
}

// streamState notifies the loop of a stream's first message, which makes its attempt a success, and of the stream's
// end. It still exists after the caller has dropped the stream, so that the end can be reported.
type streamState struct {
	front    *front
	call     *clientCall
	sequence uint32
	backend  *backend
	cancel   context.CancelFunc

	mu       sync.Mutex // guards the fields below
	answered bool       // the outcome of the attempt has been posted to the loop
	ended    bool
}

// firstMessage notifies the loop of the endpoint's first message. Later failures do not count against the endpoint.
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

// end ends the stream and notifies the loop, which then releases the backend's connection. Further calls have no
// effect.
func (s *streamState) end(outcome policy.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
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

// RecvMsg receives a message, and notifies the loop of the first one and of the end of the stream.
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

// Header returns the endpoint's header metadata. It notifies the loop if the stream has failed.
func (s *stream) Header() (metadata.MD, error) {
	md, err := s.ClientStream.Header()
	if err != nil {
		s.state.end(outcome(1, status.Code(err), false))
	}
	return md, err
}
