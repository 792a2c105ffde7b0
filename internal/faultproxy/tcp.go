package faultproxy

import (
	"errors"
	"io"
	"net"
	"time"
)

// TCP relays connections that come to listen on to target, which is at the place to. It returns the address that it listens on. A
// connection comes up also where the way is cut, as no process can refuse to take its packets; then it says nothing.
func (n *Net) TCP(listen string, to Place, target string) (string, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return "", err
	}
	if err := n.added(l); err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				if errors.Is(err, net.ErrClosed) {
					return
				}
				time.Sleep(time.Millisecond) // no descriptors, or the like: the next may be had
				continue
			}
			go n.join(c.(*net.TCPConn), to, target)
		}
	}()
	return l.Addr().String(), nil
}

func (n *Net) join(in *net.TCPConn, to Place, target string) {
	if !n.keep(in) {
		return
	}
	defer n.let(in)
	there := Way{n.from(in.RemoteAddr()), to}
	n.mu.Lock()
	n.count(there).Connections++
	n.mu.Unlock()
	// Both ways must be open once for a connection to come up.
	if !n.open(there) || !n.open(Way{there.To, there.From}) {
		return
	}
	c, err := (&net.Dialer{Timeout: dialIn}).Dial("tcp", target)
	if err != nil {
		in.SetLinger(0) // refused there, so reset here
		return
	}
	out := c.(*net.TCPConn)
	if !n.keep(out) {
		return
	}
	defer n.let(out)
	done := make(chan struct{})
	go func() { n.pump(Way{there.To, there.From}, out, in); close(done) }()
	n.pump(there, in, out)
	<-done
}

// open waits until the way is not cut. False when the links have ended.
func (n *Net) open(w Way) bool {
	for {
		n.mu.Lock()
		cut, healed, ended := n.ways[w].Cut, n.healed, n.ended
		n.mu.Unlock()
		if !cut || ended {
			return !ended
		}
		<-healed
	}
}

// piece is a part of what goes one way, its end, or its breaking off.
type piece struct {
	bytes []byte
	came  time.Time
	due   time.Time
	end   error
}

// pump passes bytes one way, in order, each piece when it is due and the way is open.
func (n *Net) pump(w Way, from, to *net.TCPConn) {
	ahead := make(chan piece, mostAhead)
	go func() {
		defer close(ahead)
		for {
			b := make([]byte, chunk)
			k, err := from.Read(b)
			p := piece{bytes: b[:k], came: time.Now(), end: err}
			n.mu.Lock()
			p.due = p.came.Add(n.wait(n.ways[w]))
			c := n.count(w)
			c.Chunks++
			if n.ways[w].Cut {
				c.Held++
			}
			n.mu.Unlock()
			ahead <- p
			if err != nil {
				return
			}
		}
	}()
	for p := range ahead {
		time.Sleep(time.Until(p.due))
		start := time.Now()
		if !n.open(w) {
			continue // emptied, so that the reader ends
		}
		held := time.Since(start)
		if len(p.bytes) > 0 {
			if _, err := to.Write(p.bytes); err != nil {
				from.SetLinger(0)
				from.Close()
			}
		}
		n.took(time.Since(p.came) - held - p.due.Sub(p.came))
		switch {
		case p.end == nil:
		case errors.Is(p.end, io.EOF):
			to.CloseWrite()
		default:
			to.SetLinger(0)
			to.Close()
		}
	}
}
