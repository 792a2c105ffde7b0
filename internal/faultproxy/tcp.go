package faultproxy

import (
	"errors"
	"io"
	"net"
	"time"
)

const (
	// chunkSize is how many bytes of a connection are read at once.
	chunkSize = 16 << 10
	// maxChunksInFlight is how many chunks of a connection may be delayed at once in each direction.
	maxChunksInFlight = 64
	// dialTimeout is how long the target may take to accept a connection.
	dialTimeout = time.Second
	// acceptRetryDelay is the delay after a failed accept, for example for lack of file descriptors.
	acceptRetryDelay = time.Millisecond
)

// TCP listens on an address and relays the connections there to a target, the address of a process. It returns the
// address on which it listens. Connections are established even if the link is blocked, because the kernel accepts
// them, but they carry no bytes until it is open.
func (n *Network) TCP(listen string, to Node, target string) (string, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return "", err
	}
	if err := n.addListener(listener); err != nil {
		return "", err
	}
	go n.acceptTCP(listener, to, target)
	return listener.Addr().String(), nil
}

// acceptTCP relays the connections of a listener until the listener is closed.
func (n *Network) acceptTCP(listener net.Listener, to Node, target string) {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			go n.relayConn(conn.(*net.TCPConn), to, target)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

// relayConn connects to the target and relays a connection in both directions until both have ended.
func (n *Network) relayConn(in *net.TCPConn, to Node, target string) {
	if !n.addConn(in) {
		return
	}
	defer n.closeConn(in)
	request := Link{From: n.nodeOf(in.RemoteAddr()), To: to}
	response := Link{From: request.To, To: request.From}
	n.mu.Lock()
	n.countersOf(request).Connections++
	n.mu.Unlock()
	// A handshake needs both directions of the link.
	if !n.waitUntilOpen(request) || !n.waitUntilOpen(response) {
		return
	}
	conn, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		_ = in.SetLinger(0) // the target refused, so the caller gets a reset
		return
	}
	out := conn.(*net.TCPConn)
	if !n.addConn(out) {
		return
	}
	defer n.closeConn(out)
	responseDone := make(chan struct{})
	go func() {
		defer close(responseDone)
		n.relayBytes(response, out, in)
	}()
	n.relayBytes(request, in, out)
	<-responseDone
}

// chunk is a part of the bytes of a connection in one direction, or their end.
type chunk struct {
	bytes      []byte
	receivedAt time.Time
	dueAt      time.Time
	end        error // io.EOF, or the error that ended the connection; nil: more chunks follow
}

// relayBytes passes bytes in one direction, in order, each chunk when it is due and the link is open.
func (n *Network) relayBytes(link Link, from, to *net.TCPConn) {
	chunks := make(chan chunk, maxChunksInFlight)
	go n.readChunks(link, from, chunks)
	for c := range chunks {
		time.Sleep(time.Until(c.dueAt))
		blockedSince := time.Now()
		if !n.waitUntilOpen(link) {
			continue // the channel must be drained so that its writer can end
		}
		blocked := time.Since(blockedSince)
		if len(c.bytes) > 0 {
			if _, err := to.Write(c.bytes); err != nil {
				reset(from)
			}
		}
		n.recordOverhead(time.Since(c.receivedAt) - blocked - c.dueAt.Sub(c.receivedAt))
		switch {
		case c.end == nil:
		case errors.Is(c.end, io.EOF):
			_ = to.CloseWrite() // fails if the other end has closed already
		default:
			reset(to)
		}
	}
}

// readChunks reads a connection until it ends.
func (n *Network) readChunks(link Link, from *net.TCPConn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkSize)
		size, err := from.Read(buffer)
		c := chunk{bytes: buffer[:size], receivedAt: time.Now(), end: err}
		n.mu.Lock()
		c.dueAt = c.receivedAt.Add(n.drawDelay(n.faults[link]))
		counters := n.countersOf(link)
		counters.Chunks++
		if n.faults[link].Blocked {
			counters.Held++
		}
		n.mu.Unlock()
		chunks <- c
		if err != nil {
			return
		}
	}
}

// reset closes a connection by a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only on a closed connection
	_ = conn.Close()
}
