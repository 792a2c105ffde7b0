package rpc

import (
	"context"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"pepperlead/internal/daemon"
	"pepperlead/policy"
)

// deadlineTolerance is how long before a call's deadline its failure counts as one of time.
const deadlineTolerance = 50 * time.Millisecond

// errClosed ends calls on a connection that is closed.
var errClosed = status.Error(codes.Canceled, "pepperlead: the connection is closed")

// Invoke makes a unary call.
func (c *Conn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	k, deadline, err := c.newCall(ctx, method, args)
	if err != nil {
		return err
	}
	options := k.withOptions(opts)
	c.front.post(event{handle: (*front).callStarted, call: k})
	var lastErr error
	for {
		o, err := c.nextAttempt(ctx, k, deadline, lastErr)
		if err != nil {
			return err
		}
		attemptCtx, cancel := k.startAttempt(ctx, o.sequence, deadline)
		err = o.backend.conn.Invoke(attemptCtx, method, args, reply, options...)
		cancel()
		k.forgetPending()
		ended := event{handle: (*front).attemptEnded, call: k, sequence: o.sequence, backend: o.backend}
		ended.outcome = k.finishAttempt(err)
		ended.last = isFinal(ended.outcome)
		if !ended.last && ctx.Err() != nil {
			ended.last = true
			err = status.FromContextError(ctx.Err()).Err()
			if ended.outcome != policy.NotConnected {
				ended.outcome = policy.Cancelled
			}
		}
		c.front.post(ended) // from here on the call is the loop's if this was its last event
		if ended.last {
			return err
		}
		lastErr = err
	}
}

// isFinal reports whether an attempt's answer is the caller's.
func isFinal(o policy.Outcome) bool { return o == policy.Succeeded || o == policy.Declined }

// newCall takes a call from the pool and sets what the loop has to know of it, and its deadline.
func (c *Conn) newCall(ctx context.Context, method string, request any) (*call, time.Time, error) {
	class, bound := c.methods.lookup(method)
	if !bound {
		return nil, time.Time{}, status.Errorf(codes.Unimplemented, "pepperlead: %s is bound to no offering", method)
	}
	if err := ctx.Err(); err != nil {
		return nil, time.Time{}, status.FromContextError(err).Err()
	}
	now := time.Now()
	deadline := now.Add(time.Duration(c.deadlines[class]))
	if callerDeadline, ok := ctx.Deadline(); ok && callerDeadline.Before(deadline) {
		deadline = callerDeadline
	}
	k := c.front.calls.Get().(*call)
	k.class = class
	k.key = c.key(ctx, request)
	k.timeLeft = policy.Time(deadline.Sub(now))
	k.tenant = c.tenant(ctx)
	return k, deadline, nil
}

// nextAttempt waits until the loop has the call sent. The error is the caller's final answer.
func (c *Conn) nextAttempt(ctx context.Context, k *call, deadline time.Time, lastErr error) (order, error) {
	for {
		o, err := c.nextOrder(ctx, k)
		if err != nil {
			return order{}, err
		}
		if o.backend == nil {
			return order{}, c.finish(k, o, deadline, lastErr)
		}
		if !c.isStale(o) {
			k.backend = o.backend
			k.decidedAt = o.decidedAt
			return o, nil
		}
		c.front.post(event{
			handle:   (*front).attemptEnded,
			call:     k,
			sequence: o.sequence,
			backend:  o.backend,
			outcome:  policy.NotSent,
		})
	}
}

// nextOrder waits for the loop's next order. With an error the caller waits no longer, and so does the loop.
func (c *Conn) nextOrder(ctx context.Context, k *call) (order, error) {
	var err error
	select {
	case o := <-k.orders:
		return o, nil
	case <-ctx.Done():
		err = status.FromContextError(ctx.Err()).Err()
	case <-c.engine.Stopped():
		err = errClosed
	}
	c.front.post(event{handle: (*front).callerLeft, call: k, last: true})
	return order{}, err
}

// isStale reports whether an order was decided so long ago that the process must have stood still since: the list may
// have changed.
func (c *Conn) isStale(o order) bool { return c.engine.Clock.Now()-o.decidedAt > daemon.StallAfter }

// finish returns the caller's status for a final order; lastErr is that of the last attempt, nil without one.
func (c *Conn) finish(k *call, o order, deadline time.Time, lastErr error) error {
	c.front.post(event{handle: (*front).callerLeft, call: k, last: true})
	cause := "no server had room"
	if lastErr != nil {
		cause = status.Convert(lastErr).Message()
	}
	if o.answer == rejected {
		return rejectedError(cause, o.retryAfter)
	}
	code := codes.Unknown
	if !time.Now().Before(deadline.Add(-deadlineTolerance)) {
		code = codes.DeadlineExceeded
	}
	return status.Errorf(code, "pepperlead: given up, it may have run: %s", cause)
}

// rejectedError is the status of a rejected call, with RetryInfo where clients may be told when to retry.
func rejectedError(cause string, retryAfter policy.Time) error {
	st := status.Newf(codes.Unavailable, "pepperlead: turned back: %s", cause)
	if retryAfter > 0 {
		retryInfo := &errdetails.RetryInfo{RetryDelay: durationpb.New(time.Duration(retryAfter))}
		if detailed, err := st.WithDetails(retryInfo); err == nil {
			st = detailed
		}
	}
	return st.Err()
}
