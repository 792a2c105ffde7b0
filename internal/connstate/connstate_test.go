package connstate

import (
	"bytes"
	"math/rand"
	"testing"
	"testing/quick"

	"pepperlead/internal/engine"
	"pepperlead/policy"
)

func check(t *testing.T, seed int64, property any) {
	t.Helper()
	if err := quick.Check(property, &quick.Config{MaxCount: 200, Rand: rand.New(rand.NewSource(seed))}); err != nil {
		t.Error(err)
	}
}

// Joined buffers hold the bytes of all parts, and bytes of returned buffers are no longer counted as in use.
func TestBuffersAreJoinedAndReturned(t *testing.T) {
	check(t, 2, func(parts [][]byte, size uint16) bool {
		p := &Buffers{Limit: 1}
		var all []byte
		var b *Buffer
		parts = append(parts, make([]byte, size), make([]byte, 2*int(size)))
		for _, part := range parts {
			if len(part) == 0 {
				continue
			}
			next := p.Get(len(part))
			if len(next.B) != 0 || cap(next.B) < len(part) {
				return false
			}
			next.B = append(next.B, part...)
			b, all = p.Join(b, next), append(all, part...)
		}
		if b == nil {
			return p.InUse() == 0 && !p.Full()
		}
		complete, counted := bytes.Equal(b.B, all), p.InUse() >= len(all) && p.Full()
		p.Put(b)
		return complete && counted && p.InUse() == 0 && !p.Full()
	})
}

func TestRequestsAreReused(t *testing.T) {
	request, p := &engine.Request{}, &Buffers{}
	first := AsRequest(request)
	first.Received, first.Response.Buffer, first.Response.Status = p.Get(1), p.Get(LargeBuffer), 200
	first.ReleaseBuffers(p)
	if again := AsRequest(request); p.InUse() != 0 || again != first || again.Received != nil || again.Response.Status != 0 || again.Request != request {
		t.Error("the request is not reused, or not cleared")
	}
}

// OldestIdle skips a connection that was opened so recently that its first request may be about to arrive: closing it would lose
// that request.
func TestOldestIdleConnection(t *testing.T) {
	conns := NewConns(64)
	var all []*Conn
	for i := range 5 {
		c := &Conn{Connected: true, Used: true, IdleSince: policy.Time(10 - i)}
		conns.Add(c)
		all = append(all, c)
	}
	all[4].Used, all[3].Input.Buffer = false, &Buffer{}
	if got := conns.OldestIdle(ClientSide, 10, 5); got != all[2] {
		t.Errorf("got %+v, want the used connection that is idle longest", got)
	}
	if got := conns.OldestIdle(ClientSide, 10, 6); got != all[4] {
		t.Errorf("got %+v, want the unused connection", got)
	}
	if got := conns.OldestIdle(ClientSide, 7, 5); got != nil {
		t.Errorf("got %+v, want no connection", got)
	}
	conns.MarkClosing(all[4], IdleConnection)
	if conns.Count(ClientSide) != 4 || !conns.Remove(all[4]) || conns.Remove(all[4]) || conns.Count(ClientSide) != 4 {
		t.Error("a closed connection is counted, or was removed twice")
	}
}
