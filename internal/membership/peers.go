// Package peers knows which sidecars of one cluster are there. Finding each other and noticing who is gone is memberlist's (a SWIM with
// Lifeguard's awareness of the own health); here stand what it is told, what it may cost, who is sought again after a parted network has
// healed, and what the rest of the sidecar asks. Nothing is decided on it but a count that can only make bounds stricter. Off unless
// configured. docs/peers.md.
package membership

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
)

// Config is what a sidecar is told of its peers.
type Config struct {
	Name        string // in the cluster, of this one alone
	Cluster     string // packets of others are dropped
	Listen      string // TCP and UDP
	Advertise   string // where others reach it; "": Listen
	Join        []string
	Key         []byte // 16, 24 or 32 bytes; every packet is sealed with it
	Zone        string
	Coordinator bool         // it keeps versions
	OnMessage   func([]byte) // what another has sent to this one; must not wait. nil: nothing is heard
}

// Metadata is what each sidecar tells all others of itself.
type Metadata struct {
	Zone        string `cbor:"1,keyasint"`
	StartedAt   int64  `cbor:"2,keyasint"` // Unix time of its start, in nanoseconds
	Revision    uint64 `cbor:"3,keyasint"` // of the rules in force; 0: its own file's
	TableDigest uint64 `cbor:"4,keyasint"` // digest of its slot table
	Coordinator bool   `cbor:"5,keyasint"` // it keeps versions, and serves nobody
}

// Peer is one sidecar as this one knows it.
type Peer struct {
	Metadata
	Name, Address string
	Alive         bool
	LastHeard     time.Time // latest word of it: joined, changed, or answered a probe of this one
}

const (
	// Descriptors that the sockets take, and the few connections that are open at once for whole states.
	Descriptors = 12

	probeEvery = 500 * time.Millisecond
	probeIn    = 300 * time.Millisecond // far more than the way there and back: a process that waits for a core is no dead one
	tcpIn      = 2 * time.Second

	seekEvery = 3 * time.Second        // between two tries to meet one that is not there
	forgetIn  = 10 * time.Minute       // one that is gone is sought for so long
	sayEach   = 200 * time.Millisecond // that all together say something new, in the mean
	leaveIn   = 200 * time.Millisecond
	sayIn     = time.Millisecond
	keyFile   = 1 << 10
)

// Cluster is this sidecar among its peers.
type Cluster struct {
	post  Config
	list  *memberlist.Memberlist
	wire  *wire
	log   *logrus.Logger
	stop  chan struct{}
	ended sync.WaitGroup

	mu    sync.Mutex
	says  Metadata
	sayAt time.Time        // when what is new in it is told; zero: nothing is
	peers map[string]*Peer // by name, also such that have gone
	next  int              // whom to seek next
	joins uint64
	gone  uint64

	dropped atomic.Uint64 // packets and connections of another key or cluster
}

// ReadKey takes a key from a file: base64 of 16, 24 or 32 bytes.
func ReadKey(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	key, err := base64.StdEncoding.DecodeString(string(bytes.TrimSpace(text)))
	if len(text) > keyFile || err != nil || len(key) != 16 && len(key) != 24 && len(key) != 32 {
		return nil, fmt.Errorf("%s: found no key, allowed base64 of 16, 24 or 32 bytes", path)
	}
	return key, nil
}

// newCompany makes one that knows nobody yet. It begins anywhere among those that are to be joined: hundreds that start at once with one
// list would otherwise all join the same process.
func newCompany(p Config, log *logrus.Logger) *Cluster {
	return &Cluster{post: p, log: log, stop: make(chan struct{}), peers: map[string]*Peer{}, next: rand.IntN(1 << 16),
		says: Metadata{Zone: p.Zone, StartedAt: time.Now().UnixNano(), Coordinator: p.Coordinator}}
}

// Open listens, and seeks those that are to be joined from then on. It waits for none of them.
func Open(p Config, log *logrus.Logger) (*Cluster, error) {
	c := newCompany(p, log)
	conf := memberlist.DefaultLANConfig()
	conf.Name, conf.Label, conf.SecretKey = p.Name, p.Cluster, p.Key
	conf.Logger = quiet(log, &c.dropped)
	conf.Delegate, conf.Events, conf.Ping, conf.Conflict = c, c, c, c
	// Half a second between probes, and at most three times the least suspicion before one counts as gone: with memberlist's own figures
	// for a LAN five processes needed up to 59 s for a cut, as few are left to confirm it.
	conf.ProbeInterval, conf.ProbeTimeout, conf.TCPTimeout, conf.SuspicionMaxTimeoutMult = probeEvery, probeIn, tcpIn, 3
	conf.EnableCompression = false // what is told is short, and a core is not ours alone
	var err error
	if conf.BindAddr, conf.BindPort, err = split(p.Listen); err != nil {
		return nil, err
	}
	if conf.AdvertiseAddr, conf.AdvertisePort, err = split(cmp.Or(p.Advertise, p.Listen)); err != nil {
		return nil, err
	}
	net, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{conf.BindAddr}, BindPort: conf.BindPort, Logger: conf.Logger})
	if err != nil {
		return nil, err
	}
	c.wire = &wire{NetTransport: net, own: conf.BindAddr}
	conf.Transport = c.wire
	if c.list, err = memberlist.Create(conf); err != nil {
		net.Shutdown()
		return nil, err
	}
	c.ended.Go(c.seek)
	return c, nil
}

