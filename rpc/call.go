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

// maxPendingOrders is how many orders the loop can give without waiting for the caller.
const maxPendingOrders = 4

// call is one RPC, from its admission to its end. The loop owns request, sequence, abandoned and closed, the caller
// the rest; mu guards what both use.
type call struct {
	orders    chan order
	request   *engine.Request
	sequence  uint32 // of the latest attempt; never reset, so that late events match no later use of the call
	abandoned bool   // the caller has its answer, or has left: it reads no more orders
	closed    bool   // the caller has posted its last event

	class    policy.ClassID
	tenant   policy.TenantID
	key      string
	timeLeft policy.Time
	stream   bool

	streamCount atomic.Int32 // streams that gRPC began for the attempt
	options     []grpc.CallOption
	backend     *backend      // of the attempt
	decidedAt   policy.Time   // when the loop decided on the attempt
	pendingID   atomic.Uint64 // of the attempt's stream, while that is not written
	trailer     metadata.MD
	callerCreds credentials.PerRPCCredentials // nil: none
	callerMD    *metadata.MD                  // where the caller wants the trailer; nil: nowhere

	mu             sync.Mutex
	cancel         context.CancelFunc // of the attempt
	cancelledUntil uint32             // attempts up to this one are cancelled
}

// newCall makes a call with what each of its uses needs again.
func newCall() any {
	k := &call{orders: make(chan order, maxPendingOrders)}
	k.options = []grpc.CallOption{
		grpc.PerRPCCredentials(singleStream{k}),
		grpc.WaitForReady(false),
		grpc.Trailer(&k.trailer),
	}
	return k
}

// reset makes the call ready for its next use.
func (k *call) reset() {
	k.abandoned = false
	k.closed = false
	k.key = ""
	k.cancel = nil
	k.callerCreds = nil
	k.callerMD = nil
	k.trailer = nil
	k.stream = false
}

// withOptions joins the caller's options and those that watch an attempt. The caller's own credentials go on being
// asked, and its own trailer is filled from the call's.
func (k *call) withOptions(callerOptions []grpc.CallOption) []grpc.CallOption {
	k.callerCreds = nil
	k.callerMD = nil
	if len(callerOptions) == 0 {
		return k.options
	}
	for _, option := range callerOptions {
		switch option := option.(type) {
		case grpc.PerRPCCredsCallOption:
			k.callerCreds = option.Creds
		case grpc.TrailerCallOption:
			k.callerMD = option.TrailerAddr
		}
	}
	joined := make([]grpc.CallOption, 0, len(callerOptions)+len(k.options))
	joined = append(joined, callerOptions...)
	return append(joined, k.options...)
}

// startAttempt lets the loop cancel an attempt from now on, or cancels it at once if the loop has done so already. A
// zero deadline is none.
func (k *call) startAttempt(
	ctx context.Context, sequence uint32, deadline time.Time,
) (context.Context, context.CancelFunc) {
	var cancel context.CancelFunc
	if deadline.IsZero() {
		ctx, cancel = context.WithCancel(ctx)
	} else {
		ctx, cancel = context.WithDeadline(ctx, deadline)
	}
	k.streamCount.Store(0)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cancel = cancel
	if k.cancelledUntil == sequence {
		cancel()
	}
	return ctx, cancel
}

// cancelAttempt cancels the attempt that is in flight. It runs on the loop.
func (k *call) cancelAttempt() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cancelledUntil = k.sequence
	if k.cancel != nil {
		k.cancel()
	}
}

// finishAttempt returns how an attempt ended for its caller, and passes its trailer on.
func (k *call) finishAttempt(err error) policy.Outcome {
	notProcessed := isNotProcessed(k.trailer)
	if k.callerMD != nil {
		*k.callerMD = k.trailer
	}
	k.trailer = nil
	return outcome(int(k.streamCount.Load()), status.Code(err), notProcessed)
}

// forgetPending drops the attempt's stream from those not written yet.
func (k *call) forgetPending() { k.backend.pending.remove(k.pendingID.Load()) }

// singleStream lets gRPC begin one stream and no more for an attempt: gRPC asks for credentials before each.
type singleStream struct{ call *call }

var errSecondStream = status.Error(codes.Unavailable, "pepperlead: nothing is sent a second time here")

// GetRequestMetadata refuses a second stream, and a first one that comes so long after the decision that the list may
// have changed: the process stood still since, or connecting took long.
func (s singleStream) GetRequestMetadata(ctx context.Context, uri ...string) (map[string]string, error) {
	pending := s.call.backend.pending
	if pending.clock.Now()-s.call.decidedAt > daemon.StallAfter {
		return nil, errSecondStream
	}
	if s.call.streamCount.Add(1) > 1 {
		return nil, errSecondStream
	}
	s.call.pendingID.Store(pending.add(s.call.decidedAt))
	if s.call.callerCreds != nil {
		return s.call.callerCreds.GetRequestMetadata(ctx, uri...)
	}
	return nil, nil
}

// RequireTransportSecurity is as the caller's credentials have it.
func (s singleStream) RequireTransportSecurity() bool {
	return s.call.callerCreds != nil && s.call.callerCreds.RequireTransportSecurity()
}
