package connstate

import (
	"bytes"
	"math/rand"
	"testing"
	"testing/quick"

	"pepperlead/internal/engine"
	"pepperlead/policy"
)

func check(t *testing.T, seed int64, f any) {
	t.Helper()
	if err := quick.Check(f, &quick.Config{MaxCount: 200, Rand: rand.New(rand.NewSource(seed))}); err != nil {
		t.Error(err)
	}
}

// Buffers against a plain sum: what is joined is complete, and what is given back is no longer lent.
func TestBuffersAreJoinedAndReturned(t *testing.T) {
	check(t, 2, func(parts [][]byte, more uint16) bool {
		p := &Buffers{Limit: 1}
		var all []byte
		var b *Buffer
		parts = append(parts, make([]byte, more), make([]byte, 2*int(more)))
		for _, part := range parts {
			if len(part) == 0 {
				continue
			}
			n := p.Get(len(part))
			if len(n.B) != 0 || cap(n.B) < len(part) {
				return false
			}
			n.B = append(n.B, part...)
			b, all = p.Join(b, n), append(all, part...)
		}
		if b == nil {
			return p.Lent() == 0 && !p.Full()
		}
		complete, lent := bytes.Equal(b.B, all), p.Lent() >= len(all) && p.Full()
		p.Put(b)
		return complete && lent && p.Lent() == 0 && !p.Full()
	})
}

func TestRequestSlotsAreReused(t *testing.T) {
	slot, p := &engine.Request{}, &Buffers{}
	first := AsRequest(slot)
	first.Received, first.Response.Buffer, first.Response.Status = p.Get(1), p.Get(LargeBuffer), 200
	first.ReleaseBuffers(p)
	if again := AsRequest(slot); p.Lent() != 0 || again != first || again.Received != nil || again.Response.Status != 0 || again.Request != slot {
		t.Error("not reused, or not emptied")
	}
}

// The oldest idle connection makes room, but not one whose first request may be on its way.
func TestOldestIdleConnection(t *testing.T) {
	k := NewConns(64)
	var all []*Conn
	for i := range 5 {
		c := &Conn{Connected: true, Used: true, IdleSince: policy.Time(10 - i)}
		k.Add(c)
		all = append(all, c)
	}
	all[4].Used, all[3].Input.Buffer = false, &Buffer{}
	if got := k.OldestIdle(ClientSide, 10, 5); got != all[2] {
		t.Errorf("%+v", got)
	}
	if got := k.OldestIdle(ClientSide, 10, 6); got != all[4] {
		t.Errorf("%+v", got)
	}
	if got := k.OldestIdle(ClientSide, 7, 5); got != nil {
		t.Errorf("%+v", got)
	}
	k.MarkClosing(all[4])
	if k.Count(ClientSide) != 4 || !k.Remove(all[4]) || k.Remove(all[4]) || k.Count(ClientSide) != 4 {
		t.Error("counted wrongly")
	}
}
