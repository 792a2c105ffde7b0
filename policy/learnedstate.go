package policy

// LearnedState is the state that an instance has learned and passes on to its successor, the process that
// replaces it. It is encoded as JSON: the keys and the order of its fields are part of the format.
type LearnedState struct {
	Baseline       float64             `json:"Calm"`     // baseline latency, in target latencies
	LatencyPerLoad float64             `json:"PerHeld"`  // see loadReports.latencyPerLoad
	Limit          float64             `json:"Pace"`     // concurrency limit
	InFlightMean   float64             `json:"InUse"`    // mean attempts in flight
	Lateness       float64             `json:"Late"`     // see concurrencyLimit.latenessMean
	RetryBudget    float64             `json:"Pushes"`   // retries that may be made now
	LocalShare     float64             `json:"NearPart"` // part of the keys that prefer local endpoints
	ZoneLateness   [2]float64          `json:"Sides"`    // see zonePreference.lateness
	MeanLatency    []float64           `json:"Usual"`    // by class, in ns
	FirstAttempts  []FirstAttemptTimes `json:"Patience"` // by class
	TenantRates    []float64           `json:"Use"`      // by tenant: requests per second
	ArrivalRate    float64             `json:"Arrivals"` // requests per second
	SuccessRate    float64             `json:"Done"`     // successful attempts per second to warm endpoints
	WarmRate       float64             `json:"Borne"`    // see warmup.rate
	RecentKeys     []uint64            `json:"Recent"`   // hashes, the latest first
	Endpoints      []LearnedEndpoint   `json:"Servers"`
}

// FirstAttemptTimes describes, for one class, how much time is left until the deadline when a client's first
// attempt arrives. First attempts are the requests that are not clients' retries.
type FirstAttemptTimes struct {
	Longest      Time    `json:"Most"`
	ShorterShare float64 `json:"Odd"` // part of first attempts with clearly less time left than Longest
}

// LearnedEndpoint is the state learned for one endpoint.
type LearnedEndpoint struct {
	ID           EndpointID `json:"ID"`
	Started      Time       `json:"Started"`
	Weight       float64    `json:"Weight"`
	Limit        float64    `json:"Limit"`   // most attempts in flight
	LatencyRatio float64    `json:"Ratio"`   // mean of answer time / target latency
	SuccessRate  float64    `json:"Served"`  // successful attempts per second
	Failures     int        `json:"Row"`     // consecutive failures
	SlowStart    int        `json:"Trickle"` // attempts allowed in flight in slow start; 0: not in it
	EjectedUntil Time       `json:"AsideTill"`
	EjectionTime Time       `json:"Skip"`   // length of the latest ejection
	ColdBudget   float64    `json:"Budget"` // attempts that may be sent to it now while it is cold

	// Since when, and until when, its process may have been replaced by that of another endpoint.
	DoubtedAt    Time `json:"DoubtedAt,omitempty"`
	DoubtedUntil Time `json:"DoubtedUntil,omitempty"`
}

// ExportState returns the learned state for a successor. The budgets of cold endpoints and the success rates
// from which these budgets grow are handed over, not copied: they become 0 in this instance, so that this
// instance and its successor together stay within the budget of one.
func (b *Balancer) ExportState(now Time) LearnedState {
	state := LearnedState{
		Baseline:       b.baseline,
		LatencyPerLoad: b.reports.latencyPerLoad,
		Limit:          b.concurrency.limit,
		InFlightMean:   b.concurrency.inFlightMean,
		Lateness:       b.concurrency.latenessMean,
		RetryBudget:    b.retries.tokens,
		LocalShare:     b.zones.localShare,
		ZoneLateness:   b.zones.lateness,
		ArrivalRate:    b.arrivals.current(now),
		SuccessRate:    b.successes.current(now),
		WarmRate:       b.warmup.rate,
		RecentKeys:     b.recentKeys.latestFirst(),
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
		state.TenantRates = append(state.TenantRates, b.tenants[i].current(now))
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
		LatencyRatio: e.latencyRatio,
		SuccessRate:  e.successes.current(now),
		Failures:     e.failures,
		SlowStart:    e.slowStart,
		EjectedUntil: e.ejectedUntil,
		EjectionTime: e.ejectionTime,
		ColdBudget:   e.coldBudget,
		DoubtedAt:    e.doubtedAt,
		DoubtedUntil: e.doubtedUntil,
	}
}

// ShiftTimes converts the times of the state to a clock that is ahead by the given time.
func (s *LearnedState) ShiftTimes(ahead Time) {
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.EjectedUntil > 0 {
			e.EjectedUntil += ahead
		}
		if e.DoubtedUntil > 0 {
			e.DoubtedAt += ahead
			e.DoubtedUntil += ahead
		}
		if e.Started > 0 { // the endpoint list may have the start by either clock
			e.Started = max(e.Started, e.Started+ahead)
		}
	}
}

// ImportState takes over the state that another instance has learned. Endpoints that are not in the list or
// have restarted since are left out. Of a state with another number of classes or tenants, only what it says of
// the endpoints is taken over.
func (b *Balancer) ImportState(now Time, state LearnedState) {
	if b.matches(&state) {
		b.importLoad(now, &state)
	}
	b.importEndpoints(now, state.Endpoints)
	b.maintainAt = 0
	b.maintain(now)
}

// StateMissing is called in place of ImportState if the state of the other instance can't be had. That instance may
// have used up the budgets of the cold endpoints, so they begin at 0.
func (b *Balancer) StateMissing(now Time) {
	for i := range b.table.endpoints {
		if e := &b.table.endpoints[i]; b.warmup.isCold(now, e) {
			e.coldBudget = 0
			e.budgetUpdatedAt = now
		}
	}
}

// importLoad takes over what is not about single endpoints.
func (b *Balancer) importLoad(now Time, state *LearnedState) {
	b.baseline = state.Baseline
	b.reports.latencyPerLoad = state.LatencyPerLoad
	b.concurrency.limit = state.Limit
	b.concurrency.inFlightMean = state.InFlightMean
	b.concurrency.latenessMean = state.Lateness
	b.concurrency.observedAt = now
	b.retries.tokens = state.RetryBudget
	b.zones.localShare = state.LocalShare
	b.zones.lateness = state.ZoneLateness
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
	e.latencyRatio = learned.LatencyRatio
	e.successes = rateMeter{rate: learned.SuccessRate, updatedAt: now}
	e.failures = learned.Failures
	e.slowStart = learned.SlowStart
	e.ejectedUntil = learned.EjectedUntil
	e.ejectionTime = learned.EjectionTime
	e.coldBudget = learned.ColdBudget
	e.budgetUpdatedAt = now
	e.doubtedAt = learned.DoubtedAt
	e.doubtedUntil = learned.DoubtedUntil
}
