package judge

import (
	"cmp"
	"slices"

	"pepperlead/policy"
)

// ServedValue is the value of the requests of clients and the part of it that responses have earned. A response after
// the target latency earns only a part of the value.
type ServedValue struct {
	Name      string  `json:"name"`
	Requested float64 `json:"asked"`
	Earned    float64 `json:"got"`
}

// Fraction returns the part of the requested value that was earned, or 1 if no value was requested.
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

// secondValue is the value of the requests that began in one second.
type secondValue struct{ requested, earned float64 }

func (s *secondValue) add(other secondValue) {
	s.requested += other.requested
	s.earned += other.earned
}

// fraction returns the earned part of the value, or 1 if there is no value, like ServedValue.Fraction.
func (s secondValue) fraction() float64 {
	return ServedValue{Requested: s.requested, Earned: s.earned}.Fraction()
}

// Verdict is the result of a run.
type Verdict struct {
	ViolationCounts [ruleCount]int `json:"broken"` // by rule
	Violations      []Violation    `json:"breaks,omitempty"`
	Service         float64        `json:"service"`   // earned value divided by requested value
	Worst10         float64        `json:"worst_10s"` // the same, minimum over windows of 10 s
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

// Finish ends the run and returns the result. A request without an answer breaks rule 1 if its deadline has passed. The
// value of a client's request that is still open is not counted.
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

// addSeconds adds the service of the run, of each second, and of the worst ten seconds.
func (j *Judge) addSeconds(verdict *Verdict) {
	const windowSeconds = 10
	var total, window secondValue
	verdict.Worst10 = 1
	for i, second := range j.seconds {
		total.add(second)
		window.add(second)
		verdict.Seconds = append(verdict.Seconds, ServedValue{Requested: second.requested, Earned: second.earned})
		if i >= windowSeconds {
			window.requested -= j.seconds[i-windowSeconds].requested
			window.earned -= j.seconds[i-windowSeconds].earned
		}
		if i >= windowSeconds-1 && window.requested > 0 {
			// Rounding errors may bring the sum slightly below 0.
			verdict.Worst10 = min(verdict.Worst10, max(0, window.earned/window.requested))
		}
	}
	verdict.Service = total.fraction()
}
