package policy

const (
	// initialLatencyPerLoad is loadReports.latencyPerLoad before the first list.
	initialLatencyPerLoad = 0.15
	// reportFreshness is the time after which the load that a list shows is stale.
	reportFreshness Time = 2 * Second
	// reportReductionInterval is the minimum time from any reduction of the concurrency limit to a reduction
	// because of the reported load.
	reportReductionInterval Time = Second / 4
	// learningRate is the weight of the latest list in latencyPerLoad.
	learningRate = 0.05
	// overloadLearningRate replaces learningRate while the expected lateness is at least 1. Latencies under
	// overload say little about latencyPerLoad, but a wrong value must not last.
	overloadLearningRate = 0.01
)

// loadReports holds the load that the endpoint list shows. The means are 0 if the list shows no load, which
// is always so if listed weights do not fall with load.
type loadReports struct {
	mean           float64 // mean number of requests that an endpoint holds for each core, over the fleet
	localMean      float64 // the same mean over only the endpoints in this instance's zone
	latencyPerLoad float64 // learned answer time, in target latencies, for each request held for each core
	receivedAt     Time    // when the latest list came
}

func newLoadReports() loadReports { return loadReports{latencyPerLoad: initialLatencyPerLoad} }

// available reports whether the list shows any load.
func (l *loadReports) available() bool { return l.mean != 0 }

// fresh reports whether the list shows load and is not stale.
func (l *loadReports) fresh(now Time) bool {
	return l.mean > 0 && now-l.receivedAt < reportFreshness
}

// expectedLateness returns the mean lateness to expect at the reported load.
func (l *loadReports) expectedLateness() float64 { return l.latencyPerLoad * (1 + l.mean) }

// weightedMean accumulates a weighted mean.
type weightedMean struct{ weight, sum float64 }

func (m *weightedMean) add(value, weight float64) {
	m.weight += weight
	m.sum += weight * value
}

func (m *weightedMean) value() float64 { return m.sum / max(m.weight, 1) }

// updateReports recomputes the mean loads after a new list. It counts only endpoints that are ready and not
// ejected.
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

// limitByReports reduces the concurrency limit if answers are expected to be late at the reported load, and
// updates latencyPerLoad.
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
