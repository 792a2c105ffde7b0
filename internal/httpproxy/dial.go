package httpproxy

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// endpointReceiveBuffer is the kernel's buffer for input from an endpoint, in bytes. It bounds how far an endpoint can
// be ahead of a client that reads slowly.
const endpointReceiveBuffer = 64 << 10

// connector opens a connection to an address, with a timeout.
type connector func(addr string, timeout policy.Time) (net.Conn, error)

// newConnector returns a connector that dials from the local address source. If source is nil, the kernel picks one.
func newConnector(source net.IP) connector {
	var local net.Addr
	if source != nil {
		local = &net.TCPAddr{IP: source}
	}
	return func(addr string, timeout policy.Time) (net.Conn, error) {
		d := net.Dialer{
			Timeout:   time.Duration(timeout),
			KeepAlive: -1,
			LocalAddr: local,
			Control:   setReceiveBuffer,
		}
		return d.Dial("tcp", addr)
	}
}

func setReceiveBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// If this fails, the kernel's default applies.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, endpointReceiveBuffer)
	})
}

// dialFailure says whose fault it is that a connection was not established.
type dialFailure uint8

const (
	endpointFailure dialFailure = iota // refused, not answered or not reachable
	localFailure                       // this machine lacks a port, a descriptor or memory
)

// failureOf returns whose fault the error of a dial is.
func failureOf(err error) dialFailure {
	for _, local := range []error{unix.EADDRNOTAVAIL, unix.EADDRINUSE, unix.EMFILE, unix.ENFILE, unix.ENOBUFS,
		unix.ENOMEM, unix.EAGAIN} {
		if errors.Is(err, local) {
			return localFailure
		}
	}
	return endpointFailure
}

// dial opens the connection in a goroutine of its own and posts the result.
func (s *sockets) dial(conn *connstate.Conn, addr string, timeout policy.Time) {
	go func() {
		dialled, err := s.connect(addr, timeout)
		if err != nil {
			s.post(event{kind: eventClosed, conn: conn, failure: failureOf(err)})
			return
		}
		descriptor, err := takeDescriptor(dialled)
		if err != nil {
			s.post(event{kind: eventClosed, conn: conn, failure: localFailure})
			return
		}
		s.post(event{kind: eventConnected, conn: conn, socket: s.newSocket(descriptor, conn)})
	}()
}

// takeDescriptor returns a descriptor of the connection that the runtime's poller does not use, and closes the
// connection's own. Errors are those of dup(2), such as EMFILE.
func takeDescriptor(conn net.Conn) (descriptor int, err error) {
	defer func() { _ = conn.Close() }() // the duplicate keeps the connection open
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return closedDescriptor, errors.New("the connection has no descriptor")
	}
	return duplicate(withDescriptor)
}

// duplicate duplicates a descriptor. Errors are those of dup(2).
func duplicate(conn syscall.Conn) (descriptor int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return closedDescriptor, err
	}
	var failure error
	err = raw.Control(func(fd uintptr) { descriptor, failure = unix.Dup(int(fd)) })
	return descriptor, errors.Join(err, failure)
}
