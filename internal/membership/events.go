package membership

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

// NodeMeta is what is told of this sidecar.
func (c *Cluster) NodeMeta(limit int) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, err := cbor.Marshal(c.says)
	if err != nil || len(b) > limit {
		return nil
	}
	return b
}

// NotifyJoin is told of one that is there.
func (c *Cluster) NotifyJoin(n *memberlist.Node) { c.heard(n, true, true) }

// NotifyUpdate is told of one that says something else now.
func (c *Cluster) NotifyUpdate(n *memberlist.Node) { c.heard(n, true, false) }

// NotifyLeave is told of one that is gone.
func (c *Cluster) NotifyLeave(n *memberlist.Node) { c.heard(n, false, true) }

func (c *Cluster) heard(n *memberlist.Node, alive, moved bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[n.Name]
	if p == nil {
		p = &Peer{Name: n.Name}
		c.peers[n.Name] = p
	}
	var says Metadata
	if cbor.Unmarshal(n.Meta, &says) == nil { // else of a newer kind: it is there all the same
		p.Metadata = says
	}
	p.Address, p.Alive, p.LastHeard = n.Address(), alive, time.Now()
	if !moved || n.Name == c.post.Name {
		return
	}
	there := 0
	for _, p := range c.peers {
		if p.Alive {
			there++
		}
	}
	if alive {
		c.joins++
		c.log.Infof("peers: %s joined, %d there", n.Name, there)
	} else {
		c.gone++
		c.log.Infof("peers: %s gone, %d there", n.Name, there)
	}
}

// NotifyPingComplete is told of one that has answered.
func (c *Cluster) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[n.Name]; p != nil {
		p.LastHeard = time.Now()
	}
}

// NotifyConflict is told of two under one name: the one that was there first stays.
func (c *Cluster) NotifyConflict(is, other *memberlist.Node) {
	c.log.Warnf("peers: %s is the name of %s, and of %s, which is left out", is.Name, is.Address(), other.Address())
}

// NotifyMsg is told of what another has sent. The bytes are memberlist's again after it.
func (c *Cluster) NotifyMsg(b []byte) {
	if c.post.OnMessage != nil {
		c.post.OnMessage(slices.Clone(b))
	}
}

func (c *Cluster) AckPayload() []byte              { return nil }
func (c *Cluster) GetBroadcasts(_, _ int) [][]byte { return nil }
func (c *Cluster) LocalState(bool) []byte          { return nil }
func (c *Cluster) MergeRemoteState([]byte, bool)   {}
