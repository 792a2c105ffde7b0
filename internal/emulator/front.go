package emulator

import (
	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

func (s *instance) lookup(h policy.Handle) (int32, *clientTry) {
	i := s.tries[h.Index()]
	return i, &s.world.tries[i]
}

// Attempt sends an attempt on an idle connection or on a new one.
func (s *instance) Attempt(h policy.Handle, id policy.EndpointID, wait policy.Time) {
	w := s.world
	i, t := s.lookup(h)
	v := w.byID[id]
	t.inFlight = true
	t.endpoint = v
	t.sentAt = w.now
	t.written = false
	t.job = machine.NoJob
	t.attempts++
	t.attemptID++
	v.inFlight++
	t.judgedAttempt = w.judge.AttemptStarted(
		w.sinceStart(w.now),
		t.judged,
		v.number,
		v.zone,
		v.cell,
		v.zone != s.zone,
	)
	w.queue.add(event{at: w.now + wait, rank: rankTimeout, do: (*World).attemptTimedOut, a: i, c: t.attemptID})
	transit := w.transit(s.zone, v.zone)
	s.closeIdle(v)
	if idle := s.idleTo(v); len(idle) > 0 {
		s.idleConnections[v.number] = idle[:len(idle)-1]
		w.queue.add(event{at: w.now + transit, rank: rankArrive, do: (*World).attemptArrived, a: i, c: t.attemptID})
		t.written = true // by the kernel's buffer
		w.judge.AttemptWritten(t.judged, t.judgedAttempt)
		return
	}
	s.connect(i, t, transit)
}

// connect sends an attempt on a new connection.
func (s *instance) connect(i int32, t *clientTry, transit policy.Time) {
	w := s.world
	failed := event{rank: rankAttemptEnd, do: (*World).connectFailed, a: i, c: t.attemptID}
	switch {
	case t.endpoint.unreachable():
		failed.at = w.now + w.scenario.Network.ConnectTimeout
		w.queue.add(failed)
	case t.endpoint.down:
		failed.at = w.now + 2*transit
		w.queue.add(failed)
	default:
		handshakes := 2 * transit * policy.Time(w.scenario.Network.Handshakes)
		at := w.now + transit + handshakes
		w.queue.add(event{at: at, rank: rankArrive, do: (*World).attemptArrived, a: i, b: 1, c: t.attemptID})
	}
}

func (s *instance) idleTo(v *endpoint) []policy.Time {
	for len(s.idleConnections) <= int(v.number) {
		s.idleConnections = append(s.idleConnections, nil)
	}
	return s.idleConnections[v.number]
}

// closeIdle closes the connections to an endpoint that were idle for too long. The endpoint closes them by itself.
func (s *instance) closeIdle(v *endpoint) {
	idle := s.idleTo(v)
	for len(idle) > 0 && s.world.now-idle[0] >= s.world.scenario.Network.IdleTimeout {
		idle = idle[1:]
		v.machine.AddConnections(s.world.now, -1)
	}
	s.idleConnections[v.number] = idle
}

func (w *World) idleTimeout(e *event) { w.instances[e.a].closeIdle(w.endpoints[e.b]) }

// Cancel cancels an attempt.
func (s *instance) Cancel(h policy.Handle, n policy.AttemptNo) {
	i, t := s.lookup(h)
	if t.inFlight && int(n) == t.attempts-1 {
		s.world.queue.add(
			event{at: s.world.now, rank: rankAttemptEnd, do: (*World).attemptCancelled, a: i, c: t.attemptID},
		)
	}
}

// Succeed passes the endpoint's response on.
func (s *instance) Succeed(h policy.Handle, _ policy.AttemptNo) { s.answer(h, judge.Succeeded, 0) }

// Reject rejects the request.
func (s *instance) Reject(h policy.Handle, retryIn policy.Time) {
	s.answer(h, judge.Rejected, retryIn)
}

// Fail answers that the request failed.
func (s *instance) Fail(h policy.Handle) { s.answer(h, judge.Failed, 0) }

func (s *instance) answer(h policy.Handle, a judge.Answer, retryIn policy.Time) {
	w := s.world
	i, t := s.lookup(h)
	if !t.clientWaiting {
		// Reported to the judge all the same: a second answer breaks a rule.
		w.judge.RequestAnswered(w.sinceStart(w.now), t.judged, w.requests[t.request].judged, a)
		return
	}
	t.clientWaiting = false
	t.answer = a
	t.retryIn = retryIn
	r := t.request
	w.judge.RequestAnswered(w.sinceStart(w.now), t.judged, w.requests[r].judged, a)
	if w.observer != nil {
		w.observer.Answer(w.requests[r].class, a, w.now-t.arrivedAt)
	}
	w.queue.add(
		event{
			at:   w.now + w.scenario.Network.Client,
			rank: rankAnswer,
			do:   (*World).answerArrived,
			a:    r,
			b:    int32(a),
			c:    uint64(retryIn),
		},
	)
	w.releaseTry(i)
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

// FollowList begins or ends to follow the list.
func (s *instance) FollowList(on bool) {
	if s.following = on; on {
		s.world.requestList(s)
	}
}

// Release does nothing: idle connections end by their timeout.
func (s *instance) Release(policy.EndpointID) {}

// Forget does nothing.
func (s *instance) Forget(policy.EndpointID) {}

// Log drops the line.
func (s *instance) Log(string) {}
