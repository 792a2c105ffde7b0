package emulator

import "pepperlead/policy"

// noDecisions is the Decider of a run that is only planned, in which no request reaches an instance.
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

// Plan returns the requests that a run of the scenario with this seed generates. It does not simulate how they
// are served.
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

// quotaTolerance is the multiple of its quota up to which a tenant's requests keep their value.
const quotaTolerance = 1.1

// ValueMeter computes the value of each request, which is reduced while the tenant is over its quota.
type ValueMeter struct {
	sc       *Scenario
	arrivals []meter   // rate of requests by tenant
	quotas   []float64 // by tenant, in requests per second
}

// NewValueMeter returns a meter for a run. rate is the total rate in requests per second, to which QuotaShare refers.
func NewValueMeter(sc *Scenario, rate float64) *ValueMeter {
	m := &ValueMeter{sc: sc, arrivals: make([]meter, len(sc.Tenants))}
	for _, tenant := range sc.Tenants {
		quota := tenant.Quota
		if quota == 0 {
			quota = tenant.QuotaShare * rate
		}
		m.quotas = append(m.quotas, quota)
	}
	return m
}

// Value counts a request and returns its value.
func (m *ValueMeter) Value(now policy.Time, class policy.ClassID, tenant policy.TenantID) float64 {
	value := m.sc.Classes[class].Value
	if tenant >= 0 && m.arrivals[tenant].count(now) > quotaTolerance*m.quotas[tenant] {
		value *= m.sc.OverQuotaValue
	}
	return value
}
