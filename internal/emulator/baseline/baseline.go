// Package baseline has other policies than the module's, to compare it with: random, ring in turn, fewest pushes out, two
// choices, the bare slot table, and one that sees the true state of the fleet, as an upper mark. They keep the rules on
// answers, repeats and drains; those that know nothing of cold servers push them like others. Nothing that is deployed links
// this package.
package baseline

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pepperlead/internal/emulator"
	"pepperlead/policy"
)

// Names are those of all policies, the module's first.
var Names = []string{"module", "random", "ring", "fewest", "two", "table", "seeing"}

// Maker gives the maker of a policy by its name.
func Maker(name string) (emulator.Maker, error) {
	choose, known := map[string]func(b *base, t *ticket) policy.EndpointID{"random": (*base).random, "ring": (*base).ring,
		"fewest": (*base).fewest, "two": (*base).two, "table": (*base).table, "seeing": (*base).seeing}[name]
	switch {
	case name == "module":
		return emulator.Module, nil
	case !known:
		return nil, fmt.Errorf("policy: found %q, allowed %s", name, strings.Join(Names, ", "))
	}
	return func(front policy.Front, c *policy.Settings, seed uint64, now policy.Time, view emulator.View) emulator.Decider {
		chance := rand.New(rand.NewPCG(seed, 0x62617365))
		// From one start for all, instances would go round in step.
		return &base{front: front, c: c, view: view, chance: chance, choose: choose, turn: chance.IntN(math.MaxInt32),
			servers: map[policy.EndpointID]*server{}, bare: name == "table"}
	}, nil
}

type server struct {
	policy.Member
	out int
}

type ticket struct {
	inUse    bool
	place    uint32
	gen      uint32
	o        policy.ClassID
	key      string
	hash     uint64
	cutOff   policy.Time
	answered bool
	out      bool
	pushes   int
	tried    []policy.EndpointID
	ran      bool
	ranAt    policy.Time
	ranOn    policy.Member
	sentAt   policy.Time
}

func (t *ticket) handle() policy.Handle { return policy.Handle(uint64(t.gen)<<32 | uint64(t.place)) }

type base struct {
	front   policy.Front
	c       *policy.Settings
	view    emulator.View
	chance  *rand.Rand
	choose  func(b *base, t *ticket) policy.EndpointID
	servers map[policy.EndpointID]*server
	ready   []policy.EndpointID // by id
	turn    int
	now     policy.Time
	slab    []*ticket
	free    []uint32
	wakeAt  policy.Time
	bare    bool
	slots   *Slots
}

// none is no server.
const none policy.EndpointID = 0

func (b *base) UpdateEndpoints(now policy.Time, kind policy.ListKind, members []policy.Member) {
	if kind != policy.ListChanges {
		for id, s := range b.servers {
			if !slices.ContainsFunc(members, func(m policy.Member) bool { return m.ID == id }) {
				s.Status = policy.Gone
			}
		}
	}
	for _, m := range members {
		if s := b.servers[m.ID]; s != nil {
			s.Member = m
		} else {
			b.servers[m.ID] = &server{Member: m}
		}
	}
	b.ready = b.ready[:0]
	for id, s := range b.servers {
		if s.Status == policy.Ready {
			b.ready = append(b.ready, id)
		}
	}
	slices.Sort(b.ready)
	if b.bare {
		if b.slots == nil {
			b.slots = NewSlots(1 << 14)
		}
		sorted := slices.SortedFunc(slices.Values(members), func(x, y policy.Member) int { return cmp.Compare(x.ID, y.ID) })
		for _, m := range sorted {
			if m.Status != policy.Gone {
				b.slots.Join(m.ID, m.Weight)
			}
		}
	}
	if b.c.PollList && len(b.ready) == 0 {
		b.front.FollowList(true)
	}
}

func (b *base) ListFailed(policy.Time) { b.front.FollowList(true) }

