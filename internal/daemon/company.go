package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"pepperlead/internal/peers"
	"pepperlead/internal/proto"
)

const (
	countEvery = time.Second // between looks at who is there
	countIn    = 250 * time.Millisecond
)

// among is a sidecar among peers.
type among struct {
	*proto.Sidecar
	post  peers.Post
	of    atomic.Pointer[peers.Company] // nil until it could be opened
	stop  chan struct{}
	ended sync.WaitGroup
}

// meet opens the company, and keeps what this sidecar tells of itself, and how many it shares budgets with, as it is. An address that is
// still the process's before this one is tried again: serving never waits for peers.
func meet(s *proto.Sidecar, post peers.Post) *among {
	a := &among{Sidecar: s, post: post, stop: make(chan struct{})}
	a.ended.Go(func() {
		told := ""
		for wait := time.Duration(0); ; wait = countEvery {
			select {
			case <-a.stop:
				return
			case <-time.After(wait):
			}
			c := a.of.Load()
			if c == nil {
				var err error
				if c, err = peers.Open(post, s.Logger); err != nil {
					if err.Error() != told {
						told = err.Error()
						s.Logger.WithError(err).Warn("peers: left out for now, tried again each second")
					}
					continue
				}
				a.of.Store(c)
			}
			table, there := uint64(0), c.Alive()
			if a.Within(countIn, func() { a.Among(there); table = a.Module.Table() }) {
				c.Say(0, table)
			}
		}
	})
	return a
}

// PeersReport is who is there, one a line.
func (a *among) PeersReport() string {
	if c := a.of.Load(); c != nil {
		return c.Report()
	}
	return ""
}

// Figures are the sidecar's, and those of its company.
func (a *among) Figures(each func(name string, value float64, rises bool)) {
	a.Sidecar.Figures(each)
	if c := a.of.Load(); c != nil {
		c.Figures(each)
	}
}

func (a *among) close() {
	close(a.stop)
	a.ended.Wait()
	if c := a.of.Load(); c != nil {
		c.Close()
	}
}
