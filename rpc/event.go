package rpc

import "pepperlead/policy"

// event is what a caller's goroutine posts to the loop.
type event struct {
	handle   func(f *front, now policy.Time, e event)
	call     *clientCall
	at       policy.Time    // when the event was posted
	sequence uint32         // number of the attempt that the event belongs to
	backend  *backend       // connection used by the attempt
	outcome  policy.Outcome // outcome of the attempt
	last     bool           // the caller posts no more events for this call
}

// instruction is the loop's message to the caller of a call: to send an attempt, or to return the final answer.
type instruction struct {
	backend    *backend    // connection on which to send the attempt; nil: this is the final answer
	sequence   uint32      // number of the attempt
	decidedAt  policy.Time // when the loop decided on the attempt
	answer     answer      // the final answer, if backend is nil
	retryAfter policy.Time // for rejected calls: when to retry, from now; 0 if unspecified
}

// answer is the loop's final answer to a call.
type answer uint8

const (
	rejected answer = iota // the caller may safely send the call again
	failed                 // the call may have run, and it is not safe to send it again
)
