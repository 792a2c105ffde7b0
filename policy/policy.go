// Package policy decides where tickets go and what becomes of them. An instance is told what happened and
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
	slots      = 1 << 14     // one size for all, so that sidecars started at any fleet size agree
	layoutSeed = 0x70657070  // fixed: every sidecar lays out the same table
	holdTime   = 30 * Second // a server listed gone keeps its slots this long

	skipFirst, skipMost   = 2 * Second, 16 * Second // time aside, doubled on each relapse
	inRow, firstLimit     = 3, 2                    // failures that set aside; pushes out to a new server
	spillMargin           = 2                       // free places, or fewer pushes, that a spill must find
	roomy, crowded        = 0.15, 0.45              // load under which more may go out, and over which less must
	paceLate, paceLost    = 0.75, 0.5               // mean lateness at which it is cut; where late earns nothing
	paceSpare, paceFree   = 4, 16                   // times what is out, or pushes at each server, left to it
	heatPrior, sureBeyond = 64, 2                   // tickets under other keys before; errors over a share
	lately, hotSpread     = 32, 6                   // tickets that show a new hot key; servers for one's worth
	shortOfHit, coldEarns = 0.25, 0.6               // no keys remembered: four times the work; own answers' part
	coldKeeps             = 0.4                     // fall times that a push to a cold one keeps: bursts spend all
	repeatValue, waitPart = 0.5, 0.5                // worth of a client's repeat; what may wait of home's rate
	paceGrowth, firstWait = 0.5, 2.0                // growth at no lateness; quoted times for a first push
	pushCredit, pushesCap = 0.1, 20                 // further pushes earned by each honoured, saved at most
	splitWorth, placeLost = 5, 0.5                  // load at which crossings pay; limit for a lone time-out
	leanAway, leanBack    = 0.15, 0.05              // near load beyond far: fewer keys stay near, and more

	heldBound, resized     = 1.5, 1.1               // times the mean load, walked past; change that moves slots
	agreed, listFresh      = 0.1, 2 * Second        // first tries with less time; age of a list believed on load
	idleKeep, askEach      = 10 * Second, 1e7       // idle connections over all; ns for each to ask the list
	rateSpan, tendEvery    = 3 * Second, Second / 4 // memory of the rate meters; between looks at all servers
	marginTicks, pollTicks = 3, 10                  // ticks before a cut-off to answer in; between looks
)

// New starts an instance. Seeds may be alike: near ones would give near first draws.
func New(front Front, c *Settings, seed uint64, now Time) *Balancer {
	b := &Balancer{front: front, campaign: c, chance: newChance(xxhash.Sum64String(fmt.Sprint(seed))),
		places: map[EndpointID]int32{}, usual: make([]float64, len(c.Classes)), tooLate: paceLost,
		patience: make([]patience, len(c.Classes)), use: make([]meter, len(c.Tenants)), calm: 0.25,
		perHeld: 0.15, pushes: pushesCap / 2, pace: math.MaxInt32, endAt: math.MaxInt64,
		nearPart: min(1, 2*splitWorth*c.CrossPrice)}
	for i, o := range c.Classes {
		b.usual[i] = float64(o.Target) / 4
		if o.LateValue > 0 {
			b.tooLate = paceLate
		}
	}
	if c.MustAsk {
		b.askWait = min(Time(c.Instances)*askEach, c.MustAskIn/4)
		b.askAt = now + Time(b.chance.part()*float64(b.askWait)) + 1
		b.wake(now, b.askAt)
	}
	return b
}

// List applies what the list says.
func (b *Balancer) List(now Time, kind ListKind, members []Member) {
	if b.campaign.MustAsk && kind != ListSaved {
		b.askAt, b.askWait = 0, 0
	}
	b.tend(now)
	b.listAt = now
	first, moved := len(b.byID) == 0, false
	b.epoch++
	byID := func(x, y Member) int { return cmp.Compare(x.ID, y.ID) }
	for _, m := range slices.SortedFunc(slices.Values(members), byID) {
		moved = b.heard(now, m) || moved
	}
	if moved {
		b.deal(nil, b.byID)
	}
	for i := range b.servers {
		if s := &b.servers[i]; kind != ListChanges && s.seen != b.epoch && s.Standing != Gone {
			s.Standing = Gone
		}
	}
	var size, held [2]float64 // of all, and of this zone
	for _, p := range b.byID {
		s := &b.servers[p]
		for i := range size {
			if s.Standing == Ready && now >= s.asideTill && (i == 0 || s.Zone == b.campaign.Zone) {
				size[i], held[i] = size[i]+s.Weight, held[i]+s.Weight*s.held
			}
		}
	}
	b.meanHeld, b.nearHeld = held[0]/max(size[0], 1), held[1]/max(size[1], 1)
	b.brake(now)
	if first && len(b.byID) > 0 {
		// Before anything is learned: all traffic may come to one zone, and what goes near first must not jam it.
		b.nearPart = min(b.nearPart, float64(b.nearOwners)/float64(len(b.byID)))
	}
	b.drain(now, -1)
}

