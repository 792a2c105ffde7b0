package policy

import "fmt"

// rejectionLogInterval is the time without a rejection after which the overload counts as over.
const rejectionLogInterval Time = Second

// rejectionState keeps the log to one line at the start and one at the end of an overload.
type rejectionState struct {
	active bool
	lastAt Time
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
	if b.rejections.active && now-b.rejections.lastAt > rejectionLogInterval {
		b.rejections.active = false
		b.front.Log("overload over: no request rejected for a second")
	}
}
