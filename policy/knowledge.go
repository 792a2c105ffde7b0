package policy

// Knowledge is what an instance has learned, for one that goes on in its place. Nothing is decided here.
type Knowledge struct {
	Calm, PerHeld, Pace, InUse, Late, Pushes, NearPart float64
	Sides                                              [2]float64
	Usual                                              []float64 // by offering
	Patience                                           []Patience
	Use                                                []float64 // rates, by franchise
	Arrivals, Done, Borne                              float64
	Recent                                             []uint64 // the latest first
	Servers                                            []Learned
}

// Patience is the time that first tries of an offering come with, and the part that came with less.
type Patience struct {
	Most Time
	Odd  float64
}

// Learned is what was learned of one server.
type Learned struct {
	ID                           EndpointID
	Started                      Time
	Weight, Limit, Ratio, Served float64
	Row, Trickle                 int
	AsideTill, Skip              Time
	Budget                       float64
}

// Tell gives what was learned. What cold servers may be sent passes with it: what is saved up, and the rate by which more is saved,
// are whoever's that is told, and this instance begins anew with what it sees itself.
func (b *Balancer) Tell(now Time) Knowledge {
	k := Knowledge{Calm: b.calm, PerHeld: b.perHeld, Pace: b.pace, InUse: b.inUse, Late: b.late, Pushes: b.pushes,
		NearPart: b.nearPart, Sides: b.sides, Usual: append([]float64(nil), b.usual...), Arrivals: b.arrivals.now(now),
		Done: b.done.now(now), Borne: b.borne}
	for _, p := range b.patience {
		k.Patience = append(k.Patience, Patience{p.most, p.odd})
	}
	for i := range b.use {
		k.Use = append(k.Use, b.use[i].now(now))
	}
	for i := range min(b.recentAt, len(b.recent)) {
		k.Recent = append(k.Recent, b.recent[(b.recentAt-1-i)%len(b.recent)])
	}
	b.done.rate, b.borne = 0, 0
	for _, p := range b.byID {
		s := &b.servers[p]
		k.Servers = append(k.Servers, Learned{s.ID, s.Started, s.Weight, s.limit, s.ratio, s.served.now(now), s.row, s.trickle,
			s.asideTill, s.skip, s.budget})
		if b.cold(now, s) {
			s.budget, s.served = 0, meter{}
		}
	}
	return k
}

// Learn goes on from what another has learned, of the servers in the list that have not started anew since. Both are of one shape.
func (b *Balancer) Learn(now Time, k Knowledge) {
	if len(k.Usual) != len(b.usual) || len(k.Patience) != len(b.patience) || len(k.Use) != len(b.use) {
		return // a configuration of another shape: what was counted by offering and franchise does not hold
	}
	b.calm, b.perHeld, b.pace, b.inUse, b.late, b.pushes = k.Calm, k.PerHeld, k.Pace, k.InUse, k.Late, k.Pushes
	b.nearPart, b.sides, b.heardAt = k.NearPart, k.Sides, now
	copy(b.usual, k.Usual)
	for i, p := range k.Patience {
		b.patience[i] = patience{p.Most, p.Odd}
	}
	for i, rate := range k.Use {
		b.use[i] = meter{rate, now}
	}
	b.arrivals, b.done = meter{k.Arrivals, now}, meter{k.Done, now}
	b.borne, b.recentAt = k.Borne, 0
	for i := len(k.Recent) - 1; i >= 0 && len(k.Recent) <= len(b.recent); i-- {
		b.recent[b.recentAt] = k.Recent[i]
		b.recentAt++
	}
	reweighed := false
	for _, of := range k.Servers {
		p, known := b.places[of.ID]
		if !known || b.servers[p].Started > of.Started {
			continue
		}
		s := &b.servers[p]
		s.limit, s.ratio, s.served, s.row, s.trickle = of.Limit, of.Ratio, meter{of.Served, now}, of.Row, of.Trickle
		s.asideTill, s.skip, s.budget, s.budgetAt = of.AsideTill, of.Skip, of.Budget, now
		if !b.campaign.Weighted && of.Weight > s.Weight {
			s.Weight, reweighed = of.Weight, true
		}
	}
	if reweighed {
		b.deal(nil, b.byID)
	}
	b.tendAt = 0
	b.tend(now)
}

// Placed is told of an offering that is new at its place in the campaign, and like which its answers are likely to be: another's, or at itself.
func (b *Balancer) Placed(at, like ClassID) {
	for len(b.usual) < len(b.campaign.Classes) {
		b.usual, b.patience = append(b.usual, 0), append(b.patience, patience{})
	}
	b.usual[at], b.patience[at] = b.usual[like], b.patience[like]
	if like == at {
		b.usual[at] = float64(b.campaign.Classes[at].Target) / 4
	}
}

// Quoted is told that the campaign has more franchises than before.
func (b *Balancer) Quoted() {
	for len(b.use) < len(b.campaign.Tenants) {
		b.use = append(b.use, meter{})
	}
}

// Stands tells whether the ticket's latest push, decided on and not yet written, is still allowed: rules may have changed since. What did
// not leave is told by NotSent.
func (b *Balancer) Stands(now Time, h Handle) bool {
	t := b.held(h)
	if t == nil || t.pushes == 0 {
		return false
	}
	t.pushes--
	p := t.tried[t.pushes%len(t.tried)]
	allowed := b.allowed(now, t, p) && (b.campaign.FallMultiple > 0 || !b.cold(now, &b.servers[p]))
	t.pushes++
	return allowed
}
