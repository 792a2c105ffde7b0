package emulator

import (
	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// The front that the decision module asks: attempts, cancels, final answers and wake-ups.

func (s *instance) lookup(h policy.Handle) (int32, *clientTry) {
	i := s.requestPlaces[h.Place()]
	return i, &s.world.tries[i]
}

// Attempt sends a push: on a connection that stands idle, or on a new one.
func (s *instance) Attempt(h policy.Handle, id policy.EndpointID, wait policy.Time) {
	w := s.world
	i, t := s.lookup(h)
	v := w.byID[id]
	t.inFlight, t.endpoint, t.sentAt, t.written, t.job = true, v, w.now, false, machine.NoJob
	t.attempts++
	t.attemptID++
	v.inFlight++
	t.judgedAttempt = w.judge.AttemptStarted(w.sinceStart(w.now), t.judged, v.number, v.zone, v.cell, v.zone != s.zone)
	w.queue.add(event{at: w.now + wait, rank: rankTimeout, do: (*World).attemptTimedOut, a: i, c: t.attemptID})
	way := w.transit(s.zone, v.zone)
	s.closeIdle(v)
	idle := s.idleTo(v)
	fresh := int32(0)
	if n := len(idle); n > 0 {
		idle = idle[:n-1]
	} else {
		fresh = 1
		switch {
		case v.unreachable():
			// Never comes up.
			w.queue.add(event{at: w.now + w.scenario.Network.ConnectTimeout, rank: rankAttemptEnd, do: (*World).connectFailed, a: i, c: t.attemptID})
			s.idleConnections[v.number] = idle
			return
		case v.down:
			w.queue.add(event{at: w.now + 2*way, rank: rankAttemptEnd, do: (*World).connectFailed, a: i, c: t.attemptID})
			s.idleConnections[v.number] = idle
			return
		}
		way += 2 * way * policy.Time(w.scenario.Network.Handshakes)
	}
	s.idleConnections[v.number] = idle
	w.queue.add(event{at: w.now + way, rank: rankArrive, do: (*World).attemptArrived, a: i, b: fresh, c: t.attemptID})
	if fresh == 0 {
		t.written = true // the kernel has it
		w.judge.AttemptWritten(t.judged, t.judgedAttempt)
	}
}

func (s *instance) idleTo(v *endpoint) []policy.Time {
	for len(s.idleConnections) <= int(v.number) {
		s.idleConnections = append(s.idleConnections, nil)
	}
	return s.idleConnections[v.number]
}

// closeIdle closes the connections to a server that have stood idle for too long. The server closes them, whether or not the instance
// has anything more for it.
func (s *instance) closeIdle(v *endpoint) {
	idle := s.idleTo(v)
	for len(idle) > 0 && s.world.now-idle[0] >= s.world.scenario.Network.IdleTimeout {
		idle = idle[1:]
		v.machine.AddConnections(s.world.now, -1)
	}
	s.idleConnections[v.number] = idle
}

func (w *World) idleTimeout(e *event) { w.instances[e.a].closeIdle(w.endpoints[e.b]) }

// Cancel calls a push off.
func (s *instance) Cancel(h policy.Handle, n policy.AttemptNo) {
	i, t := s.lookup(h)
	if t.inFlight && int(n) == t.attempts-1 {
		s.world.queue.add(event{at: s.world.now, rank: rankAttemptEnd, do: (*World).attemptCancelled, a: i, c: t.attemptID})
	}
}

// Succeed, Reject and Fail are final answers: they reach the client after the way back.
func (s *instance) Succeed(h policy.Handle, _ policy.AttemptNo) { s.answer(h, judge.Succeeded, 0) }
func (s *instance) Reject(h policy.Handle, retryIn policy.Time) {
	s.answer(h, judge.Rejected, retryIn)
}
func (s *instance) Fail(h policy.Handle) { s.answer(h, judge.Failed, 0) }

func (s *instance) answer(h policy.Handle, a judge.Answer, retryIn policy.Time) {
	w := s.world
	i, t := s.lookup(h)
	if !t.clientWaiting {
		// Told to the judge all the same: a second answer is a broken rule.
		w.judge.RequestAnswered(w.sinceStart(w.now), t.judged, w.requests[t.request].judged, a)
		return
	}
	t.clientWaiting, t.answer, t.retryIn = false, a, retryIn
	r := t.request
	w.judge.RequestAnswered(w.sinceStart(w.now), t.judged, w.requests[r].judged, a)
	if w.sampler != nil {
		w.sampler.Answer(w.requests[r].class, a, w.now-t.arrivedAt)
	}
	w.queue.add(event{at: w.now + w.scenario.Network.Client, rank: rankAnswer, do: (*World).answerArrived, a: r, b: int32(a), c: uint64(retryIn)})
	w.releaseTry(i)
}

// answerArrived is a final answer as it comes to the client.
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

// Wake plans a call of the decider.
func (s *instance) Wake(in policy.Time) {
	at := s.world.now + max(in, 1)
	if s.wakeAt != 0 && s.wakeAt <= at {
		return
	}
	s.wakeAt = at
	s.world.queue.add(event{at: at, rank: rankWake, do: (*World).wake, a: int32(s.number), b: int32(s.incarnation)})
}

func (w *World) wake(e *event) {
	s := w.instances[e.a]
	if s.alive && s.incarnation == int(e.b) && s.wakeAt == w.now {
		s.wakeAt = 0
		s.decider.Woken(w.now)
	}
}

// FollowList begins or ends asking for the list.
func (s *instance) FollowList(on bool) {
	if s.following = on; on {
		s.world.requestList(s)
	}
}

func (s *instance) Release(policy.EndpointID) {}
func (s *instance) Forget(policy.EndpointID)  {}
func (s *instance) Log(string)                {}
