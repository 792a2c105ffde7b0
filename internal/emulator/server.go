package emulator

import (
	"math"
	"math/rand/v2"

	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

type server struct {
	w          *World
	no         judge.EndpointID
	id         policy.EndpointID
	uid        string
	kind       *Kind
	traits     machine.Traits
	zone       policy.Zone
	cell       policy.Cell
	weight     float64
	machine    *machine.Machine
	started    policy.Time
	standing   policy.EndpointStatus
	down       bool // its process is not there
	silent     int  // faults under which it says nothing
	lost       bool // its process ended while it was silent: what comes is not answered
	slow       []float64
	errors     float64
	life       int // counts starts
	nextAt     policy.Time
	ticket     uint32 // of its latest event; earlier ones are void
	pod        *pod
	out        int                   // pushes out to it
	known      policy.EndpointStatus // by discovery, and what else it knows
	knownStart policy.Time
	knownAt    int64
	noise      *rand.Rand
}

type pod struct {
	servers []*server
	limit   float64 // cores; 0: none
	part    float64 // of it, as faults leave it
}

func (w *World) newServer(k *Kind, started policy.Time) *server {
	no := len(w.servers)
	s := &server{w: w, no: judge.EndpointID(no), kind: k, traits: k.Traits, zone: w.sc.Zones[no%len(w.sc.Zones)],
		started: started, weight: 1, ticket: 0, noise: stream(w.seed, "work", no)}
	s.uid = "s-" + name(no)
	s.id = endpointfiles.EndpointID(s.uid)
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
		s.machine.SetPodSpeed(now, part)
		s.nextAt = 0
		s.plan()
	}
}

func (s *server) podPart() float64 { return s.machine.PodSpeed() }

// speed sets what faults leave of it.
func (s *server) speed() {
	part := 1.0
	for _, f := range s.slow {
		part /= f
	}
	s.machine.SetFaultSpeed(s.w.now, part)
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
		t.job = machine.NoJob
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
