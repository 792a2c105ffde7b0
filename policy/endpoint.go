package policy

// endpointIndex is the index of an endpoint in slotTable.endpoints.
type endpointIndex int32

// noEndpoint is the endpointIndex that means that there is no endpoint.
const noEndpoint endpointIndex = -1

// initialEndpointLimit is the limit of attempts in flight to a new or restarted endpoint.
const initialEndpointLimit = 2

// The weight of the latest answer in an endpoint's mean latency grows with the time since the previous
// answer.
const (
	// minAnswerWeight is the weight of an answer that follows the previous one closely.
	minAnswerWeight = 0.2
	// answerMemory is the time since the previous answer, in target latencies, after which the latest answer
	// replaces the mean.
	answerMemory = 4
)

// endpoint is an endpoint of the list with the state that this instance keeps for it.
type endpoint struct {
	Member
	inTable     bool    // whether it is in the slot table; if not, another endpoint may reuse this entry
	ranks       []int32 // ranks of its slots in slotTable.order
	targetSlots int     // number of slots that its weight entitles it to
	listedAt    Time    // latest maintenance that found it listed; before the first one, when it was added
	mark        uint32  // slotTable.mark when a walk last visited it or a list last contained it

	inFlight     int     // attempts in flight
	bodyPending  int     // attempts in flight whose request body is incomplete: it does not work on them yet
	lastUsedAt   Time    // end of the latest attempt; 0: no attempt since its idle connections were released
	reportedLoad float64 // requests that it holds for each core, according to the latest list

	limit     float64 // most attempts in flight, not counting those in bodyPending
	reducedAt Time    // when the limit was last reduced

	latencyRatio float64 // moving average of answer time / target latency
	observedAt   Time    // when an answer last changed latencyRatio
	healthyAt    Time    // when the latest successful attempt was sent

	failures     int    // consecutive failures; reset by a success
	failureKey   uint64 // hash of the request key of the latest of these failures
	ejectedUntil Time   // end of the latest ejection, possibly in the past; 0: no ejection since its start
	ejectionTime Time   // length of the latest ejection before jitter; 0: no ejection since a success or start
	slowStart    int    // attempts allowed in flight during slow start; 0: not in slow start

	doubtedAt    Time // since when its process may have been replaced by that of another endpoint
	doubtedUntil Time // end of that time

	successes       rateMeter // rate of successful attempts
	coldBudget      float64   // attempts that may be sent to it now while it is cold
	budgetUpdatedAt Time      // when coldBudget last grew or was reset
}

// processing returns the number of attempts that the endpoint is working on.
func (e *endpoint) processing() int { return e.inFlight - e.bodyPending }

// hasRoom reports whether one more attempt may be in flight.
func (e *endpoint) hasRoom() bool { return float64(e.processing()) < e.limit }

// nearLimit reports whether two more attempts would reach the limit.
func (e *endpoint) nearLimit() bool { return float64(e.processing()+2) >= e.limit }

// observeLatency adds an answer to the mean latency. ratio is its answer time / target latency.
func (e *endpoint) observeLatency(now, target Time, ratio float64) {
	sinceLast := float64(now-e.observedAt) / float64(answerMemory*target)
	e.latencyRatio += max(minAnswerWeight, min(1, sinceLast)) * (ratio - e.latencyRatio)
	e.observedAt = now
}

// restart resets the state learned before the endpoint restarted, and sets its cold budget.
func (e *endpoint) restart(now Time, coldBudget float64) {
	e.limit = initialEndpointLimit
	e.latencyRatio = 0
	e.failures = 0
	e.slowStart = 0
	e.ejectedUntil = 0
	e.ejectionTime = 0
	e.doubtedUntil = 0
	e.coldBudget = coldBudget
	e.budgetUpdatedAt = now
	e.successes = rateMeter{}
}
