package policy

import "slices"

const (
	// maintenanceInterval is the minimum time between two checks of all endpoints.
	maintenanceInterval Time = Second / 4
	// slotHoldTime is how long an endpoint keeps its slots after it was last listed.
	slotHoldTime Time = 30 * Second
	// fleetIdleTime is how long idle connections to one endpoint are kept, summed over all instances, when
	// the expected lateness is 1.
	fleetIdleTime Time = 10 * Second
	// minExpectedLateness is the least expected lateness that idleConnectionTime assumes, so that its result
	// is finite.
	minExpectedLateness = 0.2
	// latencyFade is the part of the difference between an endpoint's mean latency and the baseline latency
	// by which the mean returns to the baseline in each maintenance interval.
	latencyFade = 0.01
)

// maintain checks all endpoints and updates what is derived from them, if at least maintenanceInterval has
// passed since the latest check.
func (b *Balancer) maintain(now Time) {
	if now < b.maintainAt {
		return
	}
	b.maintainAt = now + maintenanceInterval
	b.ejected = 0
	// An empty list is more likely a fault of the list than the end of the fleet, so no endpoint is removed.
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
	b.warmup.rate = b.successes.current(now) / max(warmWeight, 1)
	b.adjustLocalShare(now)
	b.noteRecovery(now)
}

// idleConnectionTime returns how long this instance keeps idle connections. It is shorter where endpoints
// are busier, because each open connection costs a busy endpoint more.
func (b *Balancer) idleConnectionTime() Time {
	expected := max(minExpectedLateness, b.reports.expectedLateness())
	return Time(float64(fleetIdleTime) / float64(b.settings.Instances) / (expected * expected))
}

// releaseIdle releases shared connections to the endpoint that have been idle for idleTime.
func (b *Balancer) releaseIdle(now Time, e *endpoint, idleTime Time) {
	idle := e.lastUsedAt > 0 && e.inFlight == 0 && now-e.lastUsedAt >= idleTime
	if b.settings.sharedConnections() && idle {
		e.lastUsedAt = 0
		b.front.ReleaseConnections(e.ID)
	}
}

// removeDeparted removes an endpoint that has not been listed for slotHoldTime and that no request depends
// on. Its entry is reused, so that endpoints that restart under new ids do not fill the memory.
func (b *Balancer) removeDeparted(now Time, index endpointIndex) {
	e := &b.table.endpoints[index]
	if !e.inTable || now-e.listedAt < slotHoldTime || e.inFlight > 0 || b.requests.mayHaveRunOn(index) {
		return
	}
	b.table.remove(index)
	b.front.Forget(e.ID)
}

// wake has the front call Woken at the given time, unless an earlier call is pending.
func (b *Balancer) wake(now, at Time) {
	if b.wakeAt == 0 || at < b.wakeAt {
		b.wakeAt = at
		b.front.Wake(max(at-now, b.settings.Tick))
	}
}

// Woken is called by the front at the time requested by Front.Wake. It rejects the requests whose time is up,
// sends queued ones, and does the maintenance and the requests for the endpoint list that are due.
func (b *Balancer) Woken(now Time) {
	if now+Millisecond < b.wakeAt {
		return // superseded: a call for an earlier time was requested later and has already been made
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

// rejectIfDue rejects a request whose time is up. Its client is thus answered even if the timeout of an
// attempt is never reported.
func (b *Balancer) rejectIfDue(now Time, r *request) {
	due := b.answerBy(r)
	if r.queued {
		due = r.waitUntil
	}
	if now < due {
		b.wake(now, due)
		return
	}
	r.mayHaveRun = r.mayHaveRun || r.inFlight > 0 && !r.bodyPending
	b.queue.removeRequest(&b.requests, r)
	b.cancel(r)
	b.reject(now, r, EndedByDeadline)
}
