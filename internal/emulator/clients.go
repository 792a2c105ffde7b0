package emulator

import (
	"math"
	"math/rand/v2"
	"strconv"

	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// Clients: when they ask, what for, and whether they try again.

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
		q.offering = policy.ClassID(pick(w.cumShare, s.mix.Float64()))
		q.franchise = policy.NoTenant
		if len(w.cumFr) > 0 {
			q.franchise = policy.TenantID(pick(w.cumFr, s.mix.Float64()))
		}
		if s.keys.Float64() >= w.sc.Load.Keyless {
			q.key = w.keys.draw(s.keys)
		}
		if w.hot > 0 && s.keys.Float64() < w.hot {
			q.key = 1 << 40
		}
		w.dress(q, s.sizes)
		q.cutOff = w.now + w.sc.Offerings[q.offering].Deadline
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
	q.of = w.judge.ClientRequestBegun(w.day(w.now), q.offering, q.franchise, w.credit.Of(w.now, q.offering, q.franchise))
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
		job: machine.NoJob}
	t := &w.tries[i]
	t.of = w.judge.RequestAccepted(w.day(w.now), q.of, s.no, q.offering, w.day(q.cutOff))
	w.queue.add(event{at: q.cutOff, rank: rankCutOff, do: (*World).cutOff, a: i})
	w.judge.SetKey(t.of, q.key)
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
	w.judge.DeadlinePassed(w.day(w.now), t.of, w.requests[r].of)
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
		w.judge.ClientRequestEnded(q.of)
		w.freeReq = append(w.freeReq, r)
	}
}

// again has a client try once more, if it does: after what it was told, or after a pause that doubles, spread by half.
func (w *World) again(r int32, harmless bool, advice policy.Time) {
	q := &w.requests[r]
	o := &w.sc.Offerings[q.offering]
	if q.tries > w.sc.Clients.Retries || !harmless && o.Idempotency == policy.NonIdempotent {
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
