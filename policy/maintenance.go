package policy

import "slices"

const (
	// maintenanceInterval is the time between looks at all endpoints.
	maintenanceInterval Time = Second / 4
	// slotHoldTime is how long an endpoint listed as gone keeps its slots.
	slotHoldTime Time = 30 * Second
	// idleConnectionTime is how long one endpoint's idle connections are kept, summed over all instances.
	idleConnectionTime Time = 10 * Second
	// minExpectedLateness keeps the time that idle connections are kept finite.
	minExpectedLateness = 0.2
	// latencyFade is the part by which an endpoint's mean latency returns to the baseline in each interval.
	latencyFade = 0.01
)

// maintain looks at all endpoints once in each interval.
func (b *Balancer) maintain(now Time) {
	if now < b.maintainAt {
		return
	}
	b.maintainAt = now + maintenanceInterval
	b.ejected = 0
	// An empty list is more likely a fault of the list than the end of the fleet, and moves nothing.
	empty := !slices.ContainsFunc(b.table.endpoints, func(e endpoint) bool { return e.Status != Removed })
	idleTime := b.idleConnectionTime()
	warmWeight := 0.0
	for i := range b.table.endpoints {
		e := &b.table.endpoints[i]
		if e.Status == Ready && !b.warmup.isCold(now, e) {
			warmWeight += b.warmup.capacityWeight(e)
		}
		e.latencyRatio += latencyFade * (b.baseline - e.latencyRatio)
		if now < e.ejectedUntil && e.inTable {
			b.ejected++
		}
		b.releaseIdle(now, e, idleTime)
		if e.Status != Removed {
			e.listedAt = now
		} else if !empty {
			b.removeDeparted(now, endpointIndex(i))
		}
	}
	b.warmup.rate = b.successes.now(now) / max(warmWeight, 1)
	b.adjustLocalShare(now)
	b.noteRecovery(now)
}

// idleConnectionTime is how long this instance keeps idle connections: a connection kept costs most where
// endpoints are busy.
func (b *Balancer) idleConnectionTime() Time {
	expected := max(minExpectedLateness, b.reports.expectedLateness())
	return Time(float64(idleConnectionTime) / float64(b.settings.Instances) / (expected * expected))
}

// releaseIdle gives back shared connections to the endpoint that have been idle for the time.
func (b *Balancer) releaseIdle(now Time, e *endpoint, idleTime Time) {
	idle := e.connectedAt > 0 && e.inFlight == 0 && now-e.connectedAt >= idleTime
	if b.settings.sharedConnections() && idle {
		e.connectedAt = 0
		b.front.Release(e.ID)
	}
}

// removeDeparted removes an endpoint that has been gone for the hold time and that no request depends on. Its
// place is reused: endpoints that come under ever new ids must not fill the memory.
func (b *Balancer) removeDeparted(now Time, index endpointIndex) {
	e := &b.table.endpoints[index]
	if !e.inTable || now-e.listedAt < slotHoldTime || e.inFlight > 0 || b.requests.mayHaveRunOn(index) {
		return
	}
	b.table.remove(index)
	b.front.Forget(e.ID)
}

// wake asks for a call at the given time, unless an earlier one is asked for.
func (b *Balancer) wake(now, at Time) {
	if b.wakeAt == 0 || at < b.wakeAt {
		b.wakeAt = at
		b.front.Wake(max(at-now, b.settings.Tick))
	}
}

// Woken answers the requests whose time is up, sends queued ones and asks for the endpoint list.
func (b *Balancer) Woken(now Time) {
	if now+Millisecond < b.wakeAt {
		return // an earlier call has replaced this one
	}
	b.wakeAt = 0
	b.pollIfDue(now)
	b.maintain(now)
	for i := range b.requests.entries {
		if r := &b.requests.entries[i]; r.inUse && !r.answered {
			b.rejectIfDue(now, r)
		}
	}
	b.drainQueue(now, noEndpoint)
	if b.queue.len() > 0 {
		b.wake(now, now+queuePollTicks*b.settings.Tick)
	}
}

// rejectIfDue rejects a request whose time is up: a time-out that never came must not leave its client
// unanswered.
func (b *Balancer) rejectIfDue(now Time, r *request) {
	due := b.answerBy(r)
	if r.queued {
		due = r.waitUntil
	}
	if now < due {
		b.wake(now, due)
		return
	}
	r.mayHaveRun = r.mayHaveRun || r.inFlight > 0
	b.queue.removeRequest(&b.requests, r)
	b.cancel(r)
	b.reject(now, r)
}
