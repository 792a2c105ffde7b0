package httpproxy

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// clientListener lets clients in while there is room. One accepted without would have to be closed at once, and with it the request
// that it may have sent; outside, it waits for as long as the queue of the kernel lasts. Where other processes listen on the same
// queue, what this one does not take is theirs.
type clientListener struct {
	net.Listener
	sockets *sockets
	opened  chan struct{} // closed once clients may come in
	closed  chan struct{} // closed once none may any more
	once    sync.Once
	stopped atomic.Bool // whoever takes clients from the queue knows that, and has told the loop of all that it took
}

func (g *clientListener) Accept() (net.Conn, error) {
	select {
	case <-g.opened:
	case <-g.closed:
	}
	for g.sockets.clients.Load() >= g.sockets.maxClients.Load() {
		select {
		case <-g.sockets.roomFreed:
		case <-g.closed:
			return nil, net.ErrClosed
		}
	}
	return g.Listener.Accept()
}

// hasPending tells whether somebody waits in the kernel to be accepted.
func (g *clientListener) hasPending() (is bool) {
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
func (g *clientListener) Close() error {
	g.once.Do(func() { close(g.closed) })
	return g.Listener.Close()
}

// openListener opens the address, or takes the listener that the process was started with.
func openListener(network, addr string, inherited int) (net.Listener, error) {
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
