// Package emulator plays a day of a fleet in virtual time: the decision module, one instance a sidecar, against models of
// servers, network, discovery and clients, with a script of faults. One seed names a day; all chance comes from streams by
// purpose, so that one more draw for one purpose moves nothing else. docs/emulator.md says what is modelled and what is not.
package emulator

import (
	"math"
	"math/rand/v2"

	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// Decider is what decides for a sidecar: the module, or a baseline.
type Decider interface {
	UpdateEndpoints(now policy.Time, kind policy.ListKind, members []policy.Member)
	ListFailed(now policy.Time)
	Admit(now policy.Time, o policy.ClassID, f policy.TenantID, key string, repeat bool, left policy.Time) policy.Handle
	Begin(now policy.Time, h policy.Handle)
	AttemptEnded(now policy.Time, h policy.Handle, n policy.AttemptNo, id policy.EndpointID, o policy.Outcome, spent policy.Time, over bool)
	ClientLeft(now policy.Time, h policy.Handle)
	Woken(now policy.Time)
}

// Maker makes the decider of one sidecar. view is the true state of the fleet, for marks that no sidecar can reach.
type Maker func(front policy.Front, c *policy.Settings, seed uint64, now policy.Time, view View) Decider

// Module makes the decision module.
func Module(front policy.Front, c *policy.Settings, seed uint64, now policy.Time, _ View) Decider {
	return policy.New(front, c, seed, now)
}

// dayStart is when a day begins; moments in lists count from it, and 0 means long ago.
const dayStart = 1000 * policy.Second

// World is one day.
type World struct {
	scenario          *Scenario
	seed              uint64
	now               policy.Time
	queue             queue
	judge             *judge.Judge
	facts             judge.Facts
	tenantNames       []string        // of the franchises
	settings          policy.Settings // but for the zone
	endpoints         []*endpoint
	pods              []*pod
	byID              map[policy.EndpointID]*endpoint
	instances         []*instance
	requests          []request
	freeRequests      []int32
	tries             []clientTry
	freeTry           []int32
	classShares       []float64 // of the offerings, added up
	tenantShares      []float64
	rate              float64 // requests a second
	keys              *zipf
	hotKeyShare       float64 // part of the requests that ask for one key
	burstFactor       float64 // of bursts by fault
	lostZones         map[policy.Zone]int
	listsDelayedUntil policy.Time // that lists come later
	version           int64
	doneJobs          []machine.Done
	eventCount        uint64
	wastedWork        float64 // work for pushes that nobody waited for, ns
	totalWork         float64 // all
	values            *ValueMeter
	faults            []fault
	sampler           Sampler
	noise             *rand.Rand // of the network
	draws             struct{ faults, retries, errors *rand.Rand }
	members           []policy.Member
	plan              *[]Arrival // if the day is only planned: what clients ask for
	Series            []Sample
}

// Sampler is told of figures that a report shows; nil: none are kept.
type Sampler interface {
	Answer(o policy.ClassID, a judge.Answer, spent policy.Time)
}

// Sample is what a moment looked like, once a second.
type Sample struct {
	At         policy.Time `json:"at_ns"`
	Attempts   []int       `json:"pushes"` // by server place, out at the moment
	Waiting    int         `json:"waiting"`
	Busy       float64     `json:"busy"`  // part of all cores
	TotalLimit float64     `json:"pace"`  // mean over the sidecars; 0 where the policy has none
	Limit      float64     `json:"limit"` // the same
	Ejected    float64     `json:"aside"` // the same
}

// meter is a rate a second that forgets over three seconds.
type meter struct {
	rate float64
	at   policy.Time
}

func (m *meter) count(now policy.Time) float64 {
	m.rate *= math.Exp(-float64(now-m.at) / float64(3*policy.Second))
	m.at = now
	m.rate += 1. / 3
	return m.rate
}

// New sets a day up.
func New(sc *Scenario, seed uint64, make Maker, sample Sampler) *World {
	w := &World{scenario: sc, seed: seed, now: dayStart, byID: map[policy.EndpointID]*endpoint{}, lostZones: map[policy.Zone]int{},
		burstFactor: 1, sampler: sample, noise: stream(seed, "network", 0)}
	w.draws.faults, w.draws.retries = stream(seed, "faults", 0), stream(seed, "retries", 0)
	w.draws.errors = stream(seed, "errors", 0)
	w.settings = policy.Settings{Instances: sc.Instances, Zones: len(sc.Zones), FixedWeights: sc.weighted(), PollList: sc.Discovery.Polled,
		PollWithin: 10 * policy.Second, MayCancel: sc.Limits.MayCancel, MaxAttempts: sc.Limits.MaxAttempts, MaxRetryAfter: sc.Limits.MaxRetryAfter,
		CrossZonePrice: sc.Limits.CrossZonePrice, Tick: sc.Tick, ColdCapacity: 1, OverQuotaValue: sc.OverQuotaValue, OverloadMultiple: 3}
	facts := judge.Facts{Instances: sc.Instances, MaxAttempts: sc.Limits.MaxAttempts, Grace: sc.Limits.Grace, Length: sc.Length}
	for _, k := range sc.Kinds {
		if k.WarmUpTime > 0 {
			w.settings.ColdCapacity = min(w.settings.ColdCapacity, k.ColdSpeed)
			w.settings.ColdTime = max(w.settings.ColdTime, k.WarmUpTime)
		}
		if k.OverloadMultiple > 0 && (facts.OverloadMultiple == 0 || k.OverloadMultiple < facts.OverloadMultiple) {
			facts.OverloadMultiple, facts.OverloadWindow, w.settings.OverloadMultiple = k.OverloadMultiple, k.OverloadWindow, k.OverloadMultiple
		}
	}
	for _, o := range sc.Classes {
		facts.Classes = append(facts.Classes, o.Class)
		w.classShares = append(w.classShares, o.Share)
	}
	w.settings.Classes = facts.Classes
	cores := w.fleet()
	w.rate = sc.Load.Rate
	if w.rate == 0 {
		w.rate = sc.Load.CapacityShare * sc.capacity(cores)
	}
	var names []string
	for _, f := range sc.Tenants {
		quota := f.Quota
		if quota == 0 {
			quota = f.QuotaShare * w.rate
		}
		w.settings.Tenants = append(w.settings.Tenants, policy.Tenant{Name: f.Name, Quota: quota})
		w.settings.TotalQuota += quota
		names = append(names, f.Name)
		w.tenantShares = append(w.tenantShares, f.Share)
	}
	w.values = NewValueMeter(sc, w.rate)
	cumulate(w.classShares)
	cumulate(w.tenantShares)
	w.keys = newZipf(sc.Load.Keys, sc.Load.Zipf)
	w.judge, w.facts, w.tenantNames = judge.New(facts, names), facts, names
	for i := range sc.Instances {
		w.instances = append(w.instances, w.newInstance(i, make))
	}
	w.shareLoad()
	for _, s := range w.instances {
		s.start(policy.ListFull)
	}
	w.planFaults()
	w.queue.add(event{at: dayStart + policy.Second, rank: rankWorld, do: (*World).takeSample})
	w.observeEndpoints(nil)
	if len(sc.Arrivals) > 0 {
		w.queue.add(event{at: dayStart + sc.Arrivals[0].At, rank: rankArrive, do: (*World).recordedArrival})
	} else {
		for _, s := range w.instances {
			s.planArrival()
		}
	}
	return w
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

// fleet makes the servers and gives the cores they have together, at speed 1.
func (w *World) fleet() (cores float64) {
	var cum []float64
	for _, k := range w.scenario.Kinds {
		cum = append(cum, k.Share)
	}
	cumulate(cum)
	for i := range w.scenario.Endpoints {
		// Kinds stand in the fleet in their shares, spread evenly, whatever the seed.
		at := math.Mod(float64(i)*0.6180339887498949+0.3, 1)
		s := w.newEndpoint(&w.scenario.Kinds[pickBy(cum, at)], 0)
		cores += s.traits.Cores * s.traits.Speed
	}
	return cores
}

// Run plays the day to its end and a while beyond, until nothing is owed any more.
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

// Rate is the requests a second that the day is laid out for.
func (w *World) Rate() float64 { return w.rate }

// Settings is what sidecars are told at their start, but for their zone.
func (w *World) Settings() policy.Settings { return w.settings }

// Events is how many things have happened.
func (w *World) Events() uint64 { return w.eventCount }

// Wasted is the part of all work that was done for pushes nobody waited for any more.
func (w *World) Wasted() float64 {
	if w.totalWork == 0 {
		return 0
	}
	return w.wastedWork / w.totalWork
}

// sinceStart is a moment as the judge has it, from the day's beginning.
func (w *World) sinceStart(at policy.Time) policy.Time { return at - dayStart }

// takeSample keeps a sample, once a second.
func (w *World) takeSample(*event) {
	if w.sampler != nil {
		s := Sample{At: w.sinceStart(w.now)}
		all, busy := 0.0, 0.0
		for _, v := range w.endpoints {
			s.Attempts = append(s.Attempts, v.inFlight)
			s.Waiting += max(0, v.machine.Jobs()-int(v.traits.Cores))
			if v.status != policy.Gone {
				all += v.traits.Cores
			}
			busy += v.machine.Busy()
		}
		s.Busy = busy / max(all, 1)
		w.addGauges(&s)
		w.Series = append(w.Series, s)
	}
	if w.now < dayStart+w.scenario.Length {
		w.queue.add(event{at: w.now + policy.Second, rank: rankWorld, do: (*World).takeSample})
	}
}

// observeInterval is how often the judge is told how the servers stand.
const observeInterval = policy.Second / 4

// observeEndpoints tells the judge which servers are there for new work, and who stands idle while others queue.
func (w *World) observeEndpoints(*event) {
	idle, queues := 0, false
	for _, v := range w.endpoints {
		size := v.traits.Cores * v.traits.Speed
		if v.status != policy.Ready || v.down || v.unreachable() {
			size = 0
		}
		w.judge.CapacityChanged(w.sinceStart(w.now), v.number, size)
		if in := v.machine.Jobs(); size > 0 && in == 0 {
			idle++
		} else if v.machine.Queued() > 0 {
			queues = true
		}
	}
	w.judge.IdleObserved(idle, queues, observeInterval)
	if w.now < dayStart+w.scenario.Length {
		w.queue.add(event{at: w.now + observeInterval, rank: rankWorld, do: (*World).observeEndpoints})
	}
}

// addGauges adds what the sidecars go by, where they are of a kind that says.
func (w *World) addGauges(s *Sample) {
	n := 0.0
	for _, c := range w.instances {
		if of, says := c.decider.(interface{ Gauges() policy.Gauges }); says && c.alive {
			g := of.Gauges()
			n++
			s.TotalLimit += min(g.TotalLimit, 1e4)
			s.Limit += g.Limit
			s.Ejected += float64(g.Ejected)
		}
	}
	if n > 0 {
		s.TotalLimit, s.Limit, s.Ejected = s.TotalLimit/n, s.Limit/n, s.Ejected/n
	}
}

func (w *World) transit(a, b policy.Zone) policy.Time {
	d := w.scenario.Network.Near
	if a != b {
		d = w.scenario.Network.Far
	}
	return policy.Time(float64(d) * logNormal(w.noise, w.scenario.Network.Jitter))
}

// EndpointNames are the names of all servers there have been, by place.
func (w *World) EndpointNames() (all []string) {
	for _, v := range w.endpoints {
		all = append(all, v.uid)
	}
	return all
}

// PlacedEndpoint is a server as a day lays it out.
type PlacedEndpoint struct {
	UID    string
	Zone   policy.Zone
	Cell   policy.Cell
	Weight float64
	Traits machine.Traits
}

// Layout is the fleet as it stands at the day's beginning.
func (w *World) Layout() (all []PlacedEndpoint) {
	for _, v := range w.endpoints {
		all = append(all, PlacedEndpoint{v.uid, v.zone, v.cell, v.weight, v.traits})
	}
	return all
}

// Facts are what a judge of the same day must know; slack is added to what is allowed, for judges that hear of things late.
func (w *World) Facts(slack policy.Time) judge.Facts {
	f := w.facts
	f.Grace += slack
	return f
}

// TenantNames are the names of the tenants.
func (w *World) TenantNames() []string { return w.tenantNames }
