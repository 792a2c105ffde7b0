package httpproxy

import (
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// connector opens a connection to an address, with a timeout.
type connector func(addr string, timeout policy.Time) (net.Conn, error)

// newConnector returns a connector that dials from the local address source. If it is nil, the kernel picks one.
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

// dial opens the connection in a goroutine of its own and posts the result. nbio's dialler is not used: it neither says
// which connection has failed nor lets one be identified before it is established.
func (s *sockets) dial(conn *connstate.Conn, addr string, timeout policy.Time) {
	go func() {
		dialled, err := s.connect(addr, timeout)
		if err != nil {
			s.post(event{kind: eventClosed, conn: conn})
			return
		}
		c, err := nbio.NBConn(dialled)
		if err != nil {
			_ = dialled.Close() // nothing has been sent on it
			s.post(event{kind: eventClosed, conn: conn})
			return
		}
		conn.Socket = newSocket(c)
		c.SetSession(conn)
		if _, err := s.engine.AddConn(c); err != nil {
			_ = c.Close()                                // nothing has been sent on it
			s.post(event{kind: eventClosed, conn: conn}) // a second event for the same connection is ignored
		}
	}()
}
