package httpproxy

import (
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

// endpointConns returns the connections that this front keeps to an endpoint.
func (p *Proxy) endpointConns(endpoint *engine.Endpoint) *connstate.Endpoint {
	if endpoint.FrontData[p.frontIndex] == nil {
		endpoint.FrontData[p.frontIndex] = &connstate.Endpoint{Endpoint: endpoint}
	}
	return endpoint.FrontData[p.frontIndex].(*connstate.Endpoint)
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
		if !c.Input.Readable && c.Socket.Idle() {
			return c
		}
		p.closeConn(c, connstate.UnexpectedInput)
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

// dialled handles the end of a successful dial. k is nil in tests without real sockets.
func (p *Proxy) dialled(now policy.Time, c *connstate.Conn, k *socket) {
	if k != nil {
		c.Socket = k
	}
	c.Connected = true
	if c.Closing {
		c.Socket.Close()
		p.ended = append(p.ended, c)
		return
	}
	if k != nil {
		p.watch(c, k)
	}
	if !c.Closing {
		p.endpointConnected(now, c)
	}
}

// dialFailed handles a connection that could not be established.
func (p *Proxy) dialFailed(now, at policy.Time, c *connstate.Conn, failure dialFailure) {
	if r := c.Request; r != nil && failure == localFailure {
		// Nothing was sent, and the endpoint is not at fault.
		p.endAttempt(now, r, policy.NotSent, false)
	}
	p.connClosed(now, at, c)
}

// endpointConnected handles a newly established connection to an endpoint.
func (p *Proxy) endpointConnected(now policy.Time, c *connstate.Conn) {
	switch {
	case c.Request == nil:
		p.returnIdle(now, c) // the attempt that dialled it has ended
	case p.mayBeWritten(now, c):
		p.beginAttempt(now, c.Request)
	}
}

// mayBeWritten reports whether the request of an attempt that has waited may still be written to its connection. If it
// may not, the attempt is ended.
func (p *Proxy) mayBeWritten(now policy.Time, c *connstate.Conn) bool {
	switch {
	case outdated(c):
		p.endAttempt(now, c.Request, policy.NotConnected, false)
		return false
	case c.Request.Decided || !p.AttemptStillValid(now, c.Request.Request):
		// One of these has happened since the decision on the attempt: the request was answered, its client
		// disconnected, the rules or the endpoint list changed, or the window ended in which it may be retried.
		p.endAttempt(now, c.Request, policy.NotSent, true)
		return false
	}
	return true
}

// outdated reports whether the endpoint is draining, or has been replaced by another process since the connection was
// dialled. Such a connection carries no new attempts.
func outdated(c *connstate.Conn) bool {
	endpoint := c.Endpoint.Endpoint
	return endpoint.Draining || c.Generation != endpoint.Generation
}

// returnIdle keeps a connection for a later attempt to its endpoint. It is closed well before the endpoint's own idle
// timeout: a request written while the endpoint closes the connection may or may not have been processed.
func (p *Proxy) returnIdle(now policy.Time, c *connstate.Conn) {
	if outdated(c) {
		p.closeConn(c, connstate.EndpointOutdated)
		return
	}
	p.conns.PutIdle(c, now)
	p.Timers.Set(&c.Timer, now+p.config.IdleTimeout*3/4)
}

// detachEndpoint separates the request from its connection to an endpoint. An established connection is kept if it is
// reusable and closed otherwise. One that is still being dialled has carried nothing and is kept once established.
func (p *Proxy) detachEndpoint(at policy.Time, r *connstate.Request, reusable bool) {
	r.ReuseAwaited = false
	if r.ReuseTimer.Active() {
		p.Timers.Stop(&r.ReuseTimer)
		p.endpointConns(r.AttemptEndpoint).AwaitingReuse--
	}
	p.Timers.Stop(&r.Delivery.Timer)
	p.stopClientCheck(r)
	c := r.AttemptConn
	if c == nil {
		return
	}
	r.AttemptConn = nil
	c.Request = nil
	c.Input.Needed = 0
	c.Input.Chunks = connstate.WholeChunks{}
	c.Input.HeadAt = 0
	c.Input.Paused = false
	p.Timers.Stop(&c.Timer)
	switch {
	case reusable:
		p.returnIdle(at, c)
	case c.Connected:
		p.closeConn(c, connstate.AttemptOver)
	}
}

// CloseIdle closes the idle connections to an endpoint.
func (p *Proxy) CloseIdle(endpoint *engine.Endpoint) {
	conns := p.endpointConns(endpoint)
	for len(conns.Idle) > 0 {
		last := len(conns.Idle) - 1
		c := conns.Idle[last]
		conns.Idle = conns.Idle[:last]
		p.closeConn(c, connstate.EndpointOutdated)
	}
}

// Forget has nothing to do when an endpoint is removed: connections still in use are closed when they become idle.
func (p *Proxy) Forget(*engine.Endpoint) {}

// reportConnectionsLost tells the module if an endpoint has closed all connections to it.
func (p *Proxy) reportConnectionsLost(now policy.Time, endpoint *connstate.Endpoint) {
	for c := range p.conns.Open {
		if c.Endpoint == endpoint && c.Connected && !c.Closing {
			return
		}
	}
	p.Module.ConnectionsLost(now, endpoint.Endpoint.ID)
}
