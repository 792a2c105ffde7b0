package emulator

import (
	"math"

	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// What becomes of an attempt: on its way, at the server, on the way back, and what ends it before.

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
		if !v.machine.AcceptsConnection() {
			w.queue.add(event{at: w.now + w.way(v.zone, t.sidecar.zone), rank: rankEnd, do: (*World).notConnected, a: e.a, c: e.c})
			return
		}
		v.machine.AddConnections(w.now, 1)
	}
	if !t.written {
		if v.dark() {
			return // the connection never came up; the time-out finds it
		}
		t.written = true
		w.judge.AttemptWritten(t.of, t.wire)
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
	if v.machine.Cold(w.now) && v.traits.OverloadMultiple > 0 {
		w.judge.ColdWorkArrived(w.day(w.now), t.sidecar.no, v.no, v.started, float64(work), v.traits.Cores*v.traits.Speed*v.machine.Warmth(w.now))
	}
	if v.standing != policy.Ready {
		w.back(e.a, t, policy.Rejected)
		return
	}
	job, in := v.machine.Arrive(w.now, uint64(e.a)<<32|e.c&math.MaxUint32, q.key, work, policy.Time(float64(o.IO)*q.sizeIO), e.b == 1)
	if v.machine.Overloaded() {
		v.fall()
		return
	}
	if !in {
		w.back(e.a, t, policy.Rejected)
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
	i := int32(d.Owner >> 32)
	t := &w.tries[i]
	q := &w.requests[t.request]
	work := float64(w.sc.Offerings[q.offering].Work)
	w.work += work
	if !t.inUse || !t.out || t.pushID&math.MaxUint32 != d.Owner&math.MaxUint32 || t.server != v {
		w.wasted += work
		return
	}
	t.job = machine.NoJob
	o := policy.Succeeded
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
			w.end(e.a, t, policy.ConnectionLost)
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
		w.end(e.a, t, policy.Cancelled)
	}
}

// callOff closes a push's connection: the server drops what it can.
func (w *World) callOff(t *try) {
	v := t.server
	if t.written && !v.dark() && !v.down {
		v.machine.AddConnections(w.now, -1)
	}
	if t.job == machine.NoJob || t.life2 != v.life || v.dark() || v.kind.Cancel == CancelNothing {
		return
	}
	v.touch()
	if t.job != machine.NoJob {
		v.machine.Cancel(w.now, t.job, v.kind.Cancel == CancelWaiting)
		t.job = machine.NoJob
		v.touch()
	}
}

// end tells the decider how a push ended.
func (w *World) end(i int32, t *try, o policy.Outcome) {
	never := o == policy.Rejected || o == policy.NotConnected || o == policy.NotSent
	t.out = false
	t.server.out--
	w.judge.AttemptEnded(t.of, t.wire, never)
	s := t.sidecar
	n, id := policy.AttemptNo(t.pushes-1), t.server.id
	over := !t.owed
	s.decider.AttemptEnded(w.now, t.handle, n, id, o, w.now-t.pushed, over)
	w.let(i)
}
