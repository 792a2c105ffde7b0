package engine

import (
	"pepperlead/policy"
)

// NewRequest gives an empty place for a request of the front with that place; its Part may be one that the front left there earlier, or
// nil.
func (e *Engine) NewRequest(no int) *Request {
	e.InFlight++
	if n := len(e.free[no]); n > 0 {
		t := e.free[no][n-1]
		e.free[no] = e.free[no][:n-1]
		return t
	}
	t := &Request{Front: e.fronts[no], front: no}
	t.AttemptTimer.Run = func(now policy.Time) { t.Front.TimedOut(now, t) }
	return t
}

// Admit hands a request to the module. at is when its last byte came, and left how long its client waits from then on.
func (e *Engine) Admit(now, at policy.Time, t *Request, o policy.ClassID, f policy.TenantID, key string, repeat bool,
	left policy.Time) {
	e.Counters.Requests++
	t.No, t.Class, t.ReceivedAt, t.ClientWaiting = uint64(e.Counters.Requests), o, at, true
	e.Tally.Pending.Add(1)
	left -= now - at
	e.recordRequest(now, t, f, key, repeat, left)
	h := e.Module.Admit(now, o, f, key, repeat, max(0, left))
	for len(e.byPlace) <= h.Place() {
		e.byPlace = append(e.byPlace, nil)
	}
	t.Handle, e.byPlace[h.Place()] = h, t
	if e.terms != nil {
		e.terms.places.Acquire(o)
	}
	e.Module.Begin(now, h)
}

// AttemptEnded notes how the attempt that is out ended. The module is told before the next step.
func (e *Engine) AttemptEnded(at policy.Time, t *Request, o policy.Outcome) {
	e.Timers.Stop(&t.AttemptTimer)
	e.ends = append(e.ends, attemptEnd{t, o, max(0, at-t.SentAt)})
}

// Answered says that nothing more is owed to the request's client; answer as in Latency.
func (e *Engine) Answered(now policy.Time, t *Request, answer int) {
	e.owedNoMore(t, answer)
	e.observe(now, t, answer)
}

// BodyBegun says that the last byte of an admitted request is still to come: it has no deadline until Whole.
func (e *Engine) BodyBegun(t *Request) {
	if !t.Decided {
		e.Module.BodyPending(t.Handle, false, 0)
	}
}

// BodyComplete says that it has come, and how long the client waits from now on.
func (e *Engine) BodyComplete(now policy.Time, t *Request, left policy.Time) {
	if t.Decided {
		return
	}
	t.ReceivedAt = now
	e.Module.BodyPending(t.Handle, true, now+left)
	if t.InFlight {
		t.SentAt = now
		e.Timers.Set(&t.AttemptTimer, now+max(0, left-BeforeDeadline*e.Settings.Tick))
	}
}

// BeforeDeadline is how many ticks before its client's deadline ends what the module does not end: an attempt whose body came late, an answer
// that is passed on and comes no more.
const BeforeDeadline = 4

// Done says that the front is through with a request whose attempt had ended before.
func (e *Engine) Done(t *Request) { e.release(t) }

// Unanswered says that the request's answer found no client.
func (e *Engine) Unanswered(t *Request) { e.owedNoMore(t, left) }

// ClientLeft says that the request's client is gone.
func (e *Engine) ClientLeft(now policy.Time, t *Request) {
	e.owedNoMore(t, left)
	if !t.Decided {
		e.Counters.ClientsGone++
		e.observe(now, t, left)
		t.Decided = true
		e.Module.ClientLeft(now, t.Handle)
	}
	e.release(t)
}

// release gives back a request that nothing refers to any more.
func (e *Engine) release(t *Request) {
	if !t.Decided || t.InFlight || t.PendingSteps != 0 || t.ClientWaiting {
		return
	}
	e.Timers.Stop(&t.AttemptTimer)
	if at := t.Handle.Place(); at < len(e.byPlace) && e.byPlace[at] == t {
		e.byPlace[at] = nil
	}
	if e.terms != nil {
		e.terms.places.Release(t.Class)
	}
	t.Front.Released(t)
	*t = Request{Front: t.Front, front: t.front, FrontData: t.FrontData, AttemptTimer: Timer{Run: t.AttemptTimer.Run}}
	e.free[t.front] = append(e.free[t.front], t)
	e.InFlight--
}
