package policy

// Knowledge is what an instance has learned, for one that goes on in its place. Nothing is decided here.
type Knowledge struct {
	Calm     float64    `json:"Calm"`
	PerHeld  float64    `json:"PerHeld"`
	Pace     float64    `json:"Pace"`
	InUse    float64    `json:"InUse"`
	Late     float64    `json:"Late"`
	Pushes   float64    `json:"Pushes"`
	NearPart float64    `json:"NearPart"`
	Sides    [2]float64 `json:"Sides"`
	Usual    []float64  `json:"Usual"` // by class
	Patience []Patience `json:"Patience"`
	Use      []float64  `json:"Use"` // rates, by tenant
	Arrivals float64    `json:"Arrivals"`
	Done     float64    `json:"Done"`
	Borne    float64    `json:"Borne"`
	Recent   []uint64   `json:"Recent"` // the latest first
	Servers  []Learned  `json:"Servers"`
}

// Patience is the time that first tries of a class come with, and the part that came with less.
type Patience struct {
	Most Time    `json:"Most"`
	Odd  float64 `json:"Odd"`
}

// Learned is what was learned of one endpoint.
type Learned struct {
	ID        EndpointID `json:"ID"`
	Started   Time       `json:"Started"`
	Weight    float64    `json:"Weight"`
	Limit     float64    `json:"Limit"`
	Ratio     float64    `json:"Ratio"`
	Served    float64    `json:"Served"`
	Row       int        `json:"Row"`
	Trickle   int        `json:"Trickle"`
	AsideTill Time       `json:"AsideTill"`
	Skip      Time       `json:"Skip"`
	Budget    float64    `json:"Budget"`
}

// Tell gives what was learned. What cold endpoints may be sent passes with it: what is saved up, and the rate by which more is saved,
// are whoever's that is told, and this instance begins anew with what it sees itself.
func (b *Balancer) Tell(now Time) Knowledge {
	k := Knowledge{Calm: b.baseline, PerHeld: b.perReported, Pace: b.limit, InUse: b.inUse, Late: b.late, Pushes: b.retryBudget,
		NearPart: b.nearPart, Sides: b.sides, Usual: append([]float64(nil), b.meanLatency...), Arrivals: b.arrivals.now(now),
		Done: b.successes.now(now), Borne: b.warmRate}
	for _, p := range b.patience {
		k.Patience = append(k.Patience, Patience{p.most, p.odd})
	}
	for i := range b.use {
		k.Use = append(k.Use, b.use[i].now(now))
	}
	for i := range min(b.recentAt, len(b.recent)) {
		k.Recent = append(k.Recent, b.recent[(b.recentAt-1-i)%len(b.recent)])
	}
	b.successes.rate, b.warmRate = 0, 0
	for _, p := range b.byID {
		s := &b.endpoints[p]
		k.Servers = append(k.Servers, Learned{s.ID, s.Started, s.Weight, s.limit, s.ratio, s.served.now(now), s.failures, s.slowStart,
			s.ejectedTill, s.ejection, s.budget})
		if b.cold(now, s) {
			s.budget, s.served = 0, meter{}
		}
	}
	return k
}

// Learn goes on from what another has learned, of the endpoints in the list that have not started anew since. Both are of one shape.
func (b *Balancer) Learn(now Time, k Knowledge) {
	if len(k.Usual) != len(b.meanLatency) || len(k.Patience) != len(b.patience) || len(k.Use) != len(b.use) {
		return // a configuration of another shape: what was counted by class and tenant does not hold
	}
	b.baseline, b.perReported, b.limit, b.inUse, b.late, b.retryBudget = k.Calm, k.PerHeld, k.Pace, k.InUse, k.Late, k.Pushes
	b.nearPart, b.sides, b.heardAt = k.NearPart, k.Sides, now
	copy(b.meanLatency, k.Usual)
	for i, p := range k.Patience {
		b.patience[i] = firstTries{p.Most, p.Odd}
	}
	for i, rate := range k.Use {
		b.use[i] = meter{rate, now}
	}
	b.arrivals, b.successes = meter{k.Arrivals, now}, meter{k.Done, now}
	b.warmRate, b.recentAt = k.Borne, 0
	for i := len(k.Recent) - 1; i >= 0 && len(k.Recent) <= len(b.recent); i-- {
		b.recent[b.recentAt] = k.Recent[i]
		b.recentAt++
	}
	reweighed := false
	for _, of := range k.Servers {
		p, known := b.places[of.ID]
		if !known || b.endpoints[p].Started > of.Started {
			continue
		}
		s := &b.endpoints[p]
		s.limit, s.ratio, s.served, s.failures, s.slowStart = of.Limit, of.Ratio, meter{of.Served, now}, of.Row, of.Trickle
		s.ejectedTill, s.ejection, s.budget, s.budgetAt = of.AsideTill, of.Skip, of.Budget, now
		if !b.settings.Weighted && of.Weight > s.Weight {
			s.Weight, reweighed = of.Weight, true
		}
	}
	if reweighed {
		b.assign(nil, b.byID)
	}
	b.maintainAt = 0
	b.maintain(now)
}

// Placed is told of a class that is new at its place in the settings, and like which its answers are likely to be: another's, or at itself.
func (b *Balancer) Placed(at, like ClassID) {
	for len(b.meanLatency) < len(b.settings.Classes) {
		b.meanLatency, b.patience = append(b.meanLatency, 0), append(b.patience, firstTries{})
	}
	b.meanLatency[at], b.patience[at] = b.meanLatency[like], b.patience[like]
	if like == at {
		b.meanLatency[at] = float64(b.settings.Classes[at].Target) / 4
	}
}

// Quoted is told that the settings has more tenants than before.
func (b *Balancer) Quoted() {
	for len(b.use) < len(b.settings.Tenants) {
		b.use = append(b.use, meter{})
	}
}

// Stands tells whether the request's latest attempt, decided on and not yet written, is still allowed: rules may have changed since. What did
// not leave is told by NotSent.
func (b *Balancer) Stands(now Time, h Handle) bool {
	t := b.lookup(h)
	if t == nil || t.attempts == 0 {
		return false
	}
	t.attempts--
	p := t.tried[t.attempts%len(t.tried)]
	allowed := b.allowed(now, t, p) && (b.settings.FallMultiple > 0 || !b.cold(now, &b.endpoints[p]))
	t.attempts++
	return allowed
}
