package clock

import (
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"pepperlead/policy"
)

// skewVariable is the environment variable that skews the lease clock of a process, for fault-injection tests. Its form
// is RATE,OFFSET, for example 0.98,3s. With a rate of 0 the clock stops.
const skewVariable = "GW_CLOCK"

// skew is the deviation of the lease clock of this process from the system's clock.
type skew struct {
	rate   float64 // 1: as fast as the system's clock
	offset policy.Time
}

var (
	leaseSkew    = parseSkew(os.Getenv(skewVariable))
	processStart = BootTime()
)

// parseSkew parses the value of the environment variable. If it is empty or malformed, there is no skew; if only the
// offset is malformed, the offset is 0.
func parseSkew(text string) skew {
	rate := 1.0
	var offsetText string
	if fields, _ := fmt.Sscanf(text, "%g,%s", &rate, &offsetText); fields < 2 {
		return skew{rate: 1}
	}
	offset, err := time.ParseDuration(offsetText)
	if err != nil {
		offset = 0
	}
	return skew{rate: rate, offset: policy.Time(offset)}
}

// LeaseTime returns the time on the clock by which leases expire. It equals BootTime, unless a fault-injection test has
// set a skew.
func LeaseTime() policy.Time {
	elapsed := float64(BootTime() - processStart)
	return policy.Time(elapsed*leaseSkew.rate) + processStart + leaseSkew.offset
}

// BootTime returns the time since boot, which is the same in all processes of a machine and can't be set. Unlike
// CLOCK_MONOTONIC, CLOCK_BOOTTIME includes the time during which the machine is suspended (see clock_gettime(2)), so
// that leases expire during a suspension as well. If the clock is unavailable, BootTime returns 0.
func BootTime() policy.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return policy.Time(now.Nano())
}
