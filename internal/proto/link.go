package proto

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"

	"pepperlead/internal/clock"
	"pepperlead/internal/state"
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
	conn *state.Conn
	buf  *state.Buffer
	at   policy.Time
}

// sockets serves all connections and queues what happens on them; the loop takes the queue.
type sockets struct {
	clock   clock.Clock
	buffers *state.Buffers
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

// gate lets clients in while there is room. One accepted without would have to be closed at once, and with it the request
// that it may have sent; outside, it waits for as long as the queue of the kernel lasts. Where other processes listen on the same
// queue, what this one does not take is theirs.
type gate struct {
	net.Listener
	s     *sockets
	begun chan struct{} // closed once clients may come in
	over  chan struct{} // closed once none may any more
	once  sync.Once
	ended atomic.Bool // whoever takes clients from the queue knows that, and has told the loop of all that it took
}

func (g *gate) Accept() (net.Conn, error) {
	select {
	case <-g.begun:
	case <-g.over:
	}
	for g.s.clients.Load() >= g.s.most.Load() {
		select {
		case <-g.s.room:
		case <-g.over:
			return nil, net.ErrClosed
		}
	}
	return g.Listener.Accept()
}

// queued tells whether somebody waits in the kernel to be accepted.
func (g *gate) queued() (is bool) {
	l, ok := g.Listener.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		of := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(of, 0)
		is = err == nil && n > 0 && of[0].Revents == unix.POLLIN
	})
	return is
}

// Close leaves the queue; a listener that others have too is not shut down by it.
func (g *gate) Close() error {
	g.once.Do(func() { close(g.over) })
	return g.Listener.Close()
}

// listen opens the address, or takes the listener that the process was started with.
func listen(network, addr string, inherited int) (net.Listener, error) {
	if inherited == 0 {
		return net.Listen(network, addr)
	}
	f := os.NewFile(uintptr(inherited), "inherited listener")
	if f == nil {
		return nil, fmt.Errorf("inherited listener: %d is no descriptor", inherited)
	}
	defer f.Close() // FileListener has a duplicate
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("inherited listener: descriptor %d: %w", inherited, err)
	}
	return l, nil
}

const (
	mostHushed = 512 << 10 // read and thrown away after a last answer
	mostAhead  = 128 << 10 // what one connection may have sent before the loop has looked at it, and what waits to be written
	mostTaken  = 64 << 10  // asked of the kernel for what servers send: so much may have to be taken at once when one closes
)

