package policy

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// The state that policy.go decides on.

type server struct {
	Member
	inTable   bool    // else its place is free for another
	ranks     []int32 // its slots, by their place in the seeded order
	target    int     // slots it should hold
	leftAt    Time    // when it was last seen to be listed
	seen      uint32
	out       int
	idle      int     // of these, such whose body is still coming: the server does not work on them yet
	held      float64 // tickets for each core, as the list last showed
	limit     float64 // pushes that may be out to it
	ratio     float64 // mean of answer time over quoted time
	heardAt   Time    // latest change of that by an answer
	cutAt     Time
	soundAt   Time   // when the latest honoured push was sent
	row       int    // failures in a row
	rowKey    uint64 // key of the last of them
	asideTill Time
	usedAt    Time // end of the latest push, until its connection is given back
	skip      Time
	trickle   int // pushes allowed out on return; 0 when in full use
	served    meter
	budget    float64 // pushes saved up while cold
	budgetAt  Time
}

// news is the result of a step, handed to what the step left as next.
type news struct {
	now     Time
	outcome Outcome
	server  int32
	push    AttemptNo
	spent   Time
}

type ticket struct {
	generation uint32
	place      uint32
	inUse      bool
	answered   bool
	queued     bool
	mayHaveRun bool
	offering   ClassID
	keyless    bool
	key        uint64  // hash of its key, or drawn for it alone
	heat       float64 // its key's part of our traffic
	home       int32   // server it waits for; -1: any
	arrived    Time
	cutOff     Time
	waitTill   Time
	value      float64
	pushes     int
	out        int
	sentAt     Time
	ranAt      Time  // sending of the first push that may have run
	ranOn      int32 // its server
	tried      [8]int32
	coming     bool // its body is
	next       func(*Balancer, *ticket, news)
}

// patience is the time that first tries come with.
type patience struct {
	most Time
	odd  float64 // part of the latest that came with less
}

// Balancer is one instance of the module.
type Balancer struct {
	front      Front
	campaign   *Settings
	chance     chance
	table      []int32 // slot to place in servers
	order      []int32 // seeded order of the slots
	servers    []server
	places     map[EndpointID]int32
	byID       []int32 // servers in the table, in id order
	nearOwners int     // of these, in this zone
	epoch      uint32
	recent     [256]uint64 // keys of the latest tickets
	recentAt   int
	slab       []ticket
	free       []uint32
	queue      []uint32   // places of waiting tickets, by worth, then age
	calm       float64    // unloaded answer time over quoted time
	usual      []float64  // mean answer time by offering, ns
	patience   []patience // by offering
	use        []meter    // arrivals by franchise
	arrivals   meter
	pushes     float64 // further pushes saved up
	wakeAt     Time    // earliest call asked for; 0: none
	tendAt     Time
	coldTill   Time    // no server is cold later
	meanHeld   float64 // tickets held for each core, over the fleet
	listAt     Time    // latest list
	perHeld    float64 // mean of answer time over quoted time, for each ticket held
	nearHeld   float64 // the same over this zone
	borne      float64 // our honoured rate on warm servers, for each unit of weight
	askAt      Time    // when to ask for the list; 0: following it
	askWait    Time
	turnedAt   Time // last turn-back for want of room
	short      bool
	sides      [2]float64 // answer time over quoted time: far, near
	out        int
	idle       int     // of these, such whose body is still coming
	aside      int     // servers set aside
	pace       float64 // pushes that may be out in all
	inUse      float64 // mean of those that were
	tooLate    float64 // mean of that at which it is cut
	late       float64 // mean of answer time over quoted time
	heardAt    Time    // latest change of that
	pacedAt    Time    // last cut of the pace
	resumeAt   Time    // no push before
	done       meter   // honoured pushes
	endAt      Time    // of the sidecar: no cut-off is later
	nearPart   float64 // part of the keys that look for a near server first
}

// held gives the ticket behind a handle, nil where it has been let go.
func (b *Balancer) held(h Handle) *ticket {
	if h.Place() < len(b.slab) && b.slab[h.Place()].inUse && b.slab[h.Place()].generation == uint32(h>>32) {
		return &b.slab[h.Place()]
	}
	return nil
}

func (t *ticket) handle() Handle { return Handle(uint64(t.generation)<<32 | uint64(t.place)) }

// Gauges are figures that an instance goes by, for reports; nothing is decided on them elsewhere.
type Gauges struct {
	Pace    float64 // pushes that may be out in all
	Limit   float64 // mean over the servers in the table of the pushes that may be out to one
	Late    float64 // mean of answer time over quoted time
	Out     int     // pushes
	Waiting int     // tickets
	Aside   int     // servers
}

// Gauges gives the figures as they stand.
func (b *Balancer) Gauges() Gauges {
	g := Gauges{Pace: b.pace, Late: b.late, Out: b.out, Waiting: len(b.queue), Aside: b.aside}
	for _, p := range b.byID {
		g.Limit += b.servers[p].limit / float64(len(b.byID))
	}
	return g
}

// busy is how many pushes the server works on.
func (s *server) busy() int { return s.out - s.idle }

// idles counts pushes whose body is still coming.
func (b *Balancer) idles(t *ticket, p int32, n int) {
	if t.coming {
		b.idle, b.servers[p].idle = b.idle+n, b.servers[p].idle+n
	}
}

// Coming is told that the body of a ticket in hand is still coming, or (over) has come: what may be out is counted without it until
// then, and it has no cut-off.
func (b *Balancer) Coming(h Handle, over bool, cutOff Time) {
	t := b.held(h)
	if t == nil || t.answered || t.coming != over {
		return
	}
	p := t.tried[max(0, t.pushes-1)%len(t.tried)]
	if b.idles(t, p, -t.out); !over {
		cutOff = math.MaxInt64
	}
	t.coming, t.cutOff = !over, cutOff
	b.idles(t, p, t.out)
}

// Table is a digest of who has which slot, alike in all instances that deal the same, for reports.
func (b *Balancer) Table() uint64 {
	d, text := xxhash.New(), [8]byte{}
	for _, p := range b.table {
		binary.LittleEndian.PutUint64(text[:], uint64(b.servers[p].ID))
		d.Write(text[:])
	}
	return d.Sum64()
}

// Avoids tells whether the server is set aside, for reports.
func (b *Balancer) Avoids(now Time, id EndpointID) bool {
	p, known := b.places[id]
	return known && now < b.servers[p].asideTill
}
