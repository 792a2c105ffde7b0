// Package judge looks at what crossed the wire and says whether the four rules held and what the service was worth. It knows
// nothing of the module's state, only what clients, servers, discovery and the network saw; it does no I/O.
package judge

import (
	"cmp"
	"fmt"
	"slices"

	"pepperlead/policy"
)

// Ticket is a ticket as the judge knows it; places are used again once its cut-off is over and no push is out.
type Ticket int32

// Request is what a client wants, over all its tries.
type Request int32

// Sidecar and Server count those of the fleet.
type (
	Sidecar int32
	Server  int32
)

// Answer is a final answer.
type Answer uint8

const (
	Honoured Answer = iota
	TurnedBack
	GivenUp
)

// Facts are what the judge must know of the fleet beforehand.
type Facts struct {
	Offerings []policy.Class
	Sidecars  int
	MaxPushes int
	Grace     policy.Time // for pushes after a server was told to drain or to be gone
	Fall      float64     // times what a cold server can do that make it fall over
	FallIn    policy.Time // within so long
	Length    policy.Time // of the day: requests begun later do not count
}

// Break is a rule that was broken.
type Break struct {
	Rule   int         `json:"rule"`
	At     policy.Time `json:"at_ns"`
	Ticket uint64      `json:"ticket,omitempty"` // its number, from 1 in the order of arrival
	What   string      `json:"what"`
}

func (b Break) String() string {
	return fmt.Sprintf("rule %d at %.6fs, ticket %d: %s", b.Rule, float64(b.At)/1e9, b.Ticket, b.What)
}

// mostBreaks are told one by one.
const mostBreaks = 50

type push struct {
	server Server
	zone   policy.Zone
	cell   policy.Cell
	at     policy.Time
	out    bool
	ran    bool // may have run
}

type ticket struct {
	inUse    bool
	gone     bool // its sidecar died, or its client left: nothing is owed
	answered bool
	passed   bool // its cut-off
	no       uint64
	sidecar  Sidecar
	offering policy.ClassID
	cutOff   policy.Time
	pushes   []push
	out      int
	key      uint64
}

type request struct {
	at        policy.Time
	offering  policy.ClassID
	franchise policy.TenantID
	credit    float64
	got       float64
	open      int // tries under way
	over      bool
}

// leaving is when a sidecar was told that a server drains or is gone, and when it was told of its start.
type told struct {
	leaving policy.Time // 0: it is not
	started policy.Time
}

type pressure struct {
	at   policy.Time
	work float64
}

// Judge watches one day.
type Judge struct {
	facts     Facts
	tickets   []ticket
	free      []Ticket
	requests  []request
	freeR     []Request
	numbered  uint64
	told      []map[Server]told // by sidecar
	press     map[Server][]pressure
	fallen    map[Server]policy.Time // start for which its fall was told
	breaks    []Break
	broken    [5]int
	seconds   []second
	byOff     []Share
	byFr      []Share
	answers   [3]int
	late      int
	pushes    int
	crossed   int
	requested int
	even      even
}

type second struct{ asked, got float64 }

// Share is credit asked for and credit got.
type Share struct {
	Name  string  `json:"name"`
	Asked float64 `json:"asked"`
	Got   float64 `json:"got"`
}

// Part is what was got of what was asked for; 1 where nothing was.
func (s Share) Part() float64 {
	if s.Asked <= 0 {
		return 1
	}
	return s.Got / s.Asked
}

// New makes a judge for a day.
func New(f Facts, franchises []string) *Judge {
	j := &Judge{facts: f, press: map[Server][]pressure{}, fallen: map[Server]policy.Time{}}
	for range f.Sidecars {
		j.told = append(j.told, map[Server]told{})
	}
	for _, o := range f.Offerings {
		j.byOff = append(j.byOff, Share{Name: o.Name})
	}
	for _, name := range franchises {
		j.byFr = append(j.byFr, Share{Name: name})
	}
	return j
}

