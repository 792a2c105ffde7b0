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
	// leaseRequestInterval is the time between requests for a lease. Three requests fit into the shortest useful lease.
	leaseRequestInterval = 400 * time.Millisecond
	// leaseRequestJitter is the fraction of the interval over which requests are spread, so that instances that started
	// together don't send theirs together.
	leaseRequestJitter = 0.2
	// issuerTimeout is how long after the last lease the client sends its requests only to the coordinator that issued
	// that lease. After that it sends them to all coordinators.
	issuerTimeout = 3 * leaseRequestInterval

	// maxQueuedMessages limits the messages that were received from coordinators and are not yet processed.
	maxQueuedMessages = 64
)

// leaseClient requests leases from the coordinators and passes leases and revisions on to the engine.
type leaseClient struct {
	proxy    *httpproxy.Proxy
	cluster  *atomic.Pointer[membership.Cluster] // holds nil until the cluster is joined
	messages chan []byte

	issuer     string    // address of the coordinator that issued the last lease
	issuedAt   time.Time // when the last lease was accepted
	requestNow bool      // a revision was added: request a lease on it without waiting for the interval

	leased            atomic.Bool
	revision          atomic.Uint64 // number of the latest leased revision
	leases            atomic.Uint64
	leasesLost        atomic.Uint64
	revisionsAdded    atomic.Uint64
	revisionsRejected atomic.Uint64
	unreadable        atomic.Uint64 // messages that can't be decoded
}

func newLeaseClient(proxy *httpproxy.Proxy, cluster *atomic.Pointer[membership.Cluster]) *leaseClient {
	return &leaseClient{proxy: proxy, cluster: cluster, messages: make(chan []byte, maxQueuedMessages)}
}

// fileRuleSet returns the rules of the instance's own configuration file, which are in force until the cluster has a
// revision.
func fileRuleSet(settings *policy.Settings, deadlines []policy.Time) *engine.RuleSet {
	own := *settings
	own.Classes = slices.Clone(settings.Classes)
	own.Tenants = slices.Clone(settings.Tenants)
	return &engine.RuleSet{
		RuleSet:  ruleset.RuleSet{Rules: ruleset.NewRules(&own, deadlines, nil, nil)},
		Settings: &own,
	}
}

// parseRevision parses the rules of a revision. Its error has a line for each fault.
func parseRevision(revision ruleset.Revision) (*engine.RuleSet, error) {
	rules, err := config.ReadRules("version", revision.Text)
	if err != nil {
		return nil, err
	}
	members := membersOf(rules.Endpoints)
	return &engine.RuleSet{
		RuleSet: ruleset.RuleSet{
			Number: revision.Number,
			Digest: revision.Digest,
			Rules:  ruleset.NewRules(rules.Settings, rules.Deadlines, members, rules.Drained),
		},
		Settings:  rules.Settings,
		Endpoints: rules.Endpoints,
		Table:     policy.DecodeTable(revision.Table, members),
	}, nil
}

func membersOf(entries []endpointfiles.Entry) []policy.Member {
	var members []policy.Member
	for _, entry := range entries {
		members = append(members, entry.Member)
	}
	return members
}

// handleMessage queues a message of a coordinator. It doesn't block: if the queue is full, the message is dropped, and
// the next lease request makes the coordinator send it again.
func (c *leaseClient) handleMessage(encoded []byte) {
	select {
	case c.messages <- encoded:
	default:
	}
}

// run requests leases and processes messages until stop is closed.
func (c *leaseClient) run(stop <-chan struct{}) {
	next := time.NewTimer(0)
	for {
		select {
		case <-stop:
			return
		case encoded := <-c.messages:
			c.process(encoded)
			if c.requestNow {
				c.requestNow = false
				next.Reset(0)
			}
		case <-next.C:
			jitter := leaseRequestJitter * (rand.Float64() - 0.5)
			next.Reset(time.Duration(float64(leaseRequestInterval) * (1 + jitter)))
			c.requestLease()
		}
	}
}

