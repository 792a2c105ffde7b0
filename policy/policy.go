// Package policy decides where requests go and what becomes of them. An instance is told what happened and
// answers through its Front, within the call. Ids: types.go; reasons: docs/design.md. One goroutine uses it.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	slots      = 1 << 14     // one size for all, so that instances started at any fleet size agree
	layoutSeed = 0x70657070  // fixed: every instance lays out the same table
	holdTime   = 30 * Second // an endpoint listed gone keeps its slots this long

	ejectFirst, ejectMost      = 2 * Second, 16 * Second // time ejected, doubled on each relapse
	ejectAfter, firstLimit     = 3, 2                    // failures that eject; attempts out to a new one
	spillMargin                = 2                       // free places, or fewer attempts, that a spill needs
	roomy, crowded             = 0.15, 0.45              // load under which more may go out, or less must
	lateBound, lostBound       = 0.75, 0.5               // mean lateness that cuts it; where late earns nothing
	limitSpare, limitFree      = 4, 16                   // times what is out, or attempts per endpoint, left
	frequencyPrior, sureBeyond = 64, 2                   // requests under other keys before; errors over a share
	lately, hotSpread          = 32, 6                   // requests that show a hot key; endpoints for one
	shortOfHit, coldEarns      = 0.25, 0.6               // no keys remembered: four times the work; own answers
	coldKeeps                  = 0.4                     // fall times that a budget is kept: bursts spend all
	repeatValue, waitPart      = 0.5, 0.5                // value of a client's repeat; part of home's rate
	limitGrowth, firstWait     = 0.5, 2.0                // growth at no lateness; a first attempt's wait
	retryEarned, retryCap      = 0.1, 20                 // further attempts a success earns, saved at most
	splitWorth, placeLost      = 5, 0.5                  // load at which crossings pay; limit per lone time-out
	nearAway, nearBack         = 0.15, 0.05              // near load beyond far: fewer keys stay near, and more

	loadBound, resized      = 1.5, 1.1               // times the mean load, walked past; change that moves slots
	agreed, listFresh       = 0.1, 2 * Second        // first tries with less time; age of a list's load
	idleKeep, askEach       = 10 * Second, 1e7       // idle connections over all; ns for each to ask the list
	rateSpan, maintainEvery = 3 * Second, Second / 4 // memory of the rate meters; between looks at all endpoints
	marginTicks, pollTicks  = 3, 10                  // ticks before a deadline to answer in; between looks
)

// New starts an instance. Seeds may be alike: near ones would give near first draws.
func New(front Front, c *Settings, seed uint64, now Time) *Balancer {
	b := &Balancer{front: front, settings: c, chance: newChance(xxhash.Sum64String(fmt.Sprint(seed))),
		places: map[EndpointID]int32{}, meanLatency: make([]float64, len(c.Classes)), tooLate: lostBound,
		patience: make([]firstTries, len(c.Classes)), use: make([]meter, len(c.Tenants)), baseline: 0.25,
		perReported: 0.15, retryBudget: retryCap / 2, limit: math.MaxInt32, endAt: math.MaxInt64,
		nearPart: min(1, 2*splitWorth*c.CrossZonePrice)}
	for i, o := range c.Classes {
		b.meanLatency[i] = float64(o.Target) / 4
		if o.LateValue > 0 {
			b.tooLate = lateBound
		}
	}
	if c.PollList {
		b.askWait = min(Time(c.Instances)*askEach, c.PollWithin/4)
		b.askAt = now + Time(b.chance.part()*float64(b.askWait)) + 1
		b.wake(now, b.askAt)
	}
	return b
}

// UpdateEndpoints applies what the list says.
func (b *Balancer) UpdateEndpoints(now Time, kind ListKind, members []Member) {
	if b.settings.PollList && kind != ListSaved {
		b.askAt, b.askWait = 0, 0
	}
	b.maintain(now)
	b.listAt = now
	first, moved := len(b.byID) == 0, false
	b.epoch++
	byID := func(x, y Member) int { return cmp.Compare(x.ID, y.ID) }
	for _, m := range slices.SortedFunc(slices.Values(members), byID) {
		moved = b.applyMember(now, m) || moved
	}
	if moved {
		b.assign(nil, b.byID)
	}
	for i := range b.endpoints {
		if s := &b.endpoints[i]; kind != ListChanges && s.seen != b.epoch && s.Status != Gone {
			s.Status = Gone
		}
	}
	var size, held [2]float64 // of all, and of this zone
	for _, p := range b.byID {
		s := &b.endpoints[p]
		for i := range size {
			if s.Status == Ready && now >= s.ejectedTill && (i == 0 || s.Zone == b.settings.Zone) {
				size[i], held[i] = size[i]+s.Weight, held[i]+s.Weight*s.reported
			}
		}
	}
	b.meanReported, b.nearReported = held[0]/max(size[0], 1), held[1]/max(size[1], 1)
	b.limitByReports(now)
	if first && len(b.byID) > 0 {
		// Before anything is learned: all traffic may come to one zone, and what goes near first must not jam it.
		b.nearPart = min(b.nearPart, float64(b.nearOwners)/float64(len(b.byID)))
	}
	b.drain(now, -1)
}

