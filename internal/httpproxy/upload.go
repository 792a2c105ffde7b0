package httpproxy

import (
	"strconv"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// A body over 64 KiB is collected while it fits, so that it can be sent again and no endpoint waits for its client; else it goes on to
// an endpoint as it comes, and an attempt that fails in the middle of it is the request's last.

// maxCollected is how much of one body is collected.
func (s *Proxy) maxCollected() int {
	if s.buffers.Lent() > s.buffers.Limit/2 {
		return maxBody
	}
	return max(maxBody, s.buffers.Limit/6)
}

// beginUpload begins with the body of a request whose head is whole.
func (s *Proxy) beginUpload(now, at policy.Time, c *connstate.Conn, a requestHead) {
	if !c.Upload.ContinueSent && expectsContinue(c.Input.Buffer.B) {
		c.Upload.ContinueSent = true
		s.write(c, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	s.conns.MarkBusy(c)
	s.Counters.LargeBodies++
	c.Upload.State, c.Upload.Size, c.Upload.Start, c.Input.Needed = connstate.CollectingUpload, a.bodySize, a.bodyStart, 0
	if c.Input.HeadAt == 0 {
		c.Input.HeadAt = now
	}
	c.Frame = newFrame(a.bodySize, a.chunked)
	rest := s.buffers.Get(max(1, len(c.Input.Buffer.B)-a.bodyStart))
	rest.B = append(rest.B, c.Input.Buffer.B[a.bodyStart:]...)
	c.Input.Buffer.B = c.Input.Buffer.B[:a.bodyStart]
	s.uploadData(now, at, c, rest)
}

// uploadData takes what has come of it.
func (s *Proxy) uploadData(now, at policy.Time, c *connstate.Conn, buf *connstate.Buffer) {
	n, used, done, ok := decodeBody(&c.Frame, buf.B)
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
		s.failUpload(now, c, 400, "the body cannot be read, or is too long\n")
		return
	case c.Upload.State == connstate.CollectingUpload:
		c.Input.Buffer = s.buffers.Join(c.Input.Buffer, buf)
		if hold := s.maxCollected(); !done && (c.Upload.Size > hold || len(c.Input.Buffer.B)-c.Upload.Start > hold) {
			s.streamUpload(now, at, c)
		}
	case t == nil:
		s.buffers.Put(buf)
	case t.Upload.Forwarded && t.AttemptConn != nil:
		s.writeBodyPart(t, buf.B)
		s.buffers.Put(buf)
		s.applyBackpressure(c, t.AttemptConn)
	default:
		t.Upload.Buffer = s.buffers.Join(t.Upload.Buffer, buf)
		c.Input.Paused.Store(true) // until an attempt takes it
	}
	if !done {
		if c.Upload.State != connstate.NoUpload {
			by := s.uploadDeadline(c)
			if c.Input.Paused.Load() {
				by = min(by, now+streamCheckInterval) // it waits for its endpoint, which may take no more
			}
			s.Timers.Set(&c.Timer, by)
		}
		return
	}
	s.uploadComplete(now, at, c, next)
}

// streamUpload admits a request whose body has not come whole.
func (s *Proxy) streamUpload(now, at policy.Time, c *connstate.Conn) {
	buf := c.Input.Buffer
	s.Counters.StreamedBodies++
	c.Input.Buffer, c.Upload.State = nil, connstate.StreamingUpload
	a, _ := parseRequestHead(buf.B)
	s.handleRequest(now, at, c, buf, a, buf.B[a.bodyStart:])
}

// uploadComplete is told that the body is whole; next came behind it.
func (s *Proxy) uploadComplete(now, at policy.Time, c *connstate.Conn, next *connstate.Buffer) {
	was, t := c.Upload.State, c.Request
	s.Timers.Stop(&c.Timer)
	c.Upload.State, c.Upload.ContinueSent, c.Input.HeadAt = connstate.NoUpload, false, 0
	buf := c.Input.Buffer
	c.Input.Buffer = next
	switch {
	case was == connstate.CollectingUpload:
		a, _ := parseRequestHead(buf.B)
		a.bodySize, a.chunked = len(buf.B)-a.bodyStart, false
		s.handleRequest(now, at, c, buf, a, buf.B[a.bodyStart:])
	case t == nil:
		s.responseSent(now, c, c.Upload.CloseAfter)
	default:
		t.Upload.Active = false
		if t.Upload.Forwarded && t.AttemptConn != nil {
			s.writeBodyEnd(t)
		}
		s.BodyComplete(now, t.Request, t.ClientTimeLeft)
	}
}

// writeBodyPart writes a part of the body to the endpoint.
func (s *Proxy) writeBodyPart(t *connstate.Request, b []byte) {
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
	s.write(t.AttemptConn, emptyLine[:2])
}

// writeBodyEnd says that all of it was written.
func (s *Proxy) writeBodyEnd(t *connstate.Request) {
	c := t.AttemptConn
	if t.Upload.Size < 0 {
		c.Output.CompleteAt.Store(c.Output.Queued + int64(len(lastChunk)))
		s.write(c, lastChunk)
		return
	}
	c.Output.CompleteAt.Store(c.Output.Queued)
	c.RecordWritten(0) // all of it may be written already
}

// uploadDeadline is by when more must have come.
func (s *Proxy) uploadDeadline(c *connstate.Conn) policy.Time {
	return c.Input.HeadAt + bodyTimeout + policy.Time(c.Frame.Received)*policy.Second/minBodyRate
}

// checkUpload looks whether a body still comes. While its client has to wait, it is the endpoint that must take something.
func (s *Proxy) checkUpload(now policy.Time, c *connstate.Conn) {
	t := c.Request
	switch {
	case c.Input.Paused.Load() && t != nil:
		if t.Upload.Forwarded && t.AttemptConn != nil && !t.AttemptConn.Progressed(now, t.AttemptConn.Output.Written.Load(), flushTimeout) {
			if t.Response.Streaming {
				s.breakStream(now, t) // its endpoint answers already
				return
			}
			s.TimedOut(now, t.Request)
		}
		c.Input.HeadAt = now - policy.Time(c.Frame.Received)*policy.Second/minBodyRate
		s.Timers.Set(&c.Timer, now+streamCheckInterval)
	case now < s.uploadDeadline(c):
		s.Timers.Set(&c.Timer, s.uploadDeadline(c))
	default:
		s.failUpload(now, c, 408, "the request came too slowly\n")
	}
}

// failUpload ends a request that does not come whole.
func (s *Proxy) failUpload(now policy.Time, c *connstate.Conn, status int, why string) {
	if t := c.Request; t != nil {
		s.abandonRequest(now, c, t)
	}
	c.Upload.State = connstate.NoUpload
	s.refuse(now, c, status, why)
}
