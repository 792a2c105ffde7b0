package emulator

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"

	"pepperlead/internal/document"
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

// Scenario is a day: a fleet, what is asked of it, and what goes wrong.
type Scenario struct {
	Name   string
	About  string
	Length policy.Time // clients begin nothing later
	Tick   policy.Time

	Servers  int
	Sidecars int
	Zones    []policy.Zone
	PodSize  int
	Kinds    []Kind
	PodLimit float64 // cores that a pod's servers may use together, as a part of all they have; 0: no limit

	Load      Load
	Clients   Clients
	Network   Network
	Discovery Discovery
	Allow     Allow
	Offerings []Offering
	Franchise []Franchise
	Beyond    float64 // part of the credit left beyond a quota
	Faults    []Fault
	Arrivals  []Arrival // if there are any, these in place of those that Load gives
}

// Kind is a kind of server.
type Kind struct {
	machine.Traits
	Name   string
	Share  float64 // of the servers
	Spread float64 // of speeds, a coefficient of variation
	Weight bool    // lists tell its real size; else all weigh 1
	Errors float64 // part of the pushes that end in an error once the work is done
	Cancel Cancel
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
	Rate     float64 // requests a second, over all sidecars
	Part     float64 // if Rate is 0: of what the fleet can do, as work is without any memory of keys
	Swing    float64 // of a wave, as a part of the rate
	Period   policy.Time
	Bursts   float64 // coefficient of variation of the rate from second to second, by sidecar
	ZoneSkew float64 // the first zone gets so much more than the last
	Keys     int
	Zipf     float64 // exponent of the keys' popularity, over 0
	Keyless  float64 // part of the requests without a key
}

// Clients are what they do with answers.
type Clients struct {
	Retries int
	Heed    float64 // part of them that wait as long as they are told
	Backoff policy.Time
	Marks   bool // say that a try is a further one
}

// Network is between clients, sidecars and servers.
type Network struct {
	Near, Far  policy.Time // one way
	Client     policy.Time // the same between a client and its sidecar
	Jitter     float64     // coefficient of variation
	Handshakes int         // round trips before a new connection carries anything
	ConnectIn  policy.Time
	IdleFor    policy.Time
}

// Discovery is how sidecars hear of servers.
type Discovery struct {
	Delay  [2]policy.Time // of what servers say themselves
	Silent [2]policy.Time // of what must be noticed
	Step   policy.Time    // lists are sent at multiples of it
	Asked  bool           // the list comes only when asked for
}

// Allow is what sidecars may do.
type Allow struct {
	Pushes     int
	Cancel     bool
	Advice     policy.Time
	CrossPrice float64
	Grace      policy.Time
}

// Offering is a kind of request.
type Offering struct {
	policy.Class
	Share  float64     // of the requests
	Work   policy.Time // mean, of a core at speed 1
	IO     policy.Time // mean
	Spread float64     // coefficient of variation of either, log-normal; 0: always the same
}

// Franchise is a tenant.
type Franchise struct {
	Name  string
	Share float64 // of the requests
	Quota float64 // tickets a second; beyond it credit falls
	Part  float64 // if Quota is 0: of the whole rate
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
	Kind     FaultKind
	At, For  policy.Time
	Part     float64 // of those it meets, drawn by the seed
	Count    int     // of those it meets, if it says so
	Zone     policy.Zone
	Pod      int // -1: not by pod
	Size     float64
	Every    policy.Time // pauses, rolling: between one and the next
	Cold     bool        // zone-lost: its servers come back cold
	Sidecars bool        // zone-lost: its sidecars go too
	Server   []int       // these, if it names some
}

// Arrival is a request that a recorded day has.
type Arrival struct {
	At        policy.Time
	Sidecar   int
	Offering  policy.ClassID
	Franchise policy.TenantID
	Key       uint64 // 0: none
	Left      policy.Time
	Repeat    bool
	Size      float64 // of its work against the mean of its offering; 0: to be drawn
	SizeIO    float64
}

// MostText is how long a scenario may be, in bytes.
const MostText = 1 << 20

const (
	mostServers  = 20000
	mostSidecars = 60000
	mostRate     = 1e6
	day          = 24 * 3600 * policy.Second
)

// Set is a figure that stands in place of the file's: its path, as in load.part, and its value.
type Set struct {
	Path  string
	Value any
}

