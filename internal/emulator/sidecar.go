package emulator

import (
	"math"
	"math/rand/v2"
	"strconv"

	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// request is what a client wants, over its tries.
type request struct {
	inUse     bool
	of        judge.Request
	offering  policy.OfferingID
	franchise policy.FranchiseID
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
	of      judge.Ticket
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
	no      judge.Sidecar
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
	base    *policy.Campaign
}

// view is what a sidecar was told of a server.
type view struct {
	standing policy.Standing
	started  policy.Time
}

func (w *World) newSidecar(no int, make Maker) *sidecar {
	s := &sidecar{w: w, no: judge.Sidecar(no), zone: w.sc.Zones[no%len(w.sc.Zones)], make: make, list: map[*server]view{},
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
				m.Standing, m.Started = is.standing, is.started
				all = append(all, m)
			}
		}
		if len(all) > 0 {
			s.decider.List(s.w.now, policy.ListSaved, all)
			for v, is := range s.list {
				s.w.judge.Told(s.w.day(s.w.now), s.no, v.no, is.standing, is.started)
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
	s.w.judge.Died(s.no)
	for i := range s.w.tries {
		t := &s.w.tries[i]
		if !t.inUse || t.sidecar != s {
			continue
		}
		if t.out {
			s.w.callOff(t)
			t.out = false
			t.server.out--
			s.w.judge.Ended(t.of, t.wire, false)
		}
		if t.owed {
			t.owed = false
			r := &s.w.requests[t.request]
			s.w.judge.Left(t.of, r.of)
			s.w.again(t.request, true, 0)
		}
		s.w.let(int32(i))
	}
	for no, idle := range s.conns {
		if v := s.w.servers[no]; len(idle) > 0 && !v.down {
			v.machine.Connected(s.w.now, -len(idle))
		}
	}
	clear(s.conns)
}

// ---- arrivals ----

// rateNow is the requests a second that come to a sidecar.
func (s *sidecar) rateNow() float64 {
	w := s.w
	r := w.rate * s.part * w.factor
	if w.sc.Load.Swing > 0 {
		r *= 1 + w.sc.Load.Swing*math.Sin(2*math.Pi*float64(w.now-start)/float64(w.sc.Load.Period))
	}
	if w.sc.Load.Bursts > 0 {
		if w.now >= s.gustAt {
			s.gust, s.gustAt = spread(s.swings, w.sc.Load.Bursts), w.now+policy.Second
		}
		r *= s.gust
	}
	return r
}

// nextArrival draws when the next request comes, by thinning: at the highest rate there may be, of which some are left out.
func (s *sidecar) nextArrival() {
	w := s.w
	if w.now >= start+w.sc.Length {
		return
	}
	most := w.rate * s.part * max(1, w.factor) * (1 + w.sc.Load.Swing)
	if w.sc.Load.Bursts > 0 {
		most *= 4
	}
	gap := s.arrive.ExpFloat64() / max(most, 1e-9)
	if gap > 3600 {
		gap = 3600
	}
	// A burst that begins in between would be seen late where requests are rare; so no gap is drawn beyond a second.
	keep := int32(1)
	if gap > 1 {
		gap, keep = 1, 0
	}
	w.queue.add(event{at: w.now + policy.Time(gap*float64(policy.Second)), rank: rankArrive, do: (*World).arrival, a: int32(s.no),
		b: keep, c: math.Float64bits(most)})
}

func (w *World) arrival(e *event) {
	s := w.sidecars[e.a]
	most := math.Float64frombits(e.c)
	if e.b == 1 && s.arrive.Float64()*most < s.rateNow() && w.now < start+w.sc.Length {
		r := w.newRequest()
		q := &w.requests[r]
		q.sidecar = e.a
		q.offering = policy.OfferingID(pick(w.cumShare, s.mix.Float64()))
		q.franchise = policy.NoFranchise
		if len(w.cumFr) > 0 {
			q.franchise = policy.FranchiseID(pick(w.cumFr, s.mix.Float64()))
		}
		if s.keys.Float64() >= w.sc.Load.Keyless {
			q.key = w.keys.draw(s.keys)
		}
		if w.hot > 0 && s.keys.Float64() < w.hot {
			q.key = 1 << 40
		}
		w.dress(q, s.sizes)
		q.cutOff = w.now + w.sc.Offerings[q.offering].CutOff
		w.ask(r)
	}
	s.nextArrival()
}

// dress draws what a request costs.
func (w *World) dress(q *request, r *rand.Rand) {
	o := &w.sc.Offerings[q.offering]
	q.size, q.sizeIO = spread(r, o.Spread), spread(r, o.Spread)
}

// recorded plays a request of a recorded day, and looks for the next.
func (w *World) recorded(e *event) {
	a := &w.sc.Arrivals[e.a]
	r := w.newRequest()
	q := &w.requests[r]
	q.sidecar = int32(a.Sidecar % len(w.sidecars))
	q.offering, q.franchise, q.key, q.repeat = a.Offering, a.Franchise, a.Key, a.Repeat
	if q.size, q.sizeIO = a.Size, a.SizeIO; a.Size == 0 {
		w.dress(q, w.sidecars[q.sidecar].sizes)
	}
	q.cutOff = w.now + a.Left
	w.ask(r)
	if next := int(e.a) + 1; next < len(w.sc.Arrivals) {
		w.queue.add(event{at: max(w.now, start+w.sc.Arrivals[next].At), rank: rankArrive, do: (*World).recorded, a: int32(next)})
	}
}

func (w *World) newRequest() int32 {
	if n := len(w.freeReq); n > 0 {
		r := w.freeReq[n-1]
		w.freeReq = w.freeReq[:n-1]
		w.requests[r] = request{inUse: true, at: w.now}
		return r
	}
	w.requests = append(w.requests, request{inUse: true, at: w.now})
	return int32(len(w.requests) - 1)
}

// ask has the judge know of a new request and sends its first try.
func (w *World) ask(r int32) {
	q := &w.requests[r]
	if w.planned != nil {
		*w.planned = append(*w.planned, Arrival{At: w.day(w.now), Sidecar: int(q.sidecar), Offering: q.offering, Franchise: q.franchise,
			Key: q.key, Left: q.cutOff - w.now, Size: q.size, SizeIO: q.sizeIO})
		q.inUse = false
		w.freeReq = append(w.freeReq, r)
		return
	}
	q.of = w.judge.Asked(w.day(w.now), q.offering, q.franchise, w.credit.Of(w.now, q.offering, q.franchise))
	w.send(r)
}

// send sends a try to the request's sidecar.
func (w *World) send(r int32) {
	q := &w.requests[r]
	q.tries++
	w.queue.add(event{at: w.now + w.sc.Network.Client, rank: rankArrive, do: (*World).reaches, a: r})
}

// reaches is a try as it comes whole to its sidecar.
func (w *World) reaches(e *event) {
	q := &w.requests[e.a]
	s := w.sidecars[q.sidecar]
	if w.now >= q.cutOff {
		w.over(e.a) // on its way its client has ceased to wait: nobody owes it anything
		return
	}
	if !s.alive {
		w.again(e.a, true, 0)
		return
	}
	var i int32
	if n := len(w.freeTry); n > 0 {
		i = w.freeTry[n-1]
		w.freeTry = w.freeTry[:n-1]
	} else {
		w.tries = append(w.tries, try{})
		i = int32(len(w.tries) - 1)
	}
	id := w.tries[i].pushID
	w.tries[i] = try{inUse: true, owed: true, request: e.a, sidecar: s, life: s.life, cutOff: q.cutOff, from: w.now, pushID: id,
		job: machine.None}
	t := &w.tries[i]
	t.of = w.judge.Accepted(w.day(w.now), q.of, s.no, q.offering, w.day(q.cutOff))
	w.queue.add(event{at: q.cutOff, rank: rankCutOff, do: (*World).cutOff, a: i})
	w.judge.About(t.of, q.key)
	key := ""
	if q.key != 0 {
		key = keyText(q.key)
	}
	repeat := w.sc.Clients.Marks && q.tries > 1 || q.repeat
	t.handle = s.decider.Admit(w.now, q.offering, q.franchise, key, repeat, q.cutOff-w.now)
	for len(s.tries) <= t.handle.Place() {
		s.tries = append(s.tries, -1)
	}
	s.tries[t.handle.Place()] = i
	s.decider.Begin(w.now, t.handle)
}

func keyText(key uint64) string { return "k" + strconv.FormatUint(key, 36) }

func keyOf(text string) uint64 {
	n, _ := strconv.ParseUint(text[1:], 36, 64)
	return n
}

// cutOff is when a client stops waiting.
func (w *World) cutOff(e *event) {
	t := &w.tries[e.a]
	r := t.request
	w.judge.Passed(w.day(w.now), t.of, w.requests[r].of)
	t.passed = true
	if t.owed {
		t.owed = false
		if t.sidecar.alive && t.sidecar.life == t.life {
			t.sidecar.decider.ClientLeft(w.now, t.handle)
		}
		w.over(r)
	}
	w.let(e.a)
}

// let gives a try back once nothing can come for it.
func (w *World) let(i int32) {
	t := &w.tries[i]
	if t.inUse && t.passed && !t.out && !t.owed {
		t.inUse = false
		w.freeTry = append(w.freeTry, i)
	}
}

// over ends a request for its client.
func (w *World) over(r int32) {
	q := &w.requests[r]
	if q.inUse {
		q.inUse = false
		w.judge.Given(q.of)
		w.freeReq = append(w.freeReq, r)
	}
}

// again has a client try once more, if it does: after what it was told, or after a pause that doubles, spread by half.
func (w *World) again(r int32, harmless bool, advice policy.Time) {
	q := &w.requests[r]
	o := &w.sc.Offerings[q.offering]
	if q.tries > w.sc.Clients.Retries || !harmless && o.Repeats == policy.AtMostOnce {
		w.over(r)
		return
	}
	pause := policy.Time(float64(w.sc.Clients.Backoff<<(q.tries-1)) * (0.5 + w.draws.retries.Float64()))
	if w.draws.retries.Float64() < w.sc.Clients.Heed {
		pause = max(pause, advice)
	}
	if w.now+pause >= q.cutOff {
		w.over(r)
		return
	}
	w.queue.add(event{at: w.now + pause, rank: rankArrive, do: (*World).retry, a: r})
}

func (w *World) retry(e *event) { w.send(e.a) }

// ---- the decider's front ----

func (s *sidecar) by(h policy.Handle) (int32, *try) {
	i := s.tries[h.Place()]
	return i, &s.w.tries[i]
}

// Push sends a push: on a connection that stands idle, or on a new one.
func (s *sidecar) Push(h policy.Handle, id policy.ServerID, wait policy.Time) {
	w := s.w
	i, t := s.by(h)
	v := w.byID[id]
	t.out, t.server, t.pushed, t.written, t.job = true, v, w.now, false, machine.None
	t.pushes++
	t.pushID++
	v.out++
	t.wire = w.judge.Pushed(w.day(w.now), t.of, v.no, v.zone, v.cell, v.zone != s.zone)
	w.queue.add(event{at: w.now + wait, rank: rankWait, do: (*World).timeOut, a: i, c: t.pushID})
	way := w.way(s.zone, v.zone)
	s.closeIdle(v)
	idle := s.idle(v)
	fresh := int32(0)
	if n := len(idle); n > 0 {
		idle = idle[:n-1]
	} else {
		fresh = 1
		switch {
		case v.dark():
			// Never comes up.
			w.queue.add(event{at: w.now + w.sc.Network.ConnectIn, rank: rankEnd, do: (*World).notConnected, a: i, c: t.pushID})
			s.conns[v.no] = idle
			return
		case v.down:
			w.queue.add(event{at: w.now + 2*way, rank: rankEnd, do: (*World).notConnected, a: i, c: t.pushID})
			s.conns[v.no] = idle
			return
		}
		way += 2 * way * policy.Time(w.sc.Network.Handshakes)
	}
	s.conns[v.no] = idle
	w.queue.add(event{at: w.now + way, rank: rankArrive, do: (*World).atServer, a: i, b: fresh, c: t.pushID})
	if fresh == 0 {
		t.written = true // the kernel has it
		w.judge.Written(t.of, t.wire)
	}
}

func (s *sidecar) idle(v *server) []policy.Time {
	for len(s.conns) <= int(v.no) {
		s.conns = append(s.conns, nil)
	}
	return s.conns[v.no]
}

// closeIdle closes the connections to a server that have stood idle for too long. The server closes them, whether or not the instance
// has anything more for it.
func (s *sidecar) closeIdle(v *server) {
	idle := s.idle(v)
	for len(idle) > 0 && s.w.now-idle[0] >= s.w.sc.Network.IdleFor {
		idle = idle[1:]
		v.machine.Connected(s.w.now, -1)
	}
	s.conns[v.no] = idle
}

func (w *World) idleFor(e *event) { w.sidecars[e.a].closeIdle(w.servers[e.b]) }

// Cancel calls a push off.
func (s *sidecar) Cancel(h policy.Handle, n policy.PushNo) {
	i, t := s.by(h)
	if t.out && int(n) == t.pushes-1 {
		s.w.queue.add(event{at: s.w.now, rank: rankEnd, do: (*World).calledOff, a: i, c: t.pushID})
	}
}

// Honour, TurnBack and GiveUp are final answers: they reach the client after the way back.
func (s *sidecar) Honour(h policy.Handle, _ policy.PushNo) { s.answer(h, judge.Honoured, 0) }
func (s *sidecar) TurnBack(h policy.Handle, retryIn policy.Time) {
	s.answer(h, judge.TurnedBack, retryIn)
}
func (s *sidecar) GiveUp(h policy.Handle) { s.answer(h, judge.GivenUp, 0) }

func (s *sidecar) answer(h policy.Handle, a judge.Answer, retryIn policy.Time) {
	w := s.w
	i, t := s.by(h)
	if !t.owed {
		// Told to the judge all the same: a second answer is a broken rule.
		w.judge.Answered(w.day(w.now), t.of, w.requests[t.request].of, a)
		return
	}
	t.owed, t.answer, t.retryIn = false, a, retryIn
	r := t.request
	w.judge.Answered(w.day(w.now), t.of, w.requests[r].of, a)
	if w.sample != nil {
		w.sample.Answer(w.requests[r].offering, a, w.now-t.from)
	}
	w.queue.add(event{at: w.now + w.sc.Network.Client, rank: rankAnswer, do: (*World).heard, a: r, b: int32(a), c: uint64(retryIn)})
	w.let(i)
}

// heard is a final answer as it comes to the client.
func (w *World) heard(e *event) {
	switch judge.Answer(e.b) {
	case judge.Honoured:
		w.over(e.a)
	case judge.TurnedBack:
		w.again(e.a, true, policy.Time(e.c))
	default:
		w.again(e.a, false, 0)
	}
}

// Wake plans a call of the decider.
func (s *sidecar) Wake(in policy.Time) {
	at := s.w.now + max(in, 1)
	if s.wakeAt != 0 && s.wakeAt <= at {
		return
	}
	s.wakeAt = at
	s.w.queue.add(event{at: at, rank: rankWake, do: (*World).wake, a: int32(s.no), b: int32(s.life)})
}

func (w *World) wake(e *event) {
	s := w.sidecars[e.a]
	if s.alive && s.life == int(e.b) && s.wakeAt == w.now {
		s.wakeAt = 0
		s.decider.Woken(w.now)
	}
}

// FollowList begins or ends asking for the list.
func (s *sidecar) FollowList(on bool) {
	if s.follows = on; on {
		s.w.catchUp(s)
	}
}

func (s *sidecar) Release(policy.ServerID) {}
func (s *sidecar) Forget(policy.ServerID)  {}
func (s *sidecar) Log(string)              {}

// ---- what becomes of a push ----

// current gives the try if the push that an event speaks of is the one that is out.
func (w *World) current(e *event) *try {
	t := &w.tries[e.a]
	if !t.inUse || !t.out || t.pushID != e.c {
		return nil
	}
	return t
}

// atServer is a push as its last byte reaches the server.
func (w *World) atServer(e *event) {
	t := w.current(e)
	if t == nil {
		return // cut off on its way: it never reaches the server whole
	}
	v := t.server
	if e.b == 1 && !v.dark() && !v.down {
		if !v.machine.TakesConnection() {
			w.queue.add(event{at: w.now + w.way(v.zone, t.sidecar.zone), rank: rankEnd, do: (*World).notConnected, a: e.a, c: e.c})
			return
		}
		v.machine.Connected(w.now, 1)
	}
	if !t.written {
		if v.dark() {
			return // the connection never came up; the time-out finds it
		}
		t.written = true
		w.judge.Written(t.of, t.wire)
	}
	switch {
	case v.dark():
		return // nobody hears it
	case v.down:
		w.queue.add(event{at: w.now + w.way(v.zone, t.sidecar.zone), rank: rankEnd, do: (*World).reset, a: e.a, c: e.c})
		return
	}
	q := &w.requests[t.request]
	o := &w.sc.Offerings[q.offering]
	work := policy.Time(float64(o.Work) * q.size)
	v.touch()
	if v.machine.Cold(w.now) && v.traits.Fall > 0 {
		w.judge.Pressed(w.day(w.now), t.sidecar.no, v.no, v.started, float64(work), v.traits.Cores*v.traits.Speed*v.machine.Warmth(w.now))
	}
	if v.standing != policy.Ready {
		w.back(e.a, t, policy.TurnedAway)
		return
	}
	job, in := v.machine.Arrive(w.now, uint64(e.a)<<32|e.c&math.MaxUint32, q.key, work, policy.Time(float64(o.IO)*q.sizeIO), e.b == 1)
	if v.machine.Fell() {
		v.fall()
		return
	}
	if !in {
		w.back(e.a, t, policy.TurnedAway)
		return
	}
	t.job, t.life2 = job, v.life
	v.touch()
}

// fall is a cold server that was sent too much: it is down, and comes back cold after a while.
func (s *server) fall() {
	s.stop()
	s.w.noticed(s, policy.Gone, false)
	s.w.queue.add(event{at: s.w.now + 20*policy.Second, rank: rankWorld, do: (*World).revive, a: int32(s.no), c: uint64(s.life)})
}

func (w *World) revive(e *event) {
	if v := w.servers[e.a]; v.down && uint64(v.life) == e.c && v.standing != policy.Gone {
		v.begin()
		w.noticed(v, policy.Ready, true)
	}
}

// back sends a server's answer on its way.
func (w *World) back(i int32, t *try, o policy.Outcome) {
	w.queue.add(event{at: w.now + w.way(t.server.zone, t.sidecar.zone), rank: rankEnd, do: (*World).result, a: i, b: int32(o), c: t.pushID})
}

// finished is a server's job that is done.
func (w *World) finished(v *server, d machine.Done) {
	i := int32(d.Of >> 32)
	t := &w.tries[i]
	q := &w.requests[t.request]
	work := float64(w.sc.Offerings[q.offering].Work)
	w.work += work
	if !t.inUse || !t.out || t.pushID&math.MaxUint32 != d.Of&math.MaxUint32 || t.server != v {
		w.wasted += work
		return
	}
	t.job = machine.None
	o := policy.Honoured
	if p := max(v.errors, v.kind.Errors); p > 0 && w.draws.errors.Float64() < p {
		o = policy.Errored
	}
	w.back(i, t, o)
}

// result is a server's answer as it comes to the sidecar.
func (w *World) result(e *event) {
	if t := w.current(e); t != nil {
		if t.server.dark() {
			return // lost on the way
		}
		t.sidecar.conns[t.server.no] = append(t.sidecar.idle(t.server), w.now)
		w.queue.add(event{at: w.now + w.sc.Network.IdleFor, rank: rankWorld, do: (*World).idleFor, a: int32(t.sidecar.no), b: int32(t.server.no)})
		w.end(e.a, t, policy.Outcome(e.b))
	}
}

// reset is a connection that breaks under a push.
func (w *World) reset(e *event) {
	if t := w.current(e); t != nil {
		if t.written {
			w.end(e.a, t, policy.ConnBroke)
		} else {
			w.end(e.a, t, policy.NotConnected)
		}
	}
}

func (w *World) notConnected(e *event) {
	if t := w.current(e); t != nil {
		w.end(e.a, t, policy.NotConnected)
	}
}

func (w *World) timeOut(e *event) {
	if t := w.current(e); t != nil {
		w.callOff(t)
		if t.written {
			w.end(e.a, t, policy.TimedOut)
		} else {
			w.end(e.a, t, policy.NotConnected)
		}
	}
}

func (w *World) calledOff(e *event) {
	if t := w.current(e); t != nil {
		w.callOff(t)
		w.end(e.a, t, policy.CalledOff)
	}
}

// callOff closes a push's connection: the server drops what it can.
func (w *World) callOff(t *try) {
	v := t.server
	if t.written && !v.dark() && !v.down {
		v.machine.Connected(w.now, -1)
	}
	if t.job == machine.None || t.life2 != v.life || v.dark() || v.kind.Cancel == CancelNothing {
		return
	}
	v.touch()
	if t.job != machine.None {
		v.machine.Cancel(w.now, t.job, v.kind.Cancel == CancelWaiting)
		t.job = machine.None
		v.touch()
	}
}

// end tells the decider how a push ended.
func (w *World) end(i int32, t *try, o policy.Outcome) {
	never := o == policy.TurnedAway || o == policy.NotConnected || o == policy.NotSent
	t.out = false
	t.server.out--
	w.judge.Ended(t.of, t.wire, never)
	s := t.sidecar
	n, id := policy.PushNo(t.pushes-1), t.server.id
	over := !t.owed
	s.decider.PushEnded(w.now, t.handle, n, id, o, w.now-t.pushed, over)
	w.let(i)
}
