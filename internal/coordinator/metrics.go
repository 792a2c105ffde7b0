package coordinator

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"pepperlead/internal/admin"
)

// metrics are the counters of a coordinator.
type metrics struct {
	leasesIssued       atomic.Uint64
	quorumRounds       atomic.Uint64
	failedQuorumRounds atomic.Uint64
	revisionsSent      atomic.Uint64
	revisionBytesSent  atomic.Uint64
	unreadableMessages atomic.Uint64
}

// EachMetric calls report with each metric. counter is true for a counter and false for a gauge.
func (c *Coordinator) EachMetric(report func(name string, value float64, counter bool)) {
	c.mu.Lock()
	active := c.revisionLog.Active
	next := c.revisionLog.Next
	isLeader := 0.0
	if c.leaseIssuer != nil {
		isLeader = 1
	}
	c.mu.Unlock()
	report("keep_version", float64(active), false)
	report("keep_coming", float64(next), false)
	report("keep_leads", isLeader, false)
	report("keep_grants", float64(c.metrics.leasesIssued.Load()), true)
	report("keep_rounds", float64(c.metrics.quorumRounds.Load()), true)
	report("keep_rounds_failed", float64(c.metrics.failedQuorumRounds.Load()), true)
	report("keep_versions_sent", float64(c.metrics.revisionsSent.Load()), true)
	report("keep_versions_sent_bytes", float64(c.metrics.revisionBytesSent.Load()), true)
	report("keep_unreadable", float64(c.metrics.unreadableMessages.Load()), true)
	report("keep_strangers", float64(c.stream.rejected.Load()), true)
}

// metricsCollector exposes the metrics of a coordinator and its cluster to Prometheus.
type metricsCollector struct{ coordinator *Coordinator }

// Describe sends no descriptions, which makes this an unchecked collector: its metrics are known only once they are
// collected.
func (metricsCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current value of each metric.
func (m metricsCollector) Collect(values chan<- prometheus.Metric) {
	report := admin.MetricSender(values, "See docs/agreement.md.")
	m.coordinator.EachMetric(report)
	if cluster := m.coordinator.cluster.Load(); cluster != nil {
		cluster.EachMetric(report)
	}
}