// brake cuts the pace when the list shows more held than, by what answers took, can be answered in time.
func (b *Balancer) brake(now Time) {
	if b.meanHeld == 0 {
		return
	}
	expected, learn := b.expected(), 0.05
	if expected >= 1 {
		learn = 0.01 // a jam teaches little, but what was learned wrongly must not last
		if now-b.pacedAt > Second/4 {
			b.pacedAt, b.pace = now, max(b.least(), min(b.pace, b.inUse)*max(0.5, 1/expected))
		}
	}
	b.perHeld += learn * (max(b.late, b.calm)/(1+b.meanHeld) - b.perHeld)
}

func (b *Balancer) expected() float64 { return b.perHeld * (1 + b.meanHeld) }

// least is the pace at which all sidecars together have one push out at each server.
func (b *Balancer) least() float64 { return float64(len(b.byID)) / float64(b.campaign.Instances) }

func (b *Balancer) heard(now Time, m Member) bool {
	if m.Weight <= 0 {
		m.Weight = 1
	}
	p, known := b.places[m.ID]
	b.coldTill = max(b.coldTill, m.Started+b.campaign.ColdTime)
	if !known {
		if m.Standing == Gone {
			return false
		}
		if p = int32(slices.IndexFunc(b.servers, func(s server) bool { return !s.inTable })); p < 0 {
			p = int32(len(b.servers))
			b.servers = append(b.servers, server{})
		}
		b.places[m.ID] = p
		b.servers[p] = server{Member: m, seen: b.epoch, limit: firstLimit, budget: b.chance.part(),
			budgetAt: now, leftAt: now}
		b.join(p)
		return false
	}
	s := &b.servers[p]
	s.seen = b.epoch
	if !b.campaign.Weighted {
		// The weight falls with load, so the most that was seen is the size; slots move only for a clear change.
		s.held = max(0, s.Weight/m.Weight-1)
		if m.Weight < s.Weight*resized {
			m.Weight = s.Weight
		}
	}
	reweighed := s.Weight != m.Weight
	if m.Started > s.Started {
		// What was learned is void. From a budget of zero, hundreds would send nothing for long, then all at once.
		s.limit, s.ratio, s.row, s.trickle, s.asideTill, s.skip = firstLimit, 0, 0, 0, 0, 0
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
	b.servers[p].inTable = true
	at, _ := slices.BinarySearchFunc(b.byID, p, func(x, y int32) int {
		return cmp.Compare(b.servers[x].ID, b.servers[y].ID)
	})
	b.byID = slices.Insert(b.byID, at, p)
	b.deal(loose, []int32{p})
}

func (b *Balancer) leave(p int32) {
	s := &b.servers[p]
	s.inTable = false
	b.byID = slices.DeleteFunc(b.byID, func(o int32) bool { return o == p })
	slices.SortFunc(s.ranks, func(x, y int32) int { return cmp.Compare(b.order[x], b.order[y]) })
	b.deal(s.ranks, b.byID)
	s.ranks = nil
}

// deal sets the shares, exact to one slot, and moves the loose slots in the order given, or else, in seeded
// order, those above their owners' shares, each to whichever server is furthest below its share, ties by id.
func (b *Balancer) deal(loose, to []int32) {
	total, sum, given, surplus := 0.0, 0.0, 0, []int32(nil)
	for _, p := range b.byID {
		total += b.servers[p].Weight
	}
	b.nearOwners = 0
	for _, p := range b.byID {
		s := &b.servers[p]
		sum += s.Weight
		s.target = int(math.Round(sum/total*slots)) - given
		given += s.target
		surplus = append(surplus, s.ranks[:max(0, len(s.ranks)-s.target)]...)
		if s.Zone == b.campaign.Zone {
			b.nearOwners++
		}
	}
	if loose == nil {
		slices.Sort(surplus)
		loose = surplus
	}
	short := func(p int32) int { return len(b.servers[p].ranks) - b.servers[p].target }
	level := short(slices.MinFunc(to, func(x, y int32) int { return cmp.Compare(short(x), short(y)) }))
	for ; len(loose) > 0 && level < 0; level++ {
		for _, p := range to {
			s := &b.servers[p]
			if len(loose) == 0 || short(p) != level {
				continue
			}
			slot := b.order[loose[0]]
			if was := b.table[slot]; was >= 0 && b.servers[was].inTable {
				// Surplus comes in seeded order, so the owner's first is the one.
				b.servers[was].ranks = b.servers[was].ranks[1:]
			}
			s.ranks = append(s.ranks, loose[0])
			b.table[slot] = p
			loose = loose[1:]
		}
	}
	for _, p := range to {
		slices.Sort(b.servers[p].ranks)
	}
}

// ListFailed is told when asking failed or following broke. Asked in step, its service would stay swamped.
func (b *Balancer) ListFailed(now Time) {
	b.askWait = min(max(2*b.askWait, Time(b.campaign.Instances)*askEach, Second/4), b.campaign.MustAskIn/4)
	b.askAt = now + Time(float64(b.askWait)*(0.5+b.chance.part()))
	b.front.Log(fmt.Sprintf("list: failed, asking again in %dms", (b.askAt-now)/Millisecond))
	b.wake(now, b.askAt)
}

// Admit takes a ticket in hand; Begin must follow.
func (b *Balancer) Admit(now Time, o ClassID, f TenantID, key string, repeat bool, left Time) Handle {
	b.tend(now)
	if len(b.free) == 0 {
		b.slab = append(b.slab, ticket{})
		b.free = append(b.free, uint32(len(b.slab)-1))
	}
	place := b.free[len(b.free)-1]
	b.free = b.free[:len(b.free)-1]
	t := &b.slab[place]
	*t = ticket{generation: t.generation + 1, place: place, inUse: true, offering: o,
		arrived: now, cutOff: min(now+left, b.endAt), ranOn: -1}
	if t.keyless = key == ""; t.keyless {
		// In turn from one start, instances would follow each other over the same servers of the same table.
		t.key = uint64(b.chance.next())<<32 | uint64(b.chance.next())
	} else {
		t.key = xxhash.Sum64String(key)
		t.heat = b.heat(t.key)
	}
	t.value = b.worth(now, t, f, repeat)
	// Where first tries agree, a repeat with another time than theirs has what they left of the cut-off.
	p, odd := &b.patience[o], 0.0
	if of := &b.campaign.Classes[o]; !repeat {
		if p.most = max(p.most, left); p.most-left > b.margin() {
			odd = 1
		}
		p.odd += 0.05 * (odd - p.odd)
	} else if of.LateValue == 0 && p.odd < agreed && max(left-p.most, p.most-left) > b.margin() {
		if t.arrived -= max(0, of.Deadline-left); now > t.arrived+of.Target {
			t.cutOff = now // too late to be worth anything: answered at once
		}
	}
	return t.handle()
}

// heat is the part that the key has of our recent tickets, this one apart, or, less one more, of the latest.
// One with more than a server's share would drown its owner before any of hundreds sees it by its pushes.
func (b *Balancer) heat(key uint64) float64 {
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
	return max(n/float64(min(b.recentAt, len(b.recent))+heatPrior), late/(2*lately))
}

// worth is the credit expected for each second that a server works on the ticket.
func (b *Balancer) worth(now Time, t *ticket, f TenantID, repeat bool) float64 {
	v := b.campaign.Classes[t.offering].Value / b.usual[t.offering]
	if repeat {
		v *= repeatValue
	}
	b.arrivals.count(now)
	if f >= 0 {
		b.use[f].count(now)
		// Others' traffic is unseen: our part of the quotas is taken for our part of all, at least an equal one.
		part := min(1, max(1/float64(b.campaign.Instances), b.arrivals.rate/b.campaign.Quotas))
		most := 1.1 * part * b.campaign.Tenants[f].Quota
		if b.campaign.Streams > 1 { // a pool's sidecar counts too few of each to tell a share from chance
			most += sureBeyond * math.Sqrt(most/float64(2*rateSpan/Second))
		}
		if b.use[f].rate > most {
			v *= max(b.campaign.BeyondValue, 0.01)
		}
	}
	return v
}

// Begin decides the first step of a ticket.
func (b *Balancer) Begin(now Time, h Handle) {
	t := b.held(h)
	// A client may have less patience than the quoted time: what has waited must have left what an answer takes.
	till := min(t.arrived+b.campaign.Classes[t.offering].Target, t.cutOff-b.margin())
	t.waitTill = till - Time(b.usual[t.offering])
	b.place(now, t, false)
}

func (b *Balancer) margin() Time { return marginTicks * b.campaign.Tick }

// place pushes the ticket, lets it wait, or answers it. A last try takes any room that is not crowded.
func (b *Balancer) place(now Time, t *ticket, last bool) {
	t.home = -1
	if now < t.cutOff-b.margin() && b.paced(now) {
		if to := b.choose(now, t, last); to >= 0 {
			b.push(now, t, to)
			return
		}
	}
	if now < t.waitTill && !last {
		b.enqueue(now, t)
	} else {
		b.refuse(now, t)
	}
}

// enqueue lets the ticket wait in order of worth, then age, unless the wait would end in no answer.
func (b *Balancer) enqueue(now Time, t *ticket) {
	rate, waiting, worst := b.done.now(now), 0, -1
	if p := t.home; p >= 0 {
		rate = max(b.servers[p].served.now(now), b.servers[p].limit*float64(Second)/b.usual[t.offering])
	}
	for i, place := range b.queue {
		if b.slab[place].home == t.home {
			waiting, worst = waiting+1, i
		}
	}
	if float64(waiting) >= max(2, rate*float64(t.waitTill-now)/float64(Second)*waitPart) {
		least := &b.slab[b.queue[worst]]
		if least.value >= t.value {
			b.place(now, t, true)
			return
		}
		b.unqueue(worst)
		b.place(now, least, true)
	}
	t.queued, t.next = true, (*Balancer).called
	at := sort.Search(len(b.queue), func(i int) bool { return b.slab[b.queue[i]].value < t.value })
	b.queue = slices.Insert(b.queue, at, t.place)
	b.wake(now, min(t.waitTill, now+pollTicks*b.campaign.Tick))
}

func (b *Balancer) unqueue(i int) {
	if i >= 0 {
		b.slab[b.queue[i]].queued = false
		b.queue = slices.Delete(b.queue, i, i+1)
	}
}

func (b *Balancer) called(t *ticket, n news) { b.push(n.now, t, n.server) }

func (b *Balancer) push(now Time, t *ticket, to int32) {
	s, o := &b.servers[to], &b.campaign.Classes[t.offering]
	wait := t.cutOff - b.margin() - now
	// A silent server must not hold a ticket for long; cancels and saved pushes keep that from feeding a jam.
	if b.campaign.MayCancel && t.pushes+1 < b.campaign.MaxAttempts && b.pushes >= 1 && o.Idempotency != NonIdempotent {
		wait = min(wait, max(Time(firstWait*float64(o.Target)), Time(6*b.usual[t.offering])))
	}
	if b.cold(now, s) {
		s.budget--
	}
	t.tried[t.pushes%len(t.tried)] = to
	t.pushes, t.out, b.out, s.out, t.sentAt = t.pushes+1, t.out+1, b.out+1, s.out+1, now
	b.idles(t, to, 1)
	t.next = (*Balancer).pushed
	b.front.Attempt(t.handle(), s.ID, wait)
	b.wake(now, t.cutOff-b.margin())
}

// AttemptEnded hands over how a push ended. over is true when nothing more is owed for the ticket.
func (b *Balancer) AttemptEnded(now Time, h Handle, n AttemptNo, id EndpointID, o Outcome, spent Time, over bool) {
	p, known := b.places[id]
	t := b.held(h)
	if t == nil || !known || t.out == 0 {
		return
	}
	b.idles(t, p, -1)
	t.out, b.out, b.servers[p].out, b.servers[p].usedAt = t.out-1, b.out-1, b.servers[p].out-1, now
	if o < Cancelled {
		b.judge(now, t, p, o, spent)
	}
	if over {
		t.settle()
	}
	t.next(b, t, news{now, o, p, n, spent})
	b.letGo(t)
	b.drain(now, p)
}

func (t *ticket) settle() { t.answered, t.next = true, func(*Balancer, *ticket, news) {} }

// Until is told a ticket's new cut-off: none (0) once its answer has begun, the client's from then on.
func (b *Balancer) Until(h Handle, cutOff Time) {
	if t := b.held(h); t != nil {
		t.cutOff = cmp.Or(cutOff, math.MaxInt64)
	}
}

func (b *Balancer) pushed(t *ticket, n news) {
	if n.outcome == Succeeded || n.outcome == Declined {
		t.settle()
		b.front.Succeed(t.handle(), n.push)
		return
	}
	never := n.outcome == Rejected || n.outcome == NotConnected || n.outcome == NotSent
	if !never && !t.mayHaveRun {
		t.mayHaveRun, t.ranAt, t.ranOn = true, t.sentAt, n.server
	}
	o := &b.campaign.Classes[t.offering]
	spent := t.mayHaveRun || n.outcome == Rejected && b.late > crowded
	late := o.LateValue == 0 && n.now > t.arrived+o.Target
	nowhere := !slices.ContainsFunc(b.byID, func(p int32) bool { return b.allowed(n.now, t, p) })
	if n.outcome == NotSent || t.pushes >= b.campaign.MaxAttempts || late || nowhere || spent && b.pushes < 1 {
		b.refuse(n.now, t) // with nowhere to go it would wait for nothing
		return
	}
	if spent {
		b.pushes-- // earned by honoured ones, so that failures cannot feed an overload
	}
	b.place(n.now, t, false)
}

// refuse answers at once: turned back where the client may safely come again, else given up.
func (b *Balancer) refuse(now Time, t *ticket) {
	o := &b.campaign.Classes[t.offering]
	t.settle()
	if !t.mayHaveRun && t.out == 0 || o.Idempotency == Idempotent || o.Idempotency == Keyed && o.Group == GroupAll {
		if !b.short {
			b.front.Log(fmt.Sprintf("short of room: turning back, %d out, %d waiting", b.out, len(b.queue)))
		}
		b.short, b.turnedAt = true, now
		b.front.Reject(t.handle(), min(b.campaign.MaxRetryAfter, o.Target))
	} else {
		b.front.Fail(t.handle())
	}
	b.letGo(t)
}

func (b *Balancer) letGo(t *ticket) {
	if t.inUse && t.answered && t.out == 0 && !t.queued {
		t.inUse = false
		b.free = append(b.free, t.place)
	}
}

// ClientLeft is told when a ticket is over because its client left.
func (b *Balancer) ClientLeft(now Time, h Handle) {
	if t := b.held(h); t != nil && !t.answered {
		b.unqueue(slices.Index(b.queue, t.place))
		t.settle()
		b.callOff(t)
		b.letGo(t)
	}
}

// Leave brings all cut-offs, also those still to come, forward to the sidecar's own end.
func (b *Balancer) Leave(now, by Time) {
	b.endAt = by
	for i := range b.slab {
		t := &b.slab[i]
		t.cutOff, t.waitTill = min(t.cutOff, by), min(t.waitTill, by-b.margin())
	}
	b.wake(now, by-b.margin())
}

func (b *Balancer) callOff(t *ticket) {
	if t.out > 0 && b.campaign.MayCancel {
		b.front.Cancel(t.handle(), AttemptNo(t.pushes-1))
	}
}

// choose walks the table to the first usable server, home, or if that is full one it may spill to. -1: wait.
func (b *Balancer) choose(now Time, t *ticket, last bool) int32 {
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
		most := max(1, t.heat*hotSpread*float64(owners))
		one, other, rival := int(b.chance.part()*most), int(b.chance.part()*most), int32(-1)
		for i := 0; i < len(b.table) && seen < owners; i++ {
			p := b.table[(int(t.key%slots)+i)%slots]
			s := &b.servers[p]
			if s.seen == b.epoch || near && s.Zone != b.campaign.Zone {
				continue
			}
			s.seen = b.epoch
			seen++
			switch {
			case !b.allowed(now, t, p):
			case !b.usable(now, s) || b.over(s):
				if spare < 0 && !b.cold(now, s) {
					spare = p
				}
			case home < 0 && max(one, other) > 0:
				// A hot key is dealt over as many as its part of all needs, to the less loaded of two.
				if min(one, other) == 0 && !b.cold(now, s) {
					rival = p
				}
				one, other, spare = one-1, other-1, p
			case home < 0 && rival >= 0 && b.servers[rival].ratio < s.ratio && b.room(&b.servers[rival]):
				return rival
			case b.room(s) && (home < 0 || last && b.load(s) < crowded || b.spills(home, s)):
				return p
			case home < 0:
				home = p
			}
		}
		if !near {
			break
		}
	}
	// With every server set aside, pushing is better than certain failure.
	if home < 0 && spare >= 0 && b.room(&b.servers[spare]) {
		return spare
	}
	t.home = home
	return -1
}

