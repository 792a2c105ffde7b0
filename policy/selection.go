package policy

import "slices"

const (
	// hotKeySpread is the number of endpoints that share a hot key, as a multiple of the number of endpoints
	// that the key's traffic would occupy at an average load.
	hotKeySpread = 6
	// loadBound is the multiple of the mean load above which part of the requests pass over an endpoint.
	loadBound = 1.5
	// spillMargin is the number of attempts by which an endpoint must be below its limit, or below the home
	// endpoint's attempts, to take spilled requests.
	spillMargin = 2
	// lowLoad is the load, in target latencies, below which an endpoint's limit may grow and it may take
	// spilled requests.
	lowLoad = 0.15
	// highLoad is the load, in target latencies, above which an endpoint's limit is reduced.
	highLoad = 0.45
)

// walk is the state of a request's walk over the slot table.
type walk struct {
	home     endpointIndex // first usable endpoint, if it had no room; noEndpoint until then
	fallback endpointIndex // chosen if no home is found and it has room; noEndpoint: none
	visited  int           // endpoints visited so far

	// A hot key is assigned to the less loaded of two endpoints drawn from those that share it.
	candidate  endpointIndex // the drawn endpoint that is reached first; noEndpoint: not reached yet, or cold
	skipFirst  int           // usable endpoints still to skip to reach the first one drawn
	skipSecond int           // usable endpoints still to skip to reach the second one drawn
}

// choose returns the endpoint for the request's next attempt. That is the request's home, which is the first
// usable endpoint in its walk over the slot table, or, if the home has no room, another endpoint that the
// request may spill to. If there is none, choose returns noEndpoint and stores the home in the request, which
// may wait for it. A keyless request may be sent to a cold endpoint instead; see chooseCold.
func (b *Balancer) choose(now Time, r *request, kind tryKind) endpointIndex {
	b.table.mark++
	localFirst := b.zones.prefersLocal(r.key)
	if r.keyless && now < b.warmup.until {
		if index := b.chooseCold(now, r, localFirst); index >= 0 {
			return index
		}
	}
	state := walk{home: noEndpoint, fallback: noEndpoint}
	if localFirst {
		if index := b.walkTable(now, r, kind, true, &state); index >= 0 {
			return index
		}
	}
	if index := b.walkTable(now, r, kind, false, &state); index >= 0 {
		return index
	}
	// No endpoint is usable, for example because all are ejected. An attempt is better than certain failure.
	if state.home < 0 && state.fallback >= 0 && b.table.endpoints[state.fallback].hasRoom() {
		return state.fallback
	}
	r.home = state.home
	return noEndpoint
}

// walkTable visits the endpoints not yet visited, in the order of their slots from the slot of the request's
// key on, until one is chosen. localOnly restricts the walk to endpoints in this instance's zone.
func (b *Balancer) walkTable(now Time, r *request, kind tryKind, localOnly bool, state *walk) endpointIndex {
	count := len(b.table.byID)
	if localOnly {
		count = b.table.localCount
	}
	b.drawHotKeyPair(r, count, state)
	for i := 0; i < len(b.table.owners) && state.visited < count; i++ {
		index := b.table.owners[(int(r.key%slotCount)+i)%slotCount]
		e := &b.table.endpoints[index]
		if e.mark == b.table.mark || localOnly && !b.table.isLocal(e) {
			continue
		}
		e.mark = b.table.mark
		state.visited++
		if chosen := b.visit(now, r, kind, index, state); chosen >= 0 {
			return chosen
		}
	}
	return noEndpoint
}

// drawHotKeyPair draws two of the endpoints that share a hot key. For any other key, both draws are the first
// usable endpoint.
func (b *Balancer) drawHotKeyPair(r *request, count int, state *walk) {
	sharedBy := max(1, r.keyFrequency*hotKeySpread*float64(count))
	state.candidate = noEndpoint
	state.skipFirst = int(b.random.fraction() * sharedBy)
	state.skipSecond = int(b.random.fraction() * sharedBy)
}

