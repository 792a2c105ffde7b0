package engine

import (
	"slices"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/discovery"
	"pepperlead/policy"
)

// At most one process listens at an address. If a list names two endpoints with the same address, the process of one of
// them has gone, although the list doesn't say so yet.

// addressHolders tells which listed endpoint has an address, by address.
type addressHolders map[string]policy.EndpointID

// retain removes the endpoints that are not among the entries of a full list.
func (h addressHolders) retain(entries []timedEntry) {
	listed := make(map[policy.EndpointID]struct{}, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = struct{}{}
	}
	for address, id := range h {
		if _, found := listed[id]; !found {
			delete(h, address)
		}
	}
}

// release removes the addresses of an endpoint that is no longer at the address of its latest entry.
func (h addressHolders) release(endpoint *Endpoint) {
	if h[endpoint.Addr] == endpoint.ID {
		delete(h, endpoint.Addr)
	}
}

// claimAddress gives an entry's address to its endpoint, or removes the entry if another endpoint came up there later.
// It returns the entry, and the endpoint that has lost the address to it, nil if there is none.
func (l *endpointList) claimAddress(entry discovery.Entry) (claimed discovery.Entry, loser *Endpoint) {
	e := l.engine
	known := e.Endpoints[entry.ID]
	if known != nil && known.UID != entry.UID {
		return entry, nil // it will be skipped
	}
	if known != nil && (entry.Status == policy.Removed || entry.Addr != "" && entry.Addr != known.Addr) {
		l.holders.release(known)
	}
	if entry.Status == policy.Removed || entry.Addr == "" {
		return entry, nil
	}
	holder := e.Endpoints[l.holders[entry.Addr]]
	if holder == nil || holder.ID == entry.ID {
		l.holders[entry.Addr] = entry.ID
		return entry, nil
	}
	started := holder.Entry.Started
	lostBefore := known != nil && known.Entry.Addr == entry.Addr && known.Entry.Started == entry.Started
	if entry.Started < started || entry.Started == started && lostBefore {
		entry.Status = policy.Removed
		entry.ReplacedBy = holder.ID
		return entry, nil
	}
	l.holders[entry.Addr] = entry.ID
	return entry, holder
}

// replace removes an endpoint whose address another endpoint has taken, and adds it to the members that are passed to
// the module.
func (l *endpointList) replace(loser *Endpoint, by policy.EndpointID, members []policy.Member) []policy.Member {
	entry := l.effectiveEntry(loser.Entry)
	entry.Status = policy.Removed
	entry.ReplacedBy = by
	l.engine.updateEndpoint(entry)
	l.engine.Logger.WithFields(logrus.Fields{"endpoint": loser.UID, "address": loser.Addr}).
		Info("endpoint replaced by another one at its address")
	sameID := func(m policy.Member) bool { return m.ID == loser.ID }
	return append(slices.DeleteFunc(members, sameID), entry.Member)
}
