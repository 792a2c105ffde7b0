package policy

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
)

// modelAttempt is an attempt as the reference model records it.
type modelAttempt struct {
	endpoint   EndpointID
	sentAt     Time
	inFlight   bool
	mayHaveRun bool // whether the endpoint may have run the request
}

// modelRequest is a request as the reference model records it.
type modelRequest struct {
	class    Class
	deadline Time
	answered bool
	attempts []modelAttempt
}

// event is a scheduled event of the simulation.
type event struct {
	at Time
	do func()
}

// simulation is the environment of one instance and a slow reference model of four rules: requests are answered before
// their deadlines (1), requests that may have run are not repeated or rejected where that is unsafe (2), endpoints
// that leave get no new attempts (3), and cold endpoints get no more attempts than allowed (4). It checks each action
// of the balancer against the complete history.
type simulation struct {
	*rand.Rand
	now           Time
	settings      *Settings
	balancer      *Balancer
	incarnation   int // counts starts of the instance; events of an earlier incarnation are dropped
	requests      map[Handle]*modelRequest
	members       map[EndpointID]Member
	leavingSince  map[EndpointID]Time   // when a list first showed, in this incarnation, that an endpoint leaves
	coldAttempts  map[EndpointID][]Time // attempts while the endpoint was cold
	successes     []Time                // ends of successful attempts
	coldSuccesses map[EndpointID][]Time // ends of successful attempts since the endpoint started
	fewestWarm    int                   // smallest number of warm endpoints so far
	events        []event
	trace         strings.Builder
	violation     string // first violation of a rule; empty: none
	shutdownBy    Time   // end of this incarnation; 0: none
	eventCounts   map[string]int
}

func (s *simulation) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %d ns: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *simulation) schedule(delay Time, do func()) {
	incarnation := s.incarnation
	s.events = append(s.events, event{s.now + delay, func() {
		if incarnation == s.incarnation {
			do()
		}
	}})
}

func (s *simulation) openRequest(handle Handle) *modelRequest {
	request := s.requests[handle]
	if request == nil || request.answered {
		s.fail("rule 1: balancer acted on a request that is unknown or answered")
		return &modelRequest{}
	}
	return request
}

func (s *simulation) Attempt(handle Handle, id EndpointID, timeout Time) {
	fmt.Fprintf(&s.trace, "attempt %d %d %d\n", handle, id, timeout)
	request, member := s.openRequest(handle), s.members[id]
	if len(request.attempts) >= s.settings.MaxAttempts {
		s.fail("request attempted more than MaxAttempts times")
	}
	for _, earlier := range request.attempts {
		if earlier.inFlight {
			s.fail("request has two attempts in flight at once")
		}
	}
	if first := slices.IndexFunc(request.attempts, func(earlier modelAttempt) bool { return earlier.mayHaveRun }); first >= 0 {
		earlier, class := request.attempts[first], request.class
		ranOn := s.members[earlier.endpoint]
		within := class.Group == GroupAll || class.Group == GroupZone && ranOn.Zone == member.Zone ||
			class.Group == GroupCell && ranOn.Cell == member.Cell
		if class.Idempotency == NonIdempotent || class.Idempotency == Keyed && (!within || s.now > earlier.sentAt+class.Window) {
			s.fail("rule 2: request that may have run was repeated outside its deduplication group or window")
		}
	}
	if at, leaving := s.leavingSince[id]; leaving && s.now > at+Second {
		s.fail("rule 3: attempt to a leaving endpoint")
	}
	if member.Started > 0 && s.now < member.Started+s.settings.ColdTime {
		s.countColdAttempt(id, member)
	}
	if timeout <= 0 || s.now+timeout > request.deadline {
		s.fail("rule 1: attempt has a timeout of %d ns, the client only %d ns left", timeout, request.deadline-s.now)
	}
	request.attempts = append(request.attempts, modelAttempt{endpoint: id, sentAt: s.now, inFlight: true})
	s.scheduleOutcome(handle, request, len(request.attempts)-1, timeout)
}

