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

// socket is the socket of a connection, for the poller and the loop. Its descriptor is closed in one place, by nbio's
// poller, when the socket has ended. If it were closed elsewhere, its number could belong to a new connection by the
// time the poller handles an event of the old one, and would close the new one.
type socket struct {
	nb           *nbio.Conn
	fd           int
	inputLeft    atomic.Bool // more may be in the socket than has been read
	mu           sync.Mutex  // guards the rest
	ended        bool        // the descriptor may belong to another connection at any moment
	failed       bool        // a read or a write has failed
	readShut     bool        // further input is not read
	discarding   bool        // further input is read and discarded
	discardLimit int         // how much of it at most
}

func newSocket(c *nbio.Conn) *socket {
	s := &socket{nb: c}
	raw, _ := c.SyscallConn()                            // nbio's never fails
	_ = raw.Control(func(fd uintptr) { s.fd = int(fd) }) // fails only where raw is invalid
	return s
}

// read reads what is available into buf and reports whether there was anything. The lock must be held.
func (s *socket) read(conn *connstate.Conn, buf *connstate.Buffer) bool {
	if s.readShut {
		s.ended = true
		return false
	}
	if s.discarding && s.discardLimit <= 0 {
		return false // the rest stays in the kernel, which slows down its sender, until the connection is closed
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
			// The socket reports a reset once, to a write or a read: a read after that looks like an orderly end.
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

// peerClosed reports whether the peer has closed. The lock must be held.
func (s *socket) peerClosed() bool {
	polled := []unix.PollFd{{Fd: int32(s.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	return !s.ended && err == nil && n > 0 && polled[0].Revents != 0
}

// CloseIfIdle closes a connection on which nothing is under way. It refuses where bytes have come: their sender would
// take the close for the loss of a request. What comes later is left unread and reset by the kernel: the client sends
// it again.
func (s *socket) CloseIfIdle(conn *connstate.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.idle(conn) {
		return false
	}
	s.readShut = true
	return syscall.Shutdown(s.fd, syscall.SHUT_RDWR) == nil
}

// Idle reports whether nothing has come that the loop has not processed. What comes before a request is sent is no
// response to it.
func (s *socket) Idle(conn *connstate.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle(conn)
}

func (s *socket) idle(conn *connstate.Conn) bool {
	if s.ended || conn.Input.Unread.Load() > 0 {
		return false
	}
	// Neither bytes nor the peer's close, which the poller may not have handled yet.
	var one [1]byte
	_, _, err := unix.Recvfrom(s.fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// DiscardInput is called with the last response. A client that keeps sending must cost neither memory nor the loop's
// time, and still gets to read its response: closed at once, the kernel would throw that away.
func (s *socket) DiscardInput() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discarding = true
	s.discardLimit = maxDiscarded
}

// Write sends what the kernel takes and leaves the rest to nbio. A failure is reported by the poller, as the socket's
// end.
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
			conn.RecordWritten(n) // no event: the loop checks by itself what it waits for
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

// shutdown closes the socket to a sender of too much. The lock must be held.
func (s *socket) shutdown() {
	if !s.ended && !s.readShut {
		s.readShut = true
		_ = syscall.Shutdown(s.fd, syscall.SHUT_RDWR) // fails only where the peer has ended it already
	}
}

// Close shuts the socket down both ways; the poller notices it and closes the descriptor. After it no more bytes are
// sent, and Conn.Output.Written counts all that were.
func (s *socket) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	err := syscall.Shutdown(s.fd, syscall.SHUT_RDWR)
	_, _ = s.nb.Write(nil) // waits for a write of nbio that is under way
	return err
}

// Reset ends the socket without an orderly end of its stream: where neither a length nor chunks tell a part from the
// complete body, nothing else does. The reading side is shut down, which the poller notices; when it closes the socket,
// the kernel sends a reset, as it must not linger.
func (s *socket) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.readShut = true
	// Both fail only where the peer has ended the socket already.
	_ = unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	_ = syscall.Shutdown(s.fd, syscall.SHUT_RD)
}
