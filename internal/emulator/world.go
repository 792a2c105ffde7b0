// Package emulator plays a day of a fleet in virtual time: the decision module, one instance a sidecar, against models of
// servers, network, discovery and clients, with a script of faults. One seed names a day; all chance comes from streams by
// purpose, so that one more draw for one purpose moves nothing else. docs/emulator.md says what is modelled and what is not.
package emulator

import (
	"math"
	"math/rand/v2"

	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/internal/listing"
	"pepperlead/policy"
)

// Decider is what decides for a sidecar: the module, or a baseline.
type Decider interface {
	List(now policy.Time, kind policy.ListKind, members []policy.Member)
	ListFailed(now policy.Time)
	Admit(now policy.Time, o policy.OfferingID, f policy.FranchiseID, key string, repeat bool, left policy.Time) policy.Handle
	Begin(now policy.Time, h policy.Handle)
	PushEnded(now policy.Time, h policy.Handle, n policy.PushNo, id policy.ServerID, o policy.Outcome, spent policy.Time, over bool)
	ClientLeft(now policy.Time, h policy.Handle)
	Woken(now policy.Time)
}

// Maker makes the decider of one sidecar. view is the true state of the fleet, for marks that no sidecar can reach.
type Maker func(front policy.Front, c *policy.Campaign, seed uint64, now policy.Time, view View) Decider

// Module makes the decision module.
func Module(front policy.Front, c *policy.Campaign, seed uint64, now policy.Time, _ View) Decider {
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
	campaign policy.Campaign // but for the zone
	servers  []*server
	pods     []*pod
	byID     map[policy.ServerID]*server
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
	Answer(o policy.OfferingID, a judge.Answer, spent policy.Time)
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

type server struct {
	w          *World
	no         judge.Server
	id         policy.ServerID
	uid        string
	kind       *Kind
	traits     machine.Traits
	zone       policy.Zone
	cell       policy.Cell
	weight     float64
	machine    *machine.Machine
	started    policy.Time
	standing   policy.Standing
	down       bool // its process is not there
	silent     int  // faults under which it says nothing
	lost       bool // its process ended while it was silent: what comes is not answered
	slow       []float64
	errors     float64
	life       int // counts starts
	nextAt     policy.Time
	ticket     uint32 // of its latest event; earlier ones are void
	pod        *pod
	out        int             // pushes out to it
	known      policy.Standing // by discovery, and what else it knows
	knownStart policy.Time
	knownAt    int64
	noise      *rand.Rand
}

type pod struct {
	servers []*server
	limit   float64 // cores; 0: none
	part    float64 // of it, as faults leave it
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
	w := &World{sc: sc, seed: seed, now: start, byID: map[policy.ServerID]*server{}, darkZone: map[policy.Zone]int{},
		factor: 1, sample: sample, noise: stream(seed, "network", 0)}
	w.draws.faults, w.draws.retries = stream(seed, "faults", 0), stream(seed, "retries", 0)
	w.draws.errors = stream(seed, "errors", 0)
	w.campaign = policy.Campaign{Sidecars: sc.Sidecars, Zones: len(sc.Zones), Weighted: sc.weighs(), MustAsk: sc.Discovery.Asked,
		MustAskIn: 10 * policy.Second, MayCancel: sc.Allow.Cancel, MaxPushes: sc.Allow.Pushes, Advice: sc.Allow.Advice,
		CrossPrice: sc.Allow.CrossPrice, Tick: sc.Tick, ColdShare: 1, BeyondCredit: sc.Beyond, FallMultiple: 3}
	facts := judge.Facts{Sidecars: sc.Sidecars, MaxPushes: sc.Allow.Pushes, Grace: sc.Allow.Grace, Length: sc.Length}
	for _, k := range sc.Kinds {
		if k.WarmIn > 0 {
			w.campaign.ColdShare = min(w.campaign.ColdShare, k.ColdPart)
			w.campaign.ColdTime = max(w.campaign.ColdTime, k.WarmIn)
		}
		if k.Fall > 0 && (facts.Fall == 0 || k.Fall < facts.Fall) {
			facts.Fall, facts.FallIn, w.campaign.FallMultiple = k.Fall, k.FallIn, k.Fall
		}
	}
	for _, o := range sc.Offerings {
		facts.Offerings = append(facts.Offerings, o.Offering)
		w.cumShare = append(w.cumShare, o.Share)
	}
	w.campaign.Offerings = facts.Offerings
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
		w.campaign.Franchises = append(w.campaign.Franchises, policy.Franchise{Name: f.Name, Quota: quota})
		w.campaign.Quotas += quota
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

func (w *World) newServer(k *Kind, started policy.Time) *server {
	no := len(w.servers)
	s := &server{w: w, no: judge.Server(no), kind: k, traits: k.Traits, zone: w.sc.Zones[no%len(w.sc.Zones)],
		started: started, weight: 1, ticket: 0, noise: stream(w.seed, "work", no)}
	s.uid = "s-" + name(no)
	s.id = listing.IDOf(s.uid)
	// Pods are of one zone each: the servers of a zone in turn fill its pods.
	s.cell = policy.Cell(no/len(w.sc.Zones)/w.sc.PodSize*len(w.sc.Zones) + no%len(w.sc.Zones))
	s.traits.Speed *= spread(stream(w.seed, "speed", no), k.Spread)
	if k.Weight {
		s.weight = s.traits.Cores * s.traits.Speed
	}
	s.machine = machine.New(s.traits, started)
	for len(w.pods) <= int(s.cell) {
		w.pods = append(w.pods, &pod{part: 1})
	}
	s.pod = w.pods[s.cell]
	s.pod.servers = append(s.pod.servers, s)
	if w.sc.PodLimit > 0 {
		s.pod.limit += w.sc.PodLimit * s.traits.Cores
	}
	w.servers = append(w.servers, s)
	w.byID[s.id] = s
	return s
}

// name is a number that sorts as text as it does as a number, so that joins in id order are hashes in some order and no more.
func name(no int) string {
	b := []byte("00000")
	for i := len(b) - 1; no > 0 && i >= 0; i-- {
		b[i] = byte('0' + no%10)
		no /= 10
	}
	return string(b)
}

// Run plays the day to its end and a while beyond, until nothing is owed any more.
func (w *World) Run() *judge.Verdict {
	longest := policy.Time(0)
	for _, o := range w.sc.Offerings {
		longest = max(longest, o.CutOff)
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
			w.judge.Given(r.of)
		}
	}
	return w.judge.Finish(w.day(w.now))
}

// Rate is the requests a second that the day is laid out for.
func (w *World) Rate() float64 { return w.rate }

// Campaign is what sidecars are told at their start, but for their zone.
func (w *World) Campaign() policy.Campaign { return w.campaign }

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
			s.Waiting += max(0, v.machine.In()-int(v.traits.Cores))
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
		w.judge.Sized(w.day(w.now), v.no, size)
		if in := v.machine.In(); size > 0 && in == 0 {
			idle++
		} else if v.machine.Queued() > 0 {
			queues = true
		}
	}
	w.judge.Looked(idle, queues, glances)
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
			s.Pace += min(g.Pace, 1e4)
			s.Limit += g.Limit
			s.Aside += float64(g.Aside)
		}
	}
	if n > 0 {
		s.Pace, s.Limit, s.Aside = s.Pace/n, s.Limit/n, s.Aside/n
	}
}

