package httpproxy

import (
	"errors"
	"io"

	"pepperlead/internal/connstate"
	"pepperlead/internal/epoll"
	"pepperlead/policy"
)

// The loop reads a connection when the poller has reported input and the connection's state asks for it. Input that is
// not wanted yet stays in the kernel, which slows down the sender. No connection is read or answered for long: after
// one request, or a few reads, it waits until the others had their turn.

// maxReadsPerTurn is how often a connection is read before it is the turn of the others.
const maxReadsPerTurn = 4

// retryInterval is the time after which reads and writes are repeated for which the kernel was short of memory.
const retryInterval = 5 * policy.Millisecond

// socketReady handles events of a connection.
func (p *Proxy) socketReady(now, at policy.Time, c *connstate.Conn, events epoll.Events) {
	if c.Closing {
		return
	}
	if events&epoll.Readable != 0 {
		c.Input.Readable = true
		c.Input.ArrivedAt = at
		if c.Upload.State != connstate.NoUpload {
			p.bodyArrived(now, at, c)
		}
	}
	if events&epoll.HungUp != 0 {
		c.Input.HungUp = true
	}
	if events&epoll.Writable != 0 {
		p.flush(now, c)
	}
	if !c.InReady || c.Input.HungUp {
		p.service(now, c) // otherwise it waits for its turn
	}
}

// await adds a connection to those that are looked at in the next round.
func (p *Proxy) await(c *connstate.Conn) {
	if !c.InReady {
		c.InReady = true
		p.ready = append(p.ready, c)
	}
}

// serviceReady looks at the connections whose turn has come.
func (p *Proxy) serviceReady(now policy.Time) {
	turn := p.ready
	p.ready = p.spareReady[:0]
	for _, c := range turn {
		c.InReady = false
		if !c.Closing {
			p.service(now, c)
			p.ReportEndedAttempts(now)
		}
	}
	clear(turn)
	p.spareReady = turn
}

// service handles the input of a connection as far as it is its turn.
func (p *Proxy) service(now policy.Time, c *connstate.Conn) {
	if c.Side == connstate.ClientSide && c.Input.HungUp {
		p.closeConn(c, connstate.PeerClosed) // whatever it sent before: nobody waits for an answer
		return
	}
	if c.Side == connstate.ClientSide && c.Upload.State == connstate.NoUpload && p.readRequests(now, c) {
		return // the rest is for its next turn
	}
	p.readInput(now, c)
	if c.Side == connstate.ClientSide {
		p.lookAhead(now, c)
		p.restIfVacant(now, c)
	}
}

// wantsInput reports whether the connection's input is to be read now.
func (p *Proxy) wantsInput(c *connstate.Conn) bool {
	switch {
	case c.Closing || !c.Connected || !c.Input.Readable:
		return false
	case c.Input.Paused:
		return false
	case c.Side == connstate.EndpointSide || c.Output.CloseWhenFlushed || c.Upload.State != connstate.NoUpload:
		return true
	case c.InReady && c.Input.Buffer != nil:
		return false // a request that was read waits for its turn
	}
	return c.Request == nil && c.Flushed()
}

// readInput reads a connection until it has no more input, the input is not wanted any more, or its turn is over.
func (p *Proxy) readInput(now policy.Time, c *connstate.Conn) {
	for reads := 0; p.wantsInput(c); reads++ {
		if reads == maxReadsPerTurn {
			p.await(c)
			return
		}
		size := p.readSize(c, reads)
		ahead := c.Socket.Ahead()
		buf, err := p.readPart(c, size)
		if err != nil {
			p.inputEnded(now, c, err)
			return
		}
		p.correctArrival(now, c)
		if ahead == 0 && len(buf.B) < size && !c.Input.HungUp {
			c.Input.Readable = false // the poller reports what comes later
		}
		p.received(now, c, buf)
	}
}

// readPart reads up to size bytes into a buffer that is not much larger than what there was to read.
func (p *Proxy) readPart(c *connstate.Conn, size int) (*connstate.Buffer, error) {
	if size > connstate.SmallBuffer {
		n, err := c.Socket.Read(p.readBuffer[:size])
		if err != nil {
			return nil, err
		}
		return p.copyOf(p.readBuffer[:n]), nil
	}
	buf := p.buffers.Get(size)
	n, err := c.Socket.Read(buf.B[:size])
	if err != nil {
		p.buffers.Put(buf)
		return nil, err
	}
	buf.B = buf.B[:n]
	return buf, nil
}

