package engine

import "pepperlead/policy"

// MaxFronts is how many fronts an engine may have.
const MaxFronts = 4

// Front speaks a protocol: it hands requests to the engine and carries out what the module decides for them. Its
// methods are called by the loop and must not block.
type Front interface {
	// Gather hands over what has happened since the last call.
	Gather(now policy.Time)
	// More tells whether there is something to gather at once.
	More() bool
	// Send begins an attempt. The front reports its end by Engine.AttemptEnded, exactly once.
	Send(now policy.Time, t *Request, to *Endpoint)
	// TimedOut ends the attempt that is in flight, if there is one, because its time is up.
	TimedOut(now policy.Time, t *Request)
	// CancelAttempt ends the attempt that is in flight, if there is one, because the module wants it no more.
	CancelAttempt(now policy.Time, t *Request)
	// Succeed gives the final answer. The front calls Engine.Answered once the client has it; the same holds for
	// Reject and Fail.
	Succeed(now policy.Time, t *Request)
	// Reject answers that the request was not processed and when the client may retry.
	Reject(now policy.Time, t *Request, retryIn policy.Time)
	// Fail answers that the request has failed.
	Fail(now policy.Time, t *Request)
	// DiscardResponse says that the response of the last attempt is not passed on.
	DiscardResponse(t *Request)
	// Released says that nothing refers to the request any more, so that its FrontData can be used again.
	Released(t *Request)
	// CloseIdle closes the idle connections to the endpoint.
	CloseIdle(s *Endpoint)
	// Forget drops all that the front has of the endpoint.
	Forget(s *Endpoint)
	// BeginShutdown has the front accept no new clients.
	BeginShutdown(now policy.Time)
	// Drained tells whether no further request can come.
	Drained(now policy.Time) bool
	// Close releases the front's resources.
	Close()
}

// RulesFront is a front that supports classes and tenants that come and go while it runs.
type RulesFront interface {
	// SetClass sets the class of that name; NoClass removes it.
	SetClass(name string, class policy.ClassID, deadline policy.Time)
	// SetTenant sets the tenant of that name; NoTenant removes it.
	SetTenant(name string, tenant policy.TenantID)
}

// Kinds of final answers, as Latency and Answered have them.
const (
	// AnswerSucceeded is a successful answer.
	AnswerSucceeded = iota
	// AnswerDeclined is an endpoint's answer to a request that it can't use.
	AnswerDeclined
	// AnswerRejected is the answer to a request that was not processed.
	AnswerRejected
	// AnswerFailed is the answer to a request that has failed.
	AnswerFailed
	// answerClientLeft is the end of a request whose client has gone; it is not measured.
	answerClientLeft
)

// Latency measures final answers by class and by kind (AnswerSucceeded and so on).
type Latency interface {
	// Observe measures one answer.
	Observe(class policy.ClassID, answer int, spent policy.Time)
	// SetClassName gives the class of that id a name.
	SetClassName(class policy.ClassID, name string)
}
