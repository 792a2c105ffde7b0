// Package baseline has policies to compare the decision module with: random, ring in turn, fewest attempts in flight,
// the better of two, the bare slot table, and one that sees the true state of the fleet, as an upper mark. They keep
// the rules on answers, retries and drains; those that know nothing of cold endpoints use them like others. Nothing
// that is deployed imports this package.
package baseline

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"pepperlead/internal/emulator"
	"pepperlead/policy"
)

// Names are those of all policies, the module's first.
var Names = []string{"module", "random", "ring", "fewest", "two", "table", "seeing"}

// chooser picks an endpoint for an attempt, or noEndpoint.
type chooser func(b *balancer, r *request) policy.EndpointID

var choosers = map[string]chooser{
	"random": (*balancer).chooseRandom,
	"ring":   (*balancer).chooseInRing,
	"fewest": (*balancer).chooseFewest,
	"two":    (*balancer).chooseOfTwo,
	"table":  (*balancer).chooseBySlot,
	"seeing": (*balancer).chooseBest,
}

// seedStream keeps the draws of a baseline apart from those of other users of the same seed.
const seedStream = 0x62617365

// Factory returns the factory of the policy of that name.
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
			nextInRing: random.IntN(math.MaxInt32), // from one start for all, instances would go round in step
			endpoints:  map[policy.EndpointID]*endpoint{},
			usesSlots:  name == "table",
		}
	}, nil
}
