package policy

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The state that policy.go decides on.

type endpoint struct {
	Member
	inTable     bool    // else its place is free for another
	ranks       []int32 // its slots, by their place in the seeded order
	target      int     // slots it should hold
	leftAt      Time    // when it was last seen to be listed
	seen        uint32
	out         int
	idle        int     // of these, such whose body is still coming: the endpoint does not work on them yet
	reported    float64 // requests for each core, as the list last showed
	limit       float64 // attempts that may be out to it
	ratio       float64 // mean of answer time over target latency
	heardAt     Time    // latest change of that by an answer
	cutAt       Time
	soundAt     Time   // when the latest successful attempt was sent
	failures    int    // failures in a row
	failureKey  uint64 // key of the last of them
	ejectedTill Time
	usedAt      Time // end of the latest attempt, until its connection is given back
	ejection    Time
	slowStart   int // attempts allowed out on return; 0 when in full use
	served      meter
	budget      float64 // attempts saved up while cold
	budgetAt    Time
}

// result is the result of a step, handed to what the step left as next.
type result struct {
	now      Time
	outcome  Outcome
	endpoint int32
	attempt  AttemptNo
	spent    Time
}

type request struct {
	generation uint32
	place      uint32
	inUse      bool
	answered   bool
	queued     bool
	mayHaveRun bool
	class      ClassID
	keyless    bool
	key        uint64  // hash of its key, or drawn for it alone
	frequency  float64 // its key's part of our traffic
	home       int32   // endpoint it waits for; -1: any
	arrived    Time
	deadline   Time
	waitTill   Time
	value      float64
	attempts   int
	out        int
	sentAt     Time
	ranAt      Time  // sending of the first attempt that may have run
	ranOn      int32 // its endpoint
	tried      [8]int32
	coming     bool // its body is
	next       func(*Balancer, *request, result)
}

// firstTries is the time that first tries come with.
type firstTries struct {
	most Time
	odd  float64 // part of the latest that came with less
}

// Balancer is one instance of the module.
type Balancer struct {
	front        Front
	settings     *Settings
	chance       chance
	table        []int32 // slot to place in endpoints
	order        []int32 // seeded order of the slots
	endpoints    []endpoint
	places       map[EndpointID]int32
	byID         []int32 // endpoints in the table, in id order
	nearOwners   int     // of these, in this zone
	epoch        uint32
	recent       [256]uint64 // keys of the latest requests
	recentAt     int
	slab         []request
	free         []uint32
	queue        []uint32     // places of waiting requests, by worth, then age
	baseline     float64      // unloaded answer time over target latency
	meanLatency  []float64    // mean answer time by class, ns
	patience     []firstTries // by class
	use          []meter      // arrivals by tenant
	arrivals     meter
	retryBudget  float64 // further attempts saved up
	wakeAt       Time    // earliest call asked for; 0: none
	maintainAt   Time
	coldTill     Time    // no endpoint is cold later
	meanReported float64 // requests held for each core, over the fleet
	listAt       Time    // latest list
	perReported  float64 // mean of answer time over target latency, for each request held
	nearReported float64 // the same over this zone
	warmRate     float64 // rate of our successes on warm endpoints, for each unit of weight
	askAt        Time    // when to ask for the list; 0: following it
	askWait      Time
	rejectedAt   Time // last rejection for want of room
	rejecting    bool
	sides        [2]float64 // answer time over target latency: far, near
	out          int
	idle         int     // of these, such whose body is still coming
	ejected      int     // endpoints ejected
	limit        float64 // attempts that may be out in all
	inUse        float64 // mean of those that were
	tooLate      float64 // mean of that at which it is cut
	late         float64 // mean of answer time over target latency
	heardAt      Time    // latest change of that
	limitCutAt   Time    // last cut of the limit
	resumeAt     Time    // no attempt before
	successes    meter   // successful attempts
	endAt        Time    // of the instance: no deadline is later
	nearPart     float64 // part of the keys that look for a near endpoint first
}

// lookup gives the request behind a handle, nil where it has been let go.
func (b *Balancer) lookup(h Handle) *request {
	if h.Place() < len(b.slab) && b.slab[h.Place()].inUse && b.slab[h.Place()].generation == uint32(h>>32) {
		return &b.slab[h.Place()]
	}
	return nil
}

// handle gives the handle that the front knows the request by.
func (t *request) handle() Handle { return Handle(uint64(t.generation)<<32 | uint64(t.place)) }

// settle marks the request as answered: what its attempts still report leads to nothing more.
func (t *request) settle() { t.answered, t.next = true, func(*Balancer, *request, result) {} }

// bound tells whether a request is bound by what the endpoint was.
func (b *Balancer) bound(p int32) bool {
	return slices.ContainsFunc(b.slab, func(t request) bool { return t.inUse && t.ranOn == p })
}

// cold tells whether the endpoint is still within the time after its start that the settings name.
func (b *Balancer) cold(now Time, s *endpoint) bool {
	return s.Started > 0 && now < s.Started+b.settings.ColdTime
}

// Gauges are figures that an instance goes by, for reports; nothing is decided on them elsewhere.
type Gauges struct {
	TotalLimit float64 // attempts that may be out in all
	Limit      float64 // mean over the endpoints in the table of the attempts that may be out to one
	Lateness   float64 // mean of answer time over target latency
	InFlight   int     // attempts
	Waiting    int     // requests
	Ejected    int     // endpoints
}

// Gauges gives the figures as they stand.
func (b *Balancer) Gauges() Gauges {
	g := Gauges{TotalLimit: b.limit, Lateness: b.late, InFlight: b.out, Waiting: len(b.queue), Ejected: b.ejected}
	for _, p := range b.byID {
		g.Limit += b.endpoints[p].limit / float64(len(b.byID))
	}
	return g
}

// busy is how many attempts the endpoint works on.
func (s *endpoint) busy() int { return s.out - s.idle }

// idles counts attempts whose body is still coming.
func (b *Balancer) idles(t *request, p int32, n int) {
	if t.coming {
		b.idle, b.endpoints[p].idle = b.idle+n, b.endpoints[p].idle+n
	}
}

// BodyPending is told that the body of a request in hand is still coming, or (over) has come: what may be out is counted without it until
// then, and it has no deadline.
func (b *Balancer) BodyPending(h Handle, over bool, cutOff Time) {
	t := b.lookup(h)
	if t == nil || t.answered || t.coming != over {
		return
	}
	p := t.tried[max(0, t.attempts-1)%len(t.tried)]
	if b.idles(t, p, -t.out); !over {
		cutOff = math.MaxInt64
	}
	t.coming, t.deadline = !over, cutOff
	b.idles(t, p, t.out)
}

// TableDigest is a digest of who has which slot, alike in all instances that assign the same, for reports.
func (b *Balancer) TableDigest() uint64 {
	d, text := xxhash.New(), [8]byte{}
	for _, p := range b.table {
		binary.LittleEndian.PutUint64(text[:], uint64(b.endpoints[p].ID))
		d.Write(text[:])
	}
	return d.Sum64()
}

// Ejected tells whether the endpoint is ejected, for reports.
func (b *Balancer) Ejected(now Time, id EndpointID) bool {
	p, known := b.places[id]
	return known && now < b.endpoints[p].ejectedTill
}