// warming gives a cold server that may be sent a request now. An instance of hundreds has a budget for one only
// for moments, in which its own requests seldom meet it by their slots: all together they would leave it idle.
func (b *Balancer) warming(now Time, t *ticket, near bool) int32 {
	for _, p := range b.byID {
		s := &b.servers[p]
		if !b.cold(now, s) || near && s.Zone != b.campaign.Zone {
			continue
		}
		if b.allowed(now, t, p) && b.usable(now, s) && b.room(s) {
			return p
		}
	}
	return -1
}

func (b *Balancer) room(s *server) bool { return float64(s.busy()) < s.limit }

// spills: home is at its limit; the other, which does not know the key, must be roomy, and hold less.
func (b *Balancer) spills(home int32, s *server) bool {
	fewer := b.servers[home].busy()-s.busy() >= spillMargin || float64(s.busy()+spillMargin) <= s.limit
	return fewer && b.load(s) < roomy
}

// allowed keeps the second rule, and sends no ticket twice to one server.
func (b *Balancer) allowed(now Time, t *ticket, p int32) bool {
	s, o := &b.servers[p], &b.campaign.Classes[t.offering]
	if s.Standing != Ready {
		return false
	}
	if t.mayHaveRun && o.Idempotency != Idempotent {
		ran := &b.servers[t.ranOn]
		if o.Idempotency == NonIdempotent || now+b.margin() >= t.ranAt+o.Window ||
			o.Group == GroupZone && ran.Zone != s.Zone || o.Group == GroupCell && ran.Cell != s.Cell {
			return false
		}
	}
	return !slices.Contains(t.tried[:min(t.pushes, len(t.tried))], p)
}

