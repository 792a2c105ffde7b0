package state

import (
	"sync/atomic"

	"pepperlead/policy"
)

// Link is the socket under a connection.
type Link interface {
	Write(b []byte) (int, error)
	Close() error
}

// Side is who is at the other end.
type Side uint8

const (
	Client Side = iota
	ToServer
	ToList
)

// Conn is one connection. The loop owns it, but for what is atomic: that is told by whoever serves the socket.
type Conn struct {
	Link    Link
	Side    Side
	Timer   Timer
	In      *Buffer // read and not yet used up
	Ticket  *Ticket // that it carries now
	Server  *Server // ToServer: whose
	Up      bool    // connected
	Dead    bool    // closed, or about to be: nothing more is read or sent
	Last    bool    // closes once all is written; what still comes is dropped
	Asked   bool    // the client has been asked for the body that it waits with
	Used    bool    // ToServer: has carried a push
	Since   policy.Time
	Queued  int64        // bytes given to the socket
	Written atomic.Int64 // of these, what the kernel has taken
	Unread  atomic.Int64 // bytes read that the loop has not looked at yet
}

// Flushed tells whether the kernel has taken all that was sent.
func (c *Conn) Flushed() bool { return c.Written.Load() >= c.Queued }

// Server is where pushes to one server go.
type Server struct {
	ID      policy.ServerID
	UID     string
	Addr    string
	Started policy.Time
	Leaving bool
	Idle    []*Conn // last used last
}

// Conns counts connections against the descriptors allowed, and holds those to servers that stand idle.
type Conns struct {
	MostClients, MostServers int
	Clients, ToServers       int // open or being opened
	Open                     map[*Conn]struct{}
	Servers                  map[policy.ServerID]*Server
}

// NewConns shares the descriptors out: both sides get half of what the process itself leaves over.
func NewConns(descriptors int) *Conns {
	each := max(4, (descriptors-ownDescriptors)/2)
	return &Conns{MostClients: each, MostServers: each, Open: map[*Conn]struct{}{},
		Servers: map[policy.ServerID]*Server{}}
}

// The process's own: standard streams, listener, pollers, discovery, and a socket held twice while it changes hands.
const ownDescriptors = 32

// Add counts a connection that is opened.
func (k *Conns) Add(c *Conn) {
	k.Open[c] = struct{}{}
	switch c.Side {
	case Client:
		k.Clients++
	case ToServer:
		k.ToServers++
	}
}

// Remove counts a connection that is closed; the only place where its descriptor counts as given back.
func (k *Conns) Remove(c *Conn) bool {
	if _, open := k.Open[c]; !open {
		return false
	}
	delete(k.Open, c)
	switch c.Side {
	case Client:
		k.Clients--
	case ToServer:
		k.ToServers--
		k.Unpark(c)
	}
	return true
}

// Park keeps a connection that carries nothing.
func (k *Conns) Park(c *Conn, now policy.Time) {
	c.Since = now
	c.Server.Idle = append(c.Server.Idle, c)
}

// Unpark takes the connection from those that stand idle, if it is among them.
func (k *Conns) Unpark(c *Conn) bool {
	idle := c.Server.Idle
	for i := len(idle) - 1; i >= 0; i-- {
		if idle[i] == c {
			c.Server.Idle = append(idle[:i], idle[i+1:]...)
			return true
		}
	}
	return false
}

// Oldest is the connection on that side that has been without work for longest, nil if all work.
func (k *Conns) Oldest(side Side) *Conn {
	var oldest *Conn
	for c := range k.Open {
		if c.Side == side && c.Up && !c.Dead && c.Ticket == nil && c.In == nil && c.Unread.Load() == 0 &&
			(oldest == nil || c.Since < oldest.Since) {
			oldest = c
		}
	}
	return oldest
}
