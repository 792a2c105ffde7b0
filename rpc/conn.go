// Package rpc is a plug-in for gRPC that balances calls within the calling process, without a sidecar. It chooses the
// endpoint of each call, and decides whether the call waits in a queue, is retried or is rejected. It makes these
// decisions as the sidecar's daemon does: it reads the same configuration, follows the same endpoint lists and applies
// the same rules.
//
// Conn implements grpc.ClientConnInterface, so that generated stubs accept it in place of a *grpc.ClientConn.
// docs/rpc.md describes how to use it.
package rpc

import (
	"math/rand/v2"
	"os"
	"sync"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/reflect/protoreflect"

	"pepperlead/internal/daemon"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// shutdownTime is how long Close waits for calls in flight.
const shutdownTime = policy.Second

// Conn distributes calls over the endpoints of a list. It is safe for concurrent use.
type Conn struct {
	front     *front
	engine    *engine.Engine
	stop      chan os.Signal
	closeOnce sync.Once

	methods     methodClasses
	deadlines   []policy.Time // deadline of each class, indexed by policy.ClassID
	tenants     map[string]policy.TenantID
	keyMetadata string
	keyField    protoreflect.Name
}

var _ grpc.ClientConnInterface = (*Conn)(nil)

// New reads the configuration file and starts to follow the endpoint list that the file configures, without waiting for
// the first list. The options, such as TLS, interceptors and stats handlers, apply to the connections to endpoints. If
// they contain no transport credentials, connections are not encrypted.
func New(configFile string, opts ...grpc.DialOption) (*Conn, error) {
	text, err := os.ReadFile(configFile)
	if err != nil {
		return nil, err
	}
	return FromText(configFile, text, opts...)
}

// FromText is like New but takes the text of the configuration. The name is a file name: errors mention it, and
// relative paths in the configuration are relative to its directory. The file need not exist.
func FromText(name string, text []byte, opts ...grpc.DialOption) (*Conn, error) {
	config, err := daemon.ParseClient(name, text)
	if err != nil {
		return nil, err
	}
	log, err := daemon.NewLogger(config.LogLevel, config.LogFormat)
	if err != nil {
		return nil, err
	}
	return newConn(config, log, opts), nil
}

func newConn(config daemon.ClientConfig, log *logrus.Logger, opts []grpc.DialOption) *Conn {
	c := &Conn{
		stop:        make(chan os.Signal, 1),
		methods:     newMethodClasses(config.Methods),
		deadlines:   config.Deadlines,
		tenants:     map[string]policy.TenantID{},
		keyMetadata: config.KeyMetadata,
		keyField:    protoreflect.Name(config.KeyField),
	}
	for i, tenant := range config.Settings.Tenants {
		c.tenants[tenant.Name] = policy.TenantID(i)
	}
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	c.engine = engine.New(engine.Config{
		Seed:         seed,
		Settings:     config.Settings,
		Source:       config.Source,
		ShutdownTime: shutdownTime,
		StallAfter:   daemon.StallAfter,
	}, log)
	c.front = newFront(c.engine, opts)
	go c.engine.Run(c.stop)
	return c
}

// Close rejects new calls, waits up to one second for the calls that Open counts, and closes the connections. Calls
// that are still in flight at that time fail, and open streams break off.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { c.stop <- os.Interrupt })
	<-c.engine.Stopped()
	return nil
}

// Counters returns the plug-in's counters by name. The daemon's counters have the same names. A call that has just
// returned may not be counted yet.
func (c *Conn) Counters() map[string]int64 {
	counters := map[string]int64{}
	c.onLoop(func() {
		c.engine.Counters.Each(func(name string, n int64) { counters[name] = n })
	})
	return counters
}

// Server describes an endpoint that is in the current list or is leaving it.
type Server struct {
	ID, Address, Zone string
	Leaving           bool // the endpoint drains, or the list no longer contains it
}

// Servers returns the endpoints of the current list and those that are leaving it, in no particular order.
func (c *Conn) Servers() (servers []Server) {
	c.onLoop(func() {
		for _, endpoint := range c.engine.Endpoints {
			servers = append(servers, Server{
				ID:      endpoint.UID,
				Address: endpoint.Addr,
				Zone:    string(endpoint.Zone),
				Leaving: endpoint.Draining,
			})
		}
	})
	return servers
}

// Open returns the number of calls in flight, including those that wait for an endpoint. A call that has just
// returned may still count. A stream counts until the endpoint's first message on it.
func (c *Conn) Open() (n int) {
	c.onLoop(func() { n = c.engine.InFlight })
	return n
}

// onLoop runs a function on the engine's loop, or on the calling goroutine once the loop has ended.
func (c *Conn) onLoop(do func()) {
	if !c.engine.RunOnLoop(do) {
		do()
	}
}
