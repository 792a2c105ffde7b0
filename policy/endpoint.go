package policy

// endpointIndex is the index of an endpoint in slotTable.endpoints.
type endpointIndex int32

// noEndpoint is the index of no endpoint.
const noEndpoint endpointIndex = -1

// initialEndpointLimit is the number of attempts that may be in flight to a new endpoint.
const initialEndpointLimit = 2

// Weights of an answer in an endpoint's mean latency. After a silence an answer counts for more.
const (
	minAnswerWeight = 0.2
	// answerMemory is the silence, in target latencies, after which the mean starts anew.
	answerMemory = 4
)

// endpoint is an endpoint of the list and what this instance knows of it.
type endpoint struct {
	Member
	inTable  bool    // else its place is free for another
	ranks    []int32 // its slots, by their rank in the seeded order
	target   int     // slots that its share comes to
	listedAt Time    // when it was last listed
	mark     uint32  // walk or list in which it was last met

	inFlight     int
	bodyPending  int // attempts in flight whose request body is still coming: no work is done on them yet
	connectedAt  Time
	reportedLoad float64 // requests held for each core, as the list last showed

	limit     float64 // attempts that may be in flight
	reducedAt Time    // last reduction of the limit

	latencyRatio float64 // mean of answer time over target latency
	observedAt   Time    // last change of latencyRatio by an answer
	healthyAt    Time    // when the latest successful attempt was sent

	failures     int    // consecutive failures
	failureKey   uint64 // key of the last of them
	ejectedUntil Time
	ejectionTime Time
	slowStart    int // attempts allowed in flight after an ejection; 0 when in full use

	successes       rateMeter
	coldBudget      float64 // attempts saved up while cold
	budgetUpdatedAt Time
}

// processing is the number of attempts that the endpoint works on.
func (e *endpoint) processing() int { return e.inFlight - e.bodyPending }

// hasRoom reports whether one more attempt may be in flight.
func (e *endpoint) hasRoom() bool { return float64(e.processing()) < e.limit }

// nearLimit reports whether the limit is in full use, or nearly so.
func (e *endpoint) nearLimit() bool { return float64(e.processing()+2) >= e.limit }

// observeLatency adds an answer's time, in target latencies, to the mean.
func (e *endpoint) observeLatency(now, target Time, ratio float64) {
	sinceLast := float64(now-e.observedAt) / float64(answerMemory*target)
	e.latencyRatio += max(minAnswerWeight, min(1, sinceLast)) * (ratio - e.latencyRatio)
	e.observedAt = now
}

// restart voids what was learned before the endpoint started anew.
func (e *endpoint) restart(now Time, coldBudget float64) {
	e.limit = initialEndpointLimit
	e.latencyRatio = 0
	e.failures = 0
	e.slowStart = 0
	e.ejectedUntil = 0
	e.ejectionTime = 0
	e.coldBudget = coldBudget
	e.budgetUpdatedAt = now
	e.successes = rateMeter{}
}
