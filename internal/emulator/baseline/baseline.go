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
	choose, known := map[string]func(b *balancer, t *request) policy.EndpointID{"random": (*balancer).chooseRandom, "ring": (*balancer).chooseInRing,
		"fewest": (*balancer).chooseFewest, "two": (*balancer).chooseOfTwo, "table": (*balancer).chooseBySlot, "seeing": (*balancer).chooseBest}[name]
	switch {
	case name == "module":
		return emulator.Module, nil
	case !known:
		return nil, fmt.Errorf("policy: found %q, allowed %s", name, strings.Join(Names, ", "))
	}
	return func(front policy.Front, c *policy.Settings, seed uint64, now policy.Time, view emulator.View) emulator.Decider {
		chance := rand.New(rand.NewPCG(seed, 0x62617365))
		// From one start for all, instances would go round in step.
		return &balancer{front: front, settings: c, view: view, random: chance, choose: choose, nextInRing: chance.IntN(math.MaxInt32),
			endpoints: map[policy.EndpointID]*endpoint{}, usesSlots: name == "table"}
	}, nil
}

type endpoint struct {
	policy.Member
	inFlight int
}

type request struct {
	inUse      bool
	index      uint32
	generation uint32
	class      policy.ClassID
	key        string
	hash       uint64
	deadline   policy.Time
	answered   bool
	inFlight   bool
	attempts   int
	tried      []policy.EndpointID
	mayHaveRun bool
	ranAt      policy.Time
	ranOn      policy.Member
	sentAt     policy.Time
}

func (t *request) handle() policy.Handle {
	return policy.Handle(uint64(t.generation)<<32 | uint64(t.index))
}

type balancer struct {
	front      policy.Front
	settings   *policy.Settings
	view       emulator.View
	random     *rand.Rand
	choose     func(b *balancer, t *request) policy.EndpointID
	endpoints  map[policy.EndpointID]*endpoint
	ready      []policy.EndpointID // by id
	nextInRing int
	now        policy.Time
	requests   []*request
	free       []uint32
	wakeAt     policy.Time
	usesSlots  bool
	slots      *SlotTable
}

// noEndpoint is no server.
const noEndpoint policy.EndpointID = 0

func (b *balancer) UpdateEndpoints(now policy.Time, kind policy.ListKind, members []policy.Member) {
	if kind != policy.ListChanges {
		for id, s := range b.endpoints {
			if !slices.ContainsFunc(members, func(m policy.Member) bool { return m.ID == id }) {
				s.Status = policy.Gone
			}
		}
	}
	for _, m := range members {
		if s := b.endpoints[m.ID]; s != nil {
			s.Member = m
		} else {
			b.endpoints[m.ID] = &endpoint{Member: m}
		}
	}
	b.ready = b.ready[:0]
	for id, s := range b.endpoints {
		if s.Status == policy.Ready {
			b.ready = append(b.ready, id)
		}
	}
	slices.Sort(b.ready)
	if b.usesSlots {
		if b.slots == nil {
			b.slots = NewSlotTable(1 << 14)
		}
		sorted := slices.SortedFunc(slices.Values(members), func(x, y policy.Member) int { return cmp.Compare(x.ID, y.ID) })
		for _, m := range sorted {
			if m.Status != policy.Gone {
				b.slots.Join(m.ID, m.Weight)
			}
		}
	}
	if b.settings.PollList && len(b.ready) == 0 {
		b.front.FollowList(true)
	}
}

func (b *balancer) ListFailed(policy.Time) { b.front.FollowList(true) }

func (b *balancer) Admit(now policy.Time, o policy.ClassID, _ policy.TenantID, key string, _ bool, left policy.Time) policy.Handle {
	if len(b.free) == 0 {
		b.requests = append(b.requests, &request{index: uint32(len(b.requests))})
		b.free = append(b.free, uint32(len(b.requests)-1))
	}
	index := b.free[len(b.free)-1]
	b.free = b.free[:len(b.free)-1]
	t := b.requests[index]
	*t = request{inUse: true, index: index, generation: t.generation + 1, class: o, key: key, deadline: now + left, tried: t.tried[:0]}
	if key != "" {
		t.hash = xxhash.Sum64String(key)
	} else {
		t.hash = b.random.Uint64()
	}
	return t.handle()
}

