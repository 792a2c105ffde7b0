package engine

import (
	"pepperlead/internal/discovery"
	"pepperlead/policy"
)

// Lists give the start of an endpoint by the system clock, which may be set while this process runs. The engine's clock
// is not set with it. So a start is converted if the two clocks differ.

const (
	// minClockStep is how far the clocks are at least apart if the system clock has been set. Below that, it was only
	// slowed down or sped up.
	minClockStep = policy.Second
	// maxClockAhead is how far in the future a start may seem to be, by the clock of the machine that reported it.
	maxClockAhead = 5 * policy.Second
)

// withStartTime returns a listed entry with the start of its endpoint by the engine's clock. As long as an endpoint is
// listed with the same start, the result stays the same.
func (e *Engine) withStartTime(now policy.Time, entry discovery.Entry) discovery.Entry {
	endpoint := e.Endpoints[entry.ID]
	if entry.Started == 0 || endpoint != nil && endpoint.UID != entry.UID {
		return entry
	}
	if endpoint != nil && endpoint.listedStart == entry.Started {
		entry.Started = endpoint.Entry.Started
		return entry
	}
	entry.Started = startTime(now, entry.Started, e.clockStep())
	return entry
}

// startTime converts a start by the system clock to the engine's clock. step is by how much the system clock is ahead.
// It is not known whether the clock was set before or after the start, so the later one of the possible times counts:
// an endpoint that is taken for a younger one than it is gets fewer requests for a while, and no harm is done.
func startTime(now, listed, step policy.Time) policy.Time {
	stepped := step >= minClockStep || step <= -minClockStep
	latest := now + maxClockAhead
	adjusted := listed - step
	switch {
	case stepped && listed <= latest && adjusted <= latest:
		return max(listed, adjusted)
	case stepped && adjusted <= latest:
		return adjusted
	case listed <= latest:
		return listed
	default:
		return now // the clock was set ahead and back again
	}
}