// limitByReports cuts the limit when, by what answers took, the load that the list shows is answered late.
func (b *Balancer) limitByReports(now Time) {
	if b.meanReported == 0 {
		return
	}
	expected, learn := b.expected(), 0.05
	if expected >= 1 {
		learn = 0.01 // a jam teaches little, but what was learned wrongly must not last
		if now-b.limitCutAt > Second/4 {
			b.limitCutAt, b.limit = now, max(b.least(), min(b.limit, b.inUse)*max(0.5, 1/expected))
		}
	}
	b.perReported += learn * (max(b.late, b.baseline)/(1+b.meanReported) - b.perReported)
}

func (b *Balancer) expected() float64 { return b.perReported * (1 + b.meanReported) }

// least is the limit at which all instances together have one attempt out at each endpoint.
func (b *Balancer) least() float64 { return float64(len(b.byID)) / float64(b.settings.Instances) }

func (b *Balancer) applyMember(now Time, m Member) bool {
	if m.Weight <= 0 {
		m.Weight = 1
	}
	p, known := b.places[m.ID]
	b.coldTill = max(b.coldTill, m.Started+b.settings.ColdTime)
	if !known {
		if m.Status == Gone {
			return false
		}
		if p = int32(slices.IndexFunc(b.endpoints, func(s endpoint) bool { return !s.inTable })); p < 0 {
			p = int32(len(b.endpoints))
			b.endpoints = append(b.endpoints, endpoint{})
		}
		b.places[m.ID] = p
		b.endpoints[p] = endpoint{Member: m, seen: b.epoch, limit: firstLimit, budget: b.chance.part(),
			budgetAt: now, leftAt: now}
		b.join(p)
		return false
	}
	s := &b.endpoints[p]
	s.seen = b.epoch
	if !b.settings.FixedWeights {
		// The weight falls with load, so the most that was seen is the size; slots move only for a clear change.
		s.reported = max(0, s.Weight/m.Weight-1)
		if m.Weight < s.Weight*resized {
			m.Weight = s.Weight
		}
	}
	reweighed := s.Weight != m.Weight
	if m.Started > s.Started {
		// What was learned is void. From a budget of zero, hundreds would send nothing for long, then all at once.
		s.limit, s.ratio, s.failures, s.slowStart, s.ejectedTill, s.ejection = firstLimit, 0, 0, 0, 0, 0
		s.budget, s.budgetAt, s.served = b.chance.part(), now, meter{}
	}
	s.Member = m
	return reweighed
}

func (b *Balancer) join(p int32) {
	var loose []int32
	if b.table == nil {
		b.table, b.order = make([]int32, slots), make([]int32, slots)
		for i := range b.table {
			b.table[i], b.order[i] = -1, int32(i)
			loose = append(loose, int32(i))
		}
		for i, layout := slots-1, newChance(layoutSeed); i > 0; i-- {
			j := int(uint64(layout.next()) * uint64(i+1) >> 32)
			b.order[i], b.order[j] = b.order[j], b.order[i]
		}
	}
	b.endpoints[p].inTable = true
	at, _ := slices.BinarySearchFunc(b.byID, p, func(x, y int32) int {
		return cmp.Compare(b.endpoints[x].ID, b.endpoints[y].ID)
	})
	b.byID = slices.Insert(b.byID, at, p)
	b.assign(loose, []int32{p})
}

func (b *Balancer) leave(p int32) {
	s := &b.endpoints[p]
	s.inTable = false
	b.byID = slices.DeleteFunc(b.byID, func(o int32) bool { return o == p })
	slices.SortFunc(s.ranks, func(x, y int32) int { return cmp.Compare(b.order[x], b.order[y]) })
	b.assign(s.ranks, b.byID)
	s.ranks = nil
}

