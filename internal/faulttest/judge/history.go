// Package judge decides from what processes, endpoints and clients recorded whether a cluster kept its rules. It
// shares no code with what it judges: it is given what each rule set allows. All times are of one machine's clock, in
// nanoseconds.
package judge

import "time"

// RuleSet is what a revision of the rules allows.
type RuleSet struct {
	Idempotency string // "reissuable", "numbered" or "at-most-once"
	Window      time.Duration
	Endpoints   []string // nil: any
	Drained     []string
}

// ActiveRules are the revisions by which a process acted at a time.
type ActiveRules struct {
	Process   string
	Revisions []int
	Leased    bool
	At        int64
}

// Step is a step of a request at an instance: its admission or an attempt.
type Step struct {
	ActiveRules
	ID            string
	Endpoint      string // "": it was admitted
	AttemptNumber int
}

// isAttempt reports whether the step is an attempt.
func (s *Step) isAttempt() bool { return s.Endpoint != "" }

// Execution is work that an endpoint has done.
type Execution struct {
	ID       string
	Endpoint string
	At       int64
}

// ClientRequest is a client's request and its answer.
type ClientRequest struct {
	ID      string
	Process string
	SentAt  int64
	EndedAt int64
	Status  int // 0: no answer
}

// Interval is a span in which a process was stopped, had ended, or had just been so.
type Interval struct {
	Process string
	From    int64
	To      int64
}

// overlaps reports whether the process was down at some time of the span.
func (d *Interval) overlaps(process string, from, to int64) bool {
	return d.Process == process && d.From <= to && from <= d.To
}

// EndpointList is a list that discovery announced: endpoints that it does not name as ready get nothing new after the
// grace.
type EndpointList struct {
	At    int64
	Ready []string
}

// DrainGrace is how long after a list an attempt may follow the list before: a second, and what the list takes to
// arrive.
const DrainGrace = 1500 * time.Millisecond

// History is all that was recorded in a fault test.
type History struct {
	RuleSets            map[int]RuleSet
	Changes             []ActiveRules
	Steps               []Step
	Executions          []Execution
	ClientRequests      []ClientRequest
	DownIntervals       []Interval
	Lists               []EndpointList // in order
	UnnotifiedIntervals []Interval     // spans in which a process may not have been notified by discovery
	Deadline            time.Duration
	Slack               time.Duration // by which machine and links may delay a client's answer
}
