package proto

import (
	"pepperlead/internal/state"
	"pepperlead/policy"
)

const (
	lastWrite = 100 * policy.Millisecond // for a client to take the last answer
	straggle  = 50 * policy.Millisecond  // for a client to come again that had its connection closed as it sent
)

// leave begins the end: every answer now closes its connection, and the module answers all in time.
func (s *Sidecar) leave(now policy.Time) {
	if s.leaving {
		return
	}
	s.log.WithField("tickets", s.tickets.Held).Info("leaving: answering what is in hand")
	s.leaving, s.acceptTo, s.leaveBy = true, now+s.post.Accept, now+s.post.Leave
	s.module.Leave(now, s.leaveBy)
	s.look.Do = func(now policy.Time) { s.timers.Set(&s.look, now+flushEvery) }
	s.look.Do(now)
}

// left tells whether all is answered and none can come any more.
func (s *Sidecar) left(now policy.Time) bool {
	if now < s.acceptTo || s.tickets.Held > 0 && now < s.leaveBy {
		return false
	}
	waiting := false
	for c := range s.conns.Open {
		if c.Side == state.Client && !c.Dead {
			if c.Ticket == nil && c.In == nil && !c.Last {
				s.close(c)
			}
			waiting = true
		}
	}
	if waiting {
		s.emptyAt = now + straggle
	}
	return now >= min(max(s.emptyAt, s.acceptTo), s.leaveBy+lastWrite)
}
