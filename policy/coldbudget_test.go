package policy

import (
	"fmt"
	"math"
	"testing"
)

// coldFleet is one cold endpoint before many instances that share nothing, each with the budget that it alone keeps.
// What they may send in sum is held against what the settings allow: N calls of mean work in the time in which a cold
// endpoint falls, beyond which only 2 roots of N and 2 more are chance.
type coldFleet struct {
	*Settings
	balancers    []*Balancer
	endpoints    []*endpoint // as each instance has it
	capacity     float64     // calls of mean work that the endpoint bears in a second when warm
	started      Time
	utilization  float64 // part of what the warm endpoints bear that is asked of them
	queue        []int   // whose calls it still has to answer
	capacityLeft float64
	sent         []Time
	worst        float64 // sum over what is allowed
	worstAt      Time
}

func newColdFleet(n int, capacity, used float64, fall Time, from float64, seed uint64) *coldFleet {
	f := &coldFleet{capacity: capacity, utilization: used, Settings: &Settings{Instances: n, FixedWeights: true, MaxAttempts: 3, Tick: 5 * Millisecond,
		ColdCapacity: from, ColdTime: 20 * Second, OverloadMultiple: 3, OverloadWindow: fall, Classes: []Class{{Name: "r", Target: Second}}}}
	for i := range n {
		b := &Balancer{random: newRandomSource((seed*1000 + uint64(i)) * 0x9e3779b97f4a7c15),
			warmup: warmup{settings: f.Settings, rate: used * capacity / float64(n)}}
		f.balancers, f.endpoints = append(f.balancers, b), append(f.endpoints, nil)
	}
	return f
}

// start has the instances from one on hear that the endpoint has started, as they do of a new one, one that is back,
// or when they start themselves.
func (f *coldFleet) start(now, at Time, from int) {
	f.started = at
	for i := from; i < len(f.balancers); i++ {
		f.endpoints[i] = &endpoint{Member: Member{ID: 1, Weight: 1, Started: at}, coldBudget: f.balancers[i].random.fraction(), budgetUpdatedAt: now}
	}
}

// step has all that may send, of those asked for, do so, and the endpoint answer what it can.
func (f *coldFleet) step(now, step Time, asks func(i int) bool) {
	for i, b := range f.balancers {
		for asks(i) && b.warmup.growBudget(now, f.endpoints[i]) >= 1 {
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
	n := f.OverloadMultiple * share * f.capacity * float64(f.OverloadWindow) / float64(Second)
	if sum := float64(len(f.sent)) / (n + 2*math.Sqrt(n) + 2); sum > f.worst {
		f.worst, f.worstAt = sum, now
	}
}

// Whoever asks and whenever, what all send a cold endpoint in sum stays within what is allowed: from the first
// moment, after it was left alone for as long as may be, in bursts, when it comes back, and with instances that
// restart. Instances and sizes are those of deployments, from a few processes to the largest.
func TestFleetKeepsTheColdBudget(t *testing.T) {
	const step = 40 * Millisecond
	for _, n := range []int{4, 8, 24, 30, 60, 300, 350} {
		for _, capacity := range []float64{4, 40} {
			for _, fall := range []Time{Second, 3 * Second} {
				for _, from := range []float64{0.13, 0.33} {
					worst, where := 0.0, ""
					for quiet := Time(0); quiet < 18*Second; quiet += 3 * Second {
						for name, asks := range map[string]func(f *coldFleet, now Time) func(int) bool{
							"all, ever after": func(*coldFleet, Time) func(int) bool { return func(int) bool { return true } },
							"in bursts":       func(_ *coldFleet, now Time) func(int) bool { return func(int) bool { return now/(2*Second)%2 == 0 } },
							"half at a time": func(_ *coldFleet, now Time) func(int) bool {
								return func(i int) bool { return Time(i)%2 == now/Second%2 }
							},
							"restarts": func(f *coldFleet, now Time) func(int) bool {
								if now%Second < step {
									started := f.started
									f.start(now, started, len(f.balancers)*9/10) // the last tenth, again and again
								}
								return func(int) bool { return true }
							},
							"back after half": func(f *coldFleet, now Time) func(int) bool {
								if now >= 10*Second && f.started < 10*Second {
									f.sent, f.queue = nil, nil
									f.start(now, now, 0)
								}
								return func(int) bool { return now < 4*Second || now-f.started > quiet }
							},
						} {
							f := newColdFleet(n, capacity, 1, fall, from, uint64(quiet/Second)+1)
							f.start(1, 1, 0)
							for now := Time(1); now < f.ColdTime; now += step {
								may := asks(f, now)
								f.step(now, step, func(i int) bool { return (now >= quiet || name == "back after half") && may(i) })
							}
							if f.worst > worst {
								worst, where = f.worst, fmt.Sprintf("%s, after %d s, at %d ms", name, quiet/Second, f.worstAt/Millisecond)
							}
						}
					}
					if worst > 1 {
						t.Errorf("%d instances, %g calls a second, falls in %d s, from %g: %.2f of what is allowed: %s", n, capacity, fall/Second, from, worst, where)
					}
				}
			}
		}
	}
}
