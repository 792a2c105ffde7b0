package policy

// Time is a moment or a span in whole nanoseconds; moments count from an arbitrary start.
type Time int64

const (
	Millisecond Time = 1e6
	Second      Time = 1e9
)

type (
	EndpointID uint64 // a server, the same at every sidecar and over its restarts
	Zone       string // a data centre
	Cell       int32  // a pod: a small group of servers
	ClassID    int32  // place in Campaign.Offerings
	TenantID   int32  // place in Campaign.Franchises; NoFranchise where unknown
	AttemptNo  int32  // number of a push of one ticket, from 0
	Handle     uint64 // a ticket in hand: generation in the upper half, place in the lower
)

const (
	NoTenant TenantID = -1
	NoClass  ClassID  = -1
)

// Place is the slab place behind a handle; it is reused once the ticket is let go.
func (h Handle) Place() int { return int(uint32(h)) }

// Outcome is how a push ended.
type Outcome uint8

const (
	Succeeded      Outcome = iota
	Errored                // error answer; may have run
	Rejected               // never looked at; never ran
	TimedOut               // may have run, or be running
	NotConnected           // never ran
	ConnectionLost         // may have run
	Cancelled              // cancelled; may have run
	NotSent                // never ran
	Declined               // the server cannot use the request, and says why; no sign of its state
)

// Idempotency says what may be done with a ticket that may have run.
type Idempotency uint8

const (
	Idempotent Idempotency = iota
	Keyed
	NonIdempotent
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
	ID       EndpointID
	Weight   float64
	Cell     Cell
	Zone     Zone
	Standing Standing
	Started  Time // 0: long ago
}

// Class is a kind of ticket.
type Class struct {
	Name        string
	Value       float64
	LateValue   float64 // part of the credit left between quoted time and cut-off
	Target      Time
	Deadline    Time // a client's patience over all its tries
	Idempotency Idempotency
	Group       Group
	Window      Time
}

// Tenant is a tenant with a share of the fleet.
type Tenant struct {
	Name  string
	Quota float64 // tickets a second over all sidecars
}

// Settings is all that an instance is told at its start.
type Settings struct {
	Instances     int
	Zone          Zone
	Zones         int
	Classes       []Class
	Tenants       []Tenant
	Quotas        float64 // of all franchises
	BeyondValue   float64 // part of the credit left beyond a franchise's share
	Weighted      bool    // weights hold still and mean size
	MustAsk       bool    // the list comes only when asked for
	MustAskIn     Time
	MayCancel     bool
	MaxAttempts   int
	Streams       int  // pushes that one connection carries at once
	MaxRetryAfter Time // longest retry advice that is heeded; 0 where none is allowed
	CrossPrice    float64
	Tick          Time
	ColdShare     float64
	ColdTime      Time
	FallMultiple  float64
	FallTime      Time // over which what is sent to a cold server counts; 0: a second
}

// Front is what the module asks of its surroundings.
type Front interface {
	Attempt(h Handle, s EndpointID, wait Time)
	Cancel(h Handle, n AttemptNo)
	Succeed(h Handle, n AttemptNo) // hands on the server's answer, also one that declines
	Reject(h Handle, retryIn Time)
	Fail(h Handle)
	Wake(in Time)
	FollowList(on bool)
	Release(s EndpointID) // connections to it that carry nothing may close
	Forget(s EndpointID)  // gone for good; should the id come again, it is a new server
	Log(line string)
}
