package membership

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// wire is memberlist's own transport, counted, whose connections leave from the address that the packets leave from.
type wire struct {
	*memberlist.NetTransport
	own            string
	packets, bytes atomic.Uint64
}

// WriteToAddress sends a packet.
func (w *wire) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	w.packets.Add(1)
	w.bytes.Add(uint64(len(b)))
	return w.NetTransport.WriteToAddress(b, a)
}

// WriteTo sends a packet.
func (w *wire) WriteTo(b []byte, to string) (time.Time, error) {
	return w.WriteToAddress(b, memberlist.Address{Addr: to})
}

// DialAddressTimeout opens a connection.
func (w *wire) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within}
	if ip := net.ParseIP(w.own); ip != nil && !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	c, err := d.Dial("tcp", a.Addr)
	if err != nil {
		return nil, err
	}
	return &counted{c, w}, nil
}

// DialTimeout opens a connection.
func (w *wire) DialTimeout(to string, within time.Duration) (net.Conn, error) {
	return w.DialAddressTimeout(memberlist.Address{Addr: to}, within)
}

type counted struct {
	net.Conn
	w *wire
}

// Write counts what is sent.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.w.bytes.Add(uint64(n))
	return n, err
}