func (j *Judge) fail(rule int, at policy.Time, no uint64, format string, a ...any) {
	j.broken[rule]++
	if len(j.breaks) < mostBreaks {
		j.breaks = append(j.breaks, Break{rule, at, no, fmt.Sprintf(format, a...)})
	}
}

// ---- requests and tickets ----

// Asked is told of a request when a client first sends it; credit is what an answer in time is worth.
func (j *Judge) Asked(at policy.Time, o policy.ClassID, f policy.TenantID, credit float64) Request {
	var r Request
	if n := len(j.freeR); n > 0 {
		r = j.freeR[n-1]
		j.freeR = j.freeR[:n-1]
	} else {
		r = Request(len(j.requests))
		j.requests = append(j.requests, request{})
	}
	j.requests[r] = request{at: at, offering: o, franchise: f, credit: credit}
	j.requested++
	return r
}

// Given is told that the client has given its request up, or has what it wants; no more tries will come.
func (j *Judge) Given(r Request) {
	j.requests[r].over = true
	j.close(r)
}

func (j *Judge) close(r Request) {
	q := &j.requests[r]
	if !q.over || q.open > 0 {
		return
	}
	if q.at < j.facts.Length {
		i := int(q.at / policy.Second)
		for len(j.seconds) <= i {
			j.seconds = append(j.seconds, second{})
		}
		j.seconds[i].asked += q.credit
		j.seconds[i].got += q.got
		j.byOff[q.offering].Asked += q.credit
		j.byOff[q.offering].Got += q.got
		if q.franchise >= 0 {
			j.byFr[q.franchise].Asked += q.credit
			j.byFr[q.franchise].Got += q.got
		}
	}
	j.freeR = append(j.freeR, r)
}

// Accepted is told of a try that a sidecar has taken in hand: the ticket. A final answer is owed before the cut-off.
func (j *Judge) Accepted(at policy.Time, r Request, s Sidecar, o policy.ClassID, cutOff policy.Time) Ticket {
	var t Ticket
	if n := len(j.free); n > 0 {
		t = j.free[n-1]
		j.free = j.free[:n-1]
	} else {
		t = Ticket(len(j.tickets))
		j.tickets = append(j.tickets, ticket{})
	}
	j.numbered++
	kept := j.tickets[t].pushes[:0]
	j.tickets[t] = ticket{inUse: true, no: j.numbered, sidecar: s, offering: o, cutOff: cutOff, pushes: kept}
	j.requests[r].open++
	return t
}

// Answered is told of a final answer. got says that the client's request has been honoured by it.
func (j *Judge) Answered(at policy.Time, t Ticket, r Request, a Answer) {
	k := &j.tickets[t]
	switch {
	case k.gone:
		return // nobody reads it
	case k.answered:
		j.fail(1, at, k.no, "a second final answer")
		return
	case at > k.cutOff:
		j.fail(1, at, k.no, "answered %v after its cut-off", span(at-k.cutOff))
	}
	o := &j.facts.Offerings[k.offering]
	if a == TurnedBack && !(o.Idempotency == policy.Idempotent || o.Idempotency == policy.Keyed && o.Group == policy.GroupAll) {
		// Its client comes again, with a ticket that no server can tell from another.
		for _, p := range k.pushes {
			if p.ran || p.out {
				j.fail(2, at, k.no, "turned back, though it may have run at server %d", p.server)
				break
			}
		}
	}
	k.answered = true
	j.answers[a]++
	q := &j.requests[r]
	if a == Honoured && q.got == 0 {
		switch {
		case at <= q.at+o.Target:
			q.got = q.credit
		default:
			j.late++
			q.got = q.credit * o.LateValue
		}
	}
	q.open--
	j.close(r)
	j.let(t)
}

