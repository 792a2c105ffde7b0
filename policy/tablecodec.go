package policy

import (
	"cmp"
	"slices"
)

// AssignSlots returns the owner of each slot after one list has followed another, by joins, leaves and moves
// of surplus slots alone: all who assign the same lists in the same order have the same table. The table and
// the previous list are nil at the first list. It returns nil where no endpoint is left.
func AssignSlots(table []EndpointID, previous, current []Member) []EndpointID {
	settings := &Settings{Instances: 1, FixedWeights: true}
	b := New(DiscardFront{}, settings, 0, 0)
	if len(table) == slotCount {
		b.UpdateEndpoints(0, ListFull, listedMembers(previous))
		if !b.AdoptTable(table) {
			// The table of another list: assigned as the first.
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
	// Leaves assign only unowned slots; this keeps surplus from a later change.
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

// AdoptTable takes over the owners of all slots. It changes nothing and returns false where one of them is
// not in the list.
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
		// Not nil: when the endpoint leaves, nothing is to be assigned for it.
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

// EncodeTable writes each slot's owner as its index among the sorted ids of the list, in two bytes. It
// returns nil where an owner is not in the list.
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

// DecodeTable reads what EncodeTable wrote for the same list. It returns nil where it is not a table of that
// list.
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
