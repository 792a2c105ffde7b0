package judge

import "pepperlead/policy"

// request is a request that an instance accepted.
type request struct {
	inUse          bool
	abandoned      bool // its instance died, or its client left: no answer is due
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

// clientRequest is what a client wants, over all its retries.
type clientRequest struct {
	begunAt      policy.Time
	class        policy.ClassID
	tenant       policy.TenantID
	value        float64
	earned       float64
	openRequests int
	ended        bool
}

// ClientRequestBegun records a client's request when it is first sent. value is what a response in time is worth.
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

// ClientRequestEnded records that the client sends no further retry.
func (j *Judge) ClientRequestEnded(id ClientRequestID) {
	j.clientRequests[id].ended = true
	j.closeClientRequest(id)
}

// closeClientRequest adds a client's request to the sums once it has ended and none of its requests is open.
func (j *Judge) closeClientRequest(id ClientRequestID) {
	wanted := &j.clientRequests[id]
	if !wanted.ended || wanted.openRequests > 0 {
		return
	}
	if wanted.begunAt < j.config.Length {
		j.addValue(wanted)
	}
	j.freeClientRequests = append(j.freeClientRequests, id)
}

func (j *Judge) addValue(wanted *clientRequest) {
	i := int(wanted.begunAt / policy.Second)
	for len(j.seconds) <= i {
		j.seconds = append(j.seconds, secondValue{})
	}
	j.seconds[i].requested += wanted.value
	j.seconds[i].earned += wanted.earned
	j.byClass[wanted.class].add(wanted)
	if wanted.tenant >= 0 {
		j.byTenant[wanted.tenant].add(wanted)
	}
}

// RequestAccepted records a request that an instance has accepted. A final answer is due before the deadline.
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

// RequestAnswered records a final answer.
func (j *Judge) RequestAnswered(at policy.Time, id RequestID, client ClientRequestID, answer Answer) {
	r := &j.requests[id]
	switch {
	case r.abandoned:
		return // nobody reads it
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
	wanted := &j.clientRequests[client]
	if answer == Succeeded && wanted.earned == 0 {
		if at <= wanted.begunAt+class.Target {
			wanted.earned = wanted.value
		} else {
			j.late++
			wanted.earned = wanted.value * class.LateValue
		}
	}
	wanted.openRequests--
	j.closeClientRequest(client)
	j.releaseRequest(id)
}

// checkRejection holds a rejection to rule 2: the client retries with a request that no endpoint can tell from
// another, so it must be safe to repeat anywhere or must not have run.
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

// DeadlinePassed records for every request that its deadline has passed, whatever became of it: its client waits no
// longer.
func (j *Judge) DeadlinePassed(at policy.Time, id RequestID, client ClientRequestID) {
	r := &j.requests[id]
	if !r.answered && !r.abandoned {
		j.violate(1, at, r.number, "no final answer before its cut-off")
		j.ClientLeft(id, client)
	}
	r.deadlinePassed = true
	j.releaseRequest(id)
}

// ClientLeft records that a request's client or instance is gone: no answer is due any more.
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

// releaseRequest makes the id free once nothing more can happen to the request.
func (j *Judge) releaseRequest(id RequestID) {
	r := &j.requests[id]
	if r.inUse && (r.answered || r.abandoned) && r.deadlinePassed && r.inFlight == 0 {
		r.inUse = false
		j.freeRequests = append(j.freeRequests, id)
	}
}
