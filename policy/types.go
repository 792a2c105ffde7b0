package policy

// Time is a moment or a span in whole nanoseconds; moments count from an arbitrary start.
type Time int64

// Spans of time.
const (
	Millisecond Time = 1e6
	Second      Time = 1e9
)

// EndpointID names an endpoint; it is the same at every instance and over the endpoint's restarts.
type EndpointID uint64

// Zone names a data centre.
type Zone string

// Cell numbers a small group of endpoints within a zone.
type Cell int32

// ClassID is the index of a class in Settings.Classes.
type ClassID int32

// TenantID is the index of a tenant in Settings.Tenants.
type TenantID int32

// AttemptNo is the number of an attempt of one request, from 0.
type AttemptNo int32

const (
	// NoTenant stands for an unknown tenant.
	NoTenant TenantID = -1
	// NoClass stands for an unknown class.
	NoClass ClassID = -1
)

// Handle names a request in flight: its generation in the upper half, its place in the pool in the lower.
type Handle uint64

// Index is the request's index in the pool; it is reused once the request is released.
func (h Handle) Index() int { return int(uint32(h)) }

func (h Handle) generation() uint32 { return uint32(h >> 32) }

func newHandle(generation, index uint32) Handle {
	return Handle(uint64(generation)<<32 | uint64(index))
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	Succeeded      Outcome = iota
	Errored                // error answer; may have run
	Rejected               // rejected unprocessed; never ran
	TimedOut               // may have run, or still be running
	NotConnected           // never ran
	ConnectionLost         // may have run
	Cancelled              // cancelled by this instance; may have run
	NotSent                // never ran
	Declined               // a client error: no sign of the endpoint's state
)

// MayHaveRun reports whether the endpoint may have processed an attempt that ended so.
func (o Outcome) MayHaveRun() bool {
	return o != Rejected && o != NotConnected && o != NotSent
}

// Idempotency says whether a request that may have run can be sent again.
type Idempotency uint8

// Kinds of idempotency.
const (
	Idempotent    Idempotency = iota
	Keyed                     // endpoints of the class's group recognise a repeat by its idempotency key
	NonIdempotent             // never sent again once it may have run
)

// Group is the set of endpoints that recognise repeats of a keyed request.
type Group uint8

// Groups of endpoints.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// EndpointStatus is what the endpoint list says of an endpoint.
type EndpointStatus uint8

// Statuses of an endpoint.
const (
	Ready EndpointStatus = iota
	Draining
	Removed
)

// ListKind says how the entries of an endpoint list apply.
type ListKind uint8

// Kinds of endpoint lists.
const (
	ListChanges ListKind = iota // only the entries that changed
	ListFull                    // every endpoint of the fleet
	ListSaved                   // a full list kept from an earlier run
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