func (b *balancer) lookup(h policy.Handle) *request {
	if h.Place() < len(b.requests) && b.requests[h.Place()].inUse && b.requests[h.Place()].generation == uint32(h>>32) {
		return b.requests[h.Place()]
	}
	return nil
}

func (b *balancer) Begin(now policy.Time, h policy.Handle) { b.dispatch(now, b.lookup(h)) }

func (b *balancer) margin() policy.Time { return 3 * b.settings.Tick }

func (b *balancer) dispatch(now policy.Time, t *request) {
	b.now = now
	if now < t.deadline-b.margin() && t.attempts < b.settings.MaxAttempts {
		if id := b.choose(b, t); id != noEndpoint {
			t.attempts++
			t.tried = append(t.tried, id)
			t.inFlight, t.sentAt = true, now
			b.endpoints[id].inFlight++
			b.front.Attempt(t.handle(), id, t.deadline-b.margin()-now)
			b.wake(now, t.deadline-b.margin())
			return
		}
	}
	b.reject(t)
}

func (b *balancer) reject(t *request) {
	o := &b.settings.Classes[t.class]
	t.answered = true
	if !t.mayHaveRun && !t.inFlight || o.Idempotency == policy.Idempotent || o.Idempotency == policy.Keyed && o.Group == policy.GroupAll {
		b.front.Reject(t.handle(), min(b.settings.MaxRetryAfter, o.Target))
	} else {
		b.front.Fail(t.handle())
	}
	b.release(t)
}

func (b *balancer) release(t *request) {
	if t.inUse && t.answered && !t.inFlight {
		t.inUse = false
		b.free = append(b.free, t.index)
	}
}

func (b *balancer) AttemptEnded(now policy.Time, h policy.Handle, n policy.AttemptNo, id policy.EndpointID, o policy.Outcome, _ policy.Time,
	over bool) {
	t := b.lookup(h)
	if t == nil {
		return
	}
	t.inFlight = false
	s := b.endpoints[id]
	s.inFlight--
	if t.answered = t.answered || over; t.answered {
		b.release(t)
		return
	}
	if o == policy.Succeeded || o == policy.Declined {
		t.answered = true
		b.front.Succeed(h, n)
		b.release(t)
		return
	}
	if never := o == policy.Rejected || o == policy.NotConnected || o == policy.NotSent; !never && !t.mayHaveRun {
		t.mayHaveRun, t.ranAt, t.ranOn = true, t.sentAt, s.Member
	}
	b.dispatch(now, t)
}

func (b *balancer) ClientLeft(_ policy.Time, h policy.Handle) {
	if t := b.lookup(h); t != nil && !t.answered {
		t.answered = true
		b.cancel(t)
		b.release(t)
	}
}

func (b *balancer) cancel(t *request) {
	if t.inFlight && b.settings.MayCancel {
		b.front.Cancel(t.handle(), policy.AttemptNo(t.attempts-1))
	}
}

func (b *balancer) wake(now, at policy.Time) {
	if b.wakeAt == 0 || at < b.wakeAt {
		b.wakeAt = at
		b.front.Wake(max(at-now, b.settings.Tick))
	}
}

func (b *balancer) Woken(now policy.Time) {
	if now < b.wakeAt {
		return
	}
	b.wakeAt = 0
	for _, t := range b.requests {
		switch {
		case !t.inUse || t.answered:
		case now < t.deadline-b.margin():
			b.wake(now, t.deadline-b.margin())
		default:
			t.mayHaveRun = t.mayHaveRun || t.inFlight
			b.cancel(t)
			b.reject(t)
		}
	}
}

// allowed keeps the rules on drains and repeats, and sends no ticket twice to one server.
func (b *balancer) allowed(t *request, id policy.EndpointID) bool {
	s := b.endpoints[id]
	if s == nil || s.Status != policy.Ready || slices.Contains(t.tried, id) {
		return false
	}
	o := &b.settings.Classes[t.class]
	if !t.mayHaveRun || o.Idempotency == policy.Idempotent {
		return true
	}
	return o.Idempotency == policy.Keyed && b.now+b.margin() < t.ranAt+o.Window &&
		(o.Group == policy.GroupAll || o.Group == policy.GroupZone && s.Zone == t.ranOn.Zone ||
			o.Group == policy.GroupCell && s.Cell == t.ranOn.Cell)
}

