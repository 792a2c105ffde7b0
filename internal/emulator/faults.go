package emulator

import (
	"math/rand/v2"
	"slices"

	"pepperlead/policy"
)

// fault is a fault of the scenario and what it affects.
type fault struct {
	Fault
	endpoints []*endpoint
	instances []*instance
	next      int // rolling, pauses: index of the endpoint that is next
}

// planFaults plans the begin of each fault.
func (w *World) planFaults() {
	for i := range w.scenario.Faults {
		w.queue.add(
			event{at: dayStart + w.scenario.Faults[i].At, rank: rankWorld, do: (*World).faultBegins, a: int32(i)},
		)
		w.faults = append(w.faults, fault{Fault: w.scenario.Faults[i]})
	}
}

// chooseAffected draws those that a fault affects: named ones, those of a pod or zone, and of these a share or a count.
func chooseAffected[T any](f *Fault, r *rand.Rand, all []T, affects func(T) bool) []T {
	var some []T
	for _, one := range all {
		if affects(one) {
			some = append(some, one)
		}
	}
	r.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:f.Affected(len(some))]
}

// Affected returns how many of so many the fault affects.
func (f *Fault) Affected(n int) int {
	switch {
	case f.Count > 0:
		return min(n, f.Count)
	case f.Share > 0:
		return min(n, max(1, int(f.Share*float64(n)+0.5)))
	}
	return n
}

func (f *fault) affects(v *endpoint) bool {
	return v.status == policy.Ready && !v.down && (f.Zone == "" || f.Zone == v.zone) &&
		(f.Pod < 0 || f.Pod == int(v.cell)) &&
		(len(f.Endpoints) == 0 || slices.Contains(f.Endpoints, int(v.number)))
}

func (w *World) faultBegins(e *event) {
	f := &w.faults[e.a]
	w.chooseVictims(f, stream(w.seed, "fault", int(e.a)))
	for _, s := range f.instances {
		s.stop()
	}
	switch f.Kind {
	case ListBehind:
		w.listsDelayedUntil = max(w.listsDelayedUntil, w.now+f.Duration)
	case Burst:
		w.burstFactor *= f.Size
	case HotKey:
		w.hotKeyShare = f.Size
	case Pauses:
		w.queue.add(event{at: w.now, rank: rankWorld, do: (*World).pause, a: e.a})
	case Shrink, Rolling:
		w.queue.add(event{at: w.now, rank: rankWorld, do: (*World).drainNext, a: e.a})
	case Grow:
		w.growFleet(f.Count)
	default:
		w.breakEndpoints(f)
	}
	ends := f.Duration > 0 && f.Kind != Shrink && f.Kind != Rolling && f.Kind != Grow
	if ends {
		w.queue.add(event{at: w.now + f.Duration, rank: rankWorld, do: (*World).faultEnds, a: e.a})
	}
}

// chooseVictims chooses the endpoints and instances that a fault affects.
func (w *World) chooseVictims(f *fault, r *rand.Rand) {
	switch f.Kind {
	case ZoneLost:
		w.chooseZone(f)
	case SidecarRestart:
		f.instances = chooseAffected(&f.Fault, r, w.instances, func(s *instance) bool {
			return s.alive && (f.Zone == "" || f.Zone == s.zone)
		})
	case Grow, ListBehind, Burst, HotKey:
	case AllSlow:
		f.endpoints = slices.Clone(w.endpoints)
	default:
		f.endpoints = chooseAffected(&f.Fault, r, w.endpoints, f.affects)
	}
	if f.Kind == Rolling {
		slices.SortFunc(f.endpoints, func(a, b *endpoint) int { return int(a.number - b.number) })
	}
}

func (w *World) chooseZone(f *fault) {
	for _, v := range w.endpoints {
		if v.zone == f.Zone && v.status != policy.Removed {
			f.endpoints = append(f.endpoints, v)
		}
	}
	for _, s := range w.instances {
		if f.IncludeInstances && s.zone == f.Zone && s.alive {
			f.instances = append(f.instances, s)
		}
	}
}

// breakEndpoints begins a fault at the endpoints that it affects.
func (w *World) breakEndpoints(f *fault) {
	if f.Kind == ZoneLost {
		w.lostZones[f.Zone]++
	}
	for _, v := range f.endpoints {
		switch f.Kind {
		case ZoneLost:
			v.becomeUnreachable(f.Cold)
		case Silent:
			v.silentFaults++
			v.becomeUnreachable(f.Cold)
		case Crash:
			v.stop()
			w.statusChanged(v, policy.Removed, true)
		case Slow, AllSlow:
			v.slowFactors = append(v.slowFactors, f.Size)
			v.applySlowFactors()
		case Errors:
			v.errorRate = f.Size
		case PodThrottled:
			v.throttlePod(f.Size)
		}
	}
}

