package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// slotCount is one size for every fleet, so that instances started at any fleet size agree.
	slotCount = 1 << 14
	// slotOrderSeed is fixed: every instance lays out the same table.
	slotOrderSeed uint64 = 0x70657070
)

// slotTable assigns hash slots to endpoints, weighted by their shares.
type slotTable struct {
	settings   *Settings
	endpoints  []endpoint
	indexes    map[EndpointID]endpointIndex
	owners     []endpointIndex // by slot
	order      []int32         // seeded order of the slots
	byID       []endpointIndex // endpoints in the table, in id order
	localCount int             // of these, in this instance's zone
	mark       uint32          // of the latest walk or list
}

func newSlotTable(settings *Settings) slotTable {
	return slotTable{settings: settings, indexes: map[EndpointID]endpointIndex{}}
}

// isLocal reports whether the endpoint is in this instance's zone.
func (t *slotTable) isLocal(e *endpoint) bool { return e.Zone == t.settings.Zone }

// add brings a new endpoint into the table, at a free place.
func (t *slotTable) add(e endpoint) {
	index := endpointIndex(slices.IndexFunc(t.endpoints, func(e endpoint) bool { return !e.inTable }))
	if index < 0 {
		index = endpointIndex(len(t.endpoints))
		t.endpoints = append(t.endpoints, endpoint{})
	}
	t.indexes[e.ID] = index
	t.endpoints[index] = e
	t.join(index)
}

// join gives an endpoint its share of the slots.
func (t *slotTable) join(index endpointIndex) {
	var unowned []int32
	if t.owners == nil {
		unowned = t.layOut()
	}
	t.endpoints[index].inTable = true
	at, _ := slices.BinarySearchFunc(t.byID, index, func(x, y endpointIndex) int {
		return cmp.Compare(t.endpoints[x].ID, t.endpoints[y].ID)
	})
	t.byID = slices.Insert(t.byID, at, index)
	t.assign(unowned, []endpointIndex{index})
}

// layOut makes an empty table and its seeded order, and returns the ranks of all slots.
func (t *slotTable) layOut() []int32 {
	t.owners = make([]endpointIndex, slotCount)
	t.order = make([]int32, slotCount)
	ranks := make([]int32, slotCount)
	for i := range t.owners {
		t.owners[i] = noEndpoint
		t.order[i] = int32(i)
		ranks[i] = int32(i)
	}
	random := newRandomSource(slotOrderSeed)
	for i := slotCount - 1; i > 0; i-- {
		j := int(uint64(random.next()) * uint64(i+1) >> 32)
		t.order[i], t.order[j] = t.order[j], t.order[i]
	}
	return ranks
}

// leave gives an endpoint's slots to the others.
func (t *slotTable) leave(index endpointIndex) {
	e := &t.endpoints[index]
	e.inTable = false
	t.byID = slices.DeleteFunc(t.byID, func(other endpointIndex) bool { return other == index })
	slices.SortFunc(e.ranks, func(x, y int32) int { return cmp.Compare(t.order[x], t.order[y]) })
	t.assign(e.ranks, t.byID)
	e.ranks = nil
}

// rebalance moves the slots that endpoints hold above their shares.
func (t *slotTable) rebalance() { t.assign(nil, t.byID) }

// assign gives the unowned slots, in the order given, or where there are none those above their owners'
// shares, in seeded order, to the receivers. Each goes to the one furthest below its share, ties by id.
func (t *slotTable) assign(unowned []int32, receivers []endpointIndex) {
	surplus := t.setTargets()
	if unowned == nil {
		slices.Sort(surplus)
		unowned = surplus
	}
	level := t.excess(slices.MinFunc(receivers, func(x, y endpointIndex) int {
		return cmp.Compare(t.excess(x), t.excess(y))
	}))
	for ; len(unowned) > 0 && level < 0; level++ {
		for _, receiver := range receivers {
			if len(unowned) > 0 && t.excess(receiver) == level {
				t.move(unowned[0], receiver)
				unowned = unowned[1:]
			}
		}
	}
	for _, receiver := range receivers {
		slices.Sort(t.endpoints[receiver].ranks)
	}
}

// setTargets sets how many slots each endpoint's share comes to, and returns the ranks of those held above
// that.
func (t *slotTable) setTargets() (surplus []int32) {
	total := 0.0
	for _, index := range t.byID {
		total += t.endpoints[index].Weight
	}
	sum := 0.0
	assigned := 0
	t.localCount = 0
	for _, index := range t.byID {
		e := &t.endpoints[index]
		sum += e.Weight
		e.target = int(math.Round(sum/total*slotCount)) - assigned
		assigned += e.target
		surplus = append(surplus, e.ranks[:max(0, len(e.ranks)-e.target)]...)
		if t.isLocal(e) {
			t.localCount++
		}
	}
	return surplus
}

// excess is the number of slots that an endpoint holds above its share.
func (t *slotTable) excess(index endpointIndex) int {
	e := &t.endpoints[index]
	return len(e.ranks) - e.target
}

// move gives the slot of the rank to the receiver.
func (t *slotTable) move(rank int32, receiver endpointIndex) {
	slot := t.order[rank]
	if owner := t.owners[slot]; owner >= 0 && t.endpoints[owner].inTable {
		// Surplus comes in seeded order, so the owner's first is the one.
		t.endpoints[owner].ranks = t.endpoints[owner].ranks[1:]
	}
	e := &t.endpoints[receiver]
	e.ranks = append(e.ranks, rank)
	t.owners[slot] = receiver
}

// remove takes an endpoint out of the table and frees its place.
func (t *slotTable) remove(index endpointIndex) {
	t.leave(index)
	delete(t.indexes, t.endpoints[index].ID)
}

// ownerIDs are the owners of all slots.
func (t *slotTable) ownerIDs() (ids []EndpointID) {
	for _, index := range t.owners {
		ids = append(ids, t.endpoints[index].ID)
	}
	return ids
}
