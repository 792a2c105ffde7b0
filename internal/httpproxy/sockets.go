package httpproxy

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"pepperlead/internal/clock"
	"pepperlead/internal/connstate"
	"pepperlead/internal/epoll"
	"pepperlead/policy"
)

// eventKind is the kind of an event.
type eventKind uint8

const (
	eventAccepted  eventKind = iota // a client has connected
	eventConnected                  // a connection to an endpoint is established
	eventReady                      // a connection can be read or written, or its peer has closed it
	eventClosed                     // a connection could not be established
)

// String returns the name of the kind.
func (k eventKind) String() string {
	return [...]string{"accepted", "connected", "ready", "closed"}[k]
}

// event is something that happened on a socket.
type event struct {
	kind    eventKind
	conn    *connstate.Conn
	watched *watched     // for events that the poller reported
	events  epoll.Events // for eventReady
	socket  *socket      // the new socket, for eventAccepted and eventConnected
	failure dialFailure  // for eventClosed
	at      policy.Time  // when it happened
}

// watched is a descriptor whose events the poller reports. sockets.mu guards it.
type watched struct {
	conn       *connstate.Conn // nil for the listener
	generation int32
	pending    epoll.Events // events that the loop has not taken yet
	queued     bool         // an event for them is queued
}

// sockets waits for events on all connections and queues them for the loop. It neither reads nor writes: the loop does
// both, when a connection's turn has come and its bytes are wanted.
type sockets struct {
	clock   clock.Clock
	buffers *connstate.Buffers
	poller  *epoll.Poller // nil until start has been called
	connect connector
	signal  func() // wakes the loop

	listener *clientListener

	mu          sync.Mutex
	events      []event
	spareEvents []event    // the queue returned last by takeEvents, for reuse
	byNumber    []*watched // by descriptor
	generation  int32      // of the latest registration
}

func newSockets(clock clock.Clock, buffers *connstate.Buffers, config *Config, clients int, signal func()) *sockets {
	s := &sockets{clock: clock, buffers: buffers, connect: newConnector(config.SourceIP), signal: signal}
	s.listener = newClientListener(s, clients)
	return s
}

// start opens the listener and begins to wait for events. Errors are those of the listener and of epoll.New.
func (s *sockets) start(config *Config) error {
	poller, err := epoll.New()
	if err != nil {
		return err
	}
	s.poller = poller
	go func() { _ = poller.Run(s.queueEvents) }() // it fails only if the process misuses its descriptors
	if err := s.listener.start(config.Listen, config.InheritedListener); err != nil {
		poller.Close()
		return err
	}
	return nil
}

// stop ends the goroutines of the listener and of the poller. It waits for the former no longer than the timeout.
func (s *sockets) stop(timeout time.Duration) {
	s.listener.close()
	if s.poller == nil {
		return
	}
	select {
	case <-s.listener.stopped:
	case <-time.After(timeout):
	}
	s.poller.Close()
}

// newSocket returns a socket with an open, non-blocking descriptor.
func (s *sockets) newSocket(descriptor int, conn *connstate.Conn) *socket {
	return &socket{conn: conn, descriptor: descriptor, buffers: s.buffers, watched: watched{conn: conn}}
}

// watch makes the poller report the events of a descriptor. The present conditions are reported at once. Errors are
// those of epoll_ctl(2).
func (s *sockets) watch(descriptor int, w *watched) error {
	s.mu.Lock()
	s.generation++
	token := epoll.Token{Descriptor: int32(descriptor), Generation: s.generation}
	w.generation = token.Generation
	for len(s.byNumber) <= descriptor {
		s.byNumber = append(s.byNumber, nil)
	}
	s.byNumber[descriptor] = w
	s.mu.Unlock()
	return s.poller.Add(token)
}

// queueEvents queues the events of a batch. Events of a descriptor that were not taken yet are combined. An event of an
// earlier socket with the same descriptor is ignored.
func (s *sockets) queueEvents(batch []epoll.Event) {
	now := s.clock.Now()
	s.mu.Lock()
	for _, e := range batch {
		w := s.byNumber[e.Token.Descriptor]
		if w.generation != e.Token.Generation {
			continue
		}
		w.pending |= e.Events
		if w.queued {
			continue
		}
		if w.conn == nil {
			s.listener.signal()
			continue
		}
		w.queued = true
		s.events = append(s.events, event{kind: eventReady, conn: w.conn, watched: w, at: now})
	}
	s.mu.Unlock()
	s.signal()
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
	for i := range taken {
		if e := &taken[i]; e.watched != nil {
			e.events = e.watched.pending
			e.watched.pending = 0
			e.watched.queued = false
		}
	}
	return taken
}

// setNoDelay makes the kernel send small writes at once: bytes that it holds back would be lost with a reset.
func setNoDelay(descriptor int) {
	// This fails only if the peer has already ended the connection.
	_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
}
