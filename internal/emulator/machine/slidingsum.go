package machine

import "pepperlead/policy"

// slidingSumParts is the number of parts of a slidingSum's span. Values leave the sum one part at a time.
const slidingSumParts = 16

// slidingSum is the sum of the values that were added within the last span.
type slidingSum struct {
	span   policy.Time
	sums   [slidingSumParts]float64 // by part, in a ring
	latest int64                    // number of the latest part
	sum    float64
}

func (s *slidingSum) reset(span policy.Time) { *s = slidingSum{span: max(span, slidingSumParts)} }

// add adds a value and returns the sum.
func (s *slidingSum) add(now policy.Time, value float64) float64 {
	part := int64(now / (s.span / slidingSumParts))
	if part-s.latest >= slidingSumParts {
		s.sums = [slidingSumParts]float64{}
		s.sum = 0
		s.latest = part
	}
	for ; s.latest < part; s.latest++ {
		i := (s.latest + 1) % slidingSumParts
		s.sum -= s.sums[i]
		s.sums[i] = 0
	}
	s.sums[part%slidingSumParts] += value
	s.sum += value
	return s.sum
}
