package judge

import (
	"math"

	"pepperlead/policy"
)

// Even is how evenly pushes lay over the servers that were there, each by its size: over windows in which none came or went.
type Even struct {
	Scatter [2]float64 `json:"scatter"` // of pushes a server over that of chance alone, in windows of 1 s and of 5 s
	// Forced is what it would be had every key one server, drawn by chance: scatter beyond it is choice, scatter under it keys spread out.
	Forced  [2]float64 `json:"forced"`
	Busiest float64    `json:"busiest"`      // pushes of the busiest server over its share, mean of windows of 5 s
	Worst   float64    `json:"busiest_most"` // the most of these
	Idle    float64    `json:"idle_s"`       // server seconds in which one had nothing to do while others queued
	Herd    float64    `json:"herd"`         // most pushes that one server got within 50 ms beyond its share
}

// windows over which pushes are counted; the last is that of herds.
var windows = [3]policy.Time{policy.Second, 5 * policy.Second, 50 * policy.Millisecond}

// even counts pushes by server.
type even struct {
	size  []float64 // of servers; 0: not there
	total float64
	since [3]policy.Time // begin of the window under way
	moved [3]bool        // servers came or went in it
	got   [3][]float64
	all   [3]float64
	keys  [2]map[uint64]float64
	sums  [2]struct{ scatter, forced, windows float64 }
	busy  struct{ sum, windows float64 }
	out   Even
}

// Sized is told what a server can do in a time, and again when that has changed; 0 when it is not there for new work.
func (j *Judge) Sized(at policy.Time, s Server, size float64) {
	e := &j.even
	for len(e.size) <= int(s) {
		e.size = append(e.size, 0)
	}
	if e.size[s] == size {
		return
	}
	e.until(at)
	e.total += size - e.size[s]
	e.size[s] = size
	e.moved = [3]bool{true, true, true}
}

// Looked is told how many servers have had nothing to do for the span, and whether others have had more than they can work on at once.
func (j *Judge) Looked(idle int, queues bool, span policy.Time) {
	if queues {
		j.even.out.Idle += float64(idle) * float64(span) / float64(policy.Second)
	}
}

// About says what a ticket is about; none: nothing that others are about too.
func (j *Judge) About(t Ticket, key uint64) { j.tickets[t].key = key }

func (e *even) push(at policy.Time, s Server, key, no uint64) {
	e.until(at)
	for i := range windows {
		for len(e.got[i]) < len(e.size) {
			e.got[i] = append(e.got[i], 0)
		}
		if int(s) < len(e.size) && e.size[s] > 0 {
			e.got[i][s]++
			e.all[i]++
			if i < len(e.keys) {
				if key == 0 {
					key = no | 1<<63 // of its own
				}
				if e.keys[i] == nil {
					e.keys[i] = map[uint64]float64{}
				}
				e.keys[i][key]++
			}
		}
	}
}

// until ends the windows that are over by then.
func (e *even) until(at policy.Time) {
	for i, wide := range windows {
		if at < e.since[i]+wide {
			continue
		}
		if e.all[i] > 0 && !e.moved[i] {
			e.close(i)
		}
		clear(e.got[i])
		e.all[i], e.moved[i] = 0, false
		if i < len(e.keys) {
			clear(e.keys[i])
		}
		e.since[i] = at - at%wide
	}
}

func (e *even) close(i int) {
	off, most, beyond := 0.0, 0.0, 0.0
	for s, got := range e.got[i] {
		if share := e.all[i] * e.size[s] / e.total; share > 0 {
			off += (got - share) * (got - share) / share
			most, beyond = max(most, got/share), max(beyond, got-share)
		}
	}
	switch i {
	case 2:
		e.out.Herd = max(e.out.Herd, beyond)
		return
	case 1:
		e.busy.sum, e.busy.windows = e.busy.sum+most, e.busy.windows+1
		e.out.Worst = max(e.out.Worst, most)
	}
	there, forced := 0.0, 0.0
	for _, size := range e.size {
		if size > 0 {
			there++
		}
	}
	for _, n := range e.keys[i] {
		forced += n * n
	}
	sum := &e.sums[i]
	sum.scatter += math.Sqrt(off / max(1, there-1))
	sum.forced += math.Sqrt(forced / e.all[i])
	sum.windows++
}

// finish gives what was found; windows that are not over do not count.
func (e *even) finish() Even {
	for i, s := range e.sums {
		if s.windows > 0 {
			e.out.Scatter[i], e.out.Forced[i] = s.scatter/s.windows, s.forced/s.windows
		}
	}
	if e.busy.windows > 0 {
		e.out.Busiest = e.busy.sum / e.busy.windows
	}
	return e.out
}
