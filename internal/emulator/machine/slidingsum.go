package machine

import "pepperlead/policy"

// slidingSumParts is how many parts of its span a slidingSum forgets one at a time.
const slidingSumParts = 16

// slidingSum adds up values of the last span.
type slidingSum struct {
	span policy.Time
	sums [slidingSumParts]float64
	at   int64
	sum  float64
}

func (w *slidingSum) reset(span policy.Time) { *w = slidingSum{span: max(span, slidingSumParts)} }

// add adds a value and returns the sum.
func (w *slidingSum) add(now policy.Time, v float64) float64 {
	at := int64(now / (w.span / slidingSumParts))
	if at-w.at >= slidingSumParts {
		w.sums = [slidingSumParts]float64{}
		w.sum = 0
		w.at = at
	}
	for ; w.at < at; w.at++ {
		i := (w.at + 1) % slidingSumParts
		w.sum -= w.sums[i]
		w.sums[i] = 0
	}
	w.sums[at%slidingSumParts] += v
	w.sum += v
	return w.sum
}
