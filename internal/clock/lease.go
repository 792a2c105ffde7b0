package clock

import (
	"golang.org/x/sys/unix"

	"pepperlead/policy"
)

// Awake is a moment of the machine's clock that goes on while it sleeps, which CLOCK_MONOTONIC does not (clock_gettime(2)), and that nobody can
// set. Leases go by it: one must not outlive a night in a closed laptop.
func Awake() policy.Time {
	var at unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &at) != nil {
		return 0
	}
	return policy.Time(at.Nano())
}
