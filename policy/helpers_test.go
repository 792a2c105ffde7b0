package policy

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
)

// modelAttempt is one attempt as the plain model records it.
type modelAttempt struct {
	endpoint   EndpointID
	sentAt     Time
	inFlight   bool
	mayHaveRun bool // may have run
}

// modelRequest is one request as the plain model records it.
type modelRequest struct {
	class    Class
	deadline Time
	answered bool
	attempts []modelAttempt
}

// event is something still to happen.
type event struct {
	at Time
	do func()
}

// simulation is the surroundings of one instance and the slow, plain model of the four rules: every action is
// checked against the whole history, with nothing recorded but what happened.
type simulation struct {
	*rand.Rand
	now           Time
	settings      *Settings
	balancer      *Balancer
	incarnation   int // counts restarts; events of an earlier incarnation are void
	requests      map[Handle]*modelRequest
	members       map[EndpointID]Member
	leavingSince  map[EndpointID]Time // when this incarnation was notified that an endpoint leaves
	coldAttempts  map[EndpointID][]Time
	successes     []Time
	coldSuccesses map[EndpointID][]Time // successful by a cold endpoint since it started
	fewestWarm    int                   // fewest warm endpoints so far
	events        []event
	trace         strings.Builder
	violation     string
	shutdownBy    Time // end of this incarnation; 0: none
	eventCounts   map[string]int
}

func (w *simulation) fail(format string, a ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %d: ", w.now) + fmt.Sprintf(format, a...)
	}
}

func (w *simulation) schedule(d Time, do func()) {
	incarnation := w.incarnation
	w.events = append(w.events, event{w.now + d, func() {
		if incarnation == w.incarnation {
			do()
		}
	}})
}

func (w *simulation) openRequest(h Handle) *modelRequest {
	r := w.requests[h]
	if r == nil || r.answered {
		w.fail("rule 1: action for a request that is not open")
		return &modelRequest{}
	}
	return r
}

func (w *simulation) Attempt(h Handle, id EndpointID, wait Time) {
	fmt.Fprintf(&w.trace, "attempt %d %d %d\n", h, id, wait)
	r, s := w.openRequest(h), w.members[id]
	if len(r.attempts) >= w.settings.MaxAttempts {
		w.fail("more attempts than allowed")
	}
	for _, p := range r.attempts {
		if p.inFlight {
			w.fail("two attempts in flight at once")
		}
	}
	if first := slices.IndexFunc(r.attempts, func(p modelAttempt) bool { return p.mayHaveRun }); first >= 0 {
		p, o := r.attempts[first], r.class
		was := w.members[p.endpoint]
		within := o.Group == GroupAll || o.Group == GroupZone && was.Zone == s.Zone ||
			o.Group == GroupCell && was.Cell == s.Cell
		if o.Idempotency == NonIdempotent || o.Idempotency == Keyed && (!within || w.now > p.sentAt+o.Window) {
			w.fail("rule 2: attempted again outside its group or window")
		}
	}
	if at, leaving := w.leavingSince[id]; leaving && w.now > at+Second {
		w.fail("rule 3: attempted to a leaving endpoint")
	}
	if s.Started > 0 && w.now < s.Started+w.settings.ColdTime {
		w.countColdAttempt(id, s)
	}
	if wait <= 0 || w.now+wait > r.deadline {
		w.fail("rule 1: a wait of %d with %d left", wait, r.deadline-w.now)
	}
	r.attempts = append(r.attempts, modelAttempt{endpoint: id, sentAt: w.now, inFlight: true})
	w.scheduleOutcome(h, r, len(r.attempts)-1, wait)
}

