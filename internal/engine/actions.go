package engine

import (
	"pepperlead/policy"
)

func (e *Engine) want(h policy.Handle, n step) *Ticket {
	n.ticket = e.byPlace[h.Place()]
	n.ticket.Pending++
	e.steps = append(e.steps, n)
	return n.ticket
}

func (e *Engine) Attempt(h policy.Handle, to policy.EndpointID, wait policy.Time) {
	t := e.want(h, step{do: (*Engine).push, server: to, span: wait})
	t.Out, t.Server, t.PushNo, t.decided = true, to, policy.AttemptNo(t.Pushes), e.acted()
	t.Pushes++
}

func (e *Engine) Cancel(h policy.Handle, n policy.AttemptNo) {
	e.want(h, step{do: (*Engine).cancel, push: n})
}

func (e *Engine) Succeed(h policy.Handle, _ policy.AttemptNo) {
	e.want(h, step{do: func(_ *Engine, now policy.Time, t *Ticket, _ step) { t.Front.Honour(now, t) }}).Settled = true
}

func (e *Engine) Reject(h policy.Handle, retryIn policy.Time) {
	e.want(h, step{do: func(_ *Engine, now policy.Time, t *Ticket, n step) { t.Front.TurnBack(now, t, n.span) }, span: retryIn}).Settled = true
}

func (e *Engine) Fail(h policy.Handle) {
	e.want(h, step{do: func(_ *Engine, now policy.Time, t *Ticket, _ step) { t.Front.GiveUp(now, t) }}).Settled = true
}

func (e *Engine) Wake(in policy.Time) {
	if at := e.Clock.Now() + in; !e.wake.On() || at < e.wake.At() {
		e.Timers.Set(&e.wake, at)
	}
}

func (e *Engine) FollowList(on bool) { e.list.follow(on) }

func (e *Engine) Log(line string) { e.Logger.Info(line) }

// Release closes what stands idle to a server that stays listed.
func (e *Engine) Release(id policy.EndpointID) {
	if s := e.Servers[id]; s != nil {
		for _, f := range e.fronts {
			f.Retire(s)
		}
	}
}

// Forget lets a server go that is listed no more. Its connections, if any are left, close when they are free.
func (e *Engine) Forget(id policy.EndpointID) {
	if s := e.Servers[id]; s != nil {
		e.retire(s)
		for _, f := range e.fronts {
			f.Forget(s)
		}
		delete(e.Servers, id)
	}
}

// retire has no connection to the server kept for later.
func (e *Engine) retire(s *Server) {
	s.Leaving = true
	s.Life++
	for _, f := range e.fronts {
		f.Retire(s)
	}
}

func (e *Engine) push(now policy.Time, t *Ticket, n step) {
	t.SentAt = now
	s := e.Servers[n.server]
	if t.Settled || s == nil || !e.Stands(now, t) {
		e.Ended(now, t, policy.NotSent)
		return
	}
	e.Counters.Pushes++
	e.recordPush(now, t, s)
	e.Timers.Set(&t.Wait, now+n.span)
	t.Front.Push(now, t, s)
}

func (e *Engine) cancel(now policy.Time, t *Ticket, n step) {
	if t.Out && t.PushNo == n.push {
		t.Front.CallOff(now, t)
	}
}

// ---- the end ----
