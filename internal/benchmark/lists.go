package benchmark

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

// ListText returns a list file with the given number of endpoints. The first of them have the given addresses, the
// others addresses where nothing listens.
func ListText(endpoints int, addresses []string, issue endpointfiles.Issue, sealed bool) []byte {
	var text strings.Builder
	for i := range endpoints {
		address := fmt.Sprintf("127.1.%d.%d:9000", i/250, 1+i%250)
		if i < len(addresses) {
			address = addresses[i]
		}
		fmt.Fprintf(
			&text,
			"[[server]]\nid = \"s-%05d\"\naddress = %q\nzone = \"%c\"\npod = %d\nweight = %.2f\n",
			i,
			address,
			"abc"[i%3],
			i/8,
			0.5+float64(i*7%100)/100,
		)
	}
	if !sealed {
		fmt.Fprintf(&text, "[whole]\nservers = %d\n", endpoints)
		return []byte(text.String())
	}
	list, _, err := endpointfiles.Seal("list", []byte(text.String()), issue, 0)
	if err != nil {
		panic(err)
	}
	return list
}

// ListCost is the time that a list takes to be read, checked and assigned to slots. Of these steps, the daemon runs
// Assign and Reassign on its loop, and the others outside it.
type ListCost struct {
	Endpoints int           `json:"servers"`
	Bytes     int           `json:"bytes"`
	Parse     time.Duration `json:"parse_ns"` // from text to entries, including the digest
	Evaluate  time.Duration `json:"weigh_ns"` // the validator's Evaluate
	Assign    time.Duration `json:"deal_ns"`  // the module's UpdateEndpoints
	Reassign  time.Duration `json:"again_ns"` // UpdateEndpoints with the same list again
}

// MeasureListCost measures the cost of a list with the given number of endpoints. Of each step it returns the shortest
// time of all rounds.
func MeasureListCost(endpoints, rounds int) ListCost {
	text := ListText(endpoints, nil, 1, true)
	cost := ListCost{Endpoints: endpoints, Bytes: len(text)}
	for range rounds {
		runtime.GC()
		cost.measure(text)
	}
	return cost
}

// measure reads the list once and keeps the time of each step that was shorter than before.
func (c *ListCost) measure(text []byte) {
	var file endpointfiles.File
	var result endpointfiles.Result
	shortest(&c.Parse, func() { file = endpointfiles.Parse("list", text) })
	validator := endpointfiles.New(endpointfiles.Limits{MaxRemovedShare: 0.5, DrainMemory: policy.Second})
	shortest(&c.Evaluate, func() { result = validator.Evaluate(1, []endpointfiles.File{file}) })
	if result.Verdict != endpointfiles.Accepted {
		panic(result.Reason)
	}
	members := make([]policy.Member, 0, c.Endpoints)
	for _, entry := range result.Entries {
		members = append(members, entry.Member)
	}
	settings := &policy.Settings{
		Instances:    1,
		Zone:         "a",
		Zones:        3,
		FixedWeights: true,
		Tick:         5 * policy.Millisecond,
		Classes:      []policy.Class{{Name: "step", Value: 1, Target: policy.Second}},
	}
	module := policy.New(policy.DiscardFront{}, settings, 1, 1)
	shortest(&c.Assign, func() { module.UpdateEndpoints(1, policy.ListFull, members) })
	shortest(&c.Reassign, func() { module.UpdateEndpoints(2, policy.ListFull, members) })
}

// shortest runs the step and stores its time in least if it is the shortest so far; 0 means no time yet.
func shortest(least *time.Duration, step func()) {
	start := time.Now()
	step()
	if elapsed := time.Since(start); *least == 0 || elapsed < *least {
		*least = elapsed
	}
}
