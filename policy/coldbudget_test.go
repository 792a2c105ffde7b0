package policy

import (
	"fmt"
	"math"
	"testing"
)

// coldFleet is one cold endpoint and many instances, each with its own cold budget for the endpoint. The attempts of
// all instances together are compared with what the settings allow within OverloadWindow. That is N+2*sqrt(N)+2 calls,
// where N is what the endpoint can take with OverloadMultiple and the rest allows for chance.
type coldFleet struct {
	*Settings
	balancers    []*Balancer
	endpoints    []*endpoint // state of the endpoint at each instance
	capacity     float64     // calls of mean work per second that the endpoint can answer when warm
	started      Time        // start of the endpoint
	utilization  float64     // part of their capacity that warm endpoints use
	queue        []int       // calls waiting at the endpoint, by the index of the instance
	capacityLeft float64     // calls that the endpoint can answer now
	sent         []Time      // attempts within the last OverloadWindow
	worst        float64     // largest ratio of attempts in one OverloadWindow to what is allowed
	worstAt      Time        // when the ratio was largest
}

func newColdFleet(instances int, capacity, utilization float64, window Time, coldCapacity float64, seed uint64) *coldFleet {
	f := &coldFleet{capacity: capacity, utilization: utilization, Settings: &Settings{Instances: instances, FixedWeights: true, MaxAttempts: 3, Tick: 5 * Millisecond,
		ColdCapacity: coldCapacity, ColdTime: 20 * Second, OverloadMultiple: 3, OverloadWindow: window, Classes: []Class{{Name: "r", Target: Second}}}}
	for i := range instances {
		b := &Balancer{random: newRandomSource((seed*1000 + uint64(i)) * 0x9e3779b97f4a7c15),
			warmup: warmup{settings: f.Settings, rate: utilization * capacity / float64(instances)}}
		f.balancers, f.endpoints = append(f.balancers, b), append(f.endpoints, nil)
	}
	return f
}

// start resets the endpoint's state at the instances with an index of at least first: use it when the endpoint has
// started at the given time, or when these instances have restarted.
func (f *coldFleet) start(now, startedAt Time, first int) {
	f.started = startedAt
	for i := first; i < len(f.balancers); i++ {
		f.endpoints[i] = &endpoint{Member: Member{ID: 1, Weight: 1, Started: startedAt}, coldBudget: f.balancers[i].random.fraction(), budgetUpdatedAt: now}
	}
}

// step advances the fleet by one step: the instances for which sends is true use up their budgets, and the endpoint
// answers as many calls as its capacity allows.
func (f *coldFleet) step(now, step Time, sends func(i int) bool) {
	for i, b := range f.balancers {
		for sends(i) && b.warmup.growBudget(now, f.endpoints[i]) >= 1 {
			f.endpoints[i].coldBudget--
			f.sent, f.queue = append(f.sent, now), append(f.queue, i)
		}
	}
	share := min(1, f.ColdCapacity+(1-f.ColdCapacity)*float64(now-f.started)/float64(f.ColdTime))
	for f.capacityLeft += f.capacity * share * float64(step) / float64(Second); f.capacityLeft >= 1; f.capacityLeft-- {
		if len(f.queue) > 0 {
			f.endpoints[f.queue[0]].successes.count(now)
			f.queue = f.queue[1:]
		}
	}
	for len(f.sent) > 0 && f.sent[0] <= now-f.OverloadWindow {
		f.sent = f.sent[1:]
	}
	allowed := f.OverloadMultiple * share * f.capacity * float64(f.OverloadWindow) / float64(Second)
	if ratio := float64(len(f.sent)) / (allowed + 2*math.Sqrt(allowed) + 2); ratio > f.worst {
		f.worst, f.worstAt = ratio, now
	}
}

// Instances do not know of each other's attempts, yet all instances together must not overload a cold endpoint. This
// applies from the endpoint's start on, after a time without attempts, when attempts come in bursts, after a restart of
// the endpoint, and while instances restart. The numbers of instances and the capacities are those of deployments, from
// a few processes to the largest.
func TestFleetStaysWithinTheColdBudget(t *testing.T) {
	const step = 40 * Millisecond
	for _, instances := range []int{4, 8, 24, 30, 60, 300, 350} {
		for _, capacity := range []float64{4, 40} {
			for _, window := range []Time{Second, 3 * Second} {
				for _, coldCapacity := range []float64{0.13, 0.33} {
					worst, where := 0.0, ""
					for quiet := Time(0); quiet < 18*Second; quiet += 3 * Second {
						for name, pattern := range map[string]func(f *coldFleet, now Time) func(int) bool{
							"all the time": func(*coldFleet, Time) func(int) bool { return func(int) bool { return true } },
							"in bursts":    func(_ *coldFleet, now Time) func(int) bool { return func(int) bool { return now/(2*Second)%2 == 0 } },
							"alternating halves": func(_ *coldFleet, now Time) func(int) bool {
								return func(i int) bool { return Time(i)%2 == now/Second%2 }
							},
							"instance restarts": func(f *coldFleet, now Time) func(int) bool {
								if now%Second < step {
									started := f.started
									// Once a second, the last tenth of the instances restarts.
									f.start(now, started, len(f.balancers)*9/10)
								}
								return func(int) bool { return true }
							},
							"endpoint restart": func(f *coldFleet, now Time) func(int) bool {
								if now >= 10*Second && f.started < 10*Second {
									f.sent, f.queue = nil, nil
									f.start(now, now, 0)
								}
								return func(int) bool { return now < 4*Second || now-f.started > quiet }
							},
						} {
							f := newColdFleet(instances, capacity, 1, window, coldCapacity, uint64(quiet/Second)+1)
							f.start(1, 1, 0)
							for now := Time(1); now < f.ColdTime; now += step {
								sends := pattern(f, now)
								f.step(now, step, func(i int) bool { return (now >= quiet || name == "endpoint restart") && sends(i) })
							}
							if f.worst > worst {
								worst, where = f.worst, fmt.Sprintf("%s, quiet for %d s, at %d ms", name, quiet/Second, f.worstAt/Millisecond)
							}
						}
					}
					if worst > 1 {
						t.Errorf("%d instances, capacity %g calls/s, window %d s, cold capacity %g: %.2f of what is allowed: %s",
							instances, capacity, window/Second, coldCapacity, worst, where)
					}
				}
			}
		}
	}
}
