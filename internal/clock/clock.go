// Package clock provides the two clocks of a process: Unix time that never goes back, for everything but leases, and
// the time since boot, for leases.
package clock

import (
	"time"

	"pepperlead/policy"
)

// Clock gives Unix time, as endpoint lists do, but is monotonic: it ignores changes of the system's time after its
// start.
type Clock struct {
	start time.Time
}

// New starts a clock at the system's time.
func New() Clock { return Clock{time.Now()} }

// Now returns the time in nanoseconds since 1970.
func (c Clock) Now() policy.Time {
	return policy.Time(c.start.UnixNano() + int64(time.Since(c.start)))
}
