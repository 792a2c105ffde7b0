package emulator

import (
	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// The front that the decision module asks: attempts, cancels, final answers and wake-ups.

func (s *sidecar) by(h policy.Handle) (int32, *try) {
	i := s.tries[h.Place()]
	return i, &s.w.tries[i]
}

// Attempt sends a push: on a connection that stands idle, or on a new one.
func (s *sidecar) Attempt(h policy.Handle, id policy.EndpointID, wait policy.Time) {
	w := s.w
	i, t := s.by(h)
	v := w.byID[id]
	t.out, t.server, t.pushed, t.written, t.job = true, v, w.now, false, machine.NoJob
	t.pushes++
	t.pushID++
	v.out++
	t.wire = w.judge.AttemptStarted(w.day(w.now), t.of, v.no, v.zone, v.cell, v.zone != s.zone)
	w.queue.add(event{at: w.now + wait, rank: rankWait, do: (*World).timeOut, a: i, c: t.pushID})
	way := w.way(s.zone, v.zone)
	s.closeIdle(v)
	idle := s.idle(v)
	fresh := int32(0)
	if n := len(idle); n > 0 {
		idle = idle[:n-1]
	} else {
		fresh = 1
		switch {
		case v.dark():
			// Never comes up.
			w.queue.add(event{at: w.now + w.sc.Network.ConnectIn, rank: rankEnd, do: (*World).notConnected, a: i, c: t.pushID})
			s.conns[v.no] = idle
			return
		case v.down:
			w.queue.add(event{at: w.now + 2*way, rank: rankEnd, do: (*World).notConnected, a: i, c: t.pushID})
			s.conns[v.no] = idle
			return
		}
		way += 2 * way * policy.Time(w.sc.Network.Handshakes)
	}
	s.conns[v.no] = idle
	w.queue.add(event{at: w.now + way, rank: rankArrive, do: (*World).atServer, a: i, b: fresh, c: t.pushID})
	if fresh == 0 {
		t.written = true // the kernel has it
		w.judge.AttemptWritten(t.of, t.wire)
	}
}

func (s *sidecar) idle(v *server) []policy.Time {
	for len(s.conns) <= int(v.no) {
		s.conns = append(s.conns, nil)
	}
	return s.conns[v.no]
}

// closeIdle closes the connections to a server that have stood idle for too long. The server closes them, whether or not the instance
// has anything more for it.
func (s *sidecar) closeIdle(v *server) {
	idle := s.idle(v)
	for len(idle) > 0 && s.w.now-idle[0] >= s.w.sc.Network.IdleFor {
		idle = idle[1:]
		v.machine.AddConnections(s.w.now, -1)
	}
	s.conns[v.no] = idle
}

func (w *World) idleFor(e *event) { w.sidecars[e.a].closeIdle(w.servers[e.b]) }

// Cancel calls a push off.
func (s *sidecar) Cancel(h policy.Handle, n policy.AttemptNo) {
	i, t := s.by(h)
	if t.out && int(n) == t.pushes-1 {
		s.w.queue.add(event{at: s.w.now, rank: rankEnd, do: (*World).calledOff, a: i, c: t.pushID})
	}
}

// Succeed, Reject and Fail are final answers: they reach the client after the way back.
func (s *sidecar) Succeed(h policy.Handle, _ policy.AttemptNo) { s.answer(h, judge.Succeeded, 0) }
func (s *sidecar) Reject(h policy.Handle, retryIn policy.Time) {
	s.answer(h, judge.Rejected, retryIn)
}
func (s *sidecar) Fail(h policy.Handle) { s.answer(h, judge.Failed, 0) }

func (s *sidecar) answer(h policy.Handle, a judge.Answer, retryIn policy.Time) {
	w := s.w
	i, t := s.by(h)
	if !t.owed {
		// Told to the judge all the same: a second answer is a broken rule.
		w.judge.RequestAnswered(w.day(w.now), t.of, w.requests[t.request].of, a)
		return
	}
	t.owed, t.answer, t.retryIn = false, a, retryIn
	r := t.request
	w.judge.RequestAnswered(w.day(w.now), t.of, w.requests[r].of, a)
	if w.sample != nil {
		w.sample.Answer(w.requests[r].offering, a, w.now-t.from)
	}
	w.queue.add(event{at: w.now + w.sc.Network.Client, rank: rankAnswer, do: (*World).heard, a: r, b: int32(a), c: uint64(retryIn)})
	w.let(i)
}

// heard is a final answer as it comes to the client.
func (w *World) heard(e *event) {
	switch judge.Answer(e.b) {
	case judge.Succeeded:
		w.over(e.a)
	case judge.Rejected:
		w.again(e.a, true, policy.Time(e.c))
	default:
		w.again(e.a, false, 0)
	}
}

// Wake plans a call of the decider.
func (s *sidecar) Wake(in policy.Time) {
	at := s.w.now + max(in, 1)
	if s.wakeAt != 0 && s.wakeAt <= at {
		return
	}
	s.wakeAt = at
	s.w.queue.add(event{at: at, rank: rankWake, do: (*World).wake, a: int32(s.no), b: int32(s.life)})
}

func (w *World) wake(e *event) {
	s := w.sidecars[e.a]
	if s.alive && s.life == int(e.b) && s.wakeAt == w.now {
		s.wakeAt = 0
		s.decider.Woken(w.now)
	}
}

// FollowList begins or ends asking for the list.
func (s *sidecar) FollowList(on bool) {
	if s.follows = on; on {
		s.w.catchUp(s)
	}
}

func (s *sidecar) Release(policy.EndpointID) {}
func (s *sidecar) Forget(policy.EndpointID)  {}
func (s *sidecar) Log(string)                {}
