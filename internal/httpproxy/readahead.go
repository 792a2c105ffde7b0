package httpproxy

import (
	"errors"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// The kernel reports that a client has closed its connection once all bytes that the client sent before have found room
// in the receive buffer. So if a client sends many requests and closes, the close would be noticed only after most of
// them were read and sent on. Therefore input that is not wanted yet is read ahead if there is much of it.

const (
	// minReadAhead is the number of unread bytes, in bytes, below which the receive buffer certainly has room for more.
	minReadAhead = 16 << 10
	// maxReadAhead is how many bytes of a connection are kept for later, in bytes.
	maxReadAhead = 1 << 20
	// reservedShare is the part of the memory for messages, as a divisor, that has to be free for reading ahead.
	reservedShare = 4
)

// lookAhead reads a client's input that is not wanted yet, and closes the connection if the client has left.
func (p *Proxy) lookAhead(now policy.Time, c *connstate.Conn) {
	if r := c.Request; r != nil && r.ClientCheck.Active {
		p.continueClientCheck(now, r)
		return
	}
	waiting := c.Request != nil || c.Input.Buffer != nil || !c.Flushed()
	discarded := c.Output.CloseWhenFlushed || c.Upload.State != connstate.NoUpload
	if !waiting || discarded || !c.Input.Readable || c.Closing {
		return
	}
	if c.Socket.Unread() < minReadAhead {
		return
	}
	for c.Socket.Ahead() < maxReadAhead && p.mayReadAhead() {
		err := c.Socket.ReadAhead(p.readBuffer)
		switch {
		case err == nil:
			continue
		case errors.Is(err, connstate.ErrShortOfMemory):
			p.repeatLater(now, c)
		case !errors.Is(err, connstate.ErrNoInput):
			c.Input.HungUp = true
			p.closeConn(c, connstate.PeerClosed)
		}
		return
	}
}

// mayReadAhead reports whether there is memory to read more input ahead.
func (p *Proxy) mayReadAhead() bool { return p.buffers.InUse() < p.readAheadLimit() }

// readAheadLimit returns how many bytes of the memory for messages may be in use while input is read ahead.
func (p *Proxy) readAheadLimit() int { return p.buffers.Limit - p.buffers.Limit/reservedShare }
