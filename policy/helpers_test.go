package policy

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
)

// sent is one attempt as the plain model remembers it.
type sent struct {
	server EndpointID
	at     Time
	out    bool
	ran    bool // may have run
}

// openRequest is one request as the plain model remembers it.
type openRequest struct {
	offering Class
	cutOff   Time
	answered bool
	pushes   []sent
}

// event is something still to happen.
type event struct {
	at Time
	do func()
}

// world is the surroundings of one instance and the slow, plain model of the four rules: every action is
// checked against the whole history, with nothing remembered but what happened.
type world struct {
	*rand.Rand
	now      Time
	campaign *Settings
	b        *Balancer
	life     int // counts restarts; events of an earlier life are void
	requests map[Handle]*openRequest
	fleet    map[EndpointID]Member
	told     map[EndpointID]Time // when this life heard that an endpoint leaves
	colds    map[EndpointID][]Time
	honoured []Time
	byCold   map[EndpointID][]Time // successful by a cold endpoint since it started
	fewest   int                   // fewest warm endpoints so far
	events   []event
	trace    strings.Builder
	broken   string
	leaveBy  Time // end of this life; 0: not told
	kinds    map[string]int
}

func (w *world) fail(format string, a ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("at %d: ", w.now) + fmt.Sprintf(format, a...)
	}
}

func (w *world) after(d Time, do func()) {
	life := w.life
	w.events = append(w.events, event{w.now + d, func() {
		if life == w.life {
			do()
		}
	}})
}

func (w *world) open(h Handle) *openRequest {
	r := w.requests[h]
	if r == nil || r.answered {
		w.fail("rule 1: action for a request that is not open")
		return &openRequest{}
	}
	return r
}

func (w *world) Attempt(h Handle, id EndpointID, wait Time) {
	fmt.Fprintf(&w.trace, "push %d %d %d\n", h, id, wait)
	r, s := w.open(h), w.fleet[id]
	if len(r.pushes) >= w.campaign.MaxAttempts {
		w.fail("more attempts than allowed")
	}
	for _, p := range r.pushes {
		if p.out {
			w.fail("two attempts out at once")
		}
	}
	if first := slices.IndexFunc(r.pushes, func(p sent) bool { return p.ran }); first >= 0 {
		p, o := r.pushes[first], r.offering
		was := w.fleet[p.server]
		within := o.Group == GroupAll || o.Group == GroupZone && was.Zone == s.Zone ||
			o.Group == GroupCell && was.Cell == s.Cell
		if o.Idempotency == NonIdempotent || o.Idempotency == Keyed && (!within || w.now > p.at+o.Window) {
			w.fail("rule 2: attempted again outside its group or window")
		}
	}
	if at, leaving := w.told[id]; leaving && w.now > at+Second {
		w.fail("rule 3: attempted to a leaving endpoint")
	}
	if s.Started > 0 && w.now < s.Started+w.campaign.ColdTime {
		w.coldPush(id, s)
	}
	if wait <= 0 || w.now+wait > r.cutOff {
		w.fail("rule 1: a wait of %d with %d left", wait, r.cutOff-w.now)
	}
	r.pushes = append(r.pushes, sent{server: id, at: w.now, out: true})
	w.outcomeOf(h, r, len(r.pushes)-1, wait)
}

