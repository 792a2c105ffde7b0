package engine

import (
	"github.com/cespare/xxhash/v2"

	"pepperlead/internal/discovery"
	"pepperlead/internal/trace"
	"pepperlead/policy"
)

// observe measures and records a final answer.
func (e *Engine) observe(now policy.Time, t *Request, answer int) {
	spent := max(0, now-t.ReceivedAt)
	if e.Latency != nil && answer != answerClientLeft {
		e.Latency.Observe(t.Class, answer, spent)
	}
	if e.Recorder != nil {
		e.Recorder.Put(trace.Record{Kind: trace.RequestEnd, At: now, No: t.No, A: int64(answer), C: spent})
	}
}

func (e *Engine) recordRequest(now policy.Time, t *Request, tenant policy.TenantID, key string, repeat bool,
	timeout policy.Time) {
	if e.Recorder == nil {
		return
	}
	record := trace.Record{
		Kind: trace.Request,
		At:   now,
		No:   t.No,
		A:    int64(t.Class),
		B:    int64(tenant),
		C:    max(0, timeout),
	}
	if key != "" {
		record.Key = xxhash.Sum64String(key)
	}
	if repeat {
		record.D = 1
	}
	e.Recorder.Put(record)
}

func (e *Engine) recordAttempt(now policy.Time, t *Request, to *Endpoint) {
	if r := e.Recorder; r != nil {
		r.Put(trace.Record{Kind: trace.Attempt, At: now, No: t.No, A: r.KnownEndpoint(to.ID)})
	}
}

func (e *Engine) recordEnd(now policy.Time, t *Request, outcome policy.Outcome, spent policy.Time) {
	r := e.Recorder
	if r == nil {
		return
	}
	r.Put(trace.Record{
		Kind: trace.AttemptEnd,
		At:   now,
		No:   t.No,
		A:    r.KnownEndpoint(t.Endpoint),
		B:    int64(outcome),
		C:    spent,
	})
}

func (e *Engine) recordListed(now policy.Time, entry discovery.Entry) {
	r := e.Recorder
	if r == nil {
		return
	}
	r.Put(trace.Record{
		Kind: trace.ListEntry,
		At:   now,
		No:   uint64(r.EndpointNumber(now, entry.Member, entry.UID)),
		A:    int64(entry.Status),
		B:    int64(entry.Started),
	})
}
