package emulator

import (
	"math"
	"math/rand/v2"
	"strconv"

	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// rateNow returns the current rate of requests to the instance, per second.
func (inst *instance) rateNow() float64 {
	w := inst.world
	rate := w.rate * inst.loadShare * w.burstFactor
	if w.scenario.Load.Swing > 0 {
		rate *= 1 + w.scenario.Load.Swing*math.Sin(2*math.Pi*float64(w.now-startTime)/float64(w.scenario.Load.Period))
	}
	if w.scenario.Load.RateVariation > 0 {
		if w.now >= inst.rateFactorUntil {
			inst.rateFactor, inst.rateFactorUntil = logNormal(inst.rateDraws, w.scenario.Load.RateVariation),
				w.now+policy.Second
		}
		rate *= inst.rateFactor
	}
	return rate
}

// scheduleArrival draws the time of the next request. The rate varies, so it draws by thinning: arrivals are drawn at
// the highest possible rate, and arrival drops some of them.
func (inst *instance) scheduleArrival() {
	w := inst.world
	if w.now >= startTime+w.scenario.Length {
		return
	}
	maxRate := w.rate * inst.loadShare * max(1, w.burstFactor) * (1 + w.scenario.Load.Swing)
	if w.scenario.Load.RateVariation > 0 {
		maxRate *= 4
	}
	gap := inst.arrivalDraws.ExpFloat64() / max(maxRate, 1e-9)
	if gap > 3600 {
		gap = 3600
	}
	// Gaps are limited to a second, so that a rise of the rate, such as a burst, takes effect soon even if requests are
	// rare. At the end of a limited gap no request arrives.
	isRequest := int32(1)
	if gap > 1 {
		gap, isRequest = 1, 0
	}
	w.queue.add(
		event{
			at:   w.now + policy.Time(gap*float64(policy.Second)),
			rank: rankArrive,
			do:   (*World).arrival,
			a:    int32(inst.number),
			b:    isRequest,
			c:    math.Float64bits(maxRate),
		},
	)
}

// arrival begins a request, unless thinning drops it, and schedules the next arrival at the instance.
func (w *World) arrival(e *event) {
	inst := w.instances[e.a]
	maxRate := math.Float64frombits(e.c)
	if e.b == 1 && inst.arrivalDraws.Float64()*maxRate < inst.rateNow() && w.now < startTime+w.scenario.Length {
		requestIndex := w.newRequest()
		req := &w.requests[requestIndex]
		req.instance = e.a
		req.class = policy.ClassID(pickIndex(w.classShares, inst.classDraws.Float64()))
		req.tenant = policy.NoTenant
		if len(w.tenantShares) > 0 {
			req.tenant = policy.TenantID(pickIndex(w.tenantShares, inst.classDraws.Float64()))
		}
		if inst.keyDraws.Float64() >= w.scenario.Load.Keyless {
			req.key = w.keys.draw(inst.keyDraws)
		}
		if w.hotKeyShare > 0 && inst.keyDraws.Float64() < w.hotKeyShare {
			req.key = 1 << 40 // the hot key, which is never drawn otherwise
		}
		w.drawSizes(req, inst.sizeDraws)
		req.deadline = w.now + w.scenario.Classes[req.class].Deadline
		w.beginRequest(requestIndex)
	}
	inst.scheduleArrival()
}

// drawSizes draws the work and I/O time of a request.
func (w *World) drawSizes(req *request, r *rand.Rand) {
	class := &w.scenario.Classes[req.class]
	req.workFactor, req.ioFactor = logNormal(r, class.Spread), logNormal(r, class.Spread)
}

// recordedArrival begins a request of Scenario.Arrivals and schedules the next one.
func (w *World) recordedArrival(e *event) {
	a := &w.scenario.Arrivals[e.a]
	requestIndex := w.newRequest()
	req := &w.requests[requestIndex]
	req.instance = int32(a.Instance % len(w.instances))
	req.class = a.Class
	req.tenant = a.Tenant
	req.key = a.Key
	req.markedRetry = a.Retry
	if req.workFactor, req.ioFactor = a.WorkFactor, a.IOFactor; a.WorkFactor == 0 {
		w.drawSizes(req, w.instances[req.instance].sizeDraws)
	}
	req.deadline = w.now + a.TimeLeft
	w.beginRequest(requestIndex)
	if next := int(e.a) + 1; next < len(w.scenario.Arrivals) {
		w.queue.add(
			event{
				at:   max(w.now, startTime+w.scenario.Arrivals[next].At),
				rank: rankArrive,
				do:   (*World).recordedArrival,
				a:    int32(next),
			},
		)
	}
}

// newRequest adds a request and returns its index in World.requests.
func (w *World) newRequest() int32 {
	if n := len(w.freeRequests); n > 0 {
		requestIndex := w.freeRequests[n-1]
		w.freeRequests = w.freeRequests[:n-1]
		w.requests[requestIndex] = request{inUse: true, at: w.now}
		return requestIndex
	}
	w.requests = append(w.requests, request{inUse: true, at: w.now})
	return int32(len(w.requests) - 1)
}

// beginRequest reports a new request to the judge and sends its first try. A run that is only planned records the
// request instead.
func (w *World) beginRequest(requestIndex int32) {
	req := &w.requests[requestIndex]
	if w.plan != nil {
		*w.plan = append(
			*w.plan,
			Arrival{At: w.sinceStart(w.now), Instance: int(req.instance), Class: req.class, Tenant: req.tenant,
				Key: req.key, TimeLeft: req.deadline - w.now, WorkFactor: req.workFactor, IOFactor: req.ioFactor},
		)
		req.inUse = false
		w.freeRequests = append(w.freeRequests, requestIndex)
		return
	}
	req.judgeID = w.judge.ClientRequestBegun(
		w.sinceStart(w.now),
		req.class,
		req.tenant,
		w.values.Value(w.now, req.class, req.tenant),
	)
	w.sendTry(requestIndex)
}

// sendTry has the client send the request to its instance.
func (w *World) sendTry(requestIndex int32) {
	req := &w.requests[requestIndex]
	req.tries++
	w.queue.add(event{at: w.now + w.scenario.Network.Client, rank: rankArrive, do: (*World).tryArrived,
		a: requestIndex})
}

// tryArrived runs when a try reaches its instance: the instance admits the request and begins to process it.
func (w *World) tryArrived(e *event) {
	req := &w.requests[e.a]
	inst := w.instances[req.instance]
	if w.now >= req.deadline {
		w.endRequest(e.a) // the client has stopped waiting meanwhile
		return
	}
	if !inst.alive {
		w.retryLater(e.a, true, 0)
		return
	}
	tryIndex := w.newTry()
	id := w.tries[tryIndex].attemptID
	w.tries[tryIndex] = clientTry{
		inUse:               true,
		clientWaiting:       true,
		request:             e.a,
		instance:            inst,
		instanceIncarnation: inst.incarnation,
		deadline:            req.deadline,
		arrivedAt:           w.now,
		attemptID:           id,
		job:                 machine.NoJob,
	}
	try := &w.tries[tryIndex]
	try.judgeID = w.judge.RequestAccepted(w.sinceStart(w.now), req.judgeID, inst.number, req.class,
		w.sinceStart(req.deadline))
	w.queue.add(event{at: req.deadline, rank: rankDeadline, do: (*World).deadlinePassed, a: tryIndex})
	w.judge.SetKey(try.judgeID, req.key)
	key := ""
	if req.key != 0 {
		key = keyText(req.key)
	}
	retry := w.scenario.Clients.MarkRetries && req.tries > 1 || req.markedRetry
	try.handle = inst.decider.Admit(w.now, req.class, req.tenant, key, retry, req.deadline-w.now)
	for len(inst.tries) <= try.handle.Index() {
		inst.tries = append(inst.tries, -1)
	}
	inst.tries[try.handle.Index()] = tryIndex
	inst.decider.Begin(w.now, try.handle)
}

// newTry returns the index of an unused entry of World.tries.
func (w *World) newTry() int32 {
	if n := len(w.freeTries); n > 0 {
		tryIndex := w.freeTries[n-1]
		w.freeTries = w.freeTries[:n-1]
		return tryIndex
	}
	w.tries = append(w.tries, clientTry{})
	return int32(len(w.tries) - 1)
}

// keyText returns the routing key of a request in the text form that the decider receives.
func keyText(key uint64) string { return "k" + strconv.FormatUint(key, 36) }

// parseKey is the inverse of keyText.
func parseKey(text string) uint64 {
	n, _ := strconv.ParseUint(text[1:], 36, 64)
	return n
}

// deadlinePassed runs at a request's deadline, when its client stops waiting.
func (w *World) deadlinePassed(e *event) {
	try := &w.tries[e.a]
	requestIndex := try.request
	w.judge.DeadlinePassed(w.sinceStart(w.now), try.judgeID, w.requests[requestIndex].judgeID)
	try.deadlinePassed = true
	if try.clientWaiting {
		try.clientWaiting = false
		if try.instance.alive && try.instance.incarnation == try.instanceIncarnation {
			try.instance.decider.ClientLeft(w.now, try.handle)
		}
		w.endRequest(requestIndex)
	}
	w.releaseTry(e.a)
}

// releaseTry frees a try for reuse once no further event can concern it.
func (w *World) releaseTry(tryIndex int32) {
	try := &w.tries[tryIndex]
	if try.inUse && try.deadlinePassed && !try.inFlight && !try.clientWaiting {
		try.inUse = false
		w.freeTries = append(w.freeTries, tryIndex)
	}
}

// endRequest ends a request: its client sends no further try.
func (w *World) endRequest(requestIndex int32) {
	req := &w.requests[requestIndex]
	if req.inUse {
		req.inUse = false
		w.judge.ClientRequestEnded(req.judgeID)
		w.freeRequests = append(w.freeRequests, requestIndex)
	}
}

// retryLater schedules the client's next try after a backoff with jitter, which doubles with each try, or after
// Retry-After if that is longer and the client follows it. It ends the request if the client has no retry or no time
// left, or if the request must not be repeated. safe is true after a rejection and after the loss of the instance:
// clients then repeat requests of any class. If safe is false, they do not repeat non-idempotent requests.
func (w *World) retryLater(requestIndex int32, safe bool, retryAfter policy.Time) {
	req := &w.requests[requestIndex]
	class := &w.scenario.Classes[req.class]
	if req.tries > w.scenario.Clients.Retries || !safe && class.Idempotency == policy.NonIdempotent {
		w.endRequest(requestIndex)
		return
	}
	delay := policy.Time(float64(w.scenario.Clients.Backoff<<(req.tries-1)) * (0.5 + w.draws.retries.Float64()))
	if w.draws.retries.Float64() < w.scenario.Clients.HonourRetryAfter {
		delay = max(delay, retryAfter)
	}
	if w.now+delay >= req.deadline {
		w.endRequest(requestIndex)
		return
	}
	w.queue.add(event{at: w.now + delay, rank: rankArrive, do: (*World).retry, a: requestIndex})
}

func (w *World) retry(e *event) { w.sendTry(e.a) }
