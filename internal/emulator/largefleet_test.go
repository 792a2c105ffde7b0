package emulator_test

import (
	"fmt"
	"testing"

	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/judge"
)

// fleetSize is the number of instances and of endpoints.
type fleetSize struct{ instances, endpoints int }

var fleetSizes = []fleetSize{{4, 8}, {60, 24}, {350, 120}}

// Each instance of a large fleet sees only a small part of the traffic. Together the instances must serve at least as
// much value as random choice does in the same run, and at least half of what a policy serves that sees the true state
// of the fleet. The second bound holds for the whole run, for each third of it, and for each class that has at least a
// twentieth of the requests or of the value.
func TestValueServedByLargeFleets(t *testing.T) {
	for _, scenario := range []string{"short-queues.toml", "short-deadlines.toml", "many-tenants.toml", "one-class.toml",
		"release.toml", "zone-returns.toml", "restarts.toml"} {
		for _, size := range fleetSizes {
			for seed := uint64(1); seed <= 2; seed++ {
				t.Run(fmt.Sprintf("%s/%dx%d/%d", scenario, size.instances, size.endpoints, seed), func(t *testing.T) {
					t.Parallel()
					testValueServed(t, scenario, size, seed)
				})
			}
		}
	}
}

func testValueServed(t *testing.T, scenario string, size fleetSize, seed uint64) {
	text, err := load(scenario)
	if err != nil {
		t.Fatal(err)
	}
	sc, err := emulator.Read(scenario, text, load, emulator.Override{Path: "fleet.sidecars", Value: int64(size.instances)},
		emulator.Override{Path: "fleet.servers", Value: int64(size.endpoints)})
	if err != nil {
		t.Fatal(err)
	}
	module, random, seeing := simulate(t, sc, seed, "module"), simulate(t, sc, seed, "random"), simulate(t, sc, seed, "seeing")
	if !module.NoViolations() {
		t.Errorf("rules broken: %v", module.Violations)
	}
	if module.Service < random.Service {
		t.Errorf("the module served %.3f of the value, random choice %.3f", module.Service, random.Service)
	}
	if module.Service < seeing.Service/2 {
		t.Errorf("the module served %.3f of the value, the policy that sees the true state %.3f",
			module.Service, seeing.Service)
	}
	for i := range 3 {
		if own, best := third(module, i), third(seeing, i); own < best/2 {
			t.Errorf("third %d: the module served %.3f of the value, the policy that sees the true state %.3f",
				i+1, own, best)
		}
	}
	for i, own := range module.Classes {
		if best := seeing.Classes[i]; own.Fraction() < best.Fraction()/2 && isLarge(sc, module, i) {
			t.Errorf("class %s: the module served %.3f of the value, the policy that sees the true state %.3f",
				own.Name, own.Fraction(), best.Fraction())
		}
	}
}

// third returns the part of the requested value that was served in one third of a run.
func third(v *judge.Verdict, i int) float64 {
	requested, earned := 0.0, 0.0
	for second := i * len(v.Seconds) / 3; second < (i+1)*len(v.Seconds)/3; second++ {
		requested += v.Seconds[second].Requested
		earned += v.Seconds[second].Earned
	}
	return earned / requested
}

// isLarge reports whether a class has at least a twentieth of the requests or of the value.
func isLarge(sc *emulator.Scenario, v *judge.Verdict, class int) bool {
	shares, value := 0.0, 0.0
	for i := range sc.Classes {
		shares += sc.Classes[i].Share
		value += v.Classes[i].Requested
	}
	return sc.Classes[class].Share >= shares/20 || v.Classes[class].Requested >= value/20
}
