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

// Buffers against a plain sum: what is joined is whole, and what is given back is no longer lent.
func TestBuffersJoinAndComeBack(t *testing.T) {
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
		whole, lent := bytes.Equal(b.B, all), p.Lent() >= len(all) && p.Full()
		p.Put(b)
		return whole && lent && p.Lent() == 0 && !p.Full()
	})
}

func TestTicketPlacesAreReused(t *testing.T) {
	place, p := &engine.Request{}, &Buffers{}
	first := AsRequest(place)
	first.Received, first.Answer, first.Status = p.Get(1), p.Get(Large), 200
	first.ReleaseBuffers(p)
	if again := AsRequest(place); p.Lent() != 0 || again != first || again.Received != nil || again.Status != 0 || again.Request != place {
		t.Error("not reused, or not emptied")
	}
}

// The oldest without work makes room, but not one whose first work may be under way.
func TestWhoMakesRoom(t *testing.T) {
	k := NewConns(64)
	var all []*Conn
	for i := range 5 {
		c := &Conn{Connected: true, Used: true, Since: policy.Time(10 - i)}
		k.Add(c)
		all = append(all, c)
	}
	all[4].Used, all[3].In = false, &Buffer{}
	if got := k.Oldest(Client, 10, 5); got != all[2] {
		t.Errorf("%+v", got)
	}
	if got := k.Oldest(Client, 10, 6); got != all[4] {
		t.Errorf("%+v", got)
	}
	if got := k.Oldest(Client, 7, 5); got != nil {
		t.Errorf("%+v", got)
	}
	k.CountEnd(all[4])
	if k.Count(Client) != 4 || !k.Remove(all[4]) || k.Remove(all[4]) || k.Count(Client) != 4 {
		t.Error("counted wrongly")
	}
}