// Passed is told of every ticket when its cut-off is over, whatever became of it: its client waits no longer.
func (j *Judge) Passed(at policy.Time, t Ticket, r Request) {
	k := &j.tickets[t]
	if !k.answered && !k.gone {
		j.fail(1, at, k.no, "no final answer before its cut-off")
		j.Left(t, r)
	}
	k.passed = true
	j.let(t)
}

// Left is told that a ticket's client is gone, or its sidecar: nothing is owed for it any more.
func (j *Judge) Left(t Ticket, r Request) {
	k := &j.tickets[t]
	if k.gone || k.answered {
		return
	}
	k.gone = true
	j.requests[r].open--
	j.close(r)
	j.let(t)
}

func (j *Judge) let(t Ticket) {
	k := &j.tickets[t]
	if k.inUse && (k.answered || k.gone) && k.passed && k.out == 0 {
		k.inUse = false
		j.free = append(j.free, t)
	}
}

// ---- pushes ----

// Pushed is told of a push when its first byte is sent, and gives its number.
func (j *Judge) Pushed(at policy.Time, t Ticket, to Server, zone policy.Zone, cell policy.Cell, crosses bool) int {
	k := &j.tickets[t]
	n := len(k.pushes)
	j.pushes++
	if at < j.facts.Length {
		j.even.push(at, to, k.key, k.no)
	}
	if crosses {
		j.crossed++
	}
	if k.answered || k.gone {
		j.fail(1, at, k.no, "pushed after its final answer")
	}
	if n >= j.facts.MaxPushes {
		j.fail(2, at, k.no, "push %d of %d allowed", n+1, j.facts.MaxPushes)
	}
	if k.out > 0 {
		j.fail(2, at, k.no, "two pushes out at once")
	}
	o := &j.facts.Offerings[k.offering]
	for _, p := range k.pushes {
		if !p.ran && !p.out {
			continue
		}
		switch {
		case o.Idempotency == policy.NonIdempotent:
			j.fail(2, at, k.no, "at-most-once, pushed to server %d though it may have run at server %d", to, p.server)
		case o.Idempotency == policy.Keyed && at > p.at+o.Window:
			j.fail(2, at, k.no, "pushed again %v after the first push that may have run, window %v", span(at-p.at), span(o.Window))
		case o.Idempotency == policy.Keyed && (o.Group == policy.GroupZone && p.zone != zone ||
			o.Group == policy.GroupCell && p.cell != cell):
			j.fail(2, at, k.no, "pushed to server %d, outside of the group of server %d where it may have run", to, p.server)
		default:
			continue
		}
		break
	}
	if w, is := j.told[k.sidecar][to]; is && w.leaving > 0 && at > w.leaving+j.facts.Grace {
		j.fail(3, at, k.no, "pushed to server %d, %v after its sidecar was told that it leaves", to, span(at-w.leaving))
	}
	k.pushes = append(k.pushes, push{server: to, zone: zone, cell: cell, at: at, out: true})
	k.out++
	return n
}

// Written is told that the last byte of a push has left its sidecar: from now on it may run.
func (j *Judge) Written(t Ticket, n int) { j.tickets[t].pushes[n].ran = true }

// Ended is told how a push ended for its sidecar; never: the wire shows that it has not run.
func (j *Judge) Ended(t Ticket, n int, never bool) {
	k := &j.tickets[t]
	p := &k.pushes[n]
	if !p.out {
		return
	}
	p.out = false
	p.ran = p.ran && !never
	k.out--
	j.let(t)
}

// ---- lists and cold servers ----

// Told is told that a list has come to a sidecar that names, or no longer names, a server.
func (j *Judge) Told(at policy.Time, s Sidecar, of Server, standing policy.EndpointStatus, started policy.Time) {
	w := j.told[s][of]
	if standing == policy.Ready {
		w.leaving = 0
	} else if w.leaving == 0 {
		w.leaving = max(at, 1)
	}
	w.started = max(w.started, started)
	j.told[s][of] = w
}

// Died is told that a sidecar has lost all that it knew.
func (j *Judge) Died(s Sidecar) { clear(j.told[s]) }

