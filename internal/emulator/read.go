package emulator

import (
	"fmt"

	"pepperlead/internal/emulator/machine"
	"pepperlead/internal/tomlfile"
	"pepperlead/policy"
)

// MaxScenarioSize is the maximum size of a scenario, in bytes.
const MaxScenarioSize = 1 << 20

const (
	maxEndpoints = 20000
	maxInstances = 60000
	maxRate      = 1e6
	day          = 24 * 3600 * policy.Second
)

// Override replaces a value of a scenario file. Path is its path in the file, such as load.part.
type Override struct {
	Path  string
	Value any
}

// Read parses a scenario and applies the overrides to it. A scenario that names a base needs to contain only what
// differs from it; load returns the text of the base. The error has a line for each invalid value of the file.
func Read(file string, text []byte, load func(name string) ([]byte, error), overrides ...Override) (*Scenario, error) {
	doc, root := tomlfile.Parse(file, text, MaxScenarioSize)
	if name := root.String("base", ""); doc.Err() == nil && name != "" {
		baseText, err := load(name)
		if err != nil {
			root.Fault("base", root.Found("base"), "a readable scenario: "+err.Error())
			return nil, doc.Err()
		}
		baseDoc, base := tomlfile.Parse(name, baseText, MaxScenarioSize)
		if base.Has("base") {
			base.Fault("base", base.Found("base"), "no base, as a base cannot have another")
		}
		if err := baseDoc.Err(); err != nil {
			return nil, err
		}
		root.Overlay(base)
	}
	for _, override := range overrides {
		if doc.Err() == nil {
			if err := root.Set(override.Path, override.Value); err != nil {
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

func (sc *Scenario) read(root *tomlfile.Table) {
	root.Require("name", "length", "fleet", "load", "offering", "kind")
	sc.Name, sc.Description = root.String("name", ""), root.String("about", "")
	sc.Length = root.Duration("length", 60*policy.Second, policy.Second, day)
	sc.Tick = root.Duration("tick", 5*policy.Millisecond, policy.Millisecond, 100*policy.Millisecond)
	sc.readFleet(root)
	sc.readKinds(root)
	sc.readLoad(root)
	sc.readClients(root)
	sc.readNetwork(root)
	sc.readDiscovery(root)
	sc.readLimits(root)
	sc.readClasses(root)
	sc.readTenants(root)
	for _, t := range root.Tables("fault") {
		sc.readFault(t)
	}
	root.RejectUnknown()
}

func (sc *Scenario) readFleet(root *tomlfile.Table) {
	t := root.Table("fleet")
	t.Require("servers", "sidecars")
	sc.Endpoints = int(t.Count("servers", 8, 1, maxEndpoints))
	sc.Instances = int(t.Count("sidecars", 4, 1, maxInstances))
	for _, z := range t.Strings("zones") {
		sc.Zones = append(sc.Zones, policy.Zone(z))
	}
	if len(sc.Zones) == 0 {
		sc.Zones = []policy.Zone{"a"}
	}
	sc.PodSize = int(t.Count("pod", 4, 1, maxEndpoints))
	sc.PodLimit = t.Float("pod_limit", 0, 0, 1)
	t.RejectUnknown()
}

func (sc *Scenario) readKinds(root *tomlfile.Table) {
	for _, t := range root.Tables("kind") {
		t.Require("name", "cores")
		kind := EndpointKind{
			Name:        t.String("name", ""),
			Share:       t.Float("share", 1, 0.0001, 1),
			SpeedSpread: t.Float("spread", 0, 0, 2),
			Weighted:    t.Bool("weighs", false),
			ErrorRate:   t.Float("errors", 0, 0, 1),
			Cancel:      Cancel(t.OneOf("cancel", int(CancelWaiting), "nothing", "waiting", "all")),
		}
		kind.Traits = readTraits(t)
		if kind.Workers == 0 && kind.QueueSize == 0 {
			t.Fault("queue", "0", "1 or more if slots is 0")
		}
		t.RejectUnknown()
		sc.Kinds = append(sc.Kinds, kind)
	}
}

func readTraits(t *tomlfile.Table) machine.Traits {
	return machine.Traits{
		Cores:            t.Float("cores", 2, 0.1, 1024),
		Speed:            t.Float("speed", 1, 0.01, 100),
		Workers:          int(t.Count("slots", 0, 0, 1e6)),
		QueueSize:        int(t.Count("queue", 1000, 0, 1e6)),
		ColdSpeed:        t.Float("cold_part", 1, 0.01, 1),
		WarmUpTime:       t.Duration("warm_in", 0, 0, 3600*policy.Second),
		CacheSize:        int(t.Count("keys", 0, 0, 1e6)),
		CacheDiscount:    t.Float("discount", 0, 0, 0.99),
		CacheColdTime:    t.Duration("forgets", 0, 0, 3600*policy.Second),
		CongestAt:        int(t.Count("choke_at", 0, 0, 1e6)),
		CongestedSpeed:   t.Float("choked", 0.5, 0.01, 1),
		OverloadMultiple: t.Float("fall", 0, 0, 1000),
		OverloadWindow:   t.Duration("fall_in", policy.Second, policy.Millisecond, 60*policy.Second),
		ConnectWork:      t.Duration("connect", 0, 0, policy.Second),
		FreeConnections:  int(t.Count("connections", 0, 0, 1e6)),
		MaxConnections:   int(t.Count("max_connections", 0, 0, 1e6)),
		ConnectionCost:   t.Float("tax", 0, 0, 10),
	}
}

func (sc *Scenario) readLoad(root *tomlfile.Table) {
	t := root.Table("load")
	sc.Load = Load{
		Rate:          t.Float("rate", 0, 0, maxRate),
		CapacityShare: t.Float("part", 0, 0, 20),
		Swing:         t.Float("swing", 0, 0, 1),
		Period:        t.Duration("period", 60*policy.Second, policy.Second, day),
		RateVariation: t.Float("bursts", 0, 0, 5),
		ZoneSkew:      t.Float("zone_skew", 0, 0, 0.99),
		Keys:          int(t.Count("keys", 1000, 1, 1e8)),
		Zipf:          t.Float("zipf", 0.9, 0, 5),
		Keyless:       t.Float("keyless", 0, 0, 1),
	}
	if (sc.Load.Rate == 0) == (sc.Load.CapacityShare == 0) {
		t.Fault("rate", "rate "+t.Found("rate")+" and part "+t.Found("part"), "exactly one of them over 0")
	}
	t.RejectUnknown()
}

func (sc *Scenario) readClients(root *tomlfile.Table) {
	t := root.Table("clients")
	sc.Clients = Clients{
		Retries:          int(t.Count("retries", 0, 0, 10)),
		HonourRetryAfter: t.Float("heed", 1, 0, 1),
		Backoff:          t.Duration("backoff", 100*policy.Millisecond, policy.Millisecond, 60*policy.Second),
		MarkRetries:      t.Bool("marks", true),
	}
	t.RejectUnknown()
}

func (sc *Scenario) readNetwork(root *tomlfile.Table) {
	const ms = policy.Millisecond
	t := root.Table("network")
	sc.Network = Network{
		Near:           t.Duration("near", ms/5, 0, policy.Second),
		Far:            t.Duration("far", 5*ms, 0, 5*policy.Second),
		Client:         t.Duration("client", ms/20, 0, policy.Second),
		Jitter:         t.Float("jitter", 0, 0, 3),
		Handshakes:     int(t.Count("handshakes", 1, 0, 10)),
		ConnectTimeout: t.Duration("connect", 200*ms, ms, 60*policy.Second),
		IdleTimeout:    t.Duration("idle", 60*policy.Second, 10*ms, 3600*policy.Second),
	}
	t.RejectUnknown()
}

func (sc *Scenario) readDiscovery(root *tomlfile.Table) {
	t := root.Table("discovery")
	sc.Discovery = Discovery{
		AnnounceDelay: readRange(t.Table("delay"), 200*policy.Millisecond, policy.Second),
		DetectDelay:   readRange(t.Table("silent"), 5*policy.Second, 10*policy.Second),
		Interval:      t.Duration("step", 0, 0, 60*policy.Second),
		Polled:        t.Bool("asked", false),
	}
	t.RejectUnknown()
}

// readRange reads the minimum and maximum of a random delay. from and to are the defaults.
func readRange(t *tomlfile.Table, from, to policy.Time) [2]policy.Time {
	limits := [2]policy.Time{
		t.Duration("from", from, 0, 600*policy.Second),
		t.Duration("to", to, 0, 600*policy.Second),
	}
	if limits[0] > limits[1] {
		t.Fault("from", t.Found("from"), "at most the value of to, "+t.Found("to"))
	}
	t.RejectUnknown()
	return limits
}

func (sc *Scenario) readLimits(root *tomlfile.Table) {
	t := root.Table("allow")
	sc.Limits = Limits{
		MaxAttempts:    int(t.Count("pushes", 3, 1, 8)),
		MayCancel:      t.Bool("cancel", true),
		MaxRetryAfter:  t.Duration("advice", 3*policy.Second, 0, 3600*policy.Second),
		CrossZonePrice: t.Float("cross_price", 0, 0, 1),
		Grace:          t.Duration("grace", policy.Second, 0, 60*policy.Second),
	}
	t.RejectUnknown()
}

func (sc *Scenario) readClasses(root *tomlfile.Table) {
	for _, t := range root.Tables("offering") {
		t.Require("name", "quoted_time", "cut_off", "work")
		class := Class{
			Share:  t.Float("share", 1, 1e-6, 1e6),
			Work:   t.Duration("work", policy.Millisecond, 1000, 600*policy.Second),
			IO:     t.Duration("io", 0, 0, 600*policy.Second),
			Spread: t.Float("spread", 0, 0, 5),
		}
		class.Class = policy.Class{
			Name:        t.String("name", ""),
			Value:       t.Float("credit", 1, 1e-6, 1e9),
			LateValue:   t.Float("late_credit", 0, 0, 1),
			Target:      t.Duration("quoted_time", policy.Second, policy.Millisecond, day),
			Idempotency: policy.Idempotency(t.OneOf("repeats", 0, "reissuable", "numbered", "at-most-once")),
			Group:       policy.Group(t.OneOf("group", 0, "all", "zone", "pod")),
			Window:      t.Duration("window", 0, 0, day),
		}
		if class.Deadline = t.Duration("cut_off", class.Target, policy.Millisecond,
			day); class.Deadline < class.Target {
			t.Fault("cut_off", t.Found("cut_off"), "at least quoted_time")
		}
		if class.Idempotency == policy.Keyed {
			t.Require("window")
		}
		t.RejectUnknown()
		sc.Classes = append(sc.Classes, class)
	}
	if len(sc.Classes) == 0 && root.Has("offering") {
		root.Fault("offering", "none", "at least one offering")
	}
}

func (sc *Scenario) readTenants(root *tomlfile.Table) {
	t := root.Table("franchises")
	sc.OverQuotaValue = t.Float("beyond_credit", 0.05, 0, 1)
	t.RejectUnknown()
	for _, t := range root.Tables("franchise") {
		t.Require("name")
		tenant := Tenant{
			Name:       t.String("name", ""),
			Share:      t.Float("share", 1, 1e-6, 1e6),
			Quota:      t.Float("quota", 0, 0, maxRate),
			QuotaShare: t.Float("quota_part", 0, 0, 20),
		}
		if (tenant.Quota == 0) == (tenant.QuotaShare == 0) {
			t.Fault("quota", "quota "+t.Found("quota")+" and quota_part "+t.Found("quota_part"),
				"exactly one of them over 0")
		}
		t.RejectUnknown()
		sc.Tenants = append(sc.Tenants, tenant)
	}
}

func (sc *Scenario) readFault(t *tomlfile.Table) {
	t.Require("kind", "at")
	f := Fault{
		Kind:             FaultKind(t.OneOf("kind", 0, faultNames[:]...)),
		At:               t.Duration("at", 0, 0, day),
		Duration:         t.Duration("for", 0, 0, day),
		Share:            t.Float("part", 0, 0, 1),
		Count:            int(t.Count("count", 0, 0, maxEndpoints)),
		Zone:             policy.Zone(t.String("zone", "")),
		Pod:              int(t.Count("pod", -1, 0, maxEndpoints)),
		Size:             t.Float("size", 0, 0, 1e6),
		Every:            t.Duration("every", 0, 0, day),
		Cold:             t.Bool("cold", true),
		IncludeInstances: t.Bool("sidecars", false),
	}
	if t.Has("server") {
		f.Endpoints = []int{int(t.Count("server", 0, 0, int64(sc.Endpoints)-1))}
	}
	sc.checkFault(t, &f)
	f.checkKind(t)
	t.RejectUnknown()
	sc.Faults = append(sc.Faults, f)
}

// checkFault checks a fault against the scenario's length and fleet.
func (sc *Scenario) checkFault(t *tomlfile.Table, f *Fault) {
	if f.At > sc.Length {
		t.Fault("at", t.Found("at"), "at most the length of the scenario")
	}
	if f.Zone != "" && !contains(sc.Zones, f.Zone) {
		t.Fault("zone", t.Found("zone"), fmt.Sprintf("one of %v", sc.Zones))
	}
	if pods := (sc.Endpoints + sc.PodSize - 1) / sc.PodSize; f.Pod >= pods {
		t.Fault("pod", t.Found("pod"), fmt.Sprintf("0 to %d", pods-1))
	}
}

// checkKind checks that the file sets the values that a fault of this kind needs.
func (f *Fault) checkKind(t *tomlfile.Table) {
	switch f.Kind {
	case ZoneLost:
		t.Require("zone", "for")
	case Slow, AllSlow, PodThrottled, Burst:
		t.Require("size", "for")
		if f.Size <= 0 {
			t.Fault("size", t.Found("size"), "over 0")
		}
	case Errors, HotKey:
		t.Require("size", "for")
		if f.Size > 1 {
			t.Fault("size", t.Found("size"), "a part, from 0 to 1")
		}
	case Silent, ListBehind, SidecarRestart, Crash:
		t.Require("for")
	case Pauses:
		t.Require("size", "every", "for")
		if f.Every <= 0 {
			t.Fault("every", t.Found("every"), "over 0")
		}
	case Shrink, Grow:
		t.Require("count")
	case Rolling:
		t.Require("every", "for")
	}
}