func (b *Balancer) usable(now Time, s *server) bool {
	return now >= s.asideTill && (s.trickle < 1 || s.out < s.trickle) && (!b.cold(now, s) || b.save(now, s) >= 1)
}

// over: a part of the tickets walks past a server over its bound, lest hundreds leave it all at once.
func (b *Balancer) over(s *server) bool {
	takes := b.takes(s)
	return takes < 1 && b.chance.part() > takes*takes
}

func (b *Balancer) takes(s *server) float64 {
	if b.meanHeld == 0 { // the list shows no load: what its answers to us take stands in for it
		return heldBound * max(b.late, b.calm+roomy) / max(s.ratio, b.calm)
	}
	return heldBound * (1 + b.meanHeld) / (1 + s.held)
}

// hear takes in what an answer took, in quoted times: the more, the longer nothing was heard of the server.
func (s *server) hear(now, quoted Time, part float64) {
	s.ratio += max(0.2, min(1, float64(now-s.heardAt)/float64(4*quoted))) * (part - s.ratio)
	s.heardAt = now
}

func (b *Balancer) cold(now Time, s *server) bool {
	return s.Started > 0 && now < s.Started+b.campaign.ColdTime
}

// worksAs is what a server is taken to do. A size learned from falling weights is small until it was idle.
func (b *Balancer) worksAs(s *server) float64 {
	if b.campaign.Weighted {
		return s.Weight
	}
	return 1
}

