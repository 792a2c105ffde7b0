package httpproxy

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pepperlead/internal/connstate"
)

// acceptRetryInterval is the time between two attempts to accept while descriptors or memory are exhausted.
const acceptRetryInterval = 20 * time.Millisecond

// clientListener accepts clients while fewer than the maximum are connected. An excess client that is accepted would
// have to be closed at once, which would lose its request. Instead it waits in the kernel's accept queue, from which
// other processes may accept it if they share the queue.
//
// It accepts in a goroutine of its own: whether accept blocks is a property of the queue that any process that shares
// it can change, and the event loop must not block.
type clientListener struct {
	sockets    *sockets
	descriptor int // closed by the accepting goroutine alone
	watched    watched
	wake       chan struct{} // receives a value when a client waits, or there is room for one
	opened     chan struct{} // closed once clients may be accepted
	closed     chan struct{} // closed once no more clients may be accepted
	closeOnce  sync.Once
	stopped    chan struct{} // closed once the accepting goroutine has ended, after posting all clients it accepted

	clients    atomic.Int64 // client connections accepted and not closed
	maxClients atomic.Int64
}

func newClientListener(s *sockets, maxClients int) *clientListener {
	l := &clientListener{
		sockets:    s,
		descriptor: closedDescriptor,
		wake:       make(chan struct{}, 1),
		opened:     make(chan struct{}),
		closed:     make(chan struct{}),
		stopped:    make(chan struct{}),
	}
	l.maxClients.Store(int64(maxClients))
	return l
}

// start listens on the address, or uses the inherited descriptor if that is not 0, and begins to accept. Errors are
// those of listening and of epoll_ctl(2).
func (l *clientListener) start(address string, inherited int) error {
	descriptor, err := openListener(address, inherited)
	if err != nil {
		return err
	}
	l.descriptor = descriptor
	if err := l.sockets.watch(descriptor, &l.watched); err != nil {
		return errors.Join(err, unix.Close(descriptor))
	}
	go l.acceptAll()
	return nil
}

// openListener returns the descriptor of a listener on the address, or a duplicate of the inherited descriptor, which
// it closes.
func openListener(address string, inherited int) (descriptor int, err error) {
	if inherited == 0 {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return closedDescriptor, err
		}
		descriptor, err = duplicate(listener.(*net.TCPListener))
		return descriptor, errors.Join(err, listener.Close()) // the duplicate goes on listening
	}
	listening, err := unix.GetsockoptInt(inherited, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil || listening == 0 {
		return closedDescriptor, fmt.Errorf("inherited listener: descriptor %d is no listening socket: %w", inherited,
			errors.Join(err, syscall.EINVAL))
	}
	if descriptor, err = unix.Dup(inherited); err != nil {
		return closedDescriptor, fmt.Errorf("inherited listener: descriptor %d: %w", inherited, err)
	}
	unix.CloseOnExec(descriptor)
	return descriptor, errors.Join(unix.SetNonblock(descriptor, true), unix.Close(inherited))
}

// acceptAll accepts clients until the listener is closed.
func (l *clientListener) acceptAll() {
	defer close(l.stopped)
	defer func() {
		_ = l.sockets.poller.Remove(l.descriptor) // other processes may keep the queue open
		_ = unix.Close(l.descriptor)              // on Linux the descriptor is released whatever close returns
	}()
	select {
	case <-l.opened:
	case <-l.closed:
		return
	}
	for {
		l.acceptWaiting()
		select {
		case <-l.wake:
		case <-l.closed:
			return
		}
	}
}

// acceptWaiting accepts the clients that wait, as far as there is room.
func (l *clientListener) acceptWaiting() {
	for l.clients.Load() < l.maxClients.Load() && !l.isClosed() {
		_ = unix.SetNonblock(l.descriptor, true) // another process may have changed that
		descriptor, _, err := unix.Accept4(l.descriptor, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			l.accepted(descriptor)
		case errors.Is(err, unix.EAGAIN):
			return // the poller reports the next client
		case retryAccept(err):
		default:
			// While descriptors or memory are exhausted, accepting fails at once; without a pause it would keep a core
			// busy.
			select {
			case <-time.After(acceptRetryInterval):
			case <-l.closed:
			}
		}
	}
}

// retryAccept reports whether accept can be called again at once. Linux reports errors of the new connection, such as
// one that was aborted while it waited; accept(2) says to treat them like EAGAIN.
func retryAccept(err error) bool {
	for _, transient := range []error{unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

func (l *clientListener) accepted(descriptor int) {
	setNoDelay(descriptor)
	l.clients.Add(1)
	conn := &connstate.Conn{Side: connstate.ClientSide}
	l.sockets.post(event{kind: eventAccepted, conn: conn, socket: l.sockets.newSocket(descriptor, conn)})
}

// clientClosed records that the connection of a client is closed.
func (l *clientListener) clientClosed() {
	l.clients.Add(-1)
	l.signal()
}

// signal makes the accepting goroutine look for clients and for room again.
func (l *clientListener) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// hasPending reports whether a client waits in the kernel's accept queue.
func (l *clientListener) hasPending() bool {
	polled := []unix.PollFd{{Fd: int32(l.descriptor), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(polled, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && n > 0 && polled[0].Revents == unix.POLLIN
		}
	}
}

// close stops accepting. A listener that is shared with other processes stays open in them.
func (l *clientListener) close() { l.closeOnce.Do(func() { close(l.closed) }) }

func (l *clientListener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// hasStopped reports whether the accepting goroutine has ended, after posting all clients that it accepted.
func (l *clientListener) hasStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}