// assign sets the shares, exact to one slot, and moves the loose slots in the order given, or else, in seeded
// order, those above their owners' shares, each to the endpoint that is furthest below its share, ties by id.
func (b *Balancer) assign(loose, to []int32) {
	total, sum, given, surplus := 0.0, 0.0, 0, []int32(nil)
	for _, p := range b.byID {
		total += b.endpoints[p].Weight
	}
	b.nearOwners = 0
	for _, p := range b.byID {
		s := &b.endpoints[p]
		sum += s.Weight
		s.target = int(math.Round(sum/total*slots)) - given
		given += s.target
		surplus = append(surplus, s.ranks[:max(0, len(s.ranks)-s.target)]...)
		if s.Zone == b.settings.Zone {
			b.nearOwners++
		}
	}
	if loose == nil {
		slices.Sort(surplus)
		loose = surplus
	}
	short := func(p int32) int { return len(b.endpoints[p].ranks) - b.endpoints[p].target }
	level := short(slices.MinFunc(to, func(x, y int32) int { return cmp.Compare(short(x), short(y)) }))
	for ; len(loose) > 0 && level < 0; level++ {
		for _, p := range to {
			s := &b.endpoints[p]
			if len(loose) == 0 || short(p) != level {
				continue
			}
			slot := b.order[loose[0]]
			if was := b.table[slot]; was >= 0 && b.endpoints[was].inTable {
				// Surplus comes in seeded order, so the owner's first is the one.
				b.endpoints[was].ranks = b.endpoints[was].ranks[1:]
			}
			s.ranks = append(s.ranks, loose[0])
			b.table[slot] = p
			loose = loose[1:]
		}
	}
	for _, p := range to {
		slices.Sort(b.endpoints[p].ranks)
	}
}

// ListFailed is told when asking failed or following broke. Asked in step, its service would stay swamped.
func (b *Balancer) ListFailed(now Time) {
	b.askWait = min(max(2*b.askWait, Time(b.settings.Instances)*askEach, Second/4), b.settings.PollWithin/4)
	b.askAt = now + Time(float64(b.askWait)*(0.5+b.chance.part()))
	b.front.Log(fmt.Sprintf("list: failed, asking again in %dms", (b.askAt-now)/Millisecond))
	b.wake(now, b.askAt)
}

// Admit takes a request in hand; Begin must follow.
func (b *Balancer) Admit(now Time, o ClassID, f TenantID, key string, repeat bool, left Time) Handle {
	b.maintain(now)
	if len(b.free) == 0 {
		b.slab = append(b.slab, request{})
		b.free = append(b.free, uint32(len(b.slab)-1))
	}
	place := b.free[len(b.free)-1]
	b.free = b.free[:len(b.free)-1]
	t := &b.slab[place]
	*t = request{generation: t.generation + 1, place: place, inUse: true, class: o,
		arrived: now, deadline: min(now+left, b.endAt), ranOn: -1}
	if t.keyless = key == ""; t.keyless {
		// In turn from one start, instances would follow each other over the same endpoints of the same table.
		t.key = uint64(b.chance.next())<<32 | uint64(b.chance.next())
	} else {
		t.key = xxhash.Sum64String(key)
		t.frequency = b.keyFrequency(t.key)
	}
	t.value = b.valueRate(now, t, f, repeat)
	// Where first tries agree, a repeat with another time than theirs has what they left of the deadline.
	p, odd := &b.patience[o], 0.0
	if of := &b.settings.Classes[o]; !repeat {
		if p.most = max(p.most, left); p.most-left > b.margin() {
			odd = 1
		}
		p.odd += 0.05 * (odd - p.odd)
	} else if of.LateValue == 0 && p.odd < agreed && max(left-p.most, p.most-left) > b.margin() {
		if t.arrived -= max(0, of.Deadline-left); now > t.arrived+of.Target {
			t.deadline = now // too late to be worth anything: answered at once
		}
	}
	return t.handle()
}

// keyFrequency is the key's part of our recent requests, this one apart, or, less one more, of the latest.
// One with more than an endpoint's share would drown its owner before any of hundreds sees it by attempts.
func (b *Balancer) keyFrequency(key uint64) float64 {
	n, late := -1.0, -2.0
	b.recent[b.recentAt%len(b.recent)] = key
	b.recentAt++
	for i, k := range b.recent {
		if k == key {
			n++
			if (b.recentAt-1-i)%len(b.recent) < lately {
				late++
			}
		}
	}
	return max(n/float64(min(b.recentAt, len(b.recent))+frequencyPrior), late/(2*lately))
}

// valueRate is the value expected for each second that an endpoint works on the request.
func (b *Balancer) valueRate(now Time, t *request, f TenantID, repeat bool) float64 {
	v := b.settings.Classes[t.class].Value / b.meanLatency[t.class]
	if repeat {
		v *= repeatValue
	}
	b.arrivals.count(now)
	if f >= 0 {
		b.use[f].count(now)
		// Others' traffic is unseen: our part of the quotas is taken for our part of all, at least an equal one.
		part := min(1, max(1/float64(b.settings.Instances), b.arrivals.rate/b.settings.TotalQuota))
		most := 1.1 * part * b.settings.Tenants[f].Quota
		if b.settings.StreamsPerConnection > 1 { // a pool's instance counts too few of each to tell a share from chance
			most += sureBeyond * math.Sqrt(most/float64(2*rateSpan/Second))
		}
		if b.use[f].rate > most {
			v *= max(b.settings.OverQuotaValue, 0.01)
		}
	}
	return v
}

// Begin decides the first step of a request.
func (b *Balancer) Begin(now Time, h Handle) {
	t := b.lookup(h)
	// A client may have less time than the target latency: what has waited must have left what an answer takes.
	till := min(t.arrived+b.settings.Classes[t.class].Target, t.deadline-b.margin())
	t.waitTill = till - Time(b.meanLatency[t.class])
	b.dispatch(now, t, false)
}

