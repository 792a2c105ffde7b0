package policy

// Front carries out the decisions of a Balancer. Its methods are called from within the Balancer's methods.
type Front interface {
	// Attempt sends the request to the endpoint. If there is no answer within timeout, the attempt's outcome
	// is TimedOut.
	Attempt(request Handle, endpoint EndpointID, timeout Time)
	// Cancel cancels an attempt that is in flight.
	Cancel(request Handle, attempt AttemptNo)
	// Succeed passes the endpoint's answer on to the client. The answer may be a client error (see Declined).
	Succeed(request Handle, attempt AttemptNo)
	// Reject tells the client that the request was rejected and may be sent again after retryAfter.
	Reject(request Handle, retryAfter Time)
	// Fail tells the client that the request failed and may have run on an endpoint.
	Fail(request Handle)
	// Wake schedules a call of Balancer.Woken; after is the time from now until that call.
	Wake(after Time)
	// FollowList starts or stops following the endpoint list.
	FollowList(follow bool)
	// ReleaseConnections allows the idle connections to the endpoint to be closed.
	ReleaseConnections(endpoint EndpointID)
	// Forget drops the state of an endpoint that was removed. If its id is listed again, it is a new
	// endpoint.
	Forget(endpoint EndpointID)
	// Log writes a line to the log.
	Log(line string)
}
