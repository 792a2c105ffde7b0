package coordinator

import (
	"net"
)

// at is a stream under the address at which others reach it.
type at struct {
	*stream
	where string
}

func (a at) Addr() net.Addr { return name(a.where) }

type name string

func (n name) Network() string { return "tcp" }
func (n name) String() string  { return string(n) }
