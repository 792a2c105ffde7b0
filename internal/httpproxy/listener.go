package httpproxy

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

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
