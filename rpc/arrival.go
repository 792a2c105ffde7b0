package rpc

import (
	"google.golang.org/protobuf/proto"

	"pepperlead/policy"
)

const (
	// initialFlowWindow is how many bytes of a stream an endpoint accepts before it reads any: RFC 9113, 6.5.2.
	initialFlowWindow = 65535
	// arrivalCheckInterval is the time between two checks whether a retry may still arrive.
	arrivalCheckInterval = 50 * policy.Millisecond
)

// limitArrival ends a retry with a long message at the end of the deduplication window in which it must arrive. gRPC
// does not tell when the endpoint has received a message. One within initialFlowWindow is sent without waiting for the
// endpoint. Of a longer one, cancelling takes back what gRPC has not sent.
func (f *front) limitArrival(now policy.Time, call *clientCall) {
	if call.request.Attempts == 1 {
		return
	}
	if call.arrivalTimer.Run == nil {
		call.arrivalTimer.Run = func(now policy.Time) { f.checkArrival(now, call) }
	}
	call.limitedSequence = call.sequence
	f.engine.Timers.Set(&call.arrivalTimer, now+arrivalCheckInterval)
}

// checkArrival ends the limited attempt if its time is up, and otherwise checks again later: new settings may shorten
// the window.
func (f *front) checkArrival(now policy.Time, call *clientCall) {
	if !call.isCurrent(call.limitedSequence) {
		return
	}
	by, limited := f.engine.ArriveBy(call.request)
	if limited && call.longMessage.Load() && f.engine.Clock.Now() >= by {
		call.cancelAttempt()
		f.engine.AttemptEnded(now, call.request, policy.TimedOut)
		return
	}
	f.engine.Timers.Set(&call.arrivalTimer, now+arrivalCheckInterval)
}

// fitsFlowWindow reports whether a message is sent without waiting for the endpoint. The size of a message that is not
// a protocol buffer is unknown.
func fitsFlowWindow(message any) bool {
	m, ok := message.(proto.Message)
	return ok && proto.Size(m) < initialFlowWindow
}
