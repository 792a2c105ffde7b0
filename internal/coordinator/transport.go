package coordinator

import "net"

// advertisedStream is a stream layer that reports the address that the other coordinators dial.
type advertisedStream struct {
	*streamLayer
	address advertisedAddress
}

// Addr returns the advertised address.
func (s advertisedStream) Addr() net.Addr { return s.address }

// advertisedAddress is a net.Addr that holds host and port as text.
type advertisedAddress string

// Network returns "tcp".
func (advertisedAddress) Network() string { return "tcp" }

// String returns the address.
func (a advertisedAddress) String() string { return string(a) }
