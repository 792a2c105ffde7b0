package policy

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"
)

// slotOwners returns the owner of each slot.
func slotOwners(b *Balancer) []EndpointID {
	var ids []EndpointID
	for _, index := range b.table.owners {
		ids = append(ids, b.table.endpoints[index].ID)
	}
	return ids
}

// checkShares checks that each endpoint has the number of slots that its weight entitles it to, give or take one.
func checkShares(t *testing.T, b *Balancer) {
	t.Helper()
	total := 0.0
	for _, e := range b.table.endpoints {
		if e.inTable {
			total += e.Weight
		}
	}
	for _, e := range b.table.endpoints {
		want := float64(len(b.table.owners)) * e.Weight / total
		if e.inTable && (float64(len(e.ranks)) < want-1 || float64(len(e.ranks)) > want+1) {
			t.Errorf("endpoint %d has %d slots, want about %.1f", e.ID, len(e.ranks), want)
		}
	}
}

// If the order of the list mattered, instances would send the same key to different endpoints.
func TestTableDoesNotDependOnTheOrderOfTheList(t *testing.T) {
	same := func(seed int64, n uint8) bool {
		members := testMembers(1+int(n%40), "a")
		b, _ := newTestBalancer(members)
		checkShares(t, b)
		want := slotOwners(b)
		rand.New(rand.NewSource(seed)).Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		b, _ = newTestBalancer(members)
		return slices.Equal(want, slotOwners(b))
	}
	if err := quick.Check(same, &quick.Config{MaxCount: 40, Rand: rand.New(rand.NewSource(3))}); err != nil {
		t.Error(err)
	}
}

// Each slot that moves sends its keys to an endpoint that does not have them cached, so a change of the fleet must move
// no more slots than the shares require, and a faulty list none at all.
func TestOnlySurplusSlotsMove(t *testing.T) {
	members := testMembers(9, "a")
	b, _ := newTestBalancer(members[:8])
	before := slotOwners(b)
	b.UpdateEndpoints(Second, ListChanges, members[8:])
	checkShares(t, b)
	joined := slotOwners(b)
	for i := range before {
		if joined[i] != before[i] && joined[i] != 9 {
			t.Fatalf("slot %d moved from endpoint %d to %d when endpoint 9 joined", i, before[i], joined[i])
		}
	}
	removed := members[3]
	removed.Status = Removed
	b.UpdateEndpoints(Second, ListChanges, []Member{removed})
	if !slices.Equal(slotOwners(b), joined) {
		t.Fatal("an endpoint listed as removed lost slots before the hold time")
	}
	b.Woken(Second + slotHoldTime)
	checkShares(t, b)
	for i, id := range slotOwners(b) {
		if id != joined[i] && joined[i] != 4 {
			t.Fatalf("slot %d moved from endpoint %d to %d when endpoint 4 left", i, joined[i], id)
		}
	}
	b.UpdateEndpoints(Second+slotHoldTime, ListFull, nil)
	after := slotOwners(b)
	b.Woken(Second + 3*slotHoldTime)
	if !slices.Equal(slotOwners(b), after) {
		t.Error("an empty list changed the table")
	}
}

// An endpoint that restarts keeps its slots, but it must not be sent its full share of the attempts while it is cold.
func TestRestartKeepsSlotsAndLimitsAttempts(t *testing.T) {
	members := testMembers(4, "a")
	b, front := newTestBalancer(members)
	before := slotOwners(b)
	members[0].Started = 2 * Second
	b.UpdateEndpoints(2*Second, ListChanges, members[:1])
	if !slices.Equal(before, slotOwners(b)) {
		t.Error("a restart moved slots")
	}
	for i := range 50 {
		b.Begin(2*Second, b.Admit(2*Second, 0, NoTenant, fmt.Sprint(i), false, Second))
	}
	if slices.Contains(front.sentTo, 1) {
		t.Error("an endpoint was sent an attempt at the moment of its start")
	}
}

// Instances that started before and after the fleet has grown must have the same table.
func TestTableDoesNotDependOnFleetGrowth(t *testing.T) {
	members := testMembers(300, "a")
	b, _ := newTestBalancer(members[:60])
	b.UpdateEndpoints(2*Second, ListChanges, members[60:])
	if atOnce, _ := newTestBalancer(members); !slices.Equal(slotOwners(b), slotOwners(atOnce)) {
		t.Error("instances that started before and after the growth have different tables")
	}
}
