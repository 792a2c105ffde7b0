package ruleset

import (
	"slices"

	"pepperlead/policy"
)

// LeaseIssuer is the leader's side of the lease protocol, for one term.
//
// A change has two phases. Once revision n+1 is committed, leases name n and n+1, and their holders do only what both
// allow. Leases of n+1 alone are issued only when no lease of n alone can be valid any more, judged by the issuer's
// clock and the permitted clock drift. So no instance follows n alone while another follows n+1 alone.
type LeaseIssuer struct {
	term             Term
	leaseDuration    policy.Time
	clockDrift       float64        // maximum difference between the rates of two clocks, as a fraction
	active           RevisionNumber // equal to next while no change is in progress
	next             RevisionNumber
	activeOnlyExpiry policy.Time // when the last lease of the active revision alone has expired, on the issuer's clock
	confirmedAt      policy.Time // start of the last quorum round that confirmed the term; -1: none
}

// NewLeaseIssuer returns the issuer of a term that begins at now. It doesn't know which leases earlier terms issued, so
// no change completes before all of these have expired. active and next are those of the revision log.
func NewLeaseIssuer(term Term, leaseDuration policy.Time, clockDrift float64, active, next RevisionNumber,
	now policy.Time,
) *LeaseIssuer {
	i := &LeaseIssuer{
		term:          term,
		leaseDuration: leaseDuration,
		clockDrift:    clockDrift,
		active:        active,
		next:          next,
		confirmedAt:   -1,
	}
	i.activeOnlyExpiry = now + i.maxLeaseLifetime()
	return i
}

// maxLeaseLifetime returns how long a lease can be valid after it was issued, on the issuer's clock. That is longer
// than the lease duration, because the holder's clock may run slower.
func (i *LeaseIssuer) maxLeaseLifetime() policy.Time {
	return policy.Time(float64(i.leaseDuration)*(1+i.clockDrift)) + 1
}

// Term returns the issuer's term.
func (i *LeaseIssuer) Term() Term { return i.term }

// BeginChange begins a change to a later revision. It reports false while another change is in progress.
func (i *LeaseIssuer) BeginChange(number RevisionNumber, now policy.Time) bool {
	if i.active != i.next || number <= i.next {
		return false
	}
	i.next = number
	i.activeOnlyExpiry = max(i.activeOnlyExpiry, now+i.maxLeaseLifetime())
	return true
}

// ChangeReady reports whether the change in progress can be completed. The coordinators then commit its completion, and
// CompleteChange is called once that is committed.
func (i *LeaseIssuer) ChangeReady(now policy.Time) bool {
	return i.active != i.next && now >= i.activeOnlyExpiry
}

// CompleteChange completes the change in progress: only the next revision is in force from now on.
func (i *LeaseIssuer) CompleteChange() { i.active = i.next }

// WithdrawChange cancels the change in progress: the active revision stays in force. Holders of a lease on both
// revisions follow the stricter combination until the lease expires. The withdrawn number is never used again.
func (i *LeaseIssuer) WithdrawChange() { i.next = i.active }

// ConfirmTerm records that a quorum round, begun at roundStart, confirmed this term to be the latest.
func (i *LeaseIssuer) ConfirmTerm(roundStart policy.Time) {
	i.confirmedAt = max(i.confirmedAt, roundStart)
}

// Issue returns a lease for a request that was received at the given time and lists the revisions that the instance
// knows. It issues none unless a quorum round begun since then has confirmed the term: a partitioned leader would
// otherwise go on issuing leases on revisions that a later leader has replaced. It also issues none to an instance that
// lacks a revision in force.
func (i *LeaseIssuer) Issue(requestID uint64, known []RevisionNumber, received policy.Time) (Lease, bool) {
	if i.confirmedAt < received {
		return Lease{}, false
	}
	revisions := []RevisionNumber{i.active}
	if i.next != i.active {
		revisions = append(revisions, i.next)
	}
	for _, number := range revisions {
		if !slices.Contains(known, number) {
			return Lease{}, false
		}
	}
	return Lease{Term: i.term, RequestID: requestID, Revisions: revisions, Duration: i.leaseDuration}, true
}
