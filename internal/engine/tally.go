package engine

import (
	"sync/atomic"

	"pepperlead/policy"
)

// figuresInterval is between updates of the figures about endpoints.
const figuresInterval = 200 * policy.Millisecond

// Result is how a request ended for its client.
type Result uint8

const (
	// Completed is a request that was served.
	Completed Result = iota
	// Rejected is a request that can be retried without harm.
	Rejected
	// Failed is any other.
	Failed
	// Results is how many there are.
	Results
)

// resultOf is the result of each kind of answer.
var resultOf = [...]Result{
	AnswerSucceeded:  Completed,
	AnswerDeclined:   Failed,
	AnswerRejected:   Rejected,
	AnswerFailed:     Failed,
	answerClientLeft: Failed,
}

// Tally are figures that the loop keeps and any goroutine may read.
type Tally struct {
	Answered    [][Results]atomic.Int64 // by class, or by name where classes come and go
	Written     atomic.Int64            // attempts whose last byte the kernel has
	Pending     atomic.Int64            // requests admitted and not answered
	Endpoints   atomic.Int64            // in the list
	Unavailable atomic.Int64            // of these, administratively drained or ejected
	HasList     atomic.Bool
}

// Count counts the end of a request. What never became a request is counted by its front.
func (e *Engine) Count(class policy.ClassID, result Result) {
	row := int(class)
	if e.rules != nil {
		row = e.rules.classRows[class]
	}
	e.Tally.Answered[row][result].Add(1)
}

// publishFigures updates the figures about endpoints.
func (e *Engine) publishFigures(now policy.Time) {
	var listed, unavailable int64
	for _, s := range e.Endpoints {
		if !s.Listed {
			continue
		}
		listed++
		if e.list.drained[s.UID].drained || e.Module.Ejected(now, s.ID) {
			unavailable++
		}
	}
	e.Tally.HasList.Store(e.list.known)
	e.Tally.Endpoints.Store(listed)
	e.Tally.Unavailable.Store(unavailable)
	e.Timers.Set(&e.figuresTimer, now+figuresInterval)
}
