package policy

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"
)

func slotOwners(b *Balancer) []EndpointID {
	var ids []EndpointID
	for _, p := range b.table.owners {
		ids = append(ids, b.table.endpoints[p].ID)
	}
	return ids
}

func checkShares(t *testing.T, b *Balancer) {
	t.Helper()
	total := 0.0
	for _, s := range b.table.endpoints {
		if s.inTable {
			total += s.Weight
		}
	}
	for _, s := range b.table.endpoints {
		want := float64(len(b.table.owners)) * s.Weight / total
		if s.inTable && (float64(len(s.ranks)) < want-1 || float64(len(s.ranks)) > want+1) {
			t.Errorf("endpoint %d has %d slots, want about %.1f", s.ID, len(s.ranks), want)
		}
	}
}

func TestTableIsTheSameFromShuffledLists(t *testing.T) {
	same := func(seed int64, n uint8) bool {
		all := testMembers(1+int(n%40), "a")
		b, _ := newTestBalancer(all)
		checkShares(t, b)
		want := slotOwners(b)
		rand.New(rand.NewSource(seed)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		b, _ = newTestBalancer(all)
		return slices.Equal(want, slotOwners(b))
	}
	if err := quick.Check(same, &quick.Config{MaxCount: 40, Rand: rand.New(rand.NewSource(3))}); err != nil {
		t.Error(err)
	}
}

func TestOnlySurplusMoves(t *testing.T) {
	all := testMembers(9, "a")
	b, _ := newTestBalancer(all[:8])
	before := slotOwners(b)
	b.UpdateEndpoints(Second, ListChanges, all[8:])
	checkShares(t, b)
	joined := slotOwners(b)
	for i := range before {
		if joined[i] != before[i] && joined[i] != 9 {
			t.Fatalf("slot %d went from %d to %d when 9 joined", i, before[i], joined[i])
		}
	}
	gone := all[3]
	gone.Status = Removed
	b.UpdateEndpoints(Second, ListChanges, []Member{gone})
	if !slices.Equal(slotOwners(b), joined) {
		t.Fatal("an endpoint listed gone lost slots before the hold time")
	}
	b.Woken(Second + slotHoldTime)
	checkShares(t, b)
	for i, id := range slotOwners(b) {
		if id != joined[i] && joined[i] != 4 {
			t.Fatalf("slot %d went from %d to %d when 4 left", i, joined[i], id)
		}
	}
	b.UpdateEndpoints(Second+slotHoldTime, ListFull, nil)
	after := slotOwners(b)
	b.Woken(Second + 3*slotHoldTime)
	if !slices.Equal(slotOwners(b), after) {
		t.Error("an empty list changed the table")
	}
}

func TestRestartKeepsSlotsAndStartsWithoutBudget(t *testing.T) {
	all := testMembers(4, "a")
	b, q := newTestBalancer(all)
	before := slotOwners(b)
	all[0].Started = 2 * Second
	b.UpdateEndpoints(2*Second, ListChanges, all[:1])
	if !slices.Equal(before, slotOwners(b)) {
		t.Error("a restart moved slots")
	}
	for i := range 50 {
		b.Begin(2*Second, b.Admit(2*Second, 0, NoTenant, fmt.Sprint(i), false, Second))
	}
	if slices.Contains(q.sentTo, 1) {
		t.Error("an endpoint was attempted to in the moment of its start")
	}
}

func TestGrownFleetHasOneTable(t *testing.T) {
	all := testMembers(300, "a")
	b, _ := newTestBalancer(all[:60])
	b.UpdateEndpoints(2*Second, ListChanges, all[60:])
	if atOnce, _ := newTestBalancer(all); !slices.Equal(slotOwners(b), slotOwners(atOnce)) {
		t.Error("instances started before and after the growth lay different tables")
	}
}
