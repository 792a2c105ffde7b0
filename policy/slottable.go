package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	// slotCount is the number of slots. It is the same for every fleet size, so that instances agree whatever
	// size the fleet had when they started.
	slotCount = 1 << 14
	// slotOrderSeed is the seed of the slots' order. It is fixed, so that every instance has the same table.
	slotOrderSeed uint64 = 0x70657070
)

// slotTable assigns hash slots to endpoints. The share of each endpoint is in proportion to its weight.
type slotTable struct {
	settings   *Settings
	endpoints  []endpoint                   // entries that are not in the table are free for reuse
	indexes    map[EndpointID]endpointIndex // index in endpoints, by id
	owners     []endpointIndex              // by slot
	order      []int32                      // the slots in seeded order; a slot's rank is its index here
	byID       []endpointIndex              // endpoints in the table, in the order of their ids
	localCount int                          // endpoints of byID in this instance's zone
	mark       uint32                       // number of the latest walk or list; see endpoint.mark
}

func newSlotTable(settings *Settings) slotTable {
	return slotTable{settings: settings, indexes: map[EndpointID]endpointIndex{}}
}

// isLocal reports whether the endpoint is in this instance's zone.
func (t *slotTable) isLocal(e *endpoint) bool { return e.Zone == t.settings.Zone }

// add adds a new endpoint to the table, in a free entry if there is one.
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

// join puts an endpoint into the table and gives it its share of the slots.
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

// layOut creates the slots, without owners, and their seeded order. It returns the ranks of all slots.
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

// leave takes an endpoint out of the table and gives its slots to the others.
func (t *slotTable) leave(index endpointIndex) {
	e := &t.endpoints[index]
	e.inTable = false
	t.byID = slices.DeleteFunc(t.byID, func(other endpointIndex) bool { return other == index })
	slices.SortFunc(e.ranks, func(x, y int32) int { return cmp.Compare(t.order[x], t.order[y]) })
	t.assign(e.ranks, t.byID)
	e.ranks = nil
}

// rebalance moves the slots that endpoints hold above their shares to others.
func (t *slotTable) rebalance() { t.assign(nil, t.byID) }

// assign gives slots to the receivers: the unowned slots, in the order given, or if unowned is nil, the slots
// that endpoints hold above their shares, in seeded order. Each slot goes to the receiver furthest below its
// share, and in a tie to the one with the lowest id. Slots are given by their ranks.
func (t *slotTable) assign(unowned []int32, receivers []endpointIndex) {
	surplus := t.setTargets()
	if unowned == nil {
		slices.Sort(surplus)
		unowned = surplus
	}
	level := t.excess(slices.MinFunc(receivers, func(x, y endpointIndex) int {
		return cmp.Compare(t.excess(x), t.excess(y))
	}))
	// Each round gives one slot to every receiver that is furthest below its share.
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

// setTargets sets the number of slots that each endpoint's weight entitles it to, and returns the ranks of
// the slots that endpoints hold above that number. It also counts the local endpoints.
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
		e.targetSlots = int(math.Round(sum/total*slotCount)) - assigned
		assigned += e.targetSlots
		surplus = append(surplus, e.ranks[:max(0, len(e.ranks)-e.targetSlots)]...)
		if t.isLocal(e) {
			t.localCount++
		}
	}
	return surplus
}

// excess returns the number of slots that an endpoint holds above its share; it is negative below the share.
func (t *slotTable) excess(index endpointIndex) int {
	e := &t.endpoints[index]
	return len(e.ranks) - e.targetSlots
}

// move gives the slot with the given rank to the receiver.
func (t *slotTable) move(rank int32, receiver endpointIndex) {
	slot := t.order[rank]
	if owner := t.owners[slot]; owner >= 0 && t.endpoints[owner].inTable {
		// Surplus slots are moved in seeded order, so this one is the first of its owner's ranks.
		t.endpoints[owner].ranks = t.endpoints[owner].ranks[1:]
	}
	e := &t.endpoints[receiver]
	e.ranks = append(e.ranks, rank)
	t.owners[slot] = receiver
}

// remove takes an endpoint out of the table and frees its entry.
func (t *slotTable) remove(index endpointIndex) {
	t.leave(index)
	delete(t.indexes, t.endpoints[index].ID)
}

// ownerIDs returns the owner of each slot.
func (t *slotTable) ownerIDs() (ids []EndpointID) {
	for _, index := range t.owners {
		ids = append(ids, t.endpoints[index].ID)
	}
	return ids
}
