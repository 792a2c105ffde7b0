package rpc

import "pepperlead/policy"

// event is what a caller posts to the loop.
type event struct {
	handle   func(f *front, now policy.Time, e event)
	call     *call
	at       policy.Time
	sequence uint32
	backend  *backend // of the attempt
	outcome  policy.Outcome
	last     bool // the caller's last event of the call
}

// order is what the loop has a caller do.
type order struct {
	backend    *backend // send the call there; nil: the final answer
	sequence   uint32
	decidedAt  policy.Time
	answer     answer
	retryAfter policy.Time
}

// answer is the loop's final answer to a call.
type answer uint8

const (
	rejected answer = iota // the call may be sent again
	failed                 // it may have run
)
