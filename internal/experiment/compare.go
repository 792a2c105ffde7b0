package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Comparison is one scenario of two sweeps, paired by seed.
type Comparison struct {
	Scenario string  `json:"scenario"`
	Set      string  `json:"set,omitempty"`
	Pairs    int     `json:"pairs"`
	A        float64 `json:"a"`
	B        float64 `json:"b"`
	Gain     float64 `json:"gain"`   // of B over A
	Half     float64 `json:"half"`   // of its 95% interval
	Breaks   int     `json:"breaks"` // days on which B broke a rule and A did not
}

// Compare pairs the days of two sweeps by scenario, figure and seed. A sweep of several policies is narrowed by name.
func Compare(a, b []*Result) ([]Comparison, error) {
	type key struct {
		scenario, set string
		seed          uint64
	}
	first := map[key]*Result{}
	for _, r := range a {
		k := key{r.Scenario, r.Set, r.Seed}
		if _, twice := first[k]; twice {
			return nil, fmt.Errorf("%s, seed %d is there twice: name one policy", r.Scenario, r.Seed)
		}
		first[k] = r
	}
	gains := map[[2]string][]float64{}
	out := map[[2]string]*Comparison{}
	seen := map[key]bool{}
	for _, r := range b {
		k := key{r.Scenario, r.Set, r.Seed}
		if seen[k] {
			return nil, fmt.Errorf("%s, seed %d is there twice: name one policy", r.Scenario, r.Seed)
		}
		seen[k] = true
		with, paired := first[k]
		if !paired {
			continue
		}
		name := [2]string{r.Scenario, r.Set}
		c := out[name]
		if c == nil {
			c = &Comparison{Scenario: r.Scenario, Set: r.Set}
			out[name] = c
		}
		c.Pairs++
		c.A += with.Verdict.Service
		c.B += r.Verdict.Service
		gains[name] = append(gains[name], r.Verdict.Service-with.Verdict.Service)
		if !r.Verdict.NoViolations() && with.Verdict.NoViolations() {
			c.Breaks++
		}
	}
	if len(out) == 0 {
		return nil, errors.New("the two have no day in common")
	}
	var all []Comparison
	for name, c := range out {
		c.A /= float64(c.Pairs)
		c.B /= float64(c.Pairs)
		c.Gain, c.Half = Interval(gains[name])
		all = append(all, *c)
	}
	slices.SortFunc(all, func(x, y Comparison) int {
		return cmp.Or(cmp.Compare(x.Scenario, y.Scenario), cmp.Compare(x.Set, y.Set))
	})
	return all, nil
}
