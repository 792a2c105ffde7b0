package emulator

import "pepperlead/policy"

// rank orders events of one instant: faults first, then responses before the timeouts and deadlines that they meet.
type rank uint8

const (
	rankWorld      rank = iota // faults, endpoints, lists
	rankAttemptEnd             // results of attempts as they come to an instance
	rankAnswer                 // final answers as they come to a client
	rankTimeout                // timeouts of attempts
	rankArrive                 // requests, and attempts at endpoints
	rankWake                   // the module's
	rankDeadline
)

// event is something planned. The meaning of a, b and c depends on the function.
type event struct {
	at   policy.Time
	rank rank
	seq  uint64
	do   func(w *World, e *event)
	a, b int32
	c    uint64
}

// queue holds events, the next one first: a heap of four branches, which is shallower than one of two.
type queue struct {
	all []event
	seq uint64
}

func before(x, y *event) bool {
	if x.at != y.at {
		return x.at < y.at
	}
	if x.rank != y.rank {
		return x.rank < y.rank
	}
	return x.seq < y.seq
}

func (q *queue) add(e event) {
	q.seq++
	e.seq = q.seq
	q.all = append(q.all, e)
	i := len(q.all) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !before(&e, &q.all[up]) {
			break
		}
		q.all[i] = q.all[up]
		i = up
	}
	q.all[i] = e
}

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
		child := 4*i + 1
		if child >= n {
			break
		}
		least := child
		for k := child + 1; k < min(child+4, n); k++ {
			if before(&q.all[k], &q.all[least]) {
				least = k
			}
		}
		if !before(&q.all[least], &last) {
			break
		}
		q.all[i] = q.all[least]
		i = least
	}
	q.all[i] = last
	return first
}
