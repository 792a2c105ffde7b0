package policy

import (
	"slices"
	"sort"
)

const (
	// queuePart is the part of the answers expected in the time to wait that may be queued for.
	queuePart = 0.5
	// minQueueLength may wait for an endpoint however little it answers.
	minQueueLength = 2
	// queuePollTicks is the number of ticks between looks at the queue.
	queuePollTicks Time = 10
)

// requestQueue holds the indexes of waiting requests by value, then age.
type requestQueue struct {
	waiting []uint32
}

func (q *requestQueue) len() int { return len(q.waiting) }

// insert puts a request behind those of at least its value.
func (q *requestQueue) insert(pool *requestPool, r *request) {
	at := sort.Search(len(q.waiting), func(i int) bool { return pool.entries[q.waiting[i]].value < r.value })
	q.waiting = slices.Insert(q.waiting, at, r.index)
	r.queued = true
}

// remove takes out the request at a position of the queue.
func (q *requestQueue) remove(pool *requestPool, position int) {
	pool.entries[q.waiting[position]].queued = false
	q.waiting = slices.Delete(q.waiting, position, position+1)
}

// removeRequest takes out a request if it is in the queue.
func (q *requestQueue) removeRequest(pool *requestPool, r *request) {
	if position := slices.Index(q.waiting, r.index); position >= 0 {
		q.remove(pool, position)
	}
}

// lengthFor counts the requests that wait for an endpoint, and finds the position of the least valued.
func (q *requestQueue) lengthFor(pool *requestPool, home endpointIndex) (count, leastValued int) {
	leastValued = -1
	for position, index := range q.waiting {
		if pool.entries[index].home == home {
			count++
			leastValued = position
		}
	}
	return count, leastValued
}

// enqueue lets the request wait unless too many do already for the same endpoint: then the least valued of
// them gets its last try.
func (b *Balancer) enqueue(now Time, r *request) {
	count, leastValued := b.queue.lengthFor(&b.requests, r.home)
	if float64(count) >= b.maxQueueLength(now, r) {
		least := &b.requests.entries[b.queue.waiting[leastValued]]
		if least.value >= r.value {
			b.dispatch(now, r, lastTry)
			return
		}
		b.queue.remove(&b.requests, leastValued)
		b.dispatch(now, least, lastTry)
	}
	b.queue.insert(&b.requests, r)
	r.next = (*Balancer).leaveQueue
	b.wake(now, min(r.waitUntil, now+queuePollTicks*b.settings.Tick))
}

// maxQueueLength is how many requests may wait for what this one waits for, so that its wait ends in an
// answer.
func (b *Balancer) maxQueueLength(now Time, r *request) float64 {
	rate := b.successes.now(now)
	if r.home >= 0 {
		home := &b.table.endpoints[r.home]
		rate = max(home.successes.now(now), home.limit*float64(Second)/b.meanLatency(r))
	}
	return max(minQueueLength, rate*float64(r.waitUntil-now)/float64(Second)*queuePart)
}

// leaveQueue sends a request for which there is room now.
func (b *Balancer) leaveQueue(r *request, result attemptResult) {
	b.attempt(result.now, r, result.endpoint)
}

// drainQueue sends waiting requests for which there is room now. Where an attempt to the freed endpoint has
// ended, only those that it can serve are looked at; noEndpoint looks at all.
func (b *Balancer) drainQueue(now Time, freed endpointIndex) {
	for position := 0; position < b.queue.len() && b.concurrency.allows(now); {
		if freed >= 0 && !b.table.endpoints[freed].hasRoom() {
			return // the one place that was freed is taken: a long queue is not walked to its end
		}
		r := &b.requests.entries[b.queue.waiting[position]]
		if !b.mayServe(r, freed) {
			position++
			continue
		}
		endpoint := b.choose(now, r, ordinaryTry)
		if endpoint < 0 || now >= r.waitUntil {
			position++
			continue
		}
		b.queue.remove(&b.requests, position)
		r.next(b, r, attemptResult{now: now, endpoint: endpoint})
	}
}

// mayServe reports whether a queued request may go to the freed endpoint.
func (b *Balancer) mayServe(r *request, freed endpointIndex) bool {
	return freed < 0 || r.home < 0 || r.home == freed || b.maySpill(r.home, &b.table.endpoints[freed])
}
