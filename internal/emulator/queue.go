package emulator

import "pepperlead/policy"

// rank orders events of the same time: faults first, and responses before timeouts and deadlines, so that a response
// that arrives exactly at its timeout or deadline is in time.
type rank uint8

const (
	rankWorld      rank = iota // faults, endpoints, lists
	rankAttemptEnd             // results of attempts that reach an instance
	rankAnswer                 // final answers that reach a client
	rankTimeout                // timeouts of attempts
	rankArrive                 // requests that reach an instance, and attempts that reach an endpoint
	rankWake                   // calls of Decider.Woken
	rankDeadline               // deadlines of requests
)

// event is a scheduled call of do. The meaning of a, b and c depends on the function.
type event struct {
	at   policy.Time
	rank rank
	seq  uint64 // keeps events of the same time and rank in the order in which they were scheduled
	do   func(w *World, e *event)
	a, b int32
	c    uint64
}

// queue holds the scheduled events in a heap, the next event first. Each node has four children: such a heap is
// shallower than a binary one.
type queue struct {
	all []event
	seq uint64
}

// before reports whether event a is due before event b.
func before(a, b *event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.seq < b.seq
}

func (q *queue) add(e event) {
	q.seq++
	e.seq = q.seq
	q.all = append(q.all, e)
	i := len(q.all) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !before(&e, &q.all[parent]) {
			break
		}
		q.all[i] = q.all[parent]
		i = parent
	}
	q.all[i] = e
}

// take removes and returns the next event. The queue must not be empty.
func (q *queue) take() event {
	first := q.all[0]
	last := q.all[len(q.all)-1]
	q.all[len(q.all)-1] = event{}
	q.all = q.all[:len(q.all)-1]
	n := len(q.all)
	if n == 0 {
		return first
	}
	i := 0
	for {
		firstChild := 4*i + 1
		if firstChild >= n {
			break
		}
		next := firstChild
		for child := firstChild + 1; child < min(firstChild+4, n); child++ {
			if before(&q.all[child], &q.all[next]) {
				next = child
			}
		}
		if !before(&q.all[next], &last) {
			break
		}
		q.all[i] = q.all[next]
		i = next
	}
	q.all[i] = last
	return first
}
