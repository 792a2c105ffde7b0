package baseline

import "pepperlead/policy"

// firstAllowed returns the first endpoint of ready, from the given index on, that the request may use.
func (b *balancer) firstAllowed(r *request, from int) policy.EndpointID {
	for i := range b.ready {
		if id := b.ready[(from+i)%len(b.ready)]; b.allowed(r, id) {
			return id
		}
	}
	return noEndpoint
}

// chooseRandom chooses a random endpoint.
func (b *balancer) chooseRandom(r *request) policy.EndpointID {
	if len(b.ready) == 0 {
		return noEndpoint
	}
	return b.firstAllowed(r, b.random.IntN(len(b.ready)))
}

// chooseInRing chooses the next endpoint in rotation.
func (b *balancer) chooseInRing(r *request) policy.EndpointID {
	b.nextInRing++
	return b.firstAllowed(r, b.nextInRing)
}

// chooseFewest chooses the endpoint with the fewest attempts of this instance in flight. Among several, it chooses the
// first one from a random index on.
func (b *balancer) chooseFewest(r *request) policy.EndpointID {
	best := noEndpoint
	from := 0
	if len(b.ready) > 0 {
		from = b.random.IntN(len(b.ready))
	}
	for i := range b.ready {
		id := b.ready[(from+i)%len(b.ready)]
		if b.allowed(r, id) && (best == noEndpoint || b.endpoints[id].inFlight < b.endpoints[best].inFlight) {
			best = id
		}
	}
	return best
}

// chooseOfTwo draws two endpoints and chooses the one with fewer attempts of this instance in flight.
func (b *balancer) chooseOfTwo(r *request) policy.EndpointID {
	first := b.chooseRandom(r)
	second := b.chooseRandom(r)
	if first != noEndpoint && second != noEndpoint && b.endpoints[second].inFlight < b.endpoints[first].inFlight {
		return second
	}
	return first
}

// chooseBySlot chooses by the slot table: requests with the same key go to the same endpoint.
func (b *balancer) chooseBySlot(r *request) policy.EndpointID {
	if b.slots == nil {
		return noEndpoint
	}
	return b.slots.Lookup(r.hash, func(id policy.EndpointID) bool { return b.allowed(r, id) })
}

// chooseBest chooses by the true state of the fleet. It makes no first attempt that would end after the target latency:
// the response would have little value, and the attempt would delay others.
func (b *balancer) chooseBest(r *request) policy.EndpointID {
	allowed := func(id policy.EndpointID) bool { return b.allowed(r, id) }
	id, expected, found := b.view.Best(b.now, b.settings.Zone, r.class, r.key, allowed)
	if !found || expected > b.settings.Classes[r.class].Target && r.attempts == 0 {
		return noEndpoint
	}
	return id
}
