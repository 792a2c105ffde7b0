package emulator

import "pepperlead/policy"

// idle decides nothing: a day that is only planned has no tickets.
type idle struct{}

func (idle) UpdateEndpoints(policy.Time, policy.ListKind, []policy.Member) {}
func (idle) ListFailed(policy.Time)                                        {}
func (idle) Admit(policy.Time, policy.ClassID, policy.TenantID, string, bool, policy.Time) policy.Handle {
	return 0
}
func (idle) Begin(policy.Time, policy.Handle) {}
func (idle) AttemptEnded(policy.Time, policy.Handle, policy.AttemptNo, policy.EndpointID, policy.Outcome, policy.Time, bool) {
}
func (idle) ClientLeft(policy.Time, policy.Handle) {}
func (idle) Woken(policy.Time)                     {}

// Plan gives what clients ask for on a day, the very requests that a World of that seed plays.
func Plan(sc *Scenario, seed uint64) []Arrival {
	var all []Arrival
	w := New(sc, seed, func(policy.Front, *policy.Settings, uint64, policy.Time, View) Decider { return idle{} }, nil)
	w.planned = &all
	w.Run()
	return all
}

// Credit says what a request that comes now is worth, less beyond its franchise's quota, as the judge of any day counts it.
type Credit struct {
	sc   *Scenario
	use  []meter
	most []float64
}

// NewCredit counts from a day's beginning; rate is the requests a second that quotas given as parts refer to.
func NewCredit(sc *Scenario, rate float64) *Credit {
	c := &Credit{sc: sc, use: make([]meter, len(sc.Franchise))}
	for _, f := range sc.Franchise {
		quota := f.Quota
		if quota == 0 {
			quota = f.Part * rate
		}
		c.most = append(c.most, quota)
	}
	return c
}

// Of counts a request and gives its credit.
func (c *Credit) Of(now policy.Time, o policy.ClassID, f policy.TenantID) float64 {
	credit := c.sc.Offerings[o].Value
	if f >= 0 && c.use[f].count(now) > 1.1*c.most[f] {
		credit *= c.sc.Beyond
	}
	return credit
}
