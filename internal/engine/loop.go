package engine

import (
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/policy"
)

const microsecond = policy.Millisecond / 1000

// loop runs rounds until the engine has shut down.
func (e *Engine) loop(stop <-chan os.Signal) {
	alarm := time.NewTimer(0)
	for {
		e.Round(e.Clock.Now())
		if len(e.ended) > 0 || e.more() {
			continue
		}
		if e.shuttingDown && e.drained(e.Clock.Now()) {
			e.close()
			return
		}
		alarm.Reset(e.untilNextTimer())
		select {
		case <-e.signal:
		case <-alarm.C:
		case event := <-e.list.events:
			e.list.handle(e.Clock.Now(), event)
		case call := <-e.calls:
			call()
		case <-stop:
			e.BeginShutdown(e.Clock.Now())
		}
	}
}

// untilNextTimer returns how long the loop may sleep if nothing else happens.
func (e *Engine) untilNextTimer() time.Duration {
	at, found := e.Timers.Next()
	if !found {
		return time.Hour
	}
	return time.Duration(at - e.Clock.Now())
}

func (e *Engine) more() bool {
	for _, f := range e.fronts {
		if f.HasPending() {
			return true
		}
	}
	return false
}

// Round runs one round of the loop: it gathers events from the fronts, passes them to the module, runs the timers that
// are due, and carries out the module's decisions.
func (e *Engine) Round(now policy.Time) {
	if e.StallAfter > 0 && e.lastRound > 0 && now-e.lastRound > e.StallAfter {
		e.list.refresh()
		now = e.Clock.Now()
	}
	e.lastRound = now
	e.applyRules()
	e.handlePending(now)
	for _, f := range e.fronts {
		f.Gather(now)
		e.ReportEndedAttempts(now)
	}
	e.Timers.Run(now)
	e.ReportEndedAttempts(now)
	e.runSteps(now)
}

// runSteps runs the queued steps, including those that are added meanwhile.
func (e *Engine) runSteps(now policy.Time) {
	for i := 0; i < len(e.steps); i++ {
		next := e.steps[i]
		next.run(e, now, next)
		next.request.PendingSteps--
		e.release(next.request)
	}
	clear(e.steps)
	e.steps = e.steps[:0]
}

// handlePending handles the events of the source and the calls that wait for the loop. It runs before any decision of
// the round, so that decisions are based on the latest list even if the process was suspended, and so that calls are
// handled even if the loop is never idle. The number of events is bounded, because a source that always has another
// list must not block requests.
func (e *Engine) handlePending(now policy.Time) {
	e.handleEvents(now)
	for {
		select {
		case call := <-e.calls:
			call()
		default:
			return
		}
	}
}

// handleEvents handles the events in the channel and one whose sender is blocked because the channel is full.
func (e *Engine) handleEvents(now policy.Time) {
	for range maxPendingEvents + 1 {
		select {
		case event := <-e.list.events:
			e.list.handle(now, event)
		default:
			return
		}
	}
}

// ReportEndedAttempts reports the attempts that have ended to the module, which decides on further steps.
func (e *Engine) ReportEndedAttempts(now policy.Time) {
	for i := 0; i < len(e.ended); i++ {
		e.reportEnd(now, e.ended[i])
	}
	clear(e.ended)
	e.ended = e.ended[:0]
}

func (e *Engine) reportEnd(now policy.Time, end endedAttempt) {
	request := end.request
	e.Counters.Outcomes[end.outcome]++
	if e.Logger.IsLevelEnabled(logrus.DebugLevel) {
		e.Logger.Debugf("attempt %d to endpoint %d: outcome %d after %d us",
			request.AttemptNo, request.Endpoint, end.outcome, end.spent/microsecond)
	}
	request.InFlight = false
	e.recordEnd(now, request, end.outcome, end.spent)
	request.PendingSteps++ // prevents the release of the request while the module decides
	e.Module.AttemptEnded(now, request.Handle, request.AttemptNo, request.Endpoint, end.outcome, end.spent,
		request.Decided)
	request.PendingSteps--
	if !request.Decided || request.PendingSteps == 0 {
		request.Front.DiscardResponse(request)
	}
	e.release(request)
}

// RunOnLoop runs a function in the loop's goroutine between two rounds. It returns false, without having run the
// function, if the loop has stopped. The function must be short and must not call RunOnLoop.
func (e *Engine) RunOnLoop(do func()) bool { return e.runOnLoop(nil, do) }

// RunOnLoopWithin is like RunOnLoop, but waits for the loop no longer than the timeout. If it returns false, the
// function has not been run and will not be run later.
func (e *Engine) RunOnLoopWithin(timeout time.Duration, do func()) bool {
	return e.runOnLoop(time.After(timeout), do)
}

func (e *Engine) runOnLoop(timeout <-chan time.Time, do func()) bool {
	done := make(chan struct{})
	call := func() {
		do()
		close(done)
	}
	select {
	case e.calls <- call:
		<-done
		return true
	case <-e.stopped:
	case <-timeout:
	}
	return false
}

// Stopped returns a channel that is closed once Run has returned.
func (e *Engine) Stopped() <-chan struct{} { return e.stopped }
