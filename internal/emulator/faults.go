package emulator

import (
	"math/rand/v2"
	"slices"

	"pepperlead/policy"
)

// fault is one of the script's as it is played.
type fault struct {
	Fault
	servers  []*server
	sidecars []*sidecar
	next     int // rolling, pauses
}

// scriptFaults plans the script.
func (w *World) scriptFaults() {
	for i := range w.sc.Faults {
		w.queue.add(event{at: start + w.sc.Faults[i].At, rank: rankWorld, do: (*World).faultBegins, a: int32(i)})
		w.faults = append(w.faults, fault{Fault: w.sc.Faults[i]})
	}
}

// choose picks those that a fault meets: named ones, those of a pod or zone, and of these a part or a count, by the seed.
func choose[T any](f *Fault, r *rand.Rand, all []T, meets func(T) bool) []T {
	var some []T
	for _, one := range all {
		if meets(one) {
			some = append(some, one)
		}
	}
	r.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:f.Meets(len(some))]
}

// Meets is how many of so many a fault meets.
func (f *Fault) Meets(n int) int {
	switch {
	case f.Count > 0:
		return min(n, f.Count)
	case f.Part > 0:
		return min(n, max(1, int(f.Part*float64(n)+0.5)))
	}
	return n
}

func (f *fault) meets(v *server) bool {
	return v.standing == policy.Ready && !v.down && (f.Zone == "" || f.Zone == v.zone) && (f.Pod < 0 || f.Pod == int(v.cell)) &&
		(len(f.Server) == 0 || slices.Contains(f.Server, int(v.no)))
}

func (w *World) faultBegins(e *event) {
	f := &w.faults[e.a]
	r := stream(w.seed, "fault", int(e.a))
	switch f.Kind {
	case ZoneLost:
		for _, v := range w.servers {
			if v.zone == f.Zone && v.standing != policy.Gone {
				f.servers = append(f.servers, v)
			}
		}
		for _, s := range w.sidecars {
			if f.Sidecars && s.zone == f.Zone && s.alive {
				f.sidecars = append(f.sidecars, s)
			}
		}
	case SidecarRestart:
		f.sidecars = choose(&f.Fault, r, w.sidecars, func(s *sidecar) bool {
			return s.alive && (f.Zone == "" || f.Zone == s.zone)
		})
	case Grow, ListBehind, Burst, HotKey:
	case AllSlow:
		f.servers = slices.Clone(w.servers)
	default:
		f.servers = choose(&f.Fault, r, w.servers, f.meets)
	}
	if f.Kind == Rolling {
		slices.SortFunc(f.servers, func(a, b *server) int { return int(a.no - b.no) })
	}
	for _, s := range f.sidecars {
		s.stop()
	}
	switch f.Kind {
	case ZoneLost:
		w.darkZone[f.Zone]++
		for _, v := range f.servers {
			v.goesSilent(f.Cold)
		}
	case Silent:
		for _, v := range f.servers {
			v.silent++
			v.goesSilent(f.Cold)
		}
	case Crash:
		for _, v := range f.servers {
			v.stop()
			w.noticed(v, policy.Gone, true)
		}
	case Slow, AllSlow:
		for _, v := range f.servers {
			v.slow = append(v.slow, f.Size)
			v.speed()
		}
	case Errors:
		for _, v := range f.servers {
			v.errors = f.Size
		}
	case Pauses:
		w.queue.add(event{at: w.now, rank: rankWorld, do: (*World).pause, a: e.a})
	case PodThrottled:
		for _, v := range f.servers {
			if p := v.pod; p.part == 1 {
				if p.limit == 0 {
					for _, one := range p.servers {
						p.limit += one.traits.Cores
					}
				}
				p.part = f.Size
				v.touch()
			}
		}
	case ListBehind:
		w.behind = max(w.behind, w.now+f.For)
	case Burst:
		w.factor *= f.Size
	case HotKey:
		w.hot = f.Size
	case Shrink, Rolling:
		w.queue.add(event{at: w.now, rank: rankWorld, do: (*World).drainNext, a: e.a})
	case Grow:
		for range f.Count {
			v := w.newServer(&w.sc.Kinds[len(w.servers)%len(w.sc.Kinds)], w.now)
			v.known = policy.Gone // not heard of yet
			w.noticed(v, policy.Ready, true)
		}
	}
	if f.For > 0 && f.Kind != Shrink && f.Kind != Rolling && f.Kind != Grow {
		w.queue.add(event{at: w.now + f.For, rank: rankWorld, do: (*World).faultEnds, a: e.a})
	}
}

