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
	// announceInterval is between looks at which instances are live, and tries to join them.
	announceInterval = time.Second
	// loopTimeout limits how long the engine's loop is waited for.
	loopTimeout = 250 * time.Millisecond
)

// clusterMember is an instance among its peers.
type clusterMember struct {
	*httpproxy.Proxy
	config  membership.Config
	cluster atomic.Pointer[membership.Cluster] // nil until it is joined
	lease   *leaseClient                       // nil: the rules are those of the file
	stop    chan struct{}
	running sync.WaitGroup
}

// joinCluster joins the peers in the background, as serving never waits for them. own are the rules of the
// configuration file if rules are agreed on, else nil.
func joinCluster(proxy *httpproxy.Proxy, config membership.Config, own *engine.RuleSet) *clusterMember {
	m := &clusterMember{Proxy: proxy, config: config, stop: make(chan struct{})}
	if own != nil {
		proxy.UseAgreedRules(own, rand.Uint32())
		m.lease = newLeaseClient(proxy, &m.cluster)
		m.config.OnMessage = m.lease.handleMessage
		m.running.Go(func() { m.lease.run(m.stop) })
	}
	m.running.Go(m.run)
	return m
}

// run joins the cluster and announces the instance until it is stopped. A join that fails, as while the address is
// still the previous process's, is retried.
func (m *clusterMember) run() {
	logged := ""
	for wait := time.Duration(0); ; wait = announceInterval {
		select {
		case <-m.stop:
			return
		case <-time.After(wait):
		}
		cluster, err := m.join()
		if err == nil {
			m.announce(cluster)
		} else if err.Error() != logged {
			logged = err.Error()
			m.Logger.WithError(err).Warn("cluster not joined, retrying every second")
		}
	}
}

// join returns the cluster, which it joins if it hasn't yet.
func (m *clusterMember) join() (*membership.Cluster, error) {
	if cluster := m.cluster.Load(); cluster != nil {
		return cluster, nil
	}
	cluster, err := membership.Open(m.config, m.Logger)
	if err != nil {
		return nil, err
	}
	m.cluster.Store(cluster)
	return cluster, nil
}

// announce shares budgets among the live instances, and tells them this one's rules and endpoint table.
func (m *clusterMember) announce(cluster *membership.Cluster) {
	live := cluster.AliveSidecars()
	var table uint64
	update := func() {
		m.SetInstances(live)
		table = m.TableDigest()
	}
	if m.RunOnLoopWithin(loopTimeout, update) {
		cluster.Announce(m.revision(), table)
	}
}

// revision is the latest revision of the rules that is leased, 0 without agreed rules.
func (m *clusterMember) revision() uint64 {
	if m.lease == nil {
		return 0
	}
	return m.lease.revision.Load()
}

// PeersReport lists the live instances, one a line.
func (m *clusterMember) PeersReport() string {
	if cluster := m.cluster.Load(); cluster != nil {
		return cluster.Report()
	}
	return ""
}

// EachMetric passes the metrics of the proxy, of the cluster and of the rules.
func (m *clusterMember) EachMetric(each func(name string, value float64, isCounter bool)) {
	m.Proxy.EachMetric(each)
	if cluster := m.cluster.Load(); cluster != nil {
		cluster.EachMetric(each)
	}
	if m.lease != nil {
		m.lease.eachMetric(each)
	}
}

func (m *clusterMember) close() {
	close(m.stop)
	m.running.Wait()
	if cluster := m.cluster.Load(); cluster != nil {
		cluster.Close()
	}
}
