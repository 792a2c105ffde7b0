package judge

import (
	"math"

	"pepperlead/policy"
)

// Spread measures how evenly attempts were distributed over the endpoints in service, relative to their capacity.
// Windows in which the capacity of any endpoint changed are not counted.
type Spread struct {
	// Scatter is how far the attempts at the endpoints deviate from shares by capacity, as a multiple of the deviation
	// of a random distribution: the mean over windows of 1 s, and the mean over windows of 5 s.
	Scatter [2]float64 `json:"scatter"`
	// KeyScatter is what Scatter would be if all attempts with the same key went to one endpoint, chosen at random.
	KeyScatter  [2]float64 `json:"forced"`
	Busiest     float64    `json:"busiest"`      // attempts at the busiest endpoint / its share, mean of 5 s windows
	BusiestMax  float64    `json:"busiest_most"` // like Busiest, but the maximum of the 5 s windows
	IdleSeconds float64    `json:"idle_s"`       // seconds that endpoints were idle while others had queues, summed
	Herd        float64    `json:"herd"`         // attempts at an endpoint beyond its share, maximum of 50 ms windows
}

// Windows over which attempts are counted.
const (
	shortWindow = iota
	longWindow
	herdWindow
	windowCount
	keyWindowCount = herdWindow // keys are counted in the windows before this index only
)

var windowLengths = [windowCount]policy.Time{policy.Second, 5 * policy.Second, 50 * policy.Millisecond}

// requestKey is the bit that marks a substitute key: a request without a key is counted under its number with this bit
// set.
const requestKey = 1 << 63

// window counts the attempts of the current window and adds up the results of earlier ones.
type window struct {
	start         policy.Time
	changed       bool      // the capacity of an endpoint changed during the window
	attempts      []float64 // by endpoint
	total         float64
	byKey         map[uint64]float64
	scatterSum    float64 // over the earlier windows that count
	keyScatterSum float64
	windowsEnded  float64 // number of the earlier windows that count
}

// spreadCounter computes the Spread of a run.
type spreadCounter struct {
	capacity      []float64 // of endpoints; 0: not in service
	totalCapacity float64
	windows       [windowCount]window
	busiestSum    float64
	result        Spread
}

// CapacityChanged records the capacity of an endpoint, in cores at speed 1. It is 0 while the endpoint takes no new
// work.
func (j *Judge) CapacityChanged(at policy.Time, endpoint EndpointID, capacity float64) {
	s := &j.spread
	for len(s.capacity) <= int(endpoint) {
		s.capacity = append(s.capacity, 0)
	}
	if s.capacity[endpoint] == capacity {
		return
	}
	s.endWindows(at)
	s.totalCapacity += capacity - s.capacity[endpoint]
	s.capacity[endpoint] = capacity
	for i := range s.windows {
		s.windows[i].changed = true
	}
}

// IdleObserved records how many endpoints were idle during a span, and whether others had more jobs than they can
// process at once.
func (j *Judge) IdleObserved(idle int, othersQueue bool, span policy.Time) {
	if othersQueue {
		j.spread.result.IdleSeconds += float64(idle) * float64(span) / float64(policy.Second)
	}
}

// countAttempt counts an attempt at an endpoint in service.
func (s *spreadCounter) countAttempt(at policy.Time, endpoint EndpointID, key, number uint64) {
	s.endWindows(at)
	if key == 0 {
		key = number | requestKey
	}
	for i := range s.windows {
		w := &s.windows[i]
		for len(w.attempts) < len(s.capacity) {
			w.attempts = append(w.attempts, 0)
		}
		if int(endpoint) >= len(s.capacity) || s.capacity[endpoint] <= 0 {
			continue
		}
		w.attempts[endpoint]++
		w.total++
		if i >= keyWindowCount {
			continue
		}
		if w.byKey == nil {
			w.byKey = map[uint64]float64{}
		}
		w.byKey[key]++
	}
}

// endWindows ends the windows that are over at the given time, and begins new ones.
func (s *spreadCounter) endWindows(at policy.Time) {
	for i, length := range windowLengths {
		w := &s.windows[i]
		if at < w.start+length {
			continue
		}
		if w.total > 0 && !w.changed {
			s.countWindow(i)
		}
		clear(w.attempts)
		clear(w.byKey)
		w.total = 0
		w.changed = false
		w.start = at - at%length
	}
}

// countWindow adds a window that has ended to the sums.
func (s *spreadCounter) countWindow(i int) {
	w := &s.windows[i]
	chiSquare := 0.0
	maxOverShare := 0.0
	maxExcess := 0.0
	for endpoint, attempts := range w.attempts {
		share := w.total * s.capacity[endpoint] / s.totalCapacity
		if share <= 0 {
			continue
		}
		chiSquare += (attempts - share) * (attempts - share) / share
		maxOverShare = max(maxOverShare, attempts/share)
		maxExcess = max(maxExcess, attempts-share)
	}
	if i == herdWindow {
		s.result.Herd = max(s.result.Herd, maxExcess)
		return
	}
	if i == longWindow {
		s.busiestSum += maxOverShare
		s.result.BusiestMax = max(s.result.BusiestMax, maxOverShare)
	}
	inService := 0.0
	for _, capacity := range s.capacity {
		if capacity > 0 {
			inService++
		}
	}
	squares := 0.0
	for _, attempts := range w.byKey {
		squares += attempts * attempts
	}
	w.scatterSum += math.Sqrt(chiSquare / max(1, inService-1))
	w.keyScatterSum += math.Sqrt(squares / w.total)
	w.windowsEnded++
}

// finish returns the result. The windows that have not ended yet are not counted.
func (s *spreadCounter) finish() Spread {
	for i := range keyWindowCount {
		w := &s.windows[i]
		if w.windowsEnded > 0 {
			s.result.Scatter[i] = w.scatterSum / w.windowsEnded
			s.result.KeyScatter[i] = w.keyScatterSum / w.windowsEnded
		}
	}
	if ended := s.windows[longWindow].windowsEnded; ended > 0 {
		s.result.Busiest = s.busiestSum / ended
	}
	return s.result
}
