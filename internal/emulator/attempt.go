package emulator

import (
	"math"

	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// What becomes of an attempt: on its way, at the server, on the way back, and what ends it before.

// currentAttempt gives the try if the push that an event speaks of is the one that is out.
func (w *World) currentAttempt(e *event) *clientTry {
	t := &w.tries[e.a]
	if !t.inUse || !t.inFlight || t.attemptID != e.c {
		return nil
	}
	return t
}

// attemptArrived is a push as its last byte reaches the server.
func (w *World) attemptArrived(e *event) {
	t := w.currentAttempt(e)
	if t == nil {
		return // cut off on its way: it never reaches the server whole
	}
	v := t.endpoint
	if e.b == 1 && !v.unreachable() && !v.down {
		if !v.machine.AcceptsConnection() {
			w.queue.add(event{at: w.now + w.transit(v.zone, t.instance.zone), rank: rankAttemptEnd, do: (*World).connectFailed, a: e.a, c: e.c})
			return
		}
		v.machine.AddConnections(w.now, 1)
	}
	if !t.written {
		if v.unreachable() {
			return // the connection never came up; the time-out finds it
		}
		t.written = true
		w.judge.AttemptWritten(t.judged, t.judgedAttempt)
	}
	switch {
	case v.unreachable():
		return // nobody hears it
	case v.down:
		w.queue.add(event{at: w.now + w.transit(v.zone, t.instance.zone), rank: rankAttemptEnd, do: (*World).connectionReset, a: e.a, c: e.c})
		return
	}
	q := &w.requests[t.request]
	o := &w.scenario.Classes[q.class]
	work := policy.Time(float64(o.Work) * q.workFactor)
	v.advance()
	if v.machine.Cold(w.now) && v.traits.OverloadMultiple > 0 {
		w.judge.ColdWorkArrived(w.sinceStart(w.now), t.instance.number, v.number, v.started, float64(work), v.traits.Cores*v.traits.Speed*v.machine.Warmth(w.now))
	}
	if v.status != policy.Ready {
		w.sendResult(e.a, t, policy.Rejected)
		return
	}
	job, in := v.machine.Arrive(w.now, uint64(e.a)<<32|e.c&math.MaxUint32, q.key, work, policy.Time(float64(o.IO)*q.ioFactor), e.b == 1)
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

// overload is a cold server that was sent too much: it is down, and comes back cold after a while.
func (s *endpoint) overload() {
	s.stop()
	s.world.statusChanged(s, policy.Gone, false)
	s.world.queue.add(event{at: s.world.now + 20*policy.Second, rank: rankWorld, do: (*World).revive, a: int32(s.number), c: uint64(s.incarnation)})
}

func (w *World) revive(e *event) {
	if v := w.endpoints[e.a]; v.down && uint64(v.incarnation) == e.c && v.status != policy.Gone {
		v.start()
		w.statusChanged(v, policy.Ready, true)
	}
}

// sendResult sends a server's answer on its way.
func (w *World) sendResult(i int32, t *clientTry, o policy.Outcome) {
	w.queue.add(event{at: w.now + w.transit(t.endpoint.zone, t.instance.zone), rank: rankAttemptEnd, do: (*World).resultArrived, a: i, b: int32(o), c: t.attemptID})
}

// jobDone is a server's job that is done.
func (w *World) jobDone(v *endpoint, d machine.Done) {
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

// resultArrived is a server's answer as it comes to the sidecar.
func (w *World) resultArrived(e *event) {
	if t := w.currentAttempt(e); t != nil {
		if t.endpoint.unreachable() {
			return // lost on the way
		}
		t.instance.idleConnections[t.endpoint.number] = append(t.instance.idleTo(t.endpoint), w.now)
		w.queue.add(event{at: w.now + w.scenario.Network.IdleTimeout, rank: rankWorld, do: (*World).idleTimeout, a: int32(t.instance.number), b: int32(t.endpoint.number)})
		w.endAttempt(e.a, t, policy.Outcome(e.b))
	}
}

// connectionReset is a connection that breaks under a push.
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

// closeAttempt closes a push's connection: the server drops what it can.
func (w *World) closeAttempt(t *clientTry) {
	v := t.endpoint
	if t.written && !v.unreachable() && !v.down {
		v.machine.AddConnections(w.now, -1)
	}
	if t.job == machine.NoJob || t.endpointIncarnation != v.incarnation || v.unreachable() || v.kind.Cancel == CancelNothing {
		return
	}
	v.advance()
	if t.job != machine.NoJob {
		v.machine.Cancel(w.now, t.job, v.kind.Cancel == CancelWaiting)
		t.job = machine.NoJob
		v.advance()
	}
}

// endAttempt tells the decider how a push ended.
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
