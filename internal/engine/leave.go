package engine

import (
	"time"

	"pepperlead/policy"
)

const keepIn = 500 * policy.Millisecond // for the last list to be kept, where it is

// Leave begins the end: the module answers all in time, and fronts let no more in.
func (e *Engine) Leave(now policy.Time) {
	if e.leaving {
		return
	}
	e.Logger.WithField("tickets", e.Held).Info("leaving: answering what is in hand")
	e.leaving, e.leaveBy = true, now+e.Config.Leave
	e.Module.Shutdown(now, e.leaveBy)
	for _, f := range e.fronts {
		f.Leave(now)
	}
	e.look.Do = func(now policy.Time) { e.Timers.Set(&e.look, now+10*policy.Millisecond) }
	e.look.Do(now)
}

// Leaving tells whether the end has begun, and by when the last answer must be out.
func (e *Engine) Leaving() (policy.Time, bool) { return e.leaveBy, e.leaving }

// left tells whether all is answered and none can come any more.
func (e *Engine) left(now policy.Time) bool {
	if e.Held > 0 && now < e.leaveBy {
		return false
	}
	all := true
	for _, f := range e.fronts {
		all = f.Left(now) && all
	}
	return all
}

func (e *Engine) shut() {
	e.list.end()
	select {
	case <-e.list.ended: // its last list may still be on the way to a folder
	case <-time.After(time.Duration(keepIn)):
	}
	for _, f := range e.fronts {
		f.Shut()
	}
	e.Timers.Stop(&e.wake)
	e.Timers.Stop(&e.look)
	e.Timers.Stop(&e.show)
}

// Abandon ends an engine that will not run, for whoever waits for it.
func (e *Engine) Abandon() { close(e.over) }
