package engine

import (
	"time"

	"pepperlead/policy"
)

const (
	// listSaveTime is the time that a source has to save its last list at the end of the shutdown.
	listSaveTime = 500 * time.Millisecond
	// shutdownCheckInterval is the interval at which the loop checks whether all requests are answered.
	shutdownCheckInterval = 10 * policy.Millisecond
)

// BeginShutdown starts the graceful shutdown: the module answers all requests before the shutdown deadline, and the
// fronts accept no new clients.
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

// ShuttingDown reports whether the shutdown has begun, and the deadline by which the last answer must be sent.
func (e *Engine) ShuttingDown() (deadline policy.Time, begun bool) {
	return e.shutdownDeadline, e.shuttingDown
}

// drained reports whether all requests are answered, or the shutdown deadline has passed, and no further request can
// arrive.
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

// close stops the source, closes the fronts and stops the engine's own timers.
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
	e.Timers.Stop(&e.metricsTimer)
}

// Abandon marks an engine as stopped that will never run.
func (e *Engine) Abandon() { close(e.stopped) }