// save lets a cold server's budget grow, by the same part at all sidecars of what warm ones bear or it does.
func (b *Balancer) save(now Time, s *server) float64 {
	c := b.campaign
	share := c.ColdShare + (1-c.ColdShare)*float64(now-s.Started)/float64(c.ColdTime)
	grow := max(0.25/float64(c.Instances), c.FallMultiple*share*shortOfHit*b.borne*b.worksAs(s),
		c.FallMultiple*coldEarns*s.served.now(now)) / float64(Second)
	sum, kept := s.budget+grow*float64(now-s.budgetAt), grow*coldKeeps*float64(cmp.Or(c.FallTime, Second))
	sum -= max(0, math.Ceil(sum-1-kept)) // one at most is kept, and for no longer
	s.budget, s.budgetAt = min(2-math.Floor(min(1, kept)), c.FallMultiple, sum), now
	return s.budget
}

func (b *Balancer) drain(now Time, p int32) {
	for i := 0; i < len(b.queue) && b.paced(now); {
		if p >= 0 && !b.room(&b.servers[p]) {
			return // what has ended made one place; a long queue is not walked to its end for it
		}
		t := &b.slab[b.queue[i]]
		if p < 0 || t.home < 0 || t.home == p || b.spills(t.home, &b.servers[p]) {
			if to := b.choose(now, t, false); to >= 0 && now < t.waitTill {
				b.unqueue(i)
				t.next(b, t, news{now: now, server: to})
				continue
			}
		}
		i++
	}
}