func (b *base) Admit(now policy.Time, o policy.ClassID, _ policy.TenantID, key string, _ bool, left policy.Time) policy.Handle {
	if len(b.free) == 0 {
		b.slab = append(b.slab, &ticket{place: uint32(len(b.slab))})
		b.free = append(b.free, uint32(len(b.slab)-1))
	}
	place := b.free[len(b.free)-1]
	b.free = b.free[:len(b.free)-1]
	t := b.slab[place]
	*t = ticket{inUse: true, place: place, gen: t.gen + 1, o: o, key: key, cutOff: now + left, tried: t.tried[:0]}
	if key != "" {
		t.hash = xxhash.Sum64String(key)
	} else {
		t.hash = b.chance.Uint64()
	}
	return t.handle()
}

func (b *base) held(h policy.Handle) *ticket {
	if h.Place() < len(b.slab) && b.slab[h.Place()].inUse && b.slab[h.Place()].gen == uint32(h>>32) {
		return b.slab[h.Place()]
	}
	return nil
}

func (b *base) Begin(now policy.Time, h policy.Handle) { b.place(now, b.held(h)) }

func (b *base) margin() policy.Time { return 3 * b.c.Tick }

func (b *base) place(now policy.Time, t *ticket) {
	b.now = now
	if now < t.cutOff-b.margin() && t.pushes < b.c.MaxAttempts {
		if id := b.choose(b, t); id != none {
			t.pushes++
			t.tried = append(t.tried, id)
			t.out, t.sentAt = true, now
			b.servers[id].out++
			b.front.Attempt(t.handle(), id, t.cutOff-b.margin()-now)
			b.wake(now, t.cutOff-b.margin())
			return
		}
	}
	b.refuse(t)
}

func (b *base) refuse(t *ticket) {
	o := &b.c.Classes[t.o]
	t.answered = true
	if !t.ran && !t.out || o.Idempotency == policy.Idempotent || o.Idempotency == policy.Keyed && o.Group == policy.GroupAll {
		b.front.Reject(t.handle(), min(b.c.MaxRetryAfter, o.Target))
	} else {
		b.front.Fail(t.handle())
	}
	b.let(t)
}

func (b *base) let(t *ticket) {
	if t.inUse && t.answered && !t.out {
		t.inUse = false
		b.free = append(b.free, t.place)
	}
}

func (b *base) AttemptEnded(now policy.Time, h policy.Handle, n policy.AttemptNo, id policy.EndpointID, o policy.Outcome, _ policy.Time,
	over bool) {
	t := b.held(h)
	if t == nil {
		return
	}
	t.out = false
	s := b.servers[id]
	s.out--
	if t.answered = t.answered || over; t.answered {
		b.let(t)
		return
	}
	if o == policy.Succeeded || o == policy.Declined {
		t.answered = true
		b.front.Succeed(h, n)
		b.let(t)
		return
	}
	if never := o == policy.Rejected || o == policy.NotConnected || o == policy.NotSent; !never && !t.ran {
		t.ran, t.ranAt, t.ranOn = true, t.sentAt, s.Member
	}
	b.place(now, t)
}

func (b *base) ClientLeft(_ policy.Time, h policy.Handle) {
	if t := b.held(h); t != nil && !t.answered {
		t.answered = true
		b.callOff(t)
		b.let(t)
	}
}

func (b *base) callOff(t *ticket) {
	if t.out && b.c.MayCancel {
		b.front.Cancel(t.handle(), policy.AttemptNo(t.pushes-1))
	}
}

func (b *base) wake(now, at policy.Time) {
	if b.wakeAt == 0 || at < b.wakeAt {
		b.wakeAt = at
		b.front.Wake(max(at-now, b.c.Tick))
	}
}

func (b *base) Woken(now policy.Time) {
	if now < b.wakeAt {
		return
	}
	b.wakeAt = 0
	for _, t := range b.slab {
		switch {
		case !t.inUse || t.answered:
		case now < t.cutOff-b.margin():
			b.wake(now, t.cutOff-b.margin())
		default:
			t.ran = t.ran || t.out
			b.callOff(t)
			b.refuse(t)
		}
	}
}

// allowed keeps the rules on drains and repeats, and sends no ticket twice to one server.
func (b *base) allowed(t *ticket, id policy.EndpointID) bool {
	s := b.servers[id]
	if s == nil || s.Status != policy.Ready || slices.Contains(t.tried, id) {
		return false
	}
	o := &b.c.Classes[t.o]
	if !t.ran || o.Idempotency == policy.Idempotent {
		return true
	}
	return o.Idempotency == policy.Keyed && b.now+b.margin() < t.ranAt+o.Window &&
		(o.Group == policy.GroupAll || o.Group == policy.GroupZone && s.Zone == t.ranOn.Zone ||
			o.Group == policy.GroupCell && s.Cell == t.ranOn.Cell)
}

