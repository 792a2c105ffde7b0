package emulator_test

import (
	"fmt"
	"testing"

	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/judge"
)

// fleetSize is how many instances share how many servers.
type fleetSize struct{ instances, servers int }

var fleetSizes = []fleetSize{{4, 8}, {60, 24}, {350, 120}}

// Each instance sees little of a large fleet. What all of them serve together may not fall below what random choice serves on the
// same day, nor below half of what a policy serves that sees the true state: over the day, in each third of it, and for each class
// with a twentieth of the requests or of the value.
func TestValueServedByLargeFleets(t *testing.T) {
	for _, shape := range []string{"short-queues.toml", "short-deadlines.toml", "many-tenants.toml", "one-class.toml",
		"release.toml", "zone-returns.toml", "restarts.toml"} {
		for _, size := range fleetSizes {
			for seed := uint64(1); seed <= 2; seed++ {
				t.Run(fmt.Sprintf("%s/%dx%d/%d", shape, size.instances, size.servers, seed), func(t *testing.T) {
					t.Parallel()
					testValueServed(t, shape, size, seed)
				})
			}
		}
	}
}

func testValueServed(t *testing.T, shape string, size fleetSize, seed uint64) {
	text, err := load(shape)
	if err != nil {
		t.Fatal(err)
	}
	sc, err := emulator.Read(shape, text, load, emulator.Override{Path: "fleet.sidecars", Value: int64(size.instances)},
		emulator.Override{Path: "fleet.servers", Value: int64(size.servers)})
	if err != nil {
		t.Fatal(err)
	}
	module, random, seeing := play(t, sc, seed, "module"), play(t, sc, seed, "random"), play(t, sc, seed, "seeing")
	if !module.NoViolations() {
		t.Errorf("rules broken: %v", module.Violations)
	}
	if module.Service < random.Service {
		t.Errorf("served %.3f of the value, random choice %.3f", module.Service, random.Service)
	}
	if module.Service < seeing.Service/2 {
		t.Errorf("served %.3f of the value, seeing the true state %.3f", module.Service, seeing.Service)
	}
	for i := range 3 {
		if own, best := third(module, i), third(seeing, i); own < best/2 {
			t.Errorf("third %d: served %.3f of the value, seeing the true state %.3f", i+1, own, best)
		}
	}
	for i, own := range module.Classes {
		if best := seeing.Classes[i]; own.Fraction() < best.Fraction()/2 && isLarge(sc, module, i) {
			t.Errorf("class %s: served %.3f of the value, seeing the true state %.3f", own.Name, own.Fraction(), best.Fraction())
		}
	}
}

// third is the part of the value served of what was asked for in one third of a day.
func third(v *judge.Verdict, i int) float64 {
	asked, got := 0.0, 0.0
	for at := i * len(v.Seconds) / 3; at < (i+1)*len(v.Seconds)/3; at++ {
		asked += v.Seconds[at].Requested
		got += v.Seconds[at].Earned
	}
	return got / asked
}

// isLarge tells whether a class has a twentieth of the requests or of the value.
func isLarge(sc *emulator.Scenario, v *judge.Verdict, class int) bool {
	shares, value := 0.0, 0.0
	for i := range sc.Classes {
		shares += sc.Classes[i].Share
		value += v.Classes[i].Requested
	}
	return sc.Classes[class].Share >= shares/20 || v.Classes[class].Requested >= value/20
}
