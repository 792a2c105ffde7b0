package policy

// LearnedState is what an instance has learned, for one that goes on in its place. Nothing is decided here.
type LearnedState struct {
	Baseline           float64             `json:"Calm"`
	LatencyPerReported float64             `json:"PerHeld"`
	Limit              float64             `json:"Pace"`
	InUse              float64             `json:"InUse"`
	Lateness           float64             `json:"Late"`
	RetryBudget        float64             `json:"Pushes"`
	NearShare          float64             `json:"NearPart"`
	ZoneLatency        [2]float64          `json:"Sides"`
	MeanLatency        []float64           `json:"Usual"` // by class
	FirstAttempts      []FirstAttemptTimes `json:"Patience"`
	TenantRates        []float64           `json:"Use"` // rates, by tenant
	ArrivalRate        float64             `json:"Arrivals"`
	SuccessRate        float64             `json:"Done"`
	WarmRate           float64             `json:"Borne"`
	RecentKeys         []uint64            `json:"Recent"` // the latest first
	Endpoints          []LearnedEndpoint   `json:"Servers"`
}

// FirstAttemptTimes is the time that first tries of a class come with, and the part that came with less.
type FirstAttemptTimes struct {
	Longest      Time    `json:"Most"`
	ShorterShare float64 `json:"Odd"`
}

// LearnedEndpoint is what was learned of one endpoint.
type LearnedEndpoint struct {
	ID           EndpointID `json:"ID"`
	Started      Time       `json:"Started"`
	Weight       float64    `json:"Weight"`
	Limit        float64    `json:"Limit"`
	Ratio        float64    `json:"Ratio"`
	Served       float64    `json:"Served"`
	Failures     int        `json:"Row"`
	SlowStart    int        `json:"Trickle"`
	EjectedUntil Time       `json:"AsideTill"`
	Ejection     Time       `json:"Skip"`
	Budget       float64    `json:"Budget"`
}

// ExportState gives what was learned. What cold endpoints may be sent passes with it: what is saved up, and the rate by which more is saved,
// are whoever's that is told, and this instance begins anew with what it sees itself.
func (b *Balancer) ExportState(now Time) LearnedState {
	k := LearnedState{Baseline: b.baseline, LatencyPerReported: b.perReported, Limit: b.limit, InUse: b.inUse, Lateness: b.late, RetryBudget: b.retryBudget,
		NearShare: b.nearPart, ZoneLatency: b.sides, MeanLatency: append([]float64(nil), b.meanLatency...), ArrivalRate: b.arrivals.now(now),
		SuccessRate: b.successes.now(now), WarmRate: b.warmRate}
	for _, p := range b.patience {
		k.FirstAttempts = append(k.FirstAttempts, FirstAttemptTimes{p.most, p.odd})
	}
	for i := range b.use {
		k.TenantRates = append(k.TenantRates, b.use[i].now(now))
	}
	for i := range min(b.recentAt, len(b.recent)) {
		k.RecentKeys = append(k.RecentKeys, b.recent[(b.recentAt-1-i)%len(b.recent)])
	}
	b.successes.rate, b.warmRate = 0, 0
	for _, p := range b.byID {
		s := &b.endpoints[p]
		k.Endpoints = append(k.Endpoints, LearnedEndpoint{s.ID, s.Started, s.Weight, s.limit, s.ratio, s.served.now(now), s.failures, s.slowStart,
			s.ejectedTill, s.ejection, s.budget})
		if b.cold(now, s) {
			s.budget, s.served = 0, meter{}
		}
	}
	return k
}

// ImportState goes on from what another has learned, of the endpoints in the list that have not started anew since. Both are of one shape.
func (b *Balancer) ImportState(now Time, k LearnedState) {
	if len(k.MeanLatency) != len(b.meanLatency) || len(k.FirstAttempts) != len(b.patience) || len(k.TenantRates) != len(b.use) {
		return // a configuration of another shape: what was counted by class and tenant does not hold
	}
	b.baseline, b.perReported, b.limit, b.inUse, b.late, b.retryBudget = k.Baseline, k.LatencyPerReported, k.Limit, k.InUse, k.Lateness, k.RetryBudget
	b.nearPart, b.sides, b.heardAt = k.NearShare, k.ZoneLatency, now
	copy(b.meanLatency, k.MeanLatency)
	for i, p := range k.FirstAttempts {
		b.patience[i] = firstTries{p.Longest, p.ShorterShare}
	}
	for i, rate := range k.TenantRates {
		b.use[i] = meter{rate, now}
	}
	b.arrivals, b.successes = meter{k.ArrivalRate, now}, meter{k.SuccessRate, now}
	b.warmRate, b.recentAt = k.WarmRate, 0
	for i := len(k.RecentKeys) - 1; i >= 0 && len(k.RecentKeys) <= len(b.recent); i-- {
		b.recent[b.recentAt] = k.RecentKeys[i]
		b.recentAt++
	}
	reweighed := false
	for _, of := range k.Endpoints {
		p, known := b.places[of.ID]
		if !known || b.endpoints[p].Started > of.Started {
			continue
		}
		s := &b.endpoints[p]
		s.limit, s.ratio, s.served, s.failures, s.slowStart = of.Limit, of.Ratio, meter{of.Served, now}, of.Failures, of.SlowStart
		s.ejectedTill, s.ejection, s.budget, s.budgetAt = of.EjectedUntil, of.Ejection, of.Budget, now
		if !b.settings.FixedWeights && of.Weight > s.Weight {
			s.Weight, reweighed = of.Weight, true
		}
	}
	if reweighed {
		b.assign(nil, b.byID)
	}
	b.maintainAt = 0
	b.maintain(now)
}

// AddClass is told of a class that is new at its place in the settings, and like which its answers are likely to be: another's, or at itself.
func (b *Balancer) AddClass(at, like ClassID) {
	for len(b.meanLatency) < len(b.settings.Classes) {
		b.meanLatency, b.patience = append(b.meanLatency, 0), append(b.patience, firstTries{})
	}
	b.meanLatency[at], b.patience[at] = b.meanLatency[like], b.patience[like]
	if like == at {
		b.meanLatency[at] = float64(b.settings.Classes[at].Target) / 4
	}
}

// GrowTenants is told that the settings has more tenants than before.
func (b *Balancer) GrowTenants() {
	for len(b.use) < len(b.settings.Tenants) {
		b.use = append(b.use, meter{})
	}
}

// AttemptAllowed tells whether the request's latest attempt, decided on and not yet written, is still allowed: rules may have changed since. What did
// not leave is told by NotSent.
func (b *Balancer) AttemptAllowed(now Time, h Handle) bool {
	t := b.lookup(h)
	if t == nil || t.attempts == 0 {
		return false
	}
	t.attempts--
	p := t.tried[t.attempts%len(t.tried)]
	allowed := b.allowed(now, t, p) && (b.settings.OverloadMultiple > 0 || !b.cold(now, &b.endpoints[p]))
	t.attempts++
	return allowed
}
