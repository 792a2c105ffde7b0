package engine

import (
	"container/heap"

	"pepperlead/policy"
)

// Timer is owned by what it stands in; Do is what happens when it is due.
type Timer struct {
	Run   func(now policy.Time)
	at    policy.Time
	place int // in the heap, from 1; 0: not set
}

// Active tells whether the timer is set.
func (t *Timer) Active() bool { return t.place > 0 }

// At is when the timer is due.
func (t *Timer) At() policy.Time { return t.at }

// Timers holds all timers that are set, the next one first.
type Timers struct{ set timerHeap }

// Set sets or moves the timer.
func (q *Timers) Set(t *Timer, at policy.Time) {
	t.at = at
	if t.place > 0 {
		heap.Fix(&q.set, t.place-1)
	} else {
		heap.Push(&q.set, t)
	}
}

// Stop gives the timer back, whether it is set or not.
func (q *Timers) Stop(t *Timer) {
	if t.place > 0 {
		heap.Remove(&q.set, t.place-1)
	}
}

// Next is when the next timer is due.
func (q *Timers) Next() (policy.Time, bool) {
	if len(q.set) == 0 {
		return 0, false
	}
	return q.set[0].at, true
}

// Run does what is due.
func (q *Timers) Run(now policy.Time) {
	for len(q.set) > 0 && q.set[0].at <= now {
		t := q.set[0]
		heap.Pop(&q.set)
		t.Run(now)
	}
}

// Len is how many timers are set.
func (q *Timers) Len() int { return len(q.set) }

type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i+1, j+1
}

func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	*h = append(*h, t)
	t.place = len(*h)
}

func (h *timerHeap) Pop() any {
	t := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	t.place = 0
	return t
}
