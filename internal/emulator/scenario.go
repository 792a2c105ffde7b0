package emulator

import (
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// Scenario is a day: a fleet, what is asked of it, and what goes wrong.
type Scenario struct {
	Name        string
	Description string
	Length      policy.Time // clients begin nothing later
	Tick        policy.Time

	Endpoints int
	Instances int
	Zones     []policy.Zone
	PodSize   int
	Kinds     []EndpointKind
	PodLimit  float64 // cores that a pod's servers may use together, as a part of all they have; 0: no limit

	Load           Load
	Clients        Clients
	Network        Network
	Discovery      Discovery
	Limits         Limits
	Classes        []Class
	Tenants        []Tenant
	OverQuotaValue float64 // part of the credit left beyond a quota
	Faults         []Fault
	Arrivals       []Arrival // if there are any, these in place of those that Load gives
}

// EndpointKind is a kind of server.
type EndpointKind struct {
	machine.Traits
	Name        string
	Share       float64 // of the servers
	SpeedSpread float64 // of speeds, a coefficient of variation
	Weighted    bool    // lists tell its real size; else all weigh 1
	ErrorRate   float64 // part of the pushes that end in an error once the work is done
	Cancel      Cancel
}

// Cancel is what a server does with work that is called off.
type Cancel uint8

const (
	CancelNothing Cancel = iota // it goes on to its end
	CancelWaiting               // what has not begun is dropped
	CancelAll
)

// Load is what clients ask for.
type Load struct {
	Rate          float64 // requests a second, over all sidecars
	CapacityShare float64 // if Rate is 0: of what the fleet can do, as work is without any memory of keys
	Swing         float64 // of a wave, as a part of the rate
	Period        policy.Time
	Bursts        float64 // coefficient of variation of the rate from second to second, by sidecar
	ZoneSkew      float64 // the first zone gets so much more than the last
	Keys          int
	Zipf          float64 // exponent of the keys' popularity, over 0
	Keyless       float64 // part of the requests without a key
}

// Clients are what they do with answers.
type Clients struct {
	Retries          int
	HonourRetryAfter float64 // part of them that wait as long as they are told
	Backoff          policy.Time
	MarkRetries      bool // say that a try is a further one
}

// Network is between clients, sidecars and servers.
type Network struct {
	Near, Far      policy.Time // one way
	Client         policy.Time // the same between a client and its sidecar
	Jitter         float64     // coefficient of variation
	Handshakes     int         // round trips before a new connection carries anything
	ConnectTimeout policy.Time
	IdleTimeout    policy.Time
}

// Discovery is how sidecars hear of servers.
type Discovery struct {
	AnnounceDelay [2]policy.Time // of what servers say themselves
	DetectDelay   [2]policy.Time // of what must be noticed
	Interval      policy.Time    // lists are sent at multiples of it
	Polled        bool           // the list comes only when asked for
}

// Limits is what sidecars may do.
type Limits struct {
	MaxAttempts    int
	MayCancel      bool
	MaxRetryAfter  policy.Time
	CrossZonePrice float64
	Grace          policy.Time
}

// Class is a kind of request.
type Class struct {
	policy.Class
	Share  float64     // of the requests
	Work   policy.Time // mean, of a core at speed 1
	IO     policy.Time // mean
	Spread float64     // coefficient of variation of either, log-normal; 0: always the same
}

// Tenant is a tenant.
type Tenant struct {
	Name       string
	Share      float64 // of the requests
	Quota      float64 // tickets a second; beyond it credit falls
	QuotaShare float64 // if Quota is 0: of the whole rate
}

// FaultKind is what goes wrong.
type FaultKind uint8

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

func (k FaultKind) String() string { return faultNames[k] }

// Fault is one thing that goes wrong for a while. Any may overlap.
type Fault struct {
	Kind             FaultKind
	At, Duration     policy.Time
	Share            float64 // of those it meets, drawn by the seed
	Count            int     // of those it meets, if it says so
	Zone             policy.Zone
	Pod              int // -1: not by pod
	Size             float64
	Every            policy.Time // pauses, rolling: between one and the next
	Cold             bool        // zone-lost: its servers come back cold
	IncludeInstances bool        // zone-lost: its sidecars go too
	Endpoints        []int       // these, if it names some
}

// Arrival is a request that a recorded day has.
type Arrival struct {
	At         policy.Time
	Instance   int
	Class      policy.ClassID
	Tenant     policy.TenantID
	Key        uint64 // 0: none
	TimeLeft   policy.Time
	Retry      bool
	WorkFactor float64 // of its work against the mean of its offering; 0: to be drawn
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

// capacity is the requests a second that the servers could do if nothing were remembered and no time were lost.
func (sc *Scenario) capacity(cores float64) float64 {
	share, work := 0.0, 0.0
	for _, o := range sc.Classes {
		share += o.Share
		work += o.Share * float64(o.Work)
	}
	return cores / (work / share / float64(policy.Second))
}

// DropLoadFaults takes out what would be played twice where a recorded day's requests are played.
func (sc *Scenario) DropLoadFaults() {
	var kept []Fault
	for _, f := range sc.Faults {
		if f.Kind != Burst && f.Kind != HotKey {
			kept = append(kept, f)
		}
	}
	sc.Faults = kept
}
