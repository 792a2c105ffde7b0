package coordinator

import (
	"slices"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/internal/membership"
	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

const (
	maxPendingRequests  = 4096 // lease requests that wait for a quorum round
	maxTrackedAddresses = 4096 // entries in revisionsSentAt, which is cleared when it has more
	maxRevisionSends    = 32   // concurrent transfers of revisions

	// revisionResendInterval is the shortest time between transfers of revisions to the same instance.
	revisionResendInterval = time.Second
)

// pendingRequest is a lease request that waits for a quorum round.
type pendingRequest struct {
	ruleset.LeaseRequest
	received policy.Time
}

// HandleMessage handles a message of an instance. It doesn't block.
func (c *Coordinator) HandleMessage(encoded []byte) {
	message, err := ruleset.Decode(encoded)
	if err != nil {
		c.metrics.unreadableMessages.Add(1)
		return
	}
	request, ok := message.(ruleset.LeaseRequest)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaseIssuer == nil || len(c.pendingRequests) >= maxPendingRequests {
		return // the instance retries, and asks all coordinators if it gets no lease
	}
	c.pendingRequests = append(c.pendingRequests, pendingRequest{request, clock.LeaseTime()})
	select {
	case c.requestsPending <- struct{}{}:
	default: // a signal is pending already
	}
}

// answerLeaseRequests answers the pending lease requests in batches, after one quorum round for each batch.
func (c *Coordinator) answerLeaseRequests() {
	for {
		select {
		case <-c.stop:
			return
		case <-c.requestsPending:
		}
		c.mu.Lock()
		requests := c.pendingRequests
		c.pendingRequests = nil
		c.mu.Unlock()
		if len(requests) == 0 {
			continue
		}
		roundStart := clock.LeaseTime()
		c.metrics.quorumRounds.Add(1)
		if c.raft.VerifyLeader().Error() != nil {
			c.metrics.failedQuorumRounds.Add(1)
			continue
		}
		for _, request := range requests {
			c.answer(request, roundStart)
		}
	}
}

// answer sends the instance a lease or, if it lacks revisions in force, those revisions. roundStart is when the quorum
// round began.
func (c *Coordinator) answer(request pendingRequest, roundStart policy.Time) {
	cluster := c.cluster.Load()
	if cluster == nil {
		return
	}
	lease, issued, missing := c.issueLease(request, roundStart)
	if issued {
		c.metrics.leasesIssued.Add(1)
		response := ruleset.LeaseResponse{Sender: cluster.Address(), Lease: lease}
		_ = cluster.Send(request.Sender, response.Encode()) // the instance retries if the response is lost
		return
	}
	if len(missing) == 0 {
		return
	}
	select {
	case c.revisionSends <- struct{}{}:
	default:
		return // the instance retries
	}
	go func() {
		defer func() { <-c.revisionSends }()
		c.sendRevisions(cluster, request.Sender, missing)
	}()
}

// issueLease returns a lease, or else the revisions that the instance lacks for one. It returns neither after a loss of
// leadership, or if the instance was sent revisions within revisionResendInterval.
func (c *Coordinator) issueLease(request pendingRequest, roundStart policy.Time) (
	lease ruleset.Lease, issued bool, missing []ruleset.Revision,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaseIssuer == nil || c.leaseIssuer.Term() != ruleset.Term(c.raft.CurrentTerm()) {
		// Leadership may have been lost and regained before followLeadership notices. This issuer doesn't know what was
		// committed in between.
		return ruleset.Lease{}, false, nil
	}
	c.leaseIssuer.ConfirmTerm(roundStart)
	lease, issued = c.leaseIssuer.Issue(request.ID, request.Known, request.received)
	if issued || time.Since(c.revisionsSentAt[request.Sender]) <= revisionResendInterval {
		return lease, issued, nil
	}
	for _, revision := range c.revisionLog.InForce() {
		if !slices.Contains(request.Known, revision.Number) {
			missing = append(missing, revision)
		}
	}
	if len(c.revisionsSentAt) > maxTrackedAddresses {
		clear(c.revisionsSentAt)
	}
	c.revisionsSentAt[request.Sender] = time.Now()
	return ruleset.Lease{}, false, missing
}

// sendRevisions transfers revisions to an instance, and stops at the first transfer that fails.
func (c *Coordinator) sendRevisions(cluster *membership.Cluster, address string, revisions []ruleset.Revision) {
	for _, revision := range revisions {
		encoded := ruleset.RevisionUpdate{Sender: cluster.Address(), Revision: revision}.Encode()
		c.metrics.revisionsSent.Add(1)
		c.metrics.revisionBytesSent.Add(uint64(len(encoded)))
		if cluster.SendReliable(address, encoded) != nil {
			return // the instance requests a lease again, and the revisions are sent again
		}
	}
}
