package httpproxy

import (
	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// detachClient takes the client off a request that is being answered; nil if it has left.
func (s *Proxy) detachClient(now policy.Time, t *connstate.Request, kind int) *connstate.Conn {
	c := t.Client
	t.Client = nil
	s.requests.Remove(t)
	if c == nil || c.Closing {
		if c != nil {
			c.Request = nil // the request's place may be another's by the time this connection's end is told
		}
		s.Counters.Unsent++
		s.Unanswered(t.Request)
		return nil
	}
	s.Answered(now, t.Request, kind)
	return c
}

// Succeed passes an endpoint's answer on, also one that declines.
func (s *Proxy) Succeed(now policy.Time, of *engine.Request) {
	t, kind := connstate.AsRequest(of), 0
	if t.Response.Status != 200 {
		kind = 1
	}
	if c := s.detachClient(now, t, kind); c != nil {
		last := t.CloseAfter || s.closesAfterResponse()
		if kind == 0 {
			s.Counters.Succeeded++
		} else {
			// The endpoint cannot use the request. What else its sender has ready is not taken for better.
			s.Counters.Declined++
			last = true
		}
		s.scratch = appendResponseHead(s.scratch[:0], t.Response.Status, t.Response.Head, len(t.Response.Body), last)
		if len(t.Response.Body) <= connstate.SmallBuffer {
			s.scratch = append(s.scratch, t.Response.Body...)
			s.write(c, s.scratch)
		} else {
			s.write(c, s.scratch)
			s.write(c, t.Response.Body)
		}
		s.responseSent(now, c, last)
	}
}

// Reject and Fail answer for the module.
func (s *Proxy) Reject(now policy.Time, of *engine.Request, retryIn policy.Time) {
	t := connstate.AsRequest(of)
	if c := s.detachClient(now, t, 2); c != nil {
		s.Counters.Rejected++
		s.respond(now, c, 503, "turned back\n", retryIn, t.CloseAfter)
	}
}

func (s *Proxy) Fail(now policy.Time, of *engine.Request) {
	t := connstate.AsRequest(of)
	if c := s.detachClient(now, t, 3); c != nil {
		s.Counters.Failed++
		s.respond(now, c, 502, "given up\n", 0, t.CloseAfter)
	}
}
