package admin

import (
	"net"
	"sync"
)

// limitListener limits the connections that are open at once, so that they can't take the descriptors that requests
// need.
type limitListener struct {
	net.Listener
	slots chan struct{}
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, slots: make(chan struct{}, limit)}
}

// Accept waits for a free slot and a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.slots }}, nil
}

// limitedConn is a connection that holds a slot until it is closed.
type limitedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// Close closes the connection and releases its slot, once.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
