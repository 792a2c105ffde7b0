// Package faultproxy injects network faults between the processes of a test. TCP and UDP proxies relay the traffic
// between them and delay, reorder, drop, duplicate or block it, separately for each direction and without privileges. A
// proxy identifies a caller by its address, so each process needs a loopback address of its own. The time that the
// proxies themselves take is recorded.
package faultproxy

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the recorded overheads.
const (
	minOverheadMicros = 1
	maxOverheadMicros = 60_000_000
	overheadDigits    = 3
)

// Node is the name of a process or a server. The empty name stands for all callers without an address of their own.
type Node string

// Link is one direction of the traffic between two nodes.
type Link struct {
	From Node
	To   Node
}

// Faults are the faults of a link.
type Faults struct {
	// Blocked blocks the link. Bytes of connections are held until the link is open again, because a sender would
	// retransmit them; packets are lost.
	Blocked bool
	Delay   time.Duration // delay of all bytes and packets
	// Jitter is the maximum of a further random delay. It reorders packets, but not the bytes of a connection.
	Jitter    time.Duration
	Drop      float64 // share of packets that are lost; bytes of connections are not, as a loss would only delay them
	Duplicate float64 // share of packets that are duplicated, each with a delay of its own
}

// Counters counts the traffic of a link.
type Counters struct {
	Connections uint64 // opened connections
	Chunks      uint64 // parts in which the bytes of connections were relayed
	Packets     uint64
	Held        uint64 // chunks that arrived while the link was blocked
	Lost        uint64 // packets that were dropped or blocked
}

// Network holds the proxies of one test and the faults of their links.
type Network struct {
	mu       sync.Mutex
	nodes    map[netip.Addr]Node
	faults   map[Link]Faults
	counters map[Link]*Counters
	changed  chan struct{} // closed and replaced at each change of faults
	random   *rand.Rand
	overhead *hdrhistogram.Histogram // time that the proxies took, in microseconds
	closed   bool

	listeners  []io.Closer
	conns      map[net.Conn]struct{}
	udpProxies map[netip.AddrPort]udpProxy     // by target
	udpSenders map[netip.AddrPort]*net.UDPConn // by the caller whose packets it sends
}

// New returns a network without faults. Its random numbers are drawn from the seed.
func New(seed uint64) *Network {
	return &Network{
		nodes:      map[netip.Addr]Node{},
		faults:     map[Link]Faults{},
		counters:   map[Link]*Counters{},
		changed:    make(chan struct{}),
		random:     rand.New(rand.NewPCG(seed, 0)),
		overhead:   hdrhistogram.New(minOverheadMicros, maxOverheadMicros, overheadDigits),
		conns:      map[net.Conn]struct{}{},
		udpProxies: map[netip.AddrPort]udpProxy{},
		udpSenders: map[netip.AddrPort]*net.UDPConn{},
	}
}

// SetAddress sets the address from which a process calls.
func (n *Network) SetAddress(node Node, address netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address.Unmap()] = node
}

// Set sets the faults of a link.
func (n *Network) Set(link Link, faults Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[link] = faults
	n.notifyChange()
}

// Partition blocks, in both directions, all links between the nodes of two groups.
func (n *Network) Partition(group, others []Node) {
	for _, a := range group {
		for _, b := range others {
			n.Set(Link{From: a, To: b}, Faults{Blocked: true})
			n.Set(Link{From: b, To: a}, Faults{Blocked: true})
		}
	}
}

// Heal ends all faults.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	n.notifyChange()
}

// notifyChange wakes the goroutines that wait for the end of a fault. The caller holds the lock.
func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Open reports whether a link is not blocked.
func (n *Network) Open(link Link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.faults[link].Blocked
}

// waitUntilOpen blocks while a link is blocked. It returns false once the network is closed.
func (n *Network) waitUntilOpen(link Link) bool {
	for {
		n.mu.Lock()
		blocked := n.faults[link].Blocked
		changed := n.changed
		closed := n.closed
		n.mu.Unlock()
		if closed {
			return false
		}
		if !blocked {
			return true
		}
		<-changed
	}
}

// Counters returns the counters of a link. Tests use them to check that a fault has affected any traffic.
func (n *Network) Counters(link Link) Counters {
	n.mu.Lock()
	defer n.mu.Unlock()
	return *n.countersOf(link)
}

// countersOf returns the counters of a link and creates them if necessary. The caller holds the lock.
func (n *Network) countersOf(link Link) *Counters {
	counters := n.counters[link]
	if counters == nil {
		counters = &Counters{}
		n.counters[link] = counters
	}
	return counters
}

// Overhead returns a percentile of the time that the proxies took beyond the delays that were set.
func (n *Network) Overhead(percentile float64) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.overhead.ValueAtQuantile(percentile)) * time.Microsecond
}

// recordOverhead records the time that a proxy took.
func (n *Network) recordOverhead(overhead time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// Fails only for more than a minute, which no proxy takes.
	_ = n.overhead.RecordValue(max(minOverheadMicros, overhead.Microseconds()))
}

// nodeOf returns the process that calls from an address.
func (n *Network) nodeOf(address net.Addr) Node {
	parsed, err := netip.ParseAddrPort(address.String())
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[parsed.Addr().Unmap()]
}

// drawDelay draws the delay of a chunk or packet. The caller holds the lock.
func (n *Network) drawDelay(faults Faults) time.Duration {
	if faults.Jitter <= 0 {
		return faults.Delay
	}
	return faults.Delay + time.Duration(n.random.Int64N(int64(faults.Jitter)))
}

// Close closes all proxies and their connections.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	listeners := n.listeners
	for conn := range n.conns {
		_ = conn.Close() // the test is over
	}
	n.notifyChange()
	n.mu.Unlock()
	for _, listener := range listeners {
		_ = listener.Close() // the test is over
	}
}
