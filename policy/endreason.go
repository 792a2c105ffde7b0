package policy

// EndReason is why a request ended without an endpoint's answer.
type EndReason uint8

// Reasons to end a request.
const (
	// EndedByEndpoint means that an endpoint's answer ended the request, or that it has not ended.
	EndedByEndpoint EndReason = iota
	// EndedByOverload means that no endpoint had room in the time that the request may wait.
	EndedByOverload
	// EndedByDeadline means that the time of the request was up.
	EndedByDeadline
	// EndedByMaxAttempts means that all attempts were used up.
	EndedByMaxAttempts
	// EndedUnsent means that the last attempt was not sent.
	EndedUnsent
	// EndedWithoutEndpoint means that there is no endpoint to which the request may be sent again.
	EndedWithoutEndpoint
	// EndedByRetryBudget means that the retry budget was used up.
	EndedByRetryBudget
	// EndedWorthless means that an answer would come too late to have any value.
	EndedWorthless
	// NumEndReasons is the number of reasons.
	NumEndReasons
)

// String returns the reason as it stands in names of counters and in the log.
func (r EndReason) String() string {
	return [NumEndReasons]string{
		"endpoint", "overload", "deadline", "max_attempts", "unsent", "no_endpoint", "retry_budget",
		"worthless",
	}[r]
}

// EndReason returns why a request that the front is just told to reject or to fail has ended.
func (b *Balancer) EndReason(handle Handle) EndReason {
	if r := b.requests.lookup(handle); r != nil {
		return r.endReason
	}
	return EndedByEndpoint
}

// String returns the outcome in the words of the log.
func (o Outcome) String() string {
	return [...]string{
		"succeeded", "errored", "rejected", "timed out", "not connected", "connection lost", "cancelled",
		"not sent", "declined",
	}[o]
}
