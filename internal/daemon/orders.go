package daemon

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"pepperlead/internal/admin"
	"pepperlead/internal/clock"
	"pepperlead/internal/config"
	"pepperlead/internal/discovery"
	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/hotrestart"
	"pepperlead/internal/httpproxy"
	"pepperlead/internal/membership"
	"pepperlead/internal/platformsettings"
	"pepperlead/policy"
)

// Config are all that a configuration says: the sidecar's post, and what stands around it.
type Config struct {
	httpproxy.Config
	Discovery      string // address, where the platform's is followed
	Name           string
	inFile         string // the same as the file alone has it
	AdminAddress   string // address for operators; "": none
	MetricsAddress string // address of counters and metrics over HTTP; "": none
	LogLevel       string // "": as the command line says
	LogFormat      string
	Membership     *membership.Config // nil: none
	AgreedRules    bool               // rules come from the peers' keepers
}

// Read takes orders from the configuration in the file, and from what the environment says of the same. One that begins with
// { is the platform's JSON, any other the product's own.
func Read(path string, env func(string) string) (Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	return Parse(path, b, env)
}

// Parse takes orders from the text of such a file.
func Parse(path string, b []byte, env func(string) string) (Config, error) {
	if bytes.HasPrefix(bytes.TrimSpace(b), []byte("{")) {
		lines, err := JSONLines(path, b)
		if err != nil {
			return Config{}, err
		}
		o, err := platform(path, b, env)
		if err != nil {
			return o, placed(path, err, lines)
		}
		return o, nil
	}
	o, err := product(path, b)
	if err != nil {
		return o, err
	}
	return o, o.operators(o.AdminAddress, env)
}

// operators takes what the environment says of the door and of the listener, which goes first, and sets descriptors aside for them.
func (o *Config) operators(door string, env func(string) string) error {
	o.AdminAddress = door
	if at := env("GW_ADMIN"); at != "" {
		o.AdminAddress = at
	}
	if o.AdminAddress != "" && !endpointfiles.ValidAddress(o.AdminAddress) {
		return fmt.Errorf("admin: found %q, allowed an IP address and port, as 127.0.0.1:9002", o.AdminAddress)
	}
	if fd := env("GW_INHERITED_FD"); fd != "" {
		n, err := strconv.Atoi(fd)
		if err != nil || n < 3 {
			return fmt.Errorf("GW_INHERITED_FD: found %q, allowed the number of a descriptor", fd)
		}
		o.InheritedListener = n
	}
	if o.AdminAddress != "" {
		o.ReservedDescriptors += admin.CommandDescriptors
	}
	if o.together() {
		o.ReservedDescriptors += hotrestart.Descriptors
	}
	return nil
}

// together tells whether other processes may be one sidecar with this one, or something is to be kept for the next.
func (o *Config) together() bool { return o.AdminAddress != "" || o.InheritedListener > 0 }

// product makes orders of the product's own configuration.
func product(path string, b []byte) (Config, error) {
	in, err := config.Read(path, b)
	if err != nil {
		return Config{}, err
	}
	o := Config{Name: in.Name, AdminAddress: in.AdminAddress, MetricsAddress: in.MetricsAddress, Discovery: in.Discovery, LogLevel: in.LogLevel, LogFormat: in.LogFormat,
		Config: httpproxy.Config{Listen: in.Listen, Descriptors: in.Descriptors, MessageMemory: in.MemoryMB << 20,
			ConnectTimeout: in.ConnectTimeout, SourceIP: in.SourceIP, IdleTimeout: in.IdleTimeout, AcceptTime: acceptFor, Settings: in.Settings, Deadlines: in.Deadlines,
			DefaultClass: in.DefaultClass, Anonymous: in.Anonymous, StallAfter: StallAfter}}
	if o.Seed = rand.Uint64(); in.Seeded {
		o.Seed = instanceSeed(in.Seed, in.Listen)
	}
	o.ShutdownTime = in.ShutdownTime + acceptFor
	o.Source, o.ReservedDescriptors = source(in)
	if at := in.Peers; at.Listen != "" {
		key, err := membership.ReadKey(at.KeyFile)
		if err != nil {
			return o, fmt.Errorf("%s: peers.key_file: %w", path, err)
		}
		o.Membership = &membership.Config{Name: in.Name, Cluster: at.Cluster, Listen: at.Listen, Advertise: at.Advertise, Join: at.Join, Key: key,
			Zone: string(in.Settings.Zone)}
		o.AgreedRules = at.AgreedRules
		o.ReservedDescriptors += membership.Descriptors
	}
	if in.MetricsAddress != "" {
		o.Latency = admin.NewLatency(in.Settings.Classes)
		o.ReservedDescriptors += admin.MaxConnections + 2
	}
	return o, nil
}

// ClientConfig are what a client is told that has the decisions within.
type ClientConfig struct {
	Seed                uint64 // 0: to be drawn
	Settings            *policy.Settings
	Deadlines           []policy.Time
	Source              discovery.Source
	Methods             [][]string // by offering
	KeyMetadata         string
	KeyField            string
	LogLevel, LogFormat string
}

// ParseClient makes orders for a client of the product's configuration.
func ParseClient(name string, text []byte) (ClientConfig, error) {
	in, err := config.ReadClient(name, text)
	if err != nil {
		return ClientConfig{}, err
	}
	o := ClientConfig{Settings: in.Settings, Deadlines: in.Deadlines, Methods: in.Methods, KeyMetadata: in.KeyMetadata,
		KeyField: in.KeyField, LogLevel: in.LogLevel, LogFormat: in.LogFormat}
	if in.Seeded {
		o.Seed = instanceSeed(in.Seed, "")
	}
	o.Source, _ = source(in)
	return o, nil
}

