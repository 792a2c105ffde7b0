package httpproxy

import (
	"github.com/sirupsen/logrus"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// reuseDelay is how long a connection must be idle before it carries another request. Surplus bytes that an endpoint
// sends after a response, such as a late duplicate of it, are detected in that time. A response does not identify its
// request, so a duplicate that arrives after the next request is written would be taken for the response to that one.
const reuseDelay = 20 * policy.Millisecond

// reuseWaitDivisor limits the time that an attempt waits for an idle connection to become reusable, to the target
// latency of its class divided by this number. If no connection becomes reusable in that time, a new one is opened,
// which costs the endpoint work and delays the request by a handshake.
const reuseWaitDivisor = 32

// Send begins an attempt, on an idle connection to the endpoint or on a new one.
func (p *Proxy) Send(now policy.Time, request *engine.Request, to *engine.Endpoint) {
	r := connstate.AsRequest(request)
	endpoint := p.endpointConns(to)
	if r.Upload.Active {
		p.Timers.Stop(&r.AttemptTimer) // the timeout of the attempt starts when the body is complete
	}
	if r.Upload.Forwarded {
		// A part of the body was forwarded with an earlier attempt and is no longer in memory.
		p.AttemptEnded(now, request, policy.NotSent)
		return
	}
	if c := p.takeIdle(now, endpoint); c != nil {
		p.Counters.Reused++
		r.AttemptConn = c
		c.Request = r
		p.writeRequest(now, r)
		return
	}
	if p.waitForReusable(now, r, endpoint) {
		return
	}
	full := p.conns.Count(connstate.EndpointSide) >= p.conns.Limit[connstate.EndpointSide]
	if full && !p.closeOldestIdle(connstate.EndpointSide, now, now) {
		// Every descriptor is in use by an attempt. Nothing was sent, and the endpoint is not at fault.
		p.AttemptEnded(now, request, policy.NotSent)
		return
	}
	p.dialFor(r, endpoint)
}

// takeIdle returns an idle connection to the endpoint, or nil if there is none that can be used. The connection has
// been idle for at least reuseDelay, or has never been used. takeIdle closes the idle connections that the endpoint has
// closed, or on which the endpoint has sent unsolicited bytes.
func (p *Proxy) takeIdle(now policy.Time, endpoint *connstate.Endpoint) *connstate.Conn {
	for {
		c := p.conns.TakeIdle(endpoint, now-reuseDelay)
		if c == nil {
			return nil
		}
		p.Timers.Stop(&c.Timer)
		if c.Socket.Idle(c) {
			return c
		}
		p.closeConn(c)
	}
}

// dialFor opens a connection for the request's attempt.
func (p *Proxy) dialFor(r *connstate.Request, endpoint *connstate.Endpoint) {
	to := endpoint.Endpoint
	c := &connstate.Conn{Side: connstate.EndpointSide, Endpoint: endpoint, Generation: to.Generation, Request: r}
	c.Output.RequestsWritten = &p.Metrics.Written
	c.Timer.Run = func(now policy.Time) { p.endpointTimerDue(now, c) }
	r.AttemptConn = c
	p.conns.Add(c)
	p.Counters.Dials++
	p.sockets.dial(c, to.Addr, p.config.ConnectTimeout)
}

// waitForReusable makes an attempt wait, at most once, until the next idle connection may be reused. It reports whether
// the attempt waits.
func (p *Proxy) waitForReusable(now policy.Time, r *connstate.Request, endpoint *connstate.Endpoint) bool {
	if r.ReuseAwaited || r.Upload.Active || endpoint.AwaitingReuse >= len(endpoint.Idle) {
		r.ReuseAwaited = false
		return false
	}
	wait := endpoint.Idle[endpoint.AwaitingReuse].IdleSince + reuseDelay - now
	if wait > p.config.Settings.Classes[r.Class].Target/reuseWaitDivisor {
		return false
	}
	if r.ReuseTimer.Run == nil {
		r.ReuseTimer.Run = func(now policy.Time) { p.resumeAfterWait(now, r) }
	}
	r.ReuseAwaited = true
	r.AttemptEndpoint = endpoint.Endpoint
	endpoint.AwaitingReuse++
	p.Timers.Set(&r.ReuseTimer, now+wait)
	return true
}

// resumeAfterWait resumes an attempt that waited for a reusable connection, or ends it if it is no longer allowed.
func (p *Proxy) resumeAfterWait(now policy.Time, r *connstate.Request) {
	p.endpointConns(r.AttemptEndpoint).AwaitingReuse--
	switch {
	case r.AttemptEndpoint.Draining:
		p.endAttempt(now, r, policy.NotConnected, false)
	case r.Decided || !p.AttemptStillValid(now, r.Request):
		p.endAttempt(now, r, policy.NotSent, false)
	default:
		p.Send(now, r.Request, r.AttemptEndpoint)
	}
}

// endpointConnected handles a newly established connection to an endpoint.
func (p *Proxy) endpointConnected(now policy.Time, c *connstate.Conn) {
	switch {
	case c.Request == nil:
		p.returnIdle(now, c) // the attempt that dialled it has ended
	case outdated(c):
		p.endAttempt(now, c.Request, policy.NotConnected, false)
	case c.Request.Decided || !p.AttemptStillValid(now, c.Request.Request):
		// One of these has happened since the decision on the attempt: the request was answered, its client
		// disconnected, the rules or the endpoint list changed, or the window ended in which it may be retried.
		p.endAttempt(now, c.Request, policy.NotSent, true)
	default:
		p.writeRequest(now, c.Request)
	}
}

// outdated reports whether the endpoint is draining, or has been replaced by another process since the connection was
// dialled. Such a connection carries no new attempts.
func outdated(c *connstate.Conn) bool {
	endpoint := c.Endpoint.Endpoint
	return endpoint.Draining || c.Generation != endpoint.Generation
}

// writeRequest writes the request to the connection of its attempt. It is called once per attempt: after a failure no
// part of the request is sent again, except by a new attempt.
func (p *Proxy) writeRequest(now policy.Time, r *connstate.Request) {
	p.traceAttempt(r)
	size := len(r.Body)
	if r.Upload.Buffer != nil {
		size += len(r.Upload.Buffer.B)
	}
	timeout := r.AttemptTimer.At() - now
	if r.Upload.Active {
		size = r.Upload.Size
		timeout = r.ClientTimeLeft
	}
	c := r.AttemptConn
	c.Used = true
	p.scratch = appendRequestHead(p.scratch[:0], r.Method, r.Target, r.Head, size, timeout)
	switch {
	case r.Upload.Active:
		p.write(c, p.scratch)
		p.writeBody(r)
		p.continueUpload(r)
	case len(r.Body) <= connstate.SmallBuffer && r.Upload.Buffer == nil:
		p.scratch = append(p.scratch, r.Body...)
		c.Output.CompleteAt.Store(c.Output.Queued + int64(len(p.scratch)))
		p.write(c, p.scratch)
	default:
		c.Output.CompleteAt.Store(c.Output.Queued + int64(len(p.scratch)+size))
		p.write(c, p.scratch)
		r.Upload.Size = size
		p.writeBody(r)
	}
}

func (p *Proxy) traceAttempt(r *connstate.Request) {
	if !p.LogsRequests() {
		return
	}
	p.RulesLog().WithFields(logrus.Fields{
		"id":     asString(headerValue(r.Head, headerRequestID)),
		"no":     int(r.AttemptNo),
		"server": r.AttemptConn.Endpoint.Endpoint.UID,
	}).Debug(engine.LogAttemptStarted)
}

// returnIdle keeps a connection for a later attempt to its endpoint. It is closed well before the endpoint's own idle
// timeout: a request written while the endpoint closes the connection may or may not have been processed.
func (p *Proxy) returnIdle(now policy.Time, c *connstate.Conn) {
	if outdated(c) {
		p.closeConn(c)
		return
	}
	p.conns.PutIdle(c, now)
	p.Timers.Set(&c.Timer, now+p.config.IdleTimeout*3/4)
}

// readResponse handles bytes from an endpoint: it ends the attempt once the response is complete, or starts to stream
// the response. at is the arrival time of the last bytes.
func (p *Proxy) readResponse(now, at policy.Time, c *connstate.Conn) {
	r := c.Request
	if r == nil {
		p.closeConn(c) // no request is waiting for these bytes
		return
	}
	in := c.Input.Buffer.B
	if len(in) < c.Input.Needed {
		return
	}
	response, ok := parseResponse(in, false, r.Response.NoBody, maxBody)
	switch {
	case response.length > 0:
		reusable := response.reusable && response.length == len(in) && c.Flushed() && !r.Upload.Active
		p.takeResponse(r, c, response)
		p.endAttempt(at, r, outcomeOf(response.status, response.headers), reusable)
	case p.tryStream(now, at, c, !ok):
	case !ok:
		p.endAttempt(at, r, policy.ConnectionLost, false)
	}
}

// takeResponse moves the response and its buffer from the connection to the request.
func (p *Proxy) takeResponse(r *connstate.Request, c *connstate.Conn, response parsedResponse) {
	r.Response.Buffer = c.Input.Buffer
	r.Response.Status = response.status
	r.Response.Head = response.headers
	r.Response.Body = response.body
	c.Input.Buffer = nil
}

// endpointClosed handles a connection to an endpoint that has ended or could not be established.
func (p *Proxy) endpointClosed(at policy.Time, c *connstate.Conn) {
	r := c.Request
	if r == nil {
		return
	}
	ended := c.Input.EOF.Load() // a reset does not complete a response
	if r.Response.Streaming {
		if ended && c.Frame.Kind == bodyUntilClose {
			p.endStream(p.Clock.Now(), r, false)
		} else {
			p.breakStream(at, r)
		}
		return
	}
	if !c.Connected || !c.Flushed() || r.Upload.Active {
		p.endAttempt(at, r, policy.NotConnected, false)
		return
	}
	if c.Input.Buffer != nil {
		response, ok := parseResponse(c.Input.Buffer.B, ended, r.Response.NoBody, maxBody)
		if ok && response.length > 0 {
			p.takeResponse(r, c, response)
			p.endAttempt(at, r, outcomeOf(response.status, response.headers), false)
			return
		}
	}
	p.endAttempt(at, r, policy.ConnectionLost, false)
}

// TimedOut ends an attempt at its timeout. If the request has not been written completely, the endpoint receives only a
// part of it before the connection closes and never processes it.
func (p *Proxy) TimedOut(now policy.Time, request *engine.Request) {
	r := connstate.AsRequest(request)
	outcome := policy.TimedOut
	if p.abortUnwritten(r) {
		outcome = policy.NotConnected
	}
	p.endAttempt(now, r, outcome, false)
}

// abortUnwritten closes the connection of an attempt whose request is not written completely, and reports whether the
// endpoint will never receive all of the request. The poller writes pending bytes concurrently, so the check follows
// the close: otherwise the last byte could be written after the check, and a processed request would be retried.
func (p *Proxy) abortUnwritten(r *connstate.Request) bool {
	c := r.AttemptConn
	if c == nil || !c.Connected || r.Upload.Active {
		return true
	}
	if c.Flushed() {
		return false
	}
	_ = c.Socket.Close() // the poller reports the end of the connection
	return !c.Flushed()
}

// CancelAttempt ends an attempt whose response is no longer needed.
func (p *Proxy) CancelAttempt(now policy.Time, request *engine.Request) {
	r := connstate.AsRequest(request)
	if hasAttempt(r) && !r.Response.Streaming {
		p.endAttempt(now, r, policy.Cancelled, false)
	}
}

// hasAttempt reports whether the request has an attempt with a connection, or one that waits for a reusable connection.
func hasAttempt(r *connstate.Request) bool { return r.AttemptConn != nil || r.ReuseTimer.Active() }

// endAttempt ends the attempt in flight.
func (p *Proxy) endAttempt(at policy.Time, r *connstate.Request, outcome policy.Outcome, reusable bool) {
	p.detachEndpoint(at, r, reusable)
	p.AttemptEnded(at, r.Request, outcome)
}

// detachEndpoint separates the request from its connection to an endpoint. An established connection is kept if it is
// reusable and closed otherwise. One that is still being dialled has carried nothing and is kept once established.
func (p *Proxy) detachEndpoint(at policy.Time, r *connstate.Request, reusable bool) {
	r.ReuseAwaited = false
	if r.ReuseTimer.Active() {
		p.Timers.Stop(&r.ReuseTimer)
		p.endpointConns(r.AttemptEndpoint).AwaitingReuse--
	}
	c := r.AttemptConn
	if c == nil {
		return
	}
	r.AttemptConn = nil
	c.Request = nil
	c.Input.Needed = 0
	c.Input.HeadAt = 0
	c.Input.Paused.Store(false)
	p.Timers.Stop(&c.Timer)
	switch {
	case reusable:
		p.returnIdle(at, c)
	case c.Connected:
		p.closeConn(c)
	}
}
