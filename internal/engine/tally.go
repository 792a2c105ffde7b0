package engine

import (
	"sync/atomic"

	"pepperlead/policy"
)

// metricsInterval is the interval between updates of the endpoint metrics.
const metricsInterval = 200 * policy.Millisecond

// Result is how a request ended for its client.
type Result uint8

const (
	// Completed is the result of a request that an endpoint has served.
	Completed Result = iota
	// Rejected is the result of a request that was not processed, and can be retried safely.
	Rejected
	// Failed is the result of any other request.
	Failed
	// NumResults is the number of results.
	NumResults
)

// resultOf maps each kind of answer to the result of the request.
var resultOf = [...]Result{
	AnswerSucceeded:  Completed,
	AnswerDeclined:   Failed,
	AnswerRejected:   Rejected,
	AnswerFailed:     Failed,
	answerClientLeft: Failed,
}

// Metrics holds the metrics that the loop updates and any goroutine may read.
type Metrics struct {
	Answered    [][NumResults]atomic.Int64 // requests by class (with agreed rules: by row of classRow) and by result
	Written     atomic.Int64               // attempts whose last byte was written to the kernel
	Pending     atomic.Int64               // requests that are admitted and not yet answered
	Endpoints   atomic.Int64               // endpoints in the list
	Unavailable atomic.Int64               // listed endpoints that are administratively drained or ejected
	HasList     atomic.Bool                // there is an endpoint list
}

// CountResult counts a result. The engine counts those of admitted requests; fronts count those of requests that they
// answer without admitting them.
func (e *Engine) CountResult(class policy.ClassID, result Result) {
	row := int(class)
	if e.rules != nil {
		row = e.rules.classRows[class]
	}
	e.Metrics.Answered[row][result].Add(1)
}

// publishMetrics updates the endpoint metrics and schedules the next update.
func (e *Engine) publishMetrics(now policy.Time) {
	var listed, unavailable int64
	for _, endpoint := range e.Endpoints {
		if !endpoint.Listed {
			continue
		}
		listed++
		if e.list.drained[endpoint.UID].drained || e.Module.Ejected(now, endpoint.ID) {
			unavailable++
		}
	}
	e.Metrics.HasList.Store(e.list.hasList)
	e.Metrics.Endpoints.Store(listed)
	e.Metrics.Unavailable.Store(unavailable)
	e.Timers.Set(&e.metricsTimer, now+metricsInterval)
}
