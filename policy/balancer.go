// Package policy is the decision module: it chooses the endpoint of each request, limits what is in
// flight, and retries, queues or rejects. It opens no connections and reads no clock: events are
// reported to a Balancer with their times, and it answers through its Front within the call.
//
// docs/design.md gives the reasons for the decisions.
package policy

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// answerMarginTicks is how many ticks before its deadline a request is answered at the latest.
	answerMarginTicks Time = 3
	// initialBaseline is the unloaded answer time, in target latencies, before any answer.
	initialBaseline = 0.25
	// initialLatencyShare is the part of the target latency that an answer is taken to need before any
	// answer.
	initialLatencyShare = 4
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
	tenants    []rateMeter  // arrivals by tenant
	arrivals   rateMeter
	successes  rateMeter // successful attempts to warm endpoints
	recentKeys recentKeys

	concurrency concurrencyLimit
	baseline    float64 // unloaded answer time over target latency
	reports     loadReports
	zones       zonePreference
	retries     retryBudget
	warmup      warmup
	ejected     int // endpoints ejected, as of the latest maintenance
	rejections  rejectionState

	polling    listPolling
	wakeAt     Time // earliest call asked for; 0: none
	maintainAt Time // next maintenance
	shutdownAt Time // no deadline is later
}

// New starts an instance. Similar seeds are fine: they are mixed first.
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

// classStats is what was learned of the requests of one class.
type classStats struct {
	meanLatency   float64 // ns
	firstAttempts firstAttemptTimes
}

// initialLatency is the mean answer time of a class, in ns, before any answer.
func initialLatency(class *Class) float64 { return float64(class.Target) / initialLatencyShare }

// class is the class of a request.
func (b *Balancer) class(r *request) *Class { return &b.settings.Classes[r.class] }

// meanLatency is the mean answer time of a request's class, in ns.
func (b *Balancer) meanLatency(r *request) float64 { return b.classes[r.class].meanLatency }

// answerBy is when the request must be answered at the latest.
func (b *Balancer) answerBy(r *request) Time { return r.deadline - b.settings.answerMargin() }

// AddClass adds a class that is new at its place in the settings. What is known of the class like, which may
// be itself, is taken for its own at first.
func (b *Balancer) AddClass(at, like ClassID) {
	for len(b.classes) < len(b.settings.Classes) {
		b.classes = append(b.classes, classStats{})
	}
	b.classes[at] = b.classes[like]
	if like == at {
		b.classes[at].meanLatency = initialLatency(&b.settings.Classes[at])
	}
}

// GrowTenants makes room for tenants that are new in the settings.
func (b *Balancer) GrowTenants() {
	for len(b.tenants) < len(b.settings.Tenants) {
		b.tenants = append(b.tenants, rateMeter{})
	}
}
