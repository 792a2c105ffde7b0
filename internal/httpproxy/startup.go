package httpproxy

import "pepperlead/policy"

const startCheckInterval = 20 * policy.Millisecond // between looks whether a list is there

// start lets clients in as soon as that does no harm.
func (s *Proxy) start(now policy.Time) {
	switch {
	case s.config.Successor:
		// Another process serves: what this one takes before it can serve would wait.
		s.startTimer.Run = s.startWhenReady
		s.Timers.Set(&s.startTimer, now+startCheckInterval)
	case s.config.FirstListTimeout > 0:
		// The saved list may be old, and what the source has to tell binds from the first attempt on. It is asked first; where it is silent
		// clients wait no longer than this outside the door, and the saved list serves.
		s.awaitingList = true
		s.startTimer.Run = s.admitClients
		s.Timers.Set(&s.startTimer, now+s.config.FirstListTimeout)
	default:
		s.admitClients(now)
	}
}

// admitClients lets clients in, once.
func (s *Proxy) admitClients(now policy.Time) {
	if s.awaitingList {
		waited := now - (s.startTimer.At() - s.config.FirstListTimeout)
		s.Logger.WithField("waited_ms", waited/policy.Millisecond).Info(map[bool]string{true: "list: told by the source before the first client",
			false: "list: the source is silent, clients come in by the saved one"}[s.ListFresh()])
	}
	s.awaitingList = false
	s.Timers.Stop(&s.startTimer)
	close(s.sockets.listener.opened)
	_, leaving := s.ShuttingDown()
	s.serving.Store(!leaving)
}

// startWhenReady lets clients in to a process that follows another, once it knows a list and what the other has learned.
func (s *Proxy) startWhenReady(now policy.Time) {
	if _, leaving := s.ShuttingDown(); leaving {
		return
	}
	if heard, _ := s.ListStatus(); !heard {
		s.Timers.Set(&s.startTimer, now+startCheckInterval)
		return
	}
	go func() {
		s.config.ImportState()
		s.RunOnLoop(func() {
			if _, leaving := s.ShuttingDown(); leaving {
				return // it was told to end while it learned
			}
			s.admitClients(s.Clock.Now())
			s.Logger.Info("handover: clients are taken from now on")
		})
	}()
}
