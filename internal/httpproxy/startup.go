package httpproxy

import "pepperlead/policy"

const (
	// startCheckInterval is the time between a starting process's checks whether it has an endpoint list.
	startCheckInterval = 20 * policy.Millisecond
	// SuccessorListTimeout is how long a process that succeeds a serving one waits for a list that is not a saved one.
	// A new process has 6 s to become ready.
	SuccessorListTimeout = 5 * policy.Second
)

// SetFirstListTimeout sets how long clients wait for the list of the source. It must be called before Run.
func (p *Proxy) SetFirstListTimeout(timeout policy.Time) { p.config.FirstListTimeout = timeout }

// start makes the listener accept clients as soon as they can be served.
func (p *Proxy) start(now policy.Time) {
	p.startSummaries(now)
	switch {
	case p.config.Successor:
		// Another process is serving. Clients that this one accepted before it can serve would have to wait.
		p.startedAt = now
		p.startTimer.Run = p.startWhenReady
		p.Timers.Set(&p.startTimer, now+startCheckInterval)
	case p.config.FirstListTimeout > 0:
		// The saved list may be outdated, and the first attempt should already use the list of the source. So clients
		// wait for that list, but at most for FirstListTimeout; after that the saved list is used.
		p.awaitingList = true
		p.startTimer.Run = p.admitClients
		p.Timers.Set(&p.startTimer, now+p.config.FirstListTimeout)
	default:
		p.admitClients(now)
	}
}

// admitClients makes the listener accept clients. It is called once.
func (p *Proxy) admitClients(now policy.Time) {
	if p.awaitingList {
		began := p.startTimer.At() - p.config.FirstListTimeout
		message := "accepting clients with the saved list: the source has not answered"
		if p.ListFresh() {
			message = "accepting clients with the list of the source"
		}
		p.Logger.WithField("waited_ms", (now-began)/policy.Millisecond).Info(message)
	}
	p.noteMissingList()
	p.awaitingList = false
	p.Timers.Stop(&p.startTimer)
	close(p.sockets.listener.opened)
	_, shuttingDown := p.ShuttingDown()
	p.serving.Store(!shuttingDown)
}

// noteMissingList logs and counts that clients are accepted on an inherited listener with neither the list of the
// source nor that of a process before this one, which may have been told more.
func (p *Proxy) noteMissingList() {
	waited := p.awaitingList || p.config.Successor
	if !waited || p.config.InheritedListener == 0 || p.ListFresh() || p.ListInherited() {
		return
	}
	p.Counters.HandoversMissing++
	p.Logger.Warn("hot restart: endpoint list of the other process missing, and the source has not answered: " +
		"drains, starts and departures since the saved list are not known")
}

// maySucceed reports whether a process that succeeds another one may accept clients. It needs an endpoint list, which
// should be that of the source or of the other process: a saved list may lack drains that the other process was told.
// While the other process serves, waiting for such a list costs no client anything.
func (p *Proxy) maySucceed(now policy.Time) bool {
	hasList, _ := p.ListStatus()
	waited := now - p.startedAt
	switch {
	case !hasList:
		return false
	case p.ListConfirmed() || waited >= SuccessorListTimeout:
		return true
	default:
		// Once the other process has ended, nobody serves, so the list that it has saved has to do.
		alone := p.processes.Load() == 1
		return alone && p.ListInherited() && waited >= p.config.FirstListTimeout
	}
}

// startWhenReady accepts clients in a process that succeeds another one, once it has an endpoint list and has imported
// the learned state of the other process.
func (p *Proxy) startWhenReady(now policy.Time) {
	if _, shuttingDown := p.ShuttingDown(); shuttingDown {
		return
	}
	if !p.maySucceed(now) {
		p.Timers.Set(&p.startTimer, now+startCheckInterval)
		return
	}
	go func() {
		p.config.ImportState()
		p.RunOnLoop(func() {
			if _, shuttingDown := p.ShuttingDown(); shuttingDown {
				return // the shutdown began during the import
			}
			p.admitClients(p.Clock.Now())
			p.Logger.Info("hot restart: accepting clients")
		})
	}()
}