func (b *Balancer) margin() Time { return marginTicks * b.settings.Tick }

// dispatch sends the request, lets it wait, or answers it. A last try takes any room that is not crowded.
func (b *Balancer) dispatch(now Time, t *request, last bool) {
	t.home = -1
	if now < t.deadline-b.margin() && b.underLimit(now) {
		if to := b.choose(now, t, last); to >= 0 {
			b.attempt(now, t, to)
			return
		}
	}
	if now < t.waitTill && !last {
		b.enqueue(now, t)
	} else {
		b.reject(now, t)
	}
}

// enqueue lets the request wait in order of value, then age, unless the wait would end in no answer.
func (b *Balancer) enqueue(now Time, t *request) {
	rate, waiting, worst := b.successes.now(now), 0, -1
	if p := t.home; p >= 0 {
		rate = max(b.endpoints[p].served.now(now), b.endpoints[p].limit*float64(Second)/b.meanLatency[t.class])
	}
	for i, place := range b.queue {
		if b.slab[place].home == t.home {
			waiting, worst = waiting+1, i
		}
	}
	if float64(waiting) >= max(2, rate*float64(t.waitTill-now)/float64(Second)*waitPart) {
		least := &b.slab[b.queue[worst]]
		if least.value >= t.value {
			b.dispatch(now, t, true)
			return
		}
		b.unqueue(worst)
		b.dispatch(now, least, true)
	}
	t.queued, t.next = true, (*Balancer).dispatched
	at := sort.Search(len(b.queue), func(i int) bool { return b.slab[b.queue[i]].value < t.value })
	b.queue = slices.Insert(b.queue, at, t.place)
	b.wake(now, min(t.waitTill, now+pollTicks*b.settings.Tick))
}

func (b *Balancer) unqueue(i int) {
	if i >= 0 {
		b.slab[b.queue[i]].queued = false
		b.queue = slices.Delete(b.queue, i, i+1)
	}
}

func (b *Balancer) dispatched(t *request, n result) { b.attempt(n.now, t, n.endpoint) }

func (b *Balancer) attempt(now Time, t *request, to int32) {
	s, o := &b.endpoints[to], &b.settings.Classes[t.class]
	wait := t.deadline - b.margin() - now
	// A silent endpoint must not hold a request for long; cancels and the retry budget bound what that feeds.
	further := t.attempts+1 < b.settings.MaxAttempts && b.retryBudget >= 1 && o.Idempotency != NonIdempotent
	if further && b.settings.MayCancel {
		wait = min(wait, max(Time(firstWait*float64(o.Target)), Time(6*b.meanLatency[t.class])))
	}
	if b.cold(now, s) {
		s.budget--
	}
	t.tried[t.attempts%len(t.tried)] = to
	t.attempts, t.out, b.out, s.out, t.sentAt = t.attempts+1, t.out+1, b.out+1, s.out+1, now
	b.idles(t, to, 1)
	t.next = (*Balancer).attempted
	b.front.Attempt(t.handle(), s.ID, wait)
	b.wake(now, t.deadline-b.margin())
}

// AttemptEnded hands over how an attempt ended. over is true when nothing more is owed for the request.
func (b *Balancer) AttemptEnded(
	now Time, h Handle, n AttemptNo, id EndpointID, o Outcome, spent Time, over bool,
) {
	p, known := b.places[id]
	t := b.lookup(h)
	if t == nil || !known || t.out == 0 {
		return
	}
	b.idles(t, p, -1)
	t.out, b.out, b.endpoints[p].out, b.endpoints[p].usedAt = t.out-1, b.out-1, b.endpoints[p].out-1, now
	if o < Cancelled {
		b.record(now, t, p, o, spent)
	}
	if over {
		t.settle()
	}
	t.next(b, t, result{now, o, p, n, spent})
	b.release(t)
	b.drain(now, p)
}

// Until is told a request's new deadline: none (0) once its answer has begun, the client's from then on.
func (b *Balancer) Until(h Handle, cutOff Time) {
	if t := b.lookup(h); t != nil {
		t.deadline = cmp.Or(cutOff, math.MaxInt64)
	}
}

func (b *Balancer) attempted(t *request, n result) {
	if n.outcome == Succeeded || n.outcome == Declined {
		t.settle()
		b.front.Succeed(t.handle(), n.attempt)
		return
	}
	never := n.outcome == Rejected || n.outcome == NotConnected || n.outcome == NotSent
	if !never && !t.mayHaveRun {
		t.mayHaveRun, t.ranAt, t.ranOn = true, t.sentAt, n.endpoint
	}
	o := &b.settings.Classes[t.class]
	spent := t.mayHaveRun || n.outcome == Rejected && b.late > crowded
	late := o.LateValue == 0 && n.now > t.arrived+o.Target
	nowhere := !slices.ContainsFunc(b.byID, func(p int32) bool { return b.allowed(n.now, t, p) })
	last := n.outcome == NotSent || t.attempts >= b.settings.MaxAttempts
	if last || late || nowhere || spent && b.retryBudget < 1 {
		b.reject(n.now, t) // with nowhere to go it would wait for nothing
		return
	}
	if spent {
		b.retryBudget-- // earned by successes, so that failures cannot feed an overload
	}
	b.dispatch(n.now, t, false)
}

