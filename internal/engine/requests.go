package engine

import (
	"pepperlead/policy"
)

// Take gives an empty place for a request of the front with that place; its Part may be one that the front left there earlier, or
// nil.
func (e *Engine) Take(no int) *Request {
	e.Held++
	if n := len(e.free[no]); n > 0 {
		t := e.free[no][n-1]
		e.free[no] = e.free[no][:n-1]
		return t
	}
	t := &Request{Front: e.fronts[no], front: no}
	t.Wait.Do = func(now policy.Time) { t.Front.TimedOut(now, t) }
	return t
}

// Admit hands a request to the module. at is when its last byte came, and left how long its client waits from then on.
func (e *Engine) Admit(now, at policy.Time, t *Request, o policy.ClassID, f policy.TenantID, key string, repeat bool,
	left policy.Time) {
	e.Counters.Requests++
	t.No, t.Class, t.Since, t.Owed = uint64(e.Counters.Requests), o, at, true
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

// Ended notes how the attempt that is out ended. The module is told before the next step.
func (e *Engine) Ended(at policy.Time, t *Request, o policy.Outcome) {
	e.Timers.Stop(&t.Wait)
	e.ends = append(e.ends, attemptEnd{t, o, max(0, at-t.SentAt)})
}

// Answered says that nothing more is owed to the request's client; answer as in Latency.
func (e *Engine) Answered(now policy.Time, t *Request, answer int) {
	e.owedNoMore(t, answer)
	e.observe(now, t, answer)
}

// Comes says that the last byte of an admitted request is still to come: it has no deadline until Whole.
func (e *Engine) Comes(t *Request) {
	if !t.Settled {
		e.Module.BodyPending(t.Handle, false, 0)
	}
}

// Whole says that it has come, and how long the client waits from now on.
func (e *Engine) Whole(now policy.Time, t *Request, left policy.Time) {
	if t.Settled {
		return
	}
	t.Since = now
	e.Module.BodyPending(t.Handle, true, now+left)
	if t.Out {
		t.SentAt = now
		e.Timers.Set(&t.Wait, now+max(0, left-BeforeDeadline*e.Settings.Tick))
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
	if !t.Settled {
		e.Counters.Gone++
		e.observe(now, t, left)
		t.Settled = true
		e.Module.ClientLeft(now, t.Handle)
	}
	e.release(t)
}

// release gives back a request that nothing refers to any more.
func (e *Engine) release(t *Request) {
	if !t.Settled || t.Out || t.Pending != 0 || t.Owed {
		return
	}
	e.Timers.Stop(&t.Wait)
	if at := t.Handle.Place(); at < len(e.byPlace) && e.byPlace[at] == t {
		e.byPlace[at] = nil
	}
	if e.terms != nil {
		e.terms.places.Release(t.Class)
	}
	t.Front.Given(t)
	*t = Request{Front: t.Front, front: t.front, Part: t.Part, Wait: Timer{Do: t.Wait.Do}}
	e.free[t.front] = append(e.free[t.front], t)
	e.Held--
}
