// Package installation reads the product's own configuration: what an installation that stands alone is told in place of the
// platform's JSON. It reads bytes and knows no files and no sockets. docs/configuration.md has every setting.
package config

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/tomlfile"
	"pepperlead/policy"
)

// most is how long a configuration may be, in bytes.
const most = 1 << 20

// Kind is where servers come from.
type Kind uint8

const (
	Files     Kind = iota // watched list files
	Discovery             // the platform's
	Fixed                 // the configuration itself
)

// Installation is what a configuration says.
type Installation struct {
	Name        string
	Seed        uint64
	Seeded      bool   // else the seed is to be drawn
	Listen      string // for HTTP
	Anonymous   bool   // tickets may come without an id of their own
	Admin       string // the operators' door; "": none
	Pages       string // counters and metrics over HTTP; "": none
	Descriptors int
	MemoryMB    int
	ConnectIn   policy.Time
	From        net.IP // connections to servers and discovery leave from there; nil: from whichever address the kernel picks
	IdleFor     policy.Time
	Leave       policy.Time // after the first sign of the end, for tickets in hand
	Campaign    *policy.Settings
	CutOffs     []policy.Time // by offering
	Default     string        // offering of tickets that name none
	Methods     [][]string    // by offering: of RPCs, as /package.Service/Method, /package.Service/* or *
	KeyMetadata string        // RPC: what a call is about stands in its metadata under this name
	KeyField    string        // RPC: or else in the request's field of this name

	Kind      Kind
	Discovery string                // address
	Patterns  []string              // of list files
	Terms     endpointfiles.Terms   // that they are held to
	Servers   []endpointfiles.Entry // of the configuration itself
	State     string                // folder; "": nothing is kept

	Peers Peers // sidecars that this one tells of itself

	LogLevel  string
	LogFormat string
}

// Peers are the sidecars of one cluster.
type Peers struct {
	Listen, Advertise string // "": there are none
	Cluster           string
	Join              []string
	Key               string // file
	Agree             bool   // rules come from the cluster's keepers, and the file's own only until there are some
}

// Read reads a daemon's configuration. The error has a line for each fault. Paths in it are taken from the file's own folder.
func Read(file string, text []byte) (*Installation, error) { return read(file, text, true) }

// ReadClient reads the configuration of a client that has the decisions within: the same but for fronts, which it needs none of.
func ReadClient(file string, text []byte) (*Installation, error) { return read(file, text, false) }

