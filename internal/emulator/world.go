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

// start is when a day begins; moments in lists count from it, and 0 means long ago.
const start = 1000 * policy.Second

// World is one day.
type World struct {
	sc       *Scenario
	seed     uint64
	now      policy.Time
	queue    queue
	judge    *judge.Judge
	facts    judge.Facts
	names    []string        // of the franchises
	campaign policy.Settings // but for the zone
	servers  []*server
	pods     []*pod
	byID     map[policy.EndpointID]*server
	sidecars []*sidecar
	requests []request
	freeReq  []int32
	tries    []try
	freeTry  []int32
	cumShare []float64 // of the offerings, added up
	cumFr    []float64
	rate     float64 // requests a second
	keys     *zipf
	hot      float64 // part of the requests that ask for one key
	factor   float64 // of bursts by fault
	darkZone map[policy.Zone]int
	behind   policy.Time // that lists come later
	version  int64
	done     []machine.Done
	events   uint64
	wasted   float64 // work for pushes that nobody waited for, ns
	work     float64 // all
	credit   *Credit
	faults   []fault
	sample   Sampler
	noise    *rand.Rand // of the network
	draws    struct{ faults, retries, errors *rand.Rand }
	members  []policy.Member
	planned  *[]Arrival // if the day is only planned: what clients ask for
	Series   []Sample
}

// Sampler is told of figures that a report shows; nil: none are kept.
type Sampler interface {
	Answer(o policy.ClassID, a judge.Answer, spent policy.Time)
}

// Sample is what a moment looked like, once a second.
type Sample struct {
	At      policy.Time `json:"at_ns"`
	Pushes  []int       `json:"pushes"` // by server place, out at the moment
	Waiting int         `json:"waiting"`
	Busy    float64     `json:"busy"`  // part of all cores
	Pace    float64     `json:"pace"`  // mean over the sidecars; 0 where the policy has none
	Limit   float64     `json:"limit"` // the same
	Aside   float64     `json:"aside"` // the same
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
	w := &World{sc: sc, seed: seed, now: start, byID: map[policy.EndpointID]*server{}, darkZone: map[policy.Zone]int{},
		factor: 1, sample: sample, noise: stream(seed, "network", 0)}
	w.draws.faults, w.draws.retries = stream(seed, "faults", 0), stream(seed, "retries", 0)
	w.draws.errors = stream(seed, "errors", 0)
	w.campaign = policy.Settings{Instances: sc.Sidecars, Zones: len(sc.Zones), FixedWeights: sc.weighs(), PollList: sc.Discovery.Asked,
		PollWithin: 10 * policy.Second, MayCancel: sc.Allow.Cancel, MaxAttempts: sc.Allow.Pushes, MaxRetryAfter: sc.Allow.Advice,
		CrossZonePrice: sc.Allow.CrossPrice, Tick: sc.Tick, ColdCapacity: 1, OverQuotaValue: sc.Beyond, OverloadMultiple: 3}
	facts := judge.Facts{Instances: sc.Sidecars, MaxAttempts: sc.Allow.Pushes, Grace: sc.Allow.Grace, Length: sc.Length}
	for _, k := range sc.Kinds {
		if k.WarmUpTime > 0 {
			w.campaign.ColdCapacity = min(w.campaign.ColdCapacity, k.ColdSpeed)
			w.campaign.ColdTime = max(w.campaign.ColdTime, k.WarmUpTime)
		}
		if k.OverloadMultiple > 0 && (facts.OverloadMultiple == 0 || k.OverloadMultiple < facts.OverloadMultiple) {
			facts.OverloadMultiple, facts.OverloadWindow, w.campaign.OverloadMultiple = k.OverloadMultiple, k.OverloadWindow, k.OverloadMultiple
		}
	}
	for _, o := range sc.Offerings {
		facts.Classes = append(facts.Classes, o.Class)
		w.cumShare = append(w.cumShare, o.Share)
	}
	w.campaign.Classes = facts.Classes
	cores := w.fleet()
	w.rate = sc.Load.Rate
	if w.rate == 0 {
		w.rate = sc.Load.Part * sc.capacity(cores)
	}
	var names []string
	for _, f := range sc.Franchise {
		quota := f.Quota
		if quota == 0 {
			quota = f.Part * w.rate
		}
		w.campaign.Tenants = append(w.campaign.Tenants, policy.Tenant{Name: f.Name, Quota: quota})
		w.campaign.TotalQuota += quota
		names = append(names, f.Name)
		w.cumFr = append(w.cumFr, f.Share)
	}
	w.credit = NewCredit(sc, w.rate)
	addUp(w.cumShare)
	addUp(w.cumFr)
	w.keys = newZipf(sc.Load.Keys, sc.Load.Zipf)
	w.judge, w.facts, w.names = judge.New(facts, names), facts, names
	for i := range sc.Sidecars {
		w.sidecars = append(w.sidecars, w.newSidecar(i, make))
	}
	w.shareOut()
	for _, s := range w.sidecars {
		s.start(policy.ListFull)
	}
	w.scriptFaults()
	w.queue.add(event{at: start + policy.Second, rank: rankWorld, do: (*World).look})
	w.glance(nil)
	if len(sc.Arrivals) > 0 {
		w.queue.add(event{at: start + sc.Arrivals[0].At, rank: rankArrive, do: (*World).recorded})
	} else {
		for _, s := range w.sidecars {
			s.nextArrival()
		}
	}
	return w
}

func addUp(all []float64) {
	sum := 0.0
	for i, v := range all {
		sum += v
		all[i] = sum
	}
	for i := range all {
		all[i] /= sum
	}
}

