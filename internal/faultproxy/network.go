// Package faultproxy injects network faults between the processes of a test. Proxies for TCP and UDP stand between
// them, and delay, reorder, drop, duplicate or block what passes, in each direction on its own, without privileges. A
// proxy identifies a caller by its address, so each process has a loopback address of its own. The time that the
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

// Place is a process or a server. Empty: any that has no address of its own.
type Place string

// Way is one direction between two places.
type Way struct {
	From Place
	To   Place
}

// State is the faults in one direction.
type State struct {
	// Cut blocks all. Bytes of connections are held until that ends, as a sender would repeat them; packets are lost.
	Cut   bool
	Delay time.Duration // of everything
	// Spread is the maximum of a further random delay. It reorders packets, but not the bytes of a connection.
	Spread time.Duration
	Drop   float64 // share of packets that are lost; on connections, a loss would only be a delay
	Twice  float64 // share of packets that are duplicated, each with a delay of its own
}

// Count is what was sent in one direction, and what became of it.
type Count struct {
	Connections uint64 // opened
	Chunks      uint64 // of bytes on connections
	Packets     uint64
	Held        uint64 // chunks that came while the direction was blocked
	Lost        uint64 // packets that were dropped or blocked
}

// Net is the proxies of one test and the faults between its processes.
type Net struct {
	mu       sync.Mutex
	places   map[netip.Addr]Place
	ways     map[Way]State
	counts   map[Way]*Count
	changed  chan struct{} // closed and replaced at each change of faults
	random   *rand.Rand
	overhead *hdrhistogram.Histogram // of the proxies, in microseconds
	closed   bool

	listeners  []io.Closer
	conns      map[net.Conn]struct{}
	udpProxies map[netip.AddrPort]udpProxy     // by target
	udpSenders map[netip.AddrPort]*net.UDPConn // by the caller whose packets leave from it
}

// New returns a network without faults. The seed is that of its random numbers.
func New(seed uint64) *Net {
	return &Net{
		places:     map[netip.Addr]Place{},
		ways:       map[Way]State{},
		counts:     map[Way]*Count{},
		changed:    make(chan struct{}),
		random:     rand.New(rand.NewPCG(seed, 0)),
		overhead:   hdrhistogram.New(minOverheadMicros, maxOverheadMicros, overheadDigits),
		conns:      map[net.Conn]struct{}{},
		udpProxies: map[netip.AddrPort]udpProxy{},
		udpSenders: map[netip.AddrPort]*net.UDPConn{},
	}
}

// At sets the address from which a process calls.
func (n *Net) At(place Place, address netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address.Unmap()] = place
}

// Set sets the faults in one direction.
func (n *Net) Set(way Way, state State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ways[way] = state
	n.notifyChange()
}

// Part blocks both directions between any two members of two groups.
func (n *Net) Part(some, others []Place) {
	for _, a := range some {
		for _, b := range others {
			n.Set(Way{From: a, To: b}, State{Cut: true})
			n.Set(Way{From: b, To: a}, State{Cut: true})
		}
	}
}

// Heal ends all faults.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.ways)
	n.notifyChange()
}

// notifyChange wakes what waits for the end of a fault. The caller holds the lock.
func (n *Net) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Open reports whether a direction is not blocked.
func (n *Net) Open(way Way) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.ways[way].Cut
}

// waitUntilOpen blocks while a direction is blocked. It returns false once the network is closed.
func (n *Net) waitUntilOpen(way Way) bool {
	for {
		n.mu.Lock()
		blocked := n.ways[way].Cut
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

// Counted returns what was sent in one direction. A test of a fault that nothing met shows nothing.
func (n *Net) Counted(way Way) Count {
	n.mu.Lock()
	defer n.mu.Unlock()
	return *n.count(way)
}

// count returns the counters of one direction. The caller holds the lock.
func (n *Net) count(way Way) *Count {
	count := n.counts[way]
	if count == nil {
		count = &Count{}
		n.counts[way] = count
	}
	return count
}

// Own returns a percentile of the time that the proxies took beyond the delays that were set.
func (n *Net) Own(percentile float64) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.overhead.ValueAtQuantile(percentile)) * time.Microsecond
}

// recordOverhead records the time that a proxy took.
func (n *Net) recordOverhead(overhead time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.overhead.RecordValue(max(minOverheadMicros, overhead.Microseconds())) // over a minute: no proxy takes that
}

// placeOf returns the process that calls from an address.
func (n *Net) placeOf(address net.Addr) Place {
	parsed, err := netip.ParseAddrPort(address.String())
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.places[parsed.Addr().Unmap()]
}

// drawDelay draws the delay of what comes now. The caller holds the lock.
func (n *Net) drawDelay(state State) time.Duration {
	if state.Spread <= 0 {
		return state.Delay
	}
	return state.Delay + time.Duration(n.random.Int64N(int64(state.Spread)))
}

// Close closes all proxies and their connections.
func (n *Net) Close() {
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
