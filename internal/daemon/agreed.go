package daemon

import (
	"crypto/sha256"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"pepperlead/internal/config"
	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/engine"
	"pepperlead/internal/httpproxy"
	"pepperlead/internal/membership"
	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

const (
	askEvery  = 400 * time.Millisecond // between questions for a lease: three of them fit into the shortest that is of use
	askSpread = 0.2                    // of it, so that sidecars that were started together do not ask together
	loyalFor  = 3 * askEvery           // that a keeper which has granted is asked alone
	mostHeard = 64                     // words that wait to be taken in
)

// leaseClient keeps a sidecar's versions and lease as they are.
type leaseClient struct {
	*httpproxy.Proxy
	cluster *atomic.Pointer[membership.Cluster]
	heard   chan []byte
	from    string // who granted last
	fromAt  time.Time
	soon    bool // to ask at once

	leased, revision                        atomic.Uint64
	granted, learned, refused, unread, lost atomic.Uint64
}

// fileRuleSet is what the sidecar's own file says, as the version that is in force where the cluster has none.
func fileRuleSet(c *policy.Settings, cutOffs []policy.Time) *engine.RuleSet {
	own := *c
	own.Classes, own.Tenants = slices.Clone(c.Classes), slices.Clone(c.Tenants)
	return &engine.RuleSet{RuleSet: ruleset.RuleSet{Rules: ruleset.NewRules(&own, cutOffs, nil, nil)}, Settings: &own}
}

// readVersion makes a version of a page. The error has a line for each fault.
func readVersion(p ruleset.Revision) (*engine.RuleSet, error) {
	v, err := config.ReadRules("version", p.Text)
	if err != nil {
		return nil, err
	}
	servers := members(v.Endpoints)
	return &engine.RuleSet{RuleSet: ruleset.RuleSet{Number: p.Number, Digest: p.Digest, Rules: ruleset.NewRules(v.Settings, v.Deadlines, servers, v.Drained)},
		Settings: v.Settings, Endpoints: v.Endpoints, Table: policy.DecodeTable(p.Table, servers)}, nil
}

func members(of []endpointfiles.Entry) (all []policy.Member) {
	for _, e := range of {
		all = append(all, e.Member)
	}
	return all
}

func newLeaseClient(proxy *httpproxy.Proxy, cluster *atomic.Pointer[membership.Cluster]) *leaseClient {
	return &leaseClient{Proxy: proxy, cluster: cluster, heard: make(chan []byte, mostHeard)}
}

func (g *leaseClient) handleMessage(b []byte) {
	select {
	case g.heard <- b:
	default: // it is asked for again
	}
}

// run asks for leases and takes in what is said, until the sidecar ends.
func (g *leaseClient) run(stop <-chan struct{}) {
	ears := ruleset.MessageHandler{Lease: g.grantedBy, Revision: g.told}
	next := time.NewTimer(0)
	for {
		select {
		case <-stop:
			return
		case b := <-g.heard:
			if !ears.Handle(b) {
				g.unread.Add(1)
			}
			if g.soon {
				g.soon = false
				next.Reset(0)
			}
		case <-next.C:
			next.Reset(time.Duration(float64(askEvery) * (1 + askSpread*(rand.Float64()-0.5))))
			g.ask()
		}
	}
}

// ask asks the keeper that granted last, or all of them where it has been silent.
func (g *leaseClient) ask() {
	c := g.cluster.Load()
	if c == nil {
		return
	}
	keepers := c.Coordinators()
	if time.Since(g.fromAt) < loyalFor && slices.Contains(keepers, g.from) {
		keepers = []string{g.from}
	}
	var b []byte
	if len(keepers) == 0 || !g.RunOnLoopWithin(loopTimeout, func() {
		ask, knows := g.NewLeaseRequest()
		b = ruleset.EncodeLeaseRequest(c.Address(), ask, knows)
		g.note()
	}) {
		return
	}
	for _, to := range keepers {
		c.Send(to, b) // lost: it is asked again
	}
}

// note keeps what others are told. The loop calls it.
func (g *leaseClient) note() {
	of, leased := g.LeasedRevisions()
	if len(of) > 0 {
		g.revision.Store(uint64(of[len(of)-1]))
	}
	was := g.leased.Swap(map[bool]uint64{true: 1}[leased])
	if was == 1 && !leased {
		g.lost.Add(1)
	}
}

func (g *leaseClient) grantedBy(from string, by ruleset.Lease) {
	g.RunOnLoopWithin(loopTimeout, func() {
		if g.AcceptLease(by) {
			g.from, g.fromAt = from, time.Now()
			g.granted.Add(1)
		}
		g.note()
	})
}

func (g *leaseClient) told(from string, p ruleset.Revision) {
	if sha256.Sum256(p.Text) != p.Digest {
		g.refuse(p, "its digest is that of another text")
		return
	}
	v, err := readVersion(p)
	if err != nil {
		g.refuse(p, strings.ReplaceAll(err.Error(), "\n", "; "))
		return
	}
	g.RunOnLoopWithin(loopTimeout, func() {
		switch {
		case g.AddRuleSet(v):
			g.learned.Add(1)
			g.soon = true
		default:
			g.refuse(p, "its number is known with another digest, or what is in force is newer")
		}
	})
}

func (g *leaseClient) refuse(p ruleset.Revision, why string) {
	g.refused.Add(1)
	g.Logger.WithField("why", why).Errorf("rules: version %d is left out, what is in force stays", p.Number)
}

// eachMetric hands over what is counted of versions.
func (g *leaseClient) eachMetric(each func(name string, value float64, rises bool)) {
	each("rules_version", float64(g.revision.Load()), false)
	each("rules_leased", float64(g.leased.Load()), false)
	each("rules_leases_lost", float64(g.lost.Load()), true)
	each("rules_leases", float64(g.granted.Load()), true)
	each("rules_learned", float64(g.learned.Load()), true)
	each("rules_refused", float64(g.refused.Load()), true)
	each("rules_unreadable", float64(g.unread.Load()), true)
}
