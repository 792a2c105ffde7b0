package engine

import (
	"container/heap"

	"pepperlead/policy"
)

// Timer calls Run once it is due. It belongs to the struct that it is a field of.
type Timer struct {
	Run      func(now policy.Time)
	at       policy.Time
	position int // in the heap, from 1; 0: not set
}

// Active tells whether the timer is set.
func (t *Timer) Active() bool { return t.position > 0 }

// At is when the timer is due.
func (t *Timer) At() policy.Time { return t.at }

// Timers are the timers that are set.
type Timers struct{ active timerHeap }

// Set sets the timer, or moves it if it is set.
func (q *Timers) Set(t *Timer, at policy.Time) {
	t.at = at
	if t.position > 0 {
		heap.Fix(&q.active, t.position-1)
	} else {
		heap.Push(&q.active, t)
	}
}

// Stop stops the timer if it is set.
func (q *Timers) Stop(t *Timer) {
	if t.position > 0 {
		heap.Remove(&q.active, t.position-1)
	}
}

// Next is when the next timer is due, if there is one.
func (q *Timers) Next() (policy.Time, bool) {
	if len(q.active) == 0 {
		return 0, false
	}
	return q.active[0].at, true
}

// Run runs the timers that are due.
func (q *Timers) Run(now policy.Time) {
	for len(q.active) > 0 && q.active[0].at <= now {
		t := q.active[0]
		heap.Pop(&q.active)
		t.Run(now)
	}
}

// Len is how many timers are set.
func (q *Timers) Len() int { return len(q.active) }

// timerHeap implements heap.Interface, the next timer first.
type timerHeap []*Timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i + 1
	h[j].position = j + 1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	*h = append(*h, t)
	t.position = len(*h)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	t := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	t.position = 0
	return t
}
