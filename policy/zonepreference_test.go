package policy

import (
	"math"
	"testing"
)

// Local endpoints must not be overloaded by their own zone's instances while remote ones are idle.
func TestLoadedLocalEndpointsLoseKeys(t *testing.T) {
	front := &recordingFront{}
	settings := testSettings()
	settings.CrossZonePrice = 0.1
	b := New(front, settings, 7, Second)
	b.UpdateEndpoints(Second, ListFull, testMembers(6, "a", "b"))
	first := sendRequest(b, front, 2*Second, "k", Succeeded, Millisecond)
	if b.table.endpoints[b.table.indexes[first]].Zone != "a" {
		t.Error("unloaded local endpoints were passed over")
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
		t.Errorf("a part of %.2f of the keys still prefers local endpoints although they are overloaded",
			b.zones.localShare)
	}
}

// While no load is known, the part of the keys that prefer local endpoints is at most the local endpoints' part of the
// fleet, because all traffic may arrive in their zone.
func TestLocalShareStartsAtTheLocalEndpointsPart(t *testing.T) {
	for _, zones := range []int{2, 5} {
		settings := testSettings()
		settings.CrossZonePrice, settings.Zones = 0.2, zones
		b := New(&recordingFront{}, settings, 7, Second)
		b.UpdateEndpoints(Second, ListFull, testMembers(10, "a", "b", "b", "b", "b"))
		if b.zones.localShare < 0.19 || b.zones.localShare > 0.21 {
			t.Errorf("local share %.2f with a fifth of the endpoints in one of %d zones", b.zones.localShare, zones)
		}
	}
}

// The local share must apply to keyless requests as well as to keys.
func TestLocalShareAppliesToKeylessRequests(t *testing.T) {
	b, front := newTestBalancer(testMembers(100, "a", "b"))
	b.zones.localShare = 0.5
	local := 0
	for range 1000 {
		handle := front.admit(b, 2*Second, "", false, 2*Second)
		id := front.sentTo[len(front.sentTo)-1]
		b.AttemptEnded(2*Second, handle, 0, id, Cancelled, 0, true)
		if b.table.endpoints[b.table.indexes[id]].Zone == b.settings.Zone {
			local++
		}
	}
	// Half of the requests prefer local endpoints; half of the others reach one by their slots.
	if local < 680 || local > 820 {
		t.Errorf("%d of 1000 requests went to local endpoints, want about 750", local)
	}
}

// While local endpoints answer as if idle, the local share rises by a quarter of CrossZonePrice, within bounds. Once
// they are loaded it rises slowly, as long as remote endpoints are loaded as much.
func TestLocalShareRisesWithTheCrossZonePrice(t *testing.T) {
	for _, test := range []struct{ price, load, want float64 }{
		{0.01, 0, 0.01}, {0.08, 0, 0.02}, {0.12, 0, 0.03}, {0.5, 0, 0.03}, {0.12, 0.2, 0.01}, {0, 0, 0},
	} {
		settings := testSettings()
		settings.CrossZonePrice = test.price
		b := New(&recordingFront{}, settings, 7, Second)
		b.UpdateEndpoints(Second, ListFull, testMembers(10, "a", "b"))
		b.zones.localShare = 0.25
		b.zones.lateness = [2]float64{b.baseline + test.load, b.baseline + test.load}
		if b.adjustLocalShare(2 * Second); math.Abs(b.zones.localShare-0.25-test.want) > 1e-9 {
			t.Errorf("price %g, load %g: the local share rose by %g, want %g",
				test.price, test.load, b.zones.localShare-0.25, test.want)
		}
	}
}
