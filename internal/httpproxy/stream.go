package httpproxy

import (
	"strconv"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

const (
	streamAfter         = 300 * policy.Millisecond // an answer of unknown length that is still coming goes on to the client as it comes
	streamStallTimeout  = 5 * policy.Second        // the client has taken nothing of what waits for it: the stream is over
	longBodySilence     = policy.Second            // past the deadline, the endpoint has sent nothing more of a long answer: what it still gives is not cut off
	shortBodySilence    = 300 * policy.Millisecond // the same of one that may turn out to be short: that is lost half a second after the deadline
	streamCheckInterval = 250 * policy.Millisecond // between looks
	minPendingBytes     = 16 << 10                 // may be under way of one stream, however many there are
)

var lastChunk = []byte("0\r\n\r\n")

// tryStream looks at an answer that is not whole, or (long) too long to be held. From when it goes on to the client as it comes, a
// fault can only be shown to that; until then it costs an attempt. So a short one is held till it is whole or its attempt is over. One that may
// turn out to be long goes on once it has taken its time and still comes: where its endpoint has fallen silent, nothing is gained by
// that, and the attempt is lost. dealt: nothing else is to be done about it now.
func (s *Proxy) tryStream(now, at policy.Time, c *connstate.Conn, long bool) (dealt bool) {
	t, b := c.Request, c.Input.Buffer.B
	n, status, head, size, chunked, stays, ok := parseResponseHead(b, false, t.Response.NoBody)
	if !ok || n == 0 || size > maxStreamedBody || t.Client == nil || t.Decided {
		return false
	}
	if c.Input.HeadAt == 0 {
		c.Input.HeadAt = at
		if c.Input.Needed = 0; size >= 0 && size <= maxBody {
			c.Input.Needed = n + size
		}
	}
	if o := outcomeOf(status, head); o != policy.Succeeded && o != policy.Declined {
		if size > maxBody {
			// What an endpoint says at length of a failure is not waited for.
			s.endAttempt(at, t, o, false)
			return true
		}
		return false
	}
	due := size < 0 && at-c.Input.HeadAt >= streamAfter
	if !long && !due && size <= maxBody && len(b)-n <= maxBody {
		return false
	}
	c.Frame = newFrame(size, chunked)
	got, used, done, ok := decodeBody(&c.Frame, b[n:])
	if !ok || done || used < len(b)-n {
		s.endAttempt(at, t, policy.ConnectionLost, false)
		return true
	}
	s.beginStream(now, at, c, t, status, head, b[n:n+got], stays)
	s.buffers.Put(c.Input.Buffer)
	c.Input.Buffer = nil
	return true
}

func (s *Proxy) beginStream(now, at policy.Time, c *connstate.Conn, t *connstate.Request, status int, head, body []byte, stays bool) {
	// For the module the attempt ends with the first bytes, as the endpoint's work does; the rest is a matter of the sockets.
	t.Decided = true
	s.AttemptEnded(at, t.Request, outcomeOf(status, head))
	s.Counters.Streams++
	s.streamCount++
	s.sharePendingBytes()
	t.Response.Streaming, t.Response.Status, t.Response.Reusable = true, status, stays
	t.Response.Chunked = c.Frame.Kind != sizedBody && !t.HTTP10
	t.Response.UntilClose = c.Frame.Kind != sizedBody && t.HTTP10
	t.CloseAfter = t.CloseAfter || s.closesAfterResponse() || status != 200 || c.Frame.Kind != sizedBody && t.HTTP10
	s.scratch = appendEndToEnd(appendStatusLine(s.scratch[:0], status), head)
	switch {
	case t.Response.Chunked:
		s.scratch = append(s.scratch, "Transfer-Encoding: chunked\r\n"...)
	case c.Frame.Kind == sizedBody:
		s.scratch = append(strconv.AppendInt(append(s.scratch, "Content-Length: "...), c.Frame.Remaining+c.Frame.Received, 10), "\r\n"...)
	}
	if t.CloseAfter {
		s.scratch = append(s.scratch, "Connection: close\r\n"...)
	}
	s.write(t.Client, append(s.scratch, "\r\n"...))
	c.Progress.At, t.Client.Progress.At = at, 0
	s.writeStreamed(c, t, body)
	s.checkStream(now, c, t)
}

// streamData hands on what has come of an answer.
func (s *Proxy) streamData(now, at policy.Time, c *connstate.Conn, t *connstate.Request, b []byte) {
	c.Progress.At = at
	n, used, done, ok := decodeBody(&c.Frame, b)
	if t.Client != nil {
		s.writeStreamed(c, t, b[:n])
	}
	switch {
	case !ok:
		s.breakStream(at, t)
	case done:
		s.endStream(now, t, t.Response.Reusable && used == len(b) && c.Flushed())
	}
}

// writeStreamed writes a part of the body to the client; where that has much to take, the endpoint waits.
func (s *Proxy) writeStreamed(c *connstate.Conn, t *connstate.Request, b []byte) {
	if len(b) == 0 {
		return
	}
	if t.Response.Chunked {
		s.scratch = append(strconv.AppendInt(s.scratch[:0], int64(len(b)), 16), "\r\n"...)
		s.write(t.Client, s.scratch)
		s.write(t.Client, b)
		s.write(t.Client, emptyLine[:2])
	} else {
		s.write(t.Client, b)
	}
	s.applyBackpressure(c, t.Client)
}

// applyBackpressure has the one who sends wait for the one who takes, until that has taken most of what waits.
func (s *Proxy) applyBackpressure(from, to *connstate.Conn) {
	ahead := s.sockets.maxPending.Load()
	if to.Unwritten() <= ahead {
		return
	}
	from.Input.Paused.Store(true)
	at := to.Output.Queued - ahead/4
	to.Output.NotifyAt.Store(at)
	if to.Output.Written.Load() >= at && to.Output.NotifyAt.CompareAndSwap(at, 0) {
		s.resumeReading(from) // taken meanwhile
	}
}

// resumeReading has a sender that waited go on.
func (s *Proxy) resumeReading(from *connstate.Conn) {
	from.Input.Paused.Store(false)
	if from.Connected && !from.Closing {
		s.sockets.resume(from)
	}
}

// outputDrained is told that a connection has taken most of what waited.
func (s *Proxy) outputDrained(c *connstate.Conn) {
	switch t := c.Request; {
	case t == nil || c.Closing:
	case c.Side == connstate.ClientSide && t.AttemptConn != nil:
		s.resumeReading(t.AttemptConn)
	case c.Side == connstate.EndpointSide && t.Client != nil:
		s.resumeReading(t.Client)
	}
}

// sharePendingBytes shares the memory for messages out over the streams there are.
func (s *Proxy) sharePendingBytes() {
	s.sockets.maxPending.Store(int64(min(maxPendingBytes, max(minPendingBytes, s.buffers.Limit/4/max(1, s.streamCount)))))
}

// endStream is the end of an answer that has come whole.
func (s *Proxy) endStream(now policy.Time, t *connstate.Request, stays bool) {
	kind := 0
	if t.Response.Status != 200 {
		kind = 1
	}
	if t.Response.Chunked && t.Client != nil {
		s.write(t.Client, lastChunk)
	}
	s.detachStream(now, t, stays)
	if c := s.detachClient(now, t, kind); c != nil {
		if kind == 0 {
			s.Counters.Succeeded++
		} else {
			s.Counters.Declined++
		}
		s.responseSent(now, c, t.CloseAfter)
	}
	s.Done(t.Request)
}

// breakStream is the end of one that stays a part. Its client is shown that by a close before the end that was announced.
func (s *Proxy) breakStream(now policy.Time, t *connstate.Request) {
	s.Counters.StreamsBroken++
	s.detachStream(now, t, false)
	if c := t.Client; c != nil {
		c.Request, t.Client = nil, nil
		s.requests.Remove(t)
		s.Unanswered(t.Request)
		if t.Response.UntilClose && !c.Closing {
			s.conns.CountEnd(c) // an HTTP/1.0 client, told no length, takes an orderly end for the answer's
			c.Socket.Reset()
		} else {
			s.closeConn(c)
		}
	}
	s.Done(t.Request)
}

func (s *Proxy) detachStream(now policy.Time, t *connstate.Request, stays bool) {
	t.Response.Streaming = false
	s.detach(now, t, stays)
	s.streamCount--
	s.sharePendingBytes()
}

// endpointTimerDue is the one timer of a connection to an endpoint: idle for too long, or a stream that may move no more.
func (s *Proxy) endpointTimerDue(now policy.Time, c *connstate.Conn) {
	switch t := c.Request; {
	case t == nil:
		s.closeConn(c)
	case t.Response.Streaming:
		s.checkStream(now, c, t)
	}
}

// checkStream ends a stream in which nothing moves any more, and sets the next look.
func (s *Proxy) checkStream(now policy.Time, c *connstate.Conn, t *connstate.Request) {
	if t.Client == nil {
		s.breakStream(now, t)
		return
	}
	by := now + streamStallTimeout
	switch {
	case t.Client.Unwritten() > 0:
		c.Progress.At = now // the endpoint is not at fault: it may have to wait
		if !t.Client.Progressed(now, t.Client.Output.Written.Load(), streamStallTimeout) {
			by = now
		}
	case t.Upload.Active: // its time has not begun
		by = c.Progress.At + streamStallTimeout
	default:
		by = streamDeadline(c.Frame, c.Progress.At, t.ReceivedAt+t.ClientTimeLeft-engine.BeforeDeadline*s.Settings.Tick)
	}
	if now >= by {
		s.breakStream(now, t)
		return
	}
	s.Timers.Set(&c.Timer, min(by, now+streamCheckInterval))
}

// streamDeadline is when a stream ends whose endpoint sends nothing more: its client knows by its deadline that it gets no more, or, where
// some came just before that, soon after it.
func streamDeadline(f connstate.Frame, movedAt, deadline policy.Time) policy.Time {
	if f.Kind == sizedBody || f.Received > maxBody { // it is long: a short one of known size is never passed on before it is whole
		return max(deadline, movedAt+longBodySilence)
	}
	return max(deadline, movedAt+shortBodySilence)
}