// Read reads a scenario. One that names a base says only what differs from that; load reads the base, by the name as it stands
// in the scenario. The error has a line for each fault.
func Read(file string, text []byte, load func(name string) ([]byte, error), sets ...Set) (*Scenario, error) {
	doc, root := document.Parse(file, text, MostText)
	if name := root.Text("base", ""); doc.Err() == nil && name != "" {
		of, err := load(name)
		if err != nil {
			root.Fault("base", root.Found("base"), "a scenario: "+err.Error())
			return nil, doc.Err()
		}
		below, base := document.Parse(name, of, MostText)
		if base.Has("base") {
			base.Fault("base", base.Found("base"), "nothing: a base has none")
		}
		if err := below.Err(); err != nil {
			return nil, err
		}
		root.Over(base)
	}
	for _, set := range sets {
		if doc.Err() == nil {
			if err := root.Set(set.Path, set.Value); err != nil {
				return nil, fmt.Errorf("%s: %w", file, err)
			}
		}
	}
	sc := &Scenario{}
	if doc.Err() == nil {
		sc.read(root)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return sc, nil
}

func (sc *Scenario) read(root *document.Table) {
	root.Require("name", "length", "fleet", "load", "offering", "kind")
	sc.Name, sc.About = root.Text("name", ""), root.Text("about", "")
	sc.Length = root.Span("length", 60*policy.Second, policy.Second, day)
	sc.Tick = root.Span("tick", 5*policy.Millisecond, policy.Millisecond, 100*policy.Millisecond)
	sc.fleet(root)
	sc.load(root)
	sc.surroundings(root)
	sc.offerings(root)
	sc.franchises(root)
	for _, t := range root.Tables("fault") {
		sc.fault(t)
	}
	root.Done()
}

func (sc *Scenario) fleet(root *document.Table) {
	t := root.Table("fleet")
	t.Require("servers", "sidecars")
	sc.Servers = int(t.Count("servers", 8, 1, mostServers))
	sc.Sidecars = int(t.Count("sidecars", 4, 1, mostSidecars))
	for _, z := range t.Texts("zones") {
		sc.Zones = append(sc.Zones, policy.Zone(z))
	}
	if len(sc.Zones) == 0 {
		sc.Zones = []policy.Zone{"a"}
	}
	sc.PodSize = int(t.Count("pod", 4, 1, mostServers))
	sc.PodLimit = t.Real("pod_limit", 0, 0, 1)
	t.Done()
	for _, t := range root.Tables("kind") {
		t.Require("name", "cores")
		k := Kind{Name: t.Text("name", ""), Share: t.Real("share", 1, 0.0001, 1), Spread: t.Real("spread", 0, 0, 2),
			Weight: t.Yes("weighs", false), Errors: t.Real("errors", 0, 0, 1),
			Cancel: Cancel(t.OneOf("cancel", int(CancelWaiting), "nothing", "waiting", "all"))}
		k.Traits = machine.Traits{Cores: t.Real("cores", 2, 0.1, 1024), Speed: t.Real("speed", 1, 0.01, 100),
			Slots: int(t.Count("slots", 0, 0, 1e6)), Queue: int(t.Count("queue", 1000, 0, 1e6)),
			ColdPart: t.Real("cold_part", 1, 0.01, 1), WarmIn: t.Span("warm_in", 0, 0, 3600*policy.Second),
			Keys: int(t.Count("keys", 0, 0, 1e6)), Discount: t.Real("discount", 0, 0, 0.99),
			Forgets: t.Span("forgets", 0, 0, 3600*policy.Second), ChokeAt: int(t.Count("choke_at", 0, 0, 1e6)),
			Choked: t.Real("choked", 0.5, 0.01, 1), Fall: t.Real("fall", 0, 0, 1000),
			FallIn:  t.Span("fall_in", policy.Second, policy.Millisecond, 60*policy.Second),
			Connect: t.Span("connect", 0, 0, policy.Second), Conns: int(t.Count("connections", 0, 0, 1e6)), MaxConns: int(t.Count("max_connections", 0, 0, 1e6)),
			Tax: t.Real("tax", 0, 0, 10)}
		if k.Slots == 0 && k.Queue == 0 {
			t.Fault("queue", "0", "1 or more where cores are shared")
		}
		t.Done()
		sc.Kinds = append(sc.Kinds, k)
	}
}

func (sc *Scenario) load(root *document.Table) {
	t := root.Table("load")
	sc.Load = Load{Rate: t.Real("rate", 0, 0, mostRate), Part: t.Real("part", 0, 0, 20), Swing: t.Real("swing", 0, 0, 1),
		Period: t.Span("period", 60*policy.Second, policy.Second, day), Bursts: t.Real("bursts", 0, 0, 5),
		ZoneSkew: t.Real("zone_skew", 0, 0, 0.99), Keys: int(t.Count("keys", 1000, 1, 1e8)),
		Zipf: t.Real("zipf", 0.9, 0, 5), Keyless: t.Real("keyless", 0, 0, 1)}
	if (sc.Load.Rate == 0) == (sc.Load.Part == 0) {
		t.Fault("rate", "rate "+t.Found("rate")+" and part "+t.Found("part"), "one of them over 0")
	}
	t.Done()
	t = root.Table("clients")
	sc.Clients = Clients{Retries: int(t.Count("retries", 0, 0, 10)), Heed: t.Real("heed", 1, 0, 1),
		Backoff: t.Span("backoff", 100*policy.Millisecond, policy.Millisecond, 60*policy.Second), Marks: t.Yes("marks", true)}
	t.Done()
}

func (sc *Scenario) surroundings(root *document.Table) {
	ms := policy.Millisecond
	t := root.Table("network")
	sc.Network = Network{Near: t.Span("near", ms/5, 0, policy.Second), Far: t.Span("far", 5*ms, 0, 5*policy.Second),
		Client: t.Span("client", ms/20, 0, policy.Second), Jitter: t.Real("jitter", 0, 0, 3),
		Handshakes: int(t.Count("handshakes", 1, 0, 10)), ConnectIn: t.Span("connect", 200*ms, ms, 60*policy.Second),
		IdleFor: t.Span("idle", 60*policy.Second, 10*ms, 3600*policy.Second)}
	t.Done()
	t = root.Table("discovery")
	pair := func(key string, low, high policy.Time) [2]policy.Time {
		p := t.Table(key)
		out := [2]policy.Time{p.Span("from", low, 0, 600*policy.Second), p.Span("to", high, 0, 600*policy.Second)}
		if out[0] > out[1] {
			p.Fault("from", p.Found("from"), "at most what to says, "+p.Found("to"))
		}
		p.Done()
		return out
	}
	sc.Discovery = Discovery{Delay: pair("delay", 200*ms, policy.Second), Silent: pair("silent", 5*policy.Second, 10*policy.Second),
		Step: t.Span("step", 0, 0, 60*policy.Second), Asked: t.Yes("asked", false)}
	t.Done()
	t = root.Table("allow")
	sc.Allow = Allow{Pushes: int(t.Count("pushes", 3, 1, 8)), Cancel: t.Yes("cancel", true),
		Advice: t.Span("advice", 3*policy.Second, 0, 3600*policy.Second), CrossPrice: t.Real("cross_price", 0, 0, 1),
		Grace: t.Span("grace", policy.Second, 0, 60*policy.Second)}
	t.Done()
}

func (sc *Scenario) offerings(root *document.Table) {
	for _, t := range root.Tables("offering") {
		t.Require("name", "quoted_time", "cut_off", "work")
		o := Offering{Share: t.Real("share", 1, 1e-6, 1e6), Work: t.Span("work", policy.Millisecond, 1000, 600*policy.Second),
			IO: t.Span("io", 0, 0, 600*policy.Second), Spread: t.Real("spread", 0, 0, 5)}
		o.Class = policy.Class{Name: t.Text("name", ""), Value: t.Real("credit", 1, 1e-6, 1e9),
			LateValue: t.Real("late_credit", 0, 0, 1), Target: t.Span("quoted_time", policy.Second, policy.Millisecond, day),
			Idempotency: policy.Idempotency(t.OneOf("repeats", 0, "reissuable", "numbered", "at-most-once")),
			Group:       policy.Group(t.OneOf("group", 0, "all", "zone", "pod")), Window: t.Span("window", 0, 0, day)}
		if o.Deadline = t.Span("cut_off", o.Target, policy.Millisecond, day); o.Deadline < o.Target {
			t.Fault("cut_off", t.Found("cut_off"), "at least the quoted time")
		}
		if o.Idempotency == policy.Keyed {
			t.Require("window")
		}
		t.Done()
		sc.Offerings = append(sc.Offerings, o)
	}
	if len(sc.Offerings) == 0 && root.Has("offering") {
		root.Fault("offering", "none", "one offering at least")
	}
}

func (sc *Scenario) franchises(root *document.Table) {
	t := root.Table("franchises")
	sc.Beyond = t.Real("beyond_credit", 0.05, 0, 1)
	t.Done()
	for _, t := range root.Tables("franchise") {
		t.Require("name")
		f := Franchise{Name: t.Text("name", ""), Share: t.Real("share", 1, 1e-6, 1e6), Quota: t.Real("quota", 0, 0, mostRate),
			Part: t.Real("quota_part", 0, 0, 20)}
		if (f.Quota == 0) == (f.Part == 0) {
			t.Fault("quota", "quota "+t.Found("quota")+" and quota_part "+t.Found("quota_part"), "one of them over 0")
		}
		t.Done()
		sc.Franchise = append(sc.Franchise, f)
	}
}

func (sc *Scenario) fault(t *document.Table) {
	t.Require("kind", "at")
	f := Fault{Kind: FaultKind(t.OneOf("kind", 0, faultNames[:]...)), At: t.Span("at", 0, 0, day),
		For: t.Span("for", 0, 0, day), Part: t.Real("part", 0, 0, 1), Count: int(t.Count("count", 0, 0, mostServers)),
		Zone: policy.Zone(t.Text("zone", "")), Pod: int(t.Count("pod", -1, 0, mostServers)), Size: t.Real("size", 0, 0, 1e6),
		Every: t.Span("every", 0, 0, day), Cold: t.Yes("cold", true), Sidecars: t.Yes("sidecars", false)}
	if t.Has("server") {
		f.Server = []int{int(t.Count("server", 0, 0, int64(sc.Servers)-1))}
	}
	if f.At > sc.Length {
		t.Fault("at", t.Found("at"), "within the day")
	}
	if f.Zone != "" && !has(sc.Zones, f.Zone) {
		t.Fault("zone", t.Found("zone"), fmt.Sprintf("one of %v", sc.Zones))
	}
	if pods := (sc.Servers + sc.PodSize - 1) / sc.PodSize; f.Pod >= pods {
		t.Fault("pod", t.Found("pod"), fmt.Sprintf("0 to %d", pods-1))
	}
	need := func(keys ...string) { t.Require(keys...) }
	switch f.Kind {
	case ZoneLost:
		need("zone", "for")
	case Slow, AllSlow, PodThrottled, Burst:
		need("size", "for")
		if f.Size <= 0 {
			t.Fault("size", t.Found("size"), "over 0")
		}
	case Errors, HotKey:
		need("size", "for")
		if f.Size > 1 {
			t.Fault("size", t.Found("size"), "a part, from 0 to 1")
		}
	case Silent, ListBehind, SidecarRestart, Crash:
		need("for")
	case Pauses:
		need("size", "every", "for")
		if f.Every <= 0 {
			t.Fault("every", t.Found("every"), "over 0")
		}
	case Shrink, Grow:
		need("count")
	case Rolling:
		need("every", "for")
	}
	t.Done()
	sc.Faults = append(sc.Faults, f)
}

func has[T comparable](all []T, one T) bool {
	for _, x := range all {
		if x == one {
			return true
		}
	}
	return false
}

// stream is chance for one purpose: what is drawn from it moves nothing that is drawn for another.
func stream(seed uint64, purpose string, no int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(seed, h.Sum64()+uint64(no)*0x9e3779b97f4a7c15))
}

// spread gives a factor with a mean of 1, log-normal with the coefficient of variation.
func spread(r *rand.Rand, cv float64) float64 {
	if cv == 0 {
		return 1
	}
	v := math.Log(1 + cv*cv)
	return math.Exp(r.NormFloat64()*math.Sqrt(v) - v/2)
}

// capacity is the requests a second that the servers could do if nothing were remembered and no time were lost.
func (sc *Scenario) capacity(cores float64) float64 {
	share, work := 0.0, 0.0
	for _, o := range sc.Offerings {
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