func read(file string, text []byte, fronts bool) (*Installation, error) {
	doc, root := tomlfile.Parse(file, text, most)
	in := &Installation{}
	if doc.Err() == nil {
		if fronts {
			root.Require("front")
		}
		in.read(root, filepath.Dir(file))
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return in, nil
}

func (in *Installation) read(root *tomlfile.Table, folder string) {
	root.Require("offering", "source")
	c := &policy.Settings{}
	in.Campaign = c
	in.instance(root.Table("instance"))
	fronts := root.Table("front")
	fronts.Require("http")
	http := fronts.Table("http")
	in.Listen = address(http, "listen", true)
	in.Anonymous = http.OneOf("request_id", 1, "demanded", "optional") == 1
	http.Done()
	fronts.Done()
	taken := map[string]string{in.Listen: "the front's"}
	for _, one := range []struct {
		name string
		at   *string
	}{{"admin", &in.Admin}, {"pages", &in.Pages}} {
		t := root.Table(one.name)
		if *one.at = address(t, "listen", false); *one.at != "" {
			if whose, twice := taken[*one.at]; twice {
				t.Fault("listen", t.Found("listen"), "another address than "+whose)
			}
			taken[*one.at] = "that of [" + one.name + "]"
		}
		t.Done()
	}
	in.peers(root, folder, taken)
	in.limits(root.Table("limits"))
	in.cold(root.Table("cold"))
	offerings := root.Tables("offering")
	if root.Has("offering") && len(offerings) == 0 {
		root.Fault("offering", root.Found("offering"), "one offering at least")
	}
	in.offerings(offerings)
	if in.Leave == 0 {
		for _, cutOff := range in.CutOffs {
			in.Leave = max(in.Leave, min(cutOff, mostLeave))
		}
	}
	in.franchises(root)
	in.source(root.Table("source"), folder)
	state := root.Table("state")
	if in.State = state.Text("folder", ""); in.State != "" {
		in.State = from(folder, in.State)
	}
	state.Done()
	rpc := root.Table("rpc")
	in.KeyMetadata = strings.ToLower(rpc.Text("key_metadata", ""))
	in.KeyField = rpc.Text("key_field", "")
	rpc.Done()
	in.LogLevel, in.LogFormat = logging(root)
	root.Done()
}

func logging(root *tomlfile.Table) (level, format string) {
	log := root.Table("log")
	levels, formats := []string{"debug", "info", "warning", "error"}, []string{"text", "json"}
	level, format = levels[log.OneOf("level", 1, levels...)], formats[log.OneOf("format", 0, formats...)]
	log.Done()
	return level, format
}

func from(folder, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

func address(t *tomlfile.Table, key string, needed bool) string {
	if needed {
		t.Require(key)
	}
	at := t.Text(key, "")
	if at != "" && !endpointfiles.Address(at) {
		t.Fault(key, t.Found(key), "an IP address and port, as 127.0.0.1:9000 or [::1]:9000")
	}
	return at
}

// peers reads who is to be met. Each needs a name of its own, so there is none to fall back on.
func (in *Installation) peers(root *tomlfile.Table, folder string, taken map[string]string) {
	t, p := root.Table("peers"), &in.Peers
	if root.Has("peers") {
		t.Require("listen", "cluster", "key_file")
		if of := root.Table("instance"); !of.Has("name") {
			t.Fault("listen", t.Found("listen"), "only with a name in [instance] that no other sidecar has")
		}
	}
	if p.Listen = address(t, "listen", false); p.Listen != "" && taken[p.Listen] != "" {
		t.Fault("listen", t.Found("listen"), "another address than "+taken[p.Listen])
	}
	p.Advertise = address(t, "advertise", false)
	p.Cluster = t.Text("cluster", "")
	if p.Key = t.Text("key_file", ""); p.Key != "" {
		p.Key = from(folder, p.Key)
	}
	for _, at := range t.Texts("join") {
		if !endpointfiles.Address(at) {
			t.Fault("join", at, "IP addresses and ports, as 10.0.0.7:9003")
		}
		p.Join = append(p.Join, at)
	}
	p.Agree = t.Yes("agree", false)
	t.Done()
}

func (in *Installation) cold(t *tomlfile.Table) {
	c := in.Campaign
	c.ColdCapacity = t.Real("share", 0.2, 0.001, 1)
	c.ColdTime = t.Span("time", 24*policy.Second, 0, 3600*policy.Second)
	c.OverloadMultiple = t.Real("fall", 3, 1, 1000)
	t.Done()
}

func (in *Installation) instance(t *tomlfile.Table) {
	c := in.Campaign
	in.Name = t.Text("name", "pepperlead")
	c.Zone = policy.Zone(t.Text("zone", ""))
	zones := t.Texts("zones")
	c.Zones = max(1, len(zones))
	seen := len(zones) == 0
	for _, z := range zones {
		seen = seen || z == string(c.Zone)
	}
	if !seen {
		t.Fault("zone", t.Found("zone"), "one of the zones, "+strings.Join(zones, ", "))
	}
	c.Instances = int(t.Count("instances", 1, 1, 1<<16))
	c.CrossZonePrice = t.Real("cross_price", 0, 0, 1)
	c.FixedWeights = t.OneOf("weights", 0, "nominal", "live") == 0
	if seed := t.Text("seed", ""); seed != "" {
		var err error
		if in.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			t.Fault("seed", t.Found("seed"), "a hexadecimal number of 64 bits")
		}
		in.Seeded = true
	}
	t.Done()
}

func (in *Installation) limits(t *tomlfile.Table) {
	c := in.Campaign
	in.Descriptors = int(t.Count("descriptors", 1024, 64, 1<<20))
	in.MemoryMB = int(t.Count("memory_mb", 192, 32, 1<<16))
	in.ConnectIn = t.Span("connect", policy.Second/5, policy.Millisecond, 60*policy.Second)
	if from := t.Text("from", ""); from != "" {
		if in.From = net.ParseIP(from); in.From == nil || in.From.IsUnspecified() {
			t.Fault("from", t.Found("from"), "an IP address of this machine")
		}
	}
	in.IdleFor = t.Span("idle", 60*policy.Second, policy.Second/10, 3600*policy.Second)
	in.Leave = t.Span("leave", 0, policy.Second/10, 3600*policy.Second)
	c.MaxAttempts = int(t.Count("pushes", 3, 1, 8))
	c.StreamsPerConnection = int(t.Count("streams", 1, 1, 1<<16))
	c.MayCancel = t.Yes("cancel", true)
	c.MaxRetryAfter = t.Span("advice", 3*policy.Second, 0, 3600*policy.Second)
	c.Tick = t.Span("tick", 5*policy.Millisecond, policy.Millisecond, 100*policy.Millisecond)
	t.Done()
}

// mostLeave is how long the end may take where nothing else is said; supervisors kill after 90 s or less.
const mostLeave = 30 * policy.Second

// marginTicks is how long before a cut-off the module answers, in ticks; a shorter cut-off would leave no time at all.
const marginTicks = 4

func (in *Installation) offerings(tables []*tomlfile.Table) {
	c := in.Campaign
	first := map[string]int{}
	for _, t := range tables {
		t.Require("name", "quoted_time", "cut_off")
		o := policy.Class{
			Name:      t.Text("name", ""),
			Value:     t.Real("credit", 1, 1e-6, 1e9),
			LateValue: t.Real("late_credit", 0, 0, 1),
			Target:    t.Span("quoted_time", policy.Second, policy.Millisecond, 3600*policy.Second),
			Idempotency: policy.Idempotency(t.OneOf("repeats", int(policy.NonIdempotent), "reissuable", "numbered",
				"at-most-once")),
		}
		if strings.HasPrefix(o.Name, "_") || strings.ContainsFunc(o.Name, func(r rune) bool {
			return r <= ' ' || r >= 0x7f || strings.ContainsRune("/?#", r)
		}) {
			t.Fault("name", t.Found("name"), "printable ASCII without / ? # and spaces, and no _ at its front: it is part of a path")
		}
		if at, twice := first[o.Name]; twice && o.Name != "" {
			t.Fault("name", t.Found("name"), fmt.Sprintf("a name of its own: line %d has it", at))
		}
		first[o.Name] = t.Line("name")
		cutOff := t.Span("cut_off", max(o.Target, marginTicks*c.Tick), marginTicks*c.Tick, 3600*policy.Second)
		if o.Deadline = cutOff; cutOff < o.Target {
			t.Fault("cut_off", t.Found("cut_off"), fmt.Sprintf("at least the quoted time, %v", time.Duration(o.Target)))
		}
		numbered := o.Idempotency == policy.Keyed
		if numbered {
			t.Require("group", "window")
		}
		o.Group = policy.Group(t.OneOf("group", int(policy.GroupAll), "all", "zone", "pod"))
		o.Window = t.Span("window", 0, policy.Millisecond, 24*3600*policy.Second)
		for _, key := range []string{"group", "window"} {
			if !numbered && t.Has(key) {
				t.Fault(key, t.Found(key), `nothing: only with repeats = "numbered"`)
			}
		}
		methods := t.Texts("methods")
		for _, m := range methods {
			if service, method, ok := strings.Cut(strings.TrimPrefix(m, "/"), "/"); m != "*" && (m[0] != '/' || !ok || service == "" ||
				method == "" || strings.Contains(service, "*")) {
				t.Fault("methods", strconv.Quote(m), "/package.Service/Method, /package.Service/* or *")
			} else if at, twice := first["method "+m]; twice {
				t.Fault("methods", strconv.Quote(m), fmt.Sprintf("each method once: line %d has it", at))
			}
			first["method "+m] = t.Line("methods")
		}
		in.Methods = append(in.Methods, methods)
		if t.Yes("default", false) {
			if in.Default != "" {
				t.Fault("default", "true", "true for one offering; "+in.Default+" has it")
			}
			in.Default = o.Name
		}
		t.Done()
		c.Classes = append(c.Classes, o)
		in.CutOffs = append(in.CutOffs, cutOff)
	}
}

func (in *Installation) franchises(root *tomlfile.Table) {
	c := in.Campaign
	terms := root.Table("franchises")
	c.OverQuotaValue = terms.Real("beyond_credit", 0.05, 0, 1)
	terms.Done()
	first := map[string]int{}
	for _, t := range root.Tables("franchise") {
		t.Require("name", "quota")
		f := policy.Tenant{Name: t.Text("name", ""), Quota: t.Real("quota", 1, 1e-6, 1e9)}
		if at, twice := first[f.Name]; twice && f.Name != "" {
			t.Fault("name", t.Found("name"), fmt.Sprintf("a name of its own: line %d has it", at))
		}
		first[f.Name] = t.Line("name")
		t.Done()
		c.TotalQuota += f.Quota
		c.Tenants = append(c.Tenants, f)
	}
}

// ofFiles are the keys that speak of list files alone.
var ofFiles = []string{"files", "may_take_away", "settle", "missing_for", "remember", "sealed"}

func (in *Installation) source(t *tomlfile.Table, folder string) {
	t.Require("kind")
	in.Kind = Kind(t.OneOf("kind", int(Files), "files", "discovery", "fixed"))
	in.Discovery = address(t, "address", in.Kind == Discovery && t.Has("kind"))
	for _, p := range t.Texts("files") {
		if _, err := filepath.Match(p, ""); err != nil {
			t.Fault("files", fmt.Sprintf("%q", p), "paths and patterns with * ? and [a-z]")
		}
		in.Patterns = append(in.Patterns, from(folder, p))
	}
	in.Terms = endpointfiles.Terms{
		MayTakeAway: t.Real("may_take_away", 0.5, 0, 1),
		Settle:      t.Span("settle", 200*policy.Millisecond, 0, 60*policy.Second),
		MissingFor:  t.Span("missing_for", 5*policy.Second, 0, 3600*policy.Second),
		Remember:    t.Span("remember", 24*3600*policy.Second, policy.Second, 366*24*3600*policy.Second),
		Sealed:      t.Yes("sealed", false),
	}
	for _, s := range t.Tables("server") {
		in.Servers = append(in.Servers, endpointfiles.ReadServer(s))
	}
	if t.Has("kind") {
		in.oneSource(t)
	}
	t.Done()
}

// oneSource finds keys of other kinds of source, which would be read and do nothing.
func (in *Installation) oneSource(t *tomlfile.Table) {
	kinds := []struct {
		name   string
		needed string
		keys   []string
	}{{"files", "files", ofFiles}, {"discovery", "address", []string{"address"}}, {"fixed", "server", []string{"server"}}}
	for i, k := range kinds {
		if Kind(i) == in.Kind {
			t.Require(k.needed)
			if t.Has(k.needed) && len(in.Patterns)+len(in.Servers) == 0 && in.Kind != Discovery {
				t.Fault(k.needed, t.Found(k.needed), "one at least")
			}
			continue
		}
		for _, key := range k.keys {
			if t.Has(key) {
				t.Fault(key, t.Found(key), fmt.Sprintf("nothing: only with kind = %q", k.name))
			}
		}
	}
	if in.Kind == Fixed {
		if why := endpointfiles.Join([]endpointfiles.File{{Name: "source", Entries: in.Servers}}); why != "" {
			t.Fault("server", why, "each id once, and one ready server at an address")
		}
	}
}