// source makes the one that the configuration names, and tells how many descriptors it takes.
func source(in *config.Config) (s discovery.Source, descriptors int) {
	now := clock.New().Now
	switch in.SourceKind {
	case config.Files:
		s, descriptors = discovery.NewFiles(in.Patterns, in.Terms, now), watchDescriptors
	case config.Discovery:
		p := discovery.NewPlatform(in.Discovery, false)
		p.SourceIP, s = in.SourceIP, p
	case config.Fixed:
		s = &discovery.Fixed{Entries: in.Endpoints, Label: fmt.Sprintf("fixed: %+v", in.Endpoints)}
	}
	if in.StateDirectory != "" {
		s = discovery.NewCached(s, in.StateDirectory, now)
	}
	return s, descriptors
}

// platform makes orders of the platform's configuration.
func platform(path string, b []byte, env func(string) string) (Config, error) {
	var post Config
	var err error
	var told struct {
		Name      string `json:"Name"`
		Listen    string `json:"Listen"`
		Discovery string `json:"Discovery"`
		Seed      string `json:"Seed"`
		Admin     string `json:"Admin"`
		Limits    struct {
			Memory  float64 `json:"memory_mb"`
			Sockets int     `json:"Sockets"`
		} `json:"Limits"`
		Known    json.RawMessage `json:"Known"`
		Settings json.RawMessage `json:"Settings"`
	}
	if err := json.Unmarshal(b, &told); err != nil {
		return post, fmt.Errorf("%s: %w", path, err)
	}
	first := func(name, value string) string {
		if v := env(name); v != "" {
			return v
		}
		return value
	}
	post.Listen, post.Discovery = first("GW_LISTEN", told.Listen), first("GW_DISCOVERY", told.Discovery)
	post.inFile = told.Discovery
	var wrong error // all that is, a line each
	fault := func(form string, of ...any) { wrong = errors.Join(wrong, fmt.Errorf(form, of...)) }
	if post.Listen == "" || post.Discovery == "" {
		fault("listen or discovery: found nothing, allowed an address each")
	}
	if post.Seed, err = strconv.ParseUint(told.Seed, 16, 64); err != nil {
		fault("seed: found %q, allowed a hexadecimal number of 64 bits", told.Seed)
	}
	if told.Limits.Sockets < leastSockets {
		fault("limits.sockets: found %d, allowed a number from %d up", told.Limits.Sockets, leastSockets)
	}
	if !(told.Limits.Memory >= leastMemory) {
		fault("limits.memory_mb: found %v, allowed a number from %d up", told.Limits.Memory, leastMemory)
	}
	values := &platformsettings.Values{Text: map[string]string{}}
	if err := flatten(values.Text, "", told.Settings); err != nil {
		return post, fmt.Errorf("%s: settings: %w", path, err)
	}
	post.Descriptors = told.Limits.Sockets
	post.MessageMemory = int(told.Limits.Memory * (1 << 20))
	post.ConnectTimeout = values.Duration("limits.connect_timeout_s")
	post.IdleTimeout = values.Duration("limits.conn_idle_s")
	post.AcceptTime = acceptFor
	for n := range values.Count("offerings.count") {
		post.ShutdownTime = max(post.ShutdownTime, values.Duration("offerings."+strconv.Itoa(n)+".cut_off_s"))
	}
	// SIGKILL comes 0.7 s after the longest cut-off, so this leaves 250 ms.
	post.ShutdownTime = min(post.ShutdownTime, longest) + acceptFor
	post.SavedList = told.Known
	post.Name = first("GW_NAME", told.Name)
	if err := post.operators(told.Admin, env); err != nil {
		fault("%w", err)
	}
	at := discovery.NewPlatform(post.Discovery, values.Text["membership_mode"] == "on_request")
	if _, told := values.Text["rules.drain_grace_s"]; told && values.Text["membership_mode"] == "pushed" {
		// Discovery is an agent on this machine that has what is told: a process that starts hears it before its first push.
		at.Grace = max(time.Millisecond, time.Duration(values.Duration("rules.drain_grace_s")))
		post.FirstListTimeout = policy.Time(at.AnswerTimeout())
	}
	post.Source = at
	if post.Settings, err = platformsettings.Read(values); err != nil {
		fault("settings: %s", strings.ReplaceAll(err.Error(), "\n", "\nsettings: "))
	} else {
		at.WatchTimeout = discovery.WatchTimeout(at.Grace > 0, post.Settings.Instances)
	}
	return post, wrong
}

// flatten gives each value its path, as the simulator's wire does.
func flatten(to map[string]string, at string, raw json.RawMessage) error {
	var object map[string]json.RawMessage
	var list []json.RawMessage
	var word string
	switch v := strings.TrimSpace(string(raw)); {
	case v == "" || v == "null":
	case v[0] == '{':
		if err := json.Unmarshal(raw, &object); err != nil {
			return err
		}
		for name, of := range object {
			if err := flatten(to, strings.TrimPrefix(at+"."+name, "."), of); err != nil {
				return err
			}
		}
	case v[0] == '[':
		if err := json.Unmarshal(raw, &list); err != nil {
			return err
		}
		to[at+".count"] = strconv.Itoa(len(list))
		var words []string
		for i, of := range list {
			if err := flatten(to, at+"."+strconv.Itoa(i), of); err != nil {
				return err
			}
			words = append(words, strings.ReplaceAll(to[at+"."+strconv.Itoa(i)], ",", "_"))
		}
		to[at] = strings.Join(words, ",")
	case v[0] == '"':
		if err := json.Unmarshal(raw, &word); err != nil {
			return err
		}
		to[at] = word
	default:
		to[at] = v
	}
	return nil
}
