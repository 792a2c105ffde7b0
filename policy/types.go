package policy

// Time is a point in time or a duration, in nanoseconds. Points in time count from an arbitrary origin.
type Time int64

// Durations.
const (
	Millisecond Time = 1e6
	Second      Time = 1e9
)

// EndpointID identifies an endpoint. It is the same at every instance and survives restarts of the endpoint.
type EndpointID uint64

// Zone names a data centre.
type Zone string

// Cell numbers a small group of endpoints within a zone.
type Cell int32

// ClassID is the index of a class in Settings.Classes.
type ClassID int32

// TenantID is the index of a tenant in Settings.Tenants.
type TenantID int32

// AttemptNo is the number of an attempt of one request, counted from 0.
type AttemptNo int32

const (
	// NoTenant is the ID of an unknown tenant.
	NoTenant TenantID = -1
	// NoClass is the ID of an unknown class.
	NoClass ClassID = -1
)

// Handle identifies a request in flight. The lower 32 bits are the index of its entry in the request pool,
// the upper 32 bits are the generation of that entry.
type Handle uint64

// Index returns the index of the request's pool entry. It is reused once the request is released.
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
	Errored                // the endpoint answered with an error; it may have run the request
	Rejected               // the endpoint rejected the request without running it
	TimedOut               // no answer in time; the endpoint may have run the request or still be running it
	NotConnected           // no connection was established; the request never ran
	ConnectionLost         // the connection broke; the endpoint may have run the request
	Cancelled              // cancelled by this instance; the endpoint may have run the request
	NotSent                // the attempt was not written to a connection; the request never ran
	Declined               // the endpoint answered with a client error, which says nothing about its state
)

// MayHaveRun reports whether the endpoint may have run the request of an attempt with this outcome.
func (o Outcome) MayHaveRun() bool {
	return o != Rejected && o != NotConnected && o != NotSent
}

// Idempotency says whether a request can be sent again after an attempt that may have run.
type Idempotency uint8

// Kinds of idempotency.
const (
	Idempotent    Idempotency = iota // can always be sent again
	Keyed                            // can be sent again to endpoints that recognise its idempotency key
	NonIdempotent                    // is never sent again once it may have run
)

// Group is the deduplication group of a keyed request: the endpoints that recognise its idempotency key after
// it has run on one of them.
type Group uint8

// Deduplication groups.
const (
	GroupAll  Group = iota // all endpoints
	GroupZone              // the endpoints in the same zone
	GroupCell              // the endpoints in the same cell
)

// EndpointStatus is the status of an endpoint in the endpoint list.
type EndpointStatus uint8

// Statuses of an endpoint.
const (
	Ready    EndpointStatus = iota // takes attempts
	Draining                       // is sent no new attempts and keeps its slots
	Removed                        // is no longer listed; loses its slots after slotHoldTime
)

// ListKind says what the entries of an endpoint list cover.
type ListKind uint8

// Kinds of endpoint lists.
const (
	ListChanges ListKind = iota // only the entries that changed
	ListFull                    // every endpoint of the fleet
	ListSaved                   // a full list kept from an earlier run
)

// Member is an entry of the endpoint list.
type Member struct {
	ID      EndpointID
	Weight  float64 // size; listed as size/(1+requests held per core) unless Settings.FixedWeights is set
	Cell    Cell
	Zone    Zone
	Status  EndpointStatus
	Started Time // start of the endpoint's process; 0: long ago

	ReplacedBy EndpointID // with Removed: the endpoint that has come up at its address; 0: none
}
