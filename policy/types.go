package policy

// Time is a moment or a span in whole nanoseconds; moments count from an arbitrary start.
type Time int64

const (
	Millisecond Time = 1e6
	Second      Time = 1e9
)

type (
	EndpointID uint64 // an endpoint, the same at every instance and over its restarts
	Zone       string // a data centre
	Cell       int32  // a pod: a small group of endpoints
	ClassID    int32  // place in Settings.Classes
	TenantID   int32  // place in Settings.Tenants; NoTenant where unknown
	AttemptNo  int32  // number of an attempt of one request, from 0
	Handle     uint64 // a request in hand: generation in the upper half, place in the lower
)

const (
	NoTenant TenantID = -1
	NoClass  ClassID  = -1
)

// Place is the slab place behind a handle; it is reused once the request is let go.
func (h Handle) Place() int { return int(uint32(h)) }

// Outcome is how an attempt ended.
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
	Declined               // the endpoint cannot use the request, and says why; no sign of its state
)

// Idempotency says what may be done with a request that may have run.
type Idempotency uint8

const (
	Idempotent Idempotency = iota
	Keyed
	NonIdempotent
)

// Group is the set of endpoints that drop repeats of a keyed request.
type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// EndpointStatus is what the list says of an endpoint.
type EndpointStatus uint8

const (
	Ready EndpointStatus = iota
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

// Member is an endpoint as the list names it.
type Member struct {
	ID      EndpointID
	Weight  float64
	Cell    Cell
	Zone    Zone
	Status  EndpointStatus
	Started Time // 0: long ago
}

// Class is a kind of request.
type Class struct {
	Name        string
	Value       float64
	LateValue   float64 // part of the value left between target latency and deadline
	Target      Time
	Deadline    Time // a client's patience over all its tries
	Idempotency Idempotency
	Group       Group
	Window      Time
}

// Tenant is a tenant with a share of the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all instances
}

// Settings is all that an instance is told at its start.
type Settings struct {
	Instances            int
	Zone                 Zone
	Zones                int
	Classes              []Class
	Tenants              []Tenant
	TotalQuota           float64 // of all tenants
	OverQuotaValue       float64 // part of the value left beyond a tenant's share
	FixedWeights         bool    // weights hold still and mean size
	PollList             bool    // the list comes only when asked for
	PollWithin           Time
	MayCancel            bool
	MaxAttempts          int
	StreamsPerConnection int  // attempts that one connection carries at once
	MaxRetryAfter        Time // longest retry advice that is heeded; 0 where none is allowed
	CrossZonePrice       float64
	Tick                 Time
	ColdCapacity         float64
	ColdTime             Time
	OverloadMultiple     float64
	OverloadWindow       Time // over which what is sent to a cold endpoint counts; 0: a second
}

// Front is what the module asks of its surroundings.
type Front interface {
	Attempt(h Handle, s EndpointID, wait Time)
	Cancel(h Handle, n AttemptNo)
	Succeed(h Handle, n AttemptNo) // hands on the endpoint's answer, also one that declines
	Reject(h Handle, retryIn Time)
	Fail(h Handle)
	Wake(in Time)
	FollowList(on bool)
	Release(s EndpointID) // connections to it that carry nothing may close
	Forget(s EndpointID)  // gone for good; should the id come again, it is a new endpoint
	Log(line string)
}
