package policy

import "slices"

const (
	// hotKeySpread is how many times an endpoint's share a hot key's part of the traffic is spread over.
	hotKeySpread = 6
	// loadBound is the multiple of the mean load over which an endpoint is passed over by part of the
	// requests.
	loadBound = 1.5
	// spillMargin is the number of free places, or of attempts fewer than home's, that a spill needs.
	spillMargin = 2
	// lowLoad is the load under which more may be in flight to an endpoint, in target latencies.
	lowLoad = 0.15
	// highLoad is the load over which less may be.
	highLoad = 0.45
)

// walk is the state of a request's walk over the slot table.
type walk struct {
	home    endpointIndex // first usable endpoint
	spare   endpointIndex // taken if there is no usable one
	visited int

	// A hot key is assigned to the less loaded of two endpoints, drawn from those that share it.
	rival     endpointIndex // the first of the two
	skipRival int           // usable endpoints before it
	skipOther int           // usable endpoints before the second
}

// choose walks the table to the first usable endpoint, home, or where home is full to one that the request
// may spill to. It returns noEndpoint where the request has to wait.
func (b *Balancer) choose(now Time, r *request, kind tryKind) endpointIndex {
	b.table.mark++
	localFirst := b.zones.prefersLocal(r.key)
	if r.keyless && now < b.warmup.until {
		if index := b.chooseCold(now, r, localFirst); index >= 0 {
			return index
		}
	}
	w := walk{home: noEndpoint, spare: noEndpoint}
	if localFirst {
		if index := b.walkTable(now, r, kind, true, &w); index >= 0 {
			return index
		}
	}
	if index := b.walkTable(now, r, kind, false, &w); index >= 0 {
		return index
	}
	// With every endpoint ejected, an attempt is better than certain failure.
	if w.home < 0 && w.spare >= 0 && b.table.endpoints[w.spare].hasRoom() {
		return w.spare
	}
	r.home = w.home
	return noEndpoint
}

// walkTable visits each endpoint not yet visited, in table order from the request's slot on.
func (b *Balancer) walkTable(now Time, r *request, kind tryKind, localOnly bool, w *walk) endpointIndex {
	count := len(b.table.byID)
	if localOnly {
		count = b.table.localCount
	}
	b.drawHotKeyPair(r, count, w)
	for i := 0; i < len(b.table.owners) && w.visited < count; i++ {
		index := b.table.owners[(int(r.key%slotCount)+i)%slotCount]
		e := &b.table.endpoints[index]
		if e.mark == b.table.mark || localOnly && !b.table.isLocal(e) {
			continue
		}
		e.mark = b.table.mark
		w.visited++
		if chosen := b.visit(now, r, kind, index, w); chosen >= 0 {
			return chosen
		}
	}
	return noEndpoint
}

// drawHotKeyPair draws two of the endpoints that share a hot key; for any other key both are the first.
func (b *Balancer) drawHotKeyPair(r *request, count int, w *walk) {
	sharedBy := max(1, r.keyFrequency*hotKeySpread*float64(count))
	w.rival = noEndpoint
	w.skipRival = int(b.random.fraction() * sharedBy)
	w.skipOther = int(b.random.fraction() * sharedBy)
}

// visit looks at one endpoint of the walk, and returns the endpoint chosen, or noEndpoint to go on.
func (b *Balancer) visit(now Time, r *request, kind tryKind, index endpointIndex, w *walk) endpointIndex {
	e := &b.table.endpoints[index]
	switch {
	case !b.isAllowed(now, r, index):
	case !b.isUsable(now, e) || b.isOverloaded(e):
		if w.spare < 0 && !b.warmup.isCold(now, e) {
			w.spare = index
		}
	case w.home < 0 && max(w.skipRival, w.skipOther) > 0:
		if min(w.skipRival, w.skipOther) == 0 && !b.warmup.isCold(now, e) {
			w.rival = index
		}
		w.skipRival--
		w.skipOther--
		w.spare = index
	case w.home < 0 && b.rivalWins(w.rival, e):
		return w.rival
	case e.hasRoom() && (w.home < 0 || kind == lastTry && b.load(e) < highLoad || b.maySpill(w.home, e)):
		return index
	case w.home < 0:
		w.home = index
	}
	return noEndpoint
}

// rivalWins reports whether the first endpoint drawn for a hot key is less loaded than the second.
func (b *Balancer) rivalWins(rival endpointIndex, other *endpoint) bool {
	if rival < 0 {
		return false
	}
	e := &b.table.endpoints[rival]
	return e.latencyRatio < other.latencyRatio && e.hasRoom()
}

// maySpill reports whether a request may leave its home, which is at its limit. The other endpoint, which
// doesn't have the key cached, must be lightly loaded and hold less.
func (b *Balancer) maySpill(home endpointIndex, e *endpoint) bool {
	fewer := b.table.endpoints[home].processing()-e.processing() >= spillMargin ||
		float64(e.processing()+spillMargin) <= e.limit
	return fewer && b.load(e) < lowLoad
}

// isAllowed reports whether the request may be sent to the endpoint at all: it is ready, was not tried, and
// where the request may have run, recognises a repeat.
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

// mayRepeatOn reports whether a request that may have run can be sent to the endpoint.
func (b *Balancer) mayRepeatOn(now Time, r *request, e *endpoint) bool {
	class := b.class(r)
	switch class.Idempotency {
	case Idempotent:
		return true
	case NonIdempotent:
		return false
	}
	if now+b.settings.answerMargin() >= r.ranAt+class.Window {
		return false
	}
	ranOn := &b.table.endpoints[r.ranOn]
	switch class.Group {
	case GroupZone:
		return ranOn.Zone == e.Zone
	case GroupCell:
		return ranOn.Cell == e.Cell
	}
	return true
}

// isUsable reports whether the endpoint's ejection, slow start and cold budget leave room for an attempt.
func (b *Balancer) isUsable(now Time, e *endpoint) bool {
	if now < e.ejectedUntil || e.slowStart > 0 && e.inFlight >= e.slowStart {
		return false
	}
	return !b.warmup.isCold(now, e) || b.warmup.growBudget(now, e) >= 1
}

// isOverloaded decides whether the request passes over an endpoint whose load is over its bound. Only a part
// of the requests does: hundreds of instances must not leave it at once.
func (b *Balancer) isOverloaded(e *endpoint) bool {
	share := b.loadShare(e)
	return share < 1 && b.random.fraction() > share*share
}

// loadShare is the bound on the endpoint's load, over that load. Where the list shows no load, what answers
// take stands in for it.
func (b *Balancer) loadShare(e *endpoint) float64 {
	if !b.reports.available() {
		mean := max(b.concurrency.latenessMean, b.baseline+lowLoad)
		return loadBound * mean / max(e.latencyRatio, b.baseline)
	}
	return loadBound * (1 + b.reports.mean) / (1 + e.reportedLoad)
}

// load is by how much an endpoint's answers exceed the unloaded ones, in target latencies.
func (b *Balancer) load(e *endpoint) float64 { return e.latencyRatio - b.baseline }
