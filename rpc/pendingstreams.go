package rpc

import (
	"context"
	"net"
	"slices"
	"sync"

	"pepperlead/internal/clock"
	"pepperlead/policy"
)

// pendingStreams holds the streams of a connection whose HEADERS frame is not written yet, in the order in which they
// began.
type pendingStreams struct {
	clock clock.Clock

	mu      sync.Mutex // guards the fields below
	streams []pendingStream
	lastID  uint64
}

type pendingStream struct {
	id        uint64
	decidedAt policy.Time // when the loop decided on its attempt
}

// add adds a stream and returns its id.
func (p *pendingStreams) add(decidedAt policy.Time) (id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	p.streams = append(p.streams, pendingStream{id: p.lastID, decidedAt: decidedAt})
	return p.lastID
}

// remove removes a stream that has ended, if it is still pending.
func (p *pendingStreams) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.streams, func(s pendingStream) bool { return s.id == id })
	if i >= 0 {
		p.streams = slices.Delete(p.streams, i, i+1)
	}
}

// takeOldest removes the oldest stream and returns when its attempt was decided on; 0 if there is no stream.
func (p *pendingStreams) takeOldest() policy.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.streams) == 0 {
		return 0
	}
	decidedAt := p.streams[0].decidedAt
	p.streams = slices.Delete(p.streams, 0, 1)
	return decidedAt
}

func (p *pendingStreams) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams = p.streams[:0]
}

// dial connects to an endpoint through a guardedConn.
func (p *pendingStreams) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.clear() // streams begun on an earlier connection are not sent on this one
	return &guardedConn{Conn: conn, pending: p}, nil
}
