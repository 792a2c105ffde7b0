package emulator

import (
	"math"
	"math/rand/v2"

	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

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
	down         bool // its process is not there
	silentFaults int  // faults under which it says nothing
	lost         bool // its process ended while it was silent: what comes is not answered
	slowFactors  []float64
	errorRate    float64
	incarnation  int // counts starts
	plannedAt    policy.Time
	plannedEvent uint32 // of its latest event; earlier ones are void
	pod          *pod
	inFlight     int                   // pushes out to it
	knownStatus  policy.EndpointStatus // by discovery, and what else it knows
	knownStart   policy.Time
	knownVersion int64
	noise        *rand.Rand
}

type pod struct {
	endpoints   []*endpoint
	limit       float64 // cores; 0: none
	limitFactor float64 // of it, as faults leave it
}

func (w *World) newEndpoint(k *EndpointKind, started policy.Time) *endpoint {
	no := len(w.endpoints)
	s := &endpoint{world: w, number: judge.EndpointID(no), kind: k, traits: k.Traits, zone: w.scenario.Zones[no%len(w.scenario.Zones)],
		started: started, weight: 1, plannedEvent: 0, noise: stream(w.seed, "work", no)}
	s.uid = "s-" + paddedNumber(no)
	s.id = endpointfiles.EndpointID(s.uid)
	// Pods are of one zone each: the servers of a zone in turn fill its pods.
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

// paddedNumber is a number that sorts as text as it does as a number, so that joins in id order are hashes in some order and no more.
func paddedNumber(no int) string {
	b := []byte("00000")
	for i := len(b) - 1; no > 0 && i >= 0; i-- {
		b[i] = byte('0' + no%10)
		no /= 10
	}
	return string(b)
}

// advance brings a server up to now, passes on what it has finished, and asks for its next event.
func (s *endpoint) advance() {
	w := s.world
	w.doneJobs = s.machine.Run(w.now, w.doneJobs[:0])
	for _, d := range w.doneJobs {
		w.jobDone(s, d)
	}
	s.pod.shareCores(w.now)
	s.planNext()
}

// planNext puts the server's next event in place of the one planned before.
func (s *endpoint) planNext() {
	at, any := s.machine.Next()
	if !any || s.down {
		s.plannedAt = 0
		return
	}
	at = max(at, s.world.now)
	if at == s.plannedAt {
		return
	}
	s.plannedAt = at
	s.plannedEvent++
	s.world.queue.add(event{at: at, rank: rankWorld, do: (*World).endpointDue, a: int32(s.number), c: uint64(s.plannedEvent)})
}

func (w *World) endpointDue(e *event) {
	if s := w.endpoints[e.a]; uint64(s.plannedEvent) == e.c && s.plannedAt == w.now {
		s.plannedAt = 0
		s.advance()
	}
}

// shareCores lets a pod's servers have what its limit leaves them, all the same part.
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

// applySlowFactors sets what faults leave of it.
func (s *endpoint) applySlowFactors() {
	part := 1.0
	for _, f := range s.slowFactors {
		part /= f
	}
	s.machine.SetFaultSpeed(s.world.now, part)
	s.plannedAt = 0
	s.advance()
}

// unreachable tells whether nothing from it, or to it, comes through.
func (s *endpoint) unreachable() bool { return s.silentFaults > 0 || s.world.lostZones[s.zone] > 0 }

// stop ends its process: what is in it is lost, and its connections are reset.
func (s *endpoint) stop() {
	s.incarnation++
	s.down, s.plannedAt = true, 0
	s.plannedEvent++
	w := s.world
	for i := range w.tries {
		t := &w.tries[i]
		if !t.inUse || !t.inFlight || t.endpoint != s {
			continue
		}
		t.job = machine.NoJob
		if !s.unreachable() {
			// The far end's reset comes after the way back.
			w.queue.add(event{at: w.now + w.transit(s.zone, t.instance.zone), rank: rankAttemptEnd, do: (*World).connectionReset, a: int32(i), c: t.attemptID})
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
	s.down, s.started = false, s.world.now
	s.machine.Restart(s.world.now)
	s.status = policy.Ready
}
