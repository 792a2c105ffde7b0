// Package baseline has policies to compare the decision module with: random choice, round robin, fewest attempts in
// flight, the better of two random choices, a plain slot table, and, as an upper bound, a policy that sees the true
// state of the fleet. They keep the rules on answers, retries and drains that package judge checks. Except for the last
// one, they do not know which endpoints are cold, and use cold endpoints like others. Nothing that is deployed
// imports this package.
package baseline

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"pepperlead/internal/emulator"
	"pepperlead/policy"
)

// Names has the names of all policies, beginning with the decision module.
var Names = []string{"module", "random", "ring", "fewest", "two", "table", "seeing"}

// chooser returns the endpoint for an attempt, or noEndpoint if there is none.
type chooser func(b *balancer, r *request) policy.EndpointID

var choosers = map[string]chooser{
	"random": (*balancer).chooseRandom,
	"ring":   (*balancer).chooseInRing,
	"fewest": (*balancer).chooseFewest,
	"two":    (*balancer).chooseOfTwo,
	"table":  (*balancer).chooseBySlot,
	"seeing": (*balancer).chooseBest,
}

// seedStream makes the random numbers of baselines independent of other uses of the same seed.
const seedStream = 0x62617365

// Factory returns the factory of the policy with the given name.
func Factory(name string) (emulator.DeciderFactory, error) {
	if name == "module" {
		return emulator.NewModule, nil
	}
	choose, known := choosers[name]
	if !known {
		return nil, fmt.Errorf("policy: found %q, allowed %s", name, strings.Join(Names, ", "))
	}
	return func(front policy.Front, settings *policy.Settings, seed uint64, _ policy.Time,
		view emulator.View) emulator.Decider {
		random := rand.New(rand.NewPCG(seed, seedStream))
		return &balancer{
			front:      front,
			settings:   settings,
			view:       view,
			random:     random,
			choose:     choose,
			nextInRing: random.IntN(math.MaxInt32), // so that instances do not all use the same endpoint at once
			endpoints:  map[policy.EndpointID]*endpoint{},
			usesSlots:  name == "table",
		}
	}, nil
}
