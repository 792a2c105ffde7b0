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

// deadlineTolerance is the time before a call's deadline from which its failure is reported as DEADLINE_EXCEEDED.
const deadlineTolerance = 50 * time.Millisecond

// errClosed is the error of calls on a Conn that is closed.
var errClosed = status.Error(codes.Canceled, "pepperlead: the connection is closed")

// Invoke makes a unary call. It can make several attempts, one after another, as far as the configuration of the
// method's class (offering) allows. The call's deadline is that of the context or of the class, whichever is earlier.
//
// Invoke returns a success, and an error that blames the call itself, such as INVALID_ARGUMENT, as the endpoint sent
// it. All other failures result in one of these errors:
//
//   - UNAVAILABLE: the call may safely be made again, because it has not run or its class allows it to run again. An
//     errdetails.RetryInfo among the details, if there is one, says after which time.
//   - UNKNOWN, or DEADLINE_EXCEEDED if the deadline is reached: the call may have run.
//   - CANCELED or DEADLINE_EXCEEDED: the context has ended. The call may have run.
//   - UNIMPLEMENTED: the configuration has no class for the method, and nothing was sent.
//   - CANCELED: the Conn is closed.
func (c *Conn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	call, deadline, err := c.newCall(ctx, method, args)
	if err != nil {
		return err
	}
	options := call.withOptions(opts)
	c.front.post(event{handle: (*front).callStarted, call: call})
	var lastErr error
	for {
		attempt, err := c.nextAttempt(ctx, call, deadline, lastErr)
		if err != nil {
			return err
		}
		if lastErr != nil {
			call.longMessage.Store(!fitsFlowWindow(args))
		}
		attemptCtx, cancel := call.startAttempt(ctx, attempt.sequence, deadline)
		err = attempt.backend.conn.Invoke(attemptCtx, method, args, reply, options...)
		cancel()
		call.forgetPending()
		ended := event{handle: (*front).attemptEnded, call: call, sequence: attempt.sequence, backend: attempt.backend}
		ended.outcome = call.finishAttempt(err)
		ended.last = isFinal(ended.outcome)
		if !ended.last && ctx.Err() != nil {
			ended.last = true
			err = status.FromContextError(ctx.Err()).Err()
			if ended.outcome != policy.NotConnected {
				ended.outcome = policy.Cancelled
			}
		}
		c.front.post(ended) // after this, if it is the last event, the loop owns the call
		if ended.last {
			return err
		}
		lastErr = err
	}
}

// isFinal reports whether the result of an attempt with this outcome is returned to the caller without a retry.
func isFinal(outcome policy.Outcome) bool {
	return outcome == policy.Succeeded || outcome == policy.Declined
}

// newCall takes a call from the pool, sets the fields that its admission needs, and returns it with its deadline.
func (c *Conn) newCall(ctx context.Context, method string, request any) (*clientCall, time.Time, error) {
	class, bound := c.methods.lookup(method)
	if !bound {
		return nil, time.Time{}, status.Errorf(codes.Unimplemented,
			"pepperlead: no offering in the configuration includes method %s", method)
	}
	if err := ctx.Err(); err != nil {
		return nil, time.Time{}, status.FromContextError(err).Err()
	}
	now := time.Now()
	deadline := now.Add(time.Duration(c.deadlines[class]))
	if callerDeadline, ok := ctx.Deadline(); ok && callerDeadline.Before(deadline) {
		deadline = callerDeadline
	}
	call := c.front.calls.Get().(*clientCall)
	call.class = class
	call.key = c.key(ctx, request)
	call.timeout = policy.Time(deadline.Sub(now))
	call.tenant = c.tenant(ctx)
	return call, deadline, nil
}

// nextAttempt waits for the loop's instruction to send an attempt. It skips stale instructions and reports their
// attempts as not sent. If it returns an error, that error is the final result of the call.
func (c *Conn) nextAttempt(
	ctx context.Context, call *clientCall, deadline time.Time, lastErr error,
) (instruction, error) {
	for {
		next, err := c.nextInstruction(ctx, call)
		if err != nil {
			return instruction{}, err
		}
		if next.backend == nil {
			return instruction{}, c.finish(call, next, deadline, lastErr)
		}
		if !c.isStale(next) {
			call.backend = next.backend
			call.decidedAt = next.decidedAt
			return next, nil
		}
		c.front.post(event{
			handle:   (*front).attemptEnded,
			call:     call,
			sequence: next.sequence,
			backend:  next.backend,
			outcome:  policy.NotSent,
		})
	}
}

// nextInstruction waits for the loop's next instruction. If it returns an error, it has notified the loop that the
// caller left.
func (c *Conn) nextInstruction(ctx context.Context, call *clientCall) (instruction, error) {
	var err error
	select {
	case next := <-call.instructions:
		return next, nil
	case <-ctx.Done():
		err = status.FromContextError(ctx.Err()).Err()
	case <-c.engine.Stopped():
		err = errClosed
	}
	c.front.post(event{handle: (*front).callerLeft, call: call, last: true})
	return instruction{}, err
}

// isStale reports whether an attempt was decided on so long ago that the process must have been suspended since. The
// endpoint list may have changed in between.
func (c *Conn) isStale(attempt instruction) bool {
	return c.engine.Clock.Now()-attempt.decidedAt > daemon.StallAfter
}

// finish returns the error that the caller gets after a final instruction. lastErr is the error of the last attempt, or
// nil if no attempt was sent.
func (c *Conn) finish(call *clientCall, final instruction, deadline time.Time, lastErr error) error {
	c.front.post(event{handle: (*front).callerLeft, call: call, last: true})
	cause := "no attempt was sent"
	if lastErr != nil {
		cause = status.Convert(lastErr).Message()
	}
	if final.answer == rejected {
		return rejectedError(cause, final.retryAfter)
	}
	code := codes.Unknown
	if !time.Now().Before(deadline.Add(-deadlineTolerance)) {
		code = codes.DeadlineExceeded
	}
	return status.Errorf(code, "pepperlead: failed, may have run: %s", cause)
}

// rejectedError returns the error of a rejected call, with RetryInfo if retryAfter is set.
func rejectedError(cause string, retryAfter policy.Time) error {
	st := status.Newf(codes.Unavailable, "pepperlead: rejected, may be retried: %s", cause)
	if retryAfter > 0 {
		retryInfo := &errdetails.RetryInfo{RetryDelay: durationpb.New(time.Duration(retryAfter))}
		if detailed, err := st.WithDetails(retryInfo); err == nil {
			st = detailed
		}
	}
	return st.Err()
}
