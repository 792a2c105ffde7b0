package emulator

import (
	"pepperlead/policy"
)

func (w *World) member(v *server) policy.Member {
	return policy.Member{ID: v.id, Weight: v.weight, Cell: v.cell, Zone: v.zone, Status: v.standing, Started: v.started}
}

// noticed has discovery learn how a server now stands: from itself, or by its silence.
func (w *World) noticed(v *server, standing policy.EndpointStatus, own bool) {
	d := w.sc.Discovery.Silent
	if own {
		d = w.sc.Discovery.Delay
	}
	r := stream(w.seed, "notice", int(v.no)*1000+v.life)
	at := w.now + d[0] + policy.Time(r.Float64()*float64(d[1]-d[0]))
	w.queue.add(event{at: at, rank: rankWorld, do: (*World).learned, a: int32(v.no), b: int32(standing), c: uint64(v.life)})
}

// learned is discovery as it knows of a change; what has changed again meanwhile is not said any more.
func (w *World) learned(e *event) {
	v := w.servers[e.a]
	standing := policy.EndpointStatus(e.b)
	if uint64(v.life) != e.c || v.known == standing && v.knownStart == v.started {
		return
	}
	if standing == policy.Gone && v.standing != policy.Gone && !v.dark() && !v.down {
		return // it came back before it was missed
	}
	v.known, v.knownStart = standing, v.started
	w.version++
	v.knownAt = w.version
	for _, s := range w.sidecars {
		w.queue.add(event{at: w.hears(s), rank: rankWorld, do: (*World).tellOne, a: int32(s.no), b: e.a, c: uint64(v.knownAt)})
	}
}

// hears is when a sidecar next hears what discovery knows by now: lists go out in steps, to each sidecar at its own moment.
func (w *World) hears(s *sidecar) policy.Time {
	at := w.now + w.sc.Network.Near
	if step := w.sc.Discovery.Step; step > 0 {
		phase := policy.Time(uint64(step) * uint64(s.no) / uint64(len(w.sidecars)))
		at = w.now + step - (w.now+phase)%step
	}
	return at
}

// tellOne is a change as it comes to a sidecar.
func (w *World) tellOne(e *event) {
	s, v := w.sidecars[e.a], w.servers[e.b]
	if w.now < w.behind {
		w.queue.add(event{at: w.behind, rank: rankWorld, do: (*World).tellOne, a: e.a, b: e.b, c: e.c})
		return
	}
	if !s.alive || !s.follows || uint64(v.knownAt) != e.c || s.version >= v.knownAt && s.list[v] == (view{v.known, v.knownStart}) {
		return // a later change of the same server is on its way
	}
	s.tell(policy.ListChanges, []*server{v})
}

// tell hands a sidecar what discovery knows of servers.
func (s *sidecar) tell(kind policy.ListKind, of []*server) {
	w := s.w
	w.members = w.members[:0]
	for _, v := range of {
		if v.known == policy.Gone && kind == policy.ListFull {
			if is, had := s.list[v]; had && is.standing != policy.Gone {
				s.list[v] = view{policy.Gone, v.knownStart}
				w.judge.EndpointNotified(w.day(w.now), s.no, v.no, policy.Gone, v.knownStart)
			}
			continue
		}
		m := w.member(v)
		m.Status, m.Started = v.known, v.knownStart
		w.members = append(w.members, m)
		s.list[v] = view{v.known, v.knownStart}
		w.judge.EndpointNotified(w.day(w.now), s.no, v.no, v.known, v.knownStart)
	}
	s.version = w.version
	s.decider.UpdateEndpoints(w.now, kind, w.members)
}

// catchUp sends a sidecar the whole list after a while.
func (w *World) catchUp(s *sidecar) {
	if s.asking {
		return
	}
	s.asking = true
	d := w.sc.Discovery.Delay[0]
	w.queue.add(event{at: w.now + d, rank: rankWorld, do: (*World).tellAll, a: int32(s.no), b: int32(s.life)})
}

func (w *World) tellAll(e *event) {
	s := w.sidecars[e.a]
	if !s.alive || s.life != int(e.b) {
		return
	}
	if w.now < w.behind {
		w.queue.add(event{at: w.behind, rank: rankWorld, do: (*World).tellAll, a: e.a, b: e.b})
		return
	}
	s.asking, s.follows = false, true
	s.tell(policy.ListFull, w.servers)
}
