package engine

// Messages of log lines that tests with faults between processes read back.
const (
	// LogLeaseHeld is logged when the instance acts by the rule sets that its lease names.
	LogLeaseHeld = "rules: lease held"
	// LogLeaseExpired is logged when the lease has run out and the strictest of all known rules hold.
	LogLeaseExpired = "rules: lease expired, no retries of keyed requests, nothing to cold endpoints"
	// LogRequestAdmitted is a debug line for each request, where rules are agreed on.
	LogRequestAdmitted = "request admitted"
	// LogAttemptStarted is a debug line for each attempt, where rules are agreed on.
	LogAttemptStarted = "attempt started"
)
