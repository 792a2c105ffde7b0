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

// eventKind is what happened on a socket.
type eventKind uint8

const (
	eventAccepted  eventKind = iota // a client has connected
	eventConnected                  // a connection to an endpoint is established
	eventData                       // bytes have been read
	eventClosed                     // the connection has ended, or could not be established
	eventDrained                    // the bytes that the loop waits for have been written
)

// String returns the name of the kind.
func (k eventKind) String() string {
	return [...]string{"accepted", "connected", "data", "closed", "drained"}[k]
}

// event is something that happened on a socket.
type event struct {
	kind eventKind
	conn *connstate.Conn
	buf  *connstate.Buffer // of eventData
	at   policy.Time
}

// Limits of the sockets.
const (
	maxDiscarded          = 512 << 10 // input discarded after a last response
	maxPendingBytes       = 128 << 10 // input of one connection that the loop has not processed, or output not written
	endpointReceiveBuffer = 64 << 10  // of the kernel: so much may have to be read at once when an endpoint closes
	spareDescriptors      = 64        // added to the size of nbio's table of connections
	acceptRetryInterval   = 20 * time.Millisecond
)

// sockets serves all connections and queues their events; the loop takes the queue.
type sockets struct {
	clock   clock.Clock
	buffers *connstate.Buffers
	engine  *nbio.Engine
	connect connector
	signal  func() // wakes the loop
	stopped chan struct{}

	mu          sync.Mutex
	events      []event
	spareEvents []event // the queue taken last, for reuse

	listener   *clientListener
	clients    atomic.Int64 // accepted and not closed
	maxClients atomic.Int64
	roomFreed  chan struct{} // signals the listener that a client may be accepted

	// openCount counts connections handed to nbio. It is raised in OnOpen and read in the other callbacks, as the race
	// detector does not see the order in which nbio calls them.
	openCount atomic.Int64
	// maxPending is how many unprocessed or unwritten bytes one connection may have before its sender waits.
	maxPending atomic.Int64
}

func newSockets(clock clock.Clock, buffers *connstate.Buffers, config *Config, clients int, signal func()) *sockets {
	s := &sockets{
		clock:     clock,
		buffers:   buffers,
		connect:   newConnector(config.SourceIP),
		signal:    signal,
		stopped:   make(chan struct{}),
		roomFreed: make(chan struct{}, 1),
	}
	s.maxClients.Store(int64(clients))
	s.maxPending.Store(maxPendingBytes)
	s.listener = &clientListener{sockets: s, opened: make(chan struct{}), closed: make(chan struct{})}
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = config.Descriptors + spareDescriptors
	s.engine = nbio.NewEngine(nbio.Config{
		Name:    "sidecar",
		Network: "tcp",
		Addrs:   []string{config.Listen},
		NPoller: 1,
		// Edge-triggered, nbio never changes what it waits for. Level-triggered, it can forget, when a connection comes
		// up, that bytes are still to be written.
		EpollMod: nbio.EPOLLET,
		Listen: func(network, addr string) (net.Listener, error) {
			l, err := openListener(network, addr, config.InheritedListener)
			s.listener.Listener = l
			return s.listener, err
		},
	})
	s.engine.OnOpen(s.onOpen)
	s.engine.OnRead(s.read)
	s.engine.OnWrittenSize(s.onWritten)
	s.engine.OnClose(s.onClose)
	s.engine.OnAcceptError(s.onAcceptError)
	return s
}

func (s *sockets) onOpen(c *nbio.Conn) {
	if conn, dialled := c.Session().(*connstate.Conn); dialled {
		s.openCount.Add(1)
		s.post(event{kind: eventConnected, conn: conn})
		return
	}
	s.clients.Add(1)
	conn := &connstate.Conn{Socket: newSocket(c), Side: connstate.ClientSide}
	c.SetSession(conn)
	s.openCount.Add(1)
	s.post(event{kind: eventAccepted, conn: conn})
}

func (s *sockets) onWritten(c *nbio.Conn, _ []byte, n int) {
	s.openCount.Load()
	if conn, ok := c.Session().(*connstate.Conn); ok {
		s.recordWritten(conn, n)
	}
}

func (s *sockets) onClose(c *nbio.Conn, _ error) {
	s.openCount.Load()
	conn, ok := c.Session().(*connstate.Conn)
	if !ok {
		return
	}
	if conn.Side == connstate.ClientSide {
		s.clients.Add(-1)
		s.signalRoom()
	}
	s.post(event{kind: eventClosed, conn: conn})
}

