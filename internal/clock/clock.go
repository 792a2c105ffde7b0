// Package clock provides the two clocks of a process: monotonic Unix time, for everything except leases, and the time
// since boot, for leases.
package clock

import (
	"time"

	"pepperlead/policy"
)

// Clock is a monotonic clock of Unix time, so that its times can be compared with those in endpoint lists. It ignores
// changes of the system time after its start.
type Clock struct {
	start time.Time
}

// New returns a clock that starts at the system time.
func New() Clock { return Clock{time.Now()} }

// Step returns by how much the system clock has been set ahead since the start of the clock, in nanoseconds. It is
// negative if it has been set back.
func (c Clock) Step() policy.Time { return policy.Time(time.Now().UnixNano()) - c.Now() }

// Now returns the time in nanoseconds since the Unix epoch.
func (c Clock) Now() policy.Time {
	return policy.Time(c.start.UnixNano() + int64(time.Since(c.start)))
}
