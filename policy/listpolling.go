package policy

import "fmt"

const (
	// pollSpreadPerInstance is the time, for each instance of the fleet, over which the instances spread
	// their first requests for the endpoint list.
	pollSpreadPerInstance Time = 10 * Millisecond
	// minPollDelay is the minimum backoff after a failure, before jitter.
	minPollDelay Time = Second / 4
	// maxPollDelayDivisor divides Settings.PollWithin to give the maximum backoff, before jitter.
	maxPollDelayDivisor = 4
)

// listPolling schedules requests for the endpoint list where it is not pushed.
type listPolling struct {
	nextAt Time // when to request the list next; 0: no request is due, the list is being followed
	delay  Time // latest backoff, before jitter
}

// startPolling schedules the first request for the list at a random time, so that hundreds of instances that
// start together do not overload the service that provides it.
func (b *Balancer) startPolling(now Time) {
	b.polling.delay = min(b.pollSpread(), b.maxPollDelay())
	b.polling.nextAt = now + Time(b.random.fraction()*float64(b.polling.delay)) + 1
	b.wake(now, b.polling.nextAt)
}

// ListFailed reports that a request for the endpoint list failed or that following the list was interrupted.
func (b *Balancer) ListFailed(now Time) {
	p := &b.polling
	p.delay = min(max(2*p.delay, b.pollSpread(), minPollDelay), b.maxPollDelay())
	p.nextAt = now + Time(float64(p.delay)*(0.5+b.random.fraction()))
	b.front.Log(fmt.Sprintf("endpoint list: request failed, next in %dms", (p.nextAt-now)/Millisecond))
	b.wake(now, p.nextAt)
}

func (b *Balancer) pollSpread() Time { return Time(b.settings.Instances) * pollSpreadPerInstance }

func (b *Balancer) maxPollDelay() Time { return b.settings.PollWithin / maxPollDelayDivisor }

// pollIfDue requests the list if a request is due, and otherwise schedules a wake-up for the next request, if
// there is one.
func (b *Balancer) pollIfDue(now Time) {
	switch {
	case b.polling.nextAt <= 0:
	case now >= b.polling.nextAt:
		b.polling.nextAt = 0
		b.front.FollowList(true)
	default:
		b.wake(now, b.polling.nextAt)
	}
}
