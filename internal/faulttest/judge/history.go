// Package judge checks the records of a fault-injection test, made by processes, endpoints and clients, for violations
// of the rule sets. It shares no code with the program under test: the caller states what each rule set allows. All
// times are nanoseconds of one machine's clock.
package judge

import "time"

// RuleSet holds what one revision of the rule set allows.
type RuleSet struct {
	Idempotency string // "reissuable", "numbered" or "at-most-once"
	Window      time.Duration
	Endpoints   []string // nil: any endpoint is allowed
	Drained     []string
}

// ActiveRules holds the revisions that a process applied at the time At, and whether it held a lease then.
type ActiveRules struct {
	Process   string
	Revisions []int
	Leased    bool
	At        int64
}

// Step is the admission of a request at an instance, or one attempt for it.
type Step struct {
	ActiveRules
	ID            string
	Endpoint      string // empty: the step is the admission
	AttemptNumber int
}

// isAttempt reports whether the step is an attempt.
func (s *Step) isAttempt() bool { return s.Endpoint != "" }

// Execution is one execution of a request by an endpoint.
type Execution struct {
	ID       string
	Endpoint string
	At       int64
}

// ClientRequest is a request of a client and its response.
type ClientRequest struct {
	ID      string
	Process string
	SentAt  int64
	EndedAt int64
	Status  int // 0: no response
}

// Interval is a span of time of one process.
type Interval struct {
	Process string
	From    int64
	To      int64
}

// overlaps reports whether the interval belongs to the process and overlaps a span of time.
func (i *Interval) overlaps(process string, from, to int64) bool {
	return i.Process == process && i.From <= to && from <= i.To
}

// EndpointList is an endpoint list that discovery announced. Endpoints that are not ready on it must get no new
// attempts once DrainGrace has passed.
type EndpointList struct {
	At    int64
	Ready []string
}

// DrainGrace is how long attempts may still follow the previous list once a new one is announced: one second, plus the
// time that the new list takes to reach an instance.
const DrainGrace = 1500 * time.Millisecond

// History holds everything that was recorded in a fault-injection test.
type History struct {
	RuleSets       map[int]RuleSet
	Changes        []ActiveRules
	Steps          []Step
	Executions     []Execution
	ClientRequests []ClientRequest
	// DownIntervals holds the intervals in which processes were stopped or not running, with a margin after each
	// interval for responses that were lost with the process.
	DownIntervals []Interval
	Lists         []EndpointList // in the order of their announcement
	// UnnotifiedIntervals holds the intervals in which processes may not have been notified by discovery.
	UnnotifiedIntervals []Interval
	Deadline            time.Duration
	Slack               time.Duration // longest delay of a client's response that the machine and the links may cause
}
