package emulator

import (
	"math"
	"math/rand/v2"
	"strconv"

	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// rateNow is the rate at which requests come to the instance, a second.
func (s *instance) rateNow() float64 {
	w := s.world
	r := w.rate * s.loadShare * w.burstFactor
	if w.scenario.Load.Swing > 0 {
		r *= 1 + w.scenario.Load.Swing*math.Sin(2*math.Pi*float64(w.now-dayStart)/float64(w.scenario.Load.Period))
	}
	if w.scenario.Load.RateVariation > 0 {
		if w.now >= s.gustUntil {
			s.gust, s.gustUntil = logNormal(s.gustDraws, w.scenario.Load.RateVariation), w.now+policy.Second
		}
		r *= s.gust
	}
	return r
}

// planArrival draws the time of the next request by thinning: arrivals are drawn at the highest possible rate, and
// some are dropped.
func (s *instance) planArrival() {
	w := s.world
	if w.now >= dayStart+w.scenario.Length {
		return
	}
	maxRate := w.rate * s.loadShare * max(1, w.burstFactor) * (1 + w.scenario.Load.Swing)
	if w.scenario.Load.RateVariation > 0 {
		maxRate *= 4
	}
	gap := s.arrivalDraws.ExpFloat64() / max(maxRate, 1e-9)
	if gap > 3600 {
		gap = 3600
	}
	// A burst that begins in between would be noticed late where requests are rare, so no gap is longer than a second.
	counts := int32(1)
	if gap > 1 {
		gap, counts = 1, 0
	}
	w.queue.add(
		event{
			at:   w.now + policy.Time(gap*float64(policy.Second)),
			rank: rankArrive,
			do:   (*World).arrival,
			a:    int32(s.number),
			b:    counts,
			c:    math.Float64bits(maxRate),
		},
	)
}

func (w *World) arrival(e *event) {
	s := w.instances[e.a]
	maxRate := math.Float64frombits(e.c)
	if e.b == 1 && s.arrivalDraws.Float64()*maxRate < s.rateNow() && w.now < dayStart+w.scenario.Length {
		r := w.newRequest()
		q := &w.requests[r]
		q.instance = e.a
		q.class = policy.ClassID(pickBy(w.classShares, s.classDraws.Float64()))
		q.tenant = policy.NoTenant
		if len(w.tenantShares) > 0 {
			q.tenant = policy.TenantID(pickBy(w.tenantShares, s.classDraws.Float64()))
		}
		if s.keyDraws.Float64() >= w.scenario.Load.Keyless {
			q.key = w.keys.draw(s.keyDraws)
		}
		if w.hotKeyShare > 0 && s.keyDraws.Float64() < w.hotKeyShare {
			q.key = 1 << 40
		}
		w.drawSizes(q, s.sizeDraws)
		q.deadline = w.now + w.scenario.Classes[q.class].Deadline
		w.beginRequest(r)
	}
	s.planArrival()
}

// drawSizes draws what a request costs.
func (w *World) drawSizes(q *request, r *rand.Rand) {
	o := &w.scenario.Classes[q.class]
	q.workFactor, q.ioFactor = logNormal(r, o.Spread), logNormal(r, o.Spread)
}

// recordedArrival plays a request of a recorded day and plans the next.
func (w *World) recordedArrival(e *event) {
	a := &w.scenario.Arrivals[e.a]
	r := w.newRequest()
	q := &w.requests[r]
	q.instance = int32(a.Instance % len(w.instances))
	q.class = a.Class
	q.tenant = a.Tenant
	q.key = a.Key
	q.markedRetry = a.Retry
	if q.workFactor, q.ioFactor = a.WorkFactor, a.IOFactor; a.WorkFactor == 0 {
		w.drawSizes(q, w.instances[q.instance].sizeDraws)
	}
	q.deadline = w.now + a.TimeLeft
	w.beginRequest(r)
	if next := int(e.a) + 1; next < len(w.scenario.Arrivals) {
		w.queue.add(
			event{
				at:   max(w.now, dayStart+w.scenario.Arrivals[next].At),
				rank: rankArrive,
				do:   (*World).recordedArrival,
				a:    int32(next),
			},
		)
	}
}

func (w *World) newRequest() int32 {
	if n := len(w.freeRequests); n > 0 {
		r := w.freeRequests[n-1]
		w.freeRequests = w.freeRequests[:n-1]
		w.requests[r] = request{inUse: true, at: w.now}
		return r
	}
	w.requests = append(w.requests, request{inUse: true, at: w.now})
	return int32(len(w.requests) - 1)
}

// beginRequest reports a new request to the judge and sends its first try.
func (w *World) beginRequest(r int32) {
	q := &w.requests[r]
	if w.plan != nil {
		*w.plan = append(
			*w.plan,
			Arrival{At: w.sinceStart(w.now), Instance: int(q.instance), Class: q.class, Tenant: q.tenant,
				Key: q.key, TimeLeft: q.deadline - w.now, WorkFactor: q.workFactor, IOFactor: q.ioFactor},
		)
		q.inUse = false
		w.freeRequests = append(w.freeRequests, r)
		return
	}
	q.judged = w.judge.ClientRequestBegun(
		w.sinceStart(w.now),
		q.class,
		q.tenant,
		w.values.Value(w.now, q.class, q.tenant),
	)
	w.sendTry(r)
}

// sendTry sends a try to the request's instance.
func (w *World) sendTry(r int32) {
	q := &w.requests[r]
	q.tries++
	w.queue.add(event{at: w.now + w.scenario.Network.Client, rank: rankArrive, do: (*World).tryArrived, a: r})
}

// tryArrived runs when a try has reached its instance.
func (w *World) tryArrived(e *event) {
	q := &w.requests[e.a]
	s := w.instances[q.instance]
	if w.now >= q.deadline {
		w.endRequest(e.a) // its client has stopped waiting meanwhile
		return
	}
	if !s.alive {
		w.retryLater(e.a, true, 0)
		return
	}
	i := w.newTry()
	id := w.tries[i].attemptID
	w.tries[i] = clientTry{
		inUse:               true,
		clientWaiting:       true,
		request:             e.a,
		instance:            s,
		instanceIncarnation: s.incarnation,
		deadline:            q.deadline,
		arrivedAt:           w.now,
		attemptID:           id,
		job:                 machine.NoJob,
	}
	t := &w.tries[i]
	t.judged = w.judge.RequestAccepted(w.sinceStart(w.now), q.judged, s.number, q.class, w.sinceStart(q.deadline))
	w.queue.add(event{at: q.deadline, rank: rankDeadline, do: (*World).deadlinePassed, a: i})
	w.judge.SetKey(t.judged, q.key)
	key := ""
	if q.key != 0 {
		key = keyText(q.key)
	}
	repeat := w.scenario.Clients.MarkRetries && q.tries > 1 || q.markedRetry
	t.handle = s.decider.Admit(w.now, q.class, q.tenant, key, repeat, q.deadline-w.now)
	for len(s.tries) <= t.handle.Index() {
		s.tries = append(s.tries, -1)
	}
	s.tries[t.handle.Index()] = i
	s.decider.Begin(w.now, t.handle)
}

// newTry returns the index of an unused try.
func (w *World) newTry() int32 {
	if n := len(w.freeTry); n > 0 {
		i := w.freeTry[n-1]
		w.freeTry = w.freeTry[:n-1]
		return i
	}
	w.tries = append(w.tries, clientTry{})
	return int32(len(w.tries) - 1)
}

func keyText(key uint64) string { return "k" + strconv.FormatUint(key, 36) }

func parseKey(text string) uint64 {
	n, _ := strconv.ParseUint(text[1:], 36, 64)
	return n
}

// deadlinePassed runs when a client stops waiting.
func (w *World) deadlinePassed(e *event) {
	t := &w.tries[e.a]
	r := t.request
	w.judge.DeadlinePassed(w.sinceStart(w.now), t.judged, w.requests[r].judged)
	t.deadlinePassed = true
	if t.clientWaiting {
		t.clientWaiting = false
		if t.instance.alive && t.instance.incarnation == t.instanceIncarnation {
			t.instance.decider.ClientLeft(w.now, t.handle)
		}
		w.endRequest(r)
	}
	w.releaseTry(e.a)
}

// releaseTry makes the place of a try free once nothing more can happen to it.
func (w *World) releaseTry(i int32) {
	t := &w.tries[i]
	if t.inUse && t.deadlinePassed && !t.inFlight && !t.clientWaiting {
		t.inUse = false
		w.freeTry = append(w.freeTry, i)
	}
}

// endRequest ends a request for its client.
func (w *World) endRequest(r int32) {
	q := &w.requests[r]
	if q.inUse {
		q.inUse = false
		w.judge.ClientRequestEnded(q.judged)
		w.freeRequests = append(w.freeRequests, r)
	}
}

// retryLater has a client retry, if it does: after Retry-After or after a backoff that doubles, with jitter.
func (w *World) retryLater(r int32, harmless bool, advice policy.Time) {
	q := &w.requests[r]
	o := &w.scenario.Classes[q.class]
	if q.tries > w.scenario.Clients.Retries || !harmless && o.Idempotency == policy.NonIdempotent {
		w.endRequest(r)
		return
	}
	pause := policy.Time(float64(w.scenario.Clients.Backoff<<(q.tries-1)) * (0.5 + w.draws.retries.Float64()))
	if w.draws.retries.Float64() < w.scenario.Clients.HonourRetryAfter {
		pause = max(pause, advice)
	}
	if w.now+pause >= q.deadline {
		w.endRequest(r)
		return
	}
	w.queue.add(event{at: w.now + pause, rank: rankArrive, do: (*World).retry, a: r})
}

func (w *World) retry(e *event) { w.sendTry(e.a) }
