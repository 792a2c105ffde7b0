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

// untilNextTimer is how long the loop may sleep if nothing else happens.
func (e *Engine) untilNextTimer() time.Duration {
	at, found := e.Timers.Next()
	if !found {
		return time.Hour
	}
	return time.Duration(at - e.Clock.Now())
}

func (e *Engine) more() bool {
	for _, f := range e.fronts {
		if f.More() {
			return true
		}
	}
	return false
}

// Round gathers what is ready, hands it to the module, and carries out what that decides.
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
		e.RunSteps(now)
	}
	e.Timers.Run(now)
	e.RunSteps(now)
	e.carryOut(now)
}

// carryOut runs the steps, with those that come in meanwhile.
func (e *Engine) carryOut(now policy.Time) {
	for i := 0; i < len(e.steps); i++ {
		next := e.steps[i]
		next.run(e, now, next)
		next.request.PendingSteps--
		e.release(next.request)
	}
	clear(e.steps)
	e.steps = e.steps[:0]
}

// handlePending handles lists and calls that wait for the loop, so that a list comes before any decision, also after
// the process was suspended, and calls don't wait for the loop to idle. The number of lists is bounded: a source that
// always has another one must not hold up requests.
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

// handleEvents handles the events in the channel and one whose sender waits to put it there.
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

// RunSteps reports to the module the attempts that have ended, which decides on further steps.
func (e *Engine) RunSteps(now policy.Time) {
	for i := 0; i < len(e.ended); i++ {
		e.reportEnd(now, e.ended[i])
	}
	clear(e.ended)
	e.ended = e.ended[:0]
}

func (e *Engine) reportEnd(now policy.Time, end endedAttempt) {
	t := end.request
	e.Counters.Outcomes[end.outcome]++
	if e.Logger.IsLevelEnabled(logrus.DebugLevel) {
		e.Logger.Debugf("attempt %d to endpoint %d: outcome %d after %d us",
			t.AttemptNo, t.Endpoint, end.outcome, end.spent/microsecond)
	}
	t.InFlight = false
	e.recordEnd(now, t, end.outcome, end.spent)
	t.PendingSteps++ // holds the request while the module decides
	e.Module.AttemptEnded(now, t.Handle, t.AttemptNo, t.Endpoint, end.outcome, end.spent, t.Decided)
	t.PendingSteps--
	if !t.Decided || t.PendingSteps == 0 {
		t.Front.DiscardResponse(t)
	}
	e.release(t)
}

// RunOnLoop runs a function in the loop's goroutine between two rounds and returns false if the loop has stopped. The
// function must be short and must not call RunOnLoop.
func (e *Engine) RunOnLoop(do func()) bool { return e.runOnLoop(nil, do) }

// RunOnLoopWithin is RunOnLoop with a bound on the wait for the loop. If it returns false, the function hasn't been run
// and won't be.
func (e *Engine) RunOnLoopWithin(wait time.Duration, do func()) bool {
	return e.runOnLoop(time.After(wait), do)
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

// Stopped is closed once Run has returned.
func (e *Engine) Stopped() <-chan struct{} { return e.stopped }
