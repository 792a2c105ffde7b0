package httpproxy

import (
	"strconv"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

const (
	heldFor  = 300 * policy.Millisecond // an answer of unknown length that is still coming goes on to the client as it comes
	unreadIn = 5 * policy.Second        // the client has taken nothing of what waits for it: the stream is over
	silentIn = policy.Second            // past the deadline, the endpoint has sent nothing more of a long answer: what it still gives is not cut off
	shortIn  = 300 * policy.Millisecond // the same of one that may turn out to be short: that is lost half a second after the deadline
	lookAt   = 250 * policy.Millisecond // between looks
	leastRun = 16 << 10                 // may be under way of one stream, however many there are
)

var lastChunk = []byte("0\r\n\r\n")

// answerComes looks at an answer that is not whole, or (long) too long to be held. From when it goes on to the client as it comes, a
// fault can only be shown to that; until then it costs an attempt. So a short one is held till it is whole or its attempt is over. One that may
// turn out to be long goes on once it has taken its time and still comes: where its endpoint has fallen silent, nothing is gained by
// that, and the attempt is lost. dealt: nothing else is to be done about it now.
func (s *Proxy) answerComes(now, at policy.Time, c *connstate.Conn, long bool) (dealt bool) {
	t, b := c.Request, c.Input.Buffer.B
	n, status, head, size, chunked, stays, ok := answerHead(b, false, t.Response.NoBody)
	if !ok || n == 0 || size > mostStream || t.Client == nil || t.Decided {
		return false
	}
	if c.Input.HeadAt == 0 {
		c.Input.HeadAt = at
		if c.Input.Needed = 0; size >= 0 && size <= mostBody {
			c.Input.Needed = n + size
		}
	}
	if o := outcomeOf(status, head); o != policy.Succeeded && o != policy.Declined {
		if size > mostBody {
			// What an endpoint says at length of a failure is not waited for.
			s.endAttempt(at, t, o, false)
			return true
		}
		return false
	}
	due := size < 0 && at-c.Input.HeadAt >= heldFor
	if !long && !due && size <= mostBody && len(b)-n <= mostBody {
		return false
	}
	c.Frame = frameOf(size, chunked)
	got, used, done, ok := takeBody(&c.Frame, b[n:])
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
	s.streams++
	s.setAhead()
	t.Response.Streaming, t.Response.Status, t.Response.Reusable = true, status, stays
	t.Response.Chunked = c.Frame.Kind != sized && !t.HTTP10
	t.Response.UntilClose = c.Frame.Kind != sized && t.HTTP10
	t.CloseAfter = t.CloseAfter || s.ending() || status != 200 || c.Frame.Kind != sized && t.HTTP10
	s.scratch = appendThrough(appendStatus(s.scratch[:0], status), head)
	switch {
	case t.Response.Chunked:
		s.scratch = append(s.scratch, "Transfer-Encoding: chunked\r\n"...)
	case c.Frame.Kind == sized:
		s.scratch = append(strconv.AppendInt(append(s.scratch, "Content-Length: "...), c.Frame.Remaining+c.Frame.Received, 10), "\r\n"...)
	}
	if t.CloseAfter {
		s.scratch = append(s.scratch, "Connection: close\r\n"...)
	}
	s.write(t.Client, append(s.scratch, "\r\n"...))
	c.Progress.At, t.Client.Progress.At = at, 0
	s.handOn(c, t, body)
	s.streamDue(now, c, t)
}

// passOn hands on what has come of an answer.
func (s *Proxy) passOn(now, at policy.Time, c *connstate.Conn, t *connstate.Request, b []byte) {
	c.Progress.At = at
	n, used, done, ok := takeBody(&c.Frame, b)
	if t.Client != nil {
		s.handOn(c, t, b[:n])
	}
	switch {
	case !ok:
		s.breakStream(at, t)
	case done:
		s.endStream(now, t, t.Response.Reusable && used == len(b) && c.Flushed())
	}
}

// handOn writes a part of the body to the client; where that has much to take, the endpoint waits.
func (s *Proxy) handOn(c *connstate.Conn, t *connstate.Request, b []byte) {
	if len(b) == 0 {
		return
	}
	if t.Response.Chunked {
		s.scratch = append(strconv.AppendInt(s.scratch[:0], int64(len(b)), 16), "\r\n"...)
		s.write(t.Client, s.scratch)
		s.write(t.Client, b)
		s.write(t.Client, headEnd[:2])
	} else {
		s.write(t.Client, b)
	}
	s.holdUp(c, t.Client)
}

// holdUp has the one who sends wait for the one who takes, until that has taken most of what waits.
func (s *Proxy) holdUp(from, to *connstate.Conn) {
	ahead := s.sockets.ahead.Load()
	if to.Unwritten() <= ahead {
		return
	}
	from.Input.Paused.Store(true)
	at := to.Output.Queued - ahead/4
	to.Output.NotifyAt.Store(at)
	if to.Output.Written.Load() >= at && to.Output.NotifyAt.CompareAndSwap(at, 0) {
		s.goOn(from) // taken meanwhile
	}
}

// goOn has a sender that waited go on.
func (s *Proxy) goOn(from *connstate.Conn) {
	from.Input.Paused.Store(false)
	if from.Connected && !from.Closing {
		s.sockets.resume(from)
	}
}

// drained is told that a connection has taken most of what waited.
func (s *Proxy) drained(c *connstate.Conn) {
	switch t := c.Request; {
	case t == nil || c.Closing:
	case c.Side == connstate.ClientSide && t.AttemptConn != nil:
		s.goOn(t.AttemptConn)
	case c.Side == connstate.EndpointSide && t.Client != nil:
		s.goOn(t.Client)
	}
}

// setAhead shares the memory for messages out over the streams there are.
func (s *Proxy) setAhead() {
	s.sockets.ahead.Store(int64(min(mostAhead, max(leastRun, s.buffers.Limit/4/max(1, s.streams)))))
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
	s.streamOver(now, t, stays)
	if c := s.answer(now, t, kind); c != nil {
		if kind == 0 {
			s.Counters.Succeeded++
		} else {
			s.Counters.Declined++
		}
		s.free(now, c, t.CloseAfter)
	}
	s.Done(t.Request)
}

// breakStream is the end of one that stays a part. Its client is shown that by a close before the end that was announced.
func (s *Proxy) breakStream(now policy.Time, t *connstate.Request) {
	s.Counters.StreamsBroken++
	s.streamOver(now, t, false)
	if c := t.Client; c != nil {
		c.Request, t.Client = nil, nil
		s.requests.Remove(t)
		s.Unanswered(t.Request)
		if t.Response.UntilClose && !c.Closing {
			s.conns.CountEnd(c) // an HTTP/1.0 client, told no length, takes an orderly end for the answer's
			c.Socket.Reset()
		} else {
			s.close(c)
		}
	}
	s.Done(t.Request)
}

func (s *Proxy) streamOver(now policy.Time, t *connstate.Request, stays bool) {
	t.Response.Streaming = false
	s.detach(now, t, stays)
	s.streams--
	s.setAhead()
}

// endpointDue is the one timer of a connection to an endpoint: idle for too long, or a stream that may move no more.
func (s *Proxy) endpointDue(now policy.Time, c *connstate.Conn) {
	switch t := c.Request; {
	case t == nil:
		s.close(c)
	case t.Response.Streaming:
		s.streamDue(now, c, t)
	}
}

// streamDue ends a stream in which nothing moves any more, and sets the next look.
func (s *Proxy) streamDue(now policy.Time, c *connstate.Conn, t *connstate.Request) {
	if t.Client == nil {
		s.breakStream(now, t)
		return
	}
	by := now + unreadIn
	switch {
	case t.Client.Unwritten() > 0:
		c.Progress.At = now // the endpoint is not at fault: it may have to wait
		if !t.Client.Progressed(now, t.Client.Output.Written.Load(), unreadIn) {
			by = now
		}
	case t.Upload.Active: // its time has not begun
		by = c.Progress.At + unreadIn
	default:
		by = streamBy(c.Frame, c.Progress.At, t.ReceivedAt+t.ClientTimeLeft-engine.BeforeDeadline*s.Settings.Tick)
	}
	if now >= by {
		s.breakStream(now, t)
		return
	}
	s.Timers.Set(&c.Timer, min(by, now+lookAt))
}

// streamBy is when a stream ends whose endpoint sends nothing more: its client knows by its deadline that it gets no more, or, where
// some came just before that, soon after it.
func streamBy(f connstate.Frame, movedAt, deadline policy.Time) policy.Time {
	if f.Kind == sized || f.Received > mostBody { // it is long: a short one of known size is never passed on before it is whole
		return max(deadline, movedAt+silentIn)
	}
	return max(deadline, movedAt+shortIn)
}