func split(at string) (string, int, error) {
	host, port, err := net.SplitHostPort(at)
	if err != nil {
		return "", 0, err
	}
	n, err := strconv.Atoi(port)
	return host, n, err
}

// seek tries to meet those that are to be joined and those that were there before, one at a time. memberlist alone gives up on the dead
// after half a minute, so two sides of a network that was parted for longer would stay apart for ever.
func (c *Cluster) seek() {
	for wait := time.Duration(0); ; wait = seekEvery/2 + rand.N(seekEvery) {
		select {
		case <-c.stop:
			return
		case <-time.After(wait):
		}
		if at := c.missing(time.Now()); at != "" {
			c.list.Join([]string{at}) // whether it worked shows by who is there
		}
	}
}

// missing is the next address at which nobody is known to be there.
func (c *Cluster) missing(now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted, there := slices.Clone(c.post.Join), map[string]bool{c.Address(): true}
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		switch p := c.peers[name]; {
		case p.Alive:
			there[p.Address] = true
		case now.Sub(p.LastHeard) > forgetIn:
			delete(c.peers, name)
		default:
			wanted = append(wanted, p.Address)
		}
	}
	wanted = slices.DeleteFunc(wanted, func(at string) bool { return there[at] })
	if len(wanted) == 0 {
		return ""
	}
	c.next++
	return wanted[c.next%len(wanted)]
}

// Announce changes what is told of this sidecar; it is called again and again. Each word of one goes to all, and a change of the rules is one for all
// at once: hundreds that told it in the same second filled the network by their square, late answers cost leases, and that was to be told again.
// So what is new is told within a time that grows with the company, each at a moment of its own.
func (c *Cluster) Announce(version, table uint64) {
	alive, now := c.Alive(), time.Now()
	c.mu.Lock()
	if changed := c.says.Revision != version || c.says.TableDigest != table; changed && c.sayAt.IsZero() {
		c.sayAt = now.Add(rand.N(time.Duration(max(1, alive)) * sayEach))
	}
	c.says.Revision, c.says.TableDigest = version, table
	due := !c.sayAt.IsZero() && !now.Before(c.sayAt)
	if due {
		c.sayAt = time.Time{}
	}
	c.mu.Unlock()
	if due {
		c.list.UpdateNode(sayIn) // spreads on after that; without an end it would wait until it has been sent often enough
	}
}

// Alive is how many sidecars are there, this one among them.
func (c *Cluster) Alive() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		if p.Alive && !p.Coordinator {
			n++
		}
	}
	return n
}

// Coordinators are the addresses of those that keep versions, also such as are held to be gone: that may be a mistake.
func (c *Cluster) Coordinators() (at []string) {
	for _, p := range c.Peers() {
		if p.Coordinator {
			at = append(at, p.Address)
		}
	}
	return at
}

// Address is where others reach this one.
func (c *Cluster) Address() string { return cmp.Or(c.post.Advertise, c.post.Listen) }

// Send sends a few bytes to the one at that address; they may be lost, or come twice.
func (c *Cluster) Send(to string, b []byte) error {
	return c.list.SendToAddress(memberlist.Address{Addr: to}, b)
}

// SendReliable sends any number of bytes, and waits until they are on their way.
func (c *Cluster) SendReliable(to string, b []byte) error {
	at, err := net.ResolveTCPAddr("tcp", to)
	if err != nil {
		return err
	}
	return c.list.SendReliable(&memberlist.Node{Addr: at.IP, Port: uint16(at.Port)}, b)
}

// Peers are the sidecars known, this one too, by name; those that have gone for a while longer.
func (c *Cluster) Peers() (all []Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		all = append(all, *c.peers[name])
	}
	return all
}

// Report is the peers, one a line.
func (c *Cluster) Report() string {
	var b strings.Builder
	now := time.Now()
	for _, p := range c.Peers() {
		state := "alive"
		if !p.Alive {
			state = "gone"
		}
		heard := now.Sub(p.LastHeard)
		if p.Name == c.post.Name {
			heard = 0
		}
		if p.Coordinator {
			state += " keeper"
		}
		fmt.Fprintf(&b, "%s %s zone=%q %s up=%.0fs heard=%.0fs version=%d table=%016x\n", p.Name, p.Address, p.Zone, state,
			now.Sub(time.Unix(0, p.StartedAt)).Seconds(), heard.Seconds(), p.Revision, p.TableDigest)
	}
	return b.String()
}

// EachMetric hands over what this costs and knows.
func (c *Cluster) EachMetric(each func(name string, value float64, rises bool)) {
	c.mu.Lock()
	known, joins, gone, tables := len(c.peers), c.joins, c.gone, map[uint64]bool{}
	for _, p := range c.peers {
		if p.Alive && !p.Coordinator {
			tables[p.TableDigest] = true
		}
	}
	c.mu.Unlock()
	each("peers_alive", float64(c.Alive()), false)
	each("peers_known", float64(known), false)
	each("peers_tables", float64(len(tables)), false)
	each("peers_own_health", float64(c.list.GetHealthScore()), false)
	each("peers_joined", float64(joins), true)
	each("peers_gone", float64(gone), true)
	each("peers_dropped", float64(c.dropped.Load()), true)
	each("peers_packets_sent", float64(c.wire.packets.Load()), true)
	each("peers_bytes_sent", float64(c.wire.bytes.Load()), true)
}

// Close leaves, so that the others need not find out, and ends.
func (c *Cluster) Close() {
	close(c.stop)
	c.list.Leave(leaveIn)
	c.list.Shutdown()
	c.ended.Wait()
}

// ---- what memberlist calls ----
