package emulator

import (
	"math"
	"math/rand/v2"

	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

// endpoint is the state of one endpoint of the fleet.
type endpoint struct {
	world        *World
	number       judge.EndpointID
	id           policy.EndpointID
	uid          string
	kind         *EndpointKind
	traits       machine.Traits
	zone         policy.Zone
	cell         policy.Cell
	weight       float64
	machine      *machine.Machine
	started      policy.Time
	status       policy.EndpointStatus
	down         bool // its process has ended
	silentFaults int  // number of faults that make it silent
	lost         bool // its process ended while it was unreachable
	slowFactors  []float64
	errorRate    float64
	incarnation  int // counts starts
	plannedAt    policy.Time
	plannedEvent uint32 // number of its latest planned event; earlier ones are void
	pod          *pod
	inFlight     int                   // attempts
	knownStatus  policy.EndpointStatus // what discovery knows
	knownStart   policy.Time
	knownVersion int64
	noise        *rand.Rand
}

// pod is a group of endpoints that share cores.
type pod struct {
	endpoints   []*endpoint
	limit       float64 // cores; 0: none
	limitFactor float64 // part of the limit that faults leave
}

func (w *World) newEndpoint(k *EndpointKind, started policy.Time) *endpoint {
	no := len(w.endpoints)
	s := &endpoint{
		world:        w,
		number:       judge.EndpointID(no),
		kind:         k,
		traits:       k.Traits,
		zone:         w.scenario.Zones[no%len(w.scenario.Zones)],
		started:      started,
		weight:       1,
		plannedEvent: 0,
		noise:        stream(w.seed, "work", no),
	}
	s.uid = "s-" + paddedNumber(no)
	s.id = endpointfiles.EndpointID(s.uid)
	// Each pod is in one zone: the endpoints of a zone fill its pods one after another.
	s.cell = policy.Cell(no/len(w.scenario.Zones)/w.scenario.PodSize*len(w.scenario.Zones) + no%len(w.scenario.Zones))
	s.traits.Speed *= logNormal(stream(w.seed, "speed", no), k.SpeedSpread)
	if k.Weighted {
		s.weight = s.traits.Cores * s.traits.Speed
	}
	s.machine = machine.New(s.traits, started)
	for len(w.pods) <= int(s.cell) {
		w.pods = append(w.pods, &pod{limitFactor: 1})
	}
	s.pod = w.pods[s.cell]
	s.pod.endpoints = append(s.pod.endpoints, s)
	if w.scenario.PodLimit > 0 {
		s.pod.limit += w.scenario.PodLimit * s.traits.Cores
	}
	w.endpoints = append(w.endpoints, s)
	w.byID[s.id] = s
	return s
}

// paddedNumber is a number with leading zeros, which sorts as text as it does as a number.
func paddedNumber(no int) string {
	b := []byte("00000")
	for i := len(b) - 1; no > 0 && i >= 0; i-- {
		b[i] = byte('0' + no%10)
		no /= 10
	}
	return string(b)
}

// advance runs the endpoint up to now, handles the jobs that it has finished, and plans its next event.
func (s *endpoint) advance() {
	w := s.world
	w.doneJobs = s.machine.Run(w.now, w.doneJobs[:0])
	for _, d := range w.doneJobs {
		w.jobDone(s, d)
	}
	s.pod.shareCores(w.now)
	s.planNext()
}

// planNext plans the endpoint's next event in place of the earlier one.
func (s *endpoint) planNext() {
	at, pending := s.machine.Next()
	if !pending || s.down {
		s.plannedAt = 0
		return
	}
	at = max(at, s.world.now)
	if at == s.plannedAt {
		return
	}
	s.plannedAt = at
	s.plannedEvent++
	s.world.queue.add(
		event{at: at, rank: rankWorld, do: (*World).endpointDue, a: int32(s.number), c: uint64(s.plannedEvent)},
	)
}

func (w *World) endpointDue(e *event) {
	if s := w.endpoints[e.a]; uint64(s.plannedEvent) == e.c && s.plannedAt == w.now {
		s.plannedAt = 0
		s.advance()
	}
}

// shareCores gives each endpoint of a pod the same part of its speed, as the pod's limit allows.
func (p *pod) shareCores(now policy.Time) {
	if p.limit == 0 || len(p.endpoints) == 0 {
		return
	}
	want := 0.0
	for _, s := range p.endpoints {
		want += s.machine.Busy()
	}
	part := min(1, p.limit*p.limitFactor/max(want, 1e-9))
	if math.Abs(part-p.endpoints[0].podSpeed()) < 0.01 && (part < 1) == (p.endpoints[0].podSpeed() < 1) {
		return
	}
	for _, s := range p.endpoints {
		s.machine.SetPodSpeed(now, part)
		s.plannedAt = 0
		s.planNext()
	}
}

func (s *endpoint) podSpeed() float64 { return s.machine.PodSpeed() }

// applySlowFactors sets the speed that faults leave.
func (s *endpoint) applySlowFactors() {
	part := 1.0
	for _, f := range s.slowFactors {
		part /= f
	}
	s.machine.SetFaultSpeed(s.world.now, part)
	s.plannedAt = 0
	s.advance()
}

// unreachable reports whether a fault cuts the endpoint off.
func (s *endpoint) unreachable() bool { return s.silentFaults > 0 || s.world.lostZones[s.zone] > 0 }

// stop ends its process: its jobs are lost and its connections reset.
func (s *endpoint) stop() {
	s.incarnation++
	s.down = true
	s.plannedAt = 0
	s.plannedEvent++
	w := s.world
	for i := range w.tries {
		t := &w.tries[i]
		if !t.inUse || !t.inFlight || t.endpoint != s {
			continue
		}
		t.job = machine.NoJob
		if !s.unreachable() {
			w.notifyInstance(int32(i), t, (*World).connectionReset)
		}
	}
	for _, sc := range w.instances {
		sc.idleConnections[s.number] = sc.idleTo(s)[:0]
	}
	s.machine.Restart(w.now)
}

// start starts its process, cold.
func (s *endpoint) start() {
	s.incarnation++
	s.down = false
	s.started = s.world.now
	s.machine.Restart(s.world.now)
	s.status = policy.Ready
}
