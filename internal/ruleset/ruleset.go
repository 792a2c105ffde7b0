// Package ruleset implements the rules that all instances agree on: the binding rules of one revision of the settings,
// which limit what an instance may do, the strictest combination of several revisions, leases on revisions, and the
// protocol by which a new revision replaces the one in force.
//
// The package does no I/O, starts no goroutine and reads no clock: callers pass the time in. The protocol and its proof
// are described in docs/agreement.md.
package ruleset

import "pepperlead/policy"

// RevisionNumber is the position of a revision in the order that the coordinators agree on, from 1. Number 0 denotes
// the rules of an instance's own settings file.
type RevisionNumber uint64

// Term is the election term of a lease issuer. Instances reject a lease of an older term than that of the last lease
// they accepted.
type Term uint64

// RuleSet holds the binding rules of one revision.
type RuleSet struct {
	Number RevisionNumber
	Digest [32]byte // SHA-256 of the revision's text
	Rules  Rules
}

// Lease allows an instance to follow the strictest combination of the named revisions for a limited time. The duration
// starts when the request is sent, on the requester's own clock, so neither clock offsets nor slow links extend it.
type Lease struct {
	Term      Term
	RequestID uint64           // the request that this lease answers
	Revisions []RevisionNumber // in order: the revision in force and, during a change, the next one
	Duration  policy.Time
}
