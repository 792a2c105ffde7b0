package policy

import (
	"cmp"
	"slices"
)

// nobody is a front for an instance that carries no requests.
type nobody struct{}

func (nobody) Attempt(Handle, EndpointID, Time) {}
func (nobody) Cancel(Handle, AttemptNo)         {}
func (nobody) Succeed(Handle, AttemptNo)        {}
func (nobody) Reject(Handle, Time)              {}
func (nobody) Fail(Handle)                      {}
func (nobody) Wake(Time)                        {}
func (nobody) FollowList(bool)                  {}
func (nobody) Release(EndpointID)               {}
func (nobody) Forget(EndpointID)                {}
func (nobody) Log(string)                       {}

// AssignSlots gives the owner of each slot after a list has followed on another, by the module's own joins, leaves and moves of surplus slots alone: who
// assigns the same lists in the same order has the same table, whenever it began. table and was are what stood before, nil at the first list. Nil
// where there is no endpoint.
func AssignSlots(table []EndpointID, was, now []Member) []EndpointID {
	b := New(nobody{}, &Settings{Instances: 1, FixedWeights: true}, 0, 0)
	listed := func(all []Member) (kept []Member) {
		for _, m := range all {
			if m.Status != Gone {
				kept = append(kept, m)
			}
		}
		return kept
	}
	if len(table) == slots {
		b.UpdateEndpoints(0, ListFull, listed(was))
		if !b.AdoptTable(table) {
			b = New(nobody{}, b.settings, 0, 0) // the table of another list: assigned as the first
		}
	}
	b.UpdateEndpoints(0, ListFull, listed(now))
	gone := slices.DeleteFunc(slices.Clone(b.byID), func(p int32) bool { return b.endpoints[p].Status != Gone })
	if len(gone) == len(b.byID) {
		return nil
	}
	for _, p := range gone {
		b.leave(p)
	}
	b.assign(nil, b.byID) // leaves assign only what has come loose; so that no later one finds a surplus
	return b.owners()
}

func (b *Balancer) owners() (all []EndpointID) {
	for _, p := range b.table {
		all = append(all, b.endpoints[p].ID)
	}
	return all
}

// AdoptTable takes over who has which slot. False, and nothing is changed, where an endpoint in it is not in the list.
func (b *Balancer) AdoptTable(table []EndpointID) bool {
	if len(table) != len(b.table) || slices.ContainsFunc(table, func(id EndpointID) bool {
		p, known := b.places[id]
		return !known || !b.endpoints[p].inTable
	}) {
		return false
	}
	for _, p := range b.byID {
		b.endpoints[p].ranks = []int32{} // not nil: when it leaves, nothing is to be assigned for it
	}
	for rank, slot := range b.order {
		p := b.places[table[slot]]
		b.table[slot] = p
		b.endpoints[p].ranks = append(b.endpoints[p].ranks, int32(rank))
	}
	return true
}

// EncodeTable writes a table as the places of the owners among the endpoints of its list, two bytes a slot. Nil: one of them is not in it.
func EncodeTable(table []EndpointID, list []Member) (b []byte) {
	ids := sortedIDs(list)
	for _, id := range table {
		i, known := slices.BinarySearch(ids, id)
		if !known || i > 1<<16-1 {
			return nil
		}
		b = append(b, byte(i>>8), byte(i))
	}
	return b
}

// DecodeTable reads it. Nil: it is not one of that list.
func DecodeTable(b []byte, list []Member) (table []EndpointID) {
	ids := sortedIDs(list)
	if len(b) != 2*slots {
		return nil
	}
	for i := 0; i < len(b); i += 2 {
		at := int(b[i])<<8 | int(b[i+1])
		if at >= len(ids) {
			return nil
		}
		table = append(table, ids[at])
	}
	return table
}

func sortedIDs(list []Member) (ids []EndpointID) {
	for _, m := range list {
		ids = append(ids, m.ID)
	}
	slices.SortFunc(ids, cmp.Compare[EndpointID])
	return ids
}