// correctArrival corrects the time at which the first input of a connection arrived, if that was before the poller
// reported it: the client may have waited in the accept queue.
func (p *Proxy) correctArrival(now policy.Time, c *connstate.Conn) {
	if c.Input.Delayed {
		c.Input.Delayed = false
		c.Input.ArrivedAt = min(c.Input.ArrivedAt, now-c.Socket.InputAge())
	}
}

// readSize returns how many bytes of a connection are read at once. What is forwarded as it arrives may have to wait,
// so no more of it is read than may be pending.
func (p *Proxy) readSize(c *connstate.Conn, reads int) int {
	missing := c.Input.Needed
	if c.Input.Buffer != nil {
		missing -= len(c.Input.Buffer.B)
	}
	most := connstate.LargeBuffer
	if c.Upload.State == connstate.StreamingUpload || c.Request != nil && c.Request.Response.Streaming {
		most = int(min(p.maxPending, connstate.LargeBuffer))
	}
	if reads > 0 && (c.Upload.State != connstate.NoUpload || c.Side == connstate.EndpointSide) {
		missing = most // more is likely to follow
	}
	return min(max(missing, connstate.SmallBuffer), most)
}

// inputEnded handles the reason why there is no input.
func (p *Proxy) inputEnded(now policy.Time, c *connstate.Conn, reason error) {
	switch {
	case errors.Is(reason, connstate.ErrNoInput):
		c.Input.Readable = false
		if c.Upload.State != connstate.NoUpload {
			p.bodyRead(now, c)
		}
		return
	case errors.Is(reason, connstate.ErrShortOfMemory):
		p.repeatLater(now, c)
		return
	}
	c.Input.Readable = false
	c.Input.HungUp = true
	c.Input.EOF = errors.Is(reason, io.EOF)
	p.closeConn(c, connstate.PeerClosed)
}

// received handles bytes that were read from a connection.
func (p *Proxy) received(now policy.Time, c *connstate.Conn, buf *connstate.Buffer) {
	p.Counters.BytesIn += int64(len(buf.B))
	at := c.Input.ArrivedAt
	switch {
	case c.Upload.State != connstate.NoUpload:
		p.uploadData(now, at, c, buf)
	case c.Side == connstate.EndpointSide && c.Request != nil && c.Request.Response.Streaming:
		p.streamData(now, at, c, buf.B)
		p.buffers.Put(buf)
	case c.Side == connstate.ClientSide:
		c.Input.Buffer = p.buffers.Join(c.Input.Buffer, buf)
		p.readRequests(now, c)
	default:
		c.Input.Buffer = p.buffers.Join(c.Input.Buffer, buf)
		p.readResponse(now, at, c)
	}
}

// flush writes what is queued for a connection.
func (p *Proxy) flush(now policy.Time, c *connstate.Conn) {
	if c.Flushed() {
		return
	}
	p.written(now, c, c.Socket.Flush())
	if c.Output.NotifyAt > 0 && c.Output.Written >= c.Output.NotifyAt {
		c.Output.NotifyAt = 0
		p.outputDrained(c)
	}
	if !c.Flushed() {
		return
	}
	switch {
	case c.Output.CloseWhenFlushed:
		p.Timers.Set(&c.Timer, max(now, c.CloseAt))
	case c.Output.AwaitingFlush:
		c.Output.AwaitingFlush = false
		p.await(c)
	case c.Side == connstate.ClientSide:
		p.await(c)
	}
}

// written handles the result of a write.
func (p *Proxy) written(now policy.Time, c *connstate.Conn, err error) {
	switch {
	case err == nil:
	case errors.Is(err, connstate.ErrShortOfMemory):
		p.repeatLater(now, c)
	default:
		// The connection has ended, but the peer may have sent a response before. What it sent is read to its end.
		c.Input.Readable = true
		c.Input.HungUp = true
		p.await(c)
	}
}

// repeatLater repeats reads and writes for which the kernel was short of memory.
func (p *Proxy) repeatLater(now policy.Time, c *connstate.Conn) {
	p.shortOfMemory = append(p.shortOfMemory, c)
	if !p.repeatTimer.Active() {
		p.Timers.Set(&p.repeatTimer, now+retryInterval)
	}
}

// repeatNow repeats what failed because the kernel was short of memory.
func (p *Proxy) repeatNow(now policy.Time) {
	turn := p.shortOfMemory
	p.shortOfMemory = nil
	for _, c := range turn {
		if !c.Closing {
			p.flush(now, c)
			p.service(now, c)
		}
	}
}
