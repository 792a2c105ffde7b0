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

// SourceKind is where servers come from.
type SourceKind uint8

const (
	Files     SourceKind = iota // watched list files
	Discovery                   // the platform's
	Fixed                       // the configuration itself
)

// Config is what a configuration says.
type Config struct {
	Name           string
	Seed           uint64
	Seeded         bool   // else the seed is to be drawn
	Listen         string // for HTTP
	Anonymous      bool   // tickets may come without an id of their own
	AdminAddress   string // the operators' door; "": none
	MetricsAddress string // counters and metrics over HTTP; "": none
	Descriptors    int
	MemoryMB       int
	ConnectTimeout policy.Time
	SourceIP       net.IP // connections to servers and discovery leave from there; nil: from whichever address the kernel picks
	IdleTimeout    policy.Time
	ShutdownTime   policy.Time // after the first sign of the end, for tickets in hand
	Settings       *policy.Settings
	Deadlines      []policy.Time // by offering
	DefaultClass   string        // offering of tickets that name none
	Methods        [][]string    // by offering: of RPCs, as /package.Service/Method, /package.Service/* or *
	KeyMetadata    string        // RPC: what a call is about stands in its metadata under this name
	KeyField       string        // RPC: or else in the request's field of this name

	SourceKind     SourceKind
	Discovery      string                // address
	Patterns       []string              // of list files
	Terms          endpointfiles.Limits  // that they are held to
	Endpoints      []endpointfiles.Entry // of the configuration itself
	StateDirectory string                // folder; "": nothing is kept

	Peers Peers // sidecars that this one tells of itself

	LogLevel  string
	LogFormat string
}

// Peers are the sidecars of one cluster.
type Peers struct {
	Listen, Advertise string // "": there are none
	Cluster           string
	Join              []string
	KeyFile           string // file
	AgreedRules       bool   // rules come from the cluster's keepers, and the file's own only until there are some
}

// Read reads a daemon's configuration. The error has a line for each fault. Paths in it are taken from the file's own folder.
func Read(file string, text []byte) (*Config, error) { return read(file, text, true) }

// ReadClient reads the configuration of a client that has the decisions within: the same but for fronts, which it needs none of.
func ReadClient(file string, text []byte) (*Config, error) { return read(file, text, false) }