func pick(cum []float64, at float64) int {
	for i, c := range cum {
		if at < c {
			return i
		}
	}
	return len(cum) - 1
}

func (sc *Scenario) weighs() bool {
	for _, k := range sc.Kinds {
		if k.Weight {
			return true
		}
	}
	return false
}

// fleet makes the servers and gives the cores they have together, at speed 1.
func (w *World) fleet() (cores float64) {
	var cum []float64
	for _, k := range w.sc.Kinds {
		cum = append(cum, k.Share)
	}
	addUp(cum)
	for i := range w.sc.Servers {
		// Kinds stand in the fleet in their shares, spread evenly, whatever the seed.
		at := math.Mod(float64(i)*0.6180339887498949+0.3, 1)
		s := w.newServer(&w.sc.Kinds[pick(cum, at)], 0)
		cores += s.traits.Cores * s.traits.Speed
	}
	return cores
}

// Run plays the day to its end and a while beyond, until nothing is owed any more.
func (w *World) Run() *judge.Verdict {
	longest := policy.Time(0)
	for _, o := range w.sc.Offerings {
		longest = max(longest, o.Deadline)
	}
	end := start + w.sc.Length + longest*policy.Time(1+w.sc.Clients.Retries) + 2*policy.Second
	for len(w.queue.all) > 0 && w.queue.all[0].at <= end {
		e := w.queue.take()
		w.now = e.at
		w.events++
		e.do(w, &e)
	}
	for i := range w.requests {
		if r := &w.requests[i]; r.inUse {
			w.judge.ClientRequestEnded(r.of)
		}
	}
	return w.judge.Finish(w.day(w.now))
}

// Rate is the requests a second that the day is laid out for.
func (w *World) Rate() float64 { return w.rate }

// Campaign is what sidecars are told at their start, but for their zone.
func (w *World) Campaign() policy.Settings { return w.campaign }

// Events is how many things have happened.
func (w *World) Events() uint64 { return w.events }

// Wasted is the part of all work that was done for pushes nobody waited for any more.
func (w *World) Wasted() float64 {
	if w.work == 0 {
		return 0
	}
	return w.wasted / w.work
}

// day is a moment as the judge has it, from the day's beginning.
func (w *World) day(at policy.Time) policy.Time { return at - start }

// look keeps a sample, once a second.
func (w *World) look(*event) {
	if w.sample != nil {
		s := Sample{At: w.day(w.now)}
		all, busy := 0.0, 0.0
		for _, v := range w.servers {
			s.Pushes = append(s.Pushes, v.out)
			s.Waiting += max(0, v.machine.Jobs()-int(v.traits.Cores))
			if v.standing != policy.Gone {
				all += v.traits.Cores
			}
			busy += v.machine.Busy()
		}
		s.Busy = busy / max(all, 1)
		w.gauge(&s)
		w.Series = append(w.Series, s)
	}
	if w.now < start+w.sc.Length {
		w.queue.add(event{at: w.now + policy.Second, rank: rankWorld, do: (*World).look})
	}
}

// glances is how often the judge is told how the servers stand.
const glances = policy.Second / 4

// glance tells the judge which servers are there for new work, and who stands idle while others queue.
func (w *World) glance(*event) {
	idle, queues := 0, false
	for _, v := range w.servers {
		size := v.traits.Cores * v.traits.Speed
		if v.standing != policy.Ready || v.down || v.dark() {
			size = 0
		}
		w.judge.CapacityChanged(w.day(w.now), v.no, size)
		if in := v.machine.Jobs(); size > 0 && in == 0 {
			idle++
		} else if v.machine.Queued() > 0 {
			queues = true
		}
	}
	w.judge.IdleObserved(idle, queues, glances)
	if w.now < start+w.sc.Length {
		w.queue.add(event{at: w.now + glances, rank: rankWorld, do: (*World).glance})
	}
}

// gauge adds what the sidecars go by, where they are of a kind that says.
func (w *World) gauge(s *Sample) {
	n := 0.0
	for _, c := range w.sidecars {
		if of, says := c.decider.(interface{ Gauges() policy.Gauges }); says && c.alive {
			g := of.Gauges()
			n++
			s.Pace += min(g.TotalLimit, 1e4)
			s.Limit += g.Limit
			s.Aside += float64(g.Ejected)
		}
	}
	if n > 0 {
		s.Pace, s.Limit, s.Aside = s.Pace/n, s.Limit/n, s.Aside/n
	}
}

func (w *World) way(a, b policy.Zone) policy.Time {
	d := w.sc.Network.Near
	if a != b {
		d = w.sc.Network.Far
	}
	return policy.Time(float64(d) * spread(w.noise, w.sc.Network.Jitter))
}

// Servers are the names of all servers there have been, by place.
func (w *World) Servers() (all []string) {
	for _, v := range w.servers {
		all = append(all, v.uid)
	}
	return all
}

// Place is a server as a day lays it out.
type Place struct {
	UID    string
	Zone   policy.Zone
	Cell   policy.Cell
	Weight float64
	Traits machine.Traits
}

// Layout is the fleet as it stands at the day's beginning.
func (w *World) Layout() (all []Place) {
	for _, v := range w.servers {
		all = append(all, Place{v.uid, v.zone, v.cell, v.weight, v.traits})
	}
	return all
}

// Facts are what a judge of the same day must know; slack is added to what is allowed, for judges that hear of things late.
func (w *World) Facts(slack policy.Time) judge.Facts {
	f := w.facts
	f.Grace += slack
	return f
}

// Franchises are the names of the tenants.
func (w *World) Franchises() []string { return w.names }
