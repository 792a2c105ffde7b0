package engine

import (
	"math/rand"
	"slices"
	"testing"
	"testing/quick"

	"pepperlead/policy"
)

// Compares Timers with a plain map: after any sequence of setting, moving and stopping timers, each one that is due runs once, in the
// order of the times.
func TestTimersRunInOrder(t *testing.T) {
	run := func(seed int64) bool {
		r := rand.New(rand.NewSource(seed))
		var queue Timers
		var ran []policy.Time
		timers, want := make([]Timer, 20), map[int]policy.Time{}
		for i := range timers {
			timers[i].Run = func(policy.Time) { ran = append(ran, timers[i].At()) }
		}
		for range 100 {
			i, at := r.Intn(len(timers)), policy.Time(r.Intn(50))
			if r.Intn(3) == 0 {
				queue.Stop(&timers[i])
				delete(want, i)
			} else {
				queue.Set(&timers[i], at)
				want[i] = at
			}
			if timers[i].Active() != hasKey(want, i) {
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
		queue.Run(25)
		remaining := len(want) - len(due)
		next, found := queue.Next()
		return slices.Equal(ran, due) && queue.Len() == remaining && found == (remaining > 0) && (!found || next > 25)
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 200, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

func hasKey(m map[int]policy.Time, key int) bool { _, ok := m[key]; return ok }