// reject answers at once: rejected where the client may safely come again, else failed.
func (b *Balancer) reject(now Time, t *request) {
	o := &b.settings.Classes[t.class]
	t.settle()
	repeatable := o.Idempotency == Idempotent || o.Idempotency == Keyed && o.Group == GroupAll
	if repeatable || !t.mayHaveRun && t.out == 0 {
		if !b.rejecting {
			b.front.Log(fmt.Sprintf("short of room: turning back, %d out, %d waiting", b.out, len(b.queue)))
		}
		b.rejecting, b.rejectedAt = true, now
		b.front.Reject(t.handle(), min(b.settings.MaxRetryAfter, o.Target))
	} else {
		b.front.Fail(t.handle())
	}
	b.release(t)
}

func (b *Balancer) release(t *request) {
	if t.inUse && t.answered && t.out == 0 && !t.queued {
		t.inUse = false
		b.free = append(b.free, t.place)
	}
}

// ClientLeft is told when a request is over because its client left.
func (b *Balancer) ClientLeft(now Time, h Handle) {
	if t := b.lookup(h); t != nil && !t.answered {
		b.unqueue(slices.Index(b.queue, t.place))
		t.settle()
		b.cancel(t)
		b.release(t)
	}
}

// Shutdown brings all deadlines, also those still to come, forward to the instance's own end.
func (b *Balancer) Shutdown(now, by Time) {
	b.endAt = by
	for i := range b.slab {
		t := &b.slab[i]
		t.deadline, t.waitTill = min(t.deadline, by), min(t.waitTill, by-b.margin())
	}
	b.wake(now, by-b.margin())
}

func (b *Balancer) cancel(t *request) {
	if t.out > 0 && b.settings.MayCancel {
		b.front.Cancel(t.handle(), AttemptNo(t.attempts-1))
	}
}

// choose walks the table to the first usable endpoint, home, or if that is full one to spill to. -1: wait.
func (b *Balancer) choose(now Time, t *request, last bool) int32 {
	home, spare := int32(-1), int32(-1)
	b.epoch++
	near := float64(t.key>>44)/(1<<20) < b.nearPart
	if t.keyless && now < b.coldTill {
		if p := b.warming(now, t, near); p >= 0 {
			return p
		}
	}
	for seen := 0; ; near = false {
		owners := len(b.byID)
		if near {
			owners = b.nearOwners
		}
		most := max(1, t.frequency*hotSpread*float64(owners))
		one, other, rival := int(b.chance.part()*most), int(b.chance.part()*most), int32(-1)
		for i := 0; i < len(b.table) && seen < owners; i++ {
			p := b.table[(int(t.key%slots)+i)%slots]
			s := &b.endpoints[p]
			if s.seen == b.epoch || near && s.Zone != b.settings.Zone {
				continue
			}
			s.seen = b.epoch
			seen++
			switch {
			case !b.allowed(now, t, p):
			case !b.usable(now, s) || b.overloaded(s):
				if spare < 0 && !b.cold(now, s) {
					spare = p
				}
			case home < 0 && max(one, other) > 0:
				// A hot key is assigned over as many as its part of all needs, to the less loaded of two.
				if min(one, other) == 0 && !b.cold(now, s) {
					rival = p
				}
				one, other, spare = one-1, other-1, p
			case home < 0 && rival >= 0 && b.endpoints[rival].ratio < s.ratio && b.hasRoom(&b.endpoints[rival]):
				return rival
			case b.hasRoom(s) && (home < 0 || last && b.load(s) < crowded || b.maySpill(home, s)):
				return p
			case home < 0:
				home = p
			}
		}
		if !near {
			break
		}
	}
	// With every endpoint ejected, an attempt is better than certain failure.
	if home < 0 && spare >= 0 && b.hasRoom(&b.endpoints[spare]) {
		return spare
	}
	t.home = home
	return -1
}

// warming gives a cold endpoint that may be sent a request now. One of hundreds of instances has budget for
// it only for moments, and its requests seldom meet it by their slots just then: together they left it idle.
func (b *Balancer) warming(now Time, t *request, near bool) int32 {
	for _, p := range b.byID {
		s := &b.endpoints[p]
		if !b.cold(now, s) || near && s.Zone != b.settings.Zone {
			continue
		}
		if b.allowed(now, t, p) && b.usable(now, s) && b.hasRoom(s) {
			return p
		}
	}
	return -1
}

