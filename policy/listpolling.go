package policy

import "fmt"

const (
	// pollSpread is, for each instance, the time over which the instances' requests for the list are spread.
	pollSpread Time = 10 * Millisecond
	// minPollDelay is the least delay after a failure.
	minPollDelay Time = Second / 4
	// maxPollPart is the part of Settings.PollWithin, as a divisor, that the delay grows to.
	maxPollPart = 4
)

// listPolling decides when to ask for the endpoint list where it doesn't come by itself.
type listPolling struct {
	nextAt Time // 0: following the list
	delay  Time
}

// startPolling asks for the list at a random moment: in step, hundreds of instances would swamp its service.
func (b *Balancer) startPolling(now Time) {
	b.polling.delay = min(b.pollSpread(), b.maxPollDelay())
	b.polling.nextAt = now + Time(b.random.fraction()*float64(b.polling.delay)) + 1
	b.wake(now, b.polling.nextAt)
}

// ListFailed is called when asking for the list failed or following it broke.
func (b *Balancer) ListFailed(now Time) {
	p := &b.polling
	p.delay = min(max(2*p.delay, b.pollSpread(), minPollDelay), b.maxPollDelay())
	p.nextAt = now + Time(float64(p.delay)*(0.5+b.random.fraction()))
	b.front.Log(fmt.Sprintf("endpoint list: request failed, next in %dms", (p.nextAt-now)/Millisecond))
	b.wake(now, p.nextAt)
}

func (b *Balancer) pollSpread() Time { return Time(b.settings.Instances) * pollSpread }

func (b *Balancer) maxPollDelay() Time { return b.settings.PollWithin / maxPollPart }

// pollIfDue asks for the list when it is time.
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
