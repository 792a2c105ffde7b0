package httpproxy

import (
	"time"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// Timing of a shutdown.
const (
	// lastWriteTime is how long after the time limit of the shutdown a client may still receive the last response.
	lastWriteTime = 100 * policy.Millisecond
	// maxTransferTime is how long after the time limit of the shutdown responses that have begun may go on.
	maxTransferTime = 30 * policy.Second
	// closeTimeout is how long Close waits for connections that are being dialled, and again for the listener.
	closeTimeout = 50 * policy.Millisecond
	// recentUseTime is how long a client connection stays open after its last use while other processes accept new
	// clients. A client that has just used a connection is likely to use it again.
	recentUseTime = 700 * policy.Millisecond
	// reconnectTime is how long a client has to reconnect if its connection was closed while it was sending.
	reconnectTime = 50 * policy.Millisecond
)

// BeginShutdown begins the shutdown: clients are accepted for Config.AcceptTime, and every response closes its
// connection.
func (p *Proxy) BeginShutdown(now policy.Time) {
	if p.awaitingList {
		p.admitClients(now) // clients that connected before the first list are answered as well
	}
	p.serving.Store(false)
	p.acceptUntil = now + p.config.AcceptTime
	if p.sharesListener() {
		// The accept queue persists, and the other processes accept from it. This one only serves the clients that it
		// has already accepted.
		p.acceptUntil = now
		p.sockets.listener.close()
	}
}

// sharesListener reports whether other processes accept from the same queue.
func (p *Proxy) sharesListener() bool { return p.config.InheritedListener > 0 }

// Drained reports whether the front can be closed: no further request is expected, or the shutdown has reached its time
// limit.
func (p *Proxy) Drained(now policy.Time) bool {
	shutdownBy, _ := p.ShuttingDown()
	if now < p.acceptUntil {
		return false
	}
	acceptPending := p.acceptPending()
	clientsLeft := p.closeIdleClients(now, now < shutdownBy)
	if acceptPending || clientsLeft {
		p.drainedAt = now + reconnectTime
	}
	if now < shutdownBy+maxTransferTime && p.inTransfer() {
		return false
	}
	return now >= min(max(p.drainedAt, p.acceptUntil), shutdownBy+lastWriteTime)
}

// inTransfer reports whether a response that has begun is not completely written. Responses that make no progress end
// by timers of their own.
func (p *Proxy) inTransfer() bool {
	for c := range p.conns.Open {
		switch {
		case c.Closing:
		case c.Side == connstate.ClientSide && !c.Flushed():
			return true
		case c.Side == connstate.EndpointSide && c.Request != nil && c.Request.Response.Streaming:
			return true
		}
	}
	return false
}

// acceptPending reports whether there may be a client that this process must serve but the loop does not know of yet.
func (p *Proxy) acceptPending() bool {
	if p.sharesListener() {
		return !p.sockets.listener.hasStopped()
	}
	return p.sockets.listener.hasPending()
}

// closeIdleClients closes idle client connections and reports whether any client was connected. If other processes
// accept new clients and keepRecent is set, recently used connections stay open: their next response closes them.
func (p *Proxy) closeIdleClients(now policy.Time, keepRecent bool) bool {
	connected := false
	for c := range p.conns.Open {
		if c.Side != connstate.ClientSide || c.Closing {
			continue
		}
		connected = true
		recent := p.sharesListener() && keepRecent && now-c.IdleSince < recentUseTime
		idle := c.Vacant() && !c.Output.CloseWhenFlushed
		if idle && !recent {
			p.closeIfIdle(c, connstate.ShuttingDown)
		}
	}
	return connected
}

// Close closes all connections, releases their resources and stops the poller.
func (p *Proxy) Close() {
	for c := range p.conns.Open {
		p.closeConn(c, connstate.ShuttingDown)
	}
	// A dial may outlast closeTimeout; its resources are freed when the process ends.
	for end := p.Clock.Now() + closeTimeout; ; time.Sleep(time.Millisecond) {
		p.Round(p.Clock.Now())
		if len(p.conns.Open) == 0 || p.Clock.Now() >= end {
			break
		}
	}
	p.Timers.Stop(&p.clientLimitTimer)
	p.Timers.Stop(&p.repeatTimer)
	p.Timers.Stop(&p.startTimer)
	p.Timers.Stop(&p.summary.timer)
	p.sockets.stop(time.Duration(closeTimeout))
}
