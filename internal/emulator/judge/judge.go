// Package judge observes the traffic of a run and reports whether the four rules were kept and how much value was
// served. It does not use the state of the decision module, only what clients, endpoints, discovery and the network
// observe, and does no I/O.
//
// The rules, as the judge checks them:
//
//  1. Each request gets one final answer before its deadline, and no attempt follows the answer.
//  2. Attempts and rejections respect the class's idempotency. A request has at most one attempt in flight and at most
//     MaxAttempts in all.
//  3. Once an instance has been notified that an endpoint is draining or removed, it sends attempts to this endpoint
//     only for a grace period.
//  4. Within OverloadWindow, no cold endpoint is sent more than OverloadMultiple times the work that it can do.
package judge

import (
	"fmt"

	"pepperlead/policy"
)

type (
	// RequestID identifies a request that an instance has accepted. IDs are used again after the request's deadline has
	// passed and no attempt is in flight.
	RequestID int32
	// ClientRequestID identifies a client's request, which has one RequestID for each try of the client.
	ClientRequestID int32
	// InstanceID identifies an instance by its number in the fleet.
	InstanceID int32
	// EndpointID identifies an endpoint by its number in the fleet.
	EndpointID int32
)

// Answer is the kind of a final answer to a client.
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

// Config has the limits of the rules, and the properties of the run that the judge cannot observe.
type Config struct {
	Classes          []policy.Class
	Instances        int
	MaxAttempts      int
	Grace            policy.Time // grace period of rule 3
	OverloadMultiple float64     // multiple of its capacity that overloads a cold endpoint; 0: no overloads
	OverloadWindow   policy.Time // span over which the work sent to a cold endpoint is added up
	Length           policy.Time // length of the run; requests that begin after it are not counted
}

// Violation is one case in which a rule was broken. Its texts are part of stored results.
type Violation struct {
	Rule    int         `json:"rule"`
	At      policy.Time `json:"at_ns"`
	Request uint64      `json:"ticket,omitempty"` // number of the request, from 1 in the order of arrival; 0: none
	What    string      `json:"what"`
}

// String describes the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %.6fs, ticket %d: %s", v.Rule, float64(v.At)/1e9, v.Request, v.What)
}

// maxViolations is the number of violations that are kept with their texts. Further ones are only counted.
const maxViolations = 50

// Judge observes one run.
type Judge struct {
	config Config

	requests     []request
	freeRequests []RequestID
	lastNumber   uint64 // number of the latest request; they are numbered from 1 in the order of arrival

	clientRequests     []clientRequest
	freeClientRequests []ClientRequestID
	clientRequestCount int

	notifications []map[EndpointID]notification // by instance
	coldWork      map[EndpointID][]arrivedWork
	overloaded    map[EndpointID]policy.Time // start time of the endpoint when its last overload was reported

	violations      []Violation
	violationCounts [ruleCount]int

	seconds   []secondValue // by the second in which requests began
	byClass   []ServedValue
	byTenant  []ServedValue
	answers   [answerKinds]int
	late      int // succeeded answers after the target latency
	attempts  int
	crossZone int
	spread    spreadCounter
}

// New returns a judge for a run with the given tenants.
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

// seconds is a duration that is printed in seconds.
type seconds policy.Time

// String formats the duration in seconds.
func (s seconds) String() string { return fmt.Sprintf("%.3fs", float64(s)/1e9) }
