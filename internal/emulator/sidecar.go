package emulator

import (
	"math/rand/v2"

	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// request is what a client wants, over its tries.
type request struct {
	inUse     bool
	of        judge.ClientRequestID
	offering  policy.ClassID
	franchise policy.TenantID
	sidecar   int32
	key       uint64
	size      float64 // of its work against the mean
	sizeIO    float64
	tries     int
	at        policy.Time
	cutOff    policy.Time
	repeat    bool // of a recorded day: it was marked as a further try
}

// try is a ticket: one request handed to one sidecar, once.
type try struct {
	inUse   bool
	owed    bool // a final answer
	out     bool // a push
	passed  bool // its cut-off
	of      judge.RequestID
	request int32
	sidecar *sidecar
	life    int // of the sidecar
	handle  policy.Handle
	cutOff  policy.Time
	from    policy.Time // when it came to the sidecar
	pushes  int
	pushID  uint64 // counts pushes, so that what comes for an earlier one is known
	wire    int    // the judge's number of the push that is out
	server  *server
	life2   int // of the server when the push reached it
	job     machine.JobID
	written bool
	pushed  policy.Time
	answer  judge.Answer
	retryIn policy.Time
}

// sidecar is an instance of the decider, and the front it asks.
type sidecar struct {
	w       *World
	no      judge.InstanceID
	zone    policy.Zone
	make    Maker
	decider Decider
	alive   bool
	life    int
	tries   []int32         // by place of a handle
	conns   [][]policy.Time // by server: when each idle connection was last used
	wakeAt  policy.Time
	version int64 // of the list it has
	asking  bool
	follows bool
	list    map[*server]view
	part    float64 // of all requests
	swings  *rand.Rand
	arrive  *rand.Rand
	mix     *rand.Rand
	keys    *rand.Rand
	sizes   *rand.Rand
	gust    float64 // this second's factor
	gustAt  policy.Time
	seeds   *rand.Rand
	base    *policy.Settings
}

// view is what a sidecar was told of a server.
type view struct {
	standing policy.EndpointStatus
	started  policy.Time
}

func (w *World) newSidecar(no int, make Maker) *sidecar {
	s := &sidecar{w: w, no: judge.InstanceID(no), zone: w.sc.Zones[no%len(w.sc.Zones)], make: make, list: map[*server]view{},
		swings: stream(w.seed, "gusts", no), arrive: stream(w.seed, "arrivals", no), mix: stream(w.seed, "mix", no),
		keys: stream(w.seed, "keys", no), sizes: stream(w.seed, "sizes", no), seeds: stream(w.seed, "lives", no), gust: 1}
	c := w.campaign
	c.Zone = s.zone
	s.base = &c
	return s
}

// shareOut says which part of all requests comes to each sidecar: more to those of the first zones, by the skew.
func (w *World) shareOut() {
	sum := 0.0
	last := float64(max(1, len(w.sc.Zones)-1))
	for _, s := range w.sidecars {
		z := 0
		for i, name := range w.sc.Zones {
			if name == s.zone {
				z = i
			}
		}
		s.part = 1 + w.sc.Load.ZoneSkew*(1-2*float64(z)/last)
		if len(w.sc.Zones) == 1 {
			s.part = 1
		}
		sum += s.part
	}
	for _, s := range w.sidecars {
		s.part /= sum
	}
}

// start begins a life, with a list saved earlier or with the whole list.
func (s *sidecar) start(kind policy.ListKind) {
	s.alive, s.wakeAt, s.asking, s.follows = true, 0, false, !s.w.sc.Discovery.Asked
	s.conns = make([][]policy.Time, len(s.w.servers))
	s.tries = s.tries[:0]
	s.decider = s.make(s, s.base, s.seeds.Uint64(), s.w.now, s.w)
	if kind == policy.ListSaved {
		var all []policy.Member
		for _, v := range s.w.servers {
			if is, known := s.list[v]; known {
				m := s.w.member(v)
				m.Status, m.Started = is.standing, is.started
				all = append(all, m)
			}
		}
		if len(all) > 0 {
			s.decider.UpdateEndpoints(s.w.now, policy.ListSaved, all)
			for v, is := range s.list {
				s.w.judge.EndpointNotified(s.w.day(s.w.now), s.no, v.no, is.standing, is.started)
			}
		}
		s.w.catchUp(s)
		return
	}
	s.tell(policy.ListFull, s.w.servers)
}

// stop ends a life: its clients' connections break, and what is out goes on at the servers.
func (s *sidecar) stop() {
	s.alive = false
	s.life++
	s.w.judge.InstanceDied(s.no)
	for i := range s.w.tries {
		t := &s.w.tries[i]
		if !t.inUse || t.sidecar != s {
			continue
		}
		if t.out {
			s.w.callOff(t)
			t.out = false
			t.server.out--
			s.w.judge.AttemptEnded(t.of, t.wire, false)
		}
		if t.owed {
			t.owed = false
			r := &s.w.requests[t.request]
			s.w.judge.ClientLeft(t.of, r.of)
			s.w.again(t.request, true, 0)
		}
		s.w.let(int32(i))
	}
	for no, idle := range s.conns {
		if v := s.w.servers[no]; len(idle) > 0 && !v.down {
			v.machine.AddConnections(s.w.now, -len(idle))
		}
	}
	clear(s.conns)
}
