package ruleset

import (
	"slices"

	"pepperlead/policy"
)

// LeaseIssuer is the leader's side of the lease protocol, for one term.
//
// A change has two phases. Once revision n+1 is committed, leases name n and n+1, and their holders act by what both
// allow. Leases of n+1 alone are issued only when no lease of n alone can be valid any more, judged by the issuer's
// clock and the permitted clock drift. So no instance acts by n alone while another acts by n+1 alone.
type LeaseIssuer struct {
	term             Term
	leaseDuration    policy.Time
	clockDrift       float64        // how much faster or slower any two clocks may run, as a fraction
	active           RevisionNumber // equal to next while no change is in progress
	next             RevisionNumber
	activeOnlyExpiry policy.Time // when the last lease of the active revision alone has expired, on the issuer's clock
	confirmedAt      policy.Time // start of the last quorum round that confirmed the term
}

// NewLeaseIssuer begins a term at now. What earlier terms issued is unknown, so a change can't complete before all
// their leases have expired. active and next are the numbers of the revision log.
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

// maxLeaseLifetime is how long a lease can be valid after it was issued, on the issuer's clock: the holder's clock may
// run slower.
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

// ChangeReady reports whether the change in progress can be completed. The coordinators then commit that, and
// CompleteChange follows.
func (i *LeaseIssuer) ChangeReady(now policy.Time) bool {
	return i.active != i.next && now >= i.activeOnlyExpiry
}

// CompleteChange ends the change in progress with the next revision in force.
func (i *LeaseIssuer) CompleteChange() { i.active = i.next }

// WithdrawChange ends the change in progress with the active revision in force. Holders of a lease on both act by the
// stricter combination until it expires. The withdrawn number is never used again.
func (i *LeaseIssuer) WithdrawChange() { i.next = i.active }

// ConfirmTerm records that a quorum round begun at that time found this term to be the latest.
func (i *LeaseIssuer) ConfirmTerm(begun policy.Time) { i.confirmedAt = max(i.confirmedAt, begun) }

// Issue answers a lease request that was received at that time. It issues none unless a quorum round begun since has
// confirmed the term: a partitioned leader would otherwise keep issuing what a later leader has changed. It issues none
// to an instance that lacks a revision in force either.
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