func (b *Balancer) hasRoom(s *endpoint) bool { return float64(s.busy()) < s.limit }

// maySpill: home is at its limit; the other, which does not know the key, must be roomy, and hold less.
func (b *Balancer) maySpill(home int32, s *endpoint) bool {
	fewer := b.endpoints[home].busy()-s.busy() >= spillMargin || float64(s.busy()+spillMargin) <= s.limit
	return fewer && b.load(s) < roomy
}

// allowed keeps the second rule, and sends no request twice to one endpoint.
func (b *Balancer) allowed(now Time, t *request, p int32) bool {
	s, o := &b.endpoints[p], &b.settings.Classes[t.class]
	if s.Status != Ready {
		return false
	}
	if t.mayHaveRun && o.Idempotency != Idempotent {
		ran := &b.endpoints[t.ranOn]
		if o.Idempotency == NonIdempotent || now+b.margin() >= t.ranAt+o.Window ||
			o.Group == GroupZone && ran.Zone != s.Zone || o.Group == GroupCell && ran.Cell != s.Cell {
			return false
		}
	}
	return !slices.Contains(t.tried[:min(t.attempts, len(t.tried))], p)
}

func (b *Balancer) usable(now Time, s *endpoint) bool {
	full := s.slowStart > 0 && s.out >= s.slowStart
	return now >= s.ejectedTill && !full && (!b.cold(now, s) || b.saveBudget(now, s) >= 1)
}

// overloaded: a part of the requests walks past an endpoint over its bound: hundreds must not leave at once.
func (b *Balancer) overloaded(s *endpoint) bool {
	takes := b.loadShare(s)
	return takes < 1 && b.chance.part() > takes*takes
}

func (b *Balancer) loadShare(s *endpoint) float64 {
	if b.meanReported == 0 { // the list shows no load: what its answers to us take stands in for it
		return loadBound * max(b.late, b.baseline+roomy) / max(s.ratio, b.baseline)
	}
	return loadBound * (1 + b.meanReported) / (1 + s.reported)
}

// observe takes in what an answer took, in target latencies: the more, the longer the endpoint was silent.
func (s *endpoint) observe(now, quoted Time, part float64) {
	s.ratio += max(0.2, min(1, float64(now-s.heardAt)/float64(4*quoted))) * (part - s.ratio)
	s.heardAt = now
}

// worksAs is what an endpoint is taken to do. A size learned from falling weights is small until it was idle.
func (b *Balancer) worksAs(s *endpoint) float64 {
	if b.settings.FixedWeights {
		return s.Weight
	}
	return 1
}

// saveBudget lets a cold endpoint's budget grow, by one part at all instances of what warm ones bear.
func (b *Balancer) saveBudget(now Time, s *endpoint) float64 {
	c := b.settings
	share := c.ColdCapacity + (1-c.ColdCapacity)*float64(now-s.Started)/float64(c.ColdTime)
	grow := max(0.25/float64(c.Instances), c.OverloadMultiple*share*shortOfHit*b.warmRate*b.worksAs(s),
		c.OverloadMultiple*coldEarns*s.served.now(now)) / float64(Second)
	sum, kept := s.budget+grow*float64(now-s.budgetAt), grow*coldKeeps*float64(cmp.Or(c.OverloadWindow, Second))
	sum -= max(0, math.Ceil(sum-1-kept)) // one at most is kept, and for no longer
	s.budget, s.budgetAt = min(2-math.Floor(min(1, kept)), c.OverloadMultiple, sum), now
	return s.budget
}

func (b *Balancer) drain(now Time, p int32) {
	for i := 0; i < len(b.queue) && b.underLimit(now); {
		if p >= 0 && !b.hasRoom(&b.endpoints[p]) {
			return // what has ended made one place; a long queue is not walked to its end for it
		}
		t := &b.slab[b.queue[i]]
		if p < 0 || t.home < 0 || t.home == p || b.maySpill(t.home, &b.endpoints[p]) {
			if to := b.choose(now, t, false); to >= 0 && now < t.waitTill {
				b.unqueue(i)
				t.next(b, t, result{now: now, endpoint: to})
				continue
			}
		}
		i++
	}
}

