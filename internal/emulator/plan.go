package emulator

import "pepperlead/policy"

// noDecisions is a Decider for a day that is only planned: no request reaches it.
type noDecisions struct{}

// UpdateEndpoints does nothing.
func (noDecisions) UpdateEndpoints(policy.Time, policy.ListKind, []policy.Member) {}

// ListFailed does nothing.
func (noDecisions) ListFailed(policy.Time) {}

// Admit returns a handle that is never used.
func (noDecisions) Admit(policy.Time, policy.ClassID, policy.TenantID, string, bool, policy.Time) policy.Handle {
	return 0
}

// Begin does nothing.
func (noDecisions) Begin(policy.Time, policy.Handle) {}

// AttemptEnded does nothing.
func (noDecisions) AttemptEnded(policy.Time, policy.Handle, policy.AttemptNo, policy.EndpointID, policy.Outcome,
	policy.Time, bool) {
}

// ClientLeft does nothing.
func (noDecisions) ClientLeft(policy.Time, policy.Handle) {}

// Woken does nothing.
func (noDecisions) Woken(policy.Time) {}

// Plan returns the requests of a day, the same that a World of that seed plays.
func Plan(sc *Scenario, seed uint64) []Arrival {
	var all []Arrival
	w := New(
		sc,
		seed,
		func(policy.Front, *policy.Settings, uint64, policy.Time, View) Decider { return noDecisions{} },
		nil,
	)
	w.plan = &all
	w.Run()
	return all
}

// quotaTolerance is the multiple of a quota up to which requests keep their value.
const quotaTolerance = 1.1

// ValueMeter returns the value of each request, less where its tenant is over its quota.
type ValueMeter struct {
	sc       *Scenario
	arrivals []meter
	quotas   []float64
}

// NewValueMeter makes a meter for a day; rate is the requests a second that quotas given as shares refer to.
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

// Value counts a request and returns its value.
func (c *ValueMeter) Value(now policy.Time, o policy.ClassID, f policy.TenantID) float64 {
	credit := c.sc.Classes[o].Value
	if f >= 0 && c.arrivals[f].count(now) > quotaTolerance*c.quotas[f] {
		credit *= c.sc.OverQuotaValue
	}
	return credit
}