// ---- the policies ----

func (b *balancer) firstAllowed(t *request, at int) policy.EndpointID {
	for i := range b.ready {
		if id := b.ready[(at+i)%len(b.ready)]; b.allowed(t, id) {
			return id
		}
	}
	return noEndpoint
}

func (b *balancer) chooseRandom(t *request) policy.EndpointID {
	if len(b.ready) == 0 {
		return noEndpoint
	}
	return b.firstAllowed(t, b.random.IntN(len(b.ready)))
}

func (b *balancer) chooseInRing(t *request) policy.EndpointID {
	b.nextInRing++
	return b.firstAllowed(t, b.nextInRing)
}

func (b *balancer) chooseFewest(t *request) policy.EndpointID {
	best := noEndpoint
	at := 0
	if len(b.ready) > 0 {
		at = b.random.IntN(len(b.ready)) // ties go to whoever comes first from here
	}
	for i := range b.ready {
		id := b.ready[(at+i)%len(b.ready)]
		if b.allowed(t, id) && (best == noEndpoint || b.endpoints[id].inFlight < b.endpoints[best].inFlight) {
			best = id
		}
	}
	return best
}

func (b *balancer) chooseOfTwo(t *request) policy.EndpointID {
	x, y := b.chooseRandom(t), b.chooseRandom(t)
	if x != noEndpoint && y != noEndpoint && b.endpoints[y].inFlight < b.endpoints[x].inFlight {
		return y
	}
	return x
}

func (b *balancer) chooseBySlot(t *request) policy.EndpointID {
	if b.slots == nil {
		return noEndpoint
	}
	return b.slots.Lookup(t.hash, func(id policy.EndpointID) bool { return b.allowed(t, id) })
}

func (b *balancer) chooseBest(t *request) policy.EndpointID {
	id, left, any := b.view.Best(b.now, b.settings.Zone, t.class, t.key, func(id policy.EndpointID) bool { return b.allowed(t, id) })
	if !any || left > b.settings.Classes[t.class].Target && t.attempts == 0 {
		return noEndpoint // it would come too late to be worth much, and cost others their turn
	}
	return id
}

// SlotTable is the design's table with nothing around it, dealt in the plainest way: joiners in id order, each taking in seeded order
// only slots that others hold above their new share, for whoever is furthest below.
type SlotTable struct {
	table     []policy.EndpointID
	order     []int
	ids       []policy.EndpointID
	weight    map[policy.EndpointID]float64
	slotCount map[policy.EndpointID]int
}

// NewSlotTable makes an empty table.
func NewSlotTable(n int) *SlotTable {
	return &SlotTable{table: make([]policy.EndpointID, n), order: rand.New(rand.NewPCG(1, 2)).Perm(n),
		weight: map[policy.EndpointID]float64{}, slotCount: map[policy.EndpointID]int{}}
}

// Join adds a server, or does nothing if it is there.
func (s *SlotTable) Join(id policy.EndpointID, weight float64) {
	if _, joined := s.weight[id]; joined {
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
	sum, assigned := 0.0, 0
	for _, one := range s.ids {
		sum += s.weight[one]
		upTo := int(sum/total*float64(len(s.table)) + 0.5)
		share[one] = upTo - assigned
		assigned = upTo
	}
	for _, slot := range s.order {
		owner := s.table[slot]
		if s.slotCount[id] < share[id] && (owner == noEndpoint || s.slotCount[owner] > share[owner]) {
			if owner != noEndpoint {
				s.slotCount[owner]--
			}
			s.table[slot] = id
			s.slotCount[id]++
		}
	}
}

// Lookup gives the first server from the hash's slot on that is allowed.
func (s *SlotTable) Lookup(hash uint64, allowed func(policy.EndpointID) bool) policy.EndpointID {
	seen := map[policy.EndpointID]bool{}
	for i := range s.table {
		id := s.table[(hash+uint64(i))%uint64(len(s.table))]
		if id == noEndpoint || seen[id] {
			continue
		}
		if allowed(id) {
			return id
		}
		if seen[id] = true; len(seen) == len(s.ids) {
			break
		}
	}
	return noEndpoint
}
