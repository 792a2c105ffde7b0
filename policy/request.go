package policy

// maxTriedEndpoints is how many endpoints of a request's attempts are remembered.
const maxTriedEndpoints = 8

// attemptResult is the end of an attempt, or the endpoint found for a queued request.
type attemptResult struct {
	now      Time
	outcome  Outcome
	endpoint endpointIndex
	attempt  AttemptNo
}

// continuation is the next step of a request.
type continuation func(*Balancer, *request, attemptResult)

// request is a request from its admission to its release.
type request struct {
	generation uint32
	index      uint32 // in the pool
	inUse      bool
	answered   bool
	queued     bool
	mayHaveRun bool
	class      ClassID

	keyless      bool
	key          uint64  // hash of its key, or drawn at random
	keyFrequency float64 // its key's part of the traffic
	value        float64 // value a second of an endpoint's work

	home      endpointIndex // endpoint that it waits for; noEndpoint: any
	arrivedAt Time
	deadline  Time
	waitUntil Time // queued no longer than that

	attempts    int
	inFlight    int
	sentAt      Time
	ranAt       Time // sending of the first attempt that may have run
	ranOn       endpointIndex
	tried       [maxTriedEndpoints]endpointIndex
	bodyPending bool // its body is still coming
	next        continuation
}

// handle is the handle by which the front knows the request.
func (r *request) handle() Handle { return newHandle(r.generation, r.index) }

// markAnswered ends the request: what its attempts still report has no effect.
func (r *request) markAnswered() {
	r.answered = true
	r.next = func(*Balancer, *request, attemptResult) {}
}

// lastTried is the endpoint of the latest attempt.
func (r *request) lastTried() endpointIndex {
	return r.tried[max(0, r.attempts-1)%len(r.tried)]
}

// triedEndpoints are the endpoints of the attempts so far.
func (r *request) triedEndpoints() []endpointIndex {
	return r.tried[:min(r.attempts, len(r.tried))]
}

// requestPool holds the requests in flight and reuses their places.
type requestPool struct {
	entries []request
	free    []uint32
}

// add takes a free place. The caller fills it, and keeps its generation and index.
func (p *requestPool) add() *request {
	if len(p.free) == 0 {
		p.entries = append(p.entries, request{})
		p.free = append(p.free, uint32(len(p.entries)-1))
	}
	index := p.free[len(p.free)-1]
	p.free = p.free[:len(p.free)-1]
	r := &p.entries[index]
	*r = request{
		generation: r.generation + 1,
		index:      index,
		inUse:      true,
		ranOn:      noEndpoint,
	}
	return r
}

// lookup returns the request of a handle, nil where it has been released.
func (p *requestPool) lookup(handle Handle) *request {
	if handle.Index() >= len(p.entries) {
		return nil
	}
	r := &p.entries[handle.Index()]
	if !r.inUse || r.generation != handle.generation() {
		return nil
	}
	return r
}

// release frees the request's place once it is answered and none of its attempts is in flight.
func (p *requestPool) release(r *request) {
	if r.inUse && r.answered && r.inFlight == 0 && !r.queued {
		r.inUse = false
		p.free = append(p.free, r.index)
	}
}

// mayHaveRunOn reports whether a request in use may have run first on the endpoint.
func (p *requestPool) mayHaveRunOn(index endpointIndex) bool {
	for i := range p.entries {
		if p.entries[i].inUse && p.entries[i].ranOn == index {
			return true
		}
	}
	return false
}
