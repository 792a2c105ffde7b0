package engine

import (
	"math/rand"
	"slices"
	"testing"
	"testing/quick"

	"pepperlead/policy"
)

// Timers against a plain list: whatever is set, moved and stopped, each runs once, when due, in order.
func TestTimersRunInOrder(t *testing.T) {
	run := func(seed int64) bool {
		r := rand.New(rand.NewSource(seed))
		var q Timers
		var ran []policy.Time
		timers, want := make([]Timer, 20), map[int]policy.Time{}
		for i := range timers {
			timers[i].Run = func(policy.Time) { ran = append(ran, timers[i].At()) }
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
			if timers[i].Active() != has(want, i) {
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
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 200, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

func has(m map[int]policy.Time, i int) bool { _, ok := m[i]; return ok }
