package engine

import "pepperlead/policy"

// MaxFronts is the maximum number of fronts of an engine.
const MaxFronts = 4

// Front implements a protocol: it passes requests to the engine and carries out what the module decides for them. The
// loop calls its methods, which must not block.
type Front interface {
	// Gather passes to the engine everything that has happened since Gather was last called.
	Gather(now policy.Time)
	// HasPending reports whether there is more to gather, in which case the next round starts immediately.
	HasPending() bool
	// Send starts an attempt. The front reports its end by calling Engine.AttemptEnded exactly once.
	Send(now policy.Time, request *Request, to *Endpoint)
	// TimedOut ends the attempt in flight, if there is one, because its timeout has expired.
	TimedOut(now policy.Time, request *Request)
	// CancelAttempt ends the attempt in flight, if there is one, because the module has cancelled it.
	CancelAttempt(now policy.Time, request *Request)
	// Succeed sends the response of the last attempt to the client as the final answer. The front calls Engine.Answered
	// once the client has the answer, and does so after Reject and Fail as well.
	Succeed(now policy.Time, request *Request)
	// Reject answers that the request was not processed, and after which time the client may retry.
	Reject(now policy.Time, request *Request, retryAfter policy.Time)
	// Fail answers that the request has failed.
	Fail(now policy.Time, request *Request)
	// DiscardResponse drops the response of the last attempt, which is not forwarded to the client.
	DiscardResponse(request *Request)
	// Released is called when nothing refers to the request any more, so that its FrontData can be reused.
	Released(request *Request)
	// CloseIdle closes the idle connections to the endpoint.
	CloseIdle(endpoint *Endpoint)
	// Forget drops everything that the front stores about the endpoint.
	Forget(endpoint *Endpoint)
	// BeginShutdown makes the front stop accepting new clients.
	BeginShutdown(now policy.Time)
	// Drained reports whether no further request can arrive.
	Drained(now policy.Time) bool
	// Close releases the front's resources.
	Close()
}

// RulesFront is a front whose classes and tenants can be added and removed while it runs.
type RulesFront interface {
	// SetClass assigns an id and a deadline to the class with that name. The id NoClass removes the class.
	SetClass(name string, class policy.ClassID, deadline policy.Time)
	// SetTenant assigns an id to the tenant with that name. The id NoTenant removes the tenant.
	SetTenant(name string, tenant policy.TenantID)
}

// Kinds of final answers, as passed to Latency.Observe and Engine.Answered.
const (
	// AnswerSucceeded is a successful answer.
	AnswerSucceeded = iota
	// AnswerDeclined is an endpoint's answer that declines the request.
	AnswerDeclined
	// AnswerRejected is the answer to a request that was not processed.
	AnswerRejected
	// AnswerFailed is the answer to a request that has failed.
	AnswerFailed
	// answerClientLeft is the end of a request whose client has left; its latency is not measured.
	answerClientLeft
)

// Latency measures the latency of final answers by class and by kind of answer (AnswerSucceeded and so on).
type Latency interface {
	// Observe records the latency of one answer.
	Observe(class policy.ClassID, answer int, spent policy.Time)
	// SetClassName sets the name of the class with that id.
	SetClassName(class policy.ClassID, name string)
}
