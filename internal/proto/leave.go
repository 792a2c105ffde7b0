package proto

import (
	"pepperlead/internal/state"
	"pepperlead/policy"
)

// acceptFor is how long clients may still come after the first sign of the end.
const acceptFor = 450 * policy.Millisecond

// leave begins the end: every answer now closes its connection.
func (s *Sidecar) leave(now policy.Time) {
	if s.leaving {
		return
	}
	s.log.WithField("tickets", s.tickets.Held).Info("leaving: answering what is in hand")
	s.leaving, s.acceptTo, s.leaveBy = true, now+acceptFor, now+s.post.Leave
	s.wake2(now)
}

func (s *Sidecar) wake2(now policy.Time) {
	t := &state.Timer{}
	t.Do = func(now policy.Time) { s.timers.Set(t, now+flushEvery) }
	s.timers.Set(t, now+flushEvery)
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
	return !waiting || now >= s.leaveBy+200*policy.Millisecond
}
