package policy

// maxTriedEndpoints is the number of latest attempts of a request whose endpoints are remembered.
const maxTriedEndpoints = 8

// attemptResult is what a continuation is called with: the result of an attempt or, for a queued request, the
// endpoint chosen for it, with outcome and attempt unset.
type attemptResult struct {
	now      Time
	outcome  Outcome
	endpoint endpointIndex
	attempt  AttemptNo
}

// continuation is the next step of a request. It is called when an attempt has ended or, for a queued
// request, when an endpoint was chosen.
type continuation func(*Balancer, *request, attemptResult)

// request is the state of a request from its admission to its release.
type request struct {
	generation uint32 // generation of its pool entry
	index      uint32 // index of its pool entry
	inUse      bool   // whether the pool entry holds a request
	answered   bool   // whether it was answered or its client has left
	queued     bool
	mayHaveRun bool // whether an attempt may have run on an endpoint
	class      ClassID

	keyless      bool    // whether it came without a key
	key          uint64  // hash of its key; random if it is keyless
	keyFrequency float64 // part of the recent requests that have its key
	value        float64 // expected value for each nanosecond that an endpoint works on it

	home      endpointIndex // endpoint that it waits for in the queue; noEndpoint: any
	arrivedAt Time          // when it arrived; earlier for some clients' retries, see backdateRetry
	deadline  Time
	waitUntil Time // end of its time in the queue

	attempts    int                              // attempts so far
	inFlight    int                              // attempts in flight
	sentAt      Time                             // when the latest attempt was sent
	ranAt       Time                             // when the first attempt that may have run was sent
	ranOn       endpointIndex                    // endpoint of the attempt sent at ranAt; noEndpoint: none
	tried       [maxTriedEndpoints]endpointIndex // ring of the endpoints of the latest attempts
	bodyPending bool                             // whether its body is incomplete
	endReason   EndReason                        // why it ended without an endpoint's answer
	next        continuation
}

// handle returns the handle that identifies the request to the front.
func (r *request) handle() Handle { return newHandle(r.generation, r.index) }

// markAnswered ends the request: outcomes of its attempts that are still in flight have no effect on it.
func (r *request) markAnswered() {
	r.answered = true
	r.next = func(*Balancer, *request, attemptResult) {}
}

// lastTried returns the endpoint of the latest attempt.
func (r *request) lastTried() endpointIndex {
	return r.tried[max(0, r.attempts-1)%len(r.tried)]
}

// triedEndpoints returns the endpoints of the latest attempts, maxTriedEndpoints at most, in no fixed order.
func (r *request) triedEndpoints() []endpointIndex {
	return r.tried[:min(r.attempts, len(r.tried))]
}

// requestPool holds the requests in flight and reuses their entries.
type requestPool struct {
	entries []request
	free    []uint32
}

// add returns an entry for a new request. The caller sets its fields, except for generation, index and inUse.
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

// lookup returns the request of a handle, or nil if it has been released.
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

// release frees the request's entry if it is answered, not queued, and has no attempt in flight.
func (p *requestPool) release(r *request) {
	if r.inUse && r.answered && r.inFlight == 0 && !r.queued {
		r.inUse = false
		p.free = append(p.free, r.index)
	}
}

// mayHaveRunOn reports whether the endpoint is request.ranOn of any request in the pool. The state of such an
// endpoint is still needed: its zone and cell decide where the request can be sent again.
func (p *requestPool) mayHaveRunOn(index endpointIndex) bool {
	for i := range p.entries {
		if p.entries[i].inUse && p.entries[i].ranOn == index {
			return true
		}
	}
	return false
}
