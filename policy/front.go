package policy

// Front carries out the decisions of a Balancer. Its methods are called from within the Balancer's methods.
type Front interface {
	// Attempt sends the request to the endpoint. Without an answer within timeout, the attempt has timed out.
	Attempt(request Handle, endpoint EndpointID, timeout Time)
	// Cancel cancels an attempt that is in flight.
	Cancel(request Handle, attempt AttemptNo)
	// Succeed passes the endpoint's answer on to the client. It may be a client error (see Declined).
	Succeed(request Handle, attempt AttemptNo)
	// Reject answers that the request was rejected and may be sent again after retryAfter.
	Reject(request Handle, retryAfter Time)
	// Fail answers that the request failed and may have run on an endpoint.
	Fail(request Handle)
	// Wake has Balancer.Woken called after the given time.
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
