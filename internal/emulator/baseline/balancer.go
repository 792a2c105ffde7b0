package baseline

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pepperlead/internal/emulator"
	"pepperlead/policy"
)

// endpoint is an endpoint of the list.
type endpoint struct {
	policy.Member
	inFlight int // attempts of this instance in flight
}

// request is the state of one request. Its place in balancer.requests is reused after its release.
type request struct {
	inUse      bool
	index      uint32 // in balancer.requests
	generation uint32 // counts uses of this place, so that old handles can be told apart
	class      policy.ClassID
	key        string
	hash       uint64 // of the key, random if there is none
	deadline   policy.Time
	answered   bool
	inFlight   bool
	attempts   int
	tried      []policy.EndpointID
	mayHaveRun bool          // an attempt that may have run has ended
	ranAt      policy.Time   // start of the first such attempt
	ranOn      policy.Member // endpoint of the first such attempt
	sentAt     policy.Time   // start of the latest attempt
}

func (r *request) handle() policy.Handle {
	return policy.Handle(uint64(r.generation)<<32 | uint64(r.index))
}

// balancer is the common part of all baselines. It handles requests and deadlines and keeps the rules; choose selects
// the endpoints.
type balancer struct {
	front      policy.Front
	settings   *policy.Settings
	view       emulator.View
	random     *rand.Rand
	choose     chooser
	endpoints  map[policy.EndpointID]*endpoint
	ready      []policy.EndpointID // ready endpoints, sorted
	nextInRing int                 // counter of the round robin
	now        policy.Time
	requests   []*request
	free       []uint32    // indexes of unused requests
	wakeAt     policy.Time // time of the next call of Woken; 0: no call is scheduled
	usesSlots  bool
	slots      *SlotTable
}

// noEndpoint is an EndpointID that no endpoint has.
const noEndpoint policy.EndpointID = 0

// UpdateEndpoints applies a list.
func (b *balancer) UpdateEndpoints(_ policy.Time, kind policy.ListKind, members []policy.Member) {
	if kind != policy.ListChanges {
		b.removeUnlisted(members)
	}
	for _, m := range members {
		if known := b.endpoints[m.ID]; known != nil {
			known.Member = m
		} else {
			b.endpoints[m.ID] = &endpoint{Member: m}
		}
	}
	b.ready = b.ready[:0]
	for id, e := range b.endpoints {
		if e.Status == policy.Ready {
			b.ready = append(b.ready, id)
		}
	}
	slices.Sort(b.ready)
	if b.usesSlots {
		b.joinSlots(members)
	}
	if b.settings.PollList && len(b.ready) == 0 {
		b.front.FollowList(true)
	}
}

// removeUnlisted marks the endpoints that a full list does not contain as removed.
func (b *balancer) removeUnlisted(members []policy.Member) {
	for id, e := range b.endpoints {
		if !slices.ContainsFunc(members, func(m policy.Member) bool { return m.ID == id }) {
			e.Status = policy.Removed
		}
	}
}

// joinSlots adds the endpoints of a list to the slot table, in the order of their IDs.
func (b *balancer) joinSlots(members []policy.Member) {
	if b.slots == nil {
		b.slots = NewSlotTable(slotCount)
	}
	byID := func(a, b policy.Member) int { return cmp.Compare(a.ID, b.ID) }
	for _, m := range slices.SortedFunc(slices.Values(members), byID) {
		if m.Status != policy.Removed {
			b.slots.Join(m.ID, m.Weight)
		}
	}
}

// ListFailed polls the list again.
func (b *balancer) ListFailed(policy.Time) { b.front.FollowList(true) }

// Admit registers a request and returns its handle.
func (b *balancer) Admit(now policy.Time, class policy.ClassID, _ policy.TenantID, key string, _ bool,
	timeLeft policy.Time) policy.Handle {
	if len(b.free) == 0 {
		b.requests = append(b.requests, &request{index: uint32(len(b.requests))})
		b.free = append(b.free, uint32(len(b.requests)-1))
	}
	index := b.free[len(b.free)-1]
	b.free = b.free[:len(b.free)-1]
	r := b.requests[index]
	*r = request{
		inUse:      true,
		index:      index,
		generation: r.generation + 1,
		class:      class,
		key:        key,
		deadline:   now + timeLeft,
		tried:      r.tried[:0],
	}
	if key != "" {
		r.hash = xxhash.Sum64String(key)
	} else {
		r.hash = b.random.Uint64()
	}
	return r.handle()
}

// lookup returns the request of a handle, or nil if it has been released.
func (b *balancer) lookup(h policy.Handle) *request {
	if h.Index() >= len(b.requests) {
		return nil
	}
	r := b.requests[h.Index()]
	if !r.inUse || r.generation != uint32(h>>32) {
		return nil
	}
	return r
}

// Begin makes the first attempt of a request.
func (b *balancer) Begin(now policy.Time, h policy.Handle) { b.dispatch(now, b.lookup(h)) }

