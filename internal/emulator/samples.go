package emulator

import (
	"pepperlead/internal/emulator/judge"
	"pepperlead/policy"
)

// AnswerObserver receives each final answer of a run. elapsed is the time since the request reached its instance.
type AnswerObserver interface {
	Answer(class policy.ClassID, answer judge.Answer, elapsed policy.Time)
}

// Sample is the state of the fleet at a point in time.
type Sample struct {
	At       policy.Time `json:"at_ns"`
	Attempts []int       `json:"pushes"`  // number of attempts in flight, by endpoint
	Waiting  int         `json:"waiting"` // jobs beyond the cores of their endpoints
	Busy     float64     `json:"busy"`    // part of the cores that are in use
	// These are means over the running instances, 0 if the policy has no gauges.
	TotalLimit float64 `json:"pace"`  // concurrency limit of an instance, counted as 1e4 if it is higher
	Limit      float64 `json:"limit"` // mean concurrency limit of an endpoint at an instance
	Ejected    float64 `json:"aside"` // number of endpoints that an instance has ejected
}

// takeSample adds a sample to Series if the run has an observer. It runs once a second.
func (w *World) takeSample(*event) {
	if w.observer != nil {
		s := Sample{At: w.sinceStart(w.now)}
		cores, busy := 0.0, 0.0
		for _, ep := range w.endpoints {
			s.Attempts = append(s.Attempts, ep.inFlight)
			s.Waiting += max(0, ep.machine.Jobs()-int(ep.traits.Cores))
			if ep.status != policy.Removed {
				cores += ep.traits.Cores
			}
			busy += ep.machine.Busy()
		}
		s.Busy = busy / max(cores, 1)
		w.addGauges(&s)
		w.Series = append(w.Series, s)
	}
	if w.now < startTime+w.scenario.Length {
		w.queue.add(event{at: w.now + policy.Second, rank: rankWorld, do: (*World).takeSample})
	}
}

// observeInterval is how often the judge observes the endpoints.
const observeInterval = policy.Second / 4

// observeEndpoints reports to the judge the capacity of each endpoint, 0 for one that takes no new work, and how many
// are idle while others have queues.
func (w *World) observeEndpoints(*event) {
	idle := 0
	othersQueue := false
	for _, ep := range w.endpoints {
		capacity := ep.traits.Cores * ep.traits.Speed
		if ep.status != policy.Ready || ep.down || ep.unreachable() {
			capacity = 0
		}
		w.judge.CapacityChanged(w.sinceStart(w.now), ep.number, capacity)
		if jobs := ep.machine.Jobs(); capacity > 0 && jobs == 0 {
			idle++
		} else if ep.machine.Queued() > 0 {
			othersQueue = true
		}
	}
	w.judge.IdleObserved(idle, othersQueue, observeInterval)
	if w.now < startTime+w.scenario.Length {
		w.queue.add(event{at: w.now + observeInterval, rank: rankWorld, do: (*World).observeEndpoints})
	}
}

// gaugeSource is implemented by deciders that have gauges.
type gaugeSource interface{ Gauges() policy.Gauges }

// addGauges adds to a sample the means of the gauges of all running instances whose decider has gauges.
func (w *World) addGauges(s *Sample) {
	count := 0.0
	for _, inst := range w.instances {
		if source, has := inst.decider.(gaugeSource); has && inst.alive {
			gauges := source.Gauges()
			count++
			s.TotalLimit += min(gauges.ConcurrencyLimit, 1e4)
			s.Limit += gauges.MeanEndpointLimit
			s.Ejected += float64(gauges.Ejected)
		}
	}
	if count > 0 {
		s.TotalLimit /= count
		s.Limit /= count
		s.Ejected /= count
	}
}
