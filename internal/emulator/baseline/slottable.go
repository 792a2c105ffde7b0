package baseline

import (
	"math/rand/v2"
	"slices"

	"pepperlead/policy"
)

// slotCount is the number of slots that the table policy uses.
const slotCount = 1 << 14

// minWeight replaces a weight of zero.
const minWeight = 1e-9

// SlotTable is a plain slot table that does not adapt to load. Slots are assigned only when an endpoint joins: it goes
// through all slots in a fixed random order and takes those that are free or whose owners have more than their new
// share, until it has its own share.
type SlotTable struct {
	table  []policy.EndpointID // owner of each slot
	order  []int               // order in which slots are taken
	ids    []policy.EndpointID // sorted
	weight map[policy.EndpointID]float64
	owned  map[policy.EndpointID]int // number of slots
}

// NewSlotTable returns an empty table.
func NewSlotTable(size int) *SlotTable {
	return &SlotTable{
		table:  make([]policy.EndpointID, size),
		order:  rand.New(rand.NewPCG(1, 2)).Perm(size),
		weight: map[policy.EndpointID]float64{},
		owned:  map[policy.EndpointID]int{},
	}
}

// Join adds an endpoint. It does nothing if the endpoint has joined before.
func (s *SlotTable) Join(id policy.EndpointID, weight float64) {
	if _, joined := s.weight[id]; joined {
		return
	}
	s.weight[id] = max(weight, minWeight)
	s.ids = append(s.ids, id)
	slices.Sort(s.ids)
	shares := s.shares()
	for _, slot := range s.order {
		owner := s.table[slot]
		if s.owned[id] < shares[id] && (owner == noEndpoint || s.owned[owner] > shares[owner]) {
			if owner != noEndpoint {
				s.owned[owner]--
			}
			s.table[slot] = id
			s.owned[id]++
		}
	}
}

// shares returns how many slots each endpoint should own by its weight, rounded so that they add up to all slots.
func (s *SlotTable) shares() map[policy.EndpointID]int {
	total := 0.0
	for _, weight := range s.weight {
		total += weight
	}
	shares := map[policy.EndpointID]int{}
	sum := 0.0
	assigned := 0
	for _, id := range s.ids {
		sum += s.weight[id]
		upTo := int(sum/total*float64(len(s.table)) + 0.5)
		shares[id] = upTo - assigned
		assigned = upTo
	}
	return shares
}

// Lookup returns the first allowed owner of a slot, from the hash's slot on, or noEndpoint if no owner is allowed.
func (s *SlotTable) Lookup(hash uint64, allowed func(policy.EndpointID) bool) policy.EndpointID {
	seen := map[policy.EndpointID]bool{}
	for i := range s.table {
		id := s.table[(hash+uint64(i))%uint64(len(s.table))]
		if id == noEndpoint || seen[id] {
			continue
		}
		if allowed(id) {
			return id
		}
		seen[id] = true
		if len(seen) == len(s.ids) {
			break
		}
	}
	return noEndpoint
}
