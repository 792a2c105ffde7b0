package ruleset

import (
	"cmp"
	"slices"

	"pepperlead/policy"
)

// maxRuleSets is the maximum number of rule sets that a client keeps: those in force and a few that may come into
// force.
const maxRuleSets = 4

// generationShift is the position of the lowest bit of the client's generation in its request IDs.
const generationShift = 32

// LeaseClient is an instance's side of the lease protocol.
type LeaseClient struct {
	ruleSets        []RuleSet        // in order of number
	term            Term             // term of the last accepted lease
	leasedRevisions []RevisionNumber // revisions of the last accepted lease
	leaseExpiry     policy.Time      // when the last accepted lease expires, on the client's own clock
	lastRequestID   uint64
	requestedAt     policy.Time // time of the last request
	leasedRules     Rules       // the strictest combination of the leased revisions
	floorRules      Rules       // the rules that apply without a lease
	changes         uint64      // number of updates of leasedRules and floorRules
}

// NewLeaseClient returns a client without rule sets. generation distinguishes the restarts of an instance: leases
// requested by an earlier generation are rejected.
func NewLeaseClient(generation uint32) *LeaseClient {
	return &LeaseClient{lastRequestID: uint64(generation) << generationShift}
}

// Add stores a rule set and reports whether it is stored. It rejects a rule set whose number is stored with another
// digest, and one that is older than the leased revisions. If the client is full, the new rule set replaces the oldest
// one, unless the oldest one may be in force or the new one is older still: then the new one is rejected.
func (c *LeaseClient) Add(ruleSet RuleSet) bool {
	i, known := c.find(ruleSet.Number)
	if known {
		return c.ruleSets[i].Digest == ruleSet.Digest
	}
	leased := len(c.leasedRevisions) > 0
	if leased && ruleSet.Number < c.leasedRevisions[0] {
		return false
	}
	full := len(c.ruleSets) >= maxRuleSets
	if full {
		oldestMayBeInForce := leased && c.ruleSets[0].Number >= c.leasedRevisions[0]
		if i == 0 || oldestMayBeInForce {
			return false // the coordinator sends the rejected rule set again
		}
	}
	c.ruleSets = slices.Insert(c.ruleSets, i, ruleSet)
	if full {
		c.ruleSets = c.ruleSets[1:]
	}
	c.recompute()
	return true
}

// find returns the index of the rule set with the given number and true, or the index at which to insert it and false.
func (c *LeaseClient) find(number RevisionNumber) (int, bool) {
	return slices.BinarySearchFunc(c.ruleSets, number, func(ruleSet RuleSet, number RevisionNumber) int {
		return cmp.Compare(ruleSet.Number, number)
	})
}

// NewRequest starts a lease request, which the caller sends at now. known are the revisions whose rule sets the client
// has.
func (c *LeaseClient) NewRequest(now policy.Time) (id uint64, known []RevisionNumber) {
	c.lastRequestID++
	c.requestedAt = now
	for _, ruleSet := range c.ruleSets {
		known = append(known, ruleSet.Number)
	}
	return c.lastRequestID, known
}

// Accept installs a lease and reports whether it is valid. Only a lease that answers the latest request is valid: a
// lease that answers an earlier request may name revisions that were no longer in force when the latest request was
// sent. A lease is also invalid if its term or its first revision is older than that of the last accepted lease, or if
// the client lacks one of its revisions.
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

// recompute updates both combinations of rules in advance, so that Active only has to select one. Revisions older than
// the leased ones can't come into force again, so the floor leaves them out.
func (c *LeaseClient) recompute() {
	c.leasedRules = c.strictestOf(func(number RevisionNumber) bool {
		return slices.Contains(c.leasedRevisions, number)
	})
	c.floorRules = c.strictestOf(func(number RevisionNumber) bool {
		return len(c.leasedRevisions) == 0 || number >= c.leasedRevisions[0]
	}).Floor()
	c.changes++
}

// strictestOf returns the strictest combination of the selected rule sets, or the zero Rules if none is selected.
func (c *LeaseClient) strictestOf(selected func(RevisionNumber) bool) Rules {
	var combined Rules
	first := true
	for _, ruleSet := range c.ruleSets {
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

// Changes returns how often the rules behind Active were updated. Expiries of leases are not counted.
func (c *LeaseClient) Changes() uint64 { return c.changes }

// Knows reports whether a rule set with the given number is stored. It doesn't compare digests.
func (c *LeaseClient) Knows(number RevisionNumber) bool {
	_, known := c.find(number)
	return known
}

// Active returns the rules that apply at now and whether they are leased. Without a valid lease they are the floor of
// all rule sets that may be in force. Call it after a decision and immediately before its result is sent, within the
// same step of the loop: the process may have been paused earlier, and the lease may have expired meanwhile.
func (c *LeaseClient) Active(now policy.Time) (rules *Rules, leased bool) {
	if len(c.leasedRevisions) > 0 && now < c.leaseExpiry {
		return &c.leasedRules, true
	}
	return &c.floorRules, false
}

// LeasedRevisions returns the revisions of the last accepted lease.
func (c *LeaseClient) LeasedRevisions() []RevisionNumber { return c.leasedRevisions }
