package httpproxy

import (
	"errors"
	"io"
	"net"

	"golang.org/x/sys/unix"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// maxDiscarded is how much input is discarded after the last response of a connection, in bytes.
const maxDiscarded = 512 << 10

// finLength is the length of the end of a connection among its unacknowledged bytes.
const finLength = 1

// socket is a TCP socket with bytes that wait to be written. Only the event loop uses it, and only the event loop
// closes the descriptor: closed elsewhere, its number could be that of another connection by the next call.
type socket struct {
	conn         *connstate.Conn
	descriptor   int // closedDescriptor once it is closed
	buffers      *connstate.Buffers
	unwritten    connstate.Queue // bytes that the kernel has not accepted yet
	ahead        connstate.Queue // bytes that were read ahead
	failed       bool            // a read or a write has failed: the connection has ended
	discarding   bool            // input is read and discarded
	discardLimit int             // bytes that may still be discarded

	watched watched
}

// closedDescriptor is the descriptor of a closed socket.
const closedDescriptor = -1

var _ connstate.Socket = (*socket)(nil)

// Read implements connstate.Socket.
func (s *socket) Read(b []byte) (int, error) {
	if s.ahead.Len() == 0 {
		return s.readNow(b)
	}
	n := 0
	for n < len(b) && s.ahead.Len() > 0 {
		copied := copy(b[n:], s.ahead.First())
		s.ahead.Consume(s.buffers, copied)
		n += copied
	}
	return n, nil
}

// ReadAhead implements connstate.Socket.
func (s *socket) ReadAhead(scratch []byte) error {
	n, err := s.readNow(scratch)
	s.ahead.Append(s.buffers, scratch[:n])
	return err
}

// Ahead implements connstate.Socket.
func (s *socket) Ahead() int { return s.ahead.Len() }

// Unread implements connstate.Socket.
func (s *socket) Unread() int {
	if s.descriptor == closedDescriptor {
		return 0
	}
	bytes, err := unix.IoctlGetInt(s.descriptor, unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return bytes
}

// readNow reads from the kernel.
func (s *socket) readNow(b []byte) (int, error) {
	for {
		if s.descriptor == closedDescriptor {
			return 0, net.ErrClosed
		}
		if s.discarding && s.discardLimit <= 0 {
			return 0, connstate.ErrNoInput // the rest stays in the kernel, which slows down the sender
		}
		n, err := unix.Read(s.descriptor, b)
		switch {
		case n > 0 && s.discarding:
			s.discardLimit -= n
		case n > 0:
			return n, nil
		case err == nil && s.failed:
			// The kernel reports a reset only once, to a write or a read. If a write has failed with it, the next read
			// looks like an orderly end.
			return 0, net.ErrClosed
		case err == nil:
			return 0, io.EOF
		case errors.Is(err, unix.EINTR):
		default:
			return 0, s.failure(err)
		}
	}
}

// failure translates an error of a system call on the socket. Unless the call can be repeated, the connection has
// ended.
func (s *socket) failure(err error) error {
	switch {
	case errors.Is(err, unix.EAGAIN):
		return connstate.ErrNoInput
	case errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM):
		return connstate.ErrShortOfMemory
	}
	s.failed = true
	return err
}

// Write implements connstate.Socket.
func (s *socket) Write(b []byte) error {
	if s.unwritten.Len() > 0 {
		s.unwritten.Append(s.buffers, b)
		return nil
	}
	n, err := s.writeNow(b)
	if err == nil || errors.Is(err, connstate.ErrShortOfMemory) {
		s.unwritten.Append(s.buffers, b[n:])
	}
	return err
}

// writeNow writes as much as the kernel accepts. The error is nil if that is not everything for want of room.
func (s *socket) writeNow(b []byte) (written int, err error) {
	for written < len(b) {
		if s.descriptor == closedDescriptor || s.failed {
			return written, net.ErrClosed
		}
		n, err := unix.Write(s.descriptor, b[written:])
		if n > 0 {
			written += n
			s.conn.RecordWritten(n)
			continue
		}
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err = s.failure(err); errors.Is(err, connstate.ErrNoInput) {
			err = nil // the poller reports when there is room again
		}
		return written, err
	}
	return written, nil
}

// Flush implements connstate.Socket.
func (s *socket) Flush() error {
	for s.unwritten.Len() > 0 {
		first := s.unwritten.First()
		n, err := s.writeNow(first)
		s.unwritten.Consume(s.buffers, n)
		if err != nil || n < len(first) {
			return err
		}
	}
	return nil
}

// Close implements connstate.Socket.
//
// The kernel drops what an endpoint has not acknowledged, and sends a reset. Otherwise it would go on sending, for
// minutes if the endpoint is cut off, and the endpoint would process a request long after its attempt has ended.
func (s *socket) Close() {
	if s.conn.Side == connstate.EndpointSide && s.Unacknowledged() > finLength {
		s.Reset()
		return
	}
	s.closeDescriptor()
}

// Reset implements connstate.Socket. For a body that ends when the connection closes, only a reset distinguishes a
// truncated body from a complete one.
func (s *socket) Reset() {
	if s.descriptor == closedDescriptor {
		return
	}
	// This fails only if the peer has already ended the connection.
	_ = unix.SetsockoptLinger(s.descriptor, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	s.closeDescriptor()
}

func (s *socket) closeDescriptor() {
	if s.descriptor == closedDescriptor {
		return
	}
	_ = unix.Close(s.descriptor) // on Linux the descriptor is released whatever close returns
	s.descriptor = closedDescriptor
	s.unwritten.Clear(s.buffers)
	s.ahead.Clear(s.buffers)
}

// Idle implements connstate.Socket.
func (s *socket) Idle() bool {
	if s.descriptor == closedDescriptor || s.failed || s.unwritten.Len() > 0 || s.ahead.Len() > 0 {
		return false
	}
	var one [1]byte
	for {
		_, _, err := unix.Recvfrom(s.descriptor, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return errors.Is(err, unix.EAGAIN)
		}
	}
}

// DiscardInput implements connstate.Socket. It is called with the last response: a client that keeps sending must cost
// no memory, but must be able to read its response. If the socket were closed at once, the kernel would drop the
// response.
func (s *socket) DiscardInput() {
	s.discarding = true
	s.discardLimit = maxDiscarded - s.ahead.Len()
	s.ahead.Clear(s.buffers)
}

// Unacknowledged implements connstate.Socket.
func (s *socket) Unacknowledged() int {
	if s.descriptor == closedDescriptor {
		return 0
	}
	bytes, err := unix.IoctlGetInt(s.descriptor, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return bytes
}

// PeerWindow implements connstate.Socket.
func (s *socket) PeerWindow() int {
	info := s.info()
	if info == nil {
		return 0
	}
	return int(info.Snd_wnd)
}

// InputAge implements connstate.Socket.
func (s *socket) InputAge() policy.Time {
	info := s.info()
	if info == nil {
		return 0
	}
	return policy.Time(info.Last_data_recv) * policy.Millisecond
}

// info returns the kernel's statistics of the connection, nil if they are not available.
func (s *socket) info() *unix.TCPInfo {
	if s.descriptor == closedDescriptor {
		return nil
	}
	info, err := unix.GetsockoptTCPInfo(s.descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return nil
	}
	return info
}