func (b *Balancer) record(now Time, t *request, p int32, o Outcome, spent Time) {
	s, quoted := &b.endpoints[p], b.settings.Classes[t.class].Target
	part := float64(spent) / float64(quoted)
	if o == TimedOut && spent < Time(b.meanLatency[t.class]) {
		return // its client left less time than answers take, which is no sign of the endpoint
	}
	if o != Succeeded {
		// Errors are no sign of load, nor is a lone time-out. What rejects, yet answers in time, is leaving.
		full := o == Rejected && (b.load(s) > crowded || s.reported > b.meanReported)
		if !full {
			b.countFailure(now, t, s, o)
		}
		if full || o == TimedOut && (now-spent >= s.soundAt || b.load(s) > roomy) {
			b.adjustLimit(now, s, 1, min(spent, quoted), quoted)
			b.cutLimit(now, s, 0.7)
			s.observe(now, quoted, max(1, part))
		} else if o == TimedOut && float64(s.busy()+2) >= s.limit {
			s.limit += placeLost // what waited for nothing held a place that others needed
		}
		return
	}
	b.adjustLimit(now, s, min(1, part), min(spent, quoted), quoted)
	s.failures, s.ejection, s.soundAt = 0, 0, max(s.soundAt, now-spent)
	s.served.count(now)
	if !b.cold(now, s) {
		b.successes.count(now)
	}
	b.retryBudget = min(retryCap, b.retryBudget+retryEarned)
	b.meanLatency[t.class] += 0.05 * (float64(spent) - b.meanLatency[t.class])
	s.observe(now, quoted, part)
	if s.slowStart *= 2; s.slowStart > 0 && float64(s.slowStart) >= s.limit {
		s.slowStart = 0
		b.front.Log(fmt.Sprintf("server %d: back in full use", s.ID))
	}
	// The unloaded answer time is followed from below, so that a long overload is not taken for it.
	b.baseline += 0.0005*max(0, s.ratio-b.baseline) + 0.05*min(0, s.ratio-b.baseline)
	switch load := b.load(s); {
	case load > crowded:
		b.cutLimit(now, s, max(0.5, crowded/load))
	case load < roomy && float64(s.busy()+2) >= s.limit:
		s.limit += part / s.limit / 2 // one more in two target latencies of full use, however short the answers
	}
}

// adjustLimit sets how many attempts may be out: one from each of hundreds would choke every endpoint.
func (b *Balancer) adjustLimit(now Time, s *endpoint, late float64, spent, quoted Time) {
	side := &b.sides[0]
	if s.Zone == b.settings.Zone {
		side = &b.sides[1]
	}
	*side += 0.05 * (late - *side)
	if b.meanReported > 0 && b.loadShare(s) < 1 {
		return // its own trouble, and no reason to send less to the others
	}
	// What was late is forgotten with time too: at one attempt in two seconds, ten of them outlast any jam.
	b.late += max(0.1, min(0.5, float64(now-b.heardAt)/float64(4*quoted))) * (late - b.late)
	b.heardAt, b.inUse = now, b.inUse+0.1*(float64(b.out-b.idle+1)-b.inUse)
	mean, tooLate := b.late, b.tooLate
	if b.settings.StreamsPerConnection <= 1 { // half of what an unloaded answer leaves: some take long by themselves
		tooLate = max(tooLate, (1+b.baseline)/2)
	}
	if b.meanReported > 0 && now-b.listAt < listFresh {
		mean = min(mean, b.expected()) // a few late ones mean nothing while little is held
	}
	if mean > tooLate && now-b.limitCutAt > quoted/2 {
		b.limitCutAt, b.limit = now, max(b.least(), min(b.limit, b.inUse)*max(0.5, tooLate/mean))
	} else if mean < tooLate {
		b.limit *= 1 + limitGrowth*(1-mean/tooLate)*min(1, late/b.limit)
		b.limit = min(b.limit, max(2, limitSpare*b.inUse, limitFree*b.least()))
	}
	b.resumeAt = now + Time(float64(spent)*max(0, 1/b.limit-1))
}

func (b *Balancer) underLimit(now Time) bool {
	return float64(b.out-b.idle) < b.limit && now >= b.resumeAt
}

// load is the part of the target latency by which an endpoint's answers exceed the unloaded ones.
func (b *Balancer) load(s *endpoint) float64 { return s.ratio - b.baseline }

func (b *Balancer) cutLimit(now Time, s *endpoint, to float64) {
	if now-s.cutAt >= 200*Millisecond {
		s.cutAt, s.limit = now, max(1, s.limit*to)
	}
}

func (b *Balancer) countFailure(now Time, t *request, s *endpoint, o Outcome) {
	// A request that fails wherever it goes, under one key or on a further attempt, says little of the endpoint.
	if o != NotConnected && o != Rejected && (t.attempts > 1 || s.failures > 0 && t.key == s.failureKey) {
		return
	}
	s.failures, s.failureKey = s.failures+1, t.key
	// When most endpoints look bad at once the cause is shared, and moving their work makes it worse.
	shared := o != NotConnected && 2*(b.ejected+1) > len(b.byID)
	// Where an instance hears little of each endpoint, three failures in a row, or two seconds, mean nothing.
	need, skip, each := ejectAfter, ejectFirst, b.successes.now(now)/float64(len(b.byID))
	if b.late < 0.5 && b.recentAt > frequencyPrior || s.reported > b.meanReported {
		need, skip = 1+int((ejectAfter-1)*min(1, each)), max(skip, Time(float64(Second)/max(each, 0.01)))
	}
	if o == NotConnected && b.settings.StreamsPerConnection > 1 {
		need = 1 // where connections last, one that fails tells more than an attempt
	}
	if s.failures < need && s.slowStart == 0 || now < s.ejectedTill || shared {
		return
	}
	s.ejection = min(max(2*s.ejection, skip), ejectMost)
	s.ejectedTill, s.slowStart = now+Time(float64(s.ejection)*(0.75+0.5*b.chance.part())), 1
	b.ejected++
	b.front.Log(fmt.Sprintf("server %d: aside %dms, %d failures in a row, last %d", s.ID,
		s.ejection/Millisecond, s.failures, o))
}

