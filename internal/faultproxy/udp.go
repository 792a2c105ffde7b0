package faultproxy

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

// door is where packets to one target come.
type door struct {
	to Place
	l  *net.UDPConn
}

// UDP relays packets that come to listen on to target, which is at the place to, and its answers back. It returns the address that it
// listens on. What one caller sends leaves from one socket of its own, whomever it is for: an answer is told by who sends it, and
// hundreds of processes that all know each other take hundreds of sockets, not their square.
func (n *Net) UDP(listen string, to Place, target netip.AddrPort) (string, error) {
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return "", err
	}
	l, err := net.ListenUDP("udp", at)
	if err != nil {
		return "", err
	}
	if err := n.added(l); err != nil {
		return "", err
	}
	n.mu.Lock()
	n.doors[target] = door{to, l}
	n.mu.Unlock()
	go func() {
		b := make([]byte, packet)
		for {
			k, from, err := l.ReadFromUDPAddrPort(b)
			if errors.Is(err, net.ErrClosed) {
				return
			} else if err != nil {
				continue // word of an earlier packet that found nobody
			}
			came := time.Now()
			if out := n.caller(from); out != nil {
				w := Way{n.from(net.UDPAddrFromAddrPort(from)), to}
				n.packet(w, came, append([]byte(nil), b[:k]...), func(p []byte) { out.WriteToUDPAddrPort(p, target) })
			}
		}
	}()
	return l.LocalAddr().String(), nil
}

// caller gives the socket from which a caller's packets leave; nil: none can be had.
func (n *Net) caller(from netip.AddrPort) *net.UDPConn {
	n.mu.Lock()
	out := n.callers[from]
	n.mu.Unlock()
	if out != nil {
		return out
	}
	out, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil || !n.keep(out) {
		return nil
	}
	n.mu.Lock()
	if other := n.callers[from]; other != nil { // two doors at once
		n.mu.Unlock()
		n.let(out)
		return other
	}
	n.callers[from] = out
	n.mu.Unlock()
	go n.back(out, from)
	return out
}

// back passes answers to one caller.
func (n *Net) back(out *net.UDPConn, to netip.AddrPort) {
	b := make([]byte, packet)
	for {
		k, from, err := out.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		n.mu.Lock()
		d, known := n.doors[from]
		n.mu.Unlock()
		if known {
			w := Way{d.to, n.from(net.UDPAddrFromAddrPort(to))}
			n.packet(w, time.Now(), append([]byte(nil), b[:k]...), func(p []byte) { d.l.WriteToUDPAddrPort(p, to) })
		}
	}
}

// packet loses one, or passes it when it is due.
func (n *Net) packet(w Way, came time.Time, p []byte, send func([]byte)) {
	n.mu.Lock()
	s, c := n.ways[w], n.count(w)
	c.Packets++
	lost := s.Cut || s.Drop > 0 && n.chance.Float64() < s.Drop
	if lost {
		c.Lost++
	}
	var waits []time.Duration
	if !lost {
		waits = append(waits, n.wait(s))
	}
	if !lost && s.Twice > 0 && n.chance.Float64() < s.Twice {
		waits = append(waits, n.wait(s))
	}
	n.mu.Unlock()
	for _, wait := range waits {
		pass := func() {
			send(p)
			n.took(time.Since(came) - wait)
		}
		if wait == 0 {
			pass()
		} else {
			time.AfterFunc(wait, pass)
		}
	}
}
