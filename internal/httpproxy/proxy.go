package httpproxy

import (
	"os"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Proxy is the HTTP front with its sockets, and the engine that decides for it. The engine's loop owns all of its
// state.
type Proxy struct {
	*engine.Engine
	frontIndex int // of this front in the engine
	config     Config
	sockets    *sockets
	buffers    *connstate.Buffers
	conns      *connstate.Conns
	requests   *connstate.RequestIndex

	classes      map[string]policy.ClassID
	tenants      map[string]policy.TenantID
	defaultClass policy.ClassID    // of requests that name none
	ready        []*connstate.Conn // clients whose next request may have come already
	scratch      []byte            // for messages being written
	startTimer   engine.Timer      // checks whether clients may be accepted
	roomTimer    engine.Timer      // looks for client connections to close
	noRoom       bool              // there are too many client connections, and none can be closed yet

	processes    atomic.Int64 // of this instance, this one included
	sharedBy     int          // processes by which the limits are shared now
	streamCount  int          // responses that are being streamed
	serving      atomic.Bool  // it accepts clients and is not shutting down
	awaitingList bool         // clients wait until the source has given its list
	drainedAt    policy.Time  // during a shutdown: when no client is expected any more
	acceptUntil  policy.Time  // during a shutdown: until then new connections may come
}

var _ engine.RulesFront = (*Proxy)(nil)

// New returns an instance that does not serve yet.
func New(config Config, log *logrus.Logger) *Proxy {
	p := &Proxy{
		config:       config,
		buffers:      &connstate.Buffers{Limit: config.MessageMemory},
		conns:        connstate.NewConns(config.Descriptors - config.ReservedDescriptors),
		requests:     &connstate.RequestIndex{},
		classes:      map[string]policy.ClassID{},
		tenants:      map[string]policy.TenantID{},
		defaultClass: policy.NoClass,
		sharedBy:     1,
	}
	p.Engine = engine.New(engine.Config{
		Seed:         config.Seed,
		Settings:     config.Settings,
		Source:       config.Source,
		SavedList:    config.SavedList,
		ShutdownTime: config.ShutdownTime,
		Latency:      config.Latency,
		Recorder:     config.Recorder,
		StallAfter:   config.StallAfter,
	}, log)
	p.frontIndex = p.AddFront(p)
	for i, class := range config.Settings.Classes {
		p.classes[class.Name] = policy.ClassID(i)
	}
	if id, known := p.classes[config.DefaultClass]; known {
		p.defaultClass = id
	}
	for i, tenant := range config.Settings.Tenants {
		p.tenants[tenant.Name] = policy.TenantID(i)
	}
	p.processes.Store(1)
	p.sockets = newSockets(p.Clock, p.buffers, &config, p.conns.AcceptLimit, p.Signal)
	p.roomTimer.Run = p.makeRoom
	return p
}

// Run serves until a signal comes and all requests are answered. It applies each configuration that comes meanwhile.
func (p *Proxy) Run(stop <-chan os.Signal, configs <-chan Config) error {
	if err := p.sockets.engine.Start(); err != nil {
		p.Abandon()
		return err
	}
	p.start(p.Clock.Now())
	p.Logger.WithFields(logrus.Fields{
		"listen":      p.config.Listen,
		"descriptors": p.config.Descriptors,
		"buffers_mb":  p.config.MessageMemory >> 20,
	}).Info("serving")
	go p.applyConfigs(configs)
	p.Engine.Run(stop)
	return nil
}

// applyConfigs applies new configurations until the loop has stopped.
func (p *Proxy) applyConfigs(configs <-chan Config) {
	for {
		select {
		case config, open := <-configs:
			if !open {
				return
			}
			p.RunOnLoop(func() { p.reconfigure(config) })
		case <-p.Stopped():
			return
		}
	}
}

// Gather handles what has happened on the sockets, and requests that came behind earlier ones.
func (p *Proxy) Gather(now policy.Time) {
	p.applyShare(now)
	if p.awaitingList && p.ListFresh() {
		p.admitClients(now)
	}
	for _, e := range p.sockets.takeEvents() {
		p.handleEvent(now, e)
		p.ReportEndedAttempts(now)
	}
	ready := p.ready
	p.ready = nil
	for _, c := range ready {
		p.readRequests(now, now, c)
	}
}

// HasPending reports whether a request may have come already.
func (p *Proxy) HasPending() bool { return len(p.ready) > 0 }

// handleEvent handles an event of a socket.
func (p *Proxy) handleEvent(now policy.Time, e event) {
	c := e.conn
	switch e.kind {
	case eventAccepted:
		p.clientConnected(now, c)
	case eventConnected:
		c.Connected = true
		if c.Closing {
			_ = c.Socket.Close() // its end is reported by the poller
			return
		}
		p.endpointConnected(now, c)
	case eventData:
		p.handleData(now, e)
	case eventDrained:
		p.outputDrained(c)
	case eventClosed:
		p.connClosed(now, e.at, c)
	}
}

// handleData handles bytes that have been read.
func (p *Proxy) handleData(now policy.Time, e event) {
	c := e.conn
	c.Input.Unread.Add(-int64(len(e.buf.B)))
	c.Input.UnreadMemory.Add(-int64(cap(e.buf.B)))
	p.Counters.BytesIn += int64(len(e.buf.B))
	if c.Closing || c.Output.CloseWhenFlushed {
		p.buffers.Put(e.buf)
		return
	}
	switch {
	case c.Upload.State != connstate.NoUpload:
		p.uploadData(now, e.at, c, e.buf)
	case c.Side == connstate.EndpointSide && c.Request != nil && c.Request.Response.Streaming:
		p.streamData(now, e.at, c, e.buf.B)
		p.buffers.Put(e.buf)
	case c.Side == connstate.ClientSide:
		c.Input.Buffer = p.buffers.Join(c.Input.Buffer, e.buf)
		p.readRequests(now, e.at, c)
	default:
		c.Input.Buffer = p.buffers.Join(c.Input.Buffer, e.buf)
		p.readResponse(now, e.at, c)
	}
	if !c.Closing && c.Input.Unread.Load() <= 0 {
		p.sockets.resume(c)
	}
}

// closeConn ends a connection. connClosed, called when its end is reported, releases what it holds.
func (p *Proxy) closeConn(c *connstate.Conn) {
	if c.Closing {
		return
	}
	p.conns.MarkClosing(c)
	if c.Connected {
		_ = c.Socket.Close() // its end is reported by the poller
	}
}

// closeOldestIdle makes room by closing the connection that has been idle for longest. It reports whether there was one
// that has been idle since usedBefore, or that has carried nothing since it was opened before openedBefore.
func (p *Proxy) closeOldestIdle(side connstate.Side, usedBefore, openedBefore policy.Time) bool {
	oldest := p.conns.OldestIdle(side, usedBefore, openedBefore)
	if oldest == nil || !oldest.Socket.CloseIfIdle(oldest) {
		return false
	}
	p.conns.MarkClosing(oldest)
	return true
}

// connClosed handles the end of a connection and releases what it held.
func (p *Proxy) connClosed(now, at policy.Time, c *connstate.Conn) {
	if !p.conns.Remove(c) {
		return
	}
	closedHere := c.Closing
	c.Closing = true
	switch c.Side {
	case connstate.ClientSide:
		p.clientLeft(now, c)
	case connstate.EndpointSide:
		if !closedHere {
			p.endpointClosed(at, c)
		}
	}
	p.Timers.Stop(&c.Timer)
	p.buffers.Put(c.Input.Buffer)
	c.Input.Buffer = nil
}

// write sends bytes on a connection. What the kernel does not take at once goes out later.
func (p *Proxy) write(c *connstate.Conn, b []byte) {
	p.Counters.BytesOut += int64(len(b))
	_, _ = c.Socket.Write(b) // a failure ends the connection, which is reported as its end
	c.Output.Queued += int64(len(b))
}

// DiscardResponse releases a response that is not forwarded.
func (p *Proxy) DiscardResponse(request *engine.Request) {
	r := connstate.AsRequest(request)
	p.buffers.Put(r.Response.Buffer)
	r.Response.Buffer = nil
}

// Released releases the request's buffers.
func (p *Proxy) Released(request *engine.Request) {
	connstate.AsRequest(request).ReleaseBuffers(p.buffers)
}

// endpointConns returns what this front keeps of an endpoint.
func (p *Proxy) endpointConns(endpoint *engine.Endpoint) *connstate.Endpoint {
	if endpoint.FrontData[p.frontIndex] == nil {
		endpoint.FrontData[p.frontIndex] = &connstate.Endpoint{Endpoint: endpoint}
	}
	return endpoint.FrontData[p.frontIndex].(*connstate.Endpoint)
}

// CloseIdle closes the idle connections to an endpoint.
func (p *Proxy) CloseIdle(endpoint *engine.Endpoint) {
	conns := p.endpointConns(endpoint)
	for len(conns.Idle) > 0 {
		last := len(conns.Idle) - 1
		c := conns.Idle[last]
		conns.Idle = conns.Idle[:last]
		p.closeConn(c)
	}
}

// Forget does nothing: connections that are still in use are closed when they become idle.
func (p *Proxy) Forget(*engine.Endpoint) {}
