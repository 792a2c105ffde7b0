package daemon

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"pepperlead/internal/engine"
	"pepperlead/internal/httpproxy"
	"pepperlead/internal/membership"
)

const (
	countEvery = time.Second // between looks at who is there
	countIn    = 250 * time.Millisecond
)

// among is a sidecar among peers.
type among struct {
	*httpproxy.Proxy
	post  membership.Config
	of    atomic.Pointer[membership.Cluster] // nil until it could be opened
	stop  chan struct{}
	ended sync.WaitGroup
	rules *leaseClient // nil: the file's own
}

// meet opens the company, and keeps what this sidecar tells of itself, and how many it shares budgets with, as it is. An address that is
// still the process's before this one is tried again: serving never waits for peers. own: what its file says, where rules are agreed on; else nil.
func meet(s *httpproxy.Proxy, post membership.Config, own *engine.RuleSet) *among {
	a := &among{Proxy: s, post: post, stop: make(chan struct{})}
	if own != nil {
		s.UseAgreedRules(own, rand.Uint32())
		a.rules = newLeaseClient(s, &a.of)
		a.post.OnMessage = a.rules.handleMessage
		post = a.post
		a.ended.Go(func() { a.rules.run(a.stop) })
	}
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
				if c, err = membership.Open(post, s.Logger); err != nil {
					if err.Error() != told {
						told = err.Error()
						s.Logger.WithError(err).Warn("peers: left out for now, tried again each second")
					}
					continue
				}
				a.of.Store(c)
			}
			table, there := uint64(0), c.Alive()
			if a.RunOnLoopWithin(countIn, func() { a.SetInstances(there); table = a.TableDigest() }) {
				c.Announce(a.version(), table)
			}
		}
	})
	return a
}

func (a *among) version() uint64 {
	if a.rules == nil {
		return 0
	}
	return a.rules.revision.Load()
}

// PeersReport is who is there, one a line.
func (a *among) PeersReport() string {
	if c := a.of.Load(); c != nil {
		return c.Report()
	}
	return ""
}

// EachMetric hands over the figures of the proxy, of the cluster and of the rules.
func (a *among) EachMetric(each func(name string, value float64, rises bool)) {
	a.Proxy.EachMetric(each)
	if c := a.of.Load(); c != nil {
		c.EachMetric(each)
	}
	if a.rules != nil {
		a.rules.eachMetric(each)
	}
}

func (a *among) close() {
	close(a.stop)
	a.ended.Wait()
	if c := a.of.Load(); c != nil {
		c.Close()
	}
}