func (b *Balancer) judge(now Time, t *ticket, p int32, o Outcome, spent Time) {
	s, quoted := &b.servers[p], b.campaign.Classes[t.offering].Target
	part := float64(spent) / float64(quoted)
	if o == TimedOut && spent < Time(b.usual[t.offering]) {
		return // its client left less time than answers take, which is no sign of the server
	}
	if o != Succeeded {
		// Errors are no sign of load, nor is a lone time-out. What turns away, yet answers in time, is leaving.
		full := o == Rejected && (b.load(s) > crowded || s.held > b.meanHeld)
		if !full {
			b.bad(now, t, s, o)
		}
		if full || o == TimedOut && (now-spent >= s.soundAt || b.load(s) > roomy) {
			b.regulate(now, s, 1, min(spent, quoted), quoted)
			b.cut(now, s, 0.7)
			s.hear(now, quoted, max(1, part))
		} else if o == TimedOut && float64(s.busy()+2) >= s.limit {
			s.limit += placeLost // what waited for nothing held a place that others needed
		}
		return
	}
	b.regulate(now, s, min(1, part), min(spent, quoted), quoted)
	s.row, s.skip, s.soundAt = 0, 0, max(s.soundAt, now-spent)
	s.served.count(now)
	if !b.cold(now, s) {
		b.done.count(now)
	}
	b.pushes = min(pushesCap, b.pushes+pushCredit)
	b.usual[t.offering] += 0.05 * (float64(spent) - b.usual[t.offering])
	s.hear(now, quoted, part)
	if s.trickle *= 2; s.trickle > 0 && float64(s.trickle) >= s.limit {
		s.trickle = 0
		b.front.Log(fmt.Sprintf("server %d: back in full use", s.ID))
	}
	// The unloaded answer time is followed from below, so that a long overload is not taken for it.
	b.calm += 0.0005*max(0, s.ratio-b.calm) + 0.05*min(0, s.ratio-b.calm)
	switch load := b.load(s); {
	case load > crowded:
		b.cut(now, s, max(0.5, crowded/load))
	case load < roomy && float64(s.busy()+2) >= s.limit:
		s.limit += part / s.limit / 2 // one more in two quoted times of full use, however short the answers
	}
}

