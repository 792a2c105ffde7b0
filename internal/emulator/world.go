// Package emulator simulates a fleet in virtual time. Each instance runs its own copy of the decision module, or of a
// baseline policy, against models of endpoints, network, discovery and clients, and a scenario injects faults. A
// scenario and a seed determine a run completely. Random numbers come from separate streams for separate purposes, so
// that an additional draw for one purpose does not change the others. docs/emulator.md lists what is modelled and what
// is not.
package emulator

import (
	"math"
	"math/rand/v2"

	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// Decider makes the decisions of one instance. It is the decision module or a baseline policy. The methods are those
// of policy.Balancer that the emulator calls.
type Decider interface {
	UpdateEndpoints(now policy.Time, kind policy.ListKind, members []policy.Member)
	ListFailed(now policy.Time)
	Admit(
		now policy.Time,
		class policy.ClassID,
		tenant policy.TenantID,
		key string,
		retry bool,
		timeLeft policy.Time,
	) policy.Handle
	Begin(now policy.Time, handle policy.Handle)
	AttemptEnded(
		now policy.Time,
		handle policy.Handle,
		number policy.AttemptNo,
		id policy.EndpointID,
		outcome policy.Outcome,
		elapsed policy.Time,
		answered bool,
	)
	ClientLeft(now policy.Time, handle policy.Handle)
	Woken(now policy.Time)
}

// DeciderFactory creates the decider of one instance. view gives access to the true state of the fleet, which a real
// instance cannot see.
type DeciderFactory func(front policy.Front, settings *policy.Settings, seed uint64, now policy.Time, view View) Decider

// NewModule creates the decision module.
func NewModule(front policy.Front, settings *policy.Settings, seed uint64, now policy.Time, _ View) Decider {
	return policy.New(front, settings, seed, now)
}

// startTime is the virtual time at which a run begins. It is above 0 because a start time of 0 in an endpoint list
// means that the endpoint started long ago.
const startTime = 1000 * policy.Second

// World is the state of one simulation run.
type World struct {
	scenario          *Scenario
	seed              uint64
	now               policy.Time
	queue             queue
	judge             *judge.Judge
	judgeConfig       judge.Config
	tenantNames       []string
	settings          policy.Settings // shared by all instances; each of them sets its own zone
	endpoints         []*endpoint
	pods              []*pod
	byID              map[policy.EndpointID]*endpoint
	instances         []*instance
	requests          []request
	freeRequests      []int32
	tries             []clientTry
	freeTries         []int32
	classShares       []float64 // cumulative sums of the classes' shares
	tenantShares      []float64 // cumulative sums of the tenants' shares
	rate              float64   // requests per second
	keys              *zipf
	hotKeyShare       float64               // part of the requests that use the hot key
	burstFactor       float64               // factor on the rate: the product of the sizes of active bursts
	lostZones         map[policy.Zone]int   // number of active zone-lost faults by zone
	listsDelayedUntil policy.Time           // latest end of the list-behind faults so far
	version           int64                 // version of the endpoint list that discovery has
	finishedJobs      []machine.FinishedJob // buffer of endpoint.advance
	eventCount        uint64
	wastedWork        float64 // part of totalWork done for attempts that had already ended at their instance
	totalWork         float64 // work of all finished jobs, each counted as the mean work of its class, in ns
	values            *ValueMeter
	faults            []fault
	observer          AnswerObserver
	noise             *rand.Rand // draws network delays
	draws             struct{ faults, retries, errors *rand.Rand }
	members           []policy.Member // buffer of instance.notify
	plan              *[]Arrival      // if not nil, requests are appended to it instead of being sent
	Series            []Sample
}

// meterDecayTime is the time constant of a meter: after it, an event's weight has fallen to 1/e.
const meterDecayTime = 3 * policy.Second

// meter measures a rate of events per second as an exponentially decaying average.
type meter struct {
	rate float64
	at   policy.Time
}

// count adds an event and returns the rate.
func (m *meter) count(now policy.Time) float64 {
	m.rate *= math.Exp(-float64(now-m.at) / float64(meterDecayTime))
	m.at = now
	m.rate += float64(policy.Second) / float64(meterDecayTime)
	return m.rate
}

// New prepares a run. observer may be nil.
func New(scenario *Scenario, seed uint64, factory DeciderFactory, observer AnswerObserver) *World {
	w := &World{
		scenario:    scenario,
		seed:        seed,
		now:         startTime,
		byID:        map[policy.EndpointID]*endpoint{},
		lostZones:   map[policy.Zone]int{},
		burstFactor: 1,
		observer:    observer,
		noise:       stream(seed, "network", 0),
	}
	w.draws.faults = stream(seed, "faults", 0)
	w.draws.retries = stream(seed, "retries", 0)
	w.draws.errors = stream(seed, "errors", 0)
	w.settings = scenario.settings()
	w.judgeConfig = scenario.judgeConfig()
	w.settings.Classes = w.judgeConfig.Classes
	for _, class := range scenario.Classes {
		w.classShares = append(w.classShares, class.Share)
	}
	cores := w.addEndpoints()
	w.rate = scenario.Load.Rate
	if w.rate == 0 {
		w.rate = scenario.Load.CapacityShare * scenario.capacity(cores)
	}
	w.addTenants()
	w.values = NewValueMeter(scenario, w.rate)
	cumulate(w.classShares)
	cumulate(w.tenantShares)
	w.keys = newZipf(scenario.Load.Keys, scenario.Load.Zipf)
	w.judge = judge.New(w.judgeConfig, w.tenantNames)
	w.startInstances(factory)
	w.scheduleInitialEvents()
	return w
}

func (w *World) startInstances(factory DeciderFactory) {
	for i := range w.scenario.Instances {
		w.instances = append(w.instances, w.newInstance(i, factory))
	}
	w.shareLoad()
	for _, inst := range w.instances {
		inst.start(policy.ListFull)
	}
}

// scheduleInitialEvents schedules the faults, the first sample and the first request.
func (w *World) scheduleInitialEvents() {
	w.scheduleFaults()
	w.queue.add(event{at: startTime + policy.Second, rank: rankWorld, do: (*World).takeSample})
	w.observeEndpoints(nil)
	if len(w.scenario.Arrivals) > 0 {
		first := startTime + w.scenario.Arrivals[0].At
		w.queue.add(event{at: first, rank: rankArrive, do: (*World).recordedArrival})
		return
	}
	for _, inst := range w.instances {
		inst.scheduleArrival()
	}
}

func (w *World) addTenants() {
	for _, tenant := range w.scenario.Tenants {
		quota := tenant.Quota
		if quota == 0 {
			quota = tenant.QuotaShare * w.rate
		}
		w.settings.Tenants = append(w.settings.Tenants, policy.Tenant{Name: tenant.Name, Quota: quota})
		w.settings.TotalQuota += quota
		w.tenantNames = append(w.tenantNames, tenant.Name)
		w.tenantShares = append(w.tenantShares, tenant.Share)
	}
}

const (
	// pollWithin is the instances' setting PollWithin, which limits the backoff between polls of the endpoint list.
	pollWithin = 10 * policy.Second
	// defaultOverloadMultiple is the instances' setting OverloadMultiple if no kind of endpoint can be overloaded.
	defaultOverloadMultiple = 3
)

// settings returns the settings that all instances share. The caller sets the classes and tenants, and each instance
// its zone.
func (sc *Scenario) settings() policy.Settings {
	settings := policy.Settings{
		Instances:        sc.Instances,
		Zones:            len(sc.Zones),
		FixedWeights:     sc.weighted(),
		PollList:         sc.Discovery.Polled,
		PollWithin:       pollWithin,
		MayCancel:        sc.Limits.MayCancel,
		MaxAttempts:      sc.Limits.MaxAttempts,
		MaxRetryAfter:    sc.Limits.MaxRetryAfter,
		CrossZonePrice:   sc.Limits.CrossZonePrice,
		Tick:             sc.Tick,
		ColdCapacity:     1,
		OverQuotaValue:   sc.OverQuotaValue,
		OverloadMultiple: defaultOverloadMultiple,
	}
	for _, kind := range sc.Kinds {
		if kind.WarmUpTime > 0 {
			settings.ColdCapacity = min(settings.ColdCapacity, kind.ColdSpeed)
			settings.ColdTime = max(settings.ColdTime, kind.WarmUpTime)
		}
	}
	if weakest := sc.weakestKind(); weakest != nil {
		settings.OverloadMultiple = weakest.OverloadMultiple
	}
	return settings
}

// judgeConfig returns the configuration of the judge.
func (sc *Scenario) judgeConfig() judge.Config {
	config := judge.Config{
		Instances:   sc.Instances,
		MaxAttempts: sc.Limits.MaxAttempts,
		Grace:       sc.Limits.Grace,
		Length:      sc.Length,
	}
	if weakest := sc.weakestKind(); weakest != nil {
		config.OverloadMultiple = weakest.OverloadMultiple
		config.OverloadWindow = weakest.OverloadWindow
	}
	for _, class := range sc.Classes {
		config.Classes = append(config.Classes, class.Class)
	}
	return config
}

// weakestKind returns the kind of endpoint with the lowest overload multiple while cold, or nil if none can be
// overloaded.
func (sc *Scenario) weakestKind() *EndpointKind {
	var weakest *EndpointKind
	for i := range sc.Kinds {
		kind := &sc.Kinds[i]
		if kind.OverloadMultiple > 0 && (weakest == nil || kind.OverloadMultiple < weakest.OverloadMultiple) {
			weakest = kind
		}
	}
	return weakest
}

// cumulate replaces shares by their cumulative sums, scaled to a total of 1.
func cumulate(shares []float64) {
	sum := 0.0
	for i, share := range shares {
		sum += share
		shares[i] = sum
	}
	for i := range shares {
		shares[i] /= sum
	}
}

// pickIndex returns the index of the share that contains the point, which is from 0 to 1.
func pickIndex(cumulative []float64, point float64) int {
	for i, upTo := range cumulative {
		if point < upTo {
			return i
		}
	}
	return len(cumulative) - 1
}

// weighted reports whether any kind of endpoint has its real capacity as its weight in lists.
func (sc *Scenario) weighted() bool {
	for _, kind := range sc.Kinds {
		if kind.Weighted {
			return true
		}
	}
	return false
}

// addEndpoints creates the endpoints and returns their total capacity, in cores at speed 1.
func (w *World) addEndpoints() (cores float64) {
	var shares []float64
	for _, kind := range w.scenario.Kinds {
		shares = append(shares, kind.Share)
	}
	cumulate(shares)
	for i := range w.scenario.Endpoints {
		// Steps of the golden ratio spread the kinds evenly over the fleet by their shares, independently of the seed.
		point := math.Mod(float64(i)*0.6180339887498949+0.3, 1)
		ep := w.newEndpoint(&w.scenario.Kinds[pickIndex(shares, point)], 0)
		cores += ep.traits.Cores * ep.traits.Speed
	}
	return cores
}

// Run runs the simulation for the scenario's length and then long enough for the last requests to end. It returns the
// result of the run.
func (w *World) Run() *judge.Verdict {
	longest := policy.Time(0)
	for _, class := range w.scenario.Classes {
		longest = max(longest, class.Deadline)
	}
	end := startTime + w.scenario.Length + longest*policy.Time(1+w.scenario.Clients.Retries) + 2*policy.Second
	for len(w.queue.all) > 0 && w.queue.all[0].at <= end {
		e := w.queue.take()
		w.now = e.at
		w.eventCount++
		e.do(w, &e)
	}
	for i := range w.requests {
		if req := &w.requests[i]; req.inUse {
			w.judge.ClientRequestEnded(req.judgeID)
		}
	}
	return w.judge.Finish(w.sinceStart(w.now))
}

// Rate returns the mean rate of generated requests, per second.
func (w *World) Rate() float64 { return w.rate }

// Settings returns the settings of instances at their start, without the zone.
func (w *World) Settings() policy.Settings { return w.settings }

// Events returns the number of events that were processed.
func (w *World) Events() uint64 { return w.eventCount }

// Wasted returns the part of the finished work that was done for attempts which had already ended at their instance.
func (w *World) Wasted() float64 {
	if w.totalWork == 0 {
		return 0
	}
	return w.wastedWork / w.totalWork
}

// sinceStart converts a virtual time to the time since the start of the run, which the judge uses.
func (w *World) sinceStart(at policy.Time) policy.Time { return at - startTime }

// transit draws the one-way delay between two zones.
func (w *World) transit(from, to policy.Zone) policy.Time {
	delay := w.scenario.Network.Near
	if from != to {
		delay = w.scenario.Network.Far
	}
	return policy.Time(float64(delay) * logNormal(w.noise, w.scenario.Network.Jitter))
}

// EndpointNames returns the UIDs of all endpoints of the run, in the order of their numbers.
func (w *World) EndpointNames() (all []string) {
	for _, ep := range w.endpoints {
		all = append(all, ep.uid)
	}
	return all
}

// PlacedEndpoint describes an endpoint at the start of a run.
type PlacedEndpoint struct {
	UID    string
	Zone   policy.Zone
	Cell   policy.Cell
	Weight float64
	Traits machine.Traits
}

// Layout returns the endpoints at the start of the run.
func (w *World) Layout() (all []PlacedEndpoint) {
	for _, ep := range w.endpoints {
		all = append(all, PlacedEndpoint{ep.uid, ep.zone, ep.cell, ep.weight, ep.traits})
	}
	return all
}

// JudgeConfig returns the configuration of the run's judge, for a separate judge of the same scenario. slack extends
// the grace period, for a judge that observes events with a delay.
func (w *World) JudgeConfig(slack policy.Time) judge.Config {
	config := w.judgeConfig
	config.Grace += slack
	return config
}

// TenantNames returns the names of the tenants, by their IDs.
func (w *World) TenantNames() []string { return w.tenantNames }
