package httpproxy

import (
	"context"
	"time"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// Timing of a shutdown.
const (
	// lastWriteTime is how long a client has to take the last response.
	lastWriteTime = 100 * policy.Millisecond
	// closeTimeout is how long connections have to close.
	closeTimeout = 50 * policy.Millisecond
	// recentUseTime is how long a client's connection stays open after its last use while other processes accept new
	// clients: a client that has just used a connection uses it again.
	recentUseTime = 700 * policy.Millisecond
	// reconnectTime is how long a client has to come again whose connection was closed while it was sending.
	reconnectTime = 50 * policy.Millisecond
)

// BeginShutdown begins the shutdown: clients are accepted for a while, and every response closes its connection.
func (p *Proxy) BeginShutdown(now policy.Time) {
	if p.awaitingList {
		p.admitClients(now) // clients that came before the first list get an answer as well
	}
	p.serving.Store(false)
	p.acceptUntil = now + p.config.AcceptTime
	if p.sharesListener() {
		// The queue stays, and the other processes accept from it. This one answers what it has accepted.
		p.acceptUntil = now
		_ = p.sockets.listener.Close() // the descriptor is closed either way
	}
}

// sharesListener reports whether other processes listen on the same queue.
func (p *Proxy) sharesListener() bool { return p.config.InheritedListener > 0 }

// Drained reports whether no request can come any more.
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
	return now >= min(max(p.drainedAt, p.acceptUntil), shutdownBy+lastWriteTime)
}

// acceptPending reports whether a client that this process must answer may not have come to the loop yet.
func (p *Proxy) acceptPending() bool {
	if p.sharesListener() {
		return !p.sockets.listener.stopped.Load()
	}
	return p.sockets.listener.hasPending()
}

// closeIdleClients closes client connections that are idle, and reports whether any client is connected. Where other
// processes accept new clients, those used recently are kept if keepRecent: their next response closes them.
func (p *Proxy) closeIdleClients(now policy.Time, spareRecent bool) bool {
	connected := false
	for c := range p.conns.Open {
		if c.Side != connstate.ClientSide || c.Closing {
			continue
		}
		connected = true
		recent := p.sharesListener() && spareRecent && now-c.IdleSince < recentUseTime
		idle := c.Request == nil && c.Input.Buffer == nil && !c.Output.CloseWhenFlushed &&
			c.Upload.State == connstate.NoUpload
		if idle && !recent && c.Socket.CloseIfIdle(c) {
			p.conns.MarkClosing(c)
		}
	}
	return connected
}

// Close closes the connections and releases what they hold.
func (p *Proxy) Close() {
	for c := range p.conns.Open {
		p.closeConn(c)
	}
	// A dial may take longer; what the process holds ends with it.
	for end := p.Clock.Now() + closeTimeout; len(p.conns.Open) > 0 && p.Clock.Now() < end; {
		p.Round(p.Clock.Now())
		time.Sleep(time.Millisecond)
	}
	p.Timers.Stop(&p.roomTimer)
	p.Timers.Stop(&p.startTimer)
	close(p.sockets.stopped)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(closeTimeout))
	defer cancel()
	_ = p.sockets.engine.Shutdown(ctx) // it may not end in time
}
