package policy

import "math"

// rateWindow is the time constant with which a rateMeter decays.
const rateWindow Time = 3 * Second

// rateMeter estimates a rate of events, with exponential decay.
type rateMeter struct {
	rate      float64 // events per second at updatedAt
	updatedAt Time
}

// current returns the rate at the given time.
func (m *rateMeter) current(now Time) float64 {
	m.rate *= math.Exp(-float64(max(0, now-m.updatedAt)) / float64(rateWindow))
	m.updatedAt = max(m.updatedAt, now)
	return m.rate
}

// count adds one event at the given time.
func (m *rateMeter) count(now Time) {
	m.rate = m.current(now) + float64(Second)/float64(rateWindow)
}
