package engine

import (
	"github.com/cespare/xxhash/v2"

	"pepperlead/internal/discovery"
	"pepperlead/internal/trace"
	"pepperlead/policy"
)

// observe measures the latency of a final answer and records it in the trace.
func (e *Engine) observe(now policy.Time, request *Request, answer int) {
	spent := max(0, now-request.ReceivedAt)
	if e.Latency != nil && answer != answerClientLeft {
		e.Latency.Observe(request.Class, answer, spent)
	}
	if e.Recorder != nil {
		e.Recorder.Put(trace.Record{Kind: trace.RequestEnd, At: now, No: request.No, A: int64(answer), C: spent})
	}
}

func (e *Engine) recordRequest(now policy.Time, request *Request, tenant policy.TenantID, key string, repeat bool,
	timeout policy.Time) {
	if e.Recorder == nil {
		return
	}
	record := trace.Record{
		Kind: trace.Request,
		At:   now,
		No:   request.No,
		A:    int64(request.Class),
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

func (e *Engine) recordAttempt(now policy.Time, request *Request, to *Endpoint) {
	if recorder := e.Recorder; recorder != nil {
		recorder.Put(trace.Record{Kind: trace.Attempt, At: now, No: request.No, A: recorder.KnownEndpoint(to.ID)})
	}
}

func (e *Engine) recordEnd(now policy.Time, request *Request, outcome policy.Outcome, spent policy.Time) {
	recorder := e.Recorder
	if recorder == nil {
		return
	}
	recorder.Put(trace.Record{
		Kind: trace.AttemptEnd,
		At:   now,
		No:   request.No,
		A:    recorder.KnownEndpoint(request.Endpoint),
		B:    int64(outcome),
		C:    spent,
	})
}

func (e *Engine) recordListed(now policy.Time, entry discovery.Entry) {
	recorder := e.Recorder
	if recorder == nil {
		return
	}
	recorder.Put(trace.Record{
		Kind: trace.ListEntry,
		At:   now,
		No:   uint64(recorder.EndpointNumber(now, entry.Member, entry.UID)),
		A:    int64(entry.Status),
		B:    int64(entry.Started),
	})
}
