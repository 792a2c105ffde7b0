package engine

import (
	"sync/atomic"

	"pepperlead/policy"
)

// Result is what became of a request, as whoever sent it saw it.
type Result uint8

const (
	Completed Result = iota
	Rejected         // trying again is harmless
	Failed
	Results // how many there are
)

// resultOf is the result behind each answer of Latency.
var resultOf = [...]Result{Completed, Failed, Rejected, Failed, left: Failed}

// Tally is kept by the loop, and read by any goroutine without asking it.
type Tally struct {
	Answered    [][Results]atomic.Int64 // by class; where these change, by name
	Written     atomic.Int64            // attempts of which the kernel has the last byte
	Pending     atomic.Int64            // requests taken and not answered
	Endpoints   atomic.Int64            // endpoints in the list
	Unavailable atomic.Int64            // of these, taken out by hand or ejected by the module
	HasList     atomic.Bool             // some list is there
}

const figuresEvery = 200 * policy.Millisecond // between looks at who is avoided

// Count counts a request's end. What never became a request is counted by their front.
func (e *Engine) Count(o policy.ClassID, r Result) {
	if e.terms != nil {
		o = policy.ClassID(e.terms.rows[o])
	}
	e.Tally.Answered[o][r].Add(1)
}

// owedNoMore counts a request's end, once.
func (e *Engine) owedNoMore(t *Request, answer int) {
	if t.ClientWaiting {
		t.ClientWaiting = false
		e.Tally.Pending.Add(-1)
		e.Count(t.Class, resultOf[answer])
	}
}

// publish renews what is shown of the endpoints.
func (e *Engine) publish(now policy.Time) {
	var members, avoided int64
	for _, s := range e.Endpoints {
		if !s.Listed {
			continue
		}
		members++
		if e.list.byHand[s.UID].out || e.Module.Ejected(now, s.ID) {
			avoided++
		}
	}
	e.Tally.HasList.Store(e.list.heard)
	e.Tally.Endpoints.Store(members)
	e.Tally.Unavailable.Store(avoided)
	e.Timers.Set(&e.show, now+figuresEvery)
}
