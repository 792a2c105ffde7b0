// Package trace writes and reads traces of the requests, attempts and endpoint lists of a sidecar. A trace is a
// sequence of CBOR items (RFC 8742): a header, which has the version of the format, then one item for each record. The
// trace of a process that was killed is readable up to its last complete record.
package trace

import "pepperlead/policy"

// Name and version of the format, which the header contains.
const (
	format  = "pepperlead trace"
	version = 1
)

// MaxSize is the size of a trace in bytes beyond which further records are dropped and counted.
const MaxSize = 1 << 30

// Header is the first item of a trace.
type Header struct {
	_       struct{} `cbor:",toarray"`
	Format  string
	Version int
	Start   policy.Time // Unix time; the times of records are relative to it
	Name    string      // name of the sidecar
	Zone    policy.Zone
	Classes []string // names, by the IDs in records
	Tenants []string // names, by the IDs in records
}

// Kind is the kind of a record. It determines the meaning of the record's fields.
type Kind uint8

// The kinds of records. Records refer to endpoints by numbers that are assigned in the trace.
const (
	// Endpoint assigns a number to an endpoint. No: the number; UID, Zone; A: its cell; B: its weight in millionths.
	Endpoint Kind = iota + 1
	// ListEntry is an entry of an endpoint list. No: the endpoint's number; A: its status; B: its start in Unix time.
	ListEntry
	// Request is the arrival of a request. No: its number; A: class; B: tenant; C: time until its deadline; Key: hash
	// of its idempotency key, or 0; D: 1 for a retry by the client, else 0.
	Request
	// Attempt is the start of an attempt. No: the request's number; A: the endpoint's number.
	Attempt
	// AttemptEnd is the end of an attempt. No: the request's number; A: the endpoint's number; B: the outcome; C: the
	// duration of the attempt.
	AttemptEnd
	// RequestEnd is the end of a request. No: the request's number; A: 0 succeeded, 1 declined by the endpoint, 2
	// rejected, 3 failed, 4 the client has left; C: time since the request arrived.
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