// onAcceptError pauses: without descriptors accepting fails at once, and would keep a core busy.
func (s *sockets) onAcceptError(error) {
	select {
	case <-s.listener.closed:
		s.listener.stopped.Store(true)
		<-s.stopped // nbio tries again until it is stopped itself
	case <-time.After(acceptRetryInterval):
	}
}

// recordWritten adds to what the kernel has taken, and notifies the loop if it waits for that.
func (s *sockets) recordWritten(conn *connstate.Conn, n int) {
	total := conn.RecordWritten(n)
	notifyAt := conn.Output.NotifyAt.Load()
	if notifyAt > 0 && total >= notifyAt && conn.Output.NotifyAt.CompareAndSwap(notifyAt, 0) {
		s.post(event{kind: eventDrained, conn: conn})
	}
}

// signalRoom has the listener check again whether clients may be accepted.
func (s *sockets) signalRoom() {
	select {
	case s.roomFreed <- struct{}{}:
	default:
	}
}

// post queues an event for the loop.
func (s *sockets) post(e event) {
	e.at = s.clock.Now()
	s.mu.Lock()
	s.events = append(s.events, e)
	s.mu.Unlock()
	s.signal()
}

// takeEvents returns the events since the last call. They are valid until the next one.
func (s *sockets) takeEvents() []event {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.spareEvents)
	taken := s.events
	s.events = s.spareEvents[:0]
	s.spareEvents = taken
	return taken
}

// read is called by the poller when a socket has become readable. It reads up to the end of the stream where that has
// come: nbio closes the socket after it, and the socket must know before.
func (s *sockets) read(c *nbio.Conn) {
	s.openCount.Load() // what OnOpen wrote was written before this
	if conn, ok := c.Session().(*connstate.Conn); ok {
		s.readAvailable(conn, conn.Socket.(*socket))
	}
}

// resume continues reading where it was paused. The poller does not report again what is already in the socket.
func (s *sockets) resume(conn *connstate.Conn) {
	if socket, ok := conn.Socket.(*socket); ok && socket.inputLeft.Load() && !conn.Input.Paused.Load() {
		s.readAvailable(conn, socket)
	}
}

// saturated reports whether no more should be read from the connection for now.
func (s *sockets) saturated(conn *connstate.Conn) bool {
	return conn.Input.Paused.Load() ||
		conn.Input.UnreadMemory.Load() >= max(connstate.SmallBuffer, s.maxPending.Load())
}

// flooding reports whether a client has sent more than is acceptable while memory is overcommitted: many of them could
// fill the memory before the loop comes to reject them.
func (s *sockets) flooding(conn *connstate.Conn) bool {
	return conn.Input.Unread.Load() > connstate.SmallBuffer && conn.Side == connstate.ClientSide &&
		s.buffers.Overcommitted()
}

// readAvailable reads until the socket is empty or the connection is saturated. The poller and the loop may both call
// it; what is read is posted in order, as both happens under the socket's lock.
func (s *sockets) readAvailable(conn *connstate.Conn, socket *socket) {
	socket.mu.Lock()
	defer socket.mu.Unlock()
	socket.inputLeft.Store(false)
	// The latest buffer is posted one read late: only behind it shows whether the peer has closed.
	var last *connstate.Buffer
	defer func() { s.postData(conn, last) }()
	size := connstate.SmallBuffer
	for {
		if s.flooding(conn) {
			socket.shutdown()
			return
		}
		if s.saturated(conn) && !socket.discarding && !socket.readShut {
			socket.inputLeft.Store(true)
			if !s.saturated(conn) {
				continue // the loop has caught up meanwhile, and may not have seen that input is left
			}
			if conn.Side == connstate.ClientSide || !socket.peerClosed() {
				return // the rest stays in the kernel, which slows down its sender
			}
			// The endpoint has closed. nbio closes after this call, so its last bytes can only be read now.
		}
		buf := s.buffers.Get(size)
		if !socket.read(conn, buf) {
			s.buffers.Put(buf)
			if socket.ended && conn.Side == connstate.ClientSide {
				conn.Input.PeerClosed.Store(true) // before its last request is posted, which needs no response
			}
			return
		}
		s.postData(conn, last)
		last = buf
		conn.Input.UnreadMemory.Add(int64(cap(buf.B)))
		size = connstate.SmallBuffer
		if len(buf.B) == cap(buf.B) {
			size = connstate.LargeBuffer // more is likely to follow
		}
	}
}

func (s *sockets) postData(conn *connstate.Conn, buf *connstate.Buffer) {
	if buf != nil {
		s.post(event{kind: eventData, conn: conn, buf: buf})
	}
}
