// Package daemon starts a sidecar from what it is told and ends it when it is told to.
package daemon

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/admin"
	"pepperlead/internal/campaign"
	"pepperlead/internal/clock"
	"pepperlead/internal/discovery"
	"pepperlead/internal/engine"
	"pepperlead/internal/handover"
	"pepperlead/internal/installation"
	"pepperlead/internal/listing"
	"pepperlead/internal/peers"
	"pepperlead/internal/proto"
	"pepperlead/internal/trace"
	"pepperlead/policy"
)

const (
	bufferPercent = 35                       // of the memory allowed, for messages in hand
	heapPart      = 0.6                      // the garbage collector keeps the heap under it
	acceptFor     = 450 * policy.Millisecond // after SIGTERM: 50 ms more than clients are said to come
	longest       = 3 * policy.Second        // cut-off that is waited for after SIGTERM

	// Stall is after how long without a turn a loop looks at its list again before it decides.
	Stall = 400 * policy.Millisecond

	leastSockets, leastMemory = 48, 24 // descriptors and MB without which nothing can be served

	watchDescriptors = 6 // for word of changes, and for the file being read or written
)

// Orders are all that a configuration says: the sidecar's post, and what stands around it.
type Orders struct {
	proto.Post
	Discovery string // address, where the platform's is followed
	Name      string
	inFile    string // the same as the file alone has it
	Door      string // address for operators; "": none
	Pages     string // address of counters and metrics over HTTP; "": none
	LogLevel  string // "": as the command line says
	LogFormat string
	Peers     *peers.Post // nil: none
	Agree     bool        // rules come from the peers' keepers
}

// Read takes orders from the configuration in the file, and from what the environment says of the same. One that begins with
// { is the platform's JSON, any other the product's own.
func Read(path string, env func(string) string) (Orders, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Orders{}, err
	}
	return Parse(path, b, env)
}

