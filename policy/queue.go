package policy

import (
	"slices"
	"sort"
)

const (
	// queuePart is the largest number of requests that may wait for an endpoint, as a part of the answers
	// expected during the time that a request can wait.
	queuePart = 0.5
	// minQueueLength is the number of requests that may always wait for an endpoint, however slowly it
	// answers.
	minQueueLength = 2
	// queuePollTicks is the number of ticks between two checks of the queue.
	queuePollTicks Time = 10
)

// requestQueue holds the pool indexes of waiting requests, highest value first, then oldest first.
type requestQueue struct {
	waiting []uint32
}

func (q *requestQueue) len() int { return len(q.waiting) }

// insert adds a request behind all requests of the same or a higher value.
func (q *requestQueue) insert(pool *requestPool, r *request) {
	at := sort.Search(len(q.waiting), func(i int) bool { return pool.entries[q.waiting[i]].value < r.value })
	q.waiting = slices.Insert(q.waiting, at, r.index)
	r.queued = true
}

// remove removes the request at a position of the queue.
func (q *requestQueue) remove(pool *requestPool, position int) {
	pool.entries[q.waiting[position]].queued = false
	q.waiting = slices.Delete(q.waiting, position, position+1)
}

// removeRequest removes a request if it is in the queue.
func (q *requestQueue) removeRequest(pool *requestPool, r *request) {
	if position := slices.Index(q.waiting, r.index); position >= 0 {
		q.remove(pool, position)
	}
}

// lengthFor returns the number of requests that wait for an endpoint and the position of the last of them,
// which has the least value; the position is -1 if there are none.
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

// enqueue queues the request. If too many requests wait for the same endpoint already, the one with the least
// value, which may be this one, does not wait any longer: it gets its last try.
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

// maxQueueLength returns how many requests may wait for the endpoint that this one waits for. It is limited
// so that this request can expect an answer before its time in the queue ends.
func (b *Balancer) maxQueueLength(now Time, r *request) float64 {
	rate := b.successes.current(now)
	if r.home >= 0 {
		home := &b.table.endpoints[r.home]
		rate = max(home.successes.current(now), home.limit*float64(Second)/b.meanLatency(r))
	}
	return max(minQueueLength, rate*float64(r.waitUntil-now)/float64(Second)*queuePart)
}

// leaveQueue is the continuation of a queued request: it sends the request to the endpoint chosen for it.
func (b *Balancer) leaveQueue(r *request, result attemptResult) {
	b.attempt(result.now, r, result.endpoint)
}

// drainQueue sends the waiting requests that an endpoint has room for now. freed is the endpoint whose
// attempt has just ended: only requests that it may serve are considered. If freed is noEndpoint, all
// requests are.
func (b *Balancer) drainQueue(now Time, freed endpointIndex) {
	for position := 0; position < b.queue.len() && b.concurrency.allows(now); {
		if freed >= 0 && !b.table.endpoints[freed].hasRoom() {
			return // the freed capacity is used up: do not scan the rest of a long queue
		}
		r := &b.requests.entries[b.queue.waiting[position]]
		if !b.mayServe(r, freed) {
			position++
			continue
		}
		endpoint := b.choose(now, r, ordinaryTry)
		if endpoint < 0 || now >= r.waitUntil {
			position++ // the request keeps waiting; once its time is up, rejectIfDue rejects it
			continue
		}
		b.queue.remove(&b.requests, position)
		r.next(b, r, attemptResult{now: now, endpoint: endpoint})
	}
}

// mayServe reports whether a queued request may be sent to the freed endpoint. It reports true for every
// request if freed is noEndpoint.
func (b *Balancer) mayServe(r *request, freed endpointIndex) bool {
	return freed < 0 || r.home < 0 || r.home == freed || b.maySpill(r.home, &b.table.endpoints[freed])
}
