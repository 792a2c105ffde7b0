package emulator

import (
	"math/rand/v2"
	"slices"

	"pepperlead/policy"
)

// fault is a fault of the scenario with the endpoints and instances that it affects.
type fault struct {
	Fault
	endpoints []*endpoint
	instances []*instance
	next      int // rolling, shrink, pauses: index of the next endpoint
}

// scheduleFaults schedules the start of each fault.
func (w *World) scheduleFaults() {
	for i := range w.scenario.Faults {
		w.queue.add(
			event{at: startTime + w.scenario.Faults[i].At, rank: rankWorld, do: (*World).faultBegins, a: int32(i)},
		)
		w.faults = append(w.faults, fault{Fault: w.scenario.Faults[i]})
	}
}

// drawAffected draws the elements that a fault affects: the fault's share or count of those for which the function
// affects returns true.
func drawAffected[T any](f *Fault, r *rand.Rand, all []T, affects func(T) bool) []T {
	var candidates []T
	for _, x := range all {
		if affects(x) {
			candidates = append(candidates, x)
		}
	}
	r.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:f.Affected(len(candidates))]
}

// Affected returns how many of n candidates the fault affects.
func (f *Fault) Affected(n int) int {
	switch {
	case f.Count > 0:
		return min(n, f.Count)
	case f.Share > 0:
		return min(n, max(1, int(f.Share*float64(n)+0.5)))
	}
	return n
}

// affects reports whether the endpoint is a candidate: it is ready, and matches the fault's zone, pod and endpoint
// numbers, as far as they are set.
func (f *fault) affects(ep *endpoint) bool {
	return ep.status == policy.Ready && !ep.down && (f.Zone == "" || f.Zone == ep.zone) &&
		(f.Pod < 0 || f.Pod == int(ep.cell)) &&
		(len(f.Endpoints) == 0 || slices.Contains(f.Endpoints, int(ep.number)))
}

