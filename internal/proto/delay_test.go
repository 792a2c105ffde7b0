package proto

import "time"

// delayWatch measures how late the machine wakes a goroutine that does nothing but sleep: the delay that any timer of this process may
// have had meanwhile, whatever the code under test does.
type delayWatch struct {
	end  chan struct{}
	most chan time.Duration
}

func watchDelays() delayWatch {
	w := delayWatch{end: make(chan struct{}), most: make(chan time.Duration, 1)}
	go w.run()
	return w
}

func (w delayWatch) run() {
	const nap = time.Millisecond
	var most time.Duration
	for {
		began := time.Now()
		time.Sleep(nap)
		most = max(most, time.Since(began)-nap)
		select {
		case <-w.end:
			w.most <- most
			return
		default:
		}
	}
}

// stop ends the watch and gives the longest delay.
func (w delayWatch) stop() time.Duration {
	close(w.end)
	return <-w.most
}
