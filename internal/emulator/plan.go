package emulator

import "pepperlead/policy"

// noDecisions decides nothing: a day that is only planned has no tickets.
type noDecisions struct{}

func (noDecisions) UpdateEndpoints(policy.Time, policy.ListKind, []policy.Member) {}
func (noDecisions) ListFailed(policy.Time)                                        {}
func (noDecisions) Admit(policy.Time, policy.ClassID, policy.TenantID, string, bool, policy.Time) policy.Handle {
	return 0
}
func (noDecisions) Begin(policy.Time, policy.Handle) {}
func (noDecisions) AttemptEnded(policy.Time, policy.Handle, policy.AttemptNo, policy.EndpointID, policy.Outcome, policy.Time, bool) {
}
func (noDecisions) ClientLeft(policy.Time, policy.Handle) {}
func (noDecisions) Woken(policy.Time)                     {}

// Plan gives what clients ask for on a day, the very requests that a World of that seed plays.
func Plan(sc *Scenario, seed uint64) []Arrival {
	var all []Arrival
	w := New(sc, seed, func(policy.Front, *policy.Settings, uint64, policy.Time, View) Decider { return noDecisions{} }, nil)
	w.plan = &all
	w.Run()
	return all
}

// ValueMeter says what a request that comes now is worth, less beyond its franchise's quota, as the judge of any day counts it.
type ValueMeter struct {
	sc       *Scenario
	arrivals []meter
	quotas   []float64
}

// NewValueMeter counts from a day's beginning; rate is the requests a second that quotas given as parts refer to.
func NewValueMeter(sc *Scenario, rate float64) *ValueMeter {
	c := &ValueMeter{sc: sc, arrivals: make([]meter, len(sc.Tenants))}
	for _, f := range sc.Tenants {
		quota := f.Quota
		if quota == 0 {
			quota = f.QuotaShare * rate
		}
		c.quotas = append(c.quotas, quota)
	}
	return c
}

// Value counts a request and gives its credit.
func (c *ValueMeter) Value(now policy.Time, o policy.ClassID, f policy.TenantID) float64 {
	credit := c.sc.Classes[o].Value
	if f >= 0 && c.arrivals[f].count(now) > 1.1*c.quotas[f] {
		credit *= c.sc.OverQuotaValue
	}
	return credit
}
