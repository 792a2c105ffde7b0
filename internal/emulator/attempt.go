package emulator

import (
	"math"

	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// currentAttempt returns the try that an event refers to, or nil if the event is about an attempt that has ended.
func (w *World) currentAttempt(e *event) *clientTry {
	try := &w.tries[e.a]
	if !try.inUse || !try.inFlight || try.attemptID != e.c {
		return nil
	}
	return try
}

// attemptArrived runs when the last byte of an attempt reaches the endpoint.
func (w *World) attemptArrived(e *event) {
	try := w.currentAttempt(e)
	if try == nil {
		return // the attempt ended before it was received completely
	}
	ep := try.endpoint
	newConnection := e.b == 1
	if newConnection && !ep.unreachable() && !ep.down {
		if !ep.machine.AcceptsConnection() {
			w.notifyInstance(e.a, try, (*World).connectFailed)
			return
		}
		ep.machine.AddConnections(w.now, 1)
	}
	if !try.written {
		if ep.unreachable() {
			return // the connection never came up; the timeout ends the attempt
		}
		try.written = true
		w.judge.AttemptWritten(try.judgeID, try.judgeAttempt)
	}
	switch {
	case ep.unreachable():
		return // no response; the timeout ends the attempt
	case ep.down:
		w.notifyInstance(e.a, try, (*World).connectionReset)
		return
	}
	w.beginJob(e, try, newConnection)
}

// notifyInstance schedules the function do, which ends the try's attempt, for the time at which a message that the
// endpoint sends now would reach the instance.
func (w *World) notifyInstance(tryIndex int32, try *clientTry, do func(w *World, e *event)) {
	at := w.now + w.transit(try.endpoint.zone, try.instance.zone)
	w.queue.add(event{at: at, rank: rankAttemptEnd, do: do, a: tryIndex, c: try.attemptID})
}

// beginJob submits the work of an attempt to its endpoint.
func (w *World) beginJob(e *event, try *clientTry, newConnection bool) {
	ep := try.endpoint
	req := &w.requests[try.request]
	class := &w.scenario.Classes[req.class]
	work := policy.Time(float64(class.Work) * req.workFactor)
	ep.advance()
	if ep.machine.Cold(w.now) && ep.traits.OverloadMultiple > 0 {
		w.judge.ColdWorkArrived(
			w.sinceStart(w.now),
			try.instance.number,
			ep.number,
			ep.started,
			float64(work),
			ep.traits.Cores*ep.traits.Speed*ep.machine.Warmth(w.now),
		)
	}
	if ep.status != policy.Ready {
		w.sendResult(e.a, try, policy.Rejected)
		return
	}
	job, accepted := ep.machine.Submit(
		w.now,
		uint64(e.a)<<32|e.c&math.MaxUint32,
		req.key,
		work,
		policy.Time(float64(class.IO)*req.ioFactor),
		newConnection,
	)
	if ep.machine.Overloaded() {
		ep.overload()
		return
	}
	if !accepted {
		w.sendResult(e.a, try, policy.Rejected)
		return
	}
	try.job, try.endpointIncarnation = job, ep.incarnation
	ep.advance()
}

// restartTime is how long an endpoint stays down after an overload.
const restartTime = 20 * policy.Second

// overload stops a cold endpoint that received too much work. It restarts, cold again, after restartTime.
func (ep *endpoint) overload() {
	ep.stop()
	ep.world.statusChanged(ep, policy.Removed, false)
	ep.world.queue.add(
		event{
			at:   ep.world.now + restartTime,
			rank: rankWorld,
			do:   (*World).revive,
			a:    int32(ep.number),
			c:    uint64(ep.incarnation),
		},
	)
}

// revive restarts an endpoint that was stopped by an overload, unless it has been started or removed since.
func (w *World) revive(e *event) {
	if ep := w.endpoints[e.a]; ep.down && uint64(ep.incarnation) == e.c && ep.status != policy.Removed {
		ep.start()
		w.statusChanged(ep, policy.Ready, true)
	}
}

// sendResult schedules the arrival of an endpoint's response at the instance.
func (w *World) sendResult(tryIndex int32, try *clientTry, outcome policy.Outcome) {
	w.queue.add(
		event{
			at:   w.now + w.transit(try.endpoint.zone, try.instance.zone),
			rank: rankAttemptEnd,
			do:   (*World).resultArrived,
			a:    tryIndex,
			b:    int32(outcome),
			c:    try.attemptID,
		},
	)
}

// jobFinished sends the response to a job that an endpoint has finished. If the job's attempt has ended meanwhile, its
// work counts as wasted.
func (w *World) jobFinished(ep *endpoint, job machine.FinishedJob) {
	tryIndex := int32(job.Owner >> 32)
	try := &w.tries[tryIndex]
	req := &w.requests[try.request]
	work := float64(w.scenario.Classes[req.class].Work)
	w.totalWork += work
	if !try.inUse || !try.inFlight || try.attemptID&math.MaxUint32 != job.Owner&math.MaxUint32 || try.endpoint != ep {
		w.wastedWork += work
		return
	}
	try.job = machine.NoJob
	outcome := policy.Succeeded
	if p := max(ep.errorRate, ep.kind.ErrorRate); p > 0 && w.draws.errors.Float64() < p {
		outcome = policy.Errored
	}
	w.sendResult(tryIndex, try, outcome)
}

// resultArrived runs when an endpoint's response reaches the instance.
func (w *World) resultArrived(e *event) {
	if try := w.currentAttempt(e); try != nil {
		if try.endpoint.unreachable() {
			return // the response is lost
		}
		try.instance.idleConnections[try.endpoint.number] = append(try.instance.idleTo(try.endpoint), w.now)
		w.queue.add(
			event{
				at:   w.now + w.scenario.Network.IdleTimeout,
				rank: rankWorld,
				do:   (*World).idleTimeout,
				a:    int32(try.instance.number),
				b:    int32(try.endpoint.number),
			},
		)
		w.endAttempt(e.a, try, policy.Outcome(e.b))
	}
}

// connectionReset ends an attempt whose connection was reset.
func (w *World) connectionReset(e *event) {
	if try := w.currentAttempt(e); try != nil {
		if try.written {
			w.endAttempt(e.a, try, policy.ConnectionLost)
		} else {
			w.endAttempt(e.a, try, policy.NotConnected)
		}
	}
}

// connectFailed ends an attempt whose connection was not established.
func (w *World) connectFailed(e *event) {
	if try := w.currentAttempt(e); try != nil {
		w.endAttempt(e.a, try, policy.NotConnected)
	}
}

// attemptTimedOut ends an attempt at its timeout.
func (w *World) attemptTimedOut(e *event) {
	if try := w.currentAttempt(e); try != nil {
		w.closeAttempt(try)
		if try.written {
			w.endAttempt(e.a, try, policy.TimedOut)
		} else {
			w.endAttempt(e.a, try, policy.NotConnected)
		}
	}
}

// attemptCancelled ends an attempt that the decider has cancelled.
func (w *World) attemptCancelled(e *event) {
	if try := w.currentAttempt(e); try != nil {
		w.closeAttempt(try)
		w.endAttempt(e.a, try, policy.Cancelled)
	}
}

// closeAttempt closes an attempt's connection. Whether the endpoint then drops the work depends on EndpointKind.Cancel.
func (w *World) closeAttempt(try *clientTry) {
	ep := try.endpoint
	if try.written && !ep.unreachable() && !ep.down {
		ep.machine.AddConnections(w.now, -1)
	}
	if try.job == machine.NoJob || try.endpointIncarnation != ep.incarnation || ep.unreachable() ||
		ep.kind.Cancel == CancelNothing {
		return
	}
	ep.advance()
	if try.job != machine.NoJob {
		ep.machine.Cancel(w.now, try.job, ep.kind.Cancel == CancelWaiting)
		try.job = machine.NoJob
		ep.advance()
	}
}

// endAttempt reports the end of an attempt to the judge and to the decider.
func (w *World) endAttempt(tryIndex int32, try *clientTry, outcome policy.Outcome) {
	neverRan := outcome == policy.Rejected || outcome == policy.NotConnected || outcome == policy.NotSent
	try.inFlight = false
	try.endpoint.inFlight--
	w.judge.AttemptEnded(try.judgeID, try.judgeAttempt, neverRan)
	inst := try.instance
	number, id := policy.AttemptNo(try.attempts-1), try.endpoint.id
	answered := !try.clientWaiting
	inst.decider.AttemptEnded(w.now, try.handle, number, id, outcome, w.now-try.sentAt, answered)
	w.releaseTry(tryIndex)
}
