package faultproxy

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"
)

// maxPacketSize is the maximum size of a packet in bytes.
const maxPacketSize = 64 << 10

// udpProxy is the proxy for packets to one target.
type udpProxy struct {
	to   Node
	conn *net.UDPConn
}

// UDP listens on an address and relays the packets there to a target, the address of a process, and the target's
// answers back. It returns the address on which it listens. One socket sends all packets of a caller, whatever their
// target, as the source address of an answer tells which target has sent it. So the number of sockets grows linearly
// with the number of processes, not with its square.
func (n *Network) UDP(listen string, to Node, target netip.AddrPort) (string, error) {
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return "", err
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return "", err
	}
	if err := n.addListener(conn); err != nil {
		return "", err
	}
	proxy := udpProxy{to, conn}
	n.mu.Lock()
	n.udpProxies[target] = proxy
	n.mu.Unlock()
	go n.relayRequests(proxy, target)
	return conn.LocalAddr().String(), nil
}

// relayRequests passes packets of all callers to the target until the proxy's socket is closed.
func (n *Network) relayRequests(proxy udpProxy, target netip.AddrPort) {
	receivePackets(proxy.conn, func(packet []byte, from netip.AddrPort, receivedAt time.Time) {
		sender := n.senderFor(from)
		if sender == nil {
			return
		}
		link := Link{From: n.nodeOf(net.UDPAddrFromAddrPort(from)), To: proxy.to}
		n.relayPacket(link, receivedAt, func() {
			_, _ = sender.WriteToUDPAddrPort(packet, target) // a packet may be lost
		})
	})
}

// relayAnswers passes packets of all targets to one caller until the sender's socket is closed.
func (n *Network) relayAnswers(sender *net.UDPConn, caller netip.AddrPort) {
	receivePackets(sender, func(packet []byte, from netip.AddrPort, receivedAt time.Time) {
		n.mu.Lock()
		proxy, known := n.udpProxies[from]
		n.mu.Unlock()
		if !known {
			return
		}
		link := Link{From: proxy.to, To: n.nodeOf(net.UDPAddrFromAddrPort(caller))}
		n.relayPacket(link, receivedAt, func() {
			_, _ = proxy.conn.WriteToUDPAddrPort(packet, caller) // a packet may be lost
		})
	})
}

// receivePackets calls handle with a copy of each packet until the socket is closed.
func receivePackets(conn *net.UDPConn, handle func(packet []byte, from netip.AddrPort, receivedAt time.Time)) {
	buffer := make([]byte, maxPacketSize)
	for {
		size, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the error is an ICMP error for an earlier packet
		}
		handle(slices.Clone(buffer[:size]), from, time.Now())
	}
}

// senderFor returns the socket that sends the packets of a caller, or nil if none can be opened.
func (n *Network) senderFor(caller netip.AddrPort) *net.UDPConn {
	n.mu.Lock()
	sender := n.udpSenders[caller]
	n.mu.Unlock()
	if sender != nil {
		return sender
	}
	sender, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil || !n.addConn(sender) {
		return nil
	}
	n.mu.Lock()
	other := n.udpSenders[caller]
	if other == nil {
		n.udpSenders[caller] = sender
	}
	n.mu.Unlock()
	if other != nil { // another proxy has opened one in the meantime
		n.closeConn(sender)
		return other
	}
	go n.relayAnswers(sender, caller)
	return sender
}

// relayPacket sends a packet when it is due, once or twice, or drops it.
func (n *Network) relayPacket(link Link, receivedAt time.Time, send func()) {
	for _, delay := range n.drawPacketDelays(link) {
		relay := func() {
			send()
			n.recordOverhead(time.Since(receivedAt) - delay)
		}
		if delay == 0 {
			relay()
		} else {
			time.AfterFunc(delay, relay)
		}
	}
}

// drawPacketDelays counts a packet and draws the delay of each of its copies; none if it is lost.
func (n *Network) drawPacketDelays(link Link) []time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	faults := n.faults[link]
	counters := n.countersOf(link)
	counters.Packets++
	if faults.Blocked || n.happens(faults.Drop) {
		counters.Lost++
		return nil
	}
	delays := []time.Duration{n.drawDelay(faults)}
	if n.happens(faults.Duplicate) {
		delays = append(delays, n.drawDelay(faults))
	}
	return delays
}

// happens draws whether an event with the given probability happens. The caller holds the lock.
func (n *Network) happens(probability float64) bool {
	return probability > 0 && n.random.Float64() < probability
}
