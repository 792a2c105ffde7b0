package policy

import (
	"cmp"
	"slices"
)

// AssignSlots returns the owner of each slot for the list current. table holds the owners for previous, the
// list before current. Slots change owners only because endpoints join, leave, or hold more than their
// shares, so all processes that apply the same lists in the same order get the same table. For the first
// list, table and previous are nil. AssignSlots returns nil if no endpoint is left.
func AssignSlots(table []EndpointID, previous, current []Member) []EndpointID {
	settings := &Settings{Instances: 1, FixedWeights: true}
	b := New(DiscardFront{}, settings, 0, 0)
	if len(table) == slotCount {
		b.UpdateEndpoints(0, ListFull, listedMembers(previous))
		if !b.AdoptTable(table) {
			// The table belongs to another list: assign all slots as for a first list.
			b = New(DiscardFront{}, settings, 0, 0)
		}
	}
	b.UpdateEndpoints(0, ListFull, listedMembers(current))
	departed := slices.DeleteFunc(slices.Clone(b.table.byID), func(index endpointIndex) bool {
		return b.table.endpoints[index].Status != Removed
	})
	if len(departed) == len(b.table.byID) {
		return nil
	}
	for _, index := range departed {
		b.table.leave(index)
	}
	// leave assigns only the slots of the endpoint that leaves. Moving surplus slots now keeps them from
	// moving at a later change.
	b.table.rebalance()
	return b.table.ownerIDs()
}

func listedMembers(members []Member) (present []Member) {
	for _, member := range members {
		if member.Status != Removed {
			present = append(present, member)
		}
	}
	return present
}

// AdoptTable sets the owners of all slots. It changes nothing and returns false if one of the owners is not
// in the slot table or their number is not that of the slots.
func (b *Balancer) AdoptTable(owners []EndpointID) (adopted bool) { return b.table.adopt(owners) }

func (t *slotTable) adopt(owners []EndpointID) (adopted bool) {
	unknown := func(id EndpointID) bool {
		index, known := t.indexes[id]
		return !known || !t.endpoints[index].inTable
	}
	if len(owners) != len(t.owners) || slices.ContainsFunc(owners, unknown) {
		return false
	}
	for _, index := range t.byID {
		// The ranks must not be nil: if the endpoint left without slots, leave would pass nil to assign, which
		// would then move surplus slots instead.
		t.endpoints[index].ranks = []int32{}
	}
	for rank, slot := range t.order {
		index := t.indexes[owners[slot]]
		t.owners[slot] = index
		t.endpoints[index].ranks = append(t.endpoints[index].ranks, int32(rank))
	}
	return true
}

// maxEncodedIndex is the largest index that fits into the two bytes of an encoded slot.
const maxEncodedIndex = 1<<16 - 1

// EncodeTable encodes each slot's owner as its index among the sorted ids of the list, in two bytes, high
// byte first. It returns nil if an owner is not in the list or its index does not fit.
func EncodeTable(table []EndpointID, list []Member) (encoded []byte) {
	ids := sortedIDs(list)
	for _, id := range table {
		index, known := slices.BinarySearch(ids, id)
		if !known || index > maxEncodedIndex {
			return nil
		}
		encoded = append(encoded, byte(index>>8), byte(index))
	}
	return encoded
}

// DecodeTable decodes a table encoded by EncodeTable with the same list. It returns nil if encoded has the
// wrong length or an index that is not in the list.
func DecodeTable(encoded []byte, list []Member) (table []EndpointID) {
	ids := sortedIDs(list)
	if len(encoded) != 2*slotCount {
		return nil
	}
	for i := 0; i < len(encoded); i += 2 {
		index := int(encoded[i])<<8 | int(encoded[i+1])
		if index >= len(ids) {
			return nil
		}
		table = append(table, ids[index])
	}
	return table
}

func sortedIDs(list []Member) (ids []EndpointID) {
	for _, member := range list {
		ids = append(ids, member.ID)
	}
	slices.SortFunc(ids, cmp.Compare[EndpointID])
	return ids
}
