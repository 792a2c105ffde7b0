package connstate

import (
	"slices"

	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Endpoint holds the connections to one endpoint.
type Endpoint struct {
	Endpoint *engine.Endpoint
	Idle     []*Conn // last used last
	Awaited  int     // attempts that wait for one of the idle connections to have rested
}

// Conns counts connections against the descriptors allowed, and holds the idle ones to endpoints.
type Conns struct {
	Open          map[*Conn]struct{}
	Limit         [2]int // by side; clients beyond it are let in, and room is made for them
	AcceptLimit   int    // clients that may be open at once
	RestingCount  int    // clients that rest
	ExcessResting int    // resting clients above which connections are closed
	open          [2]int
	closing       [2]int // open connections that are being closed
	opened        uint64
}

// ownDescriptors are the process's own: standard streams, listener, pollers, discovery, and sockets that are duplicated
// while they change hands.
const ownDescriptors = 24

// Smallest limits of connections, for processes with few descriptors.
const (
	minEndpointConns = 4
	minClientConns   = 8
)

// NewConns returns the table of connections of a process with so many descriptors.
func NewConns(descriptors int) *Conns {
	k := &Conns{Open: map[*Conn]struct{}{}}
	k.SetLimits(descriptors, 1)
	return k
}

// SetLimits sets the limits of one of several processes that share these descriptors; each needs some of its own.
// A request in flight needs a connection on either side, but a client's connection may also be idle: so clients get
// three fifths of what the process leaves over, in the last eighth of which room is made, and endpoints get the rest.
func (k *Conns) SetLimits(descriptors, processes int) {
	available := descriptors/processes - ownDescriptors
	endpoints := max(minEndpointConns, available*2/5)
	clients := max(minClientConns, available-endpoints)
	k.Limit[ClientSide] = clients - clients/8
	k.Limit[EndpointSide] = endpoints
	k.AcceptLimit = clients
	k.ExcessResting = clients / 4
}

// MarkResting notes that a client's connection has no work.
func (k *Conns) MarkResting(c *Conn) {
	if !c.Resting && !c.Closing {
		c.Resting = true
		k.RestingCount++
	}
}

// MarkBusy notes that a connection has work, or is gone.
func (k *Conns) MarkBusy(c *Conn) {
	if c.Resting {
		c.Resting = false
		k.RestingCount--
	}
}

// Count returns how many connections are open, or being opened, on that side.
func (k *Conns) Count(side Side) int { return k.open[side] - k.closing[side] }

// Add counts a connection that is opened.
func (k *Conns) Add(c *Conn) {
	k.opened++
	c.Number = k.opened
	k.Open[c] = struct{}{}
	k.open[c.Side]++
}

// OverLimit reports whether more connections are open on that side than should be.
func (k *Conns) OverLimit(side Side) bool { return k.Count(side) > k.Limit[side] }

// MarkClosing marks a connection that is being closed.
func (k *Conns) MarkClosing(c *Conn) {
	k.MarkBusy(c)
	c.Closing = true
	k.closing[c.Side]++
}

// Remove counts a connection that is closed and reports whether it was open before. It is the only place where the
// descriptor is given back.
func (k *Conns) Remove(c *Conn) bool {
	if _, open := k.Open[c]; !open {
		return false
	}
	k.MarkBusy(c)
	delete(k.Open, c)
	k.open[c.Side]--
	if c.Closing {
		k.closing[c.Side]--
	}
	if c.Endpoint != nil {
		k.RemoveIdle(c)
	}
	return true
}

// PutIdle keeps a connection to an endpoint that carries nothing.
func (k *Conns) PutIdle(c *Conn, now policy.Time) {
	c.IdleSince = now
	c.Endpoint.Idle = append(c.Endpoint.Idle, c)
}

// TakeIdle removes and returns an idle connection to the endpoint, nil if there is none. Of those that have been idle
// since rested, or have carried nothing yet, it is the last used, so that the others age and are closed. On others more
// may be on its way behind a response.
func (k *Conns) TakeIdle(endpoint *Endpoint, rested policy.Time) *Conn {
	for i := len(endpoint.Idle) - 1; i >= 0; i-- {
		c := endpoint.Idle[i]
		if !c.Used || c.IdleSince <= rested {
			endpoint.Idle = slices.Delete(endpoint.Idle, i, i+1)
			return c
		}
	}
	return nil
}

// RemoveIdle removes the connection from the idle ones and reports whether it was among them.
func (k *Conns) RemoveIdle(c *Conn) bool {
	idle := c.Endpoint.Idle
	for i := len(idle) - 1; i >= 0; i-- {
		if idle[i] == c {
			c.Endpoint.Idle = slices.Delete(idle, i, i+1)
			return true
		}
	}
	return false
}

// OldestIdle returns the connection on that side that has been idle for longest, nil if there is none to spare. It must
// have been idle since usedBefore, or, if it has carried nothing yet, since openedBefore.
func (k *Conns) OldestIdle(side Side, usedBefore, openedBefore policy.Time) *Conn {
	var oldest *Conn
	for c := range k.Open {
		limit := openedBefore
		if c.Used {
			limit = usedBefore
		}
		if c.Side != side || !c.spare() || c.IdleSince > limit {
			continue
		}
		if oldest == nil || c.IdleSince < oldest.IdleSince ||
			c.IdleSince == oldest.IdleSince && c.Number < oldest.Number {
			oldest = c
		}
	}
	return oldest
}

// spare reports whether the connection carries nothing and nothing has come on it.
func (c *Conn) spare() bool {
	return c.Connected && !c.Closing && c.Request == nil &&
		c.Input.Buffer == nil && c.Upload.State == NoUpload && c.Input.Unread.Load() <= 0
}
