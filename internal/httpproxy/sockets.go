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

// happening is what a socket has to tell the loop.
type happening uint8

const (
	opened happening = iota // by a client
	connected
	arrived // bytes
	closed  // or never connected
	drained // of what the loop waited for
)

type event struct {
	what happening
	conn *connstate.Conn
	buf  *connstate.Buffer
	at   policy.Time
}

// sockets serves all connections and queues what happens on them; the loop takes the queue.
type sockets struct {
	clock   clock.Clock
	buffers *connstate.Buffers
	engine  *nbio.Engine
	connect func(addr string, within policy.Time) (net.Conn, error)
	mu      sync.Mutex
	events  []event
	spare   []event
	signal  func()
	clients atomic.Int64 // accepted and not closed
	opened  atomic.Int64 // counts connections handed to nbio, whose own order of calls the race detector cannot see
	most    atomic.Int64 // of these
	room    chan struct{}
	gate    *gate
	ahead   atomic.Int64  // that one connection may have sent, or wait to be written on one, before its sender waits
	ended   chan struct{} // closed when nbio is to end
}

const (
	mostHushed = 512 << 10 // read and thrown away after a last answer
	mostAhead  = 128 << 10 // what one connection may have sent before the loop has looked at it, and what waits to be written
	mostTaken  = 64 << 10  // asked of the kernel for what endpoints send: so much may have to be taken at once when one closes
)

func newSockets(clock clock.Clock, buffers *connstate.Buffers, post *Config, clients int, signal func()) *sockets {
	s := &sockets{clock: clock, buffers: buffers, connect: connect(post.SourceIP), signal: signal, room: make(chan struct{}, 1), ended: make(chan struct{})}
	s.most.Store(int64(clients))
	s.ahead.Store(mostAhead)
	s.gate = &gate{s: s, begun: make(chan struct{}), over: make(chan struct{})}
	logging.SetLevel(logging.LevelNone)
	// nbio holds a table of this size.
	nbio.MaxOpenFiles = post.Descriptors + 64
	s.engine = nbio.NewEngine(nbio.Config{Name: "sidecar", Network: "tcp", Addrs: []string{post.Listen}, NPoller: 1,
		// Told of edges alone, nbio never changes what it waits for: with levels it can forget, when a
		// connection comes up, that bytes are still to be written.
		EpollMod: nbio.EPOLLET,
		Listen: func(network, addr string) (net.Listener, error) {
			l, err := listen(network, addr, post.InheritedListener)
			s.gate.Listener = l
			return s.gate, err
		}})
	s.engine.OnOpen(func(c *nbio.Conn) {
		conn, dialled := c.Session().(*connstate.Conn)
		if dialled {
			s.opened.Add(1)
			s.post(event{what: connected, conn: conn})
			return
		}
		s.clients.Add(1)
		conn = &connstate.Conn{Socket: newLink(c), Side: connstate.ClientSide}
		c.SetSession(conn)
		s.opened.Add(1)
		s.post(event{what: opened, conn: conn})
	})
	s.engine.OnRead(s.read)
	s.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		s.opened.Load()
		if conn, ok := c.Session().(*connstate.Conn); ok {
			s.took(conn, n)
		}
	})
	s.engine.OnClose(func(c *nbio.Conn, _ error) {
		s.opened.Load()
		if conn, ok := c.Session().(*connstate.Conn); ok {
			if conn.Side == connstate.ClientSide {
				s.clients.Add(-1)
				s.roomAgain()
			}
			s.post(event{what: closed, conn: conn})
		}
	})
	// Out of descriptors, accepting fails at once and for ever: without a pause it would take the whole core.
	s.engine.OnAcceptError(func(error) {
		select {
		case <-s.gate.over:
			s.gate.ended.Store(true)
			<-s.ended // no more come: nbio asks again until it ends itself
		case <-time.After(20 * time.Millisecond):
		}
	})
	return s
}

// took notes what the kernel has taken, and tells the loop where that waits for it.
func (s *sockets) took(conn *connstate.Conn, n int) {
	all := conn.RecordWritten(n)
	if at := conn.Output.NotifyAt.Load(); at > 0 && all >= at && conn.Output.NotifyAt.CompareAndSwap(at, 0) {
		s.post(event{what: drained, conn: conn})
	}
}

// roomAgain has the gate look again.
func (s *sockets) roomAgain() {
	select {
	case s.room <- struct{}{}:
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

// take gives what has happened since the last call; it is the caller's until the next.
func (s *sockets) take() []event {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.spare)
	got := s.events
	s.events, s.spare = s.spare[:0], got
	return got
}

// read empties the socket, up to its end where that has come: nbio closes it after that, and the link must know before.
func (s *sockets) read(c *nbio.Conn) {
	s.opened.Load() // what OnOpen wrote was written before this
	if conn, ok := c.Session().(*connstate.Conn); ok {
		s.fill(conn, conn.Socket.(*link))
	}
}

// Resume reads on where reading was left, if it was. The poller is not told again of what stands there already.
func (s *sockets) resume(conn *connstate.Conn) {
	if l, ok := conn.Socket.(*link); ok && l.held.Load() && !conn.Input.Paused.Load() {
		s.fill(conn, l)
	}
}

// enough tells whether no more should be read for now.
func (s *sockets) enough(conn *connstate.Conn) bool {
	return conn.Input.Paused.Load() || conn.Input.UnreadMemory.Load() >= max(connstate.SmallBuffer, s.ahead.Load())
}

// fill takes what stands in the socket, until it is empty or enough is under way. The poller and the loop may both come to it; what
// is read is posted in order, as both happens under the link's lock.
func (s *sockets) fill(conn *connstate.Conn, l *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held.Store(false)
	var got *connstate.Buffer // read and not told yet: whether its sender has left shows only behind it
	defer func() {
		if got != nil {
			s.post(event{what: arrived, conn: conn, buf: got})
		}
	}()
	for size := connstate.SmallBuffer; ; {
		unread := conn.Input.Unread.Load()
		if unread > connstate.SmallBuffer && conn.Side == connstate.ClientSide && s.buffers.Overcommitted() {
			// Many at once may fill the memory before the loop comes to turn them back.
			l.cutOff()
			return
		}
		if s.enough(conn) && !l.hush && !l.cut {
			l.held.Store(true)
			if !s.enough(conn) {
				continue // the loop has come to it meanwhile, and may not have seen that this waits
			}
			if conn.Side == connstate.ClientSide || !l.hungUp() {
				return // what is more stands in the kernel, and so holds up its sender
			}
			// The endpoint has closed. nbio does so after this, and what it still had to say is to be had only now.
		}
		buf := s.buffers.Get(size)
		if !l.read(conn, buf) {
			s.buffers.Put(buf)
			if l.gone && conn.Side == connstate.ClientSide {
				conn.Input.PeerClosed.Store(true) // before its last request is told: nobody waits for the answer
			}
			return
		}
		if got != nil {
			s.post(event{what: arrived, conn: conn, buf: got})
		}
		got = buf
		conn.Input.UnreadMemory.Add(int64(cap(buf.B)))
		if size = connstate.SmallBuffer; len(buf.B) == cap(buf.B) {
			size = connstate.LargeBuffer // there is much
		}
	}
}
