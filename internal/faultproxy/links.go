// Package links stands between the processes of a drill: relays for TCP and UDP that know from whom and to whom, and drop, delay,
// reorder or cut what passes, each way by itself, without privileges. Who calls is known by the address that it calls from, so each
// process has a loopback address of its own. What the relays themselves cost in time is measured.
package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Place is a process, a server or a source; "": any that has no address of its own here.
type Place string

// Way is one direction between two places.
type Way struct{ From, To Place }

// State is what becomes of what goes one way.
type State struct {
	Cut    bool          // nothing passes. Bytes of connections are held until it heals, as a sender would repeat them; packets are lost
	Delay  time.Duration // of all that passes
	Spread time.Duration // at most this much more, drawn for each: packets overtake each other, bytes of one connection do not
	Drop   float64       // part of the packets that are lost. Of connections nothing is: there a loss is a delay
	Twice  float64       // part of the packets that come twice, each on its own time
}

// Count is what was tried one way and what became of it.
type Count struct {
	Connections, Chunks, Packets uint64 // that came
	Held, Lost                   uint64 // chunks that waited for a cut to heal; packets dropped or cut
}

// Net holds the links of one drill.
type Net struct {
	mu      sync.Mutex
	places  map[netip.Addr]Place
	ways    map[Way]State
	counts  map[Way]*Count
	healed  chan struct{} // closed and made anew at each change
	chance  *rand.Rand
	own     *hdrhistogram.Histogram // microseconds that a relay took for itself
	relays  []interface{ Close() error }
	conns   map[net.Conn]struct{}
	doors   map[netip.AddrPort]door         // by target of packets
	callers map[netip.AddrPort]*net.UDPConn // by who sends them
	ended   bool
}

const (
	chunk     = 16 << 10
	mostAhead = 64       // chunks of one connection that are on their way
	packet    = 64 << 10 // largest
	dialIn    = time.Second
)

// New makes links that let everything pass.
func New(seed uint64) *Net {
	return &Net{places: map[netip.Addr]Place{}, ways: map[Way]State{}, counts: map[Way]*Count{}, healed: make(chan struct{}),
		chance: rand.New(rand.NewPCG(seed, 0)), own: hdrhistogram.New(1, 60_000_000, 3), conns: map[net.Conn]struct{}{},
		doors: map[netip.AddrPort]door{}, callers: map[netip.AddrPort]*net.UDPConn{}}
}

// At tells which address a place calls from.
func (n *Net) At(p Place, a netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[a.Unmap()] = p
}

// Set changes one way.
func (n *Net) Set(w Way, s State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ways[w] = s
	n.changed()
}

// changed wakes what waits for a way to open, to look again. Under mu.
func (n *Net) changed() {
	close(n.healed)
	n.healed = make(chan struct{})
}

// Part cuts every way between two groups, in both directions.
func (n *Net) Part(some, others []Place) {
	for _, a := range some {
		for _, b := range others {
			n.Set(Way{a, b}, State{Cut: true})
			n.Set(Way{b, a}, State{Cut: true})
		}
	}
}

// Heal lets everything pass again.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.ways)
	n.changed()
}

// Open tells whether a way is not cut.
func (n *Net) Open(w Way) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.ways[w].Cut
}

// Counted tells what was tried one way: a cut that nobody tried to pass shows nothing.
func (n *Net) Counted(w Way) Count {
	n.mu.Lock()
	defer n.mu.Unlock()
	return *n.count(w)
}

func (n *Net) count(w Way) *Count {
	c := n.counts[w]
	if c == nil {
		c = &Count{}
		n.counts[w] = c
	}
	return c
}

// Own is what the relays took for themselves at that percentile, beside the delays that were asked for.
func (n *Net) Own(percentile float64) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.own.ValueAtQuantile(percentile)) * time.Microsecond
}

func (n *Net) took(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.own.RecordValue(max(1, d.Microseconds()))
}

func (n *Net) from(a net.Addr) Place {
	at, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.places[at.Addr().Unmap()]
}

// wait draws how long what comes now is delayed, for a way that is not cut.
func (n *Net) wait(s State) time.Duration {
	d := s.Delay
	if s.Spread > 0 {
		d += time.Duration(n.chance.Int64N(int64(s.Spread)))
	}
	return d
}

// Close ends all relays and what goes through them.
func (n *Net) Close() {
	n.mu.Lock()
	n.ended = true
	relays := n.relays
	for c := range n.conns {
		c.Close()
	}
	n.changed()
	n.mu.Unlock()
	for _, r := range relays {
		r.Close()
	}
}

// keep notes a connection or relay that is to end with the links. False when they have ended.
func (n *Net) keep(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		c.Close()
		return false
	}
	n.conns[c] = struct{}{}
	return true
}

func (n *Net) let(c net.Conn) {
	c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (n *Net) added(r interface{ Close() error }) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		r.Close()
		return fmt.Errorf("links: they have ended")
	}
	n.relays = append(n.relays, r)
	return nil
}