// Parse takes orders from the text of such a file.
func Parse(path string, b []byte, env func(string) string) (Orders, error) {
	if bytes.HasPrefix(bytes.TrimSpace(b), []byte("{")) {
		lines, err := Lines(path, b)
		if err != nil {
			return Orders{}, err
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
	return o, o.operators(o.Door, env)
}

// operators takes what the environment says of the door and of the listener, which goes first, and sets descriptors aside for them.
func (o *Orders) operators(door string, env func(string) string) error {
	o.Door = door
	if at := env("GW_ADMIN"); at != "" {
		o.Door = at
	}
	if o.Door != "" && !listing.Address(o.Door) {
		return fmt.Errorf("admin: found %q, allowed an IP address and port, as 127.0.0.1:9002", o.Door)
	}
	if fd := env("GW_INHERITED_FD"); fd != "" {
		n, err := strconv.Atoi(fd)
		if err != nil || n < 3 {
			return fmt.Errorf("GW_INHERITED_FD: found %q, allowed the number of a descriptor", fd)
		}
		o.Inherited = n
	}
	if o.Door != "" {
		o.Aside += admin.DoorDescriptors
	}
	if o.together() {
		o.Aside += handover.Descriptors
	}
	return nil
}

// together tells whether other processes may be one sidecar with this one, or something is to be kept for the next.
func (o *Orders) together() bool { return o.Door != "" || o.Inherited > 0 }

// product makes orders of the product's own configuration.
func product(path string, b []byte) (Orders, error) {
	in, err := installation.Read(path, b)
	if err != nil {
		return Orders{}, err
	}
	o := Orders{Name: in.Name, Door: in.Admin, Pages: in.Pages, Discovery: in.Discovery, LogLevel: in.LogLevel, LogFormat: in.LogFormat,
		Post: proto.Post{Listen: in.Listen, Descriptors: in.Descriptors, Memory: in.MemoryMB << 20,
			ConnectIn: in.ConnectIn, From: in.From, IdleFor: in.IdleFor, Accept: acceptFor, Campaign: in.Campaign, CutOffs: in.CutOffs,
			Default: in.Default, Anonymous: in.Anonymous, Stall: Stall}}
	if o.Seed = rand.Uint64(); in.Seeded {
		o.Seed = instanceSeed(in.Seed, in.Listen)
	}
	o.Leave = in.Leave + acceptFor
	o.Source, o.Aside = source(in)
	if at := in.Peers; at.Listen != "" {
		key, err := peers.ReadKey(at.Key)
		if err != nil {
			return o, fmt.Errorf("%s: peers.key_file: %w", path, err)
		}
		o.Peers = &peers.Post{Name: in.Name, Cluster: at.Cluster, Listen: at.Listen, Advertise: at.Advertise, Join: at.Join, Key: key,
			Zone: string(in.Campaign.Zone)}
		o.Agree = at.Agree
		o.Aside += peers.Descriptors
	}
	if in.Pages != "" {
		o.Latency = admin.NewLatency(in.Campaign.Classes)
		o.Aside += admin.Most + 2
	}
	return o, nil
}

// ClientOrders are what a client is told that has the decisions within.
type ClientOrders struct {
	Seed                uint64 // 0: to be drawn
	Campaign            *policy.Settings
	CutOffs             []policy.Time
	Source              discovery.Source
	Methods             [][]string // by offering
	KeyMetadata         string
	KeyField            string
	LogLevel, LogFormat string
}

// Client makes orders for a client of the product's configuration.
func Client(name string, text []byte) (ClientOrders, error) {
	in, err := installation.ReadClient(name, text)
	if err != nil {
		return ClientOrders{}, err
	}
	o := ClientOrders{Campaign: in.Campaign, CutOffs: in.CutOffs, Methods: in.Methods, KeyMetadata: in.KeyMetadata,
		KeyField: in.KeyField, LogLevel: in.LogLevel, LogFormat: in.LogFormat}
	if in.Seeded {
		o.Seed = instanceSeed(in.Seed, "")
	}
	o.Source, _ = source(in)
	return o, nil
}

// source makes the one that the configuration names, and tells how many descriptors it takes.
func source(in *installation.Installation) (s discovery.Source, descriptors int) {
	now := clock.New().Now
	switch in.Kind {
	case installation.Files:
		s, descriptors = discovery.NewFiles(in.Patterns, in.Terms, now), watchDescriptors
	case installation.Discovery:
		p := discovery.NewPlatform(in.Discovery, false)
		p.From, s = in.From, p
	case installation.Fixed:
		s = &discovery.Fixed{Entries: in.Servers, Called: fmt.Sprintf("fixed: %+v", in.Servers)}
	}
	if in.State != "" {
		s = discovery.Keep(s, in.State, now)
	}
	return s, descriptors
}

// platform makes orders of the platform's configuration.
func platform(path string, b []byte, env func(string) string) (Orders, error) {
	var post Orders
	var err error
	var told struct {
		Name, Listen, Discovery, Seed, Admin string
		Limits                               struct {
			Memory  float64 `json:"memory_mb"`
			Sockets int
		}
		Known, Settings json.RawMessage
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
	values := &campaign.Values{Of: map[string]string{}}
	if err := flatten(values.Of, "", told.Settings); err != nil {
		return post, fmt.Errorf("%s: settings: %w", path, err)
	}
	post.Descriptors = told.Limits.Sockets
	post.Memory = int(told.Limits.Memory * (1 << 20))
	post.ConnectIn = values.Span("limits.connect_timeout_s")
	post.IdleFor = values.Span("limits.conn_idle_s")
	post.Accept = acceptFor
	for n := range values.Count("offerings.count") {
		post.Leave = max(post.Leave, values.Span("offerings."+strconv.Itoa(n)+".cut_off_s"))
	}
	// SIGKILL comes 0.7 s after the longest cut-off, so this leaves 250 ms.
	post.Leave = min(post.Leave, longest) + acceptFor
	post.Known = told.Known
	post.Name = first("GW_NAME", told.Name)
	if err := post.operators(told.Admin, env); err != nil {
		fault("%w", err)
	}
	at := discovery.NewPlatform(post.Discovery, values.Of["membership_mode"] == "on_request")
	if _, told := values.Of["rules.drain_grace_s"]; told && values.Of["membership_mode"] == "pushed" {
		// Discovery is an agent on this machine that has what is told: a process that starts hears it before its first push.
		at.Grace = max(time.Millisecond, time.Duration(values.Span("rules.drain_grace_s")))
		post.First = policy.Time(at.AnswerIn())
	}
	post.Source = at
	if post.Campaign, err = campaign.Read(values); err != nil {
		fault("settings: %s", strings.ReplaceAll(err.Error(), "\n", "\nsettings: "))
	} else {
		at.Hold = discovery.HoldFor(at.Grace > 0, post.Campaign.Instances)
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

// Logger makes a log of that level and format, text or json, on standard error.
func Logger(level, format string) (*logrus.Logger, error) {
	log := logrus.New()
	const moment = "15:04:05.000"
	switch format {
	case "text":
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: moment})
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	default:
		return nil, fmt.Errorf("log format: found %q, allowed text, json", format)
	}
	var err error
	log.Level, err = logrus.ParseLevel(level)
	return log, err
}

// Serve runs a sidecar from the configuration in the file until it is told to end. record: a file for a trace; "": none.
func Serve(o Orders, path, record string, log *logrus.Logger) error {
	// One thread may stand in the kernel waiting for sockets while another works, also where there is one core: with
	// one alone the loop would start only when the runtime notices, up to 10 ms later.
	runtime.GOMAXPROCS(max(2, runtime.GOMAXPROCS(0)))
	debug.SetMemoryLimit(int64(float64(o.Memory) * heapPart))
	o.Memory = o.Memory * bufferPercent / 100
	// What the sidecar may hold is kept by itself; the kernel keeps it where clients come faster than they are told so.
	limit := syscall.Rlimit{Cur: uint64(o.Descriptors), Max: uint64(o.Descriptors)}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		log.WithError(err).Warn("the limit on descriptors cannot be set")
	}
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	fresh := make(chan proto.Post)
	if record != "" && o.Agree {
		return errors.New("record: a trace has one set of offerings, and with peers.agree these come and go")
	}
	if record != "" {
		r, err := trace.Create(record, head(o))
		if err != nil {
			return fmt.Errorf("record: %w", err)
		}
		o.Record = r
		defer func() {
			if err := r.Close(); err != nil || r.Dropped() > 0 {
				log.WithError(err).WithField("dropped", r.Dropped()).Warn("the trace is not whole")
			}
		}()
	}
	of := operated{}
	if o.together() {
		kin, err := handover.Join(handover.Folder(o.Name, o.Listen), log)
		if err != nil {
			// Serving goes on without: what is done by hand ends with this process, and a new version does not know of it.
			log.WithError(err).Error("handover: left out")
			kin = handover.Alone(err, log)
		}
		defer kin.Close()
		of.kin, o.Follows = kin, kin.Processes() > 1
	}
	o.Learn = func() { of.learn() }
	s := proto.New(o.Post, log)
	go reread(path, o, again, fresh, s.Over(), log)
	of.Sidecar = s
	if of.kin != nil {
		if err := of.begin(); err != nil {
			return err
		}
	}
	var asked admin.Sidecar = s
	if o.Peers != nil {
		var own *engine.Version
		if o.Agree {
			own = ownVersion(o.Campaign, o.CutOffs)
		}
		company := meet(s, *o.Peers, own)
		defer company.close()
		asked = company
	}
	if o.Pages != "" {
		at, err := admin.Listen(o.Pages, asked, o.Latency.(*admin.Latency))
		if err != nil {
			return fmt.Errorf("pages: %w", err)
		}
		defer at.Close()
	}
	if o.Door != "" {
		door, err := admin.OpenDoor(o.Door, of)
		if err != nil {
			return fmt.Errorf("admin: found %q, allowed an address that can be listened on: %w", o.Door, err)
		}
		defer door.Close()
	}
	if err := s.Run(stop, fresh); err != nil {
		return err
	}
	log.Info("end: " + strings.ReplaceAll(strings.TrimSpace(s.Report()), "\n", ", "))
	return nil
}

func head(o Orders) trace.Head {
	h := trace.Head{Start: clock.New().Now(), Name: o.Name, Zone: o.Campaign.Zone}
	for _, f := range o.Campaign.Classes {
		h.Offerings = append(h.Offerings, f.Name)
	}
	for _, f := range o.Campaign.Tenants {
		h.Franchises = append(h.Franchises, f.Name)
	}
	return h
}

// reread reads the file anew at each signal and hands on what can be served. Reading takes its time, so the loop is not held
// up by it.
func reread(path string, now Orders, again <-chan os.Signal, fresh chan<- proto.Post, over <-chan struct{}, log *logrus.Logger) {
	for range again {
		next, err := Read(path, func(name string) string {
			if name == "GW_DISCOVERY" {
				return "" // the environment is as old as the process; what the file says now is newer
			}
			return os.Getenv(name)
		})
		if err != nil {
			// A mistake in the file must not end what serves.
			log.WithField("error", strings.ReplaceAll(err.Error(), "\n", "; ")).Error("new configuration: left out, the old one stays")
			continue
		}
		if next.inFile == now.inFile && next.inFile != "" {
			next.Source = now.Source
		} else {
			now.inFile, now.Source = next.inFile, next.Source
		}
		if now.Agree {
			next.Campaign = &policy.Settings{} // of another shape: it stays as the cluster's versions say
		}
		next.Latency, next.Record = now.Latency, now.Record
		next.Memory = next.Memory * bufferPercent / 100
		select {
		case fresh <- next.Post:
		case <-over: // it was told to end as well, and has
			return
		}
	}
}
