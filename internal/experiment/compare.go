package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Comparison is one scenario of two sweeps, paired by seed.
type Comparison struct {
	Scenario      string  `json:"scenario"`
	Set           string  `json:"set,omitempty"`
	Pairs         int     `json:"pairs"`
	A             float64 `json:"a"`
	B             float64 `json:"b"`
	Gain          float64 `json:"gain"`   // of B over A
	HalfWidth     float64 `json:"half"`   // of its 95% interval
	NewViolations int     `json:"breaks"` // days on which B broke a rule and A did not
}

// dayKey identifies a day of a sweep of one policy.
type dayKey struct {
	scenario string
	set      string
	seed     uint64
}

// Compare pairs the days of two sweeps by scenario, figure and seed. A sweep of several policies is narrowed by name.
func Compare(a, b []*Result) ([]Comparison, error) {
	first, err := indexDays(a)
	if err != nil {
		return nil, err
	}
	if _, err := indexDays(b); err != nil {
		return nil, err
	}
	type group struct{ scenario, set string }
	gains := map[group][]float64{}
	comparisons := map[group]*Comparison{}
	for _, r := range b {
		with, paired := first[dayKey{r.Scenario, r.Set, r.Seed}]
		if !paired {
			continue
		}
		g := group{r.Scenario, r.Set}
		c := comparisons[g]
		if c == nil {
			c = &Comparison{Scenario: r.Scenario, Set: r.Set}
			comparisons[g] = c
		}
		c.addPair(with, r)
		gains[g] = append(gains[g], r.Verdict.Service-with.Verdict.Service)
	}
	if len(comparisons) == 0 {
		return nil, errors.New("the two have no day in common")
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

// indexDays returns the results by day. No day may be there twice.
func indexDays(results []*Result) (map[dayKey]*Result, error) {
	days := map[dayKey]*Result{}
	for _, r := range results {
		key := dayKey{r.Scenario, r.Set, r.Seed}
		if _, twice := days[key]; twice {
			return nil, fmt.Errorf("%s, seed %d is there twice: name one policy", r.Scenario, r.Seed)
		}
		days[key] = r
	}
	return days, nil
}

// addPair adds the same day of both sweeps.
func (c *Comparison) addPair(a, b *Result) {
	c.Pairs++
	c.A += a.Verdict.Service
	c.B += b.Verdict.Service
	if !b.Verdict.NoViolations() && a.Verdict.NoViolations() {
		c.NewViolations++
	}
}
