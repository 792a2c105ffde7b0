package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/clock"
	"pepperlead/internal/ruleset"
)

// changeCheckInterval is how often the leader checks whether the change in progress can be completed.
const changeCheckInterval = 50 * time.Millisecond

// followLeadership begins and ends this coordinator's terms as leader.
func (c *Coordinator) followLeadership() {
	for {
		select {
		case <-c.stop:
			return
		case isLeader := <-c.raft.LeaderCh():
			c.endTerm()
			if !isLeader {
				c.log.Info("lost leadership")
				continue
			}
			// A barrier waits until all entries committed in earlier terms are applied here.
			if c.raft.Barrier(applyTimeout).Error() == nil {
				c.beginTerm()
			}
		}
	}
}

// endTerm drops the lease issuer and the pending lease requests.
func (c *Coordinator) endTerm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaseIssuer = nil
	c.pendingRequests = nil
}

// beginTerm starts issuing leases.
func (c *Coordinator) beginTerm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	term := c.raft.CurrentTerm()
	log := &c.revisionLog
	c.leaseIssuer = ruleset.NewLeaseIssuer(ruleset.Term(term), c.config.LeaseDuration, c.config.ClockDrift,
		log.Active, log.Next, clock.LeaseTime())
	c.log.WithFields(logrus.Fields{
		"term":            term,
		"active_revision": log.Active,
		"next_revision":   log.Next,
	}).Info("gained leadership")
}

// completeChanges completes each change once no lease of the active revision alone can be valid.
func (c *Coordinator) completeChanges() {
	ticker := time.NewTicker(changeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
		if number, ready := c.changeReady(); ready {
			_ = c.commit(&completeCommand{Name: commandComplete, Number: number}) // retried at the next tick
		}
	}
}

// changeReady returns the next revision, and whether the change to it can be completed now.
func (c *Coordinator) changeReady() (ruleset.RevisionNumber, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ready := c.leaseIssuer != nil && c.leaseIssuer.ChangeReady(clock.LeaseTime())
	return c.revisionLog.Next, ready
}