func read(file string, text []byte, fronts bool) (*Config, error) {
	doc, root := tomlfile.Parse(file, text, most)
	in := &Config{}
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

func (in *Config) read(root *tomlfile.Table, folder string) {
	root.Require("offering", "source")
	c := &policy.Settings{}
	in.Settings = c
	in.instance(root.Table("instance"))
	fronts := root.Table("front")
	fronts.Require("http")
	http := fronts.Table("http")
	in.Listen = address(http, "listen", true)
	in.Anonymous = http.OneOf("request_id", 1, "demanded", "optional") == 1
	http.RejectUnknown()
	fronts.RejectUnknown()
	taken := map[string]string{in.Listen: "the front's"}
	for _, one := range []struct {
		name string
		at   *string
	}{{"admin", &in.AdminAddress}, {"pages", &in.MetricsAddress}} {
		t := root.Table(one.name)
		if *one.at = address(t, "listen", false); *one.at != "" {
			if whose, twice := taken[*one.at]; twice {
				t.Fault("listen", t.Found("listen"), "another address than "+whose)
			}
			taken[*one.at] = "that of [" + one.name + "]"
		}
		t.RejectUnknown()
	}
	in.peers(root, folder, taken)
	in.limits(root.Table("limits"))
	in.cold(root.Table("cold"))
	offerings := root.Tables("offering")
	if root.Has("offering") && len(offerings) == 0 {
		root.Fault("offering", root.Found("offering"), "one offering at least")
	}
	in.offerings(offerings)
	if in.ShutdownTime == 0 {
		for _, cutOff := range in.Deadlines {
			in.ShutdownTime = max(in.ShutdownTime, min(cutOff, mostLeave))
		}
	}
	in.franchises(root)
	in.source(root.Table("source"), folder)
	state := root.Table("state")
	if in.StateDirectory = state.String("folder", ""); in.StateDirectory != "" {
		in.StateDirectory = from(folder, in.StateDirectory)
	}
	state.RejectUnknown()
	rpc := root.Table("rpc")
	in.KeyMetadata = strings.ToLower(rpc.String("key_metadata", ""))
	in.KeyField = rpc.String("key_field", "")
	rpc.RejectUnknown()
	in.LogLevel, in.LogFormat = logging(root)
	root.RejectUnknown()
}

func logging(root *tomlfile.Table) (level, format string) {
	log := root.Table("log")
	levels, formats := []string{"debug", "info", "warning", "error"}, []string{"text", "json"}
	level, format = levels[log.OneOf("level", 1, levels...)], formats[log.OneOf("format", 0, formats...)]
	log.RejectUnknown()
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
	at := t.String(key, "")
	if at != "" && !endpointfiles.ValidAddress(at) {
		t.Fault(key, t.Found(key), "an IP address and port, as 127.0.0.1:9000 or [::1]:9000")
	}
	return at
}

// peers reads who is to be met. Each needs a name of its own, so there is none to fall back on.
func (in *Config) peers(root *tomlfile.Table, folder string, taken map[string]string) {
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
	p.Cluster = t.String("cluster", "")
	if p.KeyFile = t.String("key_file", ""); p.KeyFile != "" {
		p.KeyFile = from(folder, p.KeyFile)
	}
	for _, at := range t.Strings("join") {
		if !endpointfiles.ValidAddress(at) {
			t.Fault("join", at, "IP addresses and ports, as 10.0.0.7:9003")
		}
		p.Join = append(p.Join, at)
	}
	p.AgreedRules = t.Bool("agree", false)
	t.RejectUnknown()
}

func (in *Config) cold(t *tomlfile.Table) {
	c := in.Settings
	c.ColdCapacity = t.Float("share", 0.2, 0.001, 1)
	c.ColdTime = t.Duration("time", 24*policy.Second, 0, 3600*policy.Second)
	c.OverloadMultiple = t.Float("fall", 3, 1, 1000)
	t.RejectUnknown()
}

func (in *Config) instance(t *tomlfile.Table) {
	c := in.Settings
	in.Name = t.String("name", "pepperlead")
	c.Zone = policy.Zone(t.String("zone", ""))
	zones := t.Strings("zones")
	c.Zones = max(1, len(zones))
	seen := len(zones) == 0
	for _, z := range zones {
		seen = seen || z == string(c.Zone)
	}
	if !seen {
		t.Fault("zone", t.Found("zone"), "one of the zones, "+strings.Join(zones, ", "))
	}
	c.Instances = int(t.Count("instances", 1, 1, 1<<16))
	c.CrossZonePrice = t.Float("cross_price", 0, 0, 1)
	c.FixedWeights = t.OneOf("weights", 0, "nominal", "live") == 0
	if seed := t.String("seed", ""); seed != "" {
		var err error
		if in.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			t.Fault("seed", t.Found("seed"), "a hexadecimal number of 64 bits")
		}
		in.Seeded = true
	}
	t.RejectUnknown()
}

func (in *Config) limits(t *tomlfile.Table) {
	c := in.Settings
	in.Descriptors = int(t.Count("descriptors", 1024, 64, 1<<20))
	in.MemoryMB = int(t.Count("memory_mb", 192, 32, 1<<16))
	in.ConnectTimeout = t.Duration("connect", policy.Second/5, policy.Millisecond, 60*policy.Second)
	if from := t.String("from", ""); from != "" {
		if in.SourceIP = net.ParseIP(from); in.SourceIP == nil || in.SourceIP.IsUnspecified() {
			t.Fault("from", t.Found("from"), "an IP address of this machine")
		}
	}
	in.IdleTimeout = t.Duration("idle", 60*policy.Second, policy.Second/10, 3600*policy.Second)
	in.ShutdownTime = t.Duration("leave", 0, policy.Second/10, 3600*policy.Second)
	c.MaxAttempts = int(t.Count("pushes", 3, 1, 8))
	c.StreamsPerConnection = int(t.Count("streams", 1, 1, 1<<16))
	c.MayCancel = t.Bool("cancel", true)
	c.MaxRetryAfter = t.Duration("advice", 3*policy.Second, 0, 3600*policy.Second)
	c.Tick = t.Duration("tick", 5*policy.Millisecond, policy.Millisecond, 100*policy.Millisecond)
	t.RejectUnknown()
}

// mostLeave is how long the end may take where nothing else is said; supervisors kill after 90 s or less.
const mostLeave = 30 * policy.Second

// marginTicks is how long before a cut-off the module answers, in ticks; a shorter cut-off would leave no time at all.
const marginTicks = 4

