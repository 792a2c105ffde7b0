package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// balancerAfter returns an instance with 200 endpoints after a number of requests, four per second, that were answered
// in time.
func balancerAfter(requests, keys int) (*Balancer, *recordingFront) {
	b, front := newTestBalancer(testMembers(200, "a"))
	for i := range requests {
		sendRequest(b, front, 2*Second+Time(i)*250*Millisecond, fmt.Sprint(i%keys), Succeeded, 100*Millisecond)
	}
	return b, front
}

// The hottest keys may each have more traffic than one endpoint can handle.
func TestHotKeysAreSpreadOverEndpoints(t *testing.T) {
	_, front := balancerAfter(200, 10)
	slices.Sort(front.sentTo)
	if endpoints := len(slices.Compact(front.sentTo)); endpoints < 100 {
		t.Errorf("ten keys with a tenth of the traffic each went to %d of 200 endpoints, want at least 100", endpoints)
	}
}

// Each of hundreds of instances sees only a small part of the traffic, so it must need only a few requests to detect
// that a key has become hot.
func TestHotKeysAreDetectedWithinFewRequests(t *testing.T) {
	b, front := newTestBalancer(testMembers(100, "a"))
	for i := range 256 {
		sendRequest(b, front, 2*Second+Time(i)*Second/10, fmt.Sprint(i), Succeeded, Second/10)
	}
	hotAttempts := map[EndpointID]int{}
	for i := range 24 { // two seconds at 13 requests per second, a quarter of them with the same key
		at := 30*Second + Time(i)*Second/13
		if i%4 > 0 {
			sendRequest(b, front, at, fmt.Sprint("other", i), Succeeded, Second/10)
		} else {
			hotAttempts[sendRequest(b, front, at, "hot", Succeeded, Second/10)]++
		}
	}
	if len(hotAttempts) < 4 {
		t.Errorf("six requests with a quarter of the traffic on their key went to %d endpoints, want >= 4", len(hotAttempts))
	}
}

// Of the endpoints that share a hot key, those with a higher latency get fewer of its requests.
func TestHotKeysGoToTheLessLoadedOfTwoEndpoints(t *testing.T) {
	b, _ := newTestBalancer(testMembers(10, "a"))
	b.concurrency.latenessMean = b.baseline
	share := [2]int{}
	for i := range b.table.endpoints {
		b.table.endpoints[i].limit = 100
		if i%2 == 0 {
			b.table.endpoints[i].latencyRatio = 1.4 * b.baseline // below the bound for passing over the endpoint
		} else {
			b.table.endpoints[i].latencyRatio = b.baseline
		}
	}
	for range 4000 {
		// The key is so hot that all ten endpoints share it.
		r := request{key: uint64(b.random.fraction() * slotCount), keyFrequency: 1. / hotKeySpread}
		share[b.choose(2*Second, &r, ordinaryTry)%2]++
	}
	if share[0] > 1500 || share[0] < 500 {
		t.Errorf("%d of 4000 requests with hot keys went to the loaded half of endpoints, want 500 to 1500", share[0])
	}
	// A cold endpoint without answers so far must not count as the less loaded one: it would be sent all that its
	// budget allows, with keys that other endpoints have cached.
	cold := 0
	for i := range b.table.endpoints {
		if b.table.endpoints[i].latencyRatio = b.baseline; i%2 == 0 {
			b.table.endpoints[i].latencyRatio, b.table.endpoints[i].Started, b.table.endpoints[i].coldBudget, b.table.endpoints[i].budgetUpdatedAt = 0, Second, 1, 2*Second
		}
	}
	for range 4000 {
		r := request{key: uint64(b.random.fraction() * slotCount), keyFrequency: 1. / hotKeySpread}
		if b.choose(2*Second, &r, ordinaryTry)%2 == 0 {
			cold++
		}
	}
	if cold > 2300 || cold < 1700 {
		t.Errorf("%d of 4000 requests with hot keys went to the cold half of endpoints, want 1700 to 2300", cold)
	}
	r := request{key: 5}
	first := b.choose(2*Second, &r, ordinaryTry)
	for range 100 {
		if b.choose(2*Second, &r, ordinaryTry) != first {
			t.Fatal("a key that is not hot left its endpoint")
		}
	}
}

// Where the list shows no load, part of the requests pass over an endpoint whose latency is above the bound, a multiple
// of the mean. After a long time without answers, one late answer is enough to show that. If all endpoints are equally
// late, none is passed over.
func TestLatencyShowsALoadedEndpoint(t *testing.T) {
	b, front := newTestBalancer(testMembers(10, "a"))
	home := sendRequest(b, front, 2*Second, "k", Succeeded, Second/4)
	sendRequest(b, front, 60*Second, "k", Succeeded, 2*Second) // the target latency is one second
	kept := func() (n int) {
		for range 1000 {
			r := request{key: xxhash.Sum64String("k")}
			if b.table.endpoints[b.choose(70*Second, &r, ordinaryTry)].ID == home {
				n++
			}
		}
		return n
	}
	e := &b.table.endpoints[b.table.indexes[home]]
	if e.limit = 100; e.latencyRatio < 1 {
		t.Errorf("after a single answer in a minute, which took two target latencies, the mean latency ratio is %.2f",
			e.latencyRatio)
	}
	b.concurrency.latenessMean = 0.4
	part := loadBound * b.concurrency.latenessMean / e.latencyRatio
	if n := kept(); math.Abs(float64(n)/1000-part*part) > 0.06 {
		t.Errorf("%d of 1000 requests stayed at the late endpoint, want a part of %.2f", n, part*part)
	}
	b.concurrency.latenessMean = e.latencyRatio
	if n := kept(); n != 1000 {
		t.Errorf("only %d of 1000 requests stayed at their endpoint although all endpoints are equally late", n)
	}
	// Idle endpoints may take one or ten milliseconds to answer. This difference is no sign of load.
	if b.concurrency.latenessMean, b.baseline, e.latencyRatio = 0.001, 0.001, 0.01; kept() != 1000 {
		t.Error("an idle endpoint was passed over")
	}
}

// The keyless requests of all instances together must be spread over the endpoints: instances with few requests each
// must not all send them to the same endpoints of the same table.
func TestKeylessRequestsOfManyInstancesAreSpread(t *testing.T) {
	const instances, endpoints, perInstance = 350, 100, 3
	attempts := map[EndpointID]int{}
	for i := range instances {
		front := &recordingFront{}
		b := New(front, testSettings(), uint64(i+1), Second)
		b.UpdateEndpoints(Second, ListFull, testMembers(endpoints, "a"))
		for range perInstance {
			handle := front.admit(b, 2*Second, "", false, 2*Second)
			b.AttemptEnded(2*Second, handle, 0, front.sentTo[len(front.sentTo)-1], Cancelled, 0, true)
		}
		for _, id := range front.sentTo {
			attempts[id]++
		}
	}
	// By chance alone, the busiest of 100 endpoints gets about 21 of 1,050 requests, and hardly any endpoint gets
	// none.
	busiest := 0
	for _, n := range attempts {
		busiest = max(busiest, n)
	}
	if busiest > 35 || len(attempts) < endpoints*95/100 {
		t.Errorf("%d requests reached %d of %d endpoints, the busiest %d times", instances*perInstance, len(attempts), endpoints, busiest)
	}
}
