// Package membership tracks which sidecars of a cluster are alive. hashicorp/memberlist (SWIM with Lifeguard) finds
// members and detects failures; this package configures it, announces the metadata of this member, joins former members
// again after a network partition, and reports the members to the rest of the sidecar. Membership is off unless it is
// configured. See docs/peers.md.
package membership

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
)

// Descriptors is the number of file descriptors that a cluster takes: its sockets, and the few short-lived connections
// over which members exchange their full state.
const Descriptors = 12

// Settings of memberlist's failure detection that differ from its defaults for a LAN. With the defaults, a member of a
// cluster of five can take a minute to notice that it is partitioned, as few members remain to confirm a suspicion.
const (
	probeInterval          = 500 * time.Millisecond
	probeTimeout           = 300 * time.Millisecond // far above a round trip: a process that waits for CPU is not dead
	tcpTimeout             = 2 * time.Second
	suspicionMaxMultiplier = 3
)

const (
	// announceSpacing is the mean time between two announcements in the cluster while all members have changes.
	announceSpacing = 200 * time.Millisecond
	// announceTimeout is how long an announcement waits for its broadcast, which continues after the timeout.
	announceTimeout = time.Millisecond
	// leaveTimeout is how long Close waits for the other members to learn that this one leaves.
	leaveTimeout = 200 * time.Millisecond
	// joinTurnRange is the range of the random number at which joinTurn starts. It is far larger than the number of
	// addresses to join, so that members start with each address about equally often.
	joinTurnRange = 1 << 16
)

// Peer is what this member knows about a member of the cluster.
type Peer struct {
	Metadata
	Name, Address string
	Alive         bool
	LastSeen      time.Time // when it last joined, changed, left or answered a ping of this member
}

// Cluster is this sidecar's view of its cluster.
type Cluster struct {
	config     Config
	list       *memberlist.Memberlist
	transport  *transport
	log        *logrus.Logger
	cancel     context.CancelFunc // ends the rejoin loop
	background sync.WaitGroup

	mu         sync.Mutex
	metadata   Metadata         // metadata of this member
	announceAt time.Time        // when changed metadata is announced; zero: nothing has changed
	peers      map[string]*Peer // by name, former members included
	joinTurn   int              // selects the next address to join, modulo the number of these addresses
	joins      uint64           // number of joins of other members
	departures uint64           // number of other members that left or were declared dead

	dropped atomic.Uint64 // number of packets and connections with another key or cluster name
}

// newCluster returns a cluster without members. It begins to join at a random one of the addresses to join: hundreds of
// members that start at once with the same list would otherwise all join through the same member.
func newCluster(config Config, log *logrus.Logger) *Cluster {
	return &Cluster{
		config:   config,
		log:      log,
		peers:    map[string]*Peer{},
		joinTurn: rand.IntN(joinTurnRange),
		metadata: newMetadata(config),
	}
}

// Open starts listening, and joins members at the configured addresses in the background.
func Open(config Config, log *logrus.Logger) (*Cluster, error) {
	c := newCluster(config, log)
	listConfig, err := c.memberlistConfig()
	if err != nil {
		return nil, err
	}
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{listConfig.BindAddr},
		BindPort:  listConfig.BindPort,
		Logger:    listConfig.Logger,
	})
	if err != nil {
		return nil, err
	}
	c.transport = &transport{NetTransport: netTransport, localAddress: listConfig.BindAddr}
	listConfig.Transport = c.transport
	if c.list, err = memberlist.Create(listConfig); err != nil {
		return nil, errors.Join(err, netTransport.Shutdown())
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.background.Go(func() { c.rejoin(ctx) })
	return c, nil
}

// memberlistConfig returns the configuration of memberlist, without a transport.
func (c *Cluster) memberlistConfig() (*memberlist.Config, error) {
	config := memberlist.DefaultLANConfig()
	config.Name = c.config.Name
	config.Label = c.config.Cluster
	config.SecretKey = c.config.Key
	config.Logger = newLogger(c.log, &c.dropped)
	callbacks := delegate{c}
	config.Delegate = callbacks
	config.Events = callbacks
	config.Ping = callbacks
	config.Conflict = callbacks
	config.ProbeInterval = probeInterval
	config.ProbeTimeout = probeTimeout
	config.TCPTimeout = tcpTimeout
	config.SuspicionMaxTimeoutMult = suspicionMaxMultiplier
	config.EnableCompression = false // messages are short, and CPU is shared with requests
	var err error
	if config.BindAddr, config.BindPort, err = splitAddress(c.config.Listen); err != nil {
		return nil, err
	}
	if config.AdvertiseAddr, config.AdvertisePort, err = splitAddress(c.Address()); err != nil {
		return nil, err
	}
	return config, nil
}

