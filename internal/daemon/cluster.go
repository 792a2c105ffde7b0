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
	// announceInterval is the time between announcements to the peers, and between attempts to join them.
	announceInterval = time.Second
	// loopTimeout limits the wait for the engine's loop to run a function.
	loopTimeout = 250 * time.Millisecond
)

// clusterMember is an instance as a member of its cluster.
type clusterMember struct {
	*httpproxy.Proxy
	config  membership.Config
	cluster atomic.Pointer[membership.Cluster] // nil until the cluster is joined
	lease   *leaseClient                       // nil: the rules are those of the configuration file
	stop    chan struct{}
	running sync.WaitGroup
}

// joinCluster joins the cluster in the background, because serving must not wait for it. fileRules are the rules of the
// configuration file if the cluster agrees on rules, else nil.
func joinCluster(proxy *httpproxy.Proxy, config membership.Config, fileRules *engine.RuleSet) *clusterMember {
	m := &clusterMember{Proxy: proxy, config: config, stop: make(chan struct{})}
	if fileRules != nil {
		proxy.UseAgreedRules(fileRules, rand.Uint32())
		m.lease = newLeaseClient(proxy, &m.cluster)
		m.config.OnMessage = m.lease.handleMessage
		m.running.Go(func() { m.lease.run(m.stop) })
	}
	m.running.Go(m.run)
	return m
}

// run joins the cluster and then announces the instance at each announceInterval until it is stopped. A failed join is
// retried: it fails, for example, while the previous process still has the address.
func (m *clusterMember) run() {
	lastError := "" // the last logged error; the same error is not logged again
	for wait := time.Duration(0); ; wait = announceInterval {
		select {
		case <-m.stop:
			return
		case <-time.After(wait):
		}
		cluster, err := m.join()
		if err == nil {
			m.announce(cluster)
		} else if err.Error() != lastError {
			lastError = err.Error()
			m.Logger.WithError(err).Warn("cluster not joined, retrying every second")
		}
	}
}

// join returns the cluster, which it joins first if need be.
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

// announce tells the proxy how many instances are alive, because budgets are divided among them. It also announces this
// instance's revision and slot table digest to the cluster.
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

// revision returns the latest leased revision, or 0 if the cluster doesn't agree on rules.
func (m *clusterMember) revision() uint64 {
	if m.lease == nil {
		return 0
	}
	return m.lease.revision.Load()
}

// PeersReport returns a report with a line for each live instance, or "" until the cluster is joined.
func (m *clusterMember) PeersReport() string {
	if cluster := m.cluster.Load(); cluster != nil {
		return cluster.Report()
	}
	return ""
}

// EachMetric calls report with each metric of the proxy, the cluster and the leases.
func (m *clusterMember) EachMetric(report func(name string, value float64, isCounter bool)) {
	m.Proxy.EachMetric(report)
	if cluster := m.cluster.Load(); cluster != nil {
		cluster.EachMetric(report)
	}
	if m.lease != nil {
		m.lease.eachMetric(report)
	}
}

// close stops the announcements and lease requests and closes the cluster.
func (m *clusterMember) close() {
	close(m.stop)
	m.running.Wait()
	if cluster := m.cluster.Load(); cluster != nil {
		cluster.Close()
	}
}
