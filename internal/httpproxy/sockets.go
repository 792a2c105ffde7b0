package httpproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"pepperlead/internal/clock"
	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// eventKind is what a socket has to tell the loop.
type eventKind uint8

const (
	eventAccepted eventKind = iota // by a client
	eventConnected
	eventData    // bytes
	eventClosed  // or never connected
	eventDrained // of what the loop waited for
)

type event struct {
	kind eventKind
	conn *connstate.Conn
	buf  *connstate.Buffer
	at   policy.Time
}

// sockets serves all connections and queues what happens on them; the loop takes the queue.
type sockets struct {
	clock       clock.Clock
	buffers     *connstate.Buffers
	engine      *nbio.Engine
	connect     func(addr string, within policy.Time) (net.Conn, error)
	mu          sync.Mutex
	events      []event
	spareEvents []event
	signal      func()
	clients     atomic.Int64 // accepted and not closed
	openCount   atomic.Int64 // counts connections handed to nbio, whose own order of calls the race detector cannot see
	maxClients  atomic.Int64 // of these
	roomFreed   chan struct{}
	listener    *clientListener
	maxPending  atomic.Int64  // that one connection may have sent, or wait to be written on one, before its sender waits
	stopped     chan struct{} // closed when nbio is to end
}

const (
	maxDiscarded          = 512 << 10 // read and thrown away after a last answer
	maxPendingBytes       = 128 << 10 // what one connection may have sent before the loop has looked at it, and what waits to be written
	endpointReceiveBuffer = 64 << 10  // asked of the kernel for what endpoints send: so much may have to be taken at once when one closes
)

func newSockets(clock clock.Clock, buffers *connstate.Buffers, post *Config, clients int, signal func()) *sockets {
	s := &sockets{clock: clock, buffers: buffers, connect: newConnector(post.SourceIP), signal: signal, roomFreed: make(chan struct{}, 1), stopped: make(chan struct{})}
	s.maxClients.Store(int64(clients))
	s.maxPending.Store(maxPendingBytes)
	s.listener = &clientListener{sockets: s, opened: make(chan struct{}), closed: make(chan struct{})}
	logging.SetLevel(logging.LevelNone)
	// nbio holds a table of this size.
	nbio.MaxOpenFiles = post.Descriptors + 64
	s.engine = nbio.NewEngine(nbio.Config{Name: "sidecar", Network: "tcp", Addrs: []string{post.Listen}, NPoller: 1,
		// Told of edges alone, nbio never changes what it waits for: with levels it can forget, when a
		// connection comes up, that bytes are still to be written.
		EpollMod: nbio.EPOLLET,
		Listen: func(network, addr string) (net.Listener, error) {
			l, err := openListener(network, addr, post.InheritedListener)
			s.listener.Listener = l
			return s.listener, err
		}})
	s.engine.OnOpen(func(c *nbio.Conn) {
		conn, dialled := c.Session().(*connstate.Conn)
		if dialled {
			s.openCount.Add(1)
			s.post(event{kind: eventConnected, conn: conn})
			return
		}
		s.clients.Add(1)
		conn = &connstate.Conn{Socket: newSocket(c), Side: connstate.ClientSide}
		c.SetSession(conn)
		s.openCount.Add(1)
		s.post(event{kind: eventAccepted, conn: conn})
	})
	s.engine.OnRead(s.read)
	s.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		s.openCount.Load()
		if conn, ok := c.Session().(*connstate.Conn); ok {
			s.recordWritten(conn, n)
		}
	})
	s.engine.OnClose(func(c *nbio.Conn, _ error) {
		s.openCount.Load()
		if conn, ok := c.Session().(*connstate.Conn); ok {
			if conn.Side == connstate.ClientSide {
				s.clients.Add(-1)
				s.signalRoom()
			}
			s.post(event{kind: eventClosed, conn: conn})
		}
	})
	// Out of descriptors, accepting fails at once and for ever: without a pause it would take the whole core.
	s.engine.OnAcceptError(func(error) {
		select {
		case <-s.listener.closed:
			s.listener.stopped.Store(true)
			<-s.stopped // no more come: nbio asks again until it ends itself
		case <-time.After(20 * time.Millisecond):
		}
	})
	return s
}

