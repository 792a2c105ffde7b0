package policy

// Time is a moment or a span in whole nanoseconds; moments count from an arbitrary start.
type Time int64

const (
	Millisecond Time = 1e6
	Second      Time = 1e9
)

type (
	ServerID    uint64 // a server, the same at every sidecar and over its restarts
	Zone        string // a data centre
	Cell        int32  // a pod: a small group of servers
	OfferingID  int32  // place in Campaign.Offerings
	FranchiseID int32  // place in Campaign.Franchises; NoFranchise where unknown
	PushNo      int32  // number of a push of one ticket, from 0
	Handle      uint64 // a ticket in hand: generation in the upper half, place in the lower
)

const (
	NoFranchise FranchiseID = -1
	NoOffering  OfferingID  = -1
)

// Place is the slab place behind a handle; it is reused once the ticket is let go.
func (h Handle) Place() int { return int(uint32(h)) }

// Outcome is how a push ended.
type Outcome uint8

const (
	Honoured     Outcome = iota
	Errored              // error answer; may have run
	TurnedAway           // never looked at; never ran
	TimedOut             // may have run, or be running
	NotConnected         // never ran
	ConnBroke            // may have run
	CalledOff            // cancelled; may have run
	NotSent              // never ran
	Declined             // the server cannot use the request, and says why; no sign of its state
)

// Repeats says what may be done with a ticket that may have run.
type Repeats uint8

const (
	Reissuable Repeats = iota
	Numbered
	AtMostOnce
)

// Group is the set of servers that drop repeats of a numbered ticket.
type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Standing is what the list says of a server.
type Standing uint8

const (
	Ready Standing = iota
	Draining
	Gone
)

// ListKind tells how the entries of a list apply.
type ListKind uint8

const (
	ListChanges ListKind = iota
	ListFull
	ListSaved
)

// Member is a server as the list names it.
type Member struct {
	ID       ServerID
	Weight   float64
	Cell     Cell
	Zone     Zone
	Standing Standing
	Started  Time // 0: long ago
}

// Offering is a kind of ticket.
type Offering struct {
	Name       string
	Credit     float64
	LateCredit float64 // part of the credit left between quoted time and cut-off
	Quoted     Time
	CutOff     Time // a client's patience over all its tries
	Repeats    Repeats
	Group      Group
	Window     Time
}

// Franchise is a tenant with a share of the fleet.
type Franchise struct {
	Name  string
	Quota float64 // tickets a second over all sidecars
}

// Campaign is all that an instance is told at its start.
type Campaign struct {
	Sidecars     int
	Zone         Zone
	Zones        int
	Offerings    []Offering
	Franchises   []Franchise
	Quotas       float64 // of all franchises
	BeyondCredit float64 // part of the credit left beyond a franchise's share
	Weighted     bool    // weights hold still and mean size
	MustAsk      bool    // the list comes only when asked for
	MustAskIn    Time
	MayCancel    bool
	MaxPushes    int
	Streams      int  // pushes that one connection carries at once
	Advice       Time // longest retry advice that is heeded; 0 where none is allowed
	CrossPrice   float64
	Tick         Time
	ColdShare    float64
	ColdTime     Time
	FallMultiple float64
	FallTime     Time // over which what is sent to a cold server counts; 0: a second
}

// Front is what the module asks of its surroundings.
type Front interface {
	Push(h Handle, s ServerID, wait Time)
	Cancel(h Handle, n PushNo)
	Honour(h Handle, n PushNo) // hands on the server's answer, also one that declines
	TurnBack(h Handle, retryIn Time)
	GiveUp(h Handle)
	Wake(in Time)
	FollowList(on bool)
	Release(s ServerID) // connections to it that carry nothing may close
	Forget(s ServerID)  // gone for good; should the id come again, it is a new server
	Log(line string)
}
