package emulator

import (
	"pepperlead/internal/emulator/judge"
	"pepperlead/policy"
)

// AnswerObserver receives the answers of a day, for a report.
type AnswerObserver interface {
	Answer(o policy.ClassID, a judge.Answer, spent policy.Time)
}

// Sample is the state of the fleet at one time.
type Sample struct {
	At         policy.Time `json:"at_ns"`
	Attempts   []int       `json:"pushes"` // in flight, by endpoint
	Waiting    int         `json:"waiting"`
	Busy       float64     `json:"busy"`  // part of all cores
	TotalLimit float64     `json:"pace"`  // mean over the instances; 0 where the policy has none
	Limit      float64     `json:"limit"` // the same
	Ejected    float64     `json:"aside"` // the same
}

// takeSample adds a sample, once a second.
func (w *World) takeSample(*event) {
	if w.observer != nil {
		s := Sample{At: w.sinceStart(w.now)}
		all, busy := 0.0, 0.0
		for _, v := range w.endpoints {
			s.Attempts = append(s.Attempts, v.inFlight)
			s.Waiting += max(0, v.machine.Jobs()-int(v.traits.Cores))
			if v.status != policy.Removed {
				all += v.traits.Cores
			}
			busy += v.machine.Busy()
		}
		s.Busy = busy / max(all, 1)
		w.addGauges(&s)
		w.Series = append(w.Series, s)
	}
	if w.now < dayStart+w.scenario.Length {
		w.queue.add(event{at: w.now + policy.Second, rank: rankWorld, do: (*World).takeSample})
	}
}

// observeInterval is how often the judge observes the endpoints.
const observeInterval = policy.Second / 4

// observeEndpoints reports to the judge which endpoints take new work, and how many are idle while others queue.
func (w *World) observeEndpoints(*event) {
	idle := 0
	queues := false
	for _, v := range w.endpoints {
		size := v.traits.Cores * v.traits.Speed
		if v.status != policy.Ready || v.down || v.unreachable() {
			size = 0
		}
		w.judge.CapacityChanged(w.sinceStart(w.now), v.number, size)
		if in := v.machine.Jobs(); size > 0 && in == 0 {
			idle++
		} else if v.machine.Queued() > 0 {
			queues = true
		}
	}
	w.judge.IdleObserved(idle, queues, observeInterval)
	if w.now < dayStart+w.scenario.Length {
		w.queue.add(event{at: w.now + observeInterval, rank: rankWorld, do: (*World).observeEndpoints})
	}
}

// gaugeSource is a decider that has gauges.
type gaugeSource interface{ Gauges() policy.Gauges }

// addGauges adds the gauges of the instances whose decider has them.
func (w *World) addGauges(s *Sample) {
	n := 0.0
	for _, c := range w.instances {
		if source, has := c.decider.(gaugeSource); has && c.alive {
			g := source.Gauges()
			n++
			s.TotalLimit += min(g.TotalLimit, 1e4)
			s.Limit += g.Limit
			s.Ejected += float64(g.Ejected)
		}
	}
	if n > 0 {
		s.TotalLimit /= n
		s.Limit /= n
		s.Ejected /= n
	}
}
