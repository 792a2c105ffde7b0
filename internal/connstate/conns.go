package connstate

import (
	"slices"

	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Endpoint holds the connections to one endpoint.
type Endpoint struct {
	Endpoint      *engine.Endpoint
	Idle          []*Conn // idle connections; the one used last is at the end
	AwaitingReuse int     // attempts that wait until one of the idle connections may be reused
}

// Conns counts connections against the limits that follow from the allowed file descriptors. It also manages the idle
// connections to endpoints.
type Conns struct {
	Open           map[*Conn]struct{}
	Limit          [2]int // limit of the connections by side; over it, idle connections of that side are closed
	AcceptLimit    int    // maximum number of open client connections; over Limit, clients are still accepted up to it
	IdleClients    int    // number of idle client connections
	MaxIdleClients int    // number of idle client connections above which they are closed
	open           [2]int // number of open connections by side
	closing        [2]int // number of open connections that are being closed, by side
	opened         uint64 // number of connections opened so far
}

// ownDescriptors is the number of descriptors that the process needs for itself: standard streams, listener, pollers,
// discovery, and sockets that are duplicated while they are handed over.
const ownDescriptors = 24

// Minimum connection limits, for processes with few descriptors.
const (
	minEndpointConns = 4
	minClientConns   = 8
)

// NewConns returns the connection table of a process that may use the given number of descriptors.
func NewConns(descriptors int) *Conns {
	conns := &Conns{Open: map[*Conn]struct{}{}}
	conns.SetLimits(descriptors, 1)
	return conns
}

// SetLimits sets the limits of one of several processes that share the given number of descriptors. Each process needs
// ownDescriptors for itself. A request in flight needs one connection on either side, but client connections may also
// be idle. So clients get three fifths of the remaining descriptors and endpoints get two fifths. When client
// connections use more than seven eighths of their share, idle ones are closed.
func (conns *Conns) SetLimits(descriptors, processes int) {
	available := descriptors/processes - ownDescriptors
	endpoints := max(minEndpointConns, available*2/5)
	clients := max(minClientConns, available-endpoints)
	conns.Limit[ClientSide] = clients - clients/8
	conns.Limit[EndpointSide] = endpoints
	conns.AcceptLimit = clients
	conns.MaxIdleClients = clients / 4
}

// MarkIdle marks a client's connection as idle.
func (conns *Conns) MarkIdle(c *Conn) {
	if !c.Idle && !c.Closing {
		c.Idle = true
		conns.IdleClients++
	}
}

// MarkBusy marks a connection as no longer idle, because it has work or is being closed.
func (conns *Conns) MarkBusy(c *Conn) {
	if c.Idle {
		c.Idle = false
		conns.IdleClients--
	}
}

// Count returns the number of connections on that side that are open or being opened, without those being
// closed.
func (conns *Conns) Count(side Side) int { return conns.open[side] - conns.closing[side] }

// Add adds a connection that is being opened, and assigns its number.
func (conns *Conns) Add(c *Conn) {
	conns.opened++
	c.Number = conns.opened
	conns.Open[c] = struct{}{}
	conns.open[c.Side]++
}

// OverLimit reports whether the number of connections on that side exceeds the side's limit.
func (conns *Conns) OverLimit(side Side) bool { return conns.Count(side) > conns.Limit[side] }

// MarkClosing marks a connection that is being closed, for the given reason.
func (conns *Conns) MarkClosing(c *Conn, reason CloseReason) {
	conns.MarkBusy(c)
	c.Closing = true
	c.ClosedFor = reason
	conns.closing[c.Side]++
}

// Remove removes a connection whose socket is closed, and reports whether it was in Open. Count leaves a connection out
// from MarkClosing on, but its descriptor is in use until the socket is closed.
func (conns *Conns) Remove(c *Conn) bool {
	if _, open := conns.Open[c]; !open {
		return false
	}
	conns.MarkBusy(c)
	delete(conns.Open, c)
	conns.open[c.Side]--
	if c.Closing {
		conns.closing[c.Side]--
	}
	if c.Endpoint != nil {
		conns.RemoveIdle(c)
	}
	return true
}

// PutIdle adds a connection to the idle connections of its endpoint.
func (conns *Conns) PutIdle(c *Conn, now policy.Time) {
	c.IdleSince = now
	c.Endpoint.Idle = append(c.Endpoint.Idle, c)
}

// TakeIdle removes and returns an idle connection to the endpoint, or returns nil if none may be reused. A connection
// may be reused if it has not carried a request yet, or has been idle since idleBefore or longer: on one that was used
// more recently, more bytes may still arrive after the last response. TakeIdle takes the reusable connection that was
// used last, so that the others stay idle and are closed.
func (conns *Conns) TakeIdle(endpoint *Endpoint, idleBefore policy.Time) *Conn {
	for i := len(endpoint.Idle) - 1; i >= 0; i-- {
		c := endpoint.Idle[i]
		if !c.Used || c.IdleSince <= idleBefore {
			endpoint.Idle = slices.Delete(endpoint.Idle, i, i+1)
			return c
		}
	}
	return nil
}

// RemoveIdle removes the connection from the idle connections of its endpoint, and reports whether it was one of them.
func (conns *Conns) RemoveIdle(c *Conn) bool {
	idle := c.Endpoint.Idle
	for i := len(idle) - 1; i >= 0; i-- {
		if idle[i] == c {
			c.Endpoint.Idle = slices.Delete(idle, i, i+1)
			return true
		}
	}
	return false
}

// OldestIdle returns the connection on that side that has been idle for the longest time, or nil if none can be closed.
// The connection must have been idle since usedBefore, or since openedBefore if it has not carried a request yet.
func (conns *Conns) OldestIdle(side Side, usedBefore, openedBefore policy.Time) *Conn {
	var oldest *Conn
	for c := range conns.Open {
		limit := openedBefore
		if c.Used {
			limit = usedBefore
		}
		if c.Side != side || !c.closable() || c.IdleSince > limit {
			continue
		}
		if oldest == nil || c.IdleSince < oldest.IdleSince ||
			c.IdleSince == oldest.IdleSince && c.Number < oldest.Number {
			oldest = c
		}
	}
	return oldest
}

// closable reports whether the connection is established, carries no request and has no unprocessed input.
func (c *Conn) closable() bool {
	return c.Connected && !c.Closing && c.Vacant() && !c.Input.Readable && c.Flushed()
}
