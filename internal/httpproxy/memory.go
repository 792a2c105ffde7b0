package httpproxy

import (
	"cmp"
	"slices"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

const (
	// stalledAfter is how long the client of an incomplete request has sent nothing when its memory may be needed for
	// other requests.
	stalledAfter = 300 * policy.Millisecond
	// stalledSearchInterval is the least time between two searches for such requests.
	stalledSearchInterval = 50 * policy.Millisecond
)

// hasRoom reports whether there is memory for another request. If there is not, it rejects incomplete requests whose
// clients have stopped sending.
func (p *Proxy) hasRoom(now policy.Time) bool {
	if p.buffers.Full() && now >= p.nextStalledSearch {
		p.nextStalledSearch = now + stalledSearchInterval
		p.rejectStalled(now)
	}
	return !p.buffers.Full()
}

// rejectStalled rejects the stalled requests, in the order in which they stalled, until an eighth of the memory is
// free.
func (p *Proxy) rejectStalled(now policy.Time) {
	var stalled []*connstate.Conn
	for c := range p.conns.Open {
		if isStalled(now, c) {
			stalled = append(stalled, c)
		}
	}
	slices.SortFunc(stalled, func(a, b *connstate.Conn) int {
		return cmp.Or(cmp.Compare(a.Input.ArrivedAt, b.Input.ArrivedAt), cmp.Compare(a.Number, b.Number))
	})
	for _, c := range stalled {
		if p.buffers.InUse() <= p.buffers.Limit-p.buffers.Limit/8 {
			return
		}
		p.Timers.Stop(&c.Timer)
		if c.Upload.State != connstate.NoUpload {
			p.endUpload(c)
		}
		p.rejectForMemory(now, c)
	}
}

// isStalled reports whether the connection holds a part of a request whose client has stopped sending.
func isStalled(now policy.Time, c *connstate.Conn) bool {
	incomplete := c.Side == connstate.ClientSide && c.Request == nil && c.Input.Buffer != nil
	unread := c.Input.Readable || c.InReady
	ending := c.Closing || c.Output.CloseWhenFlushed
	return incomplete && !unread && !ending && c.Flushed() && now-c.Input.ArrivedAt >= stalledAfter
}
