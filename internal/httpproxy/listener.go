package httpproxy

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// clientListener accepts clients while fewer than the maximum are connected. A client accepted beyond it would have to
// be closed at once, which would lose its request. Instead it waits in the kernel's accept queue, from which other
// processes may accept it if they share the queue.
type clientListener struct {
	net.Listener
	sockets   *sockets
	opened    chan struct{} // closed once clients may be accepted
	closed    chan struct{} // closed once no more clients may be accepted
	closeOnce sync.Once
	stopped   atomic.Bool // the accepting goroutine has noticed the close, after posting all clients it accepted
}

// Accept waits until a client may be accepted, and then for a client.
func (l *clientListener) Accept() (net.Conn, error) {
	select {
	case <-l.opened:
	case <-l.closed:
	}
	for l.sockets.clients.Load() >= l.sockets.maxClients.Load() {
		select {
		case <-l.sockets.acceptSignal:
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
	return l.Listener.Accept()
}

// hasPending reports whether a client waits in the kernel's accept queue.
func (l *clientListener) hasPending() bool {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(polled, 0)
		pending = err == nil && n > 0 && polled[0].Revents == unix.POLLIN
	})
	return err == nil && pending
}

// Close closes the descriptor of this process. A listener that is shared with other processes stays open in them.
func (l *clientListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// openListener listens on the address, or uses the inherited descriptor if that is not 0.
func openListener(network, addr string, inherited int) (net.Listener, error) {
	if inherited == 0 {
		return net.Listen(network, addr)
	}
	f := os.NewFile(uintptr(inherited), "inherited listener")
	if f == nil {
		return nil, fmt.Errorf("inherited listener: %d is not a descriptor", inherited)
	}
	defer func() { _ = f.Close() }() // FileListener has duplicated it
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("inherited listener: descriptor %d: %w", inherited, err)
	}
	return l, nil
}
