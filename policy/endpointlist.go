package policy

import (
	"cmp"
	"slices"
)

// resizeThreshold is the factor by which a listed weight must exceed the learned size of an endpoint to
// replace that size and move slots.
const resizeThreshold = 1.1

// UpdateEndpoints applies an endpoint list: it adds new endpoints and updates known ones. Unless the list
// contains changes only, it marks the known endpoints that are not in the list as removed.
func (b *Balancer) UpdateEndpoints(now Time, kind ListKind, members []Member) {
	if b.settings.PollList && kind != ListSaved {
		b.polling = listPolling{}
	}
	b.maintain(now)
	b.reports.receivedAt = now
	firstList := len(b.table.byID) == 0
	b.table.mark++
	if b.applyMembers(now, members) {
		b.table.rebalance()
	}
	if kind != ListChanges {
		b.markUnlisted()
	}
	b.updateReports(now)
	if firstList && len(b.table.byID) > 0 {
		b.capLocalShare()
	}
	b.drainQueue(now, noEndpoint)
}

// applyMembers applies the entries of a list in the order of their ids and reports whether the weight of a
// known endpoint changed. The caller rebalances once for the whole list, so that each slot moves only once.
func (b *Balancer) applyMembers(now Time, members []Member) (reweighted bool) {
	byID := func(x, y Member) int { return cmp.Compare(x.ID, y.ID) }
	for _, member := range slices.SortedFunc(slices.Values(members), byID) {
		if member.Weight <= 0 {
			member.Weight = 1
		}
		b.warmup.until = max(b.warmup.until, member.Started+b.settings.ColdTime)
		index, known := b.table.indexes[member.ID]
		switch {
		case known:
			changed := b.updateMember(now, &b.table.endpoints[index], member)
			reweighted = reweighted || changed
		case member.Status != Removed:
			b.addMember(now, member)
		}
	}
	return reweighted
}

// addMember adds a new endpoint to the table. Its cold budget starts at a random value: if it started at
// zero, hundreds of instances would send a cold endpoint nothing for a long time, then all at once.
func (b *Balancer) addMember(now Time, member Member) {
	b.table.add(endpoint{
		Member:          member,
		mark:            b.table.mark,
		limit:           initialEndpointLimit,
		coldBudget:      b.random.fraction(),
		budgetUpdatedAt: now,
		listedAt:        now,
	})
}

// updateMember applies an entry to a known endpoint and reports whether its weight changed.
func (b *Balancer) updateMember(now Time, e *endpoint, member Member) (reweighted bool) {
	e.mark = b.table.mark
	if !b.settings.FixedWeights {
		// Listed weights fall with load, so the largest weight seen is the endpoint's size. Only a clear
		// increase moves slots.
		e.reportedLoad = max(0, e.Weight/member.Weight-1)
		if member.Weight < e.Weight*resizeThreshold {
			member.Weight = e.Weight
		}
	}
	reweighted = e.Weight != member.Weight
	if member.Started > e.Started {
		e.restart(now, b.random.fraction())
	}
	e.Member = member
	return reweighted
}

// markUnlisted marks the endpoints that a full list does not contain as removed.
func (b *Balancer) markUnlisted() {
	for i := range b.table.endpoints {
		if e := &b.table.endpoints[i]; e.mark != b.table.mark {
			e.Status = Removed
		}
	}
}