func (w *World) faultEnds(e *event) {
	f := &w.faults[e.a]
	switch f.Kind {
	case ZoneLost:
		w.darkZone[f.Zone]--
		for _, v := range f.servers {
			v.comesBack()
		}
	case Silent:
		for _, v := range f.servers {
			v.silent--
			v.comesBack()
		}
	case Crash:
		for _, v := range f.servers {
			if v.down {
				v.begin()
				w.noticed(v, policy.Ready, true)
			}
		}
	case Slow, AllSlow:
		for _, v := range f.servers {
			if i := slices.Index(v.slow, f.Size); i >= 0 {
				v.slow = slices.Delete(v.slow, i, i+1)
			}
			v.speed()
		}
	case Errors:
		for _, v := range f.servers {
			v.errors = 0
		}
	case PodThrottled:
		for _, v := range f.servers {
			v.pod.part = 1
			v.touch()
		}
	case Burst:
		w.factor /= f.Size
	case HotKey:
		w.hot = 0
	}
	for _, s := range f.sidecars {
		s.start(policy.ListSaved)
	}
}

// goesSilent is a machine that is cut off. dies: what is in it is lost, though nobody is told.
func (s *server) goesSilent(dies bool) {
	if dies {
		s.stop()
		s.lost = true
	}
	s.w.noticed(s, policy.Gone, false)
}

func (s *server) comesBack() {
	if s.dark() || s.standing == policy.Gone {
		return // by another fault still
	}
	if s.lost {
		s.lost = false
		s.begin()
	}
	// What was written to it on connections of before is answered by a reset, now that it can be heard.
	w := s.w
	for i := range w.tries {
		if t := &w.tries[i]; t.inUse && t.out && t.server == s && t.job == -1 && t.written {
			w.queue.add(event{at: w.now + w.way(s.zone, t.sidecar.zone), rank: rankEnd, do: (*World).reset, a: int32(i), c: t.pushID})
		}
	}
	w.noticed(s, policy.Ready, true)
}

// pause stops the servers that a fault meets, again and again, each at its own moment.
func (w *World) pause(e *event) {
	f := &w.faults[e.a]
	if w.now >= start+f.At+f.For || len(f.servers) == 0 {
		return
	}
	v := f.servers[f.next%len(f.servers)]
	f.next++
	v.touch()
	v.machine.PauseUntil(w.now, w.now+policy.Time(f.Size*float64(policy.Second)))
	v.nextAt = 0
	v.touch()
	w.queue.add(event{at: w.now + f.Every/policy.Time(len(f.servers)) + 1, rank: rankWorld, do: (*World).pause, a: e.a})
}

// drainNext drains the next server of a deployment, or all of a shrinking fleet.
func (w *World) drainNext(e *event) {
	f := &w.faults[e.a]
	if f.next >= len(f.servers) {
		return
	}
	v := f.servers[f.next]
	f.next++
	if !v.down && v.standing == policy.Ready {
		v.standing = policy.Draining
		w.noticed(v, policy.Draining, true)
		after := f.For
		if after == 0 {
			after = 10 * policy.Second
		}
		w.queue.add(event{at: w.now + after, rank: rankWorld, do: (*World).drained, a: e.a, b: int32(v.no), c: uint64(v.life)})
	}
	w.queue.add(event{at: w.now + f.Every, rank: rankWorld, do: (*World).drainNext, a: e.a})
}

// drained ends a server that has had its time to finish: for good, or to start anew.
func (w *World) drained(e *event) {
	f, v := &w.faults[e.a], w.servers[e.b]
	if uint64(v.life) != e.c || v.down {
		return
	}
	v.stop()
	if f.Kind == Shrink {
		v.standing = policy.Gone
		w.noticed(v, policy.Gone, true)
		return
	}
	v.begin()
	w.noticed(v, policy.Ready, true)
}
