// Package rpc is a client-side plug-in for gRPC: a grpc.ClientConnInterface that generated stubs take as they take a
// *grpc.ClientConn, with the sidecar's decisions within. It reads the daemon's own configuration, follows the same
// endpoint lists and keeps the same rules. docs/rpc.md says how to use it.
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

// shutdownTime is how long Close lets calls go on.
const shutdownTime = policy.Second

// Conn is a connection to all endpoints of a list. It is safe for concurrent use.
type Conn struct {
	front     *front
	engine    *engine.Engine
	stop      chan os.Signal
	closeOnce sync.Once

	methods     methodClasses
	deadlines   []policy.Time // by class
	tenants     map[string]policy.TenantID
	keyMetadata string
	keyField    protoreflect.Name
}

var _ grpc.ClientConnInterface = (*Conn)(nil)

// New reads the configuration in the file and begins to follow its endpoints. The options hold for the connections to
// them: TLS, interceptors, stats handlers. Without transport credentials among them connections are not encrypted.
func New(configFile string, opts ...grpc.DialOption) (*Conn, error) {
	text, err := os.ReadFile(configFile)
	if err != nil {
		return nil, err
	}
	return FromText(configFile, text, opts...)
}

// FromText is New with the configuration as a value. The name stands for it in errors, and its folder for that of
// paths in it.
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

// Close rejects new calls, lets those in flight end for a second at most, and closes all connections.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { c.stop <- os.Interrupt })
	<-c.engine.Stopped()
	return nil
}

// Counters are the plug-in's counters, by the names that the daemon has for them.
func (c *Conn) Counters() map[string]int64 {
	counters := map[string]int64{}
	c.onLoop(func() {
		c.engine.Counters.Each(func(name string, n int64) { counters[name] = n })
	})
	return counters
}

// Server is an endpoint that the plug-in knows.
type Server struct {
	ID, Address, Zone string
	Leaving           bool
}

// Servers are the endpoints of the list in force, in no order.
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

// Open is the number of calls in flight.
func (c *Conn) Open() (n int) {
	c.onLoop(func() { n = c.engine.InFlight })
	return n
}

// onLoop runs a function on the engine's loop, or here once that has ended.
func (c *Conn) onLoop(do func()) {
	if !c.engine.RunOnLoop(do) {
		do()
	}
}
