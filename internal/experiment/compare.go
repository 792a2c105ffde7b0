package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Comparison compares the service of two sweeps, A and B, in one scenario with one setting, over runs paired by seed.
type Comparison struct {
	Scenario      string  `json:"scenario"`
	Set           string  `json:"set,omitempty"`
	Pairs         int     `json:"pairs"`
	A             float64 `json:"a"`
	B             float64 `json:"b"`
	Gain          float64 `json:"gain"`   // mean service of B minus that of A
	HalfWidth     float64 `json:"half"`   // half the width of the gain's 95% interval
	NewViolations int     `json:"breaks"` // runs in which B broke a rule and A did not
}

// runKey identifies a run of a sweep of one policy.
type runKey struct {
	scenario string
	override string
	seed     uint64
}

// Compare pairs the runs of two sweeps by scenario, setting and seed, and skips runs without a partner. Each sweep must
// have a single policy; FilterByPolicy selects one.
func Compare(a, b []*Result) ([]Comparison, error) {
	runsOfA, err := indexRuns(a)
	if err != nil {
		return nil, err
	}
	if _, err := indexRuns(b); err != nil {
		return nil, err
	}
	type group struct{ scenario, override string }
	gains := map[group][]float64{}
	comparisons := map[group]*Comparison{}
	for _, resultB := range b {
		resultA, paired := runsOfA[runKey{resultB.Scenario, resultB.Set, resultB.Seed}]
		if !paired {
			continue
		}
		g := group{resultB.Scenario, resultB.Set}
		c := comparisons[g]
		if c == nil {
			c = &Comparison{Scenario: resultB.Scenario, Set: resultB.Set}
			comparisons[g] = c
		}
		c.addPair(resultA, resultB)
		gains[g] = append(gains[g], resultB.Verdict.Service-resultA.Verdict.Service)
	}
	if len(comparisons) == 0 {
		return nil, errors.New("the two sweeps have no run in common")
	}
	var all []Comparison
	for g, c := range comparisons {
		c.A /= float64(c.Pairs)
		c.B /= float64(c.Pairs)
		c.Gain, c.HalfWidth = ConfidenceInterval(gains[g])
		all = append(all, *c)
	}
	slices.SortFunc(all, func(x, y Comparison) int {
		return cmp.Or(cmp.Compare(x.Scenario, y.Scenario), cmp.Compare(x.Set, y.Set))
	})
	return all, nil
}

// indexRuns returns the results by run. A run that occurs twice is an error.
func indexRuns(results []*Result) (map[runKey]*Result, error) {
	runs := map[runKey]*Result{}
	for _, r := range results {
		key := runKey{r.Scenario, r.Set, r.Seed}
		if _, duplicate := runs[key]; duplicate {
			return nil, fmt.Errorf("%s, seed %d has several results: select one policy", r.Scenario, r.Seed)
		}
		runs[key] = r
	}
	return runs, nil
}

// addPair adds the results of both sweeps for the same run.
func (c *Comparison) addPair(a, b *Result) {
	c.Pairs++
	c.A += a.Verdict.Service
	c.B += b.Verdict.Service
	if !b.Verdict.NoViolations() && a.Verdict.NoViolations() {
		c.NewViolations++
	}
}
