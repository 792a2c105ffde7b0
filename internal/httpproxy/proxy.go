package httpproxy

import (
	"os"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/internal/requestids"
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
	requestIDs *requestids.Table

	classes           map[string]policy.ClassID
	tenants           map[string]policy.TenantID
	defaultClass      policy.ClassID    // class of requests that name none
	ready             []*connstate.Conn // connections to look at in the next round
	spareReady        []*connstate.Conn // the list that ready was before, for reuse
	ended             []*connstate.Conn // closed connections whose resources are not released yet
	shortOfMemory     []*connstate.Conn // connections with reads or writes to repeat
	maxPending        int64             // unwritten bytes of a connection above which its sender is paused
	scratch           []byte            // reused to assemble messages
	readBuffer        []byte            // reused to read more bytes than a small buffer holds
	startTimer        engine.Timer      // delays accepting clients at startup
	startedAt         policy.Time       // when a process that succeeds another one has started
	clientLimitTimer  engine.Timer      // repeats enforceClientLimit
	repeatTimer       engine.Timer      // repeats reads and writes for which the kernel was short of memory
	checkMemory       int               // bytes that checks of clients may still read ahead
	nextStalledSearch policy.Time       // earliest time of the next search for stalled requests
	overClientLimit   bool              // too many client connections are open, and none can be closed yet

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
		requestIDs:     config.RequestIDs,
		classes:        map[string]policy.ClassID{},
		tenants:        map[string]policy.TenantID{},
		defaultClass:   policy.NoClass,
		limitsSharedBy: 1,
		readBuffer:     make([]byte, connstate.LargeBuffer),
		maxPending:     maxPendingBytes,
	}
	if p.requestIDs == nil {
		p.requestIDs = requestids.New()
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
	p.repeatTimer.Run = p.repeatNow
	return p
}

// Run serves until a signal arrives on stop and the shutdown that it begins is complete. Meanwhile it applies each
// configuration received from configs.
func (p *Proxy) Run(stop <-chan os.Signal, configs <-chan Config) error {
	if err := p.sockets.start(&p.config); err != nil {
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

// Gather handles the queued socket events, and looks at the connections whose turn has come.
func (p *Proxy) Gather(now policy.Time) {
	p.applyShare(now)
	if p.awaitingList && p.ListFresh() {
		p.admitClients(now)
	}
	for _, e := range p.sockets.takeEvents() {
		p.handleEvent(now, e)
		p.ReportEndedAttempts(now)
	}
	p.serviceReady(now)
	p.releaseEnded(now)
}

// HasPending reports whether there is a connection to look at or to release in the next round.
func (p *Proxy) HasPending() bool { return len(p.ready) > 0 || len(p.ended) > 0 }

// handleEvent calls the handler for the kind of a socket's event.
func (p *Proxy) handleEvent(now policy.Time, e event) {
	c := e.conn
	switch e.kind {
	case eventAccepted:
		c.Socket = e.socket
		p.clientConnected(now, c)
		p.watch(c, e.socket)
	case eventConnected:
		p.dialled(now, c, e.socket)
	case eventReady:
		p.socketReady(now, e.at, c, e.events)
	case eventClosed:
		p.dialFailed(now, e.at, c, e.failure)
	}
}

// watch makes the poller report the events of a connection. It closes a connection for which that fails.
func (p *Proxy) watch(c *connstate.Conn, k *socket) {
	if err := p.sockets.watch(k.descriptor, &k.watched); err != nil {
		p.Logger.WithError(err).Error("a connection cannot be watched, closing it")
		p.closeConn(c, connstate.Unwatched)
	}
}

// closeConn closes a connection. Its resources are released at the end of the round, as its caller may still use them.
func (p *Proxy) closeConn(c *connstate.Conn, reason connstate.CloseReason) {
	if c.Closing {
		return
	}
	p.conns.MarkClosing(c, reason)
	if !c.Connected {
		return // the result of the dial ends the connection
	}
	if r := c.Request; r != nil && r.Response.Streaming && r.Response.UntilClose && c.Side == connstate.ClientSide {
		c.Socket.Reset() // an orderly close would look like the end of the response
	} else {
		c.Socket.Close()
	}
	p.ended = append(p.ended, c)
}

// releaseEnded releases the resources of the connections that were closed, including those that are closed meanwhile.
func (p *Proxy) releaseEnded(now policy.Time) {
	for i := 0; i < len(p.ended); i++ {
		p.connClosed(now, now, p.ended[i])
		p.ReportEndedAttempts(now)
	}
	clear(p.ended)
	p.ended = p.ended[:0]
}

// closeOldestIdle closes the connection on the given side that has been idle longest, and reports whether it closed
// one. A connection that has carried a request must have become idle at usedBefore or earlier. One that has not carried
// a request must have been opened at openedBefore or earlier.
func (p *Proxy) closeOldestIdle(side connstate.Side, usedBefore, openedBefore policy.Time) bool {
	oldest := p.conns.OldestIdle(side, usedBefore, openedBefore)
	return oldest != nil && p.closeIfIdle(oldest, connstate.IdleConnection)
}

// closeIfIdle closes a connection without input and reports whether it did. If bytes have arrived it does nothing, as
// their sender would take the close for the loss of a request. The kernel answers bytes that arrive after the close
// with a reset, so the client sends its request again.
func (p *Proxy) closeIfIdle(c *connstate.Conn, reason connstate.CloseReason) bool {
	if !c.Socket.Idle() {
		return false
	}
	p.closeConn(c, reason)
	return true
}

// connClosed releases the resources of a connection that has ended.
func (p *Proxy) connClosed(now, at policy.Time, c *connstate.Conn) {
	if !p.conns.Remove(c) {
		return
	}
	c.Closing = true
	p.noteClose(c)
	switch c.Side {
	case connstate.ClientSide:
		p.sockets.listener.clientClosed()
		p.clientDisconnected(now, c)
	case connstate.EndpointSide:
		if c.ClosedFor == connstate.PeerClosed {
			p.endpointClosed(at, c)
			p.reportConnectionsLost(at, c.Endpoint)
		}
	}
	p.Timers.Stop(&c.Timer)
	p.buffers.Put(c.Input.Buffer)
	c.Input.Buffer = nil
}

// write sends bytes on a connection. Those that the kernel does not accept at once are written when it reports room.
func (p *Proxy) write(c *connstate.Conn, b []byte) {
	p.Counters.BytesOut += int64(len(b))
	c.Output.Queued += int64(len(b))
	p.written(p.Clock.Now(), c, c.Socket.Write(b))
}

// DiscardResponse releases a response that is not to be forwarded.
func (p *Proxy) DiscardResponse(request *engine.Request) {
	r := connstate.AsRequest(request)
	p.buffers.Put(r.Response.Buffer)
	r.Response.Buffer = nil
}

// Released releases what a request holds that the engine has released.
func (p *Proxy) Released(request *engine.Request) {
	r := connstate.AsRequest(request)
	p.releaseID(r)
	r.ReleaseBuffers(p.buffers)
}
