package httpproxy

import (
	"net"

	"pepperlead/internal/discovery"
	"pepperlead/internal/engine"
	"pepperlead/internal/requestids"
	"pepperlead/internal/trace"
	"pepperlead/policy"
)

// Config configures an instance.
type Config struct {
	Listen              string
	Source              discovery.Source // supplies the endpoint list
	Seed                uint64
	Descriptors         int
	ReservedDescriptors int // how many of the Descriptors are reserved for other parts of the process
	MessageMemory       int // bytes that messages in flight may occupy
	ConnectTimeout      policy.Time
	SourceIP            net.IP      // local address of connections to endpoints; nil: the kernel picks one
	IdleTimeout         policy.Time // time after which endpoints close idle connections
	AcceptTime          policy.Time // how long new clients are accepted after a shutdown has begun
	ShutdownTime        policy.Time // maximum time from the start of a shutdown to the last response
	Settings            *policy.Settings
	Deadlines           []policy.Time     // default and maximum timeout by class id; nil: requests must have a timeout
	DefaultClass        string            // class of requests that name no class; "" if requests must name one
	Anonymous           bool              // requests may omit X-Request-ID
	RequestIDs          *requestids.Table // ids that other processes of the instance use too; nil: there are none
	Latency             engine.Latency    // records the time to final responses; nil: not recorded
	Recorder            *trace.Recorder   // records requests and their results; nil: not recorded
	StallAfter          policy.Time       // see engine.Config
	InheritedListener   int               // descriptor of a listener shared with other processes; 0: no such listener
	Successor           bool              // another process of this instance is already serving
	FirstListTimeout    policy.Time       // how long clients wait at startup for the list from Source; 0: not at all
	ImportState         func()            // imports the learned state of the serving process; not called on the loop
	SavedList           []byte            // list saved earlier, in the format of the discovery service
}
