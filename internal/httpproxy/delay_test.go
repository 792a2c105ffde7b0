package httpproxy

import (
	"sync"
	"time"
)

// watchDelays measures how late the machine wakes a goroutine that only sleeps: the delay that any timer of this process may have had
// meanwhile, whatever the code under test does. stop ends it and returns the longest delay; it may be called again.
func watchDelays() (stop func() time.Duration) {
	end, longest := make(chan struct{}), make(chan time.Duration, 1)
	go measureDelays(end, longest)
	return sync.OnceValue(func() time.Duration {
		close(end)
		return <-longest
	})
}

func measureDelays(end <-chan struct{}, longest chan<- time.Duration) {
	const nap = time.Millisecond
	var most time.Duration
	for {
		began := time.Now()
		time.Sleep(nap)
		most = max(most, time.Since(began)-nap)
		select {
		case <-end:
			longest <- most
			return
		default:
		}
	}
}