// busiest is how many of them fall into one second at most.
func busiest(all []Time) (most int) {
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

// coldPush counts attempts to a cold endpoint against what a warm one, or it itself, was at most seen to honour.
func (w *world) coldPush(id EndpointID, s Member) {
	w.colds[id] = append(w.colds[id], w.now)
	c := w.campaign
	share := c.ColdCapacity + (1-c.ColdCapacity)*float64(w.now-s.Started)/float64(c.ColdTime)
	rate := max(share*0.25*float64(busiest(w.honoured))/float64(max(1, w.fewest)), 0.8*float64(busiest(w.byCold[id])))
	// A rate that forgets over three seconds is at most 1.2 times its busiest second.
	most := 1 + 1/float64(c.Instances) + c.OverloadMultiple*1.2*rate
	n := 0
	for _, at := range w.colds[id] {
		if at > w.now-Second {
			n++
		}
	}
	if float64(n) > most {
		w.fail("rule 4: %d attempts to a cold endpoint, %.1f allowed", n, most)
	}
}

// outcomeOf draws how an attempt ends, and when.
func (w *world) outcomeOf(h Handle, r *openRequest, n int, wait Time) {
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
	w.after(d, func() {
		p := &r.pushes[n]
		p.out = false
		switch o {
		case Errored, TimedOut, ConnectionLost, Cancelled:
			p.ran = true
		case Succeeded:
			w.honoured = append(w.honoured, w.now)
			w.byCold[p.server] = append(w.byCold[p.server], w.now)
			r.answered = true
		}
		w.kinds[fmt.Sprint("outcome ", o)]++
		w.b.AttemptEnded(w.now, h, AttemptNo(n), p.server, o, w.now-p.at, r.answered)
	})
	for i := range r.pushes {
		// An attempt that is out may already be running.
		r.pushes[i].ran = r.pushes[i].ran || r.pushes[i].out && i < n
	}
}

func (w *world) Reject(h Handle, _ Time) {
	fmt.Fprintf(&w.trace, "back %d\n", h)
	w.kinds["turned back"]++
	r := w.open(h)
	again := r.offering.Idempotency == Idempotent || r.offering.Idempotency == Keyed && r.offering.Group == GroupAll
	for _, p := range r.pushes {
		if (p.ran || p.out) && !again {
			w.fail("rule 2: rejected though it may have run")
		}
	}
	r.answered = true
}

func (w *world) Fail(h Handle) {
	fmt.Fprintf(&w.trace, "give up %d\n", h)
	w.kinds["given up"]++
	w.open(h).answered = true
}

func (w *world) Cancel(Handle, AttemptNo)  {}
func (w *world) Succeed(Handle, AttemptNo) {}
func (w *world) Log(string)                {}
func (w *world) Forget(EndpointID)         { w.kinds["forgotten"]++ }
func (w *world) Wake(in Time)              { w.after(in, func() { w.b.Woken(w.now) }) }

// Release must leave alone what carries something.
func (w *world) Release(id EndpointID) {
	w.kinds["released"]++
	for _, r := range w.requests {
		for _, p := range r.pushes {
			if p.out && p.server == id || w.campaign.StreamsPerConnection <= 1 {
				w.fail("connections to endpoint %d released: an attempt is out, or they carry one request each", id)
			}
		}
	}
}

func (w *world) FollowList(bool) {
	w.after(100*Millisecond, func() {
		if w.Intn(3) == 0 {
			w.b.ListFailed(w.now)
		} else {
			w.list(ListFull)
		}
	})
}

// load is a weight: 1, or where it falls with load what an endpoint holding up to nine requests a core has left.
func (w *world) load() float64 {
	if w.campaign.FixedWeights {
		return 1
	}
	return 1 / float64(1+w.Intn(10))
}

// list changes the fleet a little and tells the instance.
func (w *world) list(kind ListKind) {
	var all []Member
	for id := EndpointID(1); id <= 8; id++ {
		m := w.fleet[id]
		switch w.Intn(12) {
		case 0:
			m.Status = Draining
		case 1:
			m.Status = Gone
		case 2:
			m.Status, m.Started = Ready, w.now
			delete(w.byCold, id)
		case 3:
			m.Status = Ready
		}
		m.ID, m.Weight, m.Zone, m.Cell = id, w.load(), Zone([]string{"a", "b"}[id%2]), Cell(id%4)
		w.fleet[id] = m
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
		if m.Status == Ready && (m.Started == 0 || w.now >= m.Started+w.campaign.ColdTime) {
			warm++
		}
	}
	w.fewest = min(w.fewest, warm)
	for id := range w.fleet {
		if _, was := w.told[id]; listed[id] {
			delete(w.told, id)
		} else if !was {
			w.told[id] = w.now
		}
	}
	w.b.UpdateEndpoints(w.now, kind, all)
}

// start begins a life of the instance; requests of an earlier one are the clients' to retry.
func (w *world) start() {
	w.life++
	w.leaveBy = 0
	w.requests = map[Handle]*openRequest{}
	w.told = map[EndpointID]Time{}
	w.b = New(w, w.campaign, uint64(w.Int63()), w.now)
	if w.Intn(4) > 0 {
		w.list(ListSaved)
	}
}

// leave lets the instance end a little later: whatever is open must be answered by then.
func (w *world) leave() {
	by := w.now + 300*Millisecond
	w.b.Shutdown(w.now, by)
	for _, r := range w.requests {
		r.cutOff = min(r.cutOff, by)
	}
	w.leaveBy = by
}

func (w *world) arrive() {
	o := ClassID(w.Intn(len(w.campaign.Classes)))
	key := ""
	if w.Intn(5) > 0 {
		key = fmt.Sprint("key", w.Intn(20))
	}
	left := Time(w.Int63n(int64(2 * Second)))
	if w.Intn(20) == 0 {
		left = Millisecond
	}
	h := w.b.Admit(w.now, o, TenantID(w.Intn(2)), key, w.Intn(5) == 0, left)
	w.requests[h] = &openRequest{offering: w.campaign.Classes[o], cutOff: w.now + left}
	if w.leaveBy > 0 {
		w.requests[h].cutOff = min(w.now+left, w.leaveBy)
	}
	w.b.Begin(w.now, h)
	if w.Intn(30) == 0 {
		w.after(left/2, func() {
			if r := w.requests[h]; !r.answered {
				r.answered = true
				w.b.ClientLeft(w.now, h)
			}
		})
	}
}

// play runs a drawn history to its end and returns what was done, and the first rule broken.
func play(seed int64) *world {
	r := rand.New(rand.NewSource(seed))
	w := &world{Rand: r, now: 100 * Second, fleet: map[EndpointID]Member{}, colds: map[EndpointID][]Time{}, byCold: map[EndpointID][]Time{},
		kinds: map[string]int{}, fewest: 8, campaign: &Settings{
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
	for end := w.now + 20*Second; w.now < end && w.broken == ""; {
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
			if !r.answered && w.now > r.cutOff+20*Millisecond {
				w.fail("rule 1: no answer before the deadline")
			}
		}
		switch k := w.Intn(200); {
		case k == 0 && w.Intn(2) == 0:
			// A new version follows, and goes on from what this one has learned.
			old := w.b.ExportState(w.now)
			w.start()
			w.list(ListFull)
			w.b.ImportState(w.now, old)
			w.kinds["follow"]++
		case k == 0:
			w.start()
		case k == 1 && w.now > end-Second:
			w.leave()
		case k < 4:
			w.list([]ListKind{ListFull, ListChanges}[w.Intn(2)])
		case k < 150:
			w.arrive()
		}
	}
	return w
}
