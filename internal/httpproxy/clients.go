package httpproxy

import (
	"net/http"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// Timing of client connections. A connection is idle while it carries neither a request nor a part of one. Conn.Idle is
// set only on idle connections that have carried a request before.
const (
	// headTimeout is how long a request head may take to arrive: the first one from the connect on, later ones from
	// their first byte on.
	headTimeout = 2600 * policy.Millisecond
	// bodyTimeout is how long after its head a request body may take to arrive, in addition to the time that the bytes
	// received so far take at minBodyRate.
	bodyTimeout = 1500 * policy.Millisecond
	// minBodyRate is the lowest accepted rate of a body, in bytes per second.
	minBodyRate = 16 << 10
	// bodyStallTimeout is how long a client may send nothing of a body, however much it has sent before.
	bodyStallTimeout = 2 * policy.Second
	// idleCloseAfter is how long a connection must be idle before it may be closed. On one used more recently the next
	// request may already be on its way.
	idleCloseAfter = 2 * policy.Second
	// unusedCloseAfter is the same for a connection that has not carried a request yet.
	unusedCloseAfter = 100 * policy.Millisecond
	// idleClientCheckInterval is the time between checks whether an idle connection should be closed.
	idleClientCheckInterval = idleCloseAfter / 8
	// clientLimitCheckInterval is the time between searches for connections to close while too many are open.
	clientLimitCheckInterval = 20 * policy.Millisecond
	// flushCheckInterval is the time between checks whether a client takes its response.
	flushCheckInterval = 100 * policy.Millisecond
	// silentCheckInterval is the time between checks whether a client whose input is not processed yet is silent.
	silentCheckInterval = 10 * policy.Millisecond
	// lingerTime is how long the connection of a refused request stays open for the client to read the response.
	lingerTime = 300 * policy.Millisecond
	// flushTimeout is how long a client may accept no bytes of a response, or an endpoint none of a streamed body,
	// before it counts as stalled.
	flushTimeout = 2 * policy.Second
)

// maxSkippedBytes is how many bytes of empty lines are skipped before a request.
const maxSkippedBytes = 8

// clientConnected handles a new connection of a client.
func (p *Proxy) clientConnected(now policy.Time, c *connstate.Conn) {
	c.Connected = true
	c.Input.Delayed = true // the client may have waited in the accept queue
	c.IdleSince = now
	c.Timer.Run = func(now policy.Time) { p.clientTimerDue(now, c) }
	// A client that sends nothing, or only a part of a request, must not occupy a descriptor for long.
	p.Timers.Set(&c.Timer, now+headTimeout)
	p.conns.Add(c)
	p.Counters.ClientConns++
	p.enforceClientLimit(now)
}

// enforceClientLimit closes idle client connections while too many are open, first those that never carried a request.
// If none can be closed yet, it tries again later, and until then each response closes its connection.
func (p *Proxy) enforceClientLimit(now policy.Time) {
	p.overClientLimit = false
	for p.conns.OverLimit(connstate.ClientSide) && !p.overClientLimit {
		if p.closeOldestIdle(connstate.ClientSide, 0, now-unusedCloseAfter) ||
			p.closeOldestIdle(connstate.ClientSide, now-idleCloseAfter, 0) {
			p.Counters.ClientConnsBroken++
			continue
		}
		p.overClientLimit = true
		p.Timers.Set(&p.clientLimitTimer, now+clientLimitCheckInterval)
	}
}

// readRequests handles the next request of a client if it is complete. If there may be another one behind it, that one
// has to wait for the connection's next turn, and the result is true.
func (p *Proxy) readRequests(now policy.Time, c *connstate.Conn) (more bool) {
	if c.Upload.State != connstate.NoUpload || !p.readyForRequest(c) || !p.readRequest(now, c) || c.Closing {
		return false
	}
	if c.Input.Buffer == nil || c.Request != nil {
		return false
	}
	p.await(c)
	return true
}

// readyForRequest reports whether there is input from which the next request may be read now. Until the last response
// is written completely, the next request waits, so that unread responses do not pile up.
func (p *Proxy) readyForRequest(c *connstate.Conn) bool {
	if c.Input.Buffer == nil || c.Request != nil || c.Output.CloseWhenFlushed || c.Closing {
		return false
	}
	c.Output.AwaitingFlush = !c.Flushed()
	return !c.Output.AwaitingFlush
}

// readRequest handles the next request if it is complete, and reports whether it was.
func (p *Proxy) readRequest(now policy.Time, c *connstate.Conn) bool {
	in := c.Input.Buffer
	if len(in.B) < c.Input.Needed && !p.buffers.Full() {
		p.setBodyTimer(now, c)
		return false
	}
	skipEmptyLines(in)
	if len(in.B) == 0 {
		p.buffers.Put(in)
		c.Input.Buffer = nil
		return false
	}
	at := c.Input.ArrivedAt
	request, status := parseRequest(in.B, maxBody, &c.Input.Chunks)
	switch {
	case status == http.StatusRequestEntityTooLarge && request.bodySize <= maxStreamedBody:
		p.beginUpload(now, at, c, request.requestHead)
		return false
	case status != 0:
		p.refuse(now, c, refusal{status, malformedRequest, "the request cannot be read\n"})
		return false
	case request.length == 0 && !p.hasRoom(now):
		// Partly received requests must not fill the memory while they cannot be admitted.
		p.rejectForMemory(now, c)
		return false
	case request.length == 0:
		p.awaitMore(now, c)
		p.sendContinue(c)
		return false
	}
	p.Timers.Stop(&c.Timer)
	p.conns.MarkBusy(c)
	c.Upload.ContinueSent = false
	c.Input.HeadAt = 0
	c.Input.Needed = 0
	c.Input.Chunks = connstate.WholeChunks{}
	c.Input.Buffer = p.copyOf(in.B[request.length:])
	p.handleRequest(now, at, c, in, request)
	return true
}

// copyOf returns a new buffer with a copy of b, nil if b is empty.
func (p *Proxy) copyOf(b []byte) *connstate.Buffer {
	if len(b) == 0 {
		return nil
	}
	buf := p.buffers.Get(len(b))
	buf.B = append(buf.B, b...)
	return buf
}

// sendContinue sends 100 Continue to a client that waits for it before it sends the body.
func (p *Proxy) sendContinue(c *connstate.Conn) {
	if !c.Upload.ContinueSent && expectsContinue(c.Input.Buffer.B) {
		c.Upload.ContinueSent = true
		p.write(c, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// awaitMore sets the deadline for more bytes of an incomplete request. Clients may be slow, but one that sends nothing
// must not occupy a descriptor.
func (p *Proxy) awaitMore(now policy.Time, c *connstate.Conn) {
	head := splitHead(c.Input.Buffer.B)
	switch {
	case head.length > 0:
		if c.Input.HeadAt == 0 {
			c.Input.HeadAt = now
			c.Input.Needed = 0
			if body, _ := parseFraming(head.headers, true); body.size >= 0 {
				c.Input.Needed = head.length + body.size
			}
		}
		p.setBodyTimer(now, c)
	case !c.Timer.Active() || c.Idle:
		p.Timers.Set(&c.Timer, now+headTimeout)
	}
	p.conns.MarkBusy(c)
}

// setBodyTimer sets the deadline for more bytes of the body.
func (p *Proxy) setBodyTimer(now policy.Time, c *connstate.Conn) {
	deadline := c.Input.HeadAt + bodyTimeout + transferTime(int64(len(c.Input.Buffer.B)))
	p.Timers.Set(&c.Timer, min(deadline, now+bodyStallTimeout))
}

// awaitNextRequest prepares a connection whose response was sent for the client's next request.
func (p *Proxy) awaitNextRequest(now policy.Time, c *connstate.Conn) {
	if !c.Flushed() {
		p.Timers.Set(&c.Timer, now+flushCheckInterval)
	}
	if c.Input.Buffer != nil || c.Input.Readable {
		p.await(c)
		return
	}
	p.restIfVacant(now, c)
}

// restIfVacant marks a connection as idle that has carried a request and carries nothing now.
func (p *Proxy) restIfVacant(now policy.Time, c *connstate.Conn) {
	if !c.Vacant() || !c.Used || c.Idle || c.Closing || c.Output.CloseWhenFlushed || !c.Flushed() || c.InReady {
		return
	}
	p.conns.MarkIdle(c)
	p.Timers.Set(&c.Timer, now+idleCloseAfter)
}

// clientTimerDue handles the only timer of a client connection. It is set while a request is incomplete, while a
// response is being written, and while the connection is idle.
func (p *Proxy) clientTimerDue(now policy.Time, c *connstate.Conn) {
	switch {
	case c.Closing:
	case c.Upload.State != connstate.NoUpload:
		p.checkUpload(now, c)
	case !c.Flushed():
		p.checkFlush(now, c)
	case c.Output.CloseWhenFlushed:
		p.closeConn(c, connstate.AfterResponse)
	case c.Idle:
		p.checkIdleClient(now, c)
	case c.Input.Buffer == nil:
		p.checkSilent(now, c)
	default:
		p.refuse(now, c, refusal{http.StatusRequestTimeout, requestTooSlow, "the request came too slowly\n"})
	}
}

// checkFlush closes the connection of a client that does not read its response.
func (p *Proxy) checkFlush(now policy.Time, c *connstate.Conn) {
	if c.Progressed(now, taken(c), flushTimeout) {
		p.Timers.Set(&c.Timer, now+flushCheckInterval)
		return
	}
	p.closeConn(c, connstate.UnreadResponse)
}

// checkIdleClient closes an idle client connection while many are idle, as they occupy descriptors that other clients
// need.
func (p *Proxy) checkIdleClient(now policy.Time, c *connstate.Conn) {
	if 2*p.conns.IdleClients > p.conns.MaxIdleClients && p.closeIfIdle(c, connstate.IdleConnection) {
		p.Counters.ClientConnsBroken++
		return
	}
	p.Timers.Set(&c.Timer, now+idleClientCheckInterval)
}

// checkSilent closes a connection on which nothing has been received since it was opened. If input has arrived that is
// not processed yet, it checks again later.
func (p *Proxy) checkSilent(now policy.Time, c *connstate.Conn) {
	if p.closeIfIdle(c, connstate.SilentClient) {
		p.Counters.ClientsSilent++
		return
	}
	p.Timers.Set(&c.Timer, now+silentCheckInterval)
}

// clientDisconnected handles the end of a client connection, which ends its request as well.
func (p *Proxy) clientDisconnected(now policy.Time, c *connstate.Conn) {
	r := c.Request
	if r == nil {
		return
	}
	if r.Response.Streaming {
		p.breakStream(now, r)
		return
	}
	p.abandonRequest(now, c, r)
}

// abandonRequest ends a request whose client has disconnected or has not sent all of the body.
func (p *Proxy) abandonRequest(now policy.Time, c *connstate.Conn, r *connstate.Request) {
	c.Request = nil
	r.Client = nil
	p.requests.Remove(r)
	p.ClientLeft(now, r.Request)
	p.endUnwritten(now, r)
}

// skipEmptyLines removes empty lines before a request, as some clients send them after a body.
func skipEmptyLines(in *connstate.Buffer) {
	n := 0
	for n+1 < len(in.B) && n < maxSkippedBytes && in.B[n] == '\r' && in.B[n+1] == '\n' {
		n += len(lineEnd)
	}
	if n > 0 {
		in.B = in.B[:copy(in.B, in.B[n:])]
	}
}
