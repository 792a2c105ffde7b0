package policy

// Front carries out what a Balancer decides. Its methods are called within the Balancer's own.
type Front interface {
	// Attempt sends the request to the endpoint and waits no longer than timeout for its answer.
	Attempt(request Handle, endpoint EndpointID, timeout Time)
	// Cancel cancels an attempt that is in flight.
	Cancel(request Handle, attempt AttemptNo)
	// Succeed passes the endpoint's answer on to the client, also one that declines the request.
	Succeed(request Handle, attempt AttemptNo)
	// Reject answers that the request has not been processed and may be sent again.
	Reject(request Handle, retryAfter Time)
	// Fail answers that the request failed and may have run.
	Fail(request Handle)
	// Wake calls Woken after the given time.
	Wake(after Time)
	// FollowList starts or stops following the endpoint list.
	FollowList(follow bool)
	// Release allows idle connections to the endpoint to be closed.
	Release(endpoint EndpointID)
	// Forget drops what is kept of an endpoint that has left. Should its id come again, it is a new endpoint.
	Forget(endpoint EndpointID)
	// Log writes a line to the log.
	Log(line string)
}
