// Package policy is the decision module: it chooses the endpoint of each request, limits the attempts in
// flight, and retries, queues or rejects requests. It opens no connections and reads no clock. Callers report
// each event to a Balancer together with its time, and the Balancer passes its decisions to its Front before
// the call returns.
//
// docs/design.md gives the reasons for the decisions.
package policy

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// answerMarginTicks is how long before its deadline a request must be answered, in ticks (Settings.Tick).
	answerMarginTicks Time = 3
	// initialBaseline is the baseline latency before the first answer, in target latencies.
	initialBaseline = 0.25
	// initialLatencyDivisor divides the target latency of a class to give its mean latency before the first
	// answer.
	initialLatencyDivisor = 4
)

// Balancer is the decision module of one instance. It is not safe for concurrent use.
type Balancer struct {
	front    Front
	settings *Settings
	random   randomSource

	requests requestPool
	queue    requestQueue
	table    slotTable

	classes    []classStats // by class
	tenants    []rateMeter  // arrival rates of requests, by tenant
	arrivals   rateMeter    // arrival rate of all requests, with or without a tenant
	successes  rateMeter    // rate of successful attempts to warm endpoints
	recentKeys recentKeys

	concurrency concurrencyLimit
	baseline    float64 // baseline latency: answer time without load, in target latencies
	reports     loadReports
	zones       zonePreference
	retries     retryBudget
	warmup      warmup
	ejected     int // endpoints found ejected at the latest maintenance, plus ejections since
	rejections  rejectionState

	polling    listPolling
	wakeAt     Time // when the front is to call Woken next; 0: no call is requested
	maintainAt Time // next maintenance
	shutdownAt Time // upper bound of all deadlines; the constant never until Shutdown sets it
}

// New returns the Balancer of an instance that starts at now. Instances may have similar seeds, because New
// hashes the seed.
func New(front Front, settings *Settings, seed uint64, now Time) *Balancer {
	b := &Balancer{
		front:       front,
		settings:    settings,
		random:      newRandomSource(xxhash.Sum64String(fmt.Sprint(seed))),
		table:       newSlotTable(settings),
		classes:     make([]classStats, len(settings.Classes)),
		tenants:     make([]rateMeter, len(settings.Tenants)),
		concurrency: newConcurrencyLimit(settings),
		baseline:    initialBaseline,
		reports:     newLoadReports(),
		zones:       newZonePreference(settings),
		retries:     newRetryBudget(),
		warmup:      warmup{settings: settings},
		shutdownAt:  never,
	}
	for i := range settings.Classes {
		b.classes[i].meanLatency = initialLatency(&settings.Classes[i])
	}
	if settings.PollList {
		b.startPolling(now)
	}
	return b
}

// classStats holds statistics of the requests of one class.
type classStats struct {
	meanLatency   float64 // moving average of the answer times of successful attempts, in ns
	firstAttempts firstAttemptTimes
}

// initialLatency returns the mean latency of a class, in ns, before its first answer.
func initialLatency(class *Class) float64 { return float64(class.Target) / initialLatencyDivisor }

// class returns the settings of a request's class.
func (b *Balancer) class(r *request) *Class { return &b.settings.Classes[r.class] }

// meanLatency returns the mean latency of a request's class, in ns.
func (b *Balancer) meanLatency(r *request) float64 { return b.classes[r.class].meanLatency }

// answerBy returns the time by which the request must be answered.
func (b *Balancer) answerBy(r *request) Time { return r.deadline - b.settings.answerMargin() }

// AddClass sets up the statistics of the class that was put into the settings under the given id, by copying
// those of the class whose id is template. If template is equal to id, the statistics of the class stay as
// they are, except for the mean latency, which is reset to its initial value.
func (b *Balancer) AddClass(id, template ClassID) {
	for len(b.classes) < len(b.settings.Classes) {
		b.classes = append(b.classes, classStats{})
	}
	b.classes[id] = b.classes[template]
	if template == id {
		b.classes[id].meanLatency = initialLatency(&b.settings.Classes[id])
	}
}

// AddTenants adds arrival rates for the tenants that are new in the settings.
func (b *Balancer) AddTenants() {
	for len(b.tenants) < len(b.settings.Tenants) {
		b.tenants = append(b.tenants, rateMeter{})
	}
}
