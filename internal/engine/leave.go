package engine

import (
	"time"

	"pepperlead/policy"
)

const keepIn = 500 * policy.Millisecond // for the last list to be kept, where it is

// BeginShutdown begins the end: the module answers all in time, and fronts let no more in.
func (e *Engine) BeginShutdown(now policy.Time) {
	if e.leaving {
		return
	}
	e.Logger.WithField("tickets", e.InFlight).Info("leaving: answering what is in hand")
	e.leaving, e.leaveBy = true, now+e.Config.ShutdownTime
	e.Module.Shutdown(now, e.leaveBy)
	for _, f := range e.fronts {
		f.BeginShutdown(now)
	}
	e.look.Run = func(now policy.Time) { e.Timers.Set(&e.look, now+10*policy.Millisecond) }
	e.look.Run(now)
}

// ShuttingDown tells whether the end has begun, and by when the last answer must be out.
func (e *Engine) ShuttingDown() (policy.Time, bool) { return e.leaveBy, e.leaving }

// left tells whether all is answered and none can come any more.
func (e *Engine) left(now policy.Time) bool {
	if e.InFlight > 0 && now < e.leaveBy {
		return false
	}
	all := true
	for _, f := range e.fronts {
		all = f.Drained(now) && all
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
		f.Close()
	}
	e.Timers.Stop(&e.wake)
	e.Timers.Stop(&e.look)
	e.Timers.Stop(&e.show)
}

// Abandon ends an engine that will not run, for whoever waits for it.
func (e *Engine) Abandon() { close(e.over) }
