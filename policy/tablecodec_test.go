package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// All processes that assign slots for the same lists get the same table, and a change moves no more slots than the
// shares require. An instance that applies the lists and adopts each table keeps that table when it removes departed
// endpoints after slotHoldTime.
func TestAssignedTablesAreTheSameEverywhere(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 0))
	list := func() (members []Member) {
		for id := range 40 {
			if random.IntN(3) > 0 {
				members = append(members, Member{ID: EndpointID(1000 + id*id), Weight: float64(1 + id%3)})
			}
		}
		return members
	}
	var table []EndpointID
	var previous []Member
	instance := New(DiscardFront{}, &Settings{Instances: 3, FixedWeights: true, Classes: []Class{{Target: Second, Deadline: Second}}}, 9, 0)
	now := Time(0)
	for range 20 {
		current := list()
		if random.IntN(4) == 0 && previous != nil && previous[len(previous)-1].ID != 5 {
			current = append(slices.Clone(previous), Member{ID: 5, Weight: 2})
		}
		assigned := AssignSlots(table, previous, current)
		if again := AssignSlots(DecodeTable(EncodeTable(table, previous), previous), previous, slices.Clone(current)); !slices.Equal(assigned, again) {
			t.Fatal("the same lists gave two different tables")
		}
		total, slots := 0.0, map[EndpointID]float64{}
		for _, member := range current {
			total += member.Weight
		}
		for _, id := range assigned {
			slots[id]++
		}
		moved, needed := 0, 0.0
		slotsBefore := map[EndpointID]float64{}
		for i, id := range table {
			slotsBefore[id]++
			if assigned[i] != id {
				moved++
			}
		}
		for _, member := range current {
			if want := member.Weight / total * slotCount; slots[member.ID] < want-1 || slots[member.ID] > want+1 {
				t.Errorf("endpoint %d has %v slots, want %v", member.ID, slots[member.ID], want)
			}
			needed += max(0, slots[member.ID]-slotsBefore[member.ID])
		}
		// Endpoints join before others leave, so a slot may move twice in one change.
		if table != nil && float64(moved) > 1.5*needed+float64(len(current)) {
			t.Errorf("%d slots moved, but only %v had to move", moved, needed)
		}
		instance.UpdateEndpoints(now, ListFull, current)
		if !instance.AdoptTable(assigned) {
			t.Fatal("the table of the current list was not adopted")
		}
		for range 200 { // 50 s, which is longer than slotHoldTime
			now += Second / 4
			instance.UpdateEndpoints(now, ListFull, current)
			instance.Woken(now)
		}
		if !slices.Equal(instance.table.ownerIDs(), assigned) {
			t.Error("the adopted table changed")
		}
		if instance.AdoptTable(append([]EndpointID{1}, assigned[1:]...)) || !slices.Equal(instance.table.ownerIDs(), assigned) {
			t.Error("a table with an unlisted endpoint was adopted")
		}
		table, previous = assigned, current
	}
	if AssignSlots(table, previous, nil) != nil || AssignSlots(nil, nil, nil) != nil {
		t.Error("slots were assigned although the list has no endpoint")
	}
}
