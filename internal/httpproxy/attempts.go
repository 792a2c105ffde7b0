package httpproxy

import (
	"github.com/sirupsen/logrus"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// restTime is how long a connection is idle before it is used again. Bytes that an endpoint sends behind a response,
// such as a late copy of it, show in that time. Nothing in a response says to which request it belongs, so a copy that
// comes after the next request is written would be taken for its response.
const restTime = 20 * policy.Millisecond

// restWaitPart is the part of its target latency that an attempt waits for a connection to have rested. Otherwise
// another one is opened, which costs the endpoint work and this request a handshake.
const restWaitPart = 32

// Send begins an attempt, on an idle connection to the endpoint or on a new one.
func (p *Proxy) Send(now policy.Time, request *engine.Request, to *engine.Endpoint) {
	r := connstate.AsRequest(request)
	endpoint := p.endpointConns(to)
	if r.Upload.Active {
		p.Timers.Stop(&r.AttemptTimer) // the attempt's time begins when the body is complete
	}
	if r.Upload.Forwarded {
		// A part of the body was forwarded with an earlier attempt and not kept.
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
	if p.waitForRest(now, r, endpoint) {
		return
	}
	full := p.conns.Count(connstate.EndpointSide) >= p.conns.Limit[connstate.EndpointSide]
	if full && !p.closeOldestIdle(connstate.EndpointSide, now, now) {
		// Every descriptor carries an attempt: nothing was sent, and the endpoint is not at fault.
		p.AttemptEnded(now, request, policy.NotSent)
		return
	}
	p.dialFor(r, endpoint)
}

// takeIdle returns a rested connection to the endpoint, nil if there is none. It closes those on which something has
// come unasked, or that the endpoint has closed.
func (p *Proxy) takeIdle(now policy.Time, endpoint *connstate.Endpoint) *connstate.Conn {
	for {
		c := p.conns.TakeIdle(endpoint, now-restTime)
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

// waitForRest has an attempt wait, once, for the connection that will have rested next, and reports whether it does.
func (p *Proxy) waitForRest(now policy.Time, r *connstate.Request, endpoint *connstate.Endpoint) bool {
	if r.ReuseAwaited || r.Upload.Active || endpoint.AwaitingReuse >= len(endpoint.Idle) {
		r.ReuseAwaited = false
		return false
	}
	wait := endpoint.Idle[endpoint.AwaitingReuse].IdleSince + restTime - now
	if wait > p.config.Settings.Classes[r.Class].Target/restWaitPart {
		return false
	}
	if r.ReuseTimer.Run == nil {
		r.ReuseTimer.Run = func(now policy.Time) { p.afterRest(now, r) }
	}
	r.ReuseAwaited = true
	r.AttemptEndpoint = endpoint.Endpoint
	endpoint.AwaitingReuse++
	p.Timers.Set(&r.ReuseTimer, now+wait)
	return true
}

// afterRest resumes an attempt that waited for a connection, unless it is not allowed any more.
func (p *Proxy) afterRest(now policy.Time, r *connstate.Request) {
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

// endpointConnected handles a connection to an endpoint that has been established.
func (p *Proxy) endpointConnected(now policy.Time, c *connstate.Conn) {
	switch {
	case c.Request == nil:
		p.returnIdle(now, c) // its request did not wait for it
	case outdated(c):
		p.endAttempt(now, c.Request, policy.NotConnected, false)
	case c.Request.Decided || !p.AttemptStillValid(now, c.Request.Request):
		// The request is answered, or its client has left; or the rules or the list have changed, or the window in
		// which it may be retried has closed since the attempt was decided on.
		p.endAttempt(now, c.Request, policy.NotSent, true)
	default:
		p.writeRequest(now, c.Request)
	}
}

// outdated reports whether the endpoint is draining, or another process stands in its place, since the connection was
// dialled: it gets no new attempts.
func outdated(c *connstate.Conn) bool {
	endpoint := c.Endpoint.Endpoint
	return endpoint.Draining || c.Generation != endpoint.Generation
}

// writeRequest writes the request to its connection. Nothing of it is sent again without a new attempt.
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
	if !p.TracesRequests() {
		return
	}
	p.RulesLog().WithFields(logrus.Fields{
		"id":     asString(headerValue(r.Head, headerRequestID)),
		"no":     int(r.AttemptNo),
		"server": r.AttemptConn.Endpoint.Endpoint.UID,
	}).Debug(engine.LogAttemptStarted)
}

// returnIdle keeps a connection for the next attempt to its endpoint. It is closed well before the endpoint would close
// it: what is written at that moment may have been processed or not.
func (p *Proxy) returnIdle(now policy.Time, c *connstate.Conn) {
	if outdated(c) {
		p.closeConn(c)
		return
	}
	p.conns.PutIdle(c, now)
	p.Timers.Set(&c.Timer, now+p.config.IdleTimeout*3/4)
}

// readResponse handles bytes from an endpoint. It ends the attempt once the response is complete, or starts to stream
// it. at is when the last bytes came.
func (p *Proxy) readResponse(now, at policy.Time, c *connstate.Conn) {
	r := c.Request
	if r == nil {
		p.closeConn(c) // these bytes answer no request
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

// takeResponse moves the response with its buffer from the connection to the request.
func (p *Proxy) takeResponse(r *connstate.Request, c *connstate.Conn, response parsedResponse) {
	r.Response.Buffer = c.Input.Buffer
	r.Response.Status = response.status
	r.Response.Head = response.headers
	r.Response.Body = response.body
	c.Input.Buffer = nil
}

// endpointClosed handles the end of a connection to an endpoint, or a dial that failed.
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

// TimedOut ends an attempt at its timeout. A request that has not been written completely is cut short by the end of
// its connection, so it is never processed.
func (p *Proxy) TimedOut(now policy.Time, request *engine.Request) {
	r := connstate.AsRequest(request)
	outcome := policy.TimedOut
	if p.abortUnwritten(r) {
		outcome = policy.NotConnected
	}
	p.endAttempt(now, r, outcome, false)
}

// abortUnwritten closes the connection of an attempt that has not been written completely, and reports whether it
// never will be. Pending bytes are written beside the loop: if they were checked before the close, the last one could
// go out in between, and a request that was processed would be retried.
func (p *Proxy) abortUnwritten(r *connstate.Request) bool {
	c := r.AttemptConn
	if c == nil || !c.Connected || r.Upload.Active {
		return true
	}
	if c.Flushed() {
		return false
	}
	_ = c.Socket.Close() // its end is reported by the poller
	return !c.Flushed()
}

// CancelAttempt ends an attempt whose response is not needed any more.
func (p *Proxy) CancelAttempt(now policy.Time, request *engine.Request) {
	r := connstate.AsRequest(request)
	if attempting(r) && !r.Response.Streaming {
		p.endAttempt(now, r, policy.Cancelled, false)
	}
}

// attempting reports whether an attempt has a connection, or waits for one to have rested.
func attempting(r *connstate.Request) bool { return r.AttemptConn != nil || r.ReuseTimer.Active() }

// endAttempt ends the attempt in flight.
func (p *Proxy) endAttempt(at policy.Time, r *connstate.Request, outcome policy.Outcome, reusable bool) {
	p.detachEndpoint(at, r, reusable)
	p.AttemptEnded(at, r.Request, outcome)
}

// detachEndpoint separates the request from its connection to an endpoint, which is kept if it is reusable and closed
// otherwise. A connection that is not established yet carries nothing and is kept once it is.
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