func (in *Config) offerings(tables []*tomlfile.Table) {
	c := in.Settings
	first := map[string]int{}
	for _, t := range tables {
		t.Require("name", "quoted_time", "cut_off")
		o := policy.Class{
			Name:      t.String("name", ""),
			Value:     t.Float("credit", 1, 1e-6, 1e9),
			LateValue: t.Float("late_credit", 0, 0, 1),
			Target:    t.Duration("quoted_time", policy.Second, policy.Millisecond, 3600*policy.Second),
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
		cutOff := t.Duration("cut_off", max(o.Target, marginTicks*c.Tick), marginTicks*c.Tick, 3600*policy.Second)
		if o.Deadline = cutOff; cutOff < o.Target {
			t.Fault("cut_off", t.Found("cut_off"), fmt.Sprintf("at least the quoted time, %v", time.Duration(o.Target)))
		}
		numbered := o.Idempotency == policy.Keyed
		if numbered {
			t.Require("group", "window")
		}
		o.Group = policy.Group(t.OneOf("group", int(policy.GroupAll), "all", "zone", "pod"))
		o.Window = t.Duration("window", 0, policy.Millisecond, 24*3600*policy.Second)
		for _, key := range []string{"group", "window"} {
			if !numbered && t.Has(key) {
				t.Fault(key, t.Found(key), `nothing: only with repeats = "numbered"`)
			}
		}
		methods := t.Strings("methods")
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
		if t.Bool("default", false) {
			if in.DefaultClass != "" {
				t.Fault("default", "true", "true for one offering; "+in.DefaultClass+" has it")
			}
			in.DefaultClass = o.Name
		}
		t.RejectUnknown()
		c.Classes = append(c.Classes, o)
		in.Deadlines = append(in.Deadlines, cutOff)
	}
}

func (in *Config) franchises(root *tomlfile.Table) {
	c := in.Settings
	terms := root.Table("franchises")
	c.OverQuotaValue = terms.Float("beyond_credit", 0.05, 0, 1)
	terms.RejectUnknown()
	first := map[string]int{}
	for _, t := range root.Tables("franchise") {
		t.Require("name", "quota")
		f := policy.Tenant{Name: t.String("name", ""), Quota: t.Float("quota", 1, 1e-6, 1e9)}
		if at, twice := first[f.Name]; twice && f.Name != "" {
			t.Fault("name", t.Found("name"), fmt.Sprintf("a name of its own: line %d has it", at))
		}
		first[f.Name] = t.Line("name")
		t.RejectUnknown()
		c.TotalQuota += f.Quota
		c.Tenants = append(c.Tenants, f)
	}
}

// ofFiles are the keys that speak of list files alone.
var ofFiles = []string{"files", "may_take_away", "settle", "missing_for", "remember", "sealed"}

func (in *Config) source(t *tomlfile.Table, folder string) {
	t.Require("kind")
	in.SourceKind = SourceKind(t.OneOf("kind", int(Files), "files", "discovery", "fixed"))
	in.Discovery = address(t, "address", in.SourceKind == Discovery && t.Has("kind"))
	for _, p := range t.Strings("files") {
		if _, err := filepath.Match(p, ""); err != nil {
			t.Fault("files", fmt.Sprintf("%q", p), "paths and patterns with * ? and [a-z]")
		}
		in.Patterns = append(in.Patterns, from(folder, p))
	}
	in.Terms = endpointfiles.Limits{
		MaxRemovedShare: t.Float("may_take_away", 0.5, 0, 1),
		SettleTime:      t.Duration("settle", 200*policy.Millisecond, 0, 60*policy.Second),
		MissingTime:     t.Duration("missing_for", 5*policy.Second, 0, 3600*policy.Second),
		DrainMemory:     t.Duration("remember", 24*3600*policy.Second, policy.Second, 366*24*3600*policy.Second),
		RequireDigest:   t.Bool("sealed", false),
	}
	for _, s := range t.Tables("server") {
		in.Endpoints = append(in.Endpoints, endpointfiles.ReadEndpoint(s))
	}
	if t.Has("kind") {
		in.oneSource(t)
	}
	t.RejectUnknown()
}

// oneSource finds keys of other kinds of source, which would be read and do nothing.
func (in *Config) oneSource(t *tomlfile.Table) {
	kinds := []struct {
		name   string
		needed string
		keys   []string
	}{{"files", "files", ofFiles}, {"discovery", "address", []string{"address"}}, {"fixed", "server", []string{"server"}}}
	for i, k := range kinds {
		if SourceKind(i) == in.SourceKind {
			t.Require(k.needed)
			if t.Has(k.needed) && len(in.Patterns)+len(in.Endpoints) == 0 && in.SourceKind != Discovery {
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
	if in.SourceKind == Fixed {
		if why := endpointfiles.Join([]endpointfiles.File{{Name: "source", Entries: in.Endpoints}}); why != "" {
			t.Fault("server", why, "each id once, and one ready server at an address")
		}
	}
}
