package httpproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"pepperlead/internal/connstate"
)

// socket is a connection as the loop uses it. Its descriptor is closed in one place, by nbio's poller, when the socket has
// ended: closed from elsewhere it could be a new connection's by the time the poller comes to what it had to tell of the
// old one, and that new one would be closed in its place.
type socket struct {
	nb           *nbio.Conn
	fd           int
	mu           sync.Mutex
	inputLeft    atomic.Bool // more may stand in the socket than has been read
	ended        bool        // ended: the descriptor may be another's at any moment
	failed       bool        // a read or a write has
	readShut     bool        // what still comes is not read
	discarding   bool        // it is read and thrown away
	discardLimit int         // so many bytes of it at most
}

func newSocket(c *nbio.Conn) *socket {
	l := &socket{nb: c}
	raw, _ := c.SyscallConn()
	raw.Control(func(fd uintptr) { l.fd = int(fd) })
	return l
}

// read takes what is there, false if that is nothing. It is called with the lock held.
func (l *socket) read(conn *connstate.Conn, buf *connstate.Buffer) bool {
	if l.readShut {
		l.ended = true
		return false
	}
	if l.discarding && l.discardLimit <= 0 {
		return false // what is more stands in the kernel, and so holds up its sender, until the connection is closed
	}
	for {
		switch n, err := l.nb.Read(buf.B[:cap(buf.B)]); {
		case n > 0 && l.discarding:
			if l.discardLimit -= n; l.discardLimit <= 0 {
				return false
			}
		case n > 0:
			buf.B = buf.B[:n]
			conn.Input.Unread.Add(int64(n))
			return true
		case err == syscall.EINTR:
		case n == 0 && err == nil:
			// The socket tells of a reset once, to a write or a read: whatever is read after that looks like an orderly end.
			conn.Input.EOF.Store(!l.failed)
			l.ended = true
			return false
		case err == syscall.EAGAIN:
			return false
		default:
			l.ended, l.failed = true, true
			return false
		}
	}
}

// peerClosed tells whether the other end has closed.
func (l *socket) peerClosed() bool {
	of := []unix.PollFd{{Fd: int32(l.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(of, 0)
	return !l.ended && err == nil && n > 0 && of[0].Revents != 0
}

// Cut ends a connection on which nothing is under way. It refuses where bytes have come: their sender would take the end
// for the loss of a request. What comes later is left unread, and so reset by the kernel: the client sends it again.
func (l *socket) CloseIfIdle(conn *connstate.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.idle(conn) {
		return false
	}
	l.readShut = true
	return syscall.Shutdown(l.fd, syscall.SHUT_RDWR) == nil
}

// Quiet tells whether nothing has come that the loop has not heard of. What stands there before a request is sent is no
// answer to it.
func (l *socket) Idle(conn *connstate.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.idle(conn)
}

func (l *socket) idle(conn *connstate.Conn) bool {
	if l.ended || conn.Input.Unread.Load() > 0 {
		return false
	}
	// Neither bytes nor the other end's close, which the poller may not have come to yet.
	var one [1]byte
	_, _, err := unix.Recvfrom(l.fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// Hush is called with the last answer. A client that goes on sending must cost neither memory nor the loop's time, and still
// gets to read what it is told: closed at once, the kernel would throw that away.
func (l *socket) DiscardInput() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.discarding, l.discardLimit = true, maxDiscarded
}

// Write sends what the kernel takes and leaves the rest to nbio. A failure is told by the poller, as the socket's end.
func (l *socket) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return 0, net.ErrClosed
	}
	conn := l.nb.Session().(*connstate.Conn)
	if conn.Flushed() {
		n, err := syscall.Write(l.fd, b)
		if n > 0 {
			conn.RecordWritten(n) // the loop itself looks what it waits for
			b = b[n:]
		}
		if err != nil && err != syscall.EAGAIN && err != syscall.EINTR {
			l.failed = true
			return n, err
		}
		if len(b) == 0 {
			return n, nil
		}
	}
	return l.nb.Write(b)
}

// shutdown closes the socket to a sender of too much. It is called with the lock held.
func (l *socket) shutdown() {
	if !l.ended && !l.readShut {
		l.readShut = true
		syscall.Shutdown(l.fd, syscall.SHUT_RDWR)
	}
}

// Close ends the socket both ways; the poller hears of it and closes. After it no byte more goes out, and Written tells of all that did.
func (l *socket) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil
	}
	err := syscall.Shutdown(l.fd, syscall.SHUT_RDWR)
	l.nb.Write(nil) // waits for what nbio is writing just now
	return err
}

// Reset ends the socket without an end of its stream: where neither length nor chunks tell a part from the whole, nothing else does. Its
// reading side is shut, of which the poller hears; when that closes it, the kernel sends a reset, as it is told not to linger.
func (l *socket) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.readShut = true
	unix.SetsockoptLinger(l.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	syscall.Shutdown(l.fd, syscall.SHUT_RD)
}
