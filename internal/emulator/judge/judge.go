// Package judge watches what crosses the wire on a simulated day and reports whether the four rules held and how much
// value was served. It knows nothing of the module's state, only what clients, endpoints, discovery and the network
// saw, and does no I/O.
package judge

import (
	"fmt"

	"pepperlead/policy"
)

type (
	// RequestID identifies a request that an instance accepted. Ids are used again once the request's deadline has
	// passed and no attempt is in flight.
	RequestID int32
	// ClientRequestID identifies what a client wants, over all its retries.
	ClientRequestID int32
	// InstanceID identifies an instance by its place in the fleet.
	InstanceID int32
	// EndpointID identifies an endpoint by its place in the fleet.
	EndpointID int32
)

// Answer is a final answer.
type Answer uint8

// The final answers.
const (
	Succeeded Answer = iota
	Rejected
	Failed
	answerKinds
)

// ruleCount is the number of rules, which are numbered from 1.
const ruleCount = 4

// Config is what the judge must know of the fleet beforehand.
type Config struct {
	Classes          []policy.Class
	Instances        int
	MaxAttempts      int
	Grace            policy.Time // for attempts after an instance was notified that an endpoint drains or is gone
	OverloadMultiple float64     // times its capacity that overload a cold endpoint; 0: nothing does
	OverloadWindow   policy.Time // over which the work sent to a cold endpoint counts
	Length           policy.Time // of the day: requests begun later do not count
}

// Violation is one case in which a rule was broken.
type Violation struct {
	Rule    int         `json:"rule"`
	At      policy.Time `json:"at_ns"`
	Request uint64      `json:"ticket,omitempty"` // its number, from 1 in the order of arrival
	What    string      `json:"what"`
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %.6fs, ticket %d: %s", v.Rule, float64(v.At)/1e9, v.Request, v.What)
}

// maxViolations is how many violations are kept with their texts; all are counted.
const maxViolations = 50

// Judge watches one day.
type Judge struct {
	config Config

	requests     []request
	freeRequests []RequestID
	lastNumber   uint64

	clientRequests     []clientRequest
	freeClientRequests []ClientRequestID
	clientRequestCount int

	notifications []map[EndpointID]notification // by instance
	coldWork      map[EndpointID][]arrivedWork
	overloaded    map[EndpointID]policy.Time // start of the endpoint for which its overload was reported

	violations      []Violation
	violationCounts [ruleCount]int

	seconds   []secondValue
	byClass   []ServedValue
	byTenant  []ServedValue
	answers   [answerKinds]int
	late      int
	attempts  int
	crossZone int
	spread    spreadCounter
}

// New makes a judge for a day with these tenants.
func New(config Config, tenants []string) *Judge {
	j := &Judge{
		config:     config,
		coldWork:   map[EndpointID][]arrivedWork{},
		overloaded: map[EndpointID]policy.Time{},
	}
	for range config.Instances {
		j.notifications = append(j.notifications, map[EndpointID]notification{})
	}
	for _, class := range config.Classes {
		j.byClass = append(j.byClass, ServedValue{Name: class.Name})
	}
	for _, name := range tenants {
		j.byTenant = append(j.byTenant, ServedValue{Name: name})
	}
	return j
}

// violate records that a rule was broken.
func (j *Judge) violate(rule int, at policy.Time, number uint64, format string, arguments ...any) {
	j.violationCounts[rule-1]++
	if len(j.violations) < maxViolations {
		j.violations = append(j.violations, Violation{rule, at, number, fmt.Sprintf(format, arguments...)})
	}
}

// seconds is a span that prints in seconds.
type seconds policy.Time

// String prints the span in seconds.
func (s seconds) String() string { return fmt.Sprintf("%.3fs", float64(s)/1e9) }
