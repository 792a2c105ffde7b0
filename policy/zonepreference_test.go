package policy

import (
	"math"
	"testing"
)

// Near endpoints were flooded by their own zone's instances while far ones idled.
func TestLoadedLocalEndpointsLoseKeys(t *testing.T) {
	q := &recordingFront{}
	c := testSettings()
	c.CrossZonePrice = 0.1
	b := New(q, c, 7, Second)
	b.UpdateEndpoints(Second, ListFull, testMembers(6, "a", "b"))
	near := sendRequest(b, q, 2*Second, "k", Succeeded, Millisecond)
	if b.table.endpoints[b.table.indexes[near]].Zone != "a" {
		t.Error("an unloaded near side was passed over")
	}
	for i := range b.table.endpoints {
		if b.table.endpoints[i].Zone == "a" {
			b.zones.lateness[1] = 0.9
		}
	}
	for i := range 40 {
		b.Woken(3*Second + Time(i)*maintenanceInterval)
	}
	if b.zones.localShare > 0 {
		t.Errorf("%.2f of the keys still look near first", b.zones.localShare)
	}
}

// Before anything is learned no more keys look near first than the near endpoints' part of all: all traffic may come
// to their zone.
func TestLocalShareStartsAtTheLocalEndpointsPart(t *testing.T) {
	for _, zones := range []int{2, 5} {
		c := testSettings()
		c.CrossZonePrice, c.Zones = 0.2, zones
		b := New(&recordingFront{}, c, 7, Second)
		b.UpdateEndpoints(Second, ListFull, testMembers(10, "a", "b", "b", "b", "b"))
		if b.zones.localShare < 0.19 || b.zones.localShare > 0.21 {
			t.Errorf("near part %.2f with a fifth of the endpoints in one of %d zones", b.zones.localShare, zones)
		}
	}
}

// Where a part of the keys looks near first, the same part of the requests without a key does.
func TestLocalShareHoldsForRequestsWithoutKey(t *testing.T) {
	b, w := newTestBalancer(testMembers(100, "a", "b"))
	b.zones.localShare = 0.5
	near := 0
	for range 1000 {
		h := w.admit(b, 2*Second, "", false, 2*Second)
		id := w.sentTo[len(w.sentTo)-1]
		b.AttemptEnded(2*Second, h, 0, id, Cancelled, 0, true)
		if b.table.endpoints[b.table.indexes[id]].Zone == b.settings.Zone {
			near++
		}
	}
	// Half of them near, and of the others, half as they fall.
	if near < 680 || near > 820 {
		t.Errorf("%d of 1000 near", near)
	}
}

// While the near endpoints answer as if idle, the near part rises by a quarter of what a crossing costs, within
// bounds; once they are loaded it rises slowly, and where both sides are alike it goes on to do so.
func TestLocalShareRisesByThePriceOfACrossing(t *testing.T) {
	for _, c := range []struct{ price, load, want float64 }{
		{0.01, 0, 0.01}, {0.08, 0, 0.02}, {0.12, 0, 0.03}, {0.5, 0, 0.03}, {0.12, 0.2, 0.01}, {0, 0, 0},
	} {
		s := testSettings()
		s.CrossZonePrice = c.price
		b := New(&recordingFront{}, s, 7, Second)
		b.UpdateEndpoints(Second, ListFull, testMembers(10, "a", "b"))
		b.zones.localShare = 0.25
		b.zones.lateness = [2]float64{b.baseline + c.load, b.baseline + c.load}
		if b.adjustLocalShare(2 * Second); math.Abs(b.zones.localShare-0.25-c.want) > 1e-9 {
			t.Errorf("price %g, load %g: rose by %g, want %g", c.price, c.load, b.zones.localShare-0.25, c.want)
		}
	}
}