// maxPerSecond returns the largest number of the given times that lie within any one second.
func maxPerSecond(times []Time) (most int) {
	for i, at := range times {
		count := 1
		for _, other := range times[:i] {
			if other > at-Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// countColdAttempt records an attempt to a cold endpoint and checks rule 4: the attempts of the last second must not
// exceed a multiple of the highest rate of successes seen so far, either of the mean warm endpoint, scaled to the
// cold one's capacity, or of the cold one itself.
func (s *simulation) countColdAttempt(id EndpointID, member Member) {
	s.coldAttempts[id] = append(s.coldAttempts[id], s.now)
	settings := s.settings
	share := settings.ColdCapacity + (1-settings.ColdCapacity)*float64(s.now-member.Started)/float64(settings.ColdTime)
	rate := max(share*0.25*float64(maxPerSecond(s.successes))/float64(max(1, s.fewestWarm)), 0.8*float64(maxPerSecond(s.coldSuccesses[id])))
	// A rate that decays with a time constant of three seconds is at most 1.2 times its busiest second.
	allowed := 1 + 1/float64(settings.Instances) + settings.OverloadMultiple*1.2*rate
	count := 0
	for _, at := range s.coldAttempts[id] {
		if at > s.now-Second {
			count++
		}
	}
	if float64(count) > allowed {
		s.fail("rule 4: %d attempts to a cold endpoint, %.1f allowed", count, allowed)
	}
}

// scheduleOutcome draws how an attempt ends, and when.
func (s *simulation) scheduleOutcome(handle Handle, request *modelRequest, number int, timeout Time) {
	outcome := Outcome(s.Intn(int(NotSent)))
	if s.Intn(3) > 0 {
		outcome = Succeeded
	}
	delay := Time(s.Int63n(int64(300 * Millisecond)))
	if outcome == TimedOut || delay > timeout {
		outcome, delay = TimedOut, timeout
	}
	if outcome == TimedOut && s.Intn(4) == 0 {
		delay += 10 * Second // the timeout is reported only long after the deadline
	}
	s.schedule(delay, func() {
		attempt := &request.attempts[number]
		attempt.inFlight = false
		switch outcome {
		case Errored, TimedOut, ConnectionLost, Cancelled:
			attempt.mayHaveRun = true
		case Succeeded:
			s.successes = append(s.successes, s.now)
			s.coldSuccesses[attempt.endpoint] = append(s.coldSuccesses[attempt.endpoint], s.now)
			request.answered = true
		}
		s.eventCounts[fmt.Sprint("outcome ", outcome)]++
		s.balancer.AttemptEnded(s.now, handle, AttemptNo(number), attempt.endpoint, outcome, s.now-attempt.sentAt, request.answered)
	})
	for i := range request.attempts {
		// An earlier attempt that is still in flight may already be running.
		request.attempts[i].mayHaveRun = request.attempts[i].mayHaveRun || request.attempts[i].inFlight && i < number
	}
}

func (s *simulation) Reject(handle Handle, _ Time) {
	fmt.Fprintf(&s.trace, "reject %d\n", handle)
	s.eventCounts["rejected"]++
	request := s.openRequest(handle)
	repeatable := request.class.Idempotency == Idempotent || request.class.Idempotency == Keyed && request.class.Group == GroupAll
	for _, attempt := range request.attempts {
		if (attempt.mayHaveRun || attempt.inFlight) && !repeatable {
			s.fail("rule 2: request was rejected although it may have run")
		}
	}
	request.answered = true
}

func (s *simulation) Fail(handle Handle) {
	fmt.Fprintf(&s.trace, "fail %d\n", handle)
	s.eventCounts["failed"]++
	s.openRequest(handle).answered = true
}

func (s *simulation) Cancel(Handle, AttemptNo)  {}
func (s *simulation) Succeed(Handle, AttemptNo) {}
func (s *simulation) Log(string)                {}
func (s *simulation) Forget(EndpointID)         { s.eventCounts["forgotten"]++ }
func (s *simulation) Wake(after Time)           { s.schedule(after, func() { s.balancer.Woken(s.now) }) }

// ReleaseConnections checks that connections are shared and have no attempt in flight.
func (s *simulation) ReleaseConnections(id EndpointID) {
	s.eventCounts["released"]++
	for _, request := range s.requests {
		for _, attempt := range request.attempts {
			if attempt.inFlight && attempt.endpoint == id || s.settings.StreamsPerConnection <= 1 {
				s.fail("connections to endpoint %d released: an attempt is in flight, or connections are not shared", id)
			}
		}
	}
}

func (s *simulation) FollowList(bool) {
	s.schedule(100*Millisecond, func() {
		if s.Intn(3) == 0 {
			s.balancer.ListFailed(s.now)
		} else {
			s.updateList(ListFull)
		}
	})
}

// drawWeight returns a weight: 1, or if weights fall with load, that of an endpoint that holds up to nine requests for
// each core.
func (s *simulation) drawWeight() float64 {
	if s.settings.FixedWeights {
		return 1
	}
	return 1 / float64(1+s.Intn(10))
}

// updateList changes some endpoints at random and passes the list to the instance.
func (s *simulation) updateList(kind ListKind) {
	var members []Member
	for id := EndpointID(1); id <= 8; id++ {
		member := s.members[id]
		switch s.Intn(12) {
		case 0:
			member.Status = Draining
		case 1:
			member.Status = Removed
		case 2:
			member.Status, member.Started = Ready, s.now
			delete(s.coldSuccesses, id)
		case 3:
			member.Status = Ready
		}
		member.ID, member.Weight, member.Zone, member.Cell = id, s.drawWeight(), Zone([]string{"a", "b"}[id%2]), Cell(id%4)
		s.members[id] = member
		members = append(members, member)
	}
	if s.Intn(20) == 0 && kind == ListFull {
		members = nil
	}
	s.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	listed := map[EndpointID]bool{}
	warm := 0
	for _, member := range members {
		listed[member.ID] = member.Status == Ready
		if member.Status == Ready && (member.Started == 0 || s.now >= member.Started+s.settings.ColdTime) {
			warm++
		}
	}
	s.fewestWarm = min(s.fewestWarm, warm)
	for id := range s.members {
		if _, was := s.leavingSince[id]; listed[id] {
			delete(s.leavingSince, id)
		} else if !was {
			s.leavingSince[id] = s.now
		}
	}
	s.balancer.UpdateEndpoints(s.now, kind, members)
}

// start starts a new incarnation of the instance. The requests of the earlier one are dropped.
func (s *simulation) start() {
	s.incarnation++
	s.shutdownBy = 0
	s.requests = map[Handle]*modelRequest{}
	s.leavingSince = map[EndpointID]Time{}
	s.balancer = New(s, s.settings, uint64(s.Int63()), s.now)
	if s.Intn(4) > 0 {
		s.updateList(ListSaved)
	}
}

// shutDown announces the end of the instance. All open requests must be answered before that.
func (s *simulation) shutDown() {
	by := s.now + 300*Millisecond
	s.balancer.Shutdown(s.now, by)
	for _, r := range s.requests {
		r.deadline = min(r.deadline, by)
	}
	s.shutdownBy = by
}

func (s *simulation) admit() {
	class := ClassID(s.Intn(len(s.settings.Classes)))
	key := ""
	if s.Intn(5) > 0 {
		key = fmt.Sprint("key", s.Intn(20))
	}
	timeLeft := Time(s.Int63n(int64(2 * Second)))
	if s.Intn(20) == 0 {
		timeLeft = Millisecond
	}
	handle := s.balancer.Admit(s.now, class, TenantID(s.Intn(2)), key, s.Intn(5) == 0, timeLeft)
	s.requests[handle] = &modelRequest{class: s.settings.Classes[class], deadline: s.now + timeLeft}
	if s.shutdownBy > 0 {
		s.requests[handle].deadline = min(s.now+timeLeft, s.shutdownBy)
	}
	s.balancer.Begin(s.now, handle)
	if s.Intn(30) == 0 {
		s.schedule(timeLeft/2, func() {
			if r := s.requests[handle]; !r.answered {
				r.answered = true
				s.balancer.ClientLeft(s.now, handle)
			}
		})
	}
}

// simulate runs a random history of 20 s, or until a rule is violated, and returns the simulation.
func simulate(seed int64) *simulation {
	random := rand.New(rand.NewSource(seed))
	s := &simulation{Rand: random, now: 100 * Second, members: map[EndpointID]Member{}, coldAttempts: map[EndpointID][]Time{}, coldSuccesses: map[EndpointID][]Time{},
		eventCounts: map[string]int{}, fewestWarm: 8, settings: &Settings{
			Instances: 1 + random.Intn(4), Zone: "a", Tenants: []Tenant{{"x", 20}, {"y", 20}}, OverQuotaValue: 0.05,
			TotalQuota: 40, Zones: 2,
			PollList: random.Intn(2) == 0, PollWithin: 10 * Second, MayCancel: true, MaxAttempts: 3, MaxRetryAfter: Second,
			FixedWeights: random.Intn(2) == 0, StreamsPerConnection: 1 + 99*random.Intn(2),
			CrossZonePrice: 0.1 * float64(random.Intn(2)), Tick: 5 * Millisecond, ColdCapacity: 0.1 + random.Float64()/4,
			ColdTime: 20 * Second, OverloadMultiple: 3, Classes: []Class{
				{Name: "r", Value: 5, Target: Second / 2, Deadline: 2 * Second},
				{Name: "n", LateValue: 0.2, Target: Second / 2, Idempotency: Keyed, Window: Second / 2},
				{Name: "z", LateValue: 0.2, Target: Second / 2, Idempotency: Keyed, Group: GroupZone, Window: Second / 2},
				{Name: "c", LateValue: 0.2, Target: Second / 2, Idempotency: Keyed, Group: GroupCell, Window: Second},
				{Name: "o", LateValue: 0.2, Target: Second / 2, Idempotency: NonIdempotent}}}}
	s.start()
	for end := s.now + 20*Second; s.now < end && s.violation == ""; {
		next := s.now + Time(s.Int63n(int64(20*Millisecond)))
		for {
			due := -1
			for i, e := range s.events {
				if e.at <= next && (due < 0 || e.at < s.events[due].at) {
					due = i
				}
			}
			if due < 0 {
				break
			}
			e := s.events[due]
			s.events = slices.Delete(s.events, due, due+1)
			s.now = max(s.now, e.at)
			e.do()
		}
		s.now = next
		for _, r := range s.requests {
			if !r.answered && s.now > r.deadline+20*Millisecond {
				s.fail("rule 1: request was not answered before its deadline")
			}
		}
		switch draw := s.Intn(200); {
		case draw == 0 && s.Intn(2) == 0:
			// A successor process takes over with the learned state.
			old := s.balancer.ExportState(s.now)
			s.start()
			s.updateList(ListFull)
			s.balancer.ImportState(s.now, old)
			s.eventCounts["successor"]++
		case draw == 0:
			s.start()
		case draw == 1 && s.now > end-Second:
			s.shutDown()
		case draw < 4:
			s.updateList([]ListKind{ListFull, ListChanges}[s.Intn(2)])
		case draw < 150:
			s.admit()
		}
	}
	return s
}