// regulate sets the pace, pushes that may be out in all: one from each of hundreds would choke every server.
func (b *Balancer) regulate(now Time, s *server, late float64, spent, quoted Time) {
	side := &b.sides[0]
	if s.Zone == b.campaign.Zone {
		side = &b.sides[1]
	}
	*side += 0.05 * (late - *side)
	if b.meanHeld > 0 && b.takes(s) < 1 {
		return // its own trouble, and no reason to send less to the others
	}
	// What was late is forgotten with time too: held down to a push in two seconds, ten of them outlast any jam.
	b.late += max(0.1, min(0.5, float64(now-b.heardAt)/float64(4*quoted))) * (late - b.late)
	b.heardAt, b.inUse = now, b.inUse+0.1*(float64(b.out-b.idle+1)-b.inUse)
	mean, tooLate := b.late, b.tooLate
	if b.campaign.Streams <= 1 { // half of what an unloaded answer leaves: some take long by themselves
		tooLate = max(tooLate, (1+b.calm)/2)
	}
	if b.meanHeld > 0 && now-b.listAt < listFresh {
		mean = min(mean, b.expected()) // a few late ones mean nothing while little is held
	}
	if mean > tooLate && now-b.pacedAt > quoted/2 {
		b.pacedAt, b.pace = now, max(b.least(), min(b.pace, b.inUse)*max(0.5, tooLate/mean))
	} else if mean < tooLate {
		b.pace *= 1 + paceGrowth*(1-mean/tooLate)*min(1, late/b.pace)
		b.pace = min(b.pace, max(2, paceSpare*b.inUse, paceFree*b.least()))
	}
	b.resumeAt = now + Time(float64(spent)*max(0, 1/b.pace-1))
}

func (b *Balancer) paced(now Time) bool { return float64(b.out-b.idle) < b.pace && now >= b.resumeAt }

// load is the part of the quoted time by which a server's answers exceed the unloaded ones.
func (b *Balancer) load(s *server) float64 { return s.ratio - b.calm }

func (b *Balancer) cut(now Time, s *server, to float64) {
	if now-s.cutAt >= 200*Millisecond {
		s.cutAt, s.limit = now, max(1, s.limit*to)
	}
}

