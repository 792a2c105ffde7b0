package engine

import (
	"github.com/cespare/xxhash/v2"

	"pepperlead/internal/discovery"
	"pepperlead/internal/trace"
	"pepperlead/policy"
)

// left is how a request ends whose client has gone, beside the four answers of Latency.
const left = 4

// observe measures a final answer, and records it.
func (e *Engine) observe(now policy.Time, t *Request, answer int) {
	if e.Latency != nil && answer != left {
		e.Latency.Observe(t.Class, answer, max(0, now-t.ReceivedAt))
	}
	if r := e.Recorder; r != nil {
		r.Put(trace.Record{Kind: trace.RequestEnd, At: now, No: t.No, A: int64(answer), C: max(0, now-t.ReceivedAt)})
	}
}

func (e *Engine) recordRequest(now policy.Time, t *Request, f policy.TenantID, key string, repeat bool, span policy.Time) {
	r := e.Recorder
	if r == nil {
		return
	}
	one := trace.Record{Kind: trace.Request, At: now, No: t.No, A: int64(t.Class), B: int64(f), C: max(0, span)}
	if key != "" {
		one.Key = xxhash.Sum64String(key)
	}
	if repeat {
		one.D = 1
	}
	r.Put(one)
}

func (e *Engine) recordAttempt(now policy.Time, t *Request, to *Endpoint) {
	if r := e.Recorder; r != nil {
		r.Put(trace.Record{Kind: trace.Attempt, At: now, No: t.No, A: r.KnownEndpoint(to.ID)})
	}
}

func (e *Engine) recordEnd(now policy.Time, t *Request, o policy.Outcome, spent policy.Time) {
	if r := e.Recorder; r != nil {
		r.Put(trace.Record{Kind: trace.AttemptEnd, At: now, No: t.No, A: r.KnownEndpoint(t.Endpoint), B: int64(o), C: spent})
	}
}

func (e *Engine) recordListed(now policy.Time, of discovery.Entry) {
	if r := e.Recorder; r != nil {
		r.Put(trace.Record{Kind: trace.Listed, At: now, No: uint64(r.EndpointNumber(now, of.Member, of.UID)), A: int64(of.Status),
			B: int64(of.Started)})
	}
}
