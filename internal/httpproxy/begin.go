package httpproxy

import "pepperlead/policy"

const beginEvery = 20 * policy.Millisecond // between looks whether a list is there

// start lets clients in as soon as that does no harm.
func (s *Sidecar) start(now policy.Time) {
	switch {
	case s.post.Follows:
		// Another process serves: what this one takes before it can serve would wait.
		s.begin.Do = s.beginWhenReady
		s.Timers.Set(&s.begin, now+beginEvery)
	case s.post.First > 0:
		// The saved list may be old, and what the source has to tell binds from the first attempt on. It is asked first; where it is silent
		// clients wait no longer than this outside the door, and the saved list serves.
		s.waits = true
		s.begin.Do = s.open
		s.Timers.Set(&s.begin, now+s.post.First)
	default:
		s.open(now)
	}
}

// open lets clients in, once.
func (s *Sidecar) open(now policy.Time) {
	if s.waits {
		waited := now - (s.begin.At() - s.post.First)
		s.Logger.WithField("waited_ms", waited/policy.Millisecond).Info(map[bool]string{true: "list: told by the source before the first client",
			false: "list: the source is silent, clients come in by the saved one"}[s.Fresh()])
	}
	s.waits = false
	s.Timers.Stop(&s.begin)
	close(s.sockets.gate.begun)
	_, leaving := s.Leaving()
	s.serves.Store(!leaving)
}

// beginWhenReady lets clients in to a process that follows another, once it knows a list and what the other has learned.
func (s *Sidecar) beginWhenReady(now policy.Time) {
	if _, leaving := s.Leaving(); leaving {
		return
	}
	if heard, _ := s.Heard(); !heard {
		s.Timers.Set(&s.begin, now+beginEvery)
		return
	}
	go func() {
		s.post.Learn()
		s.Inside(func() {
			if _, leaving := s.Leaving(); leaving {
				return // it was told to end while it learned
			}
			s.open(s.Clock.Now())
			s.Logger.Info("handover: clients are taken from now on")
		})
	}()
}