func newSockets(clock clock.Clock, buffers *state.Buffers, post *Post, clients int, signal func()) *sockets {
	s := &sockets{clock: clock, buffers: buffers, connect: connect(post.From), signal: signal, room: make(chan struct{}, 1), ended: make(chan struct{})}
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
			l, err := listen(network, addr, post.Inherited)
			s.gate.Listener = l
			return s.gate, err
		}})
	s.engine.OnOpen(func(c *nbio.Conn) {
		conn, dialled := c.Session().(*state.Conn)
		if dialled {
			s.opened.Add(1)
			s.post(event{what: connected, conn: conn})
			return
		}
		s.clients.Add(1)
		conn = &state.Conn{Link: newLink(c), Side: state.Client}
		c.SetSession(conn)
		s.opened.Add(1)
		s.post(event{what: opened, conn: conn})
	})
	s.engine.OnRead(s.read)
	s.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		s.opened.Load()
		if conn, ok := c.Session().(*state.Conn); ok {
			s.took(conn, n)
		}
	})
	s.engine.OnClose(func(c *nbio.Conn, _ error) {
		s.opened.Load()
		if conn, ok := c.Session().(*state.Conn); ok {
			if conn.Side == state.Client {
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
func (s *sockets) took(conn *state.Conn, n int) {
	all := conn.Took(n)
	if at := conn.Tell.Load(); at > 0 && all >= at && conn.Tell.CompareAndSwap(at, 0) {
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
	if conn, ok := c.Session().(*state.Conn); ok {
		s.fill(conn, conn.Link.(*link))
	}
}

// Resume reads on where reading was left, if it was. The poller is not told again of what stands there already.
func (s *sockets) resume(conn *state.Conn) {
	if l, ok := conn.Link.(*link); ok && l.held.Load() && !conn.Stop.Load() {
		s.fill(conn, l)
	}
}

// enough tells whether no more should be read for now.
func (s *sockets) enough(conn *state.Conn) bool {
	return conn.Stop.Load() || conn.Ahead.Load() >= max(state.Small, s.ahead.Load())
}

// fill takes what stands in the socket, until it is empty or enough is under way. The poller and the loop may both come to it; what
// is read is posted in order, as both happens under the link's lock.
func (s *sockets) fill(conn *state.Conn, l *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held.Store(false)
	var got *state.Buffer // read and not told yet: whether its sender has left shows only behind it
	defer func() {
		if got != nil {
			s.post(event{what: arrived, conn: conn, buf: got})
		}
	}()
	for size := state.Small; ; {
		unread := conn.Unread.Load()
		if unread > state.Small && conn.Side == state.Client && s.buffers.Flooded() {
			// Many at once may fill the memory before the loop comes to turn them back.
			l.cutOff()
			return
		}
		if s.enough(conn) && !l.hush && !l.cut {
			l.held.Store(true)
			if !s.enough(conn) {
				continue // the loop has come to it meanwhile, and may not have seen that this waits
			}
			if conn.Side == state.Client || !l.hungUp() {
				return // what is more stands in the kernel, and so holds up its sender
			}
			// The server has closed. nbio does so after this, and what it still had to say is to be had only now.
		}
		buf := s.buffers.Get(size)
		if !l.read(conn, buf) {
			s.buffers.Put(buf)
			if l.gone && conn.Side == state.Client {
				conn.Left.Store(true) // before its last request is told: nobody waits for the answer
			}
			return
		}
		if got != nil {
			s.post(event{what: arrived, conn: conn, buf: got})
		}
		got = buf
		conn.Ahead.Add(int64(cap(buf.B)))
		if size = state.Small; len(buf.B) == cap(buf.B) {
			size = state.Large // there is much
		}
	}
}

// link is a connection as the loop uses it. Its descriptor is closed in one place, by nbio's poller, when the socket has
// ended: closed from elsewhere it could be a new connection's by the time the poller comes to what it had to tell of the
// old one, and that new one would be closed in its place.
type link struct {
	nb     *nbio.Conn
	fd     int
	mu     sync.Mutex
	held   atomic.Bool // more may stand in the socket than has been read
	gone   bool        // ended: the descriptor may be another's at any moment
	failed bool        // a read or a write has
	cut    bool        // what still comes is not read
	hush   bool        // it is read and thrown away
	left   int         // so many bytes of it at most
}

func newLink(c *nbio.Conn) *link {
	l := &link{nb: c}
	raw, _ := c.SyscallConn()
	raw.Control(func(fd uintptr) { l.fd = int(fd) })
	return l
}

// read takes what is there, false if that is nothing. It is called with the lock held.
func (l *link) read(conn *state.Conn, buf *state.Buffer) bool {
	if l.cut {
		l.gone = true
		return false
	}
	if l.hush && l.left <= 0 {
		return false // what is more stands in the kernel, and so holds up its sender, until the connection is closed
	}
	for {
		switch n, err := l.nb.Read(buf.B[:cap(buf.B)]); {
		case n > 0 && l.hush:
			if l.left -= n; l.left <= 0 {
				return false
			}
		case n > 0:
			buf.B = buf.B[:n]
			conn.Unread.Add(int64(n))
			return true
		case err == syscall.EINTR:
		case n == 0 && err == nil:
			// The socket tells of a reset once, to a write or a read: whatever is read after that looks like an orderly end.
			conn.EOF.Store(!l.failed)
			l.gone = true
			return false
		case err == syscall.EAGAIN:
			return false
		default:
			l.gone, l.failed = true, true
			return false
		}
	}
}

// hungUp tells whether the other end has closed.
func (l *link) hungUp() bool {
	of := []unix.PollFd{{Fd: int32(l.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(of, 0)
	return !l.gone && err == nil && n > 0 && of[0].Revents != 0
}

// Cut ends a connection on which nothing is under way. It refuses where bytes have come: their sender would take the end
// for the loss of a request. What comes later is left unread, and so reset by the kernel: the client sends it again.
func (l *link) Cut(conn *state.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.quiet(conn) {
		return false
	}
	l.cut = true
	return syscall.Shutdown(l.fd, syscall.SHUT_RDWR) == nil
}

// Quiet tells whether nothing has come that the loop has not heard of. What stands there before a request is sent is no
// answer to it.
func (l *link) Quiet(conn *state.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quiet(conn)
}

func (l *link) quiet(conn *state.Conn) bool {
	if l.gone || conn.Unread.Load() > 0 {
		return false
	}
	// Neither bytes nor the other end's close, which the poller may not have come to yet.
	var one [1]byte
	_, _, err := unix.Recvfrom(l.fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// Hush is called with the last answer. A client that goes on sending must cost neither memory nor the loop's time, and still
// gets to read what it is told: closed at once, the kernel would throw that away.
func (l *link) Hush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hush, l.left = true, mostHushed
}

// Write sends what the kernel takes and leaves the rest to nbio. A failure is told by the poller, as the socket's end.
func (l *link) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone {
		return 0, net.ErrClosed
	}
	conn := l.nb.Session().(*state.Conn)
	if conn.Flushed() {
		n, err := syscall.Write(l.fd, b)
		if n > 0 {
			conn.Took(n) // the loop itself looks what it waits for
			b = b[n:]
		}
		if err != nil && err != syscall.EAGAIN && err != syscall.EINTR {
			l.failed = true
			return n, err
		}
		if len(b) == 0 {
			return n, nil
		}
	}
	return l.nb.Write(b)
}

// cutOff closes the socket to a sender of too much. It is called with the lock held.
func (l *link) cutOff() {
	if !l.gone && !l.cut {
		l.cut = true
		syscall.Shutdown(l.fd, syscall.SHUT_RDWR)
	}
}

// Close ends the socket both ways; the poller hears of it and closes. After it no byte more goes out, and Written tells of all that did.
func (l *link) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone {
		return nil
	}
	err := syscall.Shutdown(l.fd, syscall.SHUT_RDWR)
	l.nb.Write(nil) // waits for what nbio is writing just now
	return err
}

// Reset ends the socket without an end of its stream: where neither length nor chunks tell a part from the whole, nothing else does. Its
// reading side is shut, of which the poller hears; when that closes it, the kernel sends a reset, as it is told not to linger.
func (l *link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone {
		return
	}
	l.cut = true
	unix.SetsockoptLinger(l.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	syscall.Shutdown(l.fd, syscall.SHUT_RD)
}

// connect opens connections that leave from that address; nil: from whichever the kernel picks.
func connect(from net.IP) func(addr string, within policy.Time) (net.Conn, error) {
	var leave net.Addr
	if from != nil {
		leave = &net.TCPAddr{IP: from}
	}
	return func(addr string, within policy.Time) (net.Conn, error) {
		d := net.Dialer{Timeout: time.Duration(within), KeepAlive: -1, LocalAddr: leave, Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, mostTaken) })
		}}
		return d.Dial("tcp", addr)
	}
}

// dial opens the connection and tells the loop; dialling waits in a goroutine, as nbio's own neither says which
// connection failed nor lets one be told apart before it is up.
func (s *sockets) dial(conn *state.Conn, addr string, within policy.Time) {
	go func() {
		up, err := s.connect(addr, within)
		if err != nil {
			s.post(event{what: closed, conn: conn})
			return
		}
		c, err := nbio.NBConn(up)
		if err != nil {
			up.Close()
			s.post(event{what: closed, conn: conn})
			return
		}
		conn.Link = newLink(c)
		c.SetSession(conn)
		if _, err := s.engine.AddConn(c); err != nil {
			c.Close()
			s.post(event{what: closed, conn: conn}) // told twice at the most, which is harmless
		}
	}()
}
