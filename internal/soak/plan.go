package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of trouble with a process, a server or the list.
type FaultKind string

// The kinds of faults.
const (
	Kill          FaultKind = "kill"           // SIGKILL, and a new process a second later
	KillSeries    FaultKind = "kill-series"    // the same three times in quick succession
	Restart       FaultKind = "restart"        // SIGTERM, SIGKILL as early as allowed, and a new process
	TermSeries    FaultKind = "term-series"    // a restart with further signals after SIGTERM
	Reload        FaultKind = "reload"         // SIGHUP, several times
	Upgrade       FaultKind = "upgrade"        // a new process takes over on an inherited listener
	Replace       FaultKind = "replace"        // another server comes up at the address of one that has gone
	ServerRestart FaultKind = "server-restart" // a server is started again at its address under its own uid
	ServerDrain   FaultKind = "server-drain"   // a server drains and is replaced
)

// Fault is one fault of a run.
type Fault struct {
	Kind FaultKind
	At   time.Duration
}

// Plan says what happens in a run.
type Plan struct {
	Name      string
	Length    time.Duration
	Sidecars  int
	Servers   int
	Clients   int // well-behaved clients for each sidecar
	Limits    Limits
	Deadline  time.Duration // the longest deadline
	MayCancel bool
	Traffic   Traffic
	Crowds    []Crowd
	Faults    []Fault
}

// Traffic says what well-behaved clients ask for: the share of requests with each trait, from 0 to 1.
type Traffic struct {
	LongResponses float64
	LumpPause     time.Duration // longest pause between the parts of long responses
	LongBodies    float64
	SlowServers   float64 // the server reads the body at soundRate
	Endings       float64 // anything but a complete response
	Leaves        float64
	ShortWaits    float64 // the client waits for 100 to 300 ms only
}

// basicPlan is a run without trouble.
func basicPlan(name string) Plan {
	return Plan{
		Name:      name,
		Length:    8 * time.Second,
		Sidecars:  2,
		Servers:   6,
		Clients:   8,
		Limits:    Limits{MemoryMB: 192, Descriptors: 1024},
		Deadline:  2 * time.Second,
		MayCancel: true,
		Traffic:   Traffic{Leaves: 0.02},
	}
}

// crowds returns crowds of the given kinds, with the same size and time.
func crowds(count int, from, length time.Duration, kinds ...CrowdKind) []Crowd {
	var all []Crowd
	for _, kind := range kinds {
		all = append(all, Crowd{Kind: kind, Count: count, From: from, Length: length})
	}
	return all
}

// namedPlans are runs with one kind of trouble each.
var namedPlans = map[string]func() Plan{
	"calm": func() Plan { return basicPlan("calm") },
	"crowd": func() Plan {
		p := basicPlan("crowd")
		p.Limits = Limits{MemoryMB: 32, Descriptors: 1024}
		p.Sidecars = 1
		p.Crowds = crowds(70, time.Second, 6*time.Second,
			SlowWriters, HalfSenders, ManyFields, SlowReaders, NonReaders, Silent)
		return p
	},
	"flood": func() Plan {
		p := basicPlan("flood")
		p.Limits.MemoryMB = 48
		p.Traffic.ShortWaits = 0.5
		p.Length = 15 * time.Second
		for n, kind := range []CrowdKind{FloodReady, FloodLocal, FloodUnsound, FloodNames, FloodChunks} {
			from := time.Second + time.Duration(n)*5*time.Second/2
			p.Crowds = append(p.Crowds, crowds(6, from, 2*time.Second, kind)...)
		}
		return p
	},
	"lumps": func() Plan {
		p := basicPlan("lumps")
		p.Traffic = Traffic{LongResponses: 0.5, LumpPause: 1700 * time.Millisecond}
		p.Deadline = time.Second
		return p
	},
	"slow-servers": func() Plan {
		p := basicPlan("slow-servers")
		p.Traffic = Traffic{LongBodies: 0.6, SlowServers: 0.7}
		p.Limits.MemoryMB = 32
		p.Clients = 40
		return p
	},
	"leavers": func() Plan {
		p := basicPlan("leavers")
		p.Traffic.Leaves = 0.3
		p.Traffic.Endings = 0.2
		p.Crowds = crowds(4, time.Second, 6*time.Second, Quitters, SameID)
		return p
	},
	"endings": func() Plan {
		p := basicPlan("endings")
		p.Traffic = Traffic{Endings: 0.5, LongResponses: 0.1, LongBodies: 0.1, LumpPause: 300 * time.Millisecond}
		return p
	},
	"replace": func() Plan {
		p := basicPlan("replace")
		p.Traffic.Endings = 0.3
		p.Servers = 8
		p.Length = 12 * time.Second
		for n := range 8 {
			kind := [...]FaultKind{Replace, ServerRestart, ServerDrain}[n%3]
			p.Faults = append(p.Faults, Fault{kind, time.Duration(1+n) * time.Second})
		}
		return p
	},
	"restarts": func() Plan {
		p := basicPlan("restarts")
		p.Length = 20 * time.Second
		p.Traffic.Endings = 0.1
		p.Faults = []Fault{
			{Reload, time.Second},
			{Restart, 2 * time.Second},
			{KillSeries, 8 * time.Second},
			{TermSeries, 13 * time.Second},
		}
		return p
	},
	"upgrade": func() Plan {
		p := basicPlan("upgrade")
		p.Length = 14 * time.Second
		p.Faults = []Fault{{Upgrade, 2 * time.Second}, {Upgrade, 8 * time.Second}}
		p.Crowds = crowds(4, time.Second, 12*time.Second, SameID)
		return p
	},
}

