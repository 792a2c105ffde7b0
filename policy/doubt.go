package policy

// An endpoint that closes all connections, or can't be connected to, may have gone. What comes up at its
// address can be an endpoint of another group, until the list tells.

// Longest times until a change of the list is known.
const (
	pushedListDelay = 2 * Second
	polledListDelay = 6 * Second
)

// ConnectionsLost notes that the endpoint has closed all connections to it.
func (b *Balancer) ConnectionsLost(now Time, id EndpointID) {
	if index, known := b.table.indexes[id]; known {
		b.doubt(now, &b.table.endpoints[index])
	}
}

// listDelay returns how long the list may take to tell that an endpoint has gone.
func (b *Balancer) listDelay() Time {
	if b.settings.PollList {
		return polledListDelay
	}
	return pushedListDelay
}

// doubt notes that the endpoint may have gone.
func (b *Balancer) doubt(now Time, e *endpoint) {
	if !e.inDoubt(now) {
		e.doubtedAt = now
	}
	e.doubtedUntil = now + b.listDelay()
}

// inDoubt reports whether another endpoint may have come up at the endpoint's address.
func (e *endpoint) inDoubt(now Time) bool { return now < e.doubtedUntil && now >= e.doubtedAt }