func (b *Balancer) maintain(now Time) {
	if now < b.maintainAt {
		return
	}
	b.maintainAt, b.ejected = now+maintainEvery, 0
	// An empty list is more likely a fault of the list than the end of the fleet, and moves nothing.
	empty := !slices.ContainsFunc(b.endpoints, func(s endpoint) bool { return s.Status != Gone })
	warm, expected := 0.0, max(0.2, b.expected()) // a place kept costs most where endpoints are busy
	idle := Time(float64(idleKeep) / float64(b.settings.Instances) / (expected * expected))
	for i := range b.endpoints {
		s := &b.endpoints[i]
		if s.Status == Ready && !b.cold(now, s) {
			warm += b.worksAs(s)
		}
		s.ratio += 0.01 * (b.baseline - s.ratio) // what has not been heard of for long fades
		if now < s.ejectedTill && s.inTable {
			b.ejected++
		}
		if b.settings.StreamsPerConnection > 1 && s.usedAt > 0 && s.out == 0 && now-s.usedAt >= idle {
			s.usedAt = 0
			b.front.Release(s.ID)
		}
		if s.Status != Gone {
			s.leftAt = now
		} else if s.inTable && now-s.leftAt >= holdTime && !empty && s.out == 0 && !b.bound(int32(i)) {
			// Its place is free for another: endpoints that come under ever new ids must not fill the memory.
			b.leave(int32(i))
			delete(b.places, s.ID)
			b.front.Forget(s.ID)
		}
	}
	b.warmRate = b.successes.now(now) / max(warm, 1)
	b.adjustNearPart(now)
	if b.rejecting && now-b.rejectedAt > Second {
		b.rejecting = false
		b.front.Log("room again: no turn-back for a second")
	}
}

// adjustNearPart sets the part of the keys that look near first: by key, so that each stays where it is.
func (b *Balancer) adjustNearPart(now Time) {
	near, far, was, rise := b.sides[1]-b.baseline, b.sides[0]-b.baseline, b.nearPart, 0.01
	if b.meanReported > 0 {
		near, far, rise = b.nearReported/(1+b.meanReported), b.meanReported/(1+b.meanReported), 0.03
	} else if near < roomy {
		rise = max(rise, min(0.03, b.settings.CrossZonePrice/4)) // what answers as if idle is not jammed by it
	}
	switch {
	case b.settings.CrossZonePrice == 0, b.meanReported > 0 && now-b.listAt >= listFresh:
	case near-far > nearAway, b.settings.StreamsPerConnection <= 1 && near > splitWorth*b.settings.CrossZonePrice:
		b.nearPart = max(0, b.nearPart-0.05)
	case near-far < nearBack:
		b.nearPart = min(1, b.nearPart+rise)
	}
	if (was > 0) != (b.nearPart > 0) {
		b.front.Log(fmt.Sprintf("near first: %.2f of the keys, load near %.2f, far %.2f", b.nearPart, near, far))
	}
}

func (b *Balancer) wake(now, at Time) {
	if b.wakeAt == 0 || at < b.wakeAt {
		b.wakeAt = at
		b.front.Wake(max(at-now, b.settings.Tick))
	}
}

// Woken answers requests whose time is up, lets waiting ones go on and asks for the list.
func (b *Balancer) Woken(now Time) {
	if now+Millisecond < b.wakeAt {
		return // an earlier call has put this one off
	}
	b.wakeAt = 0
	if b.askAt > 0 && now >= b.askAt {
		b.askAt = 0
		b.front.FollowList(true)
	} else if b.askAt > 0 {
		b.wake(now, b.askAt)
	}
	b.maintain(now)
	for place := range b.slab {
		t := &b.slab[place]
		if !t.inUse || t.answered {
			continue
		}
		due := t.deadline - b.margin()
		if t.queued {
			due = t.waitTill
		}
		if now < due {
			b.wake(now, due)
			continue
		}
		// A time-out that never came must not leave the client without an answer.
		t.mayHaveRun = t.mayHaveRun || t.out > 0
		b.unqueue(slices.Index(b.queue, t.place))
		b.cancel(t)
		b.reject(now, t)
	}
	b.drain(now, -1)
	if len(b.queue) > 0 {
		b.wake(now, now+pollTicks*b.settings.Tick)
	}
}
