package baseline

import "pepperlead/policy"

// firstAllowed returns the first endpoint from that place on that the request may use.
func (b *balancer) firstAllowed(r *request, from int) policy.EndpointID {
	for i := range b.ready {
		if id := b.ready[(from+i)%len(b.ready)]; b.allowed(r, id) {
			return id
		}
	}
	return noEndpoint
}

func (b *balancer) chooseRandom(r *request) policy.EndpointID {
	if len(b.ready) == 0 {
		return noEndpoint
	}
	return b.firstAllowed(r, b.random.IntN(len(b.ready)))
}

func (b *balancer) chooseInRing(r *request) policy.EndpointID {
	b.nextInRing++
	return b.firstAllowed(r, b.nextInRing)
}

// chooseFewest chooses the endpoint with the fewest attempts of this instance; the first from a random place wins ties.
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

func (b *balancer) chooseOfTwo(r *request) policy.EndpointID {
	first := b.chooseRandom(r)
	second := b.chooseRandom(r)
	if first != noEndpoint && second != noEndpoint && b.endpoints[second].inFlight < b.endpoints[first].inFlight {
		return second
	}
	return first
}

func (b *balancer) chooseBySlot(r *request) policy.EndpointID {
	if b.slots == nil {
		return noEndpoint
	}
	return b.slots.Lookup(r.hash, func(id policy.EndpointID) bool { return b.allowed(r, id) })
}

// chooseBest chooses by the true state of the fleet. A first attempt that would come too late to be worth much is not
// made, as it would cost others their turn.
func (b *balancer) chooseBest(r *request) policy.EndpointID {
	allowed := func(id policy.EndpointID) bool { return b.allowed(r, id) }
	id, expected, found := b.view.Best(b.now, b.settings.Zone, r.class, r.key, allowed)
	if !found || expected > b.settings.Classes[r.class].Target && r.attempts == 0 {
		return noEndpoint
	}
	return id
}
