package httpproxy

import "pepperlead/policy"

// startCheckInterval is the time between a starting process's checks whether it has an endpoint list.
const startCheckInterval = 20 * policy.Millisecond

// start makes the listener accept clients as soon as they can be served.
func (p *Proxy) start(now policy.Time) {
	p.startSummaries(now)
	switch {
	case p.config.Successor:
		// Another process is serving. Clients that this one accepted before it can serve would have to wait.
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
	p.awaitingList = false
	p.Timers.Stop(&p.startTimer)
	close(p.sockets.listener.opened)
	_, shuttingDown := p.ShuttingDown()
	p.serving.Store(!shuttingDown)
}

// startWhenReady accepts clients in a process that succeeds another one, once it has an endpoint list and has imported
// the learned state of the other process.
func (p *Proxy) startWhenReady(now policy.Time) {
	if _, shuttingDown := p.ShuttingDown(); shuttingDown {
		return
	}
	if hasList, _ := p.ListStatus(); !hasList {
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
