package policy

import "math"

// meter is a rate a second that forgets over rateSpan.
type meter struct {
	rate float64
	at   Time
}

// now gives the rate as it stands.
func (m *meter) now(now Time) float64 {
	m.rate *= math.Exp(-float64(max(0, now-m.at)) / float64(rateSpan))
	m.at = max(m.at, now)
	return m.rate
}

// count adds one event.
func (m *meter) count(now Time) { m.rate = m.now(now) + float64(Second)/float64(rateSpan) }
