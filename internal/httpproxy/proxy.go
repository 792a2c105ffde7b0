package httpproxy

import (
	"net"
	"os"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/connstate"
	"pepperlead/internal/discovery"
	"pepperlead/internal/engine"
	"pepperlead/internal/trace"
	"pepperlead/policy"
)

// Config is what an instance is told of its place: where it listens and asks, and what it may use.
type Config struct {
	Listen              string
	Source              discovery.Source // of endpoints
	Seed                uint64
	Descriptors         int
	ReservedDescriptors int // of these, for what stands beside the instance
	MessageMemory       int // bytes that messages in hand may take
	ConnectTimeout      policy.Time
	SourceIP            net.IP      // connections to endpoints leave from there; nil: from whichever address the kernel picks
	IdleTimeout         policy.Time // endpoints close connections that stood idle for so long
	AcceptTime          policy.Time // for so long after the first sign of the end clients may come
	ShutdownTime        policy.Time // from that sign to the last answer
	Settings            *policy.Settings
	Deadlines           []policy.Time   // by class, for requests that say nothing of it or more; nil: they must say
	DefaultClass        string          // the class of requests that name none; "": they must
	Anonymous           bool            // requests may come without X-Request-ID
	Latency             engine.Latency  // of final answers; nil: not measured
	Recorder            *trace.Recorder // of what comes in and how it ends; nil: none
	StallAfter          policy.Time     // as the engine has it
	InheritedListener   int             // descriptor of a listener that others have too; 0: the instance listens by itself
	Successor           bool            // another process of this instance serves already
	FirstListTimeout    policy.Time     // for so long at most clients wait at the start until the source has told its list; 0: they do not
	ImportState         func()          // takes over what that has learned; called beside the loop
	SavedList           []byte          // a list saved earlier, as discovery gives it
}

// Proxy is the HTTP front on sockets, and the engine that decides for it. The engine's loop owns all of its state.
type Proxy struct {
	*engine.Engine
	frontIndex int // of the front, in the engine
	config     Config
	sockets    *sockets
	buffers    *connstate.Buffers
	conns      *connstate.Conns
	requests   *connstate.RequestIndex

	classes      map[string]policy.ClassID
	tenants      map[string]policy.TenantID
	defaultClass policy.ClassID    // of requests that name none
	ready        []*connstate.Conn // clients whose next request may be in already
	scratch      []byte
	startTimer   engine.Timer // to look whether clients may come in
	roomTimer    engine.Timer // to look for connections of clients to close
	noRoom       bool         // there are too many, and none can be closed yet

	processes    atomic.Int64 // that are one instance, with this one
	streamCount  int          // answers that are handed on as they come
	sharedBy     int          // so many the limits were last shared by
	serving      atomic.Bool  // it listens, and does not end
	awaitingList bool         // with its clients for the first list
	quietAt      policy.Time  // when none is expected any more
	acceptUntil  policy.Time  // until then new connections may come
}

// New makes an instance that does not serve yet.
func New(post Config, log *logrus.Logger) *Proxy {
	s := &Proxy{config: post, buffers: &connstate.Buffers{Limit: post.MessageMemory}, conns: connstate.NewConns(post.Descriptors - post.ReservedDescriptors),
		requests: &connstate.RequestIndex{}, classes: map[string]policy.ClassID{}, tenants: map[string]policy.TenantID{}}
	s.Engine = engine.New(engine.Config{Seed: post.Seed, Settings: post.Settings, Source: post.Source, SavedList: post.SavedList,
		ShutdownTime: post.ShutdownTime, Latency: post.Latency, Recorder: post.Recorder, StallAfter: post.StallAfter}, log)
	s.frontIndex = s.Engine.Add(s)
	for i, o := range post.Settings.Classes {
		s.classes[o.Name] = policy.ClassID(i)
	}
	s.defaultClass = policy.NoClass
	if i, known := s.classes[post.DefaultClass]; known {
		s.defaultClass = i
	}
	for i, f := range post.Settings.Tenants {
		s.tenants[f.Name] = policy.TenantID(i)
	}
	s.processes.Store(1)
	s.sharedBy = 1
	s.sockets = newSockets(s.Clock, s.buffers, &post, s.conns.AcceptLimit, s.Signal)
	s.roomTimer.Run = s.makeRoom
	return s
}

// Run serves until a signal comes and all in hand is answered, and goes over to each new configuration.
func (s *Proxy) Run(stop <-chan os.Signal, fresh <-chan Config) error {
	if err := s.sockets.engine.Start(); err != nil {
		s.Engine.Abandon()
		return err
	}
	s.start(s.Clock.Now())
	s.Logger.WithFields(logrus.Fields{"listen": s.config.Listen, "descriptors": s.config.Descriptors,
		"buffers_mb": s.config.MessageMemory >> 20}).Info("serving")
	go func() {
		for {
			select {
			case post, more := <-fresh:
				if !more {
					return
				}
				s.RunOnLoop(func() { s.reconfigure(post) })
			case <-s.Stopped():
				return
			}
		}
	}()
	s.Engine.Run(stop)
	return nil
}

