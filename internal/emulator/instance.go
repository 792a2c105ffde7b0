package emulator

import (
	"math/rand/v2"

	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// request is what a client wants, over all its tries.
type request struct {
	inUse       bool
	judged      judge.ClientRequestID
	class       policy.ClassID
	tenant      policy.TenantID
	instance    int32
	key         uint64
	workFactor  float64 // its work over the mean of its class
	ioFactor    float64
	tries       int
	at          policy.Time
	deadline    policy.Time
	markedRetry bool // of a recorded day: it was marked as a retry
}

// clientTry is one try of a request: it is sent to one instance, once.
type clientTry struct {
	inUse               bool
	clientWaiting       bool // for a final answer
	inFlight            bool // an attempt of it is
	deadlinePassed      bool
	judged              judge.RequestID
	request             int32
	instance            *instance
	instanceIncarnation int // when the try reached it
	handle              policy.Handle
	deadline            policy.Time
	arrivedAt           policy.Time // at the instance
	attempts            int
	attemptID           uint64 // counts attempts, so that events of an earlier one are known
	judgedAttempt       int    // the judge's number of the attempt in flight
	endpoint            *endpoint
	endpointIncarnation int // when the attempt reached it
	job                 machine.JobID
	written             bool
	sentAt              policy.Time
	answer              judge.Answer
	retryIn             policy.Time
}

// instance is one instance of the fleet: a decider and its front.
type instance struct {
	world           *World
	number          judge.InstanceID
	zone            policy.Zone
	newDecider      DeciderFactory
	decider         Decider
	alive           bool
	incarnation     int
	tries           []int32         // tries by the place of their handles
	idleConnections [][]policy.Time // by endpoint: when each idle connection was last used
	wakeAt          policy.Time
	version         int64 // of the list it has
	pollPending     bool
	following       bool
	list            map[*endpoint]notifiedStatus
	loadShare       float64 // of all requests
	gustDraws       *rand.Rand
	arrivalDraws    *rand.Rand
	classDraws      *rand.Rand
	keyDraws        *rand.Rand
	sizeDraws       *rand.Rand
	gust            float64 // this second's factor
	gustUntil       policy.Time
	seedDraws       *rand.Rand
	settings        *policy.Settings
}

// notifiedStatus is what an instance was last notified of an endpoint.
type notifiedStatus struct {
	status  policy.EndpointStatus
	started policy.Time
}

func (w *World) newInstance(no int, factory DeciderFactory) *instance {
	s := &instance{
		world:        w,
		number:       judge.InstanceID(no),
		zone:         w.scenario.Zones[no%len(w.scenario.Zones)],
		newDecider:   factory,
		list:         map[*endpoint]notifiedStatus{},
		gustDraws:    stream(w.seed, "gusts", no),
		arrivalDraws: stream(w.seed, "arrivals", no),
		classDraws:   stream(w.seed, "mix", no),
		keyDraws:     stream(w.seed, "keys", no),
		sizeDraws:    stream(w.seed, "sizes", no),
		seedDraws:    stream(w.seed, "lives", no),
		gust:         1,
	}
	c := w.settings
	c.Zone = s.zone
	s.settings = &c
	return s
}

// shareLoad sets the share of all requests that each instance gets: by the skew, more in the first zones.
func (w *World) shareLoad() {
	sum := 0.0
	last := float64(max(1, len(w.scenario.Zones)-1))
	for _, s := range w.instances {
		z := 0
		for i, name := range w.scenario.Zones {
			if name == s.zone {
				z = i
			}
		}
		s.loadShare = 1 + w.scenario.Load.ZoneSkew*(1-2*float64(z)/last)
		if len(w.scenario.Zones) == 1 {
			s.loadShare = 1
		}
		sum += s.loadShare
	}
	for _, s := range w.instances {
		s.loadShare /= sum
	}
}

// start starts an instance, with a saved list or with the complete one.
func (s *instance) start(kind policy.ListKind) {
	s.alive = true
	s.wakeAt = 0
	s.pollPending = false
	s.following = !s.world.scenario.Discovery.Polled
	s.idleConnections = make([][]policy.Time, len(s.world.endpoints))
	s.tries = s.tries[:0]
	s.decider = s.newDecider(s, s.settings, s.seedDraws.Uint64(), s.world.now, s.world)
	if kind == policy.ListSaved {
		var all []policy.Member
		for _, v := range s.world.endpoints {
			if is, known := s.list[v]; known {
				m := s.world.member(v)
				m.Status, m.Started = is.status, is.started
				all = append(all, m)
			}
		}
		if len(all) > 0 {
			s.decider.UpdateEndpoints(s.world.now, policy.ListSaved, all)
			for v, is := range s.list {
				s.world.judge.EndpointNotified(
					s.world.sinceStart(s.world.now),
					s.number,
					v.number,
					is.status,
					is.started,
				)
			}
		}
		s.world.requestList(s)
		return
	}
	s.notify(policy.ListFull, s.world.endpoints)
}

// stop kills an instance: its clients' connections break, and its attempts go on at the endpoints.
func (s *instance) stop() {
	s.alive = false
	s.incarnation++
	s.world.judge.InstanceDied(s.number)
	for i := range s.world.tries {
		t := &s.world.tries[i]
		if !t.inUse || t.instance != s {
			continue
		}
		if t.inFlight {
			s.world.closeAttempt(t)
			t.inFlight = false
			t.endpoint.inFlight--
			s.world.judge.AttemptEnded(t.judged, t.judgedAttempt, false)
		}
		if t.clientWaiting {
			t.clientWaiting = false
			r := &s.world.requests[t.request]
			s.world.judge.ClientLeft(t.judged, r.judged)
			s.world.retryLater(t.request, true, 0)
		}
		s.world.releaseTry(int32(i))
	}
	for no, idle := range s.idleConnections {
		if v := s.world.endpoints[no]; len(idle) > 0 && !v.down {
			v.machine.AddConnections(s.world.now, -len(idle))
		}
	}
	clear(s.idleConnections)
}