// recordWritten notes what the kernel has taken, and tells the loop where that waits for it.
func (s *sockets) recordWritten(conn *connstate.Conn, n int) {
	all := conn.RecordWritten(n)
	if at := conn.Output.NotifyAt.Load(); at > 0 && all >= at && conn.Output.NotifyAt.CompareAndSwap(at, 0) {
		s.post(event{kind: eventDrained, conn: conn})
	}
}

// signalRoom has the gate look again.
func (s *sockets) signalRoom() {
	select {
	case s.roomFreed <- struct{}{}:
	default:
	}
}

func (s *sockets) post(e event) {
	e.at = s.clock.Now()
	s.mu.Lock()
	s.events = append(s.events, e)
	s.mu.Unlock()
	s.signal()
}

// takeEvents gives what has happened since the last call; it is the caller's until the next.
func (s *sockets) takeEvents() []event {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.spareEvents)
	got := s.events
	s.events, s.spareEvents = s.spareEvents[:0], got
	return got
}

// read empties the socket, up to its end where that has come: nbio closes it after that, and the link must know before.
func (s *sockets) read(c *nbio.Conn) {
	s.openCount.Load() // what OnOpen wrote was written before this
	if conn, ok := c.Session().(*connstate.Conn); ok {
		s.readAvailable(conn, conn.Socket.(*socket))
	}
}

// Resume reads on where reading was left, if it was. The poller is not told again of what stands there already.
func (s *sockets) resume(conn *connstate.Conn) {
	if l, ok := conn.Socket.(*socket); ok && l.inputLeft.Load() && !conn.Input.Paused.Load() {
		s.readAvailable(conn, l)
	}
}

// saturated tells whether no more should be read for now.
func (s *sockets) saturated(conn *connstate.Conn) bool {
	return conn.Input.Paused.Load() || conn.Input.UnreadMemory.Load() >= max(connstate.SmallBuffer, s.maxPending.Load())
}

// readAvailable takes what stands in the socket, until it is empty or enough is under way. The poller and the loop may both come to it; what
// is read is posted in order, as both happens under the link's lock.
func (s *sockets) readAvailable(conn *connstate.Conn, l *socket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inputLeft.Store(false)
	var got *connstate.Buffer // read and not told yet: whether its sender has left shows only behind it
	defer func() {
		if got != nil {
			s.post(event{kind: eventData, conn: conn, buf: got})
		}
	}()
	for size := connstate.SmallBuffer; ; {
		unread := conn.Input.Unread.Load()
		if unread > connstate.SmallBuffer && conn.Side == connstate.ClientSide && s.buffers.Overcommitted() {
			// Many at once may fill the memory before the loop comes to turn them back.
			l.shutdown()
			return
		}
		if s.saturated(conn) && !l.discarding && !l.readShut {
			l.inputLeft.Store(true)
			if !s.saturated(conn) {
				continue // the loop has come to it meanwhile, and may not have seen that this waits
			}
			if conn.Side == connstate.ClientSide || !l.peerClosed() {
				return // what is more stands in the kernel, and so holds up its sender
			}
			// The endpoint has closed. nbio does so after this, and what it still had to say is to be had only now.
		}
		buf := s.buffers.Get(size)
		if !l.read(conn, buf) {
			s.buffers.Put(buf)
			if l.ended && conn.Side == connstate.ClientSide {
				conn.Input.PeerClosed.Store(true) // before its last request is told: nobody waits for the answer
			}
			return
		}
		if got != nil {
			s.post(event{kind: eventData, conn: conn, buf: got})
		}
		got = buf
		conn.Input.UnreadMemory.Add(int64(cap(buf.B)))
		if size = connstate.SmallBuffer; len(buf.B) == cap(buf.B) {
			size = connstate.LargeBuffer // there is much
		}
	}
}
