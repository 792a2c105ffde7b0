package httpproxy

import "pepperlead/policy"

const beginEvery = 20 * policy.Millisecond // between looks whether a list is there

// start lets clients in as soon as that does no harm.
func (s *Proxy) start(now policy.Time) {
	switch {
	case s.post.Successor:
		// Another process serves: what this one takes before it can serve would wait.
		s.begin.Run = s.beginWhenReady
		s.Timers.Set(&s.begin, now+beginEvery)
	case s.post.FirstListTimeout > 0:
		// The saved list may be old, and what the source has to tell binds from the first attempt on. It is asked first; where it is silent
		// clients wait no longer than this outside the door, and the saved list serves.
		s.waits = true
		s.begin.Run = s.open
		s.Timers.Set(&s.begin, now+s.post.FirstListTimeout)
	default:
		s.open(now)
	}
}

// open lets clients in, once.
func (s *Proxy) open(now policy.Time) {
	if s.waits {
		waited := now - (s.begin.At() - s.post.FirstListTimeout)
		s.Logger.WithField("waited_ms", waited/policy.Millisecond).Info(map[bool]string{true: "list: told by the source before the first client",
			false: "list: the source is silent, clients come in by the saved one"}[s.ListFresh()])
	}
	s.waits = false
	s.Timers.Stop(&s.begin)
	close(s.sockets.gate.begun)
	_, leaving := s.ShuttingDown()
	s.serves.Store(!leaving)
}

// beginWhenReady lets clients in to a process that follows another, once it knows a list and what the other has learned.
func (s *Proxy) beginWhenReady(now policy.Time) {
	if _, leaving := s.ShuttingDown(); leaving {
		return
	}
	if heard, _ := s.ListStatus(); !heard {
		s.Timers.Set(&s.begin, now+beginEvery)
		return
	}
	go func() {
		s.post.ImportState()
		s.RunOnLoop(func() {
			if _, leaving := s.ShuttingDown(); leaving {
				return // it was told to end while it learned
			}
			s.open(s.Clock.Now())
			s.Logger.Info("handover: clients are taken from now on")
		})
	}()
}