// Pressed is told of work, in ns of a core at speed 1, that reaches a server while it is cold; capacity is what it can do in a ns.
// Only work from sidecars that were told of its start counts: others cannot know.
func (j *Judge) Pressed(at policy.Time, s Sidecar, to Server, started policy.Time, work, capacity float64) {
	if j.told[s][to].started < started || j.facts.Fall == 0 {
		return
	}
	all := append(j.press[to], pressure{at, work})
	first := 0
	for all[first].at <= at-j.facts.FallIn {
		first++
	}
	all = slices.Delete(all, 0, first)
	j.press[to] = all
	sum := 0.0
	for _, p := range all {
		sum += p.work
	}
	if most := j.facts.Fall * capacity * float64(j.facts.FallIn); sum > most && j.fallen[to] != started {
		j.fallen[to] = started
		j.fail(4, at, 0, "server %d, cold, was sent %.1f times what it can do within %v, allowed %.1f", to,
			sum/(capacity*float64(j.facts.FallIn)), span(j.facts.FallIn), j.facts.Fall)
	}
}

// ---- the day ----

// Verdict is what a day came to.
type Verdict struct {
	Broken     [4]int  `json:"broken"` // by rule
	Breaks     []Break `json:"breaks,omitempty"`
	Service    float64 `json:"service"` // credit in time over credit asked for
	Worst10    float64 `json:"worst_10s"`
	Offerings  []Share `json:"offerings"`
	Franchises []Share `json:"franchises,omitempty"`
	Requests   int     `json:"requests"`
	Tickets    uint64  `json:"tickets"`
	Pushes     int     `json:"pushes"`
	Honoured   int     `json:"honoured"`
	TurnedBack int     `json:"turned_back"`
	GivenUp    int     `json:"given_up"`
	Late       int     `json:"late"`
	Crossed    float64 `json:"crossed"` // part of the pushes that went to another zone
	Even       Even    `json:"even"`
	Seconds    []Share `json:"seconds"`
}

// Kept tells whether no rule was broken.
func (v *Verdict) Kept() bool { return v.Broken == [4]int{} }

// Finish ends the day: what is still open counts as it stands.
func (j *Judge) Finish(at policy.Time) *Verdict {
	for i := range j.tickets {
		if k := &j.tickets[i]; k.inUse && !k.answered && !k.gone && at > k.cutOff {
			j.fail(1, at, k.no, "no final answer before its cut-off")
		}
	}
	v := &Verdict{Breaks: j.breaks, Offerings: j.byOff, Franchises: j.byFr, Requests: j.requested, Tickets: j.numbered,
		Pushes: j.pushes, Honoured: j.answers[Honoured], TurnedBack: j.answers[TurnedBack], GivenUp: j.answers[GivenUp], Late: j.late}
	slices.SortStableFunc(v.Breaks, func(a, b Break) int { return cmp.Compare(a.At, b.At) })
	copy(v.Broken[:], j.broken[1:])
	v.Even = j.even.finish()
	if j.pushes > 0 {
		v.Crossed = float64(j.crossed) / float64(j.pushes)
	}
	var whole second
	v.Worst10 = 1
	const wide = 10
	var win second
	for i, s := range j.seconds {
		whole.asked += s.asked
		whole.got += s.got
		v.Seconds = append(v.Seconds, Share{Asked: s.asked, Got: s.got})
		win.asked += s.asked
		win.got += s.got
		if i >= wide {
			win.asked -= j.seconds[i-wide].asked
			win.got -= j.seconds[i-wide].got
		}
		if i >= wide-1 && win.asked > 0 {
			v.Worst10 = min(v.Worst10, max(0, win.got/win.asked)) // sums of floats may fall a little under 0
		}
	}
	v.Service = Share{Asked: whole.asked, Got: whole.got}.Part()
	return v
}

type span policy.Time

func (s span) String() string { return fmt.Sprintf("%.3fs", float64(s)/1e9) }
