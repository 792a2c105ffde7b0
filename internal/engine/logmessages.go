package engine

// Log messages that the fault-injection tests search for in the logs of processes.
const (
	// LogLeaseHeld is logged when the instance applies the rule sets that its lease names.
	LogLeaseHeld = "rules: lease held"
	// LogLeaseExpired is logged when the lease has expired and the strictest of all known rules apply.
	LogLeaseExpired = "rules: lease expired, no retries of keyed requests, nothing to cold endpoints"
	// LogRequestAdmitted is logged at the debug level for each request if rules are agreed on.
	LogRequestAdmitted = "request admitted"
	// LogAttemptStarted is logged at the debug level for each attempt if rules are agreed on.
	LogAttemptStarted = "attempt started"
)
