package membership

import (
	"slices"
	"time"

	"github.com/hashicorp/memberlist"
)

// delegate implements the callbacks of memberlist for a cluster.
type delegate struct {
	cluster *Cluster
}

var (
	_ memberlist.Delegate         = delegate{}
	_ memberlist.EventDelegate    = delegate{}
	_ memberlist.PingDelegate     = delegate{}
	_ memberlist.ConflictDelegate = delegate{}
)

// NodeMeta returns the metadata of this member.
func (d delegate) NodeMeta(limit int) []byte {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	return d.cluster.metadata.encode(limit)
}

// NotifyJoin is called when a member has joined.
func (d delegate) NotifyJoin(node *memberlist.Node) {
	c := d.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updatePeer(node, true)
	if node.Name == c.config.Name {
		return
	}
	c.joins++
	c.log.Infof("peers: %s joined, %d alive", node.Name, c.countAlive())
}

// NotifyUpdate is called when the metadata of a member has changed.
func (d delegate) NotifyUpdate(node *memberlist.Node) {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	d.cluster.updatePeer(node, true)
}

// NotifyLeave is called when a member has left or is considered dead.
func (d delegate) NotifyLeave(node *memberlist.Node) {
	c := d.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updatePeer(node, false)
	if node.Name == c.config.Name {
		return
	}
	c.departures++
	c.log.Infof("peers: %s left or is dead, %d alive", node.Name, c.countAlive())
}

// NotifyPingComplete is called when a member has answered a ping.
func (d delegate) NotifyPingComplete(node *memberlist.Node, _ time.Duration, _ []byte) {
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	if peer := d.cluster.peers[node.Name]; peer != nil {
		peer.LastSeen = time.Now()
	}
}

// NotifyConflict is called when two members have the same name. memberlist ignores the second one.
func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	d.cluster.log.Warnf("peers: name %s is used by %s and also by %s, which is ignored",
		existing.Name, existing.Address(), other.Address())
}

// NotifyMsg is called with a message of another member. memberlist reuses the buffer afterwards.
func (d delegate) NotifyMsg(message []byte) {
	if onMessage := d.cluster.config.OnMessage; onMessage != nil {
		onMessage(slices.Clone(message))
	}
}

// AckPayload returns nil: answers to pings carry no payload.
func (delegate) AckPayload() []byte { return nil }

// GetBroadcasts returns nil: only memberlist's own messages are gossiped.
func (delegate) GetBroadcasts(_, _ int) [][]byte { return nil }

// LocalState returns nil: members exchange no state besides memberlist's own.
func (delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing, as LocalState returns nothing.
func (delegate) MergeRemoteState([]byte, bool) {}

// updatePeer records what memberlist knows about a member. The caller holds the lock.
func (c *Cluster) updatePeer(node *memberlist.Node, alive bool) {
	peer := c.peers[node.Name]
	if peer == nil {
		peer = &Peer{Name: node.Name}
		c.peers[node.Name] = peer
	}
	// Metadata in a later format may fail to decode. The member still counts, with its last known metadata.
	if metadata, err := decodeMetadata(node.Meta); err == nil {
		peer.Metadata = metadata
	}
	peer.Address = node.Address()
	peer.Alive = alive
	peer.LastSeen = time.Now()
}

// countAlive returns the number of members that are alive, coordinators included. The caller holds the lock.
func (c *Cluster) countAlive() int {
	alive := 0
	for _, peer := range c.peers {
		if peer.Alive {
			alive++
		}
	}
	return alive
}
