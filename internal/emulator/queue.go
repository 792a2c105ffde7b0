package emulator

import "pepperlead/policy"

// rank orders what falls into one instant. An answer that comes in the very moment of a time-out counts as come; one that
// goes out in the moment of a cut-off is in time; what the world does to a server comes before all of that.
type rank uint8

const (
	rankWorld      rank = iota // faults, servers, lists
	rankAttemptEnd             // results of pushes as they come to a sidecar
	rankAnswer                 // final answers as they come to a client
	rankTimeout                // time-outs of pushes
	rankArrive                 // requests, and pushes at servers
	rankWake                   // the module's
	rankDeadline
)

// event is something still to happen. What its figures mean is up to what it does.
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