// maxPerSecond is how many of them fall into one second at most.
func maxPerSecond(all []Time) (most int) {
	for i, at := range all {
		n := 1
		for _, other := range all[:i] {
			if other > at-Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// countColdAttempt counts attempts to a cold endpoint against what a warm one, or it itself, was at most seen to
// serve.
func (w *simulation) countColdAttempt(id EndpointID, s Member) {
	w.coldAttempts[id] = append(w.coldAttempts[id], w.now)
	c := w.settings
	share := c.ColdCapacity + (1-c.ColdCapacity)*float64(w.now-s.Started)/float64(c.ColdTime)
	rate := max(share*0.25*float64(maxPerSecond(w.successes))/float64(max(1, w.fewestWarm)), 0.8*float64(maxPerSecond(w.coldSuccesses[id])))
	// A rate that forgets over three seconds is at most 1.2 times its busiest second.
	most := 1 + 1/float64(c.Instances) + c.OverloadMultiple*1.2*rate
	n := 0
	for _, at := range w.coldAttempts[id] {
		if at > w.now-Second {
			n++
		}
	}
	if float64(n) > most {
		w.fail("rule 4: %d attempts to a cold endpoint, %.1f allowed", n, most)
	}
}

// scheduleOutcome draws how an attempt ends, and when.
func (w *simulation) scheduleOutcome(h Handle, r *modelRequest, n int, wait Time) {
	o := Outcome(w.Intn(int(NotSent)))
	if w.Intn(3) > 0 {
		o = Succeeded
	}
	d := Time(w.Int63n(int64(300 * Millisecond)))
	if o == TimedOut || d > wait {
		o, d = TimedOut, wait
	}
	if o == TimedOut && w.Intn(4) == 0 {
		d += 10 * Second // a time-out that is lost until long after the deadline
	}
	w.schedule(d, func() {
		p := &r.attempts[n]
		p.inFlight = false
		switch o {
		case Errored, TimedOut, ConnectionLost, Cancelled:
			p.mayHaveRun = true
		case Succeeded:
			w.successes = append(w.successes, w.now)
			w.coldSuccesses[p.endpoint] = append(w.coldSuccesses[p.endpoint], w.now)
			r.answered = true
		}
		w.eventCounts[fmt.Sprint("outcome ", o)]++
		w.balancer.AttemptEnded(w.now, h, AttemptNo(n), p.endpoint, o, w.now-p.sentAt, r.answered)
	})
	for i := range r.attempts {
		// An attempt that is in flight may already be running.
		r.attempts[i].mayHaveRun = r.attempts[i].mayHaveRun || r.attempts[i].inFlight && i < n
	}
}

func (w *simulation) Reject(h Handle, _ Time) {
	fmt.Fprintf(&w.trace, "reject %d\n", h)
	w.eventCounts["rejected"]++
	r := w.openRequest(h)
	again := r.class.Idempotency == Idempotent || r.class.Idempotency == Keyed && r.class.Group == GroupAll
	for _, p := range r.attempts {
		if (p.mayHaveRun || p.inFlight) && !again {
			w.fail("rule 2: rejected though it may have run")
		}
	}
	r.answered = true
}

func (w *simulation) Fail(h Handle) {
	fmt.Fprintf(&w.trace, "fail %d\n", h)
	w.eventCounts["failed"]++
	w.openRequest(h).answered = true
}

func (w *simulation) Cancel(Handle, AttemptNo)  {}
func (w *simulation) Succeed(Handle, AttemptNo) {}
func (w *simulation) Log(string)                {}
func (w *simulation) Forget(EndpointID)         { w.eventCounts["forgotten"]++ }
func (w *simulation) Wake(in Time)              { w.schedule(in, func() { w.balancer.Woken(w.now) }) }

// Release must leave alone what carries something.
func (w *simulation) Release(id EndpointID) {
	w.eventCounts["released"]++
	for _, r := range w.requests {
		for _, p := range r.attempts {
			if p.inFlight && p.endpoint == id || w.settings.StreamsPerConnection <= 1 {
				w.fail("connections to endpoint %d released: an attempt is in flight, or they carry one request each", id)
			}
		}
	}
}

func (w *simulation) FollowList(bool) {
	w.schedule(100*Millisecond, func() {
		if w.Intn(3) == 0 {
			w.balancer.ListFailed(w.now)
		} else {
			w.updateList(ListFull)
		}
	})
}

// drawWeight is a weight: 1, or where it falls with load what an endpoint holding up to nine requests a core has
// left.
func (w *simulation) drawWeight() float64 {
	if w.settings.FixedWeights {
		return 1
	}
	return 1 / float64(1+w.Intn(10))
}

// updateList changes the fleet a little and notifies the instance.
func (w *simulation) updateList(kind ListKind) {
	var all []Member
	for id := EndpointID(1); id <= 8; id++ {
		m := w.members[id]
		switch w.Intn(12) {
		case 0:
			m.Status = Draining
		case 1:
			m.Status = Removed
		case 2:
			m.Status, m.Started = Ready, w.now
			delete(w.coldSuccesses, id)
		case 3:
			m.Status = Ready
		}
		m.ID, m.Weight, m.Zone, m.Cell = id, w.drawWeight(), Zone([]string{"a", "b"}[id%2]), Cell(id%4)
		w.members[id] = m
		all = append(all, m)
	}
	if w.Intn(20) == 0 && kind == ListFull {
		all = nil
	}
	w.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	listed := map[EndpointID]bool{}
	warm := 0
	for _, m := range all {
		listed[m.ID] = m.Status == Ready
		if m.Status == Ready && (m.Started == 0 || w.now >= m.Started+w.settings.ColdTime) {
			warm++
		}
	}
	w.fewestWarm = min(w.fewestWarm, warm)
	for id := range w.members {
		if _, was := w.leavingSince[id]; listed[id] {
			delete(w.leavingSince, id)
		} else if !was {
			w.leavingSince[id] = w.now
		}
	}
	w.balancer.UpdateEndpoints(w.now, kind, all)
}

// start starts an incarnation of the instance; requests of an earlier one are the clients' to retry.
func (w *simulation) start() {
	w.incarnation++
	w.shutdownBy = 0
	w.requests = map[Handle]*modelRequest{}
	w.leavingSince = map[EndpointID]Time{}
	w.balancer = New(w, w.settings, uint64(w.Int63()), w.now)
	if w.Intn(4) > 0 {
		w.updateList(ListSaved)
	}
}

// shutDown lets the instance end a little later: whatever is open must be answered by then.
func (w *simulation) shutDown() {
	by := w.now + 300*Millisecond
	w.balancer.Shutdown(w.now, by)
	for _, r := range w.requests {
		r.deadline = min(r.deadline, by)
	}
	w.shutdownBy = by
}

func (w *simulation) admit() {
	o := ClassID(w.Intn(len(w.settings.Classes)))
	key := ""
	if w.Intn(5) > 0 {
		key = fmt.Sprint("key", w.Intn(20))
	}
	left := Time(w.Int63n(int64(2 * Second)))
	if w.Intn(20) == 0 {
		left = Millisecond
	}
	h := w.balancer.Admit(w.now, o, TenantID(w.Intn(2)), key, w.Intn(5) == 0, left)
	w.requests[h] = &modelRequest{class: w.settings.Classes[o], deadline: w.now + left}
	if w.shutdownBy > 0 {
		w.requests[h].deadline = min(w.now+left, w.shutdownBy)
	}
	w.balancer.Begin(w.now, h)
	if w.Intn(30) == 0 {
		w.schedule(left/2, func() {
			if r := w.requests[h]; !r.answered {
				r.answered = true
				w.balancer.ClientLeft(w.now, h)
			}
		})
	}
}

// simulate runs a drawn history to its end and returns what was done, and the first rule broken.
func simulate(seed int64) *simulation {
	r := rand.New(rand.NewSource(seed))
	w := &simulation{Rand: r, now: 100 * Second, members: map[EndpointID]Member{}, coldAttempts: map[EndpointID][]Time{}, coldSuccesses: map[EndpointID][]Time{},
		eventCounts: map[string]int{}, fewestWarm: 8, settings: &Settings{
			Instances: 1 + r.Intn(4), Zone: "a", Tenants: []Tenant{{"x", 20}, {"y", 20}}, OverQuotaValue: 0.05,
			TotalQuota: 40, Zones: 2,
			PollList: r.Intn(2) == 0, PollWithin: 10 * Second, MayCancel: true, MaxAttempts: 3, MaxRetryAfter: Second,
			FixedWeights: r.Intn(2) == 0, StreamsPerConnection: 1 + 99*r.Intn(2),
			CrossZonePrice: 0.1 * float64(r.Intn(2)), Tick: 5 * Millisecond, ColdCapacity: 0.1 + r.Float64()/4,
			ColdTime: 20 * Second, OverloadMultiple: 3, Classes: []Class{
				{Name: "r", Value: 5, Target: Second / 2, Deadline: 2 * Second},
				{Name: "n", LateValue: 0.2, Target: Second / 2, Idempotency: Keyed, Window: Second / 2},
				{Name: "z", LateValue: 0.2, Target: Second / 2, Idempotency: Keyed, Group: GroupZone, Window: Second / 2},
				{Name: "c", LateValue: 0.2, Target: Second / 2, Idempotency: Keyed, Group: GroupCell, Window: Second},
				{Name: "o", LateValue: 0.2, Target: Second / 2, Idempotency: NonIdempotent}}}}
	w.start()
	for end := w.now + 20*Second; w.now < end && w.violation == ""; {
		next := w.now + Time(w.Int63n(int64(20*Millisecond)))
		for {
			due := -1
			for i, e := range w.events {
				if e.at <= next && (due < 0 || e.at < w.events[due].at) {
					due = i
				}
			}
			if due < 0 {
				break
			}
			e := w.events[due]
			w.events = slices.Delete(w.events, due, due+1)
			w.now = max(w.now, e.at)
			e.do()
		}
		w.now = next
		for _, r := range w.requests {
			if !r.answered && w.now > r.deadline+20*Millisecond {
				w.fail("rule 1: no answer before the deadline")
			}
		}
		switch k := w.Intn(200); {
		case k == 0 && w.Intn(2) == 0:
			// A new version follows, and goes on from what this one has learned.
			old := w.balancer.ExportState(w.now)
			w.start()
			w.updateList(ListFull)
			w.balancer.ImportState(w.now, old)
			w.eventCounts["successor"]++
		case k == 0:
			w.start()
		case k == 1 && w.now > end-Second:
			w.shutDown()
		case k < 4:
			w.updateList([]ListKind{ListFull, ListChanges}[w.Intn(2)])
		case k < 150:
			w.admit()
		}
	}
	return w
}
