package links

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// UDP relays packets that come to listen on to target, which is at the place to, and its answers back. It returns the address that it
// listens on. Packets to target leave from a socket of the caller's own, so that an answer finds its way.
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
	go func() {
		var mu sync.Mutex
		callers := map[netip.AddrPort]*net.UDPConn{}
		b := make([]byte, packet)
		for {
			k, from, err := l.ReadFromUDPAddrPort(b)
			if errors.Is(err, net.ErrClosed) {
				return
			} else if err != nil {
				continue // word of an earlier packet that found nobody
			}
			came := time.Now()
			mu.Lock()
			out := callers[from]
			if out == nil {
				if out, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(target)); err != nil || !n.keep(out) {
					mu.Unlock()
					continue
				}
				callers[from] = out
				go func() {
					n.back(Way{to, n.from(net.UDPAddrFromAddrPort(from))}, out, l, from)
					mu.Lock()
					delete(callers, from)
					mu.Unlock()
					n.let(out)
				}()
			}
			mu.Unlock()
			w := Way{n.from(net.UDPAddrFromAddrPort(from)), to}
			n.packet(w, came, append([]byte(nil), b[:k]...), func(p []byte) { out.Write(p) })
		}
	}()
	return l.LocalAddr().String(), nil
}

// back passes the answers to one caller, until it has been quiet for long.
func (n *Net) back(w Way, out, l *net.UDPConn, to netip.AddrPort) {
	b := make([]byte, packet)
	for {
		out.SetReadDeadline(time.Now().Add(quietFor))
		k, err := out.Read(b)
		var late net.Error
		if errors.As(err, &late) && late.Timeout() || errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		n.packet(w, time.Now(), append([]byte(nil), b[:k]...), func(p []byte) { l.WriteToUDPAddrPort(p, to) })
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
	wait := n.wait(s)
	n.mu.Unlock()
	pass := func() {
		send(p)
		n.took(time.Since(came) - wait)
	}
	switch {
	case lost:
	case wait == 0:
		pass()
	default:
		time.AfterFunc(wait, pass)
	}
}
