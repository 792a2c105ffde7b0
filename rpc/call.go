package rpc

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"pepperlead/internal/daemon"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// maxPendingInstructions is how many instructions the loop can send to a call without blocking.
const maxPendingInstructions = 4

// clientCall is one RPC, from its admission to its end. It is then reused for another one. The loop owns request,
// sequence, abandoned and closed; the caller owns the other fields. mu guards the fields below it, which both use.
type clientCall struct {
	instructions chan instruction
	request      *engine.Request
	sequence     uint32 // number of the latest attempt; never reset, so that no late event of an earlier RPC matches
	abandoned    bool   // the caller has its answer or has left, and reads no more instructions
	closed       bool   // the caller has posted its last event

	arrivalTimer    engine.Timer // ends a retry that would arrive too late; used by the loop, like limitedSequence
	limitedSequence uint32       // latest attempt that arrivalTimer is for

	class   policy.ClassID
	tenant  policy.TenantID
	key     string
	timeout policy.Time // from the start of the call to its deadline
	stream  bool        // opened by NewStream

	longMessage   atomic.Bool  // the message of a retried call does not fit into initialFlowWindow
	streamCount   atomic.Int32 // streams that gRPC has tried to begin for the current attempt
	options       []grpc.CallOption
	backend       *backend                      // connection used by the current attempt
	decidedAt     policy.Time                   // when the loop decided on the current attempt
	pendingID     atomic.Uint64                 // id of the current attempt's stream in backend.pending
	trailer       metadata.MD                   // trailer received by the current attempt
	callerCreds   credentials.PerRPCCredentials // credentials among the caller's options; nil if there are none
	callerTrailer *metadata.MD                  // where the caller wants the trailer stored; nil if it does not

	mu                sync.Mutex
	cancel            context.CancelFunc // cancels the current attempt
	cancelledSequence uint32             // latest attempt that the loop has cancelled
}

// newClientCall creates a call with the channel and the options that it keeps when it is reused.
func newClientCall() any {
	call := &clientCall{instructions: make(chan instruction, maxPendingInstructions)}
	call.options = []grpc.CallOption{
		grpc.PerRPCCredentials(singleStream{call}),
		grpc.WaitForReady(false),
		grpc.Trailer(&call.trailer),
	}
	return call
}

// reset prepares the call for its next RPC.
func (c *clientCall) reset() {
	c.abandoned = false
	c.closed = false
	c.key = ""
	c.longMessage.Store(false)
	c.cancel = nil
	c.callerCreds = nil
	c.callerTrailer = nil
	c.trailer = nil
	c.stream = false
}

// withOptions returns the caller's options followed by the call's own, which override the caller's credentials and
// trailer. singleStream still queries the caller's credentials, and finishAttempt fills the caller's trailer.
func (c *clientCall) withOptions(callerOptions []grpc.CallOption) []grpc.CallOption {
	c.callerCreds = nil
	c.callerTrailer = nil
	if len(callerOptions) == 0 {
		return c.options
	}
	for _, option := range callerOptions {
		switch option := option.(type) {
		case grpc.PerRPCCredsCallOption:
			c.callerCreds = option.Creds
		case grpc.TrailerCallOption:
			c.callerTrailer = option.TrailerAddr
		}
	}
	joined := make([]grpc.CallOption, 0, len(callerOptions)+len(c.options))
	joined = append(joined, callerOptions...)
	return append(joined, c.options...)
}

// startAttempt returns the context of an attempt and allows the loop to cancel it. If the loop has already cancelled
// the attempt, the context is cancelled at once. If deadline is the zero time, the context gets no deadline.
func (c *clientCall) startAttempt(
	ctx context.Context, sequence uint32, deadline time.Time,
) (context.Context, context.CancelFunc) {
	var cancel context.CancelFunc
	if deadline.IsZero() {
		ctx, cancel = context.WithCancel(ctx)
	} else {
		ctx, cancel = context.WithDeadline(ctx, deadline)
	}
	c.streamCount.Store(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	if c.cancelledSequence == sequence {
		cancel()
	}
	return ctx, cancel
}

// cancelAttempt cancels the attempt that is in flight. It runs on the loop.
func (c *clientCall) cancelAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelledSequence = c.sequence
	if c.cancel != nil {
		c.cancel()
	}
}

// finishAttempt returns the outcome of an attempt that ended with err, and stores its trailer for the caller.
func (c *clientCall) finishAttempt(err error) policy.Outcome {
	notProcessed := isNotProcessed(c.trailer)
	if c.callerTrailer != nil {
		*c.callerTrailer = c.trailer
	}
	c.trailer = nil
	return outcome(int(c.streamCount.Load()), status.Code(err), notProcessed)
}

// forgetPending removes the attempt's stream from the streams that are not written yet.
func (c *clientCall) forgetPending() { c.backend.pending.remove(c.pendingID.Load()) }

// singleStream makes gRPC begin at most one stream for an attempt, as only the policy decides whether a call is sent
// again. It acts as per-RPC credentials, which gRPC requests before it begins a stream, and refuses all streams but
// the first.
type singleStream struct{ call *clientCall }

var errStreamRefused = status.Error(codes.Unavailable,
	"pepperlead: stream refused: it is the second one of its attempt, or too late after the choice of its endpoint")

// GetRequestMetadata refuses a second stream. It also refuses a stream that begins more than daemon.StallAfter after
// the decision on its attempt: the process was suspended or connecting took long, and the endpoint list may have
// changed since.
func (s singleStream) GetRequestMetadata(ctx context.Context, uri ...string) (map[string]string, error) {
	pending := s.call.backend.pending
	if pending.clock.Now()-s.call.decidedAt > daemon.StallAfter {
		return nil, errStreamRefused
	}
	if s.call.streamCount.Add(1) > 1 {
		return nil, errStreamRefused
	}
	s.call.pendingID.Store(pending.add(s.call.decidedAt))
	if s.call.callerCreds != nil {
		return s.call.callerCreds.GetRequestMetadata(ctx, uri...)
	}
	return nil, nil
}

// RequireTransportSecurity returns what the caller's credentials require.
func (s singleStream) RequireTransportSecurity() bool {
	return s.call.callerCreds != nil && s.call.callerCreds.RequireTransportSecurity()
}
