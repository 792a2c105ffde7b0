package httpproxy

import (
	"github.com/sirupsen/logrus"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// restTime is how long a connection stands idle before it is used again: what an endpoint may send behind an answer, a copy say, some
// milliseconds late, shows in that time. Nothing in an answer says to which request it belongs, so a copy that comes once the next request
// is written would be taken for its answer.
const restTime = 20 * policy.Millisecond

// restWaitPart is the part of its target latency that an attempt waits for a connection to have rested, rather than have another opened: that costs the
// endpoint work, and this request a handshake.
const restWaitPart = 32

// Send sends a request to an endpoint, on a connection that stands idle or on a new one.
func (s *Proxy) Send(now policy.Time, of *engine.Request, to *engine.Endpoint) {
	t, server := connstate.AsRequest(of), s.endpointConns(to)
	if t.Upload.Active {
		s.Timers.Stop(&t.AttemptTimer) // its time begins when its body is whole
	}
	if t.Upload.Forwarded {
		s.AttemptEnded(now, of, policy.NotSent) // a part of its body went with an earlier attempt, and is gone
		return
	}
	for c := s.conns.TakeIdle(server, now-restTime); c != nil; c = s.conns.TakeIdle(server, now-restTime) {
		s.Timers.Stop(&c.Timer)
		if !c.Socket.Idle(c) {
			// Something unasked stands there, or its end.
			s.closeConn(c)
			continue
		}
		s.Counters.Reused++
		t.AttemptConn, c.Request = c, t
		s.writeRequest(now, t)
		return
	}
	if s.waitForRest(now, t, server) {
		return
	}
	if s.conns.Count(connstate.EndpointSide) >= s.conns.Limit[connstate.EndpointSide] && !s.closeOldestIdle(connstate.EndpointSide, now, now) {
		// Every descriptor carries an attempt: nothing was sent, and that is no fault of the endpoint.
		s.AttemptEnded(now, of, policy.NotSent)
		return
	}
	c := &connstate.Conn{Side: connstate.EndpointSide, Endpoint: server, Generation: to.Generation, Request: t}
	c.Output.RequestsWritten = &s.Tally.Written
	c.Timer.Run = func(now policy.Time) { s.endpointTimerDue(now, c) }
	t.AttemptConn = c
	s.conns.Add(c)
	s.Counters.Dials++
	s.sockets.dial(c, to.Addr, s.config.ConnectTimeout)
}

// waitForRest has an attempt wait for the connection that will have rested next, once, if that is soon.
func (s *Proxy) waitForRest(now policy.Time, t *connstate.Request, server *connstate.Endpoint) bool {
	if t.RestAwaited || t.Upload.Active || server.Awaited >= len(server.Idle) {
		t.RestAwaited = false
		return false
	}
	in := server.Idle[server.Awaited].IdleSince + restTime - now
	if in > s.config.Settings.Classes[t.Class].Target/restWaitPart {
		return false
	}
	if t.RestTimer.Run == nil {
		t.RestTimer.Run = func(now policy.Time) { s.afterRest(now, t) }
	}
	t.RestAwaited, t.AttemptEndpoint = true, server.Endpoint
	server.Awaited++
	s.Timers.Set(&t.RestTimer, now+in)
	return true
}

// afterRest has an attempt that waited go on, unless it may not be made any more.
func (s *Proxy) afterRest(now policy.Time, t *connstate.Request) {
	s.endpointConns(t.AttemptEndpoint).Awaited--
	switch {
	case t.AttemptEndpoint.Draining:
		s.endAttempt(now, t, policy.NotConnected, false)
	case t.Decided || !s.AttemptStillValid(now, t.Request):
		s.endAttempt(now, t, policy.NotSent, false)
	default:
		s.Send(now, t.Request, t.AttemptEndpoint)
	}
}

// endpointConnected is told that a connection to an endpoint is up.
func (s *Proxy) endpointConnected(now policy.Time, c *connstate.Conn) {
	switch {
	case c.Request == nil:
		s.keepIdle(now, c) // its request did not wait for it
	case c.Endpoint.Endpoint.Draining || c.Generation != c.Endpoint.Endpoint.Generation:
		// The endpoint was ready when this was dialled and is not any more, or another process stands there: it gets nothing new.
		s.endAttempt(now, c.Request, policy.NotConnected, false)
	case c.Request.Decided || !s.AttemptStillValid(now, c.Request.Request):
		// The request has its answer, or its client has left; or the rules or the list have changed since, or the window in which it may
		// be sent again has closed: what was decided then may not be done now.
		s.endAttempt(now, c.Request, policy.NotSent, true)
	default:
		s.writeRequest(now, c.Request)
	}
}

// writeRequest writes the request. Nothing of it is sent again by itself.
func (s *Proxy) writeRequest(now policy.Time, t *connstate.Request) {
	if s.TracesRequests() {
		s.RulesLog().WithFields(logrus.Fields{"id": asString(headerValue(t.Head, "X-Request-ID")), "no": int(t.Request.AttemptNo),
			"server": t.AttemptConn.Endpoint.Endpoint.UID}).Debug(engine.LogAttemptStarted)
	}
	size, wait := len(t.Body), t.AttemptTimer.At()-now
	if t.Upload.Buffer != nil {
		size += len(t.Upload.Buffer.B)
	}
	if t.Upload.Active {
		size, wait = t.Upload.Size, t.ClientTimeLeft
	}
	t.AttemptConn.Used = true
	s.scratch = appendRequestHead(s.scratch[:0], t.Method, t.Target, t.Head, size, wait)
	if !t.Upload.Active && len(t.Body) <= connstate.SmallBuffer && t.Upload.Buffer == nil {
		s.scratch = append(s.scratch, t.Body...)
		t.AttemptConn.Output.CompleteAt.Store(t.AttemptConn.Output.Queued + int64(len(s.scratch)))
		s.write(t.AttemptConn, s.scratch)
		return
	}
	if !t.Upload.Active {
		t.AttemptConn.Output.CompleteAt.Store(t.AttemptConn.Output.Queued + int64(len(s.scratch)+size))
	}
	s.write(t.AttemptConn, s.scratch)
	if !t.Upload.Active {
		t.Upload.Size = size
	}
	s.writeBodyPart(t, t.Body)
	if t.Upload.Buffer != nil {
		s.writeBodyPart(t, t.Upload.Buffer.B)
	}
	if t.Upload.Active && t.Client != nil {
		t.Upload.Forwarded, t.AttemptConn.Progress.At = true, 0
		s.buffers.Put(t.Upload.Buffer)
		t.Upload.Buffer = nil
		s.resumeReading(t.Client)
		s.applyBackpressure(t.Client, t.AttemptConn)
	}
}

// keepIdle keeps a connection for the next attempt to its endpoint, but closes it well before the endpoint would: what is
// written as the endpoint closes may have run or not.
func (s *Proxy) keepIdle(now policy.Time, c *connstate.Conn) {
	if c.Endpoint.Endpoint.Draining || c.Generation != c.Endpoint.Endpoint.Generation {
		s.closeConn(c) // an answer that came after the list: where it leads, nothing new goes, or another process stands
		return
	}
	s.conns.PutIdle(c, now)
	s.Timers.Set(&c.Timer, now+s.config.IdleTimeout*3/4)
}

// readResponse takes the answer once it is whole.
func (s *Proxy) readResponse(now, at policy.Time, c *connstate.Conn) {
	t := c.Request
	if t == nil {
		s.closeConn(c) // it says something unasked
		return
	}
	if len(c.Input.Buffer.B) < c.Input.Needed {
		return
	}
	n, status, head, body, stays, ok := parseResponse(c.Input.Buffer.B, false, t.Response.NoBody, maxBody)
	switch {
	case n > 0:
		stays = stays && n == len(c.Input.Buffer.B) && c.Flushed() && !t.Upload.Active
		s.keepResponse(t, c, status, head, body)
		s.endAttempt(at, t, outcomeOf(status, head), stays)
	case s.tryStream(now, at, c, !ok):
	case !ok:
		s.endAttempt(at, t, policy.ConnectionLost, false)
	}
}

// keepResponse moves the answer's buffer from the connection to the request.
func (s *Proxy) keepResponse(t *connstate.Request, c *connstate.Conn, status int, head, body []byte) {
	t.Response.Buffer, t.Response.Status, t.Response.Head, t.Response.Body = c.Input.Buffer, status, head, body
	c.Input.Buffer = nil
}

// endpointClosed is told that a connection to an endpoint has ended, or never came up.
func (s *Proxy) endpointClosed(at policy.Time, c *connstate.Conn) {
	t := c.Request
	if t == nil {
		return
	}
	over := c.Input.EOF.Load() // a reset ends no answer
	if t.Response.Streaming {
		if over && c.Frame.Kind == bodyUntilClose {
			s.endStream(s.Clock.Now(), t, false)
		} else {
			s.breakStream(at, t)
		}
		return
	}
	if !c.Connected || !c.Flushed() || t.Upload.Active {
		s.endAttempt(at, t, policy.NotConnected, false)
		return
	}
	if c.Input.Buffer != nil {
		if n, status, head, body, _, ok := parseResponse(c.Input.Buffer.B, over, t.Response.NoBody, maxBody); ok && n > 0 {
			s.keepResponse(t, c, status, head, body)
			s.endAttempt(at, t, outcomeOf(status, head), false)
			return
		}
	}
	s.endAttempt(at, t, policy.ConnectionLost, false)
}

// TimedOut is the end of an attempt's time. A request that has not been written whole is cut off with its connection, so
// it never runs.
func (s *Proxy) TimedOut(now policy.Time, of *engine.Request) {
	t := connstate.AsRequest(of)
	o := policy.TimedOut
	if s.abortUnwritten(t) {
		o = policy.NotConnected
	}
	s.endAttempt(now, t, o, false)
}

// abortUnwritten ends the connection of an attempt that has not gone out whole, and tells whether it never will. What waits to be written goes out
// beside the loop: looked at first and closed then, its last byte could slip through between, and what has run be sent again.
func (s *Proxy) abortUnwritten(t *connstate.Request) bool {
	c := t.AttemptConn
	if c == nil || !c.Connected || t.Upload.Active {
		return true
	}
	if c.Flushed() {
		return false
	}
	c.Socket.Close()
	return !c.Flushed()
}

// CancelAttempt ends an attempt that nobody waits for any more.
func (s *Proxy) CancelAttempt(now policy.Time, of *engine.Request) {
	if t := connstate.AsRequest(of); (t.AttemptConn != nil || t.RestTimer.Active()) && !t.Response.Streaming {
		s.endAttempt(now, t, policy.Cancelled, false)
	}
}

// endAttempt ends the attempt that is out.
func (s *Proxy) endAttempt(at policy.Time, t *connstate.Request, o policy.Outcome, stays bool) {
	s.detach(at, t, stays)
	s.AttemptEnded(at, t.Request, o)
}

// detach takes the request off its connection to an endpoint, which is kept or closed.
func (s *Proxy) detach(at policy.Time, t *connstate.Request, stays bool) {
	if t.RestAwaited = false; t.RestTimer.Active() {
		s.Timers.Stop(&t.RestTimer)
		s.endpointConns(t.AttemptEndpoint).Awaited--
	}
	c := t.AttemptConn
	if c == nil {
		return
	}
	t.AttemptConn, c.Request, c.Input.Needed, c.Input.HeadAt = nil, nil, 0, 0
	c.Input.Paused.Store(false)
	s.Timers.Stop(&c.Timer)
	switch {
	case stays:
		s.keepIdle(at, c)
	case c.Connected:
		s.closeConn(c)
	}
	// One that is not up yet carries nothing and is kept when it comes.
}
