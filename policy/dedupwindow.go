package policy

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
