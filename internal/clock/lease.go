package clock

import (
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"pepperlead/policy"
)

// Awake is a moment of the machine's clock that goes on while it sleeps, which CLOCK_MONOTONIC does not (clock_gettime(2)), and that nobody can
// set. Leases go by it: one must not outlive a night in a closed laptop.
func Awake() policy.Time { return policy.Time(float64(True()-begin)*rate) + begin + ahead }

// How the clock of leases goes in this process, for drills: GW_CLOCK=RATE,AHEAD, as 0.98,3s. A rate of 0 has it stand still.
var ahead, rate = func() (policy.Time, float64) {
	var by string
	faster := 1.0
	// "" and what cannot be read: as the machine's.
	if n, _ := fmt.Sscanf(os.Getenv("GW_CLOCK"), "%g,%s", &faster, &by); n < 2 {
		return 0, 1
	}
	d, _ := time.ParseDuration(by)
	return policy.Time(d), faster
}()

var begin = True()

// True is that clock as the machine has it, so that what several processes write down can be put in one order.
func True() policy.Time {
	var at unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &at) != nil {
		return 0
	}
	return policy.Time(at.Nano())
}
