package emulator

import (
	"pepperlead/policy"
)

func (w *World) member(v *endpoint) policy.Member {
	return policy.Member{ID: v.id, Weight: v.weight, Cell: v.cell, Zone: v.zone, Status: v.status, Started: v.started}
}

// statusChanged has discovery learn the status of an endpoint: announced by the endpoint, or detected by its silence.
func (w *World) statusChanged(v *endpoint, status policy.EndpointStatus, own bool) {
	d := w.scenario.Discovery.DetectDelay
	if own {
		d = w.scenario.Discovery.AnnounceDelay
	}
	r := stream(w.seed, "notice", int(v.number)*1000+v.incarnation)
	at := w.now + d[0] + policy.Time(r.Float64()*float64(d[1]-d[0]))
	w.queue.add(
		event{
			at:   at,
			rank: rankWorld,
			do:   (*World).discoveryLearned,
			a:    int32(v.number),
			b:    int32(status),
			c:    uint64(v.incarnation),
		},
	)
}

// discoveryLearned runs when discovery knows of a change. A change that is out of date is dropped.
func (w *World) discoveryLearned(e *event) {
	v := w.endpoints[e.a]
	status := policy.EndpointStatus(e.b)
	if uint64(v.incarnation) != e.c || v.knownStatus == status && v.knownStart == v.started {
		return
	}
	if status == policy.Removed && v.status != policy.Removed && !v.unreachable() && !v.down {
		return // it came back before its loss was detected
	}
	v.knownStatus, v.knownStart = status, v.started
	w.version++
	v.knownVersion = w.version
	for _, s := range w.instances {
		w.queue.add(
			event{
				at:   w.nextNotification(s),
				rank: rankWorld,
				do:   (*World).changeArrived,
				a:    int32(s.number),
				b:    e.a,
				c:    uint64(v.knownVersion),
			},
		)
	}
}

// nextNotification is when an instance is next notified: lists go out at intervals, to each instance at its own phase.
func (w *World) nextNotification(s *instance) policy.Time {
	at := w.now + w.scenario.Network.Near
	if step := w.scenario.Discovery.Interval; step > 0 {
		phase := policy.Time(uint64(step) * uint64(s.number) / uint64(len(w.instances)))
		at = w.now + step - (w.now+phase)%step
	}
	return at
}

// changeArrived runs when a change reaches an instance.
func (w *World) changeArrived(e *event) {
	s, v := w.instances[e.a], w.endpoints[e.b]
	if w.now < w.listsDelayedUntil {
		w.queue.add(
			event{at: w.listsDelayedUntil, rank: rankWorld, do: (*World).changeArrived, a: e.a, b: e.b, c: e.c},
		)
		return
	}
	if !s.alive || !s.following || uint64(v.knownVersion) != e.c ||
		s.version >= v.knownVersion && s.list[v] == (notifiedStatus{v.knownStatus, v.knownStart}) {
		return // a later change of the same endpoint is on its way
	}
	s.notify(policy.ListChanges, []*endpoint{v})
}

// notify gives an instance what discovery knows of the endpoints.
func (s *instance) notify(kind policy.ListKind, of []*endpoint) {
	w := s.world
	w.members = w.members[:0]
	for _, v := range of {
		if v.knownStatus == policy.Removed && kind == policy.ListFull {
			if is, had := s.list[v]; had && is.status != policy.Removed {
				s.list[v] = notifiedStatus{policy.Removed, v.knownStart}
				w.judge.EndpointNotified(w.sinceStart(w.now), s.number, v.number, policy.Removed, v.knownStart)
			}
			continue
		}
		m := w.member(v)
		m.Status, m.Started = v.knownStatus, v.knownStart
		w.members = append(w.members, m)
		s.list[v] = notifiedStatus{v.knownStatus, v.knownStart}
		w.judge.EndpointNotified(w.sinceStart(w.now), s.number, v.number, v.knownStatus, v.knownStart)
	}
	s.version = w.version
	s.decider.UpdateEndpoints(w.now, kind, w.members)
}

// requestList sends an instance the complete list after the announce delay.
func (w *World) requestList(s *instance) {
	if s.pollPending {
		return
	}
	s.pollPending = true
	d := w.scenario.Discovery.AnnounceDelay[0]
	w.queue.add(
		event{at: w.now + d, rank: rankWorld, do: (*World).listArrived, a: int32(s.number), b: int32(s.incarnation)},
	)
}

func (w *World) listArrived(e *event) {
	s := w.instances[e.a]
	if !s.alive || s.incarnation != int(e.b) {
		return
	}
	if w.now < w.listsDelayedUntil {
		w.queue.add(event{at: w.listsDelayedUntil, rank: rankWorld, do: (*World).listArrived, a: e.a, b: e.b})
		return
	}
	s.pollPending, s.following = false, true
	s.notify(policy.ListFull, w.endpoints)
}
