package emulator

import (
	"pepperlead/policy"
)

// member returns the list entry of an endpoint in its true state.
func (w *World) member(ep *endpoint) policy.Member {
	return policy.Member{ID: ep.id, Weight: ep.weight, Cell: ep.cell, Zone: ep.zone, Status: ep.status,
		Started: ep.started}
}

// statusChanged schedules when discovery learns the new status of an endpoint: after the announce delay if the endpoint
// announces it, else after the delay that detecting a loss takes.
func (w *World) statusChanged(ep *endpoint, status policy.EndpointStatus, announced bool) {
	limits := w.scenario.Discovery.DetectDelay
	if announced {
		limits = w.scenario.Discovery.AnnounceDelay
	}
	random := stream(w.seed, "notice", int(ep.number)*1000+ep.incarnation)
	at := w.now + limits[0] + policy.Time(random.Float64()*float64(limits[1]-limits[0]))
	w.queue.add(
		event{
			at:   at,
			rank: rankWorld,
			do:   (*World).discoveryLearned,
			a:    int32(ep.number),
			b:    int32(status),
			c:    uint64(ep.incarnation),
		},
	)
}

// discoveryLearned runs when discovery learns of a change, and schedules the notification of each instance. It ignores
// a change that is out of date.
func (w *World) discoveryLearned(e *event) {
	ep := w.endpoints[e.a]
	status := policy.EndpointStatus(e.b)
	if uint64(ep.incarnation) != e.c || ep.knownStatus == status && ep.knownStart == ep.started {
		return
	}
	if status == policy.Removed && ep.status != policy.Removed && !ep.unreachable() && !ep.down {
		return // the endpoint came back before its loss was detected
	}
	ep.knownStatus, ep.knownStart = status, ep.started
	w.version++
	ep.knownVersion = w.version
	for _, inst := range w.instances {
		w.queue.add(
			event{
				at:   w.nextNotification(inst),
				rank: rankWorld,
				do:   (*World).changeArrived,
				a:    int32(inst.number),
				b:    e.a,
				c:    uint64(ep.knownVersion),
			},
		)
	}
}

// nextNotification returns when an instance is next notified. If changes are sent at intervals, each instance has its
// own phase.
func (w *World) nextNotification(inst *instance) policy.Time {
	at := w.now + w.scenario.Network.Near
	if step := w.scenario.Discovery.Interval; step > 0 {
		phase := policy.Time(uint64(step) * uint64(inst.number) / uint64(len(w.instances)))
		at = w.now + step - (w.now+phase)%step
	}
	return at
}

// changeArrived runs when a change of an endpoint reaches an instance.
func (w *World) changeArrived(e *event) {
	inst, ep := w.instances[e.a], w.endpoints[e.b]
	if w.now < w.listsDelayedUntil {
		w.queue.add(
			event{at: w.listsDelayedUntil, rank: rankWorld, do: (*World).changeArrived, a: e.a, b: e.b, c: e.c},
		)
		return
	}
	if !inst.alive || !inst.following || uint64(ep.knownVersion) != e.c ||
		inst.version >= ep.knownVersion && inst.list[ep] == (notifiedStatus{ep.knownStatus, ep.knownStart}) {
		return // the instance has the change already, or a later change of the same endpoint follows
	}
	inst.notify(policy.ListChanges, []*endpoint{ep})
}

// notify sends an instance a list of the endpoints with the status that discovery knows. Full lists leave out removed
// endpoints.
func (inst *instance) notify(kind policy.ListKind, endpoints []*endpoint) {
	w := inst.world
	w.members = w.members[:0]
	for _, ep := range endpoints {
		if ep.knownStatus == policy.Removed && kind == policy.ListFull {
			if notified, known := inst.list[ep]; known && notified.status != policy.Removed {
				inst.list[ep] = notifiedStatus{policy.Removed, ep.knownStart}
				w.judge.EndpointNotified(w.sinceStart(w.now), inst.number, ep.number, policy.Removed, ep.knownStart)
			}
			continue
		}
		member := w.member(ep)
		member.Status, member.Started = ep.knownStatus, ep.knownStart
		w.members = append(w.members, member)
		inst.list[ep] = notifiedStatus{ep.knownStatus, ep.knownStart}
		w.judge.EndpointNotified(w.sinceStart(w.now), inst.number, ep.number, ep.knownStatus, ep.knownStart)
	}
	inst.version = w.version
	inst.decider.UpdateEndpoints(w.now, kind, w.members)
}

// requestList schedules the arrival of the complete list at an instance, after the minimum announce delay. It does
// nothing if the instance waits for the list already.
func (w *World) requestList(inst *instance) {
	if inst.pollPending {
		return
	}
	inst.pollPending = true
	delay := w.scenario.Discovery.AnnounceDelay[0]
	w.queue.add(
		event{at: w.now + delay, rank: rankWorld, do: (*World).listArrived, a: int32(inst.number),
			b: int32(inst.incarnation)},
	)
}

// listArrived runs when the complete list reaches an instance. A list-behind fault delays it.
func (w *World) listArrived(e *event) {
	inst := w.instances[e.a]
	if !inst.alive || inst.incarnation != int(e.b) {
		return
	}
	if w.now < w.listsDelayedUntil {
		w.queue.add(event{at: w.listsDelayedUntil, rank: rankWorld, do: (*World).listArrived, a: e.a, b: e.b})
		return
	}
	inst.pollPending, inst.following = false, true
	inst.notify(policy.ListFull, w.endpoints)
}
