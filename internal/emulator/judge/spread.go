package judge

import (
	"math"

	"pepperlead/policy"
)

// Spread is how evenly attempts lay over the endpoints in service, each by its capacity, in windows in which none
// came or went.
type Spread struct {
	// Scatter is that of attempts per endpoint over that of chance alone, in windows of 1 s and of 5 s.
	Scatter [2]float64 `json:"scatter"`
	// KeyScatter is what Scatter would be if every key had one endpoint, drawn by chance.
	KeyScatter  [2]float64 `json:"forced"`
	Busiest     float64    `json:"busiest"`      // attempts there over its share, mean of windows of 5 s
	BusiestMax  float64    `json:"busiest_most"` // the maximum of these
	IdleSeconds float64    `json:"idle_s"`       // endpoint seconds in which one was idle while others queued
	Herd        float64    `json:"herd"`         // most attempts one endpoint got within 50 ms beyond its share
}

// Windows over which attempts are counted.
const (
	shortWindow = iota
	longWindow
	herdWindow
	windowCount
	keyWindowCount = herdWindow // those in which keys are counted too
)

var windowLengths = [windowCount]policy.Time{policy.Second, 5 * policy.Second, 50 * policy.Millisecond}

// ownKey marks a key that stands for one request without a key.
const ownKey = 1 << 63

// window counts the attempts of the window under way.
type window struct {
	start         policy.Time
	changed       bool      // endpoints came or went in it
	attempts      []float64 // by endpoint
	total         float64
	byKey         map[uint64]float64
	scatterSum    float64 // over the windows that have ended
	keyScatterSum float64
	windowsEnded  float64
}

// spreadCounter counts attempts by endpoint.
type spreadCounter struct {
	capacity      []float64 // of endpoints; 0: not in service
	totalCapacity float64
	windows       [windowCount]window
	busiestSum    float64
	result        Spread
}

// CapacityChanged records what an endpoint can do in a time, 0 when it takes no new work.
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

// IdleObserved records how many endpoints were idle for the span, and whether others had more than they can work on
// at once.
func (j *Judge) IdleObserved(idle int, othersQueue bool, span policy.Time) {
	if othersQueue {
		j.spread.result.IdleSeconds += float64(idle) * float64(span) / float64(policy.Second)
	}
}

func (s *spreadCounter) countAttempt(at policy.Time, endpoint EndpointID, key, number uint64) {
	s.endWindows(at)
	if key == 0 {
		key = number | ownKey
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

// endWindows ends the windows that are over by then.
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

// countWindow adds a window that has ended to the result.
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

// finish returns the result; windows that have not ended do not count.
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