// Announce sets the revision and the digest of the slot table that this member announces. It is called periodically.
//
// Each announcement is gossiped to all members, and a new revision changes the metadata of all members at once. So that
// they don't flood the network, each member delays its announcement by a random time that grows with the size of the
// cluster.
func (c *Cluster) Announce(revision, tableDigest uint64) {
	if c.setMetadata(revision, tableDigest) {
		_ = c.list.UpdateNode(announceTimeout) // usually times out, and the broadcast continues in the background
	}
}

// setMetadata changes the metadata and reports whether it is to be announced now.
func (c *Cluster) setMetadata(revision, tableDigest uint64) bool {
	members := c.AliveSidecars()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.metadata.Revision != revision || c.metadata.TableDigest != tableDigest
	if changed && c.announceAt.IsZero() {
		c.announceAt = now.Add(rand.N(time.Duration(max(1, members)) * announceSpacing))
	}
	c.metadata.Revision = revision
	c.metadata.TableDigest = tableDigest
	if c.announceAt.IsZero() || now.Before(c.announceAt) {
		return false
	}
	c.announceAt = time.Time{}
	return true
}

// AliveSidecars returns the number of sidecars that are alive, this one included and coordinators excluded.
func (c *Cluster) AliveSidecars() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	alive := 0
	for _, peer := range c.peers {
		if peer.Alive && !peer.Coordinator {
			alive++
		}
	}
	return alive
}

// Coordinators returns the addresses of the coordinators, including those considered dead, as that may be a mistake.
func (c *Cluster) Coordinators() []string {
	var addresses []string
	for _, peer := range c.Peers() {
		if peer.Coordinator {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}

// Address returns the address at which other members reach this one.
func (c *Cluster) Address() string { return cmp.Or(c.config.Advertise, c.config.Listen) }

// Send sends a short message to the member at an address. The message may be lost or arrive twice.
func (c *Cluster) Send(to string, message []byte) error {
	return c.list.SendToAddress(memberlist.Address{Addr: to}, message)
}

// SendReliable sends a message of any length over a connection, and blocks until it is sent.
func (c *Cluster) SendReliable(to string, message []byte) error {
	address, err := net.ResolveTCPAddr("tcp", to)
	if err != nil {
		return err
	}
	return c.list.SendReliable(&memberlist.Node{Addr: address.IP, Port: uint16(address.Port)}, message)
}

// Peers returns the known members by name, this one included. Former members are included until they are forgotten.
func (c *Cluster) Peers() []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var peers []Peer
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		peers = append(peers, *c.peers[name])
	}
	return peers
}

// Report returns the known members as text, one a line. Fault-injection tests read it.
func (c *Cluster) Report() string {
	var report strings.Builder
	now := time.Now()
	for _, peer := range c.Peers() {
		state := "alive"
		if !peer.Alive {
			state = "gone"
		}
		if peer.Coordinator {
			state += " keeper"
		}
		sinceSeen := now.Sub(peer.LastSeen)
		if peer.Name == c.config.Name {
			sinceSeen = 0
		}
		uptime := now.Sub(time.Unix(0, peer.StartedAt))
		fmt.Fprintf(&report, "%s %s zone=%q %s up=%.0fs heard=%.0fs version=%d table=%016x\n",
			peer.Name, peer.Address, peer.Zone, state, uptime.Seconds(), sinceSeen.Seconds(),
			peer.Revision, peer.TableDigest)
	}
	return report.String()
}

// EachMetric calls report with each metric. counter is true for a counter and false for a gauge.
func (c *Cluster) EachMetric(report func(name string, value float64, counter bool)) {
	c.mu.Lock()
	known := len(c.peers)
	joins := c.joins
	departures := c.departures
	tables := map[uint64]bool{}
	for _, peer := range c.peers {
		if peer.Alive && !peer.Coordinator {
			tables[peer.TableDigest] = true
		}
	}
	c.mu.Unlock()
	report("peers_alive", float64(c.AliveSidecars()), false)
	report("peers_known", float64(known), false)
	report("peers_tables", float64(len(tables)), false)
	report("peers_own_health", float64(c.list.GetHealthScore()), false)
	report("peers_joined", float64(joins), true)
	report("peers_gone", float64(departures), true)
	report("peers_dropped", float64(c.dropped.Load()), true)
	report("peers_packets_sent", float64(c.transport.packets.Load()), true)
	report("peers_bytes_sent", float64(c.transport.bytes.Load()), true)
}

// Close leaves the cluster, so that the other members don't have to detect a failure, and stops.
func (c *Cluster) Close() {
	c.cancel()
	_ = c.list.Leave(leaveTimeout) // after a timeout the others detect the failure
	_ = c.list.Shutdown()          // nothing can be done about a socket that fails to close
	c.background.Wait()
}
