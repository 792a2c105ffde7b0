package membership

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is memberlist's network transport with counters. Its connections use the same local address as its packets,
// so that a network fault between two addresses affects both.
type transport struct {
	*memberlist.NetTransport
	localAddress string
	packets      atomic.Uint64 // number of packets sent
	bytes        atomic.Uint64 // bytes sent in packets and over connections
}

// WriteToAddress sends a packet.
func (t *transport) WriteToAddress(packet []byte, to memberlist.Address) (time.Time, error) {
	t.packets.Add(1)
	t.bytes.Add(uint64(len(packet)))
	return t.NetTransport.WriteToAddress(packet, to)
}

// WriteTo sends a packet.
func (t *transport) WriteTo(packet []byte, address string) (time.Time, error) {
	return t.WriteToAddress(packet, memberlist.Address{Addr: address})
}

// DialAddressTimeout opens a connection.
func (t *transport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if ip := net.ParseIP(t.localAddress); ip != nil && !ip.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	conn, err := dialer.Dial("tcp", to.Addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, t}, nil
}

// DialTimeout opens a connection.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: address}, timeout)
}

// countingConn is a connection that adds the bytes it sends to the transport's counter.
type countingConn struct {
	net.Conn
	transport *transport
}

// Write sends bytes and counts them.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transport.bytes.Add(uint64(n))
	return n, err
}
