package rpc

import "pepperlead/policy"

// event is what a caller's goroutine posts to the loop.
type event struct {
	handle   func(f *front, now policy.Time, e event)
	call     *clientCall
	at       policy.Time    // when it was posted
	sequence uint32         // of the attempt
	backend  *backend       // of the attempt
	outcome  policy.Outcome // of the attempt
	last     bool           // the caller's last event of the call
}

// instruction is the loop's message to the caller of a call: to send an attempt, or to return the final answer.
type instruction struct {
	backend    *backend    // to send the attempt to; nil: this is the final answer
	sequence   uint32      // of the attempt
	decidedAt  policy.Time // when the loop decided on the attempt
	answer     answer      // if backend is nil
	retryAfter policy.Time // for rejected calls; 0: not given
}

// answer is the loop's final answer to a call.
type answer uint8

const (
	rejected answer = iota // the caller may safely send the call again
	failed                 // the call may have run, and it is not safe to send it again
)
