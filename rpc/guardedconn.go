package rpc

import (
	"bytes"
	"errors"
	"net"

	"pepperlead/internal/daemon"
)

// clientPreface is the first text that an HTTP/2 client sends on a connection: RFC 9113, 3.4.
var clientPreface = []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")

// Layout of an HTTP/2 frame header: RFC 9113, 4.1.
const (
	frameHeaderLength = 9
	frameTypeOffset   = 3
	headersFrameType  = 1
)

var errStale = errors.New("pepperlead: stream not sent: too much time has passed since its endpoint was chosen")

// guardedConn prevents the HEADERS frame of a stream from being written more than daemon.StallAfter after the decision
// on the stream's attempt. Otherwise, a process that is suspended between the two and then resumed would send to an
// endpoint that has drained meanwhile. guardedConn parses the frames that are written. On a connection that uses TLS it
// cannot parse them, and passes all bytes on unchecked.
type guardedConn struct {
	net.Conn
	pending *pendingStreams

	unreadable  bool // the bytes written are not plain HTTP/2
	prefaceSeen bool
	frameHeader []byte // the part of the current frame's header that is written so far
	payloadLeft int    // bytes of the current frame still to be written
}

// Write writes to the connection, or closes it if a stream would begin too late.
func (g *guardedConn) Write(b []byte) (int, error) {
	if !g.unreadable && !g.mayWrite(b) {
		_ = g.Close() // an error of Close is ignored, because Write returns errStale
		return 0, errStale
	}
	return g.Conn.Write(b)
}

// mayWrite parses the frames in the bytes and reports whether none of them begins a stream too late.
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

// frameAllowed parses a complete frame header and reports whether its frame may be written.
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