func (b *Balancer) bad(now Time, t *ticket, s *server, o Outcome) {
	// A ticket that fails wherever it goes, under one key or on a further push, says little of the server.
	if o != NotConnected && o != Rejected && (t.pushes > 1 || s.row > 0 && t.key == s.rowKey) {
		return
	}
	s.row, s.rowKey = s.row+1, t.key
	// When most servers look bad at once the cause is shared, and moving their work makes it worse.
	shared := o != NotConnected && 2*(b.aside+1) > len(b.byID)
	// Where a sidecar hears little of each server, three failures in a row, or two seconds, mean nothing.
	need, skip, each := inRow, skipFirst, b.done.now(now)/float64(len(b.byID))
	if b.late < 0.5 && b.recentAt > heatPrior || s.held > b.meanHeld {
		need, skip = 1+int((inRow-1)*min(1, each)), max(skip, Time(float64(Second)/max(each, 0.01)))
	}
	if o == NotConnected && b.campaign.Streams > 1 {
		need = 1 // where connections last, one that fails tells more than a push
	}
	if s.row < need && s.trickle == 0 || now < s.asideTill || shared {
		return
	}
	s.skip = min(max(2*s.skip, skip), skipMost)
	s.asideTill, s.trickle = now+Time(float64(s.skip)*(0.75+0.5*b.chance.part())), 1
	b.aside++
	b.front.Log(fmt.Sprintf("server %d: aside %dms, %d failures in a row, last %d", s.ID,
		s.skip/Millisecond, s.row, o))
}

func (b *Balancer) tend(now Time) {
	if now < b.tendAt {
		return
	}
	b.tendAt, b.aside = now+tendEvery, 0
	// An empty list is more likely a fault of the list than the end of the fleet, and moves nothing.
	empty := !slices.ContainsFunc(b.servers, func(s server) bool { return s.Standing != Gone })
	warm, expected := 0.0, max(0.2, b.expected()) // a place kept costs most where servers are busy
	idle := Time(float64(idleKeep) / float64(b.campaign.Instances) / (expected * expected))
	for i := range b.servers {
		s := &b.servers[i]
		if s.Standing == Ready && !b.cold(now, s) {
			warm += b.worksAs(s)
		}
		s.ratio += 0.01 * (b.calm - s.ratio) // what has not been heard of for long fades
		if now < s.asideTill && s.inTable {
			b.aside++
		}
		if b.campaign.Streams > 1 && s.usedAt > 0 && s.out == 0 && now-s.usedAt >= idle {
			s.usedAt = 0
			b.front.Release(s.ID)
		}
		if s.Standing != Gone {
			s.leftAt = now
		} else if s.inTable && now-s.leftAt >= holdTime && !empty && s.out == 0 && !b.bound(int32(i)) {
			// Its place is free for another: servers that come under ever new ids must not fill the memory.
			b.leave(int32(i))
			delete(b.places, s.ID)
			b.front.Forget(s.ID)
		}
	}
	b.borne = b.done.now(now) / max(warm, 1)
	b.lean(now)
	if b.short && now-b.turnedAt > Second {
		b.short = false
		b.front.Log("room again: no turn-back for a second")
	}
}

// bound tells whether a ticket is bound by what the server was.
func (b *Balancer) bound(p int32) bool {
	return slices.ContainsFunc(b.slab, func(t ticket) bool { return t.inUse && t.ranOn == p })
}

// lean sets the part of the keys that look near first: by key, so that each stays with one server.
func (b *Balancer) lean(now Time) {
	near, far, was, rise := b.sides[1]-b.calm, b.sides[0]-b.calm, b.nearPart, 0.01
	if b.meanHeld > 0 {
		near, far, rise = b.nearHeld/(1+b.meanHeld), b.meanHeld/(1+b.meanHeld), 0.03
	}
	switch {
	case b.campaign.CrossPrice == 0, b.meanHeld > 0 && now-b.listAt >= listFresh:
	case near-far > leanAway, b.campaign.Streams <= 1 && near > splitWorth*b.campaign.CrossPrice:
		b.nearPart = max(0, b.nearPart-0.05)
	case near-far < leanBack:
		b.nearPart = min(1, b.nearPart+rise)
	}
	if (was > 0) != (b.nearPart > 0) {
		b.front.Log(fmt.Sprintf("near first: %.2f of the keys, load near %.2f, far %.2f", b.nearPart, near, far))
	}
}

func (b *Balancer) wake(now, at Time) {
	if b.wakeAt == 0 || at < b.wakeAt {
		b.wakeAt = at
		b.front.Wake(max(at-now, b.campaign.Tick))
	}
}

// Woken answers tickets whose time is up, lets waiting ones go on and asks for the list.
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
	b.tend(now)
	for place := range b.slab {
		t := &b.slab[place]
		if !t.inUse || t.answered {
			continue
		}
		due := t.cutOff - b.margin()
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
		b.callOff(t)
		b.refuse(now, t)
	}
	b.drain(now, -1)
	if len(b.queue) > 0 {
		b.wake(now, now+pollTicks*b.campaign.Tick)
	}
}