// faultBegins starts a fault and schedules its end.
func (w *World) faultBegins(e *event) {
	f := &w.faults[e.a]
	w.chooseTargets(f, stream(w.seed, "fault", int(e.a)))
	for _, inst := range f.instances {
		inst.stop()
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

// chooseTargets chooses the endpoints and instances that a fault affects.
func (w *World) chooseTargets(f *fault, r *rand.Rand) {
	switch f.Kind {
	case ZoneLost:
		w.chooseZone(f)
	case SidecarRestart:
		f.instances = drawAffected(&f.Fault, r, w.instances, func(inst *instance) bool {
			return inst.alive && (f.Zone == "" || f.Zone == inst.zone)
		})
	case Grow, ListBehind, Burst, HotKey:
	case AllSlow:
		f.endpoints = slices.Clone(w.endpoints)
	default:
		f.endpoints = drawAffected(&f.Fault, r, w.endpoints, f.affects)
	}
	if f.Kind == Rolling {
		slices.SortFunc(f.endpoints, func(a, b *endpoint) int { return int(a.number - b.number) })
	}
}

// chooseZone chooses the endpoints of a lost zone and, if the fault includes them, its instances.
func (w *World) chooseZone(f *fault) {
	for _, ep := range w.endpoints {
		if ep.zone == f.Zone && ep.status != policy.Removed {
			f.endpoints = append(f.endpoints, ep)
		}
	}
	for _, inst := range w.instances {
		if f.IncludeInstances && inst.zone == f.Zone && inst.alive {
			f.instances = append(f.instances, inst)
		}
	}
}

// breakEndpoints starts a fault at the endpoints that it affects.
func (w *World) breakEndpoints(f *fault) {
	if f.Kind == ZoneLost {
		w.lostZones[f.Zone]++
	}
	for _, ep := range f.endpoints {
		switch f.Kind {
		case ZoneLost:
			ep.becomeUnreachable(f.Cold)
		case Silent:
			ep.silentFaults++
			ep.becomeUnreachable(f.Cold)
		case Crash:
			ep.stop()
			w.statusChanged(ep, policy.Removed, true)
		case Slow, AllSlow:
			ep.slowFactors = append(ep.slowFactors, f.Size)
			ep.applySlowFactors()
		case Errors:
			ep.errorRate = f.Size
		case PodThrottled:
			ep.throttlePod(f.Size)
		}
	}
}

// growFleet adds endpoints, of which discovery learns after the announce delay.
func (w *World) growFleet(count int) {
	for range count {
		ep := w.newEndpoint(&w.scenario.Kinds[len(w.endpoints)%len(w.scenario.Kinds)], w.now)
		ep.knownStatus = policy.Removed
		w.statusChanged(ep, policy.Ready, true)
	}
}

// throttlePod reduces the limit of the endpoint's pod to the given part. It has no effect on a pod that is throttled
// already. A pod without a limit gets one of all its cores, which remains after the fault.
func (ep *endpoint) throttlePod(part float64) {
	pod := ep.pod
	if pod.limitFactor != 1 {
		return
	}
	if pod.limit == 0 {
		for _, member := range pod.endpoints {
			pod.limit += member.traits.Cores
		}
	}
	pod.limitFactor = part
	ep.advance()
}

// faultEnds ends a fault. Instances that it stopped start again.
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
	for _, inst := range f.instances {
		inst.start(policy.ListSaved)
	}
}

// repairEndpoints ends a fault at the endpoints that it affects.
func (w *World) repairEndpoints(f *fault) {
	if f.Kind == ZoneLost {
		w.lostZones[f.Zone]--
	}
	for _, ep := range f.endpoints {
		switch f.Kind {
		case ZoneLost:
			ep.becomeReachable()
		case Silent:
			ep.silentFaults--
			ep.becomeReachable()
		case Crash:
			if ep.down {
				ep.start()
				w.statusChanged(ep, policy.Ready, true)
			}
		case Slow, AllSlow:
			ep.endSlowFactor(f.Size)
		case Errors:
			ep.errorRate = 0
		case PodThrottled:
			ep.pod.limitFactor = 1
			ep.advance()
		}
	}
}

// endSlowFactor removes the factor of a slow fault that has ended.
func (ep *endpoint) endSlowFactor(factor float64) {
	if i := slices.Index(ep.slowFactors, factor); i >= 0 {
		ep.slowFactors = slices.Delete(ep.slowFactors, i, i+1)
	}
	ep.applySlowFactors()
}

// becomeUnreachable handles the start of a fault that makes the endpoint unreachable, which discovery detects later.
// With cold, the endpoint's process ends too, and its work is lost.
func (ep *endpoint) becomeUnreachable(cold bool) {
	if cold {
		ep.stop()
		ep.lost = true
	}
	ep.world.statusChanged(ep, policy.Removed, false)
}

// becomeReachable handles the end of a fault that made the endpoint unreachable. Unless another such fault is active,
// the process starts again if the fault ended it, and discovery learns that the endpoint is ready.
func (ep *endpoint) becomeReachable() {
	if ep.unreachable() || ep.status == policy.Removed {
		return // still affected by another fault
	}
	if ep.lost {
		ep.lost = false
		ep.start()
	}
	// Attempts that were written while the endpoint was unreachable have no job. Their connections are reset now.
	w := ep.world
	for i := range w.tries {
		if try := &w.tries[i]; try.inUse && try.inFlight && try.endpoint == ep && try.job == -1 && try.written {
			w.notifyInstance(int32(i), try, (*World).connectionReset)
		}
	}
	w.statusChanged(ep, policy.Ready, true)
}

// pause pauses the next endpoint that a fault affects, in rotation, for Size seconds. Until the fault ends, it
// schedules the pause after this one.
func (w *World) pause(e *event) {
	f := &w.faults[e.a]
	if w.now >= startTime+f.At+f.Duration || len(f.endpoints) == 0 {
		return
	}
	ep := f.endpoints[f.next%len(f.endpoints)]
	f.next++
	ep.advance()
	ep.machine.PauseUntil(w.now, w.now+policy.Time(f.Size*float64(policy.Second)))
	ep.scheduledAt = 0
	ep.advance()
	w.queue.add(
		event{at: w.now + f.Every/policy.Time(len(f.endpoints)) + 1, rank: rankWorld, do: (*World).pause, a: e.a},
	)
}

// drainNext drains the next endpoint of a rolling deployment or of a shrinking fleet, and schedules the one after it.
func (w *World) drainNext(e *event) {
	f := &w.faults[e.a]
	if f.next >= len(f.endpoints) {
		return
	}
	ep := f.endpoints[f.next]
	f.next++
	if !ep.down && ep.status == policy.Ready {
		ep.status = policy.Draining
		w.statusChanged(ep, policy.Draining, true)
		drainTime := f.Duration
		if drainTime == 0 {
			drainTime = 10 * policy.Second
		}
		w.queue.add(
			event{
				at:   w.now + drainTime,
				rank: rankWorld,
				do:   (*World).drained,
				a:    e.a,
				b:    int32(ep.number),
				c:    uint64(ep.incarnation),
			},
		)
	}
	w.queue.add(event{at: w.now + f.Every, rank: rankWorld, do: (*World).drainNext, a: e.a})
}

// drained stops an endpoint whose drain time is over, and restarts it unless the fleet shrinks.
func (w *World) drained(e *event) {
	f, ep := &w.faults[e.a], w.endpoints[e.b]
	if uint64(ep.incarnation) != e.c || ep.down {
		return
	}
	ep.stop()
	if f.Kind == Shrink {
		ep.status = policy.Removed
		w.statusChanged(ep, policy.Removed, true)
		return
	}
	ep.start()
	w.statusChanged(ep, policy.Ready, true)
}