// ---- the policies ----

func (b *base) from(t *ticket, at int) policy.EndpointID {
	for i := range b.ready {
		if id := b.ready[(at+i)%len(b.ready)]; b.allowed(t, id) {
			return id
		}
	}
	return none
}

func (b *base) random(t *ticket) policy.EndpointID {
	if len(b.ready) == 0 {
		return none
	}
	return b.from(t, b.chance.IntN(len(b.ready)))
}

func (b *base) ring(t *ticket) policy.EndpointID {
	b.turn++
	return b.from(t, b.turn)
}

func (b *base) fewest(t *ticket) policy.EndpointID {
	best := none
	at := 0
	if len(b.ready) > 0 {
		at = b.chance.IntN(len(b.ready)) // ties go to whoever comes first from here
	}
	for i := range b.ready {
		id := b.ready[(at+i)%len(b.ready)]
		if b.allowed(t, id) && (best == none || b.servers[id].out < b.servers[best].out) {
			best = id
		}
	}
	return best
}

func (b *base) two(t *ticket) policy.EndpointID {
	x, y := b.random(t), b.random(t)
	if x != none && y != none && b.servers[y].out < b.servers[x].out {
		return y
	}
	return x
}

func (b *base) table(t *ticket) policy.EndpointID {
	if b.slots == nil {
		return none
	}
	return b.slots.Walk(t.hash, func(id policy.EndpointID) bool { return b.allowed(t, id) })
}

func (b *base) seeing(t *ticket) policy.EndpointID {
	id, left, any := b.view.Best(b.now, b.c.Zone, t.o, t.key, func(id policy.EndpointID) bool { return b.allowed(t, id) })
	if !any || left > b.c.Classes[t.o].Target && t.pushes == 0 {
		return none // it would come too late to be worth much, and cost others their turn
	}
	return id
}

// Slots is the design's table with nothing around it, dealt in the plainest way: joiners in id order, each taking in seeded order
// only slots that others hold above their new share, for whoever is furthest below.
type Slots struct {
	table  []policy.EndpointID
	order  []int
	ids    []policy.EndpointID
	weight map[policy.EndpointID]float64
	held   map[policy.EndpointID]int
}

// NewSlots makes an empty table.
func NewSlots(n int) *Slots {
	return &Slots{table: make([]policy.EndpointID, n), order: rand.New(rand.NewPCG(1, 2)).Perm(n),
		weight: map[policy.EndpointID]float64{}, held: map[policy.EndpointID]int{}}
}

// Join adds a server, or does nothing if it is there.
func (s *Slots) Join(id policy.EndpointID, weight float64) {
	if _, there := s.weight[id]; there {
		return
	}
	s.weight[id] = max(weight, 1e-9)
	s.ids = append(s.ids, id)
	slices.Sort(s.ids)
	total := 0.0
	for _, w := range s.weight {
		total += w
	}
	share := map[policy.EndpointID]int{}
	sum, given := 0.0, 0
	for _, one := range s.ids {
		sum += s.weight[one]
		upTo := int(sum/total*float64(len(s.table)) + 0.5)
		share[one] = upTo - given
		given = upTo
	}
	for _, slot := range s.order {
		owner := s.table[slot]
		if s.held[id] < share[id] && (owner == none || s.held[owner] > share[owner]) {
			if owner != none {
				s.held[owner]--
			}
			s.table[slot] = id
			s.held[id]++
		}
	}
}

// Walk gives the first server from the hash's slot on that is allowed.
func (s *Slots) Walk(hash uint64, allowed func(policy.EndpointID) bool) policy.EndpointID {
	seen := map[policy.EndpointID]bool{}
	for i := range s.table {
		id := s.table[(hash+uint64(i))%uint64(len(s.table))]
		if id == none || seen[id] {
			continue
		}
		if allowed(id) {
			return id
		}
		if seen[id] = true; len(seen) == len(s.ids) {
			break
		}
	}
	return none
}
