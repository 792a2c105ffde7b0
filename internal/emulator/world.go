// Package emulator plays a day of a fleet in virtual time: the decision module, one for each instance, against
// models of endpoints, network, discovery and clients, with a script of faults. One seed names a day; all chance
// comes from streams by purpose, so that one more draw for one purpose moves nothing else. docs/emulator.md says what
// is modelled and what is not.
package emulator

import (
	"math"
	"math/rand/v2"

	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// Decider is what decides for an instance: the module, or a baseline.
type Decider interface {
	UpdateEndpoints(now policy.Time, kind policy.ListKind, members []policy.Member)
	ListFailed(now policy.Time)
	Admit(
		now policy.Time,
		o policy.ClassID,
		f policy.TenantID,
		key string,
		repeat bool,
		left policy.Time,
	) policy.Handle
	Begin(now policy.Time, h policy.Handle)
	AttemptEnded(
		now policy.Time,
		h policy.Handle,
		n policy.AttemptNo,
		id policy.EndpointID,
		o policy.Outcome,
		spent policy.Time,
		over bool,
	)
	ClientLeft(now policy.Time, h policy.Handle)
	Woken(now policy.Time)
}

// DeciderFactory creates the decider of one instance. view is the true state of the fleet, which no instance can see.
type DeciderFactory func(front policy.Front, c *policy.Settings, seed uint64, now policy.Time, view View) Decider

// NewModule makes the decision module.
func NewModule(front policy.Front, c *policy.Settings, seed uint64, now policy.Time, _ View) Decider {
	return policy.New(front, c, seed, now)
}

// dayStart is the time at which a day begins. It is over 0, which means long ago in lists.
const dayStart = 1000 * policy.Second

// World is the state of one day.
type World struct {
	scenario          *Scenario
	seed              uint64
	now               policy.Time
	queue             queue
	judge             *judge.Judge
	judgeConfig       judge.Config
	tenantNames       []string
	settings          policy.Settings // but for the zone
	endpoints         []*endpoint
	pods              []*pod
	byID              map[policy.EndpointID]*endpoint
	instances         []*instance
	requests          []request
	freeRequests      []int32
	tries             []clientTry
	freeTry           []int32
	classShares       []float64 // cumulative
	tenantShares      []float64
	rate              float64 // requests a second
	keys              *zipf
	hotKeyShare       float64 // share of the requests that have one key
	burstFactor       float64 // factor on the rate
	lostZones         map[policy.Zone]int
	listsDelayedUntil policy.Time
	version           int64
	doneJobs          []machine.FinishedJob
	eventCount        uint64
	wastedWork        float64 // for attempts that nobody waited for, ns
	totalWork         float64 // ns
	values            *ValueMeter
	faults            []fault
	observer          AnswerObserver
	noise             *rand.Rand // of the network
	draws             struct{ faults, retries, errors *rand.Rand }
	members           []policy.Member
	plan              *[]Arrival // where the day is only planned: its requests
	Series            []Sample
}

// meterMemory is the time over which a meter forgets.
const meterMemory = 3 * policy.Second

// meter is a rate of events, a second.
type meter struct {
	rate float64
	at   policy.Time
}

func (m *meter) count(now policy.Time) float64 {
	m.rate *= math.Exp(-float64(now-m.at) / float64(meterMemory))
	m.at = now
	m.rate += float64(policy.Second) / float64(meterMemory)
	return m.rate
}

// New prepares a day.
func New(scenario *Scenario, seed uint64, factory DeciderFactory, observer AnswerObserver) *World {
	w := &World{
		scenario:    scenario,
		seed:        seed,
		now:         dayStart,
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
	cores := w.fleet()
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
	w.planDay()
	return w
}

func (w *World) startInstances(factory DeciderFactory) {
	for i := range w.scenario.Instances {
		w.instances = append(w.instances, w.newInstance(i, factory))
	}
	w.shareLoad()
	for _, s := range w.instances {
		s.start(policy.ListFull)
	}
}

// planDay plans the first events.
func (w *World) planDay() {
	w.planFaults()
	w.queue.add(event{at: dayStart + policy.Second, rank: rankWorld, do: (*World).takeSample})
	w.observeEndpoints(nil)
	if len(w.scenario.Arrivals) > 0 {
		first := dayStart + w.scenario.Arrivals[0].At
		w.queue.add(event{at: first, rank: rankArrive, do: (*World).recordedArrival})
		return
	}
	for _, s := range w.instances {
		s.planArrival()
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
	// pollWithin is the time within which instances must have polled the list, where it is polled.
	pollWithin = 10 * policy.Second
	// defaultOverloadMultiple is what instances are told where no kind of endpoint can be overloaded.
	defaultOverloadMultiple = 3
)

// settings are what instances are told, but for their zone, the classes and the tenants.
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

// judgeConfig returns what the judge knows of the fleet.
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

// weakestKind returns the kind of endpoint that is overloaded first while cold, nil if none is.
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

func cumulate(all []float64) {
	sum := 0.0
	for i, v := range all {
		sum += v
		all[i] = sum
	}
	for i := range all {
		all[i] /= sum
	}
}

func pickBy(cum []float64, at float64) int {
	for i, c := range cum {
		if at < c {
			return i
		}
	}
	return len(cum) - 1
}

func (sc *Scenario) weighted() bool {
	for _, k := range sc.Kinds {
		if k.Weighted {
			return true
		}
	}
	return false
}

// fleet makes the endpoints and gives the cores they have together, at speed 1.
func (w *World) fleet() (cores float64) {
	var cum []float64
	for _, k := range w.scenario.Kinds {
		cum = append(cum, k.Share)
	}
	cumulate(cum)
	for i := range w.scenario.Endpoints {
		// Kinds are spread evenly over the fleet by their shares, whatever the seed.
		at := math.Mod(float64(i)*0.6180339887498949+0.3, 1)
		s := w.newEndpoint(&w.scenario.Kinds[pickBy(cum, at)], 0)
		cores += s.traits.Cores * s.traits.Speed
	}
	return cores
}

// Run plays the day to its end and beyond, until every request has ended.
func (w *World) Run() *judge.Verdict {
	longest := policy.Time(0)
	for _, o := range w.scenario.Classes {
		longest = max(longest, o.Deadline)
	}
	end := dayStart + w.scenario.Length + longest*policy.Time(1+w.scenario.Clients.Retries) + 2*policy.Second
	for len(w.queue.all) > 0 && w.queue.all[0].at <= end {
		e := w.queue.take()
		w.now = e.at
		w.eventCount++
		e.do(w, &e)
	}
	for i := range w.requests {
		if r := &w.requests[i]; r.inUse {
			w.judge.ClientRequestEnded(r.judged)
		}
	}
	return w.judge.Finish(w.sinceStart(w.now))
}

// Rate returns the requests a second of the day.
func (w *World) Rate() float64 { return w.rate }

// Settings returns what instances are told at their start, but for their zone.
func (w *World) Settings() policy.Settings { return w.settings }

// Events returns how many events were played.
func (w *World) Events() uint64 { return w.eventCount }

// Wasted returns the part of all work that was done for attempts that nobody waited for any more.
func (w *World) Wasted() float64 {
	if w.totalWork == 0 {
		return 0
	}
	return w.wastedWork / w.totalWork
}

// sinceStart is a time of the judge, from the day's beginning.
func (w *World) sinceStart(at policy.Time) policy.Time { return at - dayStart }

func (w *World) transit(a, b policy.Zone) policy.Time {
	d := w.scenario.Network.Near
	if a != b {
		d = w.scenario.Network.Far
	}
	return policy.Time(float64(d) * logNormal(w.noise, w.scenario.Network.Jitter))
}

// EndpointNames returns the names of all endpoints of the day, by number.
func (w *World) EndpointNames() (all []string) {
	for _, v := range w.endpoints {
		all = append(all, v.uid)
	}
	return all
}

// PlacedEndpoint is an endpoint of a day at its beginning.
type PlacedEndpoint struct {
	UID    string
	Zone   policy.Zone
	Cell   policy.Cell
	Weight float64
	Traits machine.Traits
}

// Layout returns the fleet at the day's beginning.
func (w *World) Layout() (all []PlacedEndpoint) {
	for _, v := range w.endpoints {
		all = append(all, PlacedEndpoint{v.uid, v.zone, v.cell, v.weight, v.traits})
	}
	return all
}

// JudgeConfig returns what a judge of the same day must know; slack is added to what is allowed, for judges that hear of things
// late.
func (w *World) JudgeConfig(slack policy.Time) judge.Config {
	f := w.judgeConfig
	f.Grace += slack
	return f
}

// TenantNames are the names of the tenants.
func (w *World) TenantNames() []string { return w.tenantNames }
