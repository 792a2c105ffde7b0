package httpproxy

import (
	"net"

	"pepperlead/internal/discovery"
	"pepperlead/internal/engine"
	"pepperlead/internal/trace"
	"pepperlead/policy"
)

// Config is the configuration of an instance.
type Config struct {
	Listen              string
	Source              discovery.Source // of endpoints
	Seed                uint64
	Descriptors         int
	ReservedDescriptors int // of these, for other parts of the process
	MessageMemory       int // bytes that messages in flight may take
	ConnectTimeout      policy.Time
	SourceIP            net.IP      // local address of connections to endpoints; nil: the kernel picks one
	IdleTimeout         policy.Time // after which endpoints close idle connections
	AcceptTime          policy.Time // how long new clients are accepted after a shutdown has begun
	ShutdownTime        policy.Time // from the begin of a shutdown to the last response
	Settings            *policy.Settings
	Deadlines           []policy.Time   // by class, for requests with no timeout or a longer one; nil: none
	DefaultClass        string          // of requests that name none; "": they must name one
	Anonymous           bool            // requests may come without X-Request-ID
	Latency             engine.Latency  // of final responses; nil: not recorded
	Recorder            *trace.Recorder // of requests and their results; nil: none
	StallAfter          policy.Time     // see engine.Config
	InheritedListener   int             // descriptor of a listener shared with other processes; 0: none
	Successor           bool            // another process of this instance is serving already
	FirstListTimeout    policy.Time     // how long clients wait at the start for the source's list; 0: they don't
	ImportState         func()          // takes over what the other process has learned; not called on the loop
	SavedList           []byte          // a list saved earlier, as the discovery service gives it
}
