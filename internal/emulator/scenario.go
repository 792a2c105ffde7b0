package emulator

import (
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// Scenario describes a day: a fleet, its load, and its faults.
type Scenario struct {
	Name        string
	Description string
	Length      policy.Time // no request begins later
	Tick        policy.Time

	Endpoints int
	Instances int
	Zones     []policy.Zone
	PodSize   int
	Kinds     []EndpointKind
	PodLimit  float64 // cores that a pod's endpoints may use together, as a part of all they have; 0: no limit

	Load           Load
	Clients        Clients
	Network        Network
	Discovery      Discovery
	Limits         Limits
	Classes        []Class
	Tenants        []Tenant
	OverQuotaValue float64 // part of the value left beyond a quota
	Faults         []Fault
	Arrivals       []Arrival // if any, these in place of those that Load describes
}

// EndpointKind is a kind of endpoint.
type EndpointKind struct {
	machine.Traits
	Name        string
	Share       float64 // of the endpoints
	SpeedSpread float64 // of speeds, a coefficient of variation
	Weighted    bool    // lists show its real capacity; else all have weight 1
	ErrorRate   float64 // part of the attempts that end in an error once the work is done
	Cancel      Cancel
}

// Cancel is what an endpoint does with the work of a cancelled attempt.
type Cancel uint8

// What endpoints do with cancelled work.
const (
	CancelNothing Cancel = iota // finishes it
	CancelWaiting               // drops it if it has not begun
	CancelAll                   // drops it
)

// Load describes the requests.
type Load struct {
	Rate          float64 // requests a second, over all instances
	CapacityShare float64 // if Rate is 0: part of what the fleet can do with no key cached
	Swing         float64 // of a wave, as a share of the rate
	Period        policy.Time
	RateVariation float64 // coefficient of variation of the rate from second to second, by instance
	ZoneSkew      float64 // how much more the first zone gets than the last
	Keys          int
	Zipf          float64 // exponent of the popularity of keys, over 0
	Keyless       float64 // part of the requests without a key
}

// Clients describes what clients do with answers.
type Clients struct {
	Retries          int
	HonourRetryAfter float64 // share of the clients that heed Retry-After
	Backoff          policy.Time
	MarkRetries      bool // retries are marked as such
}

// Network describes the links between clients, instances and endpoints.
type Network struct {
	Near, Far      policy.Time // one way
	Client         policy.Time // the same between a client and its instance
	Jitter         float64     // coefficient of variation
	Handshakes     int         // round trips before a new connection carries anything
	ConnectTimeout policy.Time
	IdleTimeout    policy.Time
}

// Discovery describes how instances learn of endpoints.
type Discovery struct {
	AnnounceDelay [2]policy.Time // from, to: of changes that endpoints announce
	DetectDelay   [2]policy.Time // from, to: of losses that must be detected
	Interval      policy.Time    // lists are sent at multiples of it
	Polled        bool           // the list must be polled
}

// Limits describes what instances may do.
type Limits struct {
	MaxAttempts    int
	MayCancel      bool
	MaxRetryAfter  policy.Time
	CrossZonePrice float64
	Grace          policy.Time
}

// Class is a class of requests and what they cost.
type Class struct {
	policy.Class
	Share  float64     // of the requests
	Work   policy.Time // mean, of a core at speed 1
	IO     policy.Time // mean
	Spread float64     // coefficient of variation of either, log-normal; 0: always the same
}

// Tenant is a tenant and its share of the requests.
type Tenant struct {
	Name       string
	Share      float64 // of the requests
	Quota      float64 // requests a second; beyond it the value falls
	QuotaShare float64 // if Quota is 0: share of the whole rate
}

// FaultKind is a kind of fault.
type FaultKind uint8

// The kinds of faults.
const (
	ZoneLost FaultKind = iota
	Slow
	AllSlow
	Errors
	Silent
	Pauses
	PodThrottled
	SidecarRestart
	ListBehind
	Burst
	HotKey
	Shrink
	Grow
	Rolling
	Crash
	faultKinds
)

var faultNames = [faultKinds]string{"zone-lost", "slow", "all-slow", "errors", "silent", "pauses", "pod-throttled",
	"sidecar-restart", "list-behind", "burst", "hot-key", "shrink", "grow", "rolling", "crash"}

// String returns the name that scenarios use.
func (k FaultKind) String() string { return faultNames[k] }

// Fault is one fault. Faults may overlap.
type Fault struct {
	Kind             FaultKind
	At, Duration     policy.Time
	Share            float64 // share of those that it may affect, drawn by the seed
	Count            int     // number of those that it affects, in place of a share
	Zone             policy.Zone
	Pod              int // -1: not by pod
	Size             float64
	Every            policy.Time // pauses, rolling: between one and the next
	Cold             bool        // zone-lost: its endpoints come back cold
	IncludeInstances bool        // zone-lost: its instances are lost too
	Endpoints        []int       // numbers of those that it affects, if it names some
}

// Arrival is a request of a recorded day.
type Arrival struct {
	At         policy.Time
	Instance   int
	Class      policy.ClassID
	Tenant     policy.TenantID
	Key        uint64 // 0: none
	TimeLeft   policy.Time
	Retry      bool
	WorkFactor float64 // its work over the mean of its class; 0: to be drawn
	IOFactor   float64
}

func contains[T comparable](all []T, one T) bool {
	for _, x := range all {
		if x == one {
			return true
		}
	}
	return false
}

// capacity is the requests a second that the endpoints can do with no key cached and no time lost.
func (sc *Scenario) capacity(cores float64) float64 {
	share, work := 0.0, 0.0
	for _, o := range sc.Classes {
		share += o.Share
		work += o.Share * float64(o.Work)
	}
	return cores / (work / share / float64(policy.Second))
}

// DropLoadFaults removes faults that the requests of a recorded day already show.
func (sc *Scenario) DropLoadFaults() {
	var remaining []Fault
	for _, f := range sc.Faults {
		if f.Kind != Burst && f.Kind != HotKey {
			remaining = append(remaining, f)
		}
	}
	sc.Faults = remaining
}
