package httpproxy

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"pepperlead/internal/connstate"
)

// socket is the socket of a connection, used by the poller and the loop. Only nbio's poller closes the descriptor, once
// the socket has ended. If it were closed elsewhere, its number could already belong to a new connection when the
// poller handles an event of the old one, and the poller would close the new connection.
type socket struct {
	nb           *nbio.Conn
	fd           int
	mayHaveInput atomic.Bool // the socket may hold input that has not been read
	mu           sync.Mutex  // guards the fields below
	ended        bool        // the descriptor may be closed and reused at any moment
	failed       bool        // a read or a write has failed
	readShut     bool        // further input is not read
	discarding   bool        // further input is read and discarded
	discardLimit int         // bytes that may still be discarded
}

func newSocket(c *nbio.Conn) *socket {
	s := &socket{nb: c}
	raw, _ := c.SyscallConn()                            // never fails for an nbio.Conn
	_ = raw.Control(func(fd uintptr) { s.fd = int(fd) }) // fails only if raw is invalid
	return s
}

// read reads available input into buf and reports whether buf now holds input to process. s.mu must be held.
func (s *socket) read(conn *connstate.Conn, buf *connstate.Buffer) bool {
	if s.readShut {
		s.ended = true
		return false
	}
	if s.discarding && s.discardLimit <= 0 {
		return false // the rest stays in the kernel, which slows down the sender, until the connection is closed
	}
	for {
		n, err := s.nb.Read(buf.B[:cap(buf.B)])
		switch {
		case n > 0 && s.discarding:
			s.discardLimit -= n
			if s.discardLimit <= 0 {
				return false
			}
		case n > 0:
			buf.B = buf.B[:n]
			conn.Input.Unread.Add(int64(n))
			return true
		case errors.Is(err, unix.EINTR):
		case n == 0 && err == nil:
			// The kernel reports a reset only once, to a write or a read. If a write has failed with it, the next read
			// looks like an orderly end.
			conn.Input.EOF.Store(!s.failed)
			s.ended = true
			return false
		case errors.Is(err, unix.EAGAIN):
			return false
		default:
			s.ended = true
			s.failed = true
			return false
		}
	}
}

// peerClosed reports whether the peer has closed its side of the connection. s.mu must be held.
func (s *socket) peerClosed() bool {
	polled := []unix.PollFd{{Fd: int32(s.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	return !s.ended && err == nil && n > 0 && polled[0].Revents != 0
}

// CloseIfIdle closes a connection without pending input and reports whether it did. If bytes have arrived it does
// nothing, as their sender would take the close for the loss of a request. Bytes that arrive after the close are not
// read, and the kernel answers them with a reset, so the client sends its request again.
func (s *socket) CloseIfIdle(conn *connstate.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.idle(conn) {
		return false
	}
	s.readShut = true
	return syscall.Shutdown(s.fd, syscall.SHUT_RDWR) == nil
}

// Idle reports whether the connection is open and has no input that the loop has not processed. Input that arrives
// before a request is sent cannot be the response to it.
func (s *socket) Idle(conn *connstate.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle(conn)
}

func (s *socket) idle(conn *connstate.Conn) bool {
	if s.ended || conn.Input.Unread.Load() > 0 {
		return false
	}
	// Check for bytes and for a close by the peer that the poller has not handled yet.
	var one [1]byte
	_, _, err := unix.Recvfrom(s.fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// DiscardInput discards all further input. It is called with the last response: a client that keeps sending must cost
// neither memory nor time of the loop, but must be able to read its response. If the socket were closed at once, the
// kernel would drop the response.
func (s *socket) DiscardInput() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discarding = true
	s.discardLimit = maxDiscarded
}

// Write passes to the kernel what it accepts and leaves the rest to nbio. The poller reports a failure as the end of
// the socket.
func (s *socket) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return 0, net.ErrClosed
	}
	conn := s.nb.Session().(*connstate.Conn)
	if conn.Flushed() {
		n, err := syscall.Write(s.fd, b)
		if n > 0 {
			conn.RecordWritten(n) // no event is needed: the caller is the loop, which checks the total itself
			b = b[n:]
		}
		if err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR) {
			s.failed = true
			return n, err
		}
		if len(b) == 0 {
			return n, nil
		}
	}
	return s.nb.Write(b)
}

// resetOnClose makes the kernel send a reset when the descriptor is closed. s.mu must be held.
func (s *socket) resetOnClose() {
	// This fails only if the peer has already ended the socket.
	_ = unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
}

// Unacknowledged returns how many bytes the kernel has accepted and the peer's kernel has not acknowledged; 0 if the
// socket has ended, or if the kernel cannot tell.
func (s *socket) Unacknowledged() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unacknowledged()
}

func (s *socket) unacknowledged() int {
	if s.ended {
		return 0
	}
	bytes, err := unix.IoctlGetInt(s.fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return bytes
}

// PeerWindow returns the receive window that the peer has advertised last, in bytes; 0 if the socket has ended, or if
// the kernel cannot tell.
func (s *socket) PeerWindow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return 0
	}
	info, err := unix.GetsockoptTCPInfo(s.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return int(info.Snd_wnd)
}

// shutdown shuts the socket down, as its peer has sent more than is accepted. s.mu must be held.
func (s *socket) shutdown() {
	if !s.ended && !s.readShut {
		s.readShut = true
		_ = syscall.Shutdown(s.fd, syscall.SHUT_RDWR) // fails only if the peer has already ended the connection
	}
}

// finLength is the length of the end of a connection among its unacknowledged bytes.
const finLength = 1

// Close shuts the socket down in both directions; the poller notices that and closes the descriptor. After Close
// returns, no more bytes are passed to the kernel, and Conn.Output.Written counts all bytes that were.
//
// The kernel drops what an endpoint has not acknowledged, and sends a reset. Otherwise it goes on sending, for minutes
// if the endpoint is cut off, and the endpoint would process a request long after its attempt has ended.
func (s *socket) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	err := syscall.Shutdown(s.fd, syscall.SHUT_RDWR)
	_, _ = s.nb.Write(nil) // waits for a write by nbio that is in progress
	if s.nb.Session().(*connstate.Conn).Side == connstate.EndpointSide && s.unacknowledged() > finLength {
		s.resetOnClose()
	}
	return err
}

// Reset ends the socket with a TCP reset. For a body that ends when the connection closes, only a reset distinguishes a
// truncated body from a complete one. The reading side is shut down, which the poller notices. When the poller closes
// the socket, the kernel sends a reset, because SO_LINGER is set to 0 seconds.
func (s *socket) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.readShut = true
	s.resetOnClose()
	_ = syscall.Shutdown(s.fd, syscall.SHUT_RD) // fails only if the peer has already ended the socket
}
