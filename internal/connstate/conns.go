package connstate

import (
	"sync/atomic"

	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Link is the socket under a connection.
type Link interface {
	Write(b []byte) (int, error)
	Close() error
	Cut(c *Conn) bool   // closes it if nothing has come; the loop has heard of all else
	Quiet(c *Conn) bool // nothing has come, and the other end has not closed
	Hush()              // what still comes is thrown away, up to a bound
	Reset()             // closes it so that the other end sees no orderly end
}

// Side is who is at the other end.
type Side uint8

const (
	Client Side = iota
	ToServer
)

// Upload is what becomes of the body of a request that is too long to be cut off whole.
type Upload uint8

const (
	NoUpload  Upload = iota
	Collected        // it is held until it is whole, as long as it fits
	Passed           // it goes on to an endpoint as it comes, or nowhere if its request has ended
)

// Conn is one connection. The loop owns it, but for what is atomic: that is told by whoever serves the socket.
type Conn struct {
	Link     Link
	Side     Side
	Timer    engine.Timer
	In       *Buffer      // read and not yet used up
	Request  *Request     // that it carries now
	Endpoint *Endpoint    // ToServer: whose
	Life     int          // of the endpoint, when this was dialled
	Up       bool         // connected
	Dead     bool         // closed, or about to be: nothing more is read or sent
	Left     atomic.Bool  // the other end has closed behind what has come of it; its end will be told
	EOF      atomic.Bool  // the other end has ended its sending in order; a connection that ends without that was reset
	Last     bool         // closes once all is written; what still comes is dropped
	Waits    bool         // with its next request for the last answer to be taken
	Asked    bool         // the client has been asked for the body that it waits with
	Rests    bool         // has had its answer, and nothing has come since
	Used     bool         // has carried something
	Since    policy.Time  // when it came, or last had work
	No       uint64       // counts connections
	Queued   int64        // bytes given to the socket
	Written  atomic.Int64 // of these, what the kernel has taken
	Unread   atomic.Int64 // bytes read that the loop has not looked at yet
	Ahead    atomic.Int64 // memory that these take
	Stop     atomic.Bool  // what has not been read stays where it is, until whoever gets it has taken what waits
	Tell     atomic.Int64 // bytes written of which the loop wants to hear; 0: none
	Frame    Frame        // of a body that is handed on as it comes
	Upload   Upload       // what becomes of the body that is coming
	Size     int          // of that body; -1: not told
	BodyAt   int          // where it begins in In, while it is collected
	After    bool         // the connection closes once that body has come
	Need     int          // bytes with which what In holds is whole, where that is known
	HeadAt   policy.Time  // when the head was whole, of what In holds
	Moved    int64        // bytes at the latest look whether any had moved
	MovedAt  policy.Time  // when they last had
	Due      atomic.Int64 // bytes with which a request is whole; 0: none is being written
	Whole    *atomic.Int64
}

// Took notes what the kernel has taken, and counts the request whose last byte was in it.
func (c *Conn) Took(n int) (all int64) {
	all = c.Written.Add(int64(n))
	if due := c.Due.Load(); due > 0 && all >= due && c.Due.CompareAndSwap(due, 0) {
		c.Whole.Add(1)
	}
	return all
}

// Waiting is how many bytes the kernel has not taken.
func (c *Conn) Waiting() int64 { return c.Queued - c.Written.Load() }

// Moves tells whether bytes have moved for so long; all counts them.
func (c *Conn) Moves(now policy.Time, all int64, within policy.Time) bool {
	if all != c.Moved || c.MovedAt == 0 {
		c.Moved, c.MovedAt = all, now
	}
	return now-c.MovedAt <= within
}

// Flushed tells whether the kernel has taken all that was sent.
func (c *Conn) Flushed() bool { return c.Written.Load() >= c.Queued }

// Endpoint holds the connections to one endpoint.
type Endpoint struct {
	Of      *engine.Endpoint
	Idle    []*Conn // last used last
	Awaited int     // of these, for how many an attempt waits until they have rested
}

// Conns counts connections against the descriptors allowed, and holds those to endpoints that stand idle.
type Conns struct {
	Open    map[*Conn]struct{}
	Most    [2]int // by side; clients beyond it are let in, and room is made for them
	Accept  int    // clients that may be open at once
	Resting int    // clients that rest
	Idle    int    // of these, more than are welcome
	open    [2]int
	made    uint64
	ending  [2]int // of these, closed but not yet told so
}

// The process's own: standard streams, listener, pollers, discovery, and sockets held twice while they change hands.
const ownDescriptors = 24

// NewConns shares the descriptors out. A request in hand needs one on either side, but a connection of a client may also
// stand idle, or say nothing: so clients get three fifths of what the process itself leaves over, of which room is made in
// the last eighth, and endpoints get the rest.
func NewConns(descriptors int) *Conns {
	k := &Conns{Open: map[*Conn]struct{}{}}
	k.Share(descriptors, 1)
	return k
}

// Share sets the limits for one of so many processes that have these descriptors together; each needs some of its own.
func (k *Conns) Share(descriptors, processes int) {
	left := descriptors/processes - ownDescriptors
	servers := max(4, left*2/5)
	accept := max(8, left-servers)
	k.Most, k.Accept, k.Idle = [2]int{accept - accept/8, servers}, accept, accept/4
}

// Rest notes that a client's connection has nothing to do.
func (k *Conns) Rest(c *Conn) {
	if !c.Rests && !c.Dead {
		c.Rests = true
		k.Resting++
	}
}

// Work notes that it has, or is gone.
func (k *Conns) Work(c *Conn) {
	if c.Rests {
		c.Rests = false
		k.Resting--
	}
}

// Count is how many connections are open, or being opened, on that side.
func (k *Conns) Count(side Side) int { return k.open[side] - k.ending[side] }

// Add counts a connection that is opened.
func (k *Conns) Add(c *Conn) {
	k.made++
	c.No = k.made
	k.Open[c] = struct{}{}
	k.open[c.Side]++
}

// Over tells whether more are open on that side than should be.
func (k *Conns) Over(side Side) bool { return k.Count(side) > k.Most[side] }

// End marks a connection that is being closed.
func (k *Conns) End(c *Conn) {
	k.Work(c)
	c.Dead = true
	k.ending[c.Side]++
}

// Remove counts a connection that is closed; the only place where its descriptor is given back. false: it was before.
func (k *Conns) Remove(c *Conn) bool {
	if _, open := k.Open[c]; !open {
		return false
	}
	k.Work(c)
	delete(k.Open, c)
	k.open[c.Side]--
	if c.Dead {
		k.ending[c.Side]--
	}
	if c.Endpoint != nil {
		k.Unpark(c)
	}
	return true
}

// Park keeps a connection that carries nothing.
func (k *Conns) Park(c *Conn, now policy.Time) {
	c.Since = now
	c.Endpoint.Idle = append(c.Endpoint.Idle, c)
}

// Take takes a connection to the endpoint from those that stand idle, nil if there is none: the last used, so that the others
// grow old and are closed, of those that have stood idle since rested or have carried nothing yet: on others more may be on its way behind
// an answer.
func (k *Conns) Take(server *Endpoint, rested policy.Time) *Conn {
	at := len(server.Idle) - 1
	for at >= 0 && server.Idle[at].Used && server.Idle[at].Since > rested {
		at--
	}
	if at < 0 {
		return nil
	}
	c := server.Idle[at]
	server.Idle = append(server.Idle[:at], server.Idle[at+1:]...)
	return c
}

// Unpark takes the connection from those that stand idle, if it is among them.
func (k *Conns) Unpark(c *Conn) bool {
	idle := c.Endpoint.Idle
	for i := len(idle) - 1; i >= 0; i-- {
		if idle[i] == c {
			c.Endpoint.Idle = append(idle[:i], idle[i+1:]...)
			return true
		}
	}
	return false
}

// Oldest is the connection on that side that has been without work for longest, nil if there is none to spare: idle gives
// the time since when it must have been idle, fresh the same for one that has carried nothing yet.
func (k *Conns) Oldest(side Side, idle, fresh policy.Time) *Conn {
	var oldest *Conn
	for c := range k.Open {
		if c.Side != side || !c.Up || c.Dead || c.Request != nil || c.In != nil || c.Upload != NoUpload || c.Unread.Load() > 0 ||
			c.Used && c.Since > idle || !c.Used && c.Since > fresh {
			continue
		}
		if oldest == nil || c.Since < oldest.Since || c.Since == oldest.Since && c.No < oldest.No {
			oldest = c
		}
	}
	return oldest
}
