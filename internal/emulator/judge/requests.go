package judge

import "pepperlead/policy"

// request is a request that an instance has accepted: one try of a client's request.
type request struct {
	inUse          bool
	abandoned      bool // its instance died or its client left: no answer is expected
	answered       bool
	deadlinePassed bool
	number         uint64
	instance       InstanceID
	class          policy.ClassID
	deadline       policy.Time
	attempts       []attempt
	inFlight       int
	key            uint64
}

// clientRequest is a request of a client, over all its tries.
type clientRequest struct {
	begunAt      policy.Time
	class        policy.ClassID
	tenant       policy.TenantID
	value        float64
	earned       float64
	openRequests int  // its requests without a final answer
	ended        bool // the client sends no further try
}

// ClientRequestBegun records a client's request when it is first sent. value is earned by a response within the target
// latency.
func (j *Judge) ClientRequestBegun(at policy.Time, class policy.ClassID, tenant policy.TenantID,
	value float64) ClientRequestID {
	var id ClientRequestID
	if n := len(j.freeClientRequests); n > 0 {
		id = j.freeClientRequests[n-1]
		j.freeClientRequests = j.freeClientRequests[:n-1]
	} else {
		id = ClientRequestID(len(j.clientRequests))
		j.clientRequests = append(j.clientRequests, clientRequest{})
	}
	j.clientRequests[id] = clientRequest{begunAt: at, class: class, tenant: tenant, value: value}
	j.clientRequestCount++
	return id
}

// ClientRequestEnded records that the client sends no further try.
func (j *Judge) ClientRequestEnded(id ClientRequestID) {
	j.clientRequests[id].ended = true
	j.closeClientRequest(id)
}

// closeClientRequest adds a client's request to the sums and frees its ID, once the request has ended and no try is
// open.
func (j *Judge) closeClientRequest(id ClientRequestID) {
	client := &j.clientRequests[id]
	if !client.ended || client.openRequests > 0 {
		return
	}
	if client.begunAt < j.config.Length {
		j.addValue(client)
	}
	j.freeClientRequests = append(j.freeClientRequests, id)
}

// addValue adds the value of a client's request to its second, class and tenant.
func (j *Judge) addValue(client *clientRequest) {
	i := int(client.begunAt / policy.Second)
	for len(j.seconds) <= i {
		j.seconds = append(j.seconds, secondValue{})
	}
	j.seconds[i].requested += client.value
	j.seconds[i].earned += client.earned
	j.byClass[client.class].add(client)
	if client.tenant >= 0 {
		j.byTenant[client.tenant].add(client)
	}
}

// RequestAccepted records a request that an instance has accepted, and that needs a final answer before its deadline.
func (j *Judge) RequestAccepted(_ policy.Time, client ClientRequestID, instance InstanceID, class policy.ClassID,
	deadline policy.Time) RequestID {
	var id RequestID
	if n := len(j.freeRequests); n > 0 {
		id = j.freeRequests[n-1]
		j.freeRequests = j.freeRequests[:n-1]
	} else {
		id = RequestID(len(j.requests))
		j.requests = append(j.requests, request{})
	}
	j.lastNumber++
	reused := j.requests[id].attempts[:0]
	j.requests[id] = request{
		inUse:    true,
		number:   j.lastNumber,
		instance: instance,
		class:    class,
		deadline: deadline,
		attempts: reused,
	}
	j.clientRequests[client].openRequests++
	return id
}

// SetKey records the key of a request; 0: none.
func (j *Judge) SetKey(id RequestID, key uint64) { j.requests[id].key = key }

// RequestAnswered records a final answer and checks the rules on it. The first successful answer earns the value of the
// client's request.
func (j *Judge) RequestAnswered(at policy.Time, id RequestID, client ClientRequestID, answer Answer) {
	r := &j.requests[id]
	switch {
	case r.abandoned:
		return // its client no longer waits
	case r.answered:
		j.violate(1, at, r.number, "a second final answer")
		return
	case at > r.deadline:
		j.violate(1, at, r.number, "answered %v after its cut-off", seconds(at-r.deadline))
	}
	class := &j.config.Classes[r.class]
	if answer == Rejected {
		j.checkRejection(at, r, class)
	}
	r.answered = true
	j.answers[answer]++
	answered := &j.clientRequests[client]
	if answer == Succeeded && answered.earned == 0 {
		if at <= answered.begunAt+class.Target {
			answered.earned = answered.value
		} else {
			j.late++
			answered.earned = answered.value * class.LateValue
		}
	}
	answered.openRequests--
	j.closeClientRequest(client)
	j.releaseRequest(id)
}

// checkRejection checks a rejection by rule 2. The client's retry is a new request, which no endpoint can recognize as
// a repetition, and which may go to any endpoint. So the request must be repeatable anywhere, or must not have run.
func (j *Judge) checkRejection(at policy.Time, r *request, class *policy.Class) {
	repeatable := class.Idempotency == policy.Idempotent ||
		class.Idempotency == policy.Keyed && class.Group == policy.GroupAll
	if repeatable {
		return
	}
	for _, earlier := range r.attempts {
		if earlier.mayHaveRun || earlier.inFlight {
			j.violate(2, at, r.number, "turned back, though it may have run at server %d", earlier.endpoint)
			return
		}
	}
}

// DeadlinePassed records that the deadline of a request has passed, so that its client no longer waits. It must be
// called for every request, answered or not.
func (j *Judge) DeadlinePassed(at policy.Time, id RequestID, client ClientRequestID) {
	r := &j.requests[id]
	if !r.answered && !r.abandoned {
		j.violate(1, at, r.number, "no final answer before its cut-off")
		j.ClientLeft(id, client)
	}
	r.deadlinePassed = true
	j.releaseRequest(id)
}

// ClientLeft records that the client or the instance of a request is gone, so that no answer is expected any more.
func (j *Judge) ClientLeft(id RequestID, client ClientRequestID) {
	r := &j.requests[id]
	if r.abandoned || r.answered {
		return
	}
	r.abandoned = true
	j.clientRequests[client].openRequests--
	j.closeClientRequest(client)
	j.releaseRequest(id)
}

// releaseRequest frees the ID of a request for reuse once no further event can concern it.
func (j *Judge) releaseRequest(id RequestID) {
	r := &j.requests[id]
	if r.inUse && (r.answered || r.abandoned) && r.deadlinePassed && r.inFlight == 0 {
		r.inUse = false
		j.freeRequests = append(j.freeRequests, id)
	}
}
