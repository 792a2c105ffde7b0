package rpc

import (
	"bytes"
	"errors"
	"net"

	"pepperlead/internal/daemon"
)

// HTTP/2 as a client begins and frames it: RFC 9113, 3.4 and 4.1.
var clientPreface = []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")

const (
	frameHeaderLength = 9
	frameTypeOffset   = 3
	headersFrameType  = 1
)

var errStale = errors.New("pepperlead: the process stood still between a call and its sending")

// guardedConn doesn't let a stream begin on the wire long after it was decided on: a process that is stopped in
// between would send, as it goes on, to an endpoint that has drained meanwhile. It reads the frames that are written;
// below TLS it cannot, and lets all pass.
type guardedConn struct {
	net.Conn
	pending *pendingStreams

	unreadable  bool // what is written is not HTTP/2
	prefaceSeen bool
	frameHeader []byte // as far as it is written
	payloadLeft int    // bytes of the frame that is being written
}

// Write writes to the connection, or closes it if a stream would begin too late.
func (g *guardedConn) Write(b []byte) (int, error) {
	if !g.unreadable && !g.mayWrite(b) {
		_ = g.Close() // the error that counts is errStale
		return 0, errStale
	}
	return g.Conn.Write(b)
}

// mayWrite reads the frames in the bytes and reports whether none of them begins a stream too late.
func (g *guardedConn) mayWrite(b []byte) bool {
	if !g.prefaceSeen {
		if !bytes.HasPrefix(b, clientPreface) {
			g.unreadable = true
			return true
		}
		g.prefaceSeen = true
		b = b[len(clientPreface):]
	}
	for len(b) > 0 {
		if g.payloadLeft > 0 {
			n := min(g.payloadLeft, len(b))
			g.payloadLeft -= n
			b = b[n:]
			continue
		}
		n := min(frameHeaderLength-len(g.frameHeader), len(b))
		g.frameHeader = append(g.frameHeader, b[:n]...)
		b = b[n:]
		if len(g.frameHeader) == frameHeaderLength && !g.frameAllowed() {
			return false
		}
	}
	return true
}

// frameAllowed reads a complete frame header and reports whether its frame may be written.
func (g *guardedConn) frameAllowed() bool {
	header := g.frameHeader
	g.payloadLeft = int(header[0])<<16 | int(header[1])<<8 | int(header[2])
	g.frameHeader = header[:0]
	if header[frameTypeOffset] != headersFrameType {
		return true
	}
	decidedAt := g.pending.takeOldest()
	return decidedAt == 0 || g.pending.clock.Now()-decidedAt <= daemon.StallAfter
}
