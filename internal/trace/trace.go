// Package trace records what reaches a sidecar and how it ends, and reads such traces back. A trace is a sequence of
// CBOR items (RFC 8742): a header, which has the version of the format, then one item for each record. The trace of a
// process that was killed is readable up to its last complete record.
package trace

import "pepperlead/policy"

// The format that the header names.
const (
	format  = "pepperlead trace"
	version = 1
)

// MaxSize is how many bytes a trace may have. Later records are dropped and counted.
const MaxSize = 1 << 30

// Header is the first item of a trace.
type Header struct {
	_       struct{} `cbor:",toarray"`
	Format  string
	Version int
	Start   policy.Time // Unix time; the times of records count from it
	Name    string      // of the sidecar
	Zone    policy.Zone
	Classes []string // names, by the ids that records have
	Tenants []string // names, by the ids that records have
}

// Kind tells what a record is about, and so what its fields mean.
type Kind uint8

// The kinds of records. Endpoints have numbers of their own in a trace: records name them by these.
const (
	// Endpoint introduces an endpoint. No: its number; UID, Zone; A: its pod; B: its weight in millionths.
	Endpoint Kind = iota + 1
	// ListEntry is an endpoint as a list has it. No: of the endpoint; A: its status; B: its start in Unix time.
	ListEntry
	// Request is a request that has arrived. No: its number; A: class; B: tenant; C: time until its deadline; Key: hash
	// of its idempotency key, or 0; D: 1 for a retry by the client, else 0.
	Request
	// Attempt is the start of an attempt. No: of the request; A: the endpoint's number.
	Attempt
	// AttemptEnd is the end of an attempt. No: of the request; A: the endpoint's number; B: the outcome; C: its
	// duration.
	AttemptEnd
	// RequestEnd is the end of a request. No: of the request; A: 0 succeeded, 1 declined by the endpoint, 2 rejected, 3
	// failed, 4 the client has left; C: time since it arrived.
	RequestEnd
)

// Record is an item of a trace. The meaning of its fields depends on its kind.
type Record struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	At   policy.Time // since the start of the trace
	No   uint64
	A    int64
	B    int64
	C    policy.Time
	D    int64
	Key  uint64
	UID  string
	Zone policy.Zone
}
