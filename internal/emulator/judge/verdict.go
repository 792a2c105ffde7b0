package judge

import (
	"cmp"
	"slices"

	"pepperlead/policy"
)

// ServedValue is value offered by clients and value earned by responses in time.
type ServedValue struct {
	Name      string  `json:"name"`
	Requested float64 `json:"asked"`
	Earned    float64 `json:"got"`
}

// Fraction is the part of the offered value that was earned; 1 where nothing was offered.
func (s ServedValue) Fraction() float64 {
	if s.Requested <= 0 {
		return 1
	}
	return s.Earned / s.Requested
}

func (s *ServedValue) add(client *clientRequest) {
	s.Requested += client.value
	s.Earned += client.earned
}

// secondValue is the value of the requests begun in one second.
type secondValue struct{ requested, earned float64 }

func (s *secondValue) add(other secondValue) {
	s.requested += other.requested
	s.earned += other.earned
}

// fraction is as ServedValue's.
func (s secondValue) fraction() float64 {
	return ServedValue{Requested: s.requested, Earned: s.earned}.Fraction()
}

// Verdict is the result of a day.
type Verdict struct {
	ViolationCounts [ruleCount]int `json:"broken"` // by rule
	Violations      []Violation    `json:"breaks,omitempty"`
	Service         float64        `json:"service"` // value in time over value offered
	Worst10         float64        `json:"worst_10s"`
	Classes         []ServedValue  `json:"offerings"`
	Tenants         []ServedValue  `json:"franchises,omitempty"`
	ClientRequests  int            `json:"requests"`
	Requests        uint64         `json:"tickets"`
	Attempts        int            `json:"pushes"`
	Succeeded       int            `json:"honoured"`
	Rejected        int            `json:"turned_back"`
	Failed          int            `json:"given_up"`
	Late            int            `json:"late"`
	CrossZone       float64        `json:"crossed"` // part of the attempts that went to another zone
	Spread          Spread         `json:"even"`
	Seconds         []ServedValue  `json:"seconds"`
}

// NoViolations reports whether no rule was broken.
func (v *Verdict) NoViolations() bool { return v.ViolationCounts == [ruleCount]int{} }

// Finish ends the day: what is still open counts as it is.
func (j *Judge) Finish(at policy.Time) *Verdict {
	for i := range j.requests {
		r := &j.requests[i]
		if r.inUse && !r.answered && !r.abandoned && at > r.deadline {
			j.violate(1, at, r.number, "no final answer before its cut-off")
		}
	}
	verdict := &Verdict{
		ViolationCounts: j.violationCounts,
		Violations:      j.violations,
		Classes:         j.byClass,
		Tenants:         j.byTenant,
		ClientRequests:  j.clientRequestCount,
		Requests:        j.lastNumber,
		Attempts:        j.attempts,
		Succeeded:       j.answers[Succeeded],
		Rejected:        j.answers[Rejected],
		Failed:          j.answers[Failed],
		Late:            j.late,
		Spread:          j.spread.finish(),
	}
	byTime := func(a, b Violation) int { return cmp.Compare(a.At, b.At) }
	slices.SortStableFunc(verdict.Violations, byTime)
	if j.attempts > 0 {
		verdict.CrossZone = float64(j.crossZone) / float64(j.attempts)
	}
	j.addSeconds(verdict)
	return verdict
}

// addSeconds adds the service of the day, of its seconds, and of its worst ten seconds.
func (j *Judge) addSeconds(verdict *Verdict) {
	const windowSeconds = 10
	var day, window secondValue
	verdict.Worst10 = 1
	for i, second := range j.seconds {
		day.add(second)
		window.add(second)
		verdict.Seconds = append(verdict.Seconds, ServedValue{Requested: second.requested, Earned: second.earned})
		if i >= windowSeconds {
			window.requested -= j.seconds[i-windowSeconds].requested
			window.earned -= j.seconds[i-windowSeconds].earned
		}
		if i >= windowSeconds-1 && window.requested > 0 {
			// Sums of floats may fall a little under 0.
			verdict.Worst10 = min(verdict.Worst10, max(0, window.earned/window.requested))
		}
	}
	verdict.Service = day.fraction()
}
