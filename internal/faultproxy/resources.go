package faultproxy

import (
	"errors"
	"io"
	"net"
)

// errClosed reports that the network was closed.
var errClosed = errors.New("faultproxy: the network is closed")

// addConn adds a connection that Close closes. If the network is closed already, it closes the connection and returns
// false.
func (n *Network) addConn(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = conn.Close() // unused yet
		return false
	}
	n.conns[conn] = struct{}{}
	return true
}

// closeConn closes and removes a connection.
func (n *Network) closeConn(conn net.Conn) {
	_ = conn.Close() // all bytes have been relayed, or the other side has failed
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

// addListener adds a listener that Close closes. If the network is closed already, it closes the listener.
func (n *Network) addListener(listener io.Closer) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return errors.Join(errClosed, listener.Close())
	}
	n.listeners = append(n.listeners, listener)
	return nil
}
