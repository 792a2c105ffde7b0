package httpproxy

import (
	"os"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Proxy is the HTTP front: it owns the sockets and embeds the engine, which makes the decisions. Only the goroutine of
// the engine's loop uses its fields, apart from the atomic ones.
type Proxy struct {
	*engine.Engine
	frontIndex int // index of this front in the engine
	config     Config
	sockets    *sockets
	buffers    *connstate.Buffers
	conns      *connstate.Conns
	requests   *connstate.RequestIndex

	classes          map[string]policy.ClassID
	tenants          map[string]policy.TenantID
	defaultClass     policy.ClassID    // class of requests that name none
	ready            []*connstate.Conn // client connections with input that may hold the next request
	scratch          []byte            // reused to assemble messages
	startTimer       engine.Timer      // delays accepting clients at startup
	clientLimitTimer engine.Timer      // repeats enforceClientLimit
	overClientLimit  bool              // too many client connections are open, and none can be closed yet

	processes      atomic.Int64 // processes of this instance, this one included
	limitsSharedBy int          // number of processes for which the limits are currently divided
	streamCount    int          // number of responses that are being streamed
	incidents      incidents
	summary        summary
	serving        atomic.Bool // this process accepts clients and is not shutting down
	awaitingList   bool        // clients are not accepted yet, because the source has not supplied its list
	drainedAt      policy.Time // during a shutdown: time from which no client is expected to reconnect
	acceptUntil    policy.Time // during a shutdown: time until which new clients are accepted
}

var _ engine.RulesFront = (*Proxy)(nil)

// New returns a proxy that starts to serve when Run is called.
func New(config Config, log *logrus.Logger) *Proxy {
	p := &Proxy{
		config:         config,
		buffers:        &connstate.Buffers{Limit: config.MessageMemory},
		conns:          connstate.NewConns(config.Descriptors - config.ReservedDescriptors),
		requests:       &connstate.RequestIndex{},
		classes:        map[string]policy.ClassID{},
		tenants:        map[string]policy.TenantID{},
		defaultClass:   policy.NoClass,
		limitsSharedBy: 1,
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
	p.clientLimitTimer.Run = p.enforceClientLimit
	return p
}

// Run serves until a signal arrives on stop and the shutdown that it begins is complete. Meanwhile it applies each
// configuration received from configs.
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

// Gather handles the queued socket events. It then reads the pipelined requests whose preceding request on the same
// connection has been answered.
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

// HasPending reports whether a pipelined request may be waiting to be handled.
func (p *Proxy) HasPending() bool { return len(p.ready) > 0 }

// handleEvent calls the handler for the kind of a socket's event.
func (p *Proxy) handleEvent(now policy.Time, e event) {
	c := e.conn
	switch e.kind {
	case eventAccepted:
		p.clientConnected(now, c)
	case eventConnected:
		c.Connected = true
		if c.Closing {
			_ = c.Socket.Close() // the poller reports the end of the connection
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

// handleData handles bytes that were read from a connection.
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

// closeConn starts to close a connection. connClosed releases its resources once the poller reports its end.
func (p *Proxy) closeConn(c *connstate.Conn, reason connstate.CloseReason) {
	if c.Closing {
		return
	}
	p.conns.MarkClosing(c, reason)
	if c.Connected {
		_ = c.Socket.Close() // the poller reports the end of the connection
	}
}

// closeOldestIdle closes the connection on the given side that has been idle longest, and reports whether it closed
// one. A connection that has carried a request must have become idle at usedBefore or earlier. One that has not carried
// a request must have been opened at openedBefore or earlier.
func (p *Proxy) closeOldestIdle(side connstate.Side, usedBefore, openedBefore policy.Time) bool {
	oldest := p.conns.OldestIdle(side, usedBefore, openedBefore)
	if oldest == nil || !oldest.Socket.CloseIfIdle(oldest) {
		return false
	}
	p.conns.MarkClosing(oldest, connstate.IdleConnection)
	return true
}

// connClosed handles the end of a connection and releases its resources.
func (p *Proxy) connClosed(now, at policy.Time, c *connstate.Conn) {
	if !p.conns.Remove(c) {
		return
	}
	closedHere := c.Closing
	c.Closing = true
	p.noteClose(c)
	switch c.Side {
	case connstate.ClientSide:
		p.clientDisconnected(now, c)
	case connstate.EndpointSide:
		if !closedHere {
			p.endpointClosed(at, c)
		}
	}
	p.Timers.Stop(&c.Timer)
	p.buffers.Put(c.Input.Buffer)
	c.Input.Buffer = nil
}

// write sends bytes on a connection. Those that the kernel does not accept at once are written by the poller later.
func (p *Proxy) write(c *connstate.Conn, b []byte) {
	p.Counters.BytesOut += int64(len(b))
	_, _ = c.Socket.Write(b) // a failure ends the connection, and the poller reports that
	c.Output.Queued += int64(len(b))
}

// DiscardResponse releases a response that is not to be forwarded.
func (p *Proxy) DiscardResponse(request *engine.Request) {
	r := connstate.AsRequest(request)
	p.buffers.Put(r.Response.Buffer)
	r.Response.Buffer = nil
}

// Released releases the buffers of a request that the engine has released.
func (p *Proxy) Released(request *engine.Request) {
	connstate.AsRequest(request).ReleaseBuffers(p.buffers)
}