// marginTicks is how many ticks before its deadline a request is answered at the latest.
const marginTicks = 3

func (b *balancer) margin() policy.Time { return marginTicks * b.settings.Tick }

// dispatch makes an attempt, or answers the request if no attempt can be made.
func (b *balancer) dispatch(now policy.Time, r *request) {
	b.now = now
	timeout := r.deadline - b.margin() - now
	if timeout > 0 && r.attempts < b.settings.MaxAttempts {
		if id := b.choose(b, r); id != noEndpoint {
			r.attempts++
			r.tried = append(r.tried, id)
			r.inFlight = true
			r.sentAt = now
			b.endpoints[id].inFlight++
			b.front.Attempt(r.handle(), id, timeout)
			b.wake(now, r.deadline-b.margin())
			return
		}
	}
	b.reject(r)
}

// reject answers that the request was not served. The answer is a rejection if the client may safely retry, and a
// failure otherwise.
func (b *balancer) reject(r *request) {
	class := &b.settings.Classes[r.class]
	r.answered = true
	neverRan := !r.mayHaveRun && !r.inFlight
	repeatable := class.Idempotency == policy.Idempotent ||
		class.Idempotency == policy.Keyed && class.Group == policy.GroupAll
	if neverRan || repeatable {
		b.front.Reject(r.handle(), min(b.settings.MaxRetryAfter, class.Target))
	} else {
		b.front.Fail(r.handle())
	}
	b.release(r)
}

// release frees the request's place for reuse once it is answered and no attempt is in flight.
func (b *balancer) release(r *request) {
	if r.inUse && r.answered && !r.inFlight {
		r.inUse = false
		b.free = append(b.free, r.index)
	}
}

// AttemptEnded answers the request or makes a further attempt.
func (b *balancer) AttemptEnded(now policy.Time, h policy.Handle, number policy.AttemptNo, id policy.EndpointID,
	outcome policy.Outcome, _ policy.Time, answered bool) {
	r := b.lookup(h)
	if r == nil {
		return
	}
	r.inFlight = false
	used := b.endpoints[id]
	used.inFlight--
	r.answered = r.answered || answered
	if r.answered {
		b.release(r)
		return
	}
	if outcome == policy.Succeeded || outcome == policy.Declined {
		r.answered = true
		b.front.Succeed(h, number)
		b.release(r)
		return
	}
	neverRan := outcome == policy.Rejected || outcome == policy.NotConnected || outcome == policy.NotSent
	if !neverRan && !r.mayHaveRun {
		r.mayHaveRun = true
		r.ranAt = r.sentAt
		r.ranOn = used.Member
	}
	b.dispatch(now, r)
}

// ClientLeft ends a request whose client no longer waits.
func (b *balancer) ClientLeft(_ policy.Time, h policy.Handle) {
	if r := b.lookup(h); r != nil && !r.answered {
		r.answered = true
		b.cancel(r)
		b.release(r)
	}
}

// cancel cancels the attempt in flight, if there is one and endpoints stop cancelled work.
func (b *balancer) cancel(r *request) {
	if r.inFlight && b.settings.MayCancel {
		b.front.Cancel(r.handle(), policy.AttemptNo(r.attempts-1))
	}
}

// wake schedules a call of Woken, unless one is scheduled for the same time or earlier.
func (b *balancer) wake(now, at policy.Time) {
	if b.wakeAt == 0 || at < b.wakeAt {
		b.wakeAt = at
		b.front.Wake(max(at-now, b.settings.Tick))
	}
}

// Woken answers the requests whose deadline is within the margin.
func (b *balancer) Woken(now policy.Time) {
	if now < b.wakeAt {
		return
	}
	b.wakeAt = 0
	for _, r := range b.requests {
		switch {
		case !r.inUse || r.answered:
		case now < r.deadline-b.margin():
			b.wake(now, r.deadline-b.margin())
		default:
			r.mayHaveRun = r.mayHaveRun || r.inFlight
			b.cancel(r)
			b.reject(r)
		}
	}
}

// allowed reports whether a request may be sent to an endpoint: by the rules on drains and retries, and only if no
// attempt of the request was sent there before.
func (b *balancer) allowed(r *request, id policy.EndpointID) bool {
	e := b.endpoints[id]
	if e == nil || e.Status != policy.Ready || slices.Contains(r.tried, id) {
		return false
	}
	class := &b.settings.Classes[r.class]
	if !r.mayHaveRun || class.Idempotency == policy.Idempotent {
		return true
	}
	sameGroup := class.Group == policy.GroupAll ||
		class.Group == policy.GroupZone && e.Zone == r.ranOn.Zone ||
		class.Group == policy.GroupCell && e.Cell == r.ranOn.Cell
	return class.Idempotency == policy.Keyed && b.now+b.margin() < r.ranAt+class.Window && sameGroup
}