// visit considers one endpoint of the walk. It returns the endpoint chosen, which may also be the candidate
// visited before, or noEndpoint if the walk goes on.
func (b *Balancer) visit(now Time, r *request, kind tryKind, index endpointIndex, state *walk) endpointIndex {
	e := &b.table.endpoints[index]
	switch {
	case !b.isAllowed(now, r, index): // never chosen, not even as the fallback
	case !b.isUsable(now, e) || b.passesOver(e):
		if state.fallback < 0 && !b.warmup.isCold(now, e) {
			state.fallback = index
		}
	case state.home < 0 && max(state.skipFirst, state.skipSecond) > 0: // hot key, second draw not yet reached
		if min(state.skipFirst, state.skipSecond) == 0 && !b.warmup.isCold(now, e) {
			state.candidate = index
		}
		state.skipFirst--
		state.skipSecond--
		state.fallback = index
	case state.home < 0 && b.prefersCandidate(state.candidate, e):
		return state.candidate
	case e.hasRoom() && (state.home < 0 || kind == lastTry && b.load(e) < highLoad || b.maySpill(state.home, e)):
		return index
	case state.home < 0: // no room: the walk goes on to find an endpoint to spill to
		state.home = index
	}
	return noEndpoint
}

// prefersCandidate reports whether the candidate for a hot key has room and is less loaded than the other
// endpoint drawn.
func (b *Balancer) prefersCandidate(candidate endpointIndex, other *endpoint) bool {
	if candidate < 0 {
		return false
	}
	e := &b.table.endpoints[candidate]
	return e.latencyRatio < other.latencyRatio && e.hasRoom()
}

// maySpill reports whether a request whose home endpoint is at its limit may be sent to the endpoint e. As e
// does not have the key cached, its load must be below lowLoad, and it must have spillMargin attempts fewer
// than the home or room for spillMargin more.
func (b *Balancer) maySpill(home endpointIndex, e *endpoint) bool {
	hasMargin := b.table.endpoints[home].processing()-e.processing() >= spillMargin ||
		float64(e.processing()+spillMargin) <= e.limit
	return hasMargin && b.load(e) < lowLoad
}

// isAllowed reports whether the request may be sent to the endpoint at all: the endpoint must be ready and
// not yet tried, and if the request may have run, it must be safe to repeat on the endpoint.
func (b *Balancer) isAllowed(now Time, r *request, index endpointIndex) bool {
	e := &b.table.endpoints[index]
	if e.Status != Ready {
		return false
	}
	if r.mayHaveRun && !b.mayRepeatOn(now, r, e) {
		return false
	}
	return !slices.Contains(r.triedEndpoints(), index)
}

// isUsable reports whether the endpoint's ejection, slow start and cold budget allow an attempt now.
func (b *Balancer) isUsable(now Time, e *endpoint) bool {
	if now < e.ejectedUntil || e.slowStart > 0 && e.inFlight >= e.slowStart {
		return false
	}
	return !b.warmup.isCold(now, e) || b.warmup.growBudget(now, e) >= 1
}

// passesOver decides whether the request passes over an endpoint because its load is above the bound. Only a
// random part of the requests does, so that hundreds of instances do not leave the endpoint at once.
func (b *Balancer) passesOver(e *endpoint) bool {
	ratio := b.boundToLoad(e)
	return ratio < 1 && b.random.fraction() > ratio*ratio
}

// boundToLoad returns the ratio of the bound on the endpoint's load, loadBound times the mean, to its load. A
// ratio below 1 means that the load is above the bound. Where the list shows no load, answer times are
// compared instead. Their mean then counts as at least lowLoad above the baseline latency, because idle
// endpoints may differ in answer time.
func (b *Balancer) boundToLoad(e *endpoint) float64 {
	if !b.reports.available() {
		mean := max(b.concurrency.latenessMean, b.baseline+lowLoad)
		return loadBound * mean / max(e.latencyRatio, b.baseline)
	}
	return loadBound * (1 + b.reports.mean) / (1 + e.reportedLoad)
}

// load returns by how much an endpoint's mean latency exceeds the baseline latency, in target latencies.
func (b *Balancer) load(e *endpoint) float64 { return e.latencyRatio - b.baseline }
