package engine

import (
	"time"

	"pepperlead/policy"
)

const (
	// listSaveTime is what a source gets at the end to save its last list.
	listSaveTime = 500 * time.Millisecond
	// shutdownCheckInterval is between looks at whether all requests are answered.
	shutdownCheckInterval = 10 * policy.Millisecond
)

// BeginShutdown begins the graceful shutdown: the module answers all requests in time, and fronts accept no more.
func (e *Engine) BeginShutdown(now policy.Time) {
	if e.shuttingDown {
		return
	}
	e.Logger.WithField("requests_in_flight", e.InFlight).Info("graceful shutdown begun")
	e.shuttingDown = true
	e.shutdownDeadline = now + e.ShutdownTime
	e.Module.Shutdown(now, e.shutdownDeadline)
	for _, f := range e.fronts {
		f.BeginShutdown(now)
	}
	e.shutdownTimer.Run = func(now policy.Time) { e.Timers.Set(&e.shutdownTimer, now+shutdownCheckInterval) }
	e.shutdownTimer.Run(now)
}

// ShuttingDown tells whether the shutdown has begun, and by when the last answer must be out.
func (e *Engine) ShuttingDown() (deadline policy.Time, begun bool) {
	return e.shutdownDeadline, e.shuttingDown
}

// drained tells whether all requests are answered and no more can come.
func (e *Engine) drained(now policy.Time) bool {
	if e.InFlight > 0 && now < e.shutdownDeadline {
		return false
	}
	all := true
	for _, f := range e.fronts {
		all = f.Drained(now) && all
	}
	return all
}

// close ends the source and the fronts.
func (e *Engine) close() {
	e.list.cancel()
	select {
	case <-e.list.done:
	case <-time.After(listSaveTime):
	}
	for _, f := range e.fronts {
		f.Close()
	}
	e.Timers.Stop(&e.wakeTimer)
	e.Timers.Stop(&e.shutdownTimer)
	e.Timers.Stop(&e.figuresTimer)
}

// Abandon marks an engine that will not run as stopped.
func (e *Engine) Abandon() { close(e.stopped) }