// Names returns the names of all plans, sorted.
func Names() []string {
	names := []string{mixedName}
	for name := range namedPlans {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// mixedName is the name of the plan that is drawn from the seed.
const mixedName = "mixed"

// newPlan returns the plan of a run.
func newPlan(name string, seed uint64) (Plan, error) {
	if name == mixedName {
		return drawPlan(rand.New(rand.NewPCG(seed, 0x736f616b))), nil
	}
	build, known := namedPlans[name]
	if !known {
		return Plan{}, fmt.Errorf("found plan %q, allowed %v", name, Names())
	}
	return build(), nil
}

// drawPlan draws limits, traffic, crowds and faults.
func drawPlan(random *rand.Rand) Plan {
	p := basicPlan(mixedName)
	p.Length = 12 * time.Second
	p.Sidecars = 1 + random.IntN(3)
	p.Servers = 4 + random.IntN(6)
	p.Clients = 4 + random.IntN(12)
	p.Limits = Limits{
		MemoryMB:    [...]int{32, 48, 64, 192}[random.IntN(4)],
		Descriptors: [...]int{256, 384, 1024}[random.IntN(3)],
	}
	p.Deadline = time.Duration([...]int{600, 1000, 2000, 3000}[random.IntN(4)]) * time.Millisecond
	p.MayCancel = random.IntN(3) > 0
	p.Traffic = Traffic{
		LongResponses: 0.2 * random.Float64(),
		LumpPause:     time.Duration(random.IntN(1700)) * time.Millisecond,
		LongBodies:    0.2 * random.Float64(),
		SlowServers:   0.3 * random.Float64(),
		Endings:       0.3 * random.Float64(),
		Leaves:        0.2 * random.Float64(),
		ShortWaits:    0.3 * random.Float64(),
	}
	kinds := []CrowdKind{SlowWriters, SlowReaders, HalfSenders, ManyFields, NonReaders, Silent, FloodReady, FloodLocal,
		FloodUnsound, FloodNames, FloodChunks, Quitters, SameID}
	for range random.IntN(4) {
		kind := kinds[random.IntN(len(kinds))]
		count := 2 + random.IntN(5)
		if slices.Index(kinds, kind) < slices.Index(kinds, FloodReady) {
			count = p.Limits.Descriptors / (8 + random.IntN(16))
		}
		p.Crowds = append(p.Crowds, Crowd{kind, count, time.Duration(random.IntN(5000)) * time.Millisecond,
			time.Duration(2000+random.IntN(4000)) * time.Millisecond})
	}
	faults := []FaultKind{Kill, KillSeries, Restart, TermSeries, Reload, Replace, ServerRestart, ServerDrain}
	for range random.IntN(5) {
		at := time.Duration(1000+random.IntN(7000)) * time.Millisecond
		p.Faults = append(p.Faults, Fault{faults[random.IntN(len(faults))], at})
	}
	return p
}
