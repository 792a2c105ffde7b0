package emulator

import (
	"math"

	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// currentAttempt returns the try of an event if the event belongs to the attempt that is in flight.
func (w *World) currentAttempt(e *event) *clientTry {
	t := &w.tries[e.a]
	if !t.inUse || !t.inFlight || t.attemptID != e.c {
		return nil
	}
	return t
}

// attemptArrived runs when the last byte of an attempt reaches the endpoint.
func (w *World) attemptArrived(e *event) {
	t := w.currentAttempt(e)
	if t == nil {
		return // ended on its way: it never arrives complete
	}
	v := t.endpoint
	newConnection := e.b == 1
	if newConnection && !v.unreachable() && !v.down {
		if !v.machine.AcceptsConnection() {
			w.notifyInstance(e.a, t, (*World).connectFailed)
			return
		}
		v.machine.AddConnections(w.now, 1)
	}
	if !t.written {
		if v.unreachable() {
			return // the connection never came up; the timeout ends the attempt
		}
		t.written = true
		w.judge.AttemptWritten(t.judged, t.judgedAttempt)
	}
	switch {
	case v.unreachable():
		return // nothing answers
	case v.down:
		w.notifyInstance(e.a, t, (*World).connectionReset)
		return
	}
	w.beginJob(e, t, newConnection)
}

// notifyInstance plans what the instance sees of attempt i after the transit from the endpoint.
func (w *World) notifyInstance(i int32, t *clientTry, do func(w *World, e *event)) {
	at := w.now + w.transit(t.endpoint.zone, t.instance.zone)
	w.queue.add(event{at: at, rank: rankAttemptEnd, do: do, a: i, c: t.attemptID})
}

// beginJob hands the work of an attempt to its endpoint.
func (w *World) beginJob(e *event, t *clientTry, newConnection bool) {
	v := t.endpoint
	q := &w.requests[t.request]
	o := &w.scenario.Classes[q.class]
	work := policy.Time(float64(o.Work) * q.workFactor)
	v.advance()
	if v.machine.Cold(w.now) && v.traits.OverloadMultiple > 0 {
		w.judge.ColdWorkArrived(
			w.sinceStart(w.now),
			t.instance.number,
			v.number,
			v.started,
			float64(work),
			v.traits.Cores*v.traits.Speed*v.machine.Warmth(w.now),
		)
	}
	if v.status != policy.Ready {
		w.sendResult(e.a, t, policy.Rejected)
		return
	}
	job, in := v.machine.Submit(
		w.now,
		uint64(e.a)<<32|e.c&math.MaxUint32,
		q.key,
		work,
		policy.Time(float64(o.IO)*q.ioFactor),
		newConnection,
	)
	if v.machine.Overloaded() {
		v.overload()
		return
	}
	if !in {
		w.sendResult(e.a, t, policy.Rejected)
		return
	}
	t.job, t.endpointIncarnation = job, v.incarnation
	v.advance()
}

// restartTime is how long an endpoint that was overloaded stays down.
const restartTime = 20 * policy.Second

// overload takes a cold endpoint down that was sent too much. It comes back cold after restartTime.
func (s *endpoint) overload() {
	s.stop()
	s.world.statusChanged(s, policy.Removed, false)
	s.world.queue.add(
		event{
			at:   s.world.now + restartTime,
			rank: rankWorld,
			do:   (*World).revive,
			a:    int32(s.number),
			c:    uint64(s.incarnation),
		},
	)
}

func (w *World) revive(e *event) {
	if v := w.endpoints[e.a]; v.down && uint64(v.incarnation) == e.c && v.status != policy.Removed {
		v.start()
		w.statusChanged(v, policy.Ready, true)
	}
}

// sendResult sends an endpoint's response on its way.
func (w *World) sendResult(i int32, t *clientTry, o policy.Outcome) {
	w.queue.add(
		event{
			at:   w.now + w.transit(t.endpoint.zone, t.instance.zone),
			rank: rankAttemptEnd,
			do:   (*World).resultArrived,
			a:    i,
			b:    int32(o),
			c:    t.attemptID,
		},
	)
}

// jobDone handles a job that an endpoint has finished.
func (w *World) jobDone(v *endpoint, d machine.FinishedJob) {
	i := int32(d.Owner >> 32)
	t := &w.tries[i]
	q := &w.requests[t.request]
	work := float64(w.scenario.Classes[q.class].Work)
	w.totalWork += work
	if !t.inUse || !t.inFlight || t.attemptID&math.MaxUint32 != d.Owner&math.MaxUint32 || t.endpoint != v {
		w.wastedWork += work
		return
	}
	t.job = machine.NoJob
	o := policy.Succeeded
	if p := max(v.errorRate, v.kind.ErrorRate); p > 0 && w.draws.errors.Float64() < p {
		o = policy.Errored
	}
	w.sendResult(i, t, o)
}

// resultArrived runs when an endpoint's response reaches the instance.
func (w *World) resultArrived(e *event) {
	if t := w.currentAttempt(e); t != nil {
		if t.endpoint.unreachable() {
			return // lost on the way
		}
		t.instance.idleConnections[t.endpoint.number] = append(t.instance.idleTo(t.endpoint), w.now)
		w.queue.add(
			event{
				at:   w.now + w.scenario.Network.IdleTimeout,
				rank: rankWorld,
				do:   (*World).idleTimeout,
				a:    int32(t.instance.number),
				b:    int32(t.endpoint.number),
			},
		)
		w.endAttempt(e.a, t, policy.Outcome(e.b))
	}
}

// connectionReset ends an attempt whose connection was reset.
func (w *World) connectionReset(e *event) {
	if t := w.currentAttempt(e); t != nil {
		if t.written {
			w.endAttempt(e.a, t, policy.ConnectionLost)
		} else {
			w.endAttempt(e.a, t, policy.NotConnected)
		}
	}
}

func (w *World) connectFailed(e *event) {
	if t := w.currentAttempt(e); t != nil {
		w.endAttempt(e.a, t, policy.NotConnected)
	}
}

func (w *World) attemptTimedOut(e *event) {
	if t := w.currentAttempt(e); t != nil {
		w.closeAttempt(t)
		if t.written {
			w.endAttempt(e.a, t, policy.TimedOut)
		} else {
			w.endAttempt(e.a, t, policy.NotConnected)
		}
	}
}

func (w *World) attemptCancelled(e *event) {
	if t := w.currentAttempt(e); t != nil {
		w.closeAttempt(t)
		w.endAttempt(e.a, t, policy.Cancelled)
	}
}

// closeAttempt closes an attempt's connection; the endpoint drops the work if its kind does.
func (w *World) closeAttempt(t *clientTry) {
	v := t.endpoint
	if t.written && !v.unreachable() && !v.down {
		v.machine.AddConnections(w.now, -1)
	}
	if t.job == machine.NoJob || t.endpointIncarnation != v.incarnation || v.unreachable() ||
		v.kind.Cancel == CancelNothing {
		return
	}
	v.advance()
	if t.job != machine.NoJob {
		v.machine.Cancel(w.now, t.job, v.kind.Cancel == CancelWaiting)
		t.job = machine.NoJob
		v.advance()
	}
}

// endAttempt reports the end of an attempt to the decider.
func (w *World) endAttempt(i int32, t *clientTry, o policy.Outcome) {
	never := o == policy.Rejected || o == policy.NotConnected || o == policy.NotSent
	t.inFlight = false
	t.endpoint.inFlight--
	w.judge.AttemptEnded(t.judged, t.judgedAttempt, never)
	s := t.instance
	n, id := policy.AttemptNo(t.attempts-1), t.endpoint.id
	over := !t.clientWaiting
	s.decider.AttemptEnded(w.now, t.handle, n, id, o, w.now-t.sentAt, over)
	w.releaseTry(i)
}
