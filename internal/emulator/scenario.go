package emulator

import (
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// Scenario describes a simulation run: a fleet, its load and its faults.
type Scenario struct {
	Name        string
	Description string
	Length      policy.Time // no request begins later than this after the start
	Tick        policy.Time // resolution of the instances' timers

	Endpoints int
	Instances int
	Zones     []policy.Zone
	PodSize   int // endpoints per pod
	Kinds     []EndpointKind
	PodLimit  float64 // cores that a pod's endpoints may use together, as a part of the sum of their cores; 0: no limit

	Load           Load
	Clients        Clients
	Network        Network
	Discovery      Discovery
	Limits         Limits
	Classes        []Class
	Tenants        []Tenant
	OverQuotaValue float64 // part of its value that a request beyond its tenant's quota keeps
	Faults         []Fault
	Arrivals       []Arrival // requests of a trace; if there are any, none are generated from Load
}

// EndpointKind describes the endpoints of one kind. They have the same traits except for the speed.
type EndpointKind struct {
	machine.Traits
	Name        string
	Share       float64 // part of the endpoints that are of this kind, relative to the other kinds
	SpeedSpread float64 // coefficient of variation of the speed between endpoints
	Weighted    bool    // if true, lists show the real capacity as weight; else the weight is 1
	ErrorRate   float64 // part of the attempts that end in an error after their work is done
	Cancel      Cancel
}

// Cancel tells what an endpoint does with the work of a cancelled attempt.
type Cancel uint8

// What endpoints do with cancelled work.
const (
	CancelNothing Cancel = iota // finishes the work
	CancelWaiting               // drops the work if it has not begun
	CancelAll                   // drops the work, begun or not
)

// Load describes the requests that are generated.
type Load struct {
	Rate          float64     // requests per second, over all instances
	CapacityShare float64     // if Rate is 0: the rate as a part of the fleet's capacity with no key cached
	Swing         float64     // amplitude of a sine wave of the rate, as a part of the rate
	Period        policy.Time // period of that sine wave
	RateVariation float64     // coefficient of variation of each instance's rate from second to second
	ZoneSkew      float64     // relative surplus of the first zone's load, and deficit of the last zone's
	Keys          int         // number of different keys
	Zipf          float64     // exponent of the popularity of keys; 0: all are equally popular
	Keyless       float64     // part of the requests without a key
}

// Clients describes how clients retry.
type Clients struct {
	Retries          int         // maximum number of retries for each request
	HonourRetryAfter float64     // part of the retries that wait for Retry-After
	Backoff          policy.Time // mean before the first retry; doubles with each further one
	MarkRetries      bool        // whether retries are marked as such
}

// Network describes the links between clients, instances and endpoints.
type Network struct {
	Near, Far      policy.Time // one-way delay within a zone and between zones
	Client         policy.Time // one-way delay between a client and its instance
	Jitter         float64     // coefficient of variation of the delays between instances and endpoints
	Handshakes     int         // round trips before a new connection carries a request
	ConnectTimeout policy.Time
	IdleTimeout    policy.Time // time after which an idle connection is closed
}

// Discovery describes how instances learn of endpoints.
type Discovery struct {
	AnnounceDelay [2]policy.Time // minimum and maximum delay of changes that endpoints announce
	DetectDelay   [2]policy.Time // minimum and maximum delay of losses that discovery must detect
	Interval      policy.Time    // between two updates of an instance; 0: changes are sent at once
	Polled        bool           // instances must poll the list; else they receive it without a request
}

// Limits describes what the rules allow instances to do.
type Limits struct {
	MaxAttempts    int         // maximum number of attempts for each request
	MayCancel      bool        // whether instances may cancel attempts
	MaxRetryAfter  policy.Time // maximum of the Retry-After of a rejection
	CrossZonePrice float64     // of an attempt to another zone, as a part of the target latency
	Grace          policy.Time // how long an instance may still send attempts after it is notified of a drain
}

// Class describes the requests of one class and the work that they cause at endpoints.
type Class struct {
	policy.Class
	Share  float64     // part of the requests, relative to the other classes
	Work   policy.Time // mean time of a core at speed 1
	IO     policy.Time // mean time of waiting for I/O
	Spread float64     // coefficient of variation of Work and of IO, log-normal; 0: both are constant
}

// Tenant describes a tenant, its share of the requests and its quota.
type Tenant struct {
	Name       string
	Share      float64 // part of the requests, relative to the other tenants
	Quota      float64 // requests per second; beyond it, requests have less value
	QuotaShare float64 // if Quota is 0: the quota as a part of the total rate
}

// FaultKind is a kind of fault.
type FaultKind uint8

// The kinds of faults.
const (
	ZoneLost       FaultKind = iota // a zone's endpoints are unreachable, and optionally its instances are down
	Slow                            // endpoints are slower
	AllSlow                         // all endpoints are slower
	Errors                          // endpoints answer with errors
	Silent                          // endpoints are unreachable
	Pauses                          // endpoints pause in turn
	PodThrottled                    // the pods of the affected endpoints have fewer cores
	SidecarRestart                  // instances are down, and start again with their saved list
	ListBehind                      // endpoint lists are delayed
	Burst                           // the rate of requests is higher or lower
	HotKey                          // a part of the requests has the same key
	Shrink                          // endpoints drain and are removed
	Grow                            // endpoints are added
	Rolling                         // endpoints drain and restart one after another
	Crash                           // the processes of endpoints end, and start again after the fault
	faultKinds
)

var faultNames = [faultKinds]string{"zone-lost", "slow", "all-slow", "errors", "silent", "pauses", "pod-throttled",
	"sidecar-restart", "list-behind", "burst", "hot-key", "shrink", "grow", "rolling", "crash"}

// String returns the name that scenarios use.
func (k FaultKind) String() string { return faultNames[k] }

// Fault describes one fault. Faults may overlap. The candidates of a fault are the endpoints, or for sidecar-restart
// the instances, that it may affect.
type Fault struct {
	Kind         FaultKind
	At, Duration policy.Time
	Share        float64     // part of the candidates that are affected, drawn at random; 0: all
	Count        int         // number of candidates that are affected; over 0, it replaces Share
	Zone         policy.Zone // only candidates of this zone; empty: of all zones
	Pod          int         // only endpoints of this pod; -1: of all pods
	// Size is the divisor of the speed (slow, all-slow), the factor on the rate (burst), the part of the requests
	// (errors, hot-key), the part of the cores that is left (pod-throttled), or the seconds of a pause (pauses).
	Size             float64
	Every            policy.Time // pauses: between two pauses of an endpoint; rolling, shrink: between two drains
	Cold             bool        // zone-lost, silent: the endpoints lose their work and come back cold
	IncludeInstances bool        // zone-lost: the zone's instances fail too
	Endpoints        []int       // only the endpoints with these numbers; empty: all
}

// Arrival is one request of a planned or recorded run.
type Arrival struct {
	At         policy.Time // since the start of the run
	Instance   int
	Class      policy.ClassID
	Tenant     policy.TenantID
	Key        uint64      // 0: none
	TimeLeft   policy.Time // until its deadline
	Retry      bool        // marked as a retry by the client
	WorkFactor float64     // work divided by the mean work of its class; 0: both factors are drawn
	IOFactor   float64     // I/O time divided by the mean I/O time of its class
}

func contains[T comparable](all []T, wanted T) bool {
	for _, x := range all {
		if x == wanted {
			return true
		}
	}
	return false
}

// capacity returns how many requests per second the given number of cores, all busy, can serve if no key is cached.
func (sc *Scenario) capacity(cores float64) float64 {
	share, work := 0.0, 0.0
	for _, class := range sc.Classes {
		share += class.Share
		work += class.Share * float64(class.Work)
	}
	return cores / (work / share / float64(policy.Second))
}

// DropLoadFaults removes the faults that change the load, for a replay: the recorded requests already contain them.
func (sc *Scenario) DropLoadFaults() {
	var remaining []Fault
	for _, f := range sc.Faults {
		if f.Kind != Burst && f.Kind != HotKey {
			remaining = append(remaining, f)
		}
	}
	sc.Faults = remaining
}
