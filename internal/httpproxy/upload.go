package httpproxy

import (
	"strconv"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// A body over 64 KiB is collected while it fits, so that it can be sent again and no endpoint waits for its client; else it goes on to
// an endpoint as it comes, and an attempt that fails in the middle of it is the request's last.

// hold is how much of one body is collected.
func (s *Proxy) hold() int {
	if s.buffers.Lent() > s.buffers.Limit/2 {
		return mostBody
	}
	return max(mostBody, s.buffers.Limit/6)
}

// uploads begins with the body of a request whose head is whole.
func (s *Proxy) uploads(now, at policy.Time, c *connstate.Conn, a asked) {
	if !c.Upload.ContinueSent && Continues(c.Input.Buffer.B) {
		c.Upload.ContinueSent = true
		s.write(c, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	s.conns.MarkBusy(c)
	s.Counters.LargeBodies++
	c.Upload.State, c.Upload.Size, c.Upload.Start, c.Input.Needed = connstate.CollectingUpload, a.size, a.at, 0
	if c.Input.HeadAt == 0 {
		c.Input.HeadAt = now
	}
	c.Frame = frameOf(a.size, a.chunked)
	rest := s.buffers.Get(max(1, len(c.Input.Buffer.B)-a.at))
	rest.B = append(rest.B, c.Input.Buffer.B[a.at:]...)
	c.Input.Buffer.B = c.Input.Buffer.B[:a.at]
	s.uploadComes(now, at, c, rest)
}

// uploadComes takes what has come of it.
func (s *Proxy) uploadComes(now, at policy.Time, c *connstate.Conn, buf *connstate.Buffer) {
	n, used, done, ok := takeBody(&c.Frame, buf.B)
	var next *connstate.Buffer
	if done && used < len(buf.B) {
		next = s.buffers.Get(len(buf.B) - used)
		next.B = append(next.B, buf.B[used:]...)
	}
	buf.B = buf.B[:n]
	t := c.Request
	switch {
	case !ok:
		s.buffers.Put(buf)
		s.uploadFails(now, c, 400, "the body cannot be read, or is too long\n")
		return
	case c.Upload.State == connstate.CollectingUpload:
		c.Input.Buffer = s.buffers.Join(c.Input.Buffer, buf)
		if hold := s.hold(); !done && (c.Upload.Size > hold || len(c.Input.Buffer.B)-c.Upload.Start > hold) {
			s.goesOn(now, at, c)
		}
	case t == nil:
		s.buffers.Put(buf)
	case t.Upload.Forwarded && t.AttemptConn != nil:
		s.sendPart(t, buf.B)
		s.buffers.Put(buf)
		s.holdUp(c, t.AttemptConn)
	default:
		t.Upload.Buffer = s.buffers.Join(t.Upload.Buffer, buf)
		c.Input.Paused.Store(true) // until an attempt takes it
	}
	if !done {
		if c.Upload.State != connstate.NoUpload {
			by := s.uploadBy(c)
			if c.Input.Paused.Load() {
				by = min(by, now+lookAt) // it waits for its endpoint, which may take no more
			}
			s.Timers.Set(&c.Timer, by)
		}
		return
	}
	s.uploaded(now, at, c, next)
}

// goesOn admits a request whose body has not come whole.
func (s *Proxy) goesOn(now, at policy.Time, c *connstate.Conn) {
	buf := c.Input.Buffer
	s.Counters.StreamedBodies++
	c.Input.Buffer, c.Upload.State = nil, connstate.StreamingUpload
	a, _ := askedBy(buf.B)
	s.request(now, at, c, buf, a, buf.B[a.at:])
}

// uploaded is told that the body is whole; next came behind it.
func (s *Proxy) uploaded(now, at policy.Time, c *connstate.Conn, next *connstate.Buffer) {
	was, t := c.Upload.State, c.Request
	s.Timers.Stop(&c.Timer)
	c.Upload.State, c.Upload.ContinueSent, c.Input.HeadAt = connstate.NoUpload, false, 0
	buf := c.Input.Buffer
	c.Input.Buffer = next
	switch {
	case was == connstate.CollectingUpload:
		a, _ := askedBy(buf.B)
		a.size, a.chunked = len(buf.B)-a.at, false
		s.request(now, at, c, buf, a, buf.B[a.at:])
	case t == nil:
		s.free(now, c, c.Upload.CloseAfter)
	default:
		t.Upload.Active = false
		if t.Upload.Forwarded && t.AttemptConn != nil {
			s.sendEnd(t)
		}
		s.BodyComplete(now, t.Request, t.ClientTimeLeft)
	}
}

// sendPart writes a part of the body to the endpoint.
func (s *Proxy) sendPart(t *connstate.Request, b []byte) {
	if len(b) == 0 {
		return
	}
	if t.Upload.Size >= 0 {
		s.write(t.AttemptConn, b)
		return
	}
	s.scratch = append(strconv.AppendInt(s.scratch[:0], int64(len(b)), 16), "\r\n"...)
	s.write(t.AttemptConn, s.scratch)
	s.write(t.AttemptConn, b)
	s.write(t.AttemptConn, headEnd[:2])
}

// sendEnd says that all of it was written.
func (s *Proxy) sendEnd(t *connstate.Request) {
	c := t.AttemptConn
	if t.Upload.Size < 0 {
		c.Output.CompleteAt.Store(c.Output.Queued + int64(len(lastChunk)))
		s.write(c, lastChunk)
		return
	}
	c.Output.CompleteAt.Store(c.Output.Queued)
	c.RecordWritten(0) // all of it may be written already
}

// uploadBy is by when more must have come.
func (s *Proxy) uploadBy(c *connstate.Conn) policy.Time {
	return c.Input.HeadAt + bodyIn + policy.Time(c.Frame.Received)*policy.Second/bodyRate
}

// uploadDue looks whether a body still comes. While its client has to wait, it is the endpoint that must take something.
func (s *Proxy) uploadDue(now policy.Time, c *connstate.Conn) {
	t := c.Request
	switch {
	case c.Input.Paused.Load() && t != nil:
		if t.Upload.Forwarded && t.AttemptConn != nil && !t.AttemptConn.Progressed(now, t.AttemptConn.Output.Written.Load(), flushIn) {
			if t.Response.Streaming {
				s.breakStream(now, t) // its endpoint answers already
				return
			}
			s.TimedOut(now, t.Request)
		}
		c.Input.HeadAt = now - policy.Time(c.Frame.Received)*policy.Second/bodyRate
		s.Timers.Set(&c.Timer, now+lookAt)
	case now < s.uploadBy(c):
		s.Timers.Set(&c.Timer, s.uploadBy(c))
	default:
		s.uploadFails(now, c, 408, "the request came too slowly\n")
	}
}

// uploadFails ends a request that does not come whole.
func (s *Proxy) uploadFails(now policy.Time, c *connstate.Conn, status int, why string) {
	if t := c.Request; t != nil {
		s.leaves(now, c, t)
	}
	c.Upload.State = connstate.NoUpload
	s.bad(now, c, status, why)
}
