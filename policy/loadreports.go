package policy

const (
	// initialLatencyPerLoad is the answer time expected for each request held, in target latencies, before
	// any report.
	initialLatencyPerLoad = 0.15
	// reportFreshness is how long the load that a list shows counts.
	reportFreshness Time = 2 * Second
	// reportReductionInterval is the least time between two reductions of the limit by reported load.
	reportReductionInterval Time = Second / 4
	// learningRate is the weight of a list in latencyPerLoad; overload teaches little, but what was learned
	// wrongly must not last.
	learningRate         = 0.05
	overloadLearningRate = 0.01
)

// loadReports is the load that the endpoint list shows, where weights fall with load.
type loadReports struct {
	mean           float64 // requests held for each core, over the fleet
	localMean      float64 // the same over this instance's zone
	latencyPerLoad float64 // mean of answer time over target latency, for each request held
	receivedAt     Time    // latest list
}

func newLoadReports() loadReports { return loadReports{latencyPerLoad: initialLatencyPerLoad} }

// available reports whether the list shows any load.
func (l *loadReports) available() bool { return l.mean != 0 }

// fresh reports whether the list shows load and is recent.
func (l *loadReports) fresh(now Time) bool {
	return l.mean > 0 && now-l.receivedAt < reportFreshness
}

// expectedLateness is the lateness that the reported load lets expect.
func (l *loadReports) expectedLateness() float64 { return l.latencyPerLoad * (1 + l.mean) }

// weightedMean is a mean in the making.
type weightedMean struct{ weight, sum float64 }

func (m *weightedMean) add(value, weight float64) {
	m.weight += weight
	m.sum += weight * value
}

func (m *weightedMean) value() float64 { return m.sum / max(m.weight, 1) }

// updateReports takes the mean loads from the endpoints that are ready and not ejected.
func (b *Balancer) updateReports(now Time) {
	var fleet, local weightedMean
	for _, index := range b.table.byID {
		e := &b.table.endpoints[index]
		if e.Status != Ready || now < e.ejectedUntil {
			continue
		}
		fleet.add(e.reportedLoad, e.Weight)
		if b.table.isLocal(e) {
			local.add(e.reportedLoad, e.Weight)
		}
	}
	b.reports.mean = fleet.value()
	b.reports.localMean = local.value()
	b.limitByReports(now)
}

// limitByReports reduces the concurrency limit when the reported load, by what answers took, is answered
// late.
func (b *Balancer) limitByReports(now Time) {
	if !b.reports.available() {
		return
	}
	expected := b.reports.expectedLateness()
	rate := learningRate
	if expected >= 1 {
		rate = overloadLearningRate
		if now-b.concurrency.reducedAt > reportReductionInterval {
			b.concurrency.reduce(now, 1/expected, b.minConcurrency())
		}
	}
	lateness := max(b.concurrency.latenessMean, b.baseline)
	b.reports.latencyPerLoad += rate * (lateness/(1+b.reports.mean) - b.reports.latencyPerLoad)
}
