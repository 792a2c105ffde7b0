package policy

// LearnedState is what an instance has learned, for one that goes on in its place. It is passed on as JSON:
// the names and the order of its fields are part of the format.
type LearnedState struct {
	Baseline           float64             `json:"Calm"`
	LatencyPerReported float64             `json:"PerHeld"`
	Limit              float64             `json:"Pace"`
	InUse              float64             `json:"InUse"`
	Lateness           float64             `json:"Late"`
	RetryBudget        float64             `json:"Pushes"`
	NearShare          float64             `json:"NearPart"`
	ZoneLatency        [2]float64          `json:"Sides"`
	MeanLatency        []float64           `json:"Usual"`    // by class
	FirstAttempts      []FirstAttemptTimes `json:"Patience"` // by class
	TenantRates        []float64           `json:"Use"`      // by tenant
	ArrivalRate        float64             `json:"Arrivals"`
	SuccessRate        float64             `json:"Done"`
	WarmRate           float64             `json:"Borne"`
	RecentKeys         []uint64            `json:"Recent"` // the latest first
	Endpoints          []LearnedEndpoint   `json:"Servers"`
}

// FirstAttemptTimes is the time that clients' first attempts of a class come with, and the part that came
// with less.
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

// ExportState returns what was learned. The budgets of cold endpoints, and the rates by which they grow, pass
// over to the successor; this instance begins anew, so that both together stay within what one had.
func (b *Balancer) ExportState(now Time) LearnedState {
	state := LearnedState{
		Baseline:           b.baseline,
		LatencyPerReported: b.reports.latencyPerLoad,
		Limit:              b.concurrency.limit,
		InUse:              b.concurrency.inUseMean,
		Lateness:           b.concurrency.latenessMean,
		RetryBudget:        b.retries.tokens,
		NearShare:          b.zones.localShare,
		ZoneLatency:        b.zones.lateness,
		ArrivalRate:        b.arrivals.now(now),
		SuccessRate:        b.successes.now(now),
		WarmRate:           b.warmup.rate,
		RecentKeys:         b.recentKeys.latestFirst(),
	}
	for i := range b.classes {
		class := &b.classes[i]
		state.MeanLatency = append(state.MeanLatency, class.meanLatency)
		state.FirstAttempts = append(state.FirstAttempts, FirstAttemptTimes{
			Longest:      class.firstAttempts.longest,
			ShorterShare: class.firstAttempts.shorterShare,
		})
	}
	for i := range b.tenants {
		state.TenantRates = append(state.TenantRates, b.tenants[i].now(now))
	}
	b.successes.rate = 0
	b.warmup.rate = 0
	for _, index := range b.table.byID {
		e := &b.table.endpoints[index]
		state.Endpoints = append(state.Endpoints, e.export(now))
		if b.warmup.isCold(now, e) {
			e.coldBudget = 0
			e.successes = rateMeter{}
		}
	}
	return state
}

func (e *endpoint) export(now Time) LearnedEndpoint {
	return LearnedEndpoint{
		ID:           e.ID,
		Started:      e.Started,
		Weight:       e.Weight,
		Limit:        e.limit,
		Ratio:        e.latencyRatio,
		Served:       e.successes.now(now),
		Failures:     e.failures,
		SlowStart:    e.slowStart,
		EjectedUntil: e.ejectedUntil,
		Ejection:     e.ejectionTime,
		Budget:       e.coldBudget,
	}
}

// ImportState goes on from what another instance has learned, of the endpoints in the list that have not
// started anew since. A state of other classes or tenants is ignored.
func (b *Balancer) ImportState(now Time, state LearnedState) {
	if !b.matches(&state) {
		return
	}
	b.baseline = state.Baseline
	b.reports.latencyPerLoad = state.LatencyPerReported
	b.concurrency.limit = state.Limit
	b.concurrency.inUseMean = state.InUse
	b.concurrency.latenessMean = state.Lateness
	b.concurrency.observedAt = now
	b.retries.tokens = state.RetryBudget
	b.zones.localShare = state.NearShare
	b.zones.lateness = state.ZoneLatency
	for i := range b.classes {
		b.classes[i] = classStats{
			meanLatency: state.MeanLatency[i],
			firstAttempts: firstAttemptTimes{
				longest:      state.FirstAttempts[i].Longest,
				shorterShare: state.FirstAttempts[i].ShorterShare,
			},
		}
	}
	for i, rate := range state.TenantRates {
		b.tenants[i] = rateMeter{rate: rate, updatedAt: now}
	}
	b.arrivals = rateMeter{rate: state.ArrivalRate, updatedAt: now}
	b.successes = rateMeter{rate: state.SuccessRate, updatedAt: now}
	b.warmup.rate = state.WarmRate
	b.recentKeys.restore(state.RecentKeys)
	b.importEndpoints(now, state.Endpoints)
	b.maintainAt = 0
	b.maintain(now)
}

// matches reports whether the state has as many classes and tenants as the settings.
func (b *Balancer) matches(state *LearnedState) bool {
	return len(state.MeanLatency) == len(b.classes) && len(state.FirstAttempts) == len(b.classes) &&
		len(state.TenantRates) == len(b.tenants)
}

func (b *Balancer) importEndpoints(now Time, learned []LearnedEndpoint) {
	reweighted := false
	for i := range learned {
		index, known := b.table.indexes[learned[i].ID]
		if !known || b.table.endpoints[index].Started > learned[i].Started {
			continue
		}
		e := &b.table.endpoints[index]
		e.restore(now, &learned[i])
		if !b.settings.FixedWeights && learned[i].Weight > e.Weight {
			e.Weight = learned[i].Weight
			reweighted = true
		}
	}
	if reweighted {
		b.table.rebalance()
	}
}

func (e *endpoint) restore(now Time, learned *LearnedEndpoint) {
	e.limit = learned.Limit
	e.latencyRatio = learned.Ratio
	e.successes = rateMeter{rate: learned.Served, updatedAt: now}
	e.failures = learned.Failures
	e.slowStart = learned.SlowStart
	e.ejectedUntil = learned.EjectedUntil
	e.ejectionTime = learned.Ejection
	e.coldBudget = learned.Budget
	e.budgetUpdatedAt = now
}
