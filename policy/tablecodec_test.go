package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// All that assign the same lists have the same table; a change moves no more slots than the shares ask for; and one
// that lives through the lists and adopts each table stays with it while endpoints that went away leave it after
// their time.
func TestAssignedTablesAreTheSameForAll(t *testing.T) {
	chance := rand.New(rand.NewPCG(7, 0))
	list := func() (all []Member) {
		for id := range 40 {
			if chance.IntN(3) > 0 {
				all = append(all, Member{ID: EndpointID(1000 + id*id), Weight: float64(1 + id%3)})
			}
		}
		return all
	}
	var table []EndpointID
	var was []Member
	live := New(DiscardFront{}, &Settings{Instances: 3, FixedWeights: true, Classes: []Class{{Target: Second, Deadline: Second}}}, 9, 0)
	now := Time(0)
	for range 20 {
		next := list()
		if chance.IntN(4) == 0 && was != nil && was[len(was)-1].ID != 5 {
			next = append(slices.Clone(was), Member{ID: 5, Weight: 2})
		}
		assigned := AssignSlots(table, was, next)
		if again := AssignSlots(DecodeTable(EncodeTable(table, was), was), was, slices.Clone(next)); !slices.Equal(assigned, again) {
			t.Fatal("two assigned the same lists and have two tables")
		}
		total, share := 0.0, map[EndpointID]float64{}
		for _, m := range next {
			total += m.Weight
		}
		for _, id := range assigned {
			share[id]++
		}
		moved, needed := 0, 0.0
		before := map[EndpointID]float64{}
		for i, id := range table {
			before[id]++
			if assigned[i] != id {
				moved++
			}
		}
		for _, m := range next {
			if want := m.Weight / total * slotCount; share[m.ID] < want-1 || share[m.ID] > want+1 {
				t.Errorf("endpoint %d has %v slots, wants %v", m.ID, share[m.ID], want)
			}
			needed += max(0, share[m.ID]-before[m.ID])
		}
		// A join assigns before the leaves do, so a slot may move twice in one change.
		if table != nil && float64(moved) > 1.5*needed+float64(len(next)) {
			t.Errorf("%d slots moved, %v had to", moved, needed)
		}
		live.UpdateEndpoints(now, ListFull, next)
		if !live.AdoptTable(assigned) {
			t.Fatal("the table of its own list is not taken")
		}
		for range 200 { // past slotHoldTime
			now += Second / 4
			live.UpdateEndpoints(now, ListFull, next)
			live.Woken(now)
		}
		if !slices.Equal(live.table.ownerIDs(), assigned) {
			t.Error("it has left the table that it took")
		}
		if live.AdoptTable(append([]EndpointID{1}, assigned[1:]...)) || !slices.Equal(live.table.ownerIDs(), assigned) {
			t.Error("a table with a stranger in it is taken")
		}
		table, was = assigned, next
	}
	if AssignSlots(table, was, nil) != nil || AssignSlots(nil, nil, nil) != nil {
		t.Error("slots are assigned without an endpoint")
	}
}