// ---- servers ----

// touch brings a server up to now, passes on what it has finished, and asks for its next event.
func (s *server) touch() {
	w := s.w
	w.done = s.machine.Run(w.now, w.done[:0])
	for _, d := range w.done {
		w.finished(s, d)
	}
	s.pod.share(w.now)
	s.plan()
}

// plan puts the server's next event in place of the one planned before.
func (s *server) plan() {
	at, any := s.machine.Next()
	if !any || s.down {
		s.nextAt = 0
		return
	}
	at = max(at, s.w.now)
	if at == s.nextAt {
		return
	}
	s.nextAt = at
	s.ticket++
	s.w.queue.add(event{at: at, rank: rankWorld, do: (*World).serverDue, a: int32(s.no), c: uint64(s.ticket)})
}

func (w *World) serverDue(e *event) {
	if s := w.servers[e.a]; uint64(s.ticket) == e.c && s.nextAt == w.now {
		s.nextAt = 0
		s.touch()
	}
}

// share lets a pod's servers have what its limit leaves them, all the same part.
func (p *pod) share(now policy.Time) {
	if p.limit == 0 || len(p.servers) == 0 {
		return
	}
	want := 0.0
	for _, s := range p.servers {
		want += s.machine.Busy()
	}
	part := min(1, p.limit*p.part/max(want, 1e-9))
	if math.Abs(part-p.servers[0].podPart()) < 0.01 && (part < 1) == (p.servers[0].podPart() < 1) {
		return
	}
	for _, s := range p.servers {
		s.machine.Throttle(now, part)
		s.nextAt = 0
		s.plan()
	}
}

func (s *server) podPart() float64 { return s.machine.PodPart() }

// speed sets what faults leave of it.
func (s *server) speed() {
	part := 1.0
	for _, f := range s.slow {
		part /= f
	}
	s.machine.Slow(s.w.now, part)
	s.nextAt = 0
	s.touch()
}

// dark tells whether nothing from it, or to it, comes through.
func (s *server) dark() bool { return s.silent > 0 || s.w.darkZone[s.zone] > 0 }

// stop ends its process: what is in it is lost, and its connections are reset.
func (s *server) stop() {
	s.life++
	s.down, s.nextAt = true, 0
	s.ticket++
	w := s.w
	for i := range w.tries {
		t := &w.tries[i]
		if !t.inUse || !t.out || t.server != s {
			continue
		}
		t.job = machine.None
		if !s.dark() {
			// The far end's reset comes after the way back.
			w.queue.add(event{at: w.now + w.way(s.zone, t.sidecar.zone), rank: rankEnd, do: (*World).reset, a: int32(i), c: t.pushID})
		}
	}
	for _, sc := range w.sidecars {
		sc.conns[s.no] = sc.idle(s)[:0]
	}
	s.machine.Restart(w.now)
}

// begin starts its process, cold.
func (s *server) begin() {
	s.life++
	s.down, s.started = false, s.w.now
	s.machine.Restart(s.w.now)
	s.standing = policy.Ready
}

// ---- network ----

func (w *World) way(a, b policy.Zone) policy.Time {
	d := w.sc.Network.Near
	if a != b {
		d = w.sc.Network.Far
	}
	return policy.Time(float64(d) * spread(w.noise, w.sc.Network.Jitter))
}

// ---- zipf ----

// zipf draws keys by popularity: key k with a weight of 1/k^s.
type zipf struct{ cum []float64 }

func newZipf(n int, s float64) *zipf {
	z := &zipf{cum: make([]float64, min(n, 1<<20))}
	for i := range z.cum {
		z.cum[i] = math.Pow(float64(i+1), -s)
	}
	addUp(z.cum)
	return z
}

func (z *zipf) draw(r *rand.Rand) uint64 {
	at, low, high := r.Float64(), 0, len(z.cum)-1
	for low < high {
		mid := (low + high) / 2
		if at < z.cum[mid] {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return uint64(low + 1)
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
