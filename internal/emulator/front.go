package emulator

import (
	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// lookup returns the try of a handle and its index.
func (inst *instance) lookup(handle policy.Handle) (int32, *clientTry) {
	tryIndex := inst.tries[handle.Index()]
	return tryIndex, &inst.world.tries[tryIndex]
}

// Attempt sends an attempt on an idle connection, or on a new one if none is idle.
func (inst *instance) Attempt(handle policy.Handle, id policy.EndpointID, timeout policy.Time) {
	w := inst.world
	tryIndex, try := inst.lookup(handle)
	ep := w.byID[id]
	try.inFlight = true
	try.endpoint = ep
	try.sentAt = w.now
	try.written = false
	try.job = machine.NoJob
	try.attempts++
	try.attemptID++
	ep.inFlight++
	try.judgeAttempt = w.judge.AttemptStarted(
		w.sinceStart(w.now),
		try.judgeID,
		ep.number,
		ep.zone,
		ep.cell,
		ep.zone != inst.zone,
	)
	w.queue.add(event{at: w.now + timeout, rank: rankTimeout, do: (*World).attemptTimedOut, a: tryIndex,
		c: try.attemptID})
	transit := w.transit(inst.zone, ep.zone)
	inst.closeIdle(ep)
	if idle := inst.idleTo(ep); len(idle) > 0 {
		inst.idleConnections[ep.number] = idle[:len(idle)-1]
		w.queue.add(event{at: w.now + transit, rank: rankArrive, do: (*World).attemptArrived, a: tryIndex,
			c: try.attemptID})
		try.written = true // the kernel's send buffer takes the whole attempt at once
		w.judge.AttemptWritten(try.judgeID, try.judgeAttempt)
		return
	}
	inst.connect(tryIndex, try, transit)
}

// connect sends an attempt on a new connection.
func (inst *instance) connect(tryIndex int32, try *clientTry, transit policy.Time) {
	w := inst.world
	failed := event{rank: rankAttemptEnd, do: (*World).connectFailed, a: tryIndex, c: try.attemptID}
	switch {
	case try.endpoint.unreachable():
		failed.at = w.now + w.scenario.Network.ConnectTimeout
		w.queue.add(failed)
	case try.endpoint.down:
		failed.at = w.now + 2*transit
		w.queue.add(failed)
	default:
		handshakes := 2 * transit * policy.Time(w.scenario.Network.Handshakes)
		at := w.now + transit + handshakes
		w.queue.add(event{at: at, rank: rankArrive, do: (*World).attemptArrived, a: tryIndex, b: 1, c: try.attemptID})
	}
}

// idleTo returns when the idle connections to an endpoint were last used, the earliest first.
func (inst *instance) idleTo(ep *endpoint) []policy.Time {
	for len(inst.idleConnections) <= int(ep.number) {
		inst.idleConnections = append(inst.idleConnections, nil)
	}
	return inst.idleConnections[ep.number]
}

// closeIdle closes the connections to an endpoint whose idle timeout has passed.
func (inst *instance) closeIdle(ep *endpoint) {
	idle := inst.idleTo(ep)
	for len(idle) > 0 && inst.world.now-idle[0] >= inst.world.scenario.Network.IdleTimeout {
		idle = idle[1:]
		ep.machine.AddConnections(inst.world.now, -1)
	}
	inst.idleConnections[ep.number] = idle
}

// idleTimeout runs when the idle timeout of a connection may have passed.
func (w *World) idleTimeout(e *event) { w.instances[e.a].closeIdle(w.endpoints[e.b]) }

// Cancel cancels an attempt, unless it has ended.
func (inst *instance) Cancel(handle policy.Handle, number policy.AttemptNo) {
	tryIndex, try := inst.lookup(handle)
	if try.inFlight && int(number) == try.attempts-1 {
		inst.world.queue.add(
			event{at: inst.world.now, rank: rankAttemptEnd, do: (*World).attemptCancelled, a: tryIndex,
				c: try.attemptID},
		)
	}
}

// Succeed passes the endpoint's response on.
func (inst *instance) Succeed(handle policy.Handle, _ policy.AttemptNo) {
	inst.answer(handle, judge.Succeeded, 0)
}

// Reject rejects the request.
func (inst *instance) Reject(handle policy.Handle, retryAfter policy.Time) {
	inst.answer(handle, judge.Rejected, retryAfter)
}

// Fail answers that the request failed.
func (inst *instance) Fail(handle policy.Handle) { inst.answer(handle, judge.Failed, 0) }

// answer sends the final answer to the client.
func (inst *instance) answer(handle policy.Handle, answer judge.Answer, retryAfter policy.Time) {
	w := inst.world
	tryIndex, try := inst.lookup(handle)
	if !try.clientWaiting {
		// The client is gone or has its answer. The judge checks this answer too, because a second one breaks a rule.
		w.judge.RequestAnswered(w.sinceStart(w.now), try.judgeID, w.requests[try.request].judgeID, answer)
		return
	}
	try.clientWaiting = false
	try.answer = answer
	try.retryAfter = retryAfter
	requestIndex := try.request
	w.judge.RequestAnswered(w.sinceStart(w.now), try.judgeID, w.requests[requestIndex].judgeID, answer)
	if w.observer != nil {
		w.observer.Answer(w.requests[requestIndex].class, answer, w.now-try.arrivedAt)
	}
	w.queue.add(
		event{
			at:   w.now + w.scenario.Network.Client,
			rank: rankAnswer,
			do:   (*World).answerArrived,
			a:    requestIndex,
			b:    int32(answer),
			c:    uint64(retryAfter),
		},
	)
	w.releaseTry(tryIndex)
}

// answerArrived runs when a final answer reaches the client.
func (w *World) answerArrived(e *event) {
	switch judge.Answer(e.b) {
	case judge.Succeeded:
		w.endRequest(e.a)
	case judge.Rejected:
		w.retryLater(e.a, true, policy.Time(e.c))
	default:
		w.retryLater(e.a, false, 0)
	}
}

// Wake schedules a call of Woken, unless one is scheduled for the same time or earlier.
func (inst *instance) Wake(after policy.Time) {
	at := inst.world.now + max(after, 1)
	if inst.wakeAt != 0 && inst.wakeAt <= at {
		return
	}
	inst.wakeAt = at
	inst.world.queue.add(event{at: at, rank: rankWake, do: (*World).wake, a: int32(inst.number),
		b: int32(inst.incarnation)})
}

// wake calls Woken, unless an earlier call was scheduled since or the instance was restarted.
func (w *World) wake(e *event) {
	inst := w.instances[e.a]
	if inst.alive && inst.incarnation == int(e.b) && inst.wakeAt == w.now {
		inst.wakeAt = 0
		inst.decider.Woken(w.now)
	}
}

// FollowList starts or stops following the endpoint list.
func (inst *instance) FollowList(follow bool) {
	if inst.following = follow; follow {
		inst.world.requestList(inst)
	}
}

// ReleaseConnections does nothing: idle connections are closed by their timeout.
func (inst *instance) ReleaseConnections(policy.EndpointID) {}

// Forget does nothing: the emulator keeps all endpoints of a run.
func (inst *instance) Forget(policy.EndpointID) {}

// Log discards the line.
func (inst *instance) Log(string) {}
