package connstate

import (
	"sync/atomic"

	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Socket is the socket under a connection.
type Socket interface {
	Write(b []byte) (int, error)
	Close() error
	CloseIfIdle(c *Conn) bool // closes it if nothing has come; the loop has heard of all else
	Idle(c *Conn) bool        // nothing has come, and the other end has not closed
	DiscardInput()            // what still comes is thrown away, up to a bound
	Reset()                   // closes it so that the other end sees no orderly end
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
	Streamed         // it goes on to an endpoint as it comes, or nowhere if its request has ended
)

// Conn is one connection. The loop owns it, but for what is atomic: that is told by whoever serves the socket.
type Conn struct {
	Socket           Socket
	Side             Side
	Timer            engine.Timer
	In               *Buffer      // read and not yet used up
	Request          *Request     // that it carries now
	Endpoint         *Endpoint    // ToServer: whose
	Generation       int          // of the endpoint, when this was dialled
	Connected        bool         // connected
	Closing          bool         // closed, or about to be: nothing more is read or sent
	PeerClosed       atomic.Bool  // the other end has closed behind what has come of it; its end will be told
	EOF              atomic.Bool  // the other end has ended its sending in order; a connection that ends without that was reset
	CloseWhenFlushed bool         // closes once all is written; what still comes is dropped
	AwaitingFlush    bool         // with its next request for the last answer to be taken
	ContinueSent     bool         // the client has been asked for the body that it waits with
	Resting          bool         // has had its answer, and nothing has come since
	Used             bool         // has carried something
	Since            policy.Time  // when it came, or last had work
	No               uint64       // counts connections
	Queued           int64        // bytes given to the socket
	Written          atomic.Int64 // of these, what the kernel has taken
	Unread           atomic.Int64 // bytes read that the loop has not looked at yet
	UnreadMemory     atomic.Int64 // memory that these take
	ReadPaused       atomic.Bool  // what has not been read stays where it is, until whoever gets it has taken what waits
	NotifyAt         atomic.Int64 // bytes written of which the loop wants to hear; 0: none
	Frame            Frame        // of a body that is handed on as it comes
	Upload           Upload       // what becomes of the body that is coming
	Size             int          // of that body; -1: not told
	BodyAt           int          // where it begins in In, while it is collected
	CloseAfterBody   bool         // the connection closes once that body has come
	Need             int          // bytes with which what In holds is whole, where that is known
	HeadAt           policy.Time  // when the head was whole, of what In holds
	ProgressBytes    int64        // bytes at the latest look whether any had moved
	ProgressAt       policy.Time  // when they last had
	CompleteAt       atomic.Int64 // bytes with which a request is whole; 0: none is being written
	Whole            *atomic.Int64
}

// RecordRead notes what the kernel has taken, and counts the request whose last byte was in it.
func (c *Conn) RecordRead(n int) (all int64) {
	all = c.Written.Add(int64(n))
	if due := c.CompleteAt.Load(); due > 0 && all >= due && c.CompleteAt.CompareAndSwap(due, 0) {
		c.Whole.Add(1)
	}
	return all
}

// Waiting is how many bytes the kernel has not taken.
func (c *Conn) Waiting() int64 { return c.Queued - c.Written.Load() }

// Progressed tells whether bytes have moved for so long; all counts them.
func (c *Conn) Progressed(now policy.Time, all int64, within policy.Time) bool {
	if all != c.ProgressBytes || c.ProgressAt == 0 {
		c.ProgressBytes, c.ProgressAt = all, now
	}
	return now-c.ProgressAt <= within
}

// Flushed tells whether the kernel has taken all that was sent.
func (c *Conn) Flushed() bool { return c.Written.Load() >= c.Queued }

// Endpoint holds the connections to one endpoint.
type Endpoint struct {
	Endpoint *engine.Endpoint
	Idle     []*Conn // last used last
	Awaited  int     // of these, for how many an attempt waits until they have rested
}

// Conns counts connections against the descriptors allowed, and holds those to endpoints that stand idle.
type Conns struct {
	Open          map[*Conn]struct{}
	Limit         [2]int // by side; clients beyond it are let in, and room is made for them
	AcceptLimit   int    // clients that may be open at once
	RestingCount  int    // clients that rest
	ExcessResting int    // of these, more than are welcome
	open          [2]int
	made          uint64
	ending        [2]int // of these, closed but not yet told so
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
	k.Limit, k.AcceptLimit, k.ExcessResting = [2]int{accept - accept/8, servers}, accept, accept/4
}

// Rest notes that a client's connection has nothing to do.
func (k *Conns) Rest(c *Conn) {
	if !c.Resting && !c.Closing {
		c.Resting = true
		k.RestingCount++
	}
}

// Work notes that it has, or is gone.
func (k *Conns) Work(c *Conn) {
	if c.Resting {
		c.Resting = false
		k.RestingCount--
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

// OverLimit tells whether more are open on that side than should be.
func (k *Conns) OverLimit(side Side) bool { return k.Count(side) > k.Limit[side] }

// CountEnd marks a connection that is being closed.
func (k *Conns) CountEnd(c *Conn) {
	k.Work(c)
	c.Closing = true
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
	if c.Closing {
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
		if c.Side != side || !c.Connected || c.Closing || c.Request != nil || c.In != nil || c.Upload != NoUpload || c.Unread.Load() > 0 ||
			c.Used && c.Since > idle || !c.Used && c.Since > fresh {
			continue
		}
		if oldest == nil || c.Since < oldest.Since || c.Since == oldest.Since && c.No < oldest.No {
			oldest = c
		}
	}
	return oldest
}
