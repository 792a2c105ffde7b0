package state

import (
	"bytes"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"

	"pepperlead/policy"
)

func check(t *testing.T, seed int64, f any) {
	t.Helper()
	if err := quick.Check(f, &quick.Config{MaxCount: 200, Rand: rand.New(rand.NewSource(seed))}); err != nil {
		t.Error(err)
	}
}

// Timers against a plain list: whatever is set, moved and stopped, each runs once, when due, in order.
func TestTimersRunInOrder(t *testing.T) {
	check(t, 1, func(seed int64) bool {
		r := rand.New(rand.NewSource(seed))
		var q Timers
		var ran []policy.Time
		timers, want := make([]Timer, 20), map[int]policy.Time{}
		for i := range timers {
			timers[i].Do = func(policy.Time) { ran = append(ran, timers[i].At()) }
		}
		for range 100 {
			i, at := r.Intn(len(timers)), policy.Time(r.Intn(50))
			if r.Intn(3) == 0 {
				q.Stop(&timers[i])
				delete(want, i)
			} else {
				q.Set(&timers[i], at)
				want[i] = at
			}
			if timers[i].On() != has(want, i) {
				return false
			}
		}
		var due []policy.Time
		for _, at := range want {
			if at <= 25 {
				due = append(due, at)
			}
		}
		slices.Sort(due)
		q.Run(25)
		left := len(want) - len(due)
		next, any := q.Next()
		return slices.Equal(ran, due) && q.Len() == left && any == (left > 0) && (!any || next > 25)
	})
}

func has(m map[int]policy.Time, i int) bool { _, ok := m[i]; return ok }

// Buffers against a plain sum: what is joined is whole, and what is given back is no longer lent.
func TestBuffersJoinAndComeBack(t *testing.T) {
	check(t, 2, func(parts [][]byte, more uint16) bool {
		p := &Buffers{Most: 1}
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
	k, p := &Tickets{}, &Buffers{}
	first := k.Take()
	k.Bind(first, 1<<32|3)
	first.Request, first.Answer, first.Pushes = p.Get(1), p.Get(Large), 2
	if k.By(1<<32|3) != first || k.Held != 1 {
		t.Error("not found by its handle")
	}
	k.Give(first, p)
	if k.Held != 0 || p.Lent() != 0 || k.By(1<<32|3) != nil {
		t.Error("not given back whole")
	}
	if again := k.Take(); again != first || again.Pushes != 0 || again.Request != nil {
		t.Error("not reused, or not emptied")
	}
}

// The oldest without work makes room, but not one whose first work may be under way.
func TestWhoMakesRoom(t *testing.T) {
	k := NewConns(64)
	var all []*Conn
	for i := range 5 {
		c := &Conn{Up: true, Used: true, Since: policy.Time(10 - i)}
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
	k.End(all[4])
	if k.Count(Client) != 4 || !k.Remove(all[4]) || k.Remove(all[4]) || k.Count(Client) != 4 {
		t.Error("counted wrongly")
	}
}
