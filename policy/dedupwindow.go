package policy

// Longest times until a change of the list is known.
const (
	pushedListDelay = 2 * Second
	polledListDelay = 6 * Second
)

// A keyed request that may have run may be sent again within its group, because the endpoints of a group
// recognise a repeat and drop it. They do so only for the window of the request's class, so the repeat must
// have arrived completely by then: an endpoint runs a request when it has received the last byte.

// repeatBy returns the time before which a repeat of a request that may have run must have arrived at the
// endpoint: never if it may arrive at any time, 0 if it must not be sent there.
func (b *Balancer) repeatBy(r *request, e *endpoint) Time {
	class := b.class(r)
	switch class.Idempotency {
	case Idempotent:
		return never
	case NonIdempotent:
		return 0
	}
	if class.Group != GroupAll && !b.ranInGroup(r, class.Group, e) {
		return 0
	}
	return r.ranAt + class.Window - b.settings.answerMargin()
}

// ranInGroup reports whether the request, which may have run, surely ran in the endpoint's group if it ran.
func (b *Balancer) ranInGroup(r *request, group Group, e *endpoint) bool {
	if r.ranOn == noEndpoint {
		return false
	}
	ranOn := &b.table.endpoints[r.ranOn]
	if !sameGroup(group, ranOn, e) {
		return false
	}
	if ranOn.ReplacedBy == 0 {
		return true
	}
	// The attempt may have reached the endpoint that had come up at the address.
	successor, known := b.table.indexes[ranOn.ReplacedBy]
	return known && sameGroup(group, &b.table.endpoints[successor], e)
}

// sameGroup reports whether two endpoints are in the same deduplication group.
func sameGroup(group Group, a, b *endpoint) bool {
	switch group {
	case GroupZone:
		return a.Zone == b.Zone
	case GroupCell:
		return a.Cell == b.Cell
	default:
		return true
	}
}

// mayRepeatOn reports whether a request that may have run can safely be sent to the endpoint.
func (b *Balancer) mayRepeatOn(now Time, r *request, e *endpoint) bool {
	class := b.class(r)
	if class.Idempotency == Keyed && class.Group != GroupAll && e.inDoubt(now) {
		return false
	}
	return now < b.repeatBy(r, e)
}

// An endpoint that closes all connections, or can't be connected to, may have gone. What comes up at its
// address can be an endpoint of another group, until the list tells.

// ConnectionsLost notes that the endpoint has closed all connections to it.
func (b *Balancer) ConnectionsLost(now Time, id EndpointID) {
	if index, known := b.table.indexes[id]; known {
		b.doubt(now, &b.table.endpoints[index])
	}
}

// listDelay returns how long the list may take to tell that an endpoint has gone.
func (b *Balancer) listDelay() Time {
	if b.settings.PollList {
		return polledListDelay
	}
	return pushedListDelay
}

// doubt notes that the endpoint may have gone.
func (b *Balancer) doubt(now Time, e *endpoint) {
	if !e.inDoubt(now) {
		e.doubtedAt = now
	}
	e.doubtedUntil = now + b.listDelay()
}

// inDoubt reports whether another endpoint may have come up at the endpoint's address.
func (e *endpoint) inDoubt(now Time) bool { return now < e.doubtedUntil && now >= e.doubtedAt }

// ArriveBy returns the time before which the request's latest attempt must have arrived at its endpoint
// completely. limited is false if the attempt may arrive at any time. The settings may have changed since the
// attempt was decided on; if they no longer allow it at all, the time has passed already.
func (b *Balancer) ArriveBy(handle Handle) (by Time, limited bool) {
	r := b.requests.lookup(handle)
	if r == nil {
		return 0, true
	}
	if !r.mayHaveRun {
		return never, false
	}
	by = b.repeatBy(r, &b.table.endpoints[r.lastTried()])
	return by, by != never
}
