package engine

import (
	"container/heap"

	"pepperlead/policy"
)

// Timer calls Run when it is due. Each struct that needs a timer has it as a field.
type Timer struct {
	Run      func(now policy.Time)
	at       policy.Time
	position int // position in the heap, counted from 1; 0: the timer is not set
}

// Active reports whether the timer is set.
func (t *Timer) Active() bool { return t.position > 0 }

// At returns the time at which the timer is due.
func (t *Timer) At() policy.Time { return t.at }

// Timers holds the timers that are set.
type Timers struct{ active timerHeap }

// Set sets the timer, or moves it if it is set.
func (q *Timers) Set(timer *Timer, at policy.Time) {
	timer.at = at
	if timer.position > 0 {
		heap.Fix(&q.active, timer.position-1)
	} else {
		heap.Push(&q.active, timer)
	}
}

// Stop stops the timer if it is set.
func (q *Timers) Stop(timer *Timer) {
	if timer.position > 0 {
		heap.Remove(&q.active, timer.position-1)
	}
}

// Next returns the time at which the next timer is due, and whether there is one.
func (q *Timers) Next() (policy.Time, bool) {
	if len(q.active) == 0 {
		return 0, false
	}
	return q.active[0].at, true
}

// Run runs the timers that are due.
func (q *Timers) Run(now policy.Time) {
	for len(q.active) > 0 && q.active[0].at <= now {
		timer := q.active[0]
		heap.Pop(&q.active)
		timer.Run(now)
	}
}

// Len returns the number of timers that are set.
func (q *Timers) Len() int { return len(q.active) }

// timerHeap implements heap.Interface; the timer that is due next comes first.
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
	timer := x.(*Timer)
	*h = append(*h, timer)
	timer.position = len(*h)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	timer := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	timer.position = 0
	return timer
}