// growFleet adds endpoints that discovery learns of later.
func (w *World) growFleet(count int) {
	for range count {
		v := w.newEndpoint(&w.scenario.Kinds[len(w.endpoints)%len(w.scenario.Kinds)], w.now)
		v.knownStatus = policy.Removed
		w.statusChanged(v, policy.Ready, true)
	}
}

// throttlePod leaves a part of its pod's cores, once for the pod. A pod without a limit has one of all its cores from
// then on.
func (s *endpoint) throttlePod(part float64) {
	p := s.pod
	if p.limitFactor != 1 {
		return
	}
	if p.limit == 0 {
		for _, v := range p.endpoints {
			p.limit += v.traits.Cores
		}
	}
	p.limitFactor = part
	s.advance()
}

func (w *World) faultEnds(e *event) {
	f := &w.faults[e.a]
	switch f.Kind {
	case Burst:
		w.burstFactor /= f.Size
	case HotKey:
		w.hotKeyShare = 0
	default:
		w.repairEndpoints(f)
	}
	for _, s := range f.instances {
		s.start(policy.ListSaved)
	}
}

// repairEndpoints ends a fault at the endpoints that it affects.
func (w *World) repairEndpoints(f *fault) {
	if f.Kind == ZoneLost {
		w.lostZones[f.Zone]--
	}
	for _, v := range f.endpoints {
		switch f.Kind {
		case ZoneLost:
			v.becomeReachable()
		case Silent:
			v.silentFaults--
			v.becomeReachable()
		case Crash:
			if v.down {
				v.start()
				w.statusChanged(v, policy.Ready, true)
			}
		case Slow, AllSlow:
			v.endSlowFactor(f.Size)
		case Errors:
			v.errorRate = 0
		case PodThrottled:
			v.pod.limitFactor = 1
			v.advance()
		}
	}
}

func (s *endpoint) endSlowFactor(factor float64) {
	if i := slices.Index(s.slowFactors, factor); i >= 0 {
		s.slowFactors = slices.Delete(s.slowFactors, i, i+1)
	}
	s.applySlowFactors()
}

// becomeUnreachable cuts the endpoint off. With dies, the work in it is lost.
func (s *endpoint) becomeUnreachable(dies bool) {
	if dies {
		s.stop()
		s.lost = true
	}
	s.world.statusChanged(s, policy.Removed, false)
}

func (s *endpoint) becomeReachable() {
	if s.unreachable() || s.status == policy.Removed {
		return // still affected by another fault
	}
	if s.lost {
		s.lost = false
		s.start()
	}
	// What was written to it on earlier connections is answered by a reset, now that it is reachable.
	w := s.world
	for i := range w.tries {
		if t := &w.tries[i]; t.inUse && t.inFlight && t.endpoint == s && t.job == -1 && t.written {
			w.notifyInstance(int32(i), t, (*World).connectionReset)
		}
	}
	w.statusChanged(s, policy.Ready, true)
}

// pause pauses the endpoints that a fault affects in turn, again and again.
func (w *World) pause(e *event) {
	f := &w.faults[e.a]
	if w.now >= dayStart+f.At+f.Duration || len(f.endpoints) == 0 {
		return
	}
	v := f.endpoints[f.next%len(f.endpoints)]
	f.next++
	v.advance()
	v.machine.PauseUntil(w.now, w.now+policy.Time(f.Size*float64(policy.Second)))
	v.plannedAt = 0
	v.advance()
	w.queue.add(
		event{at: w.now + f.Every/policy.Time(len(f.endpoints)) + 1, rank: rankWorld, do: (*World).pause, a: e.a},
	)
}

// drainNext drains the next endpoint of a deployment, or all of a shrinking fleet.
func (w *World) drainNext(e *event) {
	f := &w.faults[e.a]
	if f.next >= len(f.endpoints) {
		return
	}
	v := f.endpoints[f.next]
	f.next++
	if !v.down && v.status == policy.Ready {
		v.status = policy.Draining
		w.statusChanged(v, policy.Draining, true)
		after := f.Duration
		if after == 0 {
			after = 10 * policy.Second
		}
		w.queue.add(
			event{
				at:   w.now + after,
				rank: rankWorld,
				do:   (*World).drained,
				a:    e.a,
				b:    int32(v.number),
				c:    uint64(v.incarnation),
			},
		)
	}
	w.queue.add(event{at: w.now + f.Every, rank: rankWorld, do: (*World).drainNext, a: e.a})
}

// drained stops an endpoint whose drain time is over, and starts it again unless the fleet shrinks.
func (w *World) drained(e *event) {
	f, v := &w.faults[e.a], w.endpoints[e.b]
	if uint64(v.incarnation) != e.c || v.down {
		return
	}
	v.stop()
	if f.Kind == Shrink {
		v.status = policy.Removed
		w.statusChanged(v, policy.Removed, true)
		return
	}
	v.start()
	w.statusChanged(v, policy.Ready, true)
}
