package ruleset

import (
	"cmp"
	"slices"

	"pepperlead/policy"
)

// maxRuleSets is how many rule sets a client keeps: those in force and a few that may come into force.
const maxRuleSets = 4

// generationShift is where the client's generation begins in its request IDs.
const generationShift = 32

// LeaseClient is an instance's side of the lease protocol.
type LeaseClient struct {
	known           []RuleSet // in order of number
	term            Term
	leasedRevisions []RevisionNumber
	leaseExpiry     policy.Time // on the client's own clock
	lastRequestID   uint64
	requestedAt     policy.Time
	leasedRules     Rules  // the strictest of the leased revisions
	floorRules      Rules  // what applies without a lease
	changes         uint64 // changes of leasedRules and floorRules
}

// NewLeaseClient returns a client that knows no rule set. generation tells the restarts of an instance apart: answers
// to requests of an earlier generation are rejected.
func NewLeaseClient(generation uint32) *LeaseClient {
	return &LeaseClient{lastRequestID: uint64(generation) << generationShift}
}

// Add stores a rule set. It reports false if the number is known with another digest, if the rule set is older than the
// leased ones, or if there is no room for it beside those that may be in force.
func (c *LeaseClient) Add(ruleSet RuleSet) bool {
	i, known := c.find(ruleSet.Number)
	if known {
		return c.known[i].Digest == ruleSet.Digest
	}
	leased := len(c.leasedRevisions) > 0
	if leased && ruleSet.Number < c.leasedRevisions[0] {
		return false
	}
	full := len(c.known) >= maxRuleSets
	if full {
		oldestMayBeInForce := leased && c.known[0].Number >= c.leasedRevisions[0]
		if i == 0 || oldestMayBeInForce {
			return false // the coordinator sends the rejected one again
		}
	}
	c.known = slices.Insert(c.known, i, ruleSet)
	if full {
		c.known = c.known[1:]
	}
	c.recompute()
	return true
}

// find returns the index of the rule set with a number, or where it would be inserted.
func (c *LeaseClient) find(number RevisionNumber) (int, bool) {
	return slices.BinarySearchFunc(c.known, number, func(ruleSet RuleSet, number RevisionNumber) int {
		return cmp.Compare(ruleSet.Number, number)
	})
}

// NewRequest starts a lease request that is sent at now. known are the revisions that the client could act by.
func (c *LeaseClient) NewRequest(now policy.Time) (id uint64, known []RevisionNumber) {
	c.lastRequestID++
	c.requestedAt = now
	for _, ruleSet := range c.known {
		known = append(known, ruleSet.Number)
	}
	return c.lastRequestID, known
}

// Accept takes a lease and reports whether it is valid. Only the answer to the latest request is: an older answer names
// what was in force before that request.
func (c *LeaseClient) Accept(lease Lease) bool {
	if lease.RequestID != c.lastRequestID || lease.Term < c.term || len(lease.Revisions) == 0 {
		return false
	}
	if len(c.leasedRevisions) > 0 && lease.Revisions[0] < c.leasedRevisions[0] {
		return false
	}
	for _, number := range lease.Revisions {
		if !c.Knows(number) {
			return false
		}
	}
	c.term = lease.Term
	c.leaseExpiry = c.requestedAt + lease.Duration
	if !slices.Equal(c.leasedRevisions, lease.Revisions) {
		c.leasedRevisions = slices.Clone(lease.Revisions)
		c.recompute()
	}
	return true
}

// recompute updates both rule combinations, so that Active costs nothing. Revisions older than the leased ones can't
// come into force again, so the floor leaves them out.
func (c *LeaseClient) recompute() {
	c.leasedRules = c.strictestKnown(func(number RevisionNumber) bool {
		return slices.Contains(c.leasedRevisions, number)
	})
	c.floorRules = c.strictestKnown(func(number RevisionNumber) bool {
		return len(c.leasedRevisions) == 0 || number >= c.leasedRevisions[0]
	}).Floor()
	c.changes++
}

// strictestKnown combines the selected rule sets; without any it returns the zero Rules.
func (c *LeaseClient) strictestKnown(selected func(RevisionNumber) bool) Rules {
	var combined Rules
	first := true
	for _, ruleSet := range c.known {
		if !selected(ruleSet.Number) {
			continue
		}
		if first {
			combined = ruleSet.Rules
			first = false
			continue
		}
		combined = Strictest(combined, ruleSet.Rules)
	}
	return combined
}

// Changes counts how often the rules returned by Active changed, expiries of leases excluded.
func (c *LeaseClient) Changes() uint64 { return c.changes }

// Knows reports whether a rule set with the number is stored, whatever its digest.
func (c *LeaseClient) Knows(number RevisionNumber) bool {
	_, known := c.find(number)
	return known
}

// Active returns the rules that apply at now and whether they are leased. Without a valid lease they are the floor of
// all rule sets that may be in force. Call it after a decision and right before the result is sent, in one turn of the
// loop, because the process may have been paused in between.
func (c *LeaseClient) Active(now policy.Time) (rules *Rules, leased bool) {
	if len(c.leasedRevisions) > 0 && now < c.leaseExpiry {
		return &c.leasedRules, true
	}
	return &c.floorRules, false
}

// Leased returns the revisions of the last accepted lease.
func (c *LeaseClient) Leased() []RevisionNumber { return c.leasedRevisions }
