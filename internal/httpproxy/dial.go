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

// newConnector opens connections that leave from that address; nil: from whichever the kernel picks.
func newConnector(from net.IP) func(addr string, within policy.Time) (net.Conn, error) {
	var leave net.Addr
	if from != nil {
		leave = &net.TCPAddr{IP: from}
	}
	return func(addr string, within policy.Time) (net.Conn, error) {
		d := net.Dialer{Timeout: time.Duration(within), KeepAlive: -1, LocalAddr: leave, Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, endpointReceiveBuffer) })
		}}
		return d.Dial("tcp", addr)
	}
}

// dial opens the connection and tells the loop; dialling waits in a goroutine, as nbio's own neither says which
// connection failed nor lets one be told apart before it is up.
func (s *sockets) dial(conn *connstate.Conn, addr string, within policy.Time) {
	go func() {
		up, err := s.connect(addr, within)
		if err != nil {
			s.post(event{kind: eventClosed, conn: conn})
			return
		}
		c, err := nbio.NBConn(up)
		if err != nil {
			up.Close()
			s.post(event{kind: eventClosed, conn: conn})
			return
		}
		conn.Socket = newSocket(c)
		c.SetSession(conn)
		if _, err := s.engine.AddConn(c); err != nil {
			c.Close()
			s.post(event{kind: eventClosed, conn: conn}) // told twice at the most, which is harmless
		}
	}()
}
