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

// eventKind is the kind of an event.
type eventKind uint8

const (
	eventAccepted  eventKind = iota // a client has connected
	eventConnected                  // a connection to an endpoint is established
	eventData                       // bytes have been read
	eventClosed                     // the connection has ended, or could not be established
	eventDrained                    // output that the loop waits for has been written
)

// String returns the name of the kind.
func (k eventKind) String() string {
	return [...]string{"accepted", "connected", "data", "closed", "drained"}[k]
}

// event is something that happened on a socket.
type event struct {
	kind eventKind
	conn *connstate.Conn
	buf  *connstate.Buffer // bytes read, for eventData
	at   policy.Time       // when the event was queued
}

// Limits of the sockets.
const (
	maxDiscarded          = 512 << 10 // maximum input discarded after the last response of a connection, in bytes
	maxPendingBytes       = 128 << 10 // maximum unprocessed input or unwritten output of a connection, in bytes
	endpointReceiveBuffer = 64 << 10  // kernel's buffer in bytes; all of it may be read at once when an endpoint closes
	spareDescriptors      = 64        // added to the size of nbio's connection table
	acceptRetryInterval   = 20 * time.Millisecond
)

// sockets serves all connections and queues their events for the loop.
type sockets struct {
	clock   clock.Clock
	buffers *connstate.Buffers
	engine  *nbio.Engine
	connect connector
	signal  func() // wakes the loop
	stopped chan struct{}

	mu          sync.Mutex
	events      []event
	spareEvents []event // the queue returned last by takeEvents, for reuse

	listener     *clientListener
	clients      atomic.Int64 // client connections accepted and not closed
	maxClients   atomic.Int64
	acceptSignal chan struct{} // signals the listener to check again whether a client may be accepted

	// openCount counts the connections handed to nbio. onOpen increments it and the other callbacks read it, because
	// the race detector does not otherwise see the order in which nbio calls them.
	openCount atomic.Int64
	// maxPending is how many unprocessed or unwritten bytes a connection may have before its sender is paused.
	maxPending atomic.Int64
}

func newSockets(clock clock.Clock, buffers *connstate.Buffers, config *Config, clients int, signal func()) *sockets {
	s := &sockets{
		clock:        clock,
		buffers:      buffers,
		connect:      newConnector(config.SourceIP),
		signal:       signal,
		stopped:      make(chan struct{}),
		acceptSignal: make(chan struct{}, 1),
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
		// In edge-triggered mode nbio never changes the events it waits for. In level-triggered mode it can lose track,
		// when a connection is established, of bytes that are still to be written.
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
		s.signalAcceptor()
	}
	s.post(event{kind: eventClosed, conn: conn})
}

// onAcceptError pauses before the next accept. While descriptors are exhausted, accepting fails at once, and retrying
// without a pause would keep a core busy.
func (s *sockets) onAcceptError(error) {
	select {
	case <-s.listener.closed:
		s.listener.stopped.Store(true)
		<-s.stopped // nbio would retry until it is stopped itself
	case <-time.After(acceptRetryInterval):
	}
}

// recordWritten adds n to the bytes that the kernel has accepted, and notifies the loop once their total reaches
// conn.Output.NotifyAt.
func (s *sockets) recordWritten(conn *connstate.Conn, n int) {
	total := conn.RecordWritten(n)
	notifyAt := conn.Output.NotifyAt.Load()
	if notifyAt > 0 && total >= notifyAt && conn.Output.NotifyAt.CompareAndSwap(notifyAt, 0) {
		s.post(event{kind: eventDrained, conn: conn})
	}
}

// signalAcceptor makes the listener check again whether clients may be accepted.
func (s *sockets) signalAcceptor() {
	select {
	case s.acceptSignal <- struct{}{}:
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

// takeEvents returns the events queued since the last call. They are valid until the next call.
func (s *sockets) takeEvents() []event {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.spareEvents)
	taken := s.events
	s.events = s.spareEvents[:0]
	s.spareEvents = taken
	return taken
}

// read is called by the poller when a socket has become readable. If the peer has closed, it reads to the end of the
// stream: nbio closes the socket after this call, and the end must be recorded before that.
func (s *sockets) read(c *nbio.Conn) {
	s.openCount.Load() // synchronises with onOpen for the race detector
	if conn, ok := c.Session().(*connstate.Conn); ok {
		s.readAvailable(conn, conn.Socket.(*socket))
	}
}

// resume continues to read from a connection that was paused. It reads at once: the poller reports input when it
// arrives, but not again while it stays in the socket.
func (s *sockets) resume(conn *connstate.Conn) {
	if socket, ok := conn.Socket.(*socket); ok && socket.mayHaveInput.Load() && !conn.Input.Paused.Load() {
		s.readAvailable(conn, socket)
	}
}

// saturated reports whether reading from the connection should pause for now.
func (s *sockets) saturated(conn *connstate.Conn) bool {
	return conn.Input.Paused.Load() ||
		conn.Input.UnreadMemory.Load() >= max(connstate.SmallBuffer, s.maxPending.Load())
}

// flooding reports whether a client has sent more than is acceptable while memory is overcommitted. Many such clients
// could fill the memory before the loop rejects their requests.
func (s *sockets) flooding(conn *connstate.Conn) bool {
	return conn.Input.Unread.Load() > connstate.SmallBuffer && conn.Side == connstate.ClientSide &&
		s.buffers.Overcommitted()
}

// readAvailable reads until the socket is empty or the connection is saturated. Both the poller and the loop may call
// it. Input is posted in order, as the lock of the socket is held for reading and posting.
func (s *sockets) readAvailable(conn *connstate.Conn, socket *socket) {
	socket.mu.Lock()
	defer socket.mu.Unlock()
	socket.mayHaveInput.Store(false)
	// Each buffer is posted after the next read, as only that read shows whether the peer closed after these bytes.
	var last *connstate.Buffer
	defer func() { s.postData(conn, last) }()
	size := connstate.SmallBuffer
	for {
		if s.flooding(conn) {
			socket.shutdown()
			return
		}
		if s.saturated(conn) && !socket.discarding && !socket.readShut {
			socket.mayHaveInput.Store(true)
			if !s.saturated(conn) {
				continue // the loop has caught up meanwhile, and may not have seen mayHaveInput
			}
			if conn.Side == connstate.ClientSide || !socket.peerClosed() {
				return // the rest stays in the kernel, which slows down the sender
			}
			// The endpoint has closed, and nbio closes the socket after this call: the last bytes must be read now.
		}
		buf := s.buffers.Get(size)
		if !socket.read(conn, buf) {
			s.buffers.Put(buf)
			if socket.ended && conn.Side == connstate.ClientSide {
				conn.Input.PeerClosed.Store(true) // set before the last request is posted: that one needs no response
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
