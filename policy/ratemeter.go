package policy

import "math"

// rateWindow is the time constant over which a rateMeter forgets.
const rateWindow Time = 3 * Second

// rateMeter is an exponentially decaying rate of events a second.
type rateMeter struct {
	rate      float64
	updatedAt Time
}

// now returns the rate as it stands.
func (m *rateMeter) now(now Time) float64 {
	m.rate *= math.Exp(-float64(max(0, now-m.updatedAt)) / float64(rateWindow))
	m.updatedAt = max(m.updatedAt, now)
	return m.rate
}

// count adds one event.
func (m *rateMeter) count(now Time) {
	m.rate = m.now(now) + float64(Second)/float64(rateWindow)
}