// Gather takes what has happened on the sockets, and requests that came with others before them.
func (s *Proxy) Gather(now policy.Time) {
	s.applyShare(now)
	if s.awaitingList && s.ListFresh() {
		s.admitClients(now)
	}
	for _, e := range s.sockets.takeEvents() {
		s.handleEvent(now, e)
		s.RunSteps(now)
	}
	again := s.ready
	s.ready = nil
	for _, c := range again {
		s.readRequests(now, now, c)
	}
}

// More tells whether a request may be in already.
func (s *Proxy) More() bool { return len(s.ready) > 0 }

func (s *Proxy) handleEvent(now policy.Time, e event) {
	c := e.conn
	switch e.kind {
	case eventAccepted:
		s.clientConnected(now, c)
	case eventConnected:
		c.Connected = true
		if c.Closing {
			c.Socket.Close()
			return
		}
		s.endpointConnected(now, c)
	case eventData:
		c.Input.Unread.Add(-int64(len(e.buf.B)))
		c.Input.UnreadMemory.Add(-int64(cap(e.buf.B)))
		s.Counters.BytesIn += int64(len(e.buf.B))
		if c.Closing || c.Output.CloseWhenFlushed {
			s.buffers.Put(e.buf)
			return
		}
		switch {
		case c.Upload.State != connstate.NoUpload:
			s.uploadData(now, e.at, c, e.buf)
		case c.Side == connstate.EndpointSide && c.Request != nil && c.Request.Response.Streaming:
			s.streamData(now, e.at, c, c.Request, e.buf.B)
			s.buffers.Put(e.buf)
		case c.Side == connstate.ClientSide:
			c.Input.Buffer = s.buffers.Join(c.Input.Buffer, e.buf)
			s.readRequests(now, e.at, c)
		default:
			c.Input.Buffer = s.buffers.Join(c.Input.Buffer, e.buf)
			s.readResponse(now, e.at, c)
		}
		if !c.Closing && c.Input.Unread.Load() <= 0 {
			s.sockets.resume(c)
		}
	case eventDrained:
		s.outputDrained(c)
	case eventClosed:
		s.connClosed(now, e.at, c)
	}
}

// closeConn ends a connection; closed, told of that later, gives back what it holds.
func (s *Proxy) closeConn(c *connstate.Conn) {
	if !c.Closing {
		s.conns.CountEnd(c)
		if c.Connected {
			c.Socket.Close()
		}
	}
}

// closeOldestIdle makes room by ending the connection that has been without work for longest.
func (s *Proxy) closeOldestIdle(side connstate.Side, idle, fresh policy.Time) bool {
	old := s.conns.OldestIdle(side, idle, fresh)
	if old == nil || !old.Socket.CloseIfIdle(old) {
		return false
	}
	s.conns.CountEnd(old)
	return true
}

// connClosed gives back all that a connection held.
func (s *Proxy) connClosed(now, at policy.Time, c *connstate.Conn) {
	if !s.conns.Remove(c) {
		return
	}
	wasDead := c.Closing
	c.Closing = true
	switch c.Side {
	case connstate.ClientSide:
		s.clientLeft(now, c)
	case connstate.EndpointSide:
		if !wasDead {
			s.endpointClosed(at, c)
		}
	}
	s.Timers.Stop(&c.Timer)
	s.buffers.Put(c.Input.Buffer)
	c.Input.Buffer = nil
}

// write sends bytes on a connection. What the kernel does not take at once goes out later.
func (s *Proxy) write(c *connstate.Conn, b []byte) {
	s.Counters.BytesOut += int64(len(b))
	c.Socket.Write(b) // a failure ends the connection, which is told like any other end
	c.Output.Queued += int64(len(b))
}

// ---- what the engine asks for ----

// DiscardResponse gives back an answer that is not handed on.
func (s *Proxy) DiscardResponse(of *engine.Request) {
	t := connstate.AsRequest(of)
	s.buffers.Put(t.Response.Buffer)
	t.Response.Buffer = nil
}

// Released takes the request's buffers back.
func (s *Proxy) Released(of *engine.Request) { connstate.AsRequest(of).ReleaseBuffers(s.buffers) }

// endpointConns is what this front keeps of an endpoint.
func (s *Proxy) endpointConns(of *engine.Endpoint) *connstate.Endpoint {
	if of.FrontData[s.frontIndex] == nil {
		of.FrontData[s.frontIndex] = &connstate.Endpoint{Endpoint: of}
	}
	return of.FrontData[s.frontIndex].(*connstate.Endpoint)
}

// CloseIdle closes the connections to an endpoint that stand idle.
func (s *Proxy) CloseIdle(of *engine.Endpoint) {
	server := s.endpointConns(of)
	for len(server.Idle) > 0 {
		c := server.Idle[len(server.Idle)-1]
		server.Idle = server.Idle[:len(server.Idle)-1]
		s.closeConn(c)
	}
}

// Forget has nothing to add: what is still open closes when it is free.
func (s *Proxy) Forget(*engine.Endpoint) {}

var _ engine.RulesFront = (*Proxy)(nil)
