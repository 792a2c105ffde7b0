package policy

import "fmt"

// overloadEndDelay is the time without a rejection after which an overload has ended.
const overloadEndDelay Time = Second

// rejectionState limits the log to one line at the start and one at the end of an overload.
type rejectionState struct {
	active bool // whether an overload was logged and has not ended
	lastAt Time // time of the latest rejection
}

// noteRejection logs the first rejection of an overload.
func (b *Balancer) noteRejection(now Time) {
	if !b.rejections.active {
		b.front.Log(fmt.Sprintf("overloaded: rejecting requests, %d attempts in flight, %d requests queued",
			b.concurrency.inFlight, b.queue.len()))
	}
	b.rejections.active = true
	b.rejections.lastAt = now
}

// noteRecovery logs the end of an overload.
func (b *Balancer) noteRecovery(now Time) {
	if b.rejections.active && now-b.rejections.lastAt > overloadEndDelay {
		b.rejections.active = false
		b.front.Log("overload over: no request rejected for a second")
	}
}
