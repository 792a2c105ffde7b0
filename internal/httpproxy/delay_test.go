package httpproxy

import (
	"sync"
	"time"
)

// watchDelays measures how late the machine wakes a goroutine that only sleeps. Any timer of this process may have had the same delay
// in that time, whatever the code under test does. stop ends the measurement and returns the longest delay; it may be called again.
func watchDelays() (stop func() time.Duration) {
	end, longest := make(chan struct{}), make(chan time.Duration, 1)
	go measureDelays(end, longest)
	return sync.OnceValue(func() time.Duration {
		close(end)
		return <-longest
	})
}

// measureDelays sleeps repeatedly until end is closed, and sends the longest delay of a wake-up.
func measureDelays(end <-chan struct{}, longest chan<- time.Duration) {
	const interval = time.Millisecond
	var maxDelay time.Duration
	for {
		began := time.Now()
		time.Sleep(interval)
		maxDelay = max(maxDelay, time.Since(began)-interval)
		select {
		case <-end:
			longest <- maxDelay
			return
		default:
		}
	}
}