// process decodes a message and passes its lease or revision on to the engine.
func (c *leaseClient) process(encoded []byte) {
	message, err := ruleset.Decode(encoded)
	if err != nil {
		c.unreadable.Add(1)
		return
	}
	switch message := message.(type) {
	case ruleset.LeaseResponse:
		c.acceptLease(message)
	case ruleset.RevisionUpdate:
		c.addRevision(message.Revision)
	}
}

// requestLease requests a lease from the coordinator that issued the last one, or from all coordinators if that one has
// issued none for issuerTimeout.
func (c *leaseClient) requestLease() {
	cluster := c.cluster.Load()
	if cluster == nil {
		return
	}
	coordinators := cluster.Coordinators()
	if time.Since(c.issuedAt) < issuerTimeout && slices.Contains(coordinators, c.issuer) {
		coordinators = []string{c.issuer}
	}
	if len(coordinators) == 0 {
		return
	}
	var encoded []byte
	done := c.proxy.RunOnLoopWithin(loopTimeout, func() {
		id, known := c.proxy.NewLeaseRequest()
		encoded = ruleset.LeaseRequest{Sender: cluster.Address(), ID: id, Known: known}.Encode()
		c.recordLease()
	})
	if !done {
		return
	}
	for _, address := range coordinators {
		_ = cluster.Send(address, encoded) // an error doesn't matter: requests are repeated
	}
}

// recordLease updates the state of the lease that is shown in metrics and announced to the peers. It must be called on
// the engine's loop.
func (c *leaseClient) recordLease() {
	revisions, leased := c.proxy.LeasedRevisions()
	if len(revisions) > 0 {
		c.revision.Store(uint64(revisions[len(revisions)-1]))
	}
	wasLeased := c.leased.Swap(leased)
	if wasLeased && !leased {
		c.leasesLost.Add(1)
	}
}

// acceptLease passes a lease on to the engine.
func (c *leaseClient) acceptLease(response ruleset.LeaseResponse) {
	c.proxy.RunOnLoopWithin(loopTimeout, func() {
		if c.proxy.AcceptLease(response.Lease) {
			c.issuer = response.Sender
			c.issuedAt = time.Now()
			c.leases.Add(1)
		}
		c.recordLease()
	})
}

// addRevision passes a revision on to the engine if it is valid.
func (c *leaseClient) addRevision(revision ruleset.Revision) {
	if sha256.Sum256(revision.Text) != revision.Digest {
		c.reject(revision, "its digest does not match its text")
		return
	}
	ruleSet, err := parseRevision(revision)
	if err != nil {
		c.reject(revision, strings.ReplaceAll(err.Error(), "\n", "; "))
		return
	}
	c.proxy.RunOnLoopWithin(loopTimeout, func() {
		if !c.proxy.AddRuleSet(ruleSet) {
			c.reject(revision, "its number belongs to another digest, a newer revision is leased, "+
				"or there is no room for it")
			return
		}
		c.revisionsAdded.Add(1)
		c.requestNow = true
	})
}

// reject counts and logs a revision that can't be used.
func (c *leaseClient) reject(revision ruleset.Revision, reason string) {
	c.revisionsRejected.Add(1)
	c.proxy.Logger.WithField("revision", revision.Number).WithField("reason", reason).
		Error("revision rejected, the active one stays in force")
}

// eachMetric calls report with each metric.
func (c *leaseClient) eachMetric(report func(name string, value float64, isCounter bool)) {
	leased := 0.0
	if c.leased.Load() {
		leased = 1
	}
	report("rules_version", float64(c.revision.Load()), false)
	report("rules_leased", leased, false)
	report("rules_leases_lost", float64(c.leasesLost.Load()), true)
	report("rules_leases", float64(c.leases.Load()), true)
	report("rules_learned", float64(c.revisionsAdded.Load()), true)
	report("rules_refused", float64(c.revisionsRejected.Load()), true)
	report("rules_unreadable", float64(c.unreadable.Load()), true)
}
