package rpc

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"

	"pepperlead/internal/clock"
	"pepperlead/internal/daemon"
	"pepperlead/policy"
)

// begun holds when the streams were decided on whose first frame is not written yet, in their order.
type begun struct {
	clock clock.Clock
	mu    sync.Mutex
	at    []mark
	no    uint64
}

type mark struct {
	no uint64
	at policy.Time
}

// add notes a stream that is begun on a decision of that moment, and names it.
func (b *begun) add(decided policy.Time) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.no++
	b.at = append(b.at, mark{b.no, decided})
	return b.no
}

// drop takes one out that was never written, as it is over.
func (b *begun) drop(no uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, m := range b.at {
		if m.no == no {
			b.at = append(b.at[:i], b.at[i+1:]...)
			return
		}
	}
}

// take gives the oldest; 0 if there is none.
func (b *begun) take() policy.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.at) == 0 {
		return 0
	}
	at := b.at[0].at
	b.at = append(b.at[:0], b.at[1:]...)
	return at
}

var errStale = errors.New("pepperlead: the process stood still between a call and its sending")

// guarded is a connection that does not let a stream begin on the wire long after it was decided on here: a process that is stopped
// in between would push, as it goes on, to a server that has drained meanwhile. It reads what HTTP/2 frames there are (RFC 9113,
// 3.4 and 4.1); below TLS it cannot, and lets all pass.
type guarded struct {
	net.Conn
	begun *begun
	off   bool
	seen  bool // the preface
	head  []byte
	skip  int // bytes of the frame that is being written
}

var preface = []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")

const headersFrame = 1

func (g *guarded) Write(b []byte) (int, error) {
	if !g.off && !g.fresh(b) {
		g.Conn.Close()
		return 0, errStale
	}
	return g.Conn.Write(b)
}

// fresh looks through the frames in b; false: one of them begins a stream too late.
func (g *guarded) fresh(b []byte) bool {
	if !g.seen {
		if !bytes.HasPrefix(b, preface) {
			g.off = true
			return true
		}
		g.seen, b = true, b[len(preface):]
	}
	for len(b) > 0 {
		if g.skip > 0 {
			n := min(g.skip, len(b))
			g.skip, b = g.skip-n, b[n:]
			continue
		}
		n := min(9-len(g.head), len(b))
		g.head, b = append(g.head, b[:n]...), b[n:]
		if len(g.head) < 9 {
			return true
		}
		kind := g.head[3]
		g.skip = int(g.head[0])<<16 | int(g.head[1])<<8 | int(g.head[2])
		g.head = g.head[:0]
		if kind != headersFrame {
			continue
		}
		if at := g.begun.take(); at > 0 && g.begun.clock.Now()-at > daemon.StallAfter {
			return false
		}
	}
	return true
}

// dialer connects to a server through a guard.
func (b *begun) dialer(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.at = b.at[:0] // what was begun on a connection of before is not sent on this one
	b.mu.Unlock()
	return &guarded{Conn: conn, begun: b}, nil
}
