package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// balancerAfter is an instance of a fleet of 200 that has had n requests, four a second, answered in time.
func balancerAfter(n, keys int) (*Balancer, *recordingFront) {
	b, q := newTestBalancer(testMembers(200, "a"))
	for i := range n {
		sendRequest(b, q, 2*Second+Time(i)*250*Millisecond, fmt.Sprint(i%keys), Succeeded, 100*Millisecond)
	}
	return b, q
}

// oslo-skript-later at full size: the most asked keys are each more than an endpoint can do.
func TestHotKeysAreSpreadOverEndpoints(t *testing.T) {
	_, q := balancerAfter(200, 10)
	slices.Sort(q.sentTo)
	if n := len(slices.Compact(q.sentTo)); n < 100 {
		t.Errorf("ten keys with a tenth of the traffic each went to %d of 200 endpoints", n)
	}
}

// Hundreds of instances see an endpoint seldom: a key that becomes hot, and an endpoint that answers late, must show
// within a few requests.
func TestLittleIsEnoughToSeeAHotKey(t *testing.T) {
	b, q := newTestBalancer(testMembers(100, "a"))
	for i := range 256 {
		sendRequest(b, q, 2*Second+Time(i)*Second/10, fmt.Sprint(i), Succeeded, Second/10)
	}
	to := map[EndpointID]int{}
	for i := range 24 { // a quarter of an instance's traffic, at 13 requests a second for two seconds, is about one thing
		at := 30*Second + Time(i)*Second/13
		if i%4 > 0 {
			sendRequest(b, q, at, fmt.Sprint("other", i), Succeeded, Second/10)
		} else {
			to[sendRequest(b, q, at, "hot", Succeeded, Second/10)]++
		}
	}
	if len(to) < 4 {
		t.Errorf("six requests of a key with a quarter of the traffic went to %d of 100 endpoints", len(to))
	}
}

// The less loaded of two: of the endpoints that a hot key may go to, those whose answers take long get less.
func TestHotKeysGoToTheLessLoadedOfTwo(t *testing.T) {
	b, _ := newTestBalancer(testMembers(10, "a"))
	b.concurrency.latenessMean = b.baseline
	share := [2]int{}
	for i := range b.table.endpoints {
		b.table.endpoints[i].limit = 100
		if i%2 == 0 {
			b.table.endpoints[i].latencyRatio = 1.4 * b.baseline // under the bound
		} else {
			b.table.endpoints[i].latencyRatio = b.baseline
		}
	}
	for range 4000 {
		tk := request{key: uint64(b.random.fraction() * slotCount), keyFrequency: 1. / hotKeySpread} // assigned over all ten
		share[b.choose(2*Second, &tk, ordinaryTry)%2]++
	}
	if share[0] > 1500 || share[0] < 500 {
		t.Errorf("of 4000 requests of hot keys %d went to the loaded half", share[0])
	}
	// A cold one that has answered nothing yet is no less loaded one: it would be sent all that its budget allows, in
	// work that is known elsewhere.
	cold := 0
	for i := range b.table.endpoints {
		if b.table.endpoints[i].latencyRatio = b.baseline; i%2 == 0 {
			b.table.endpoints[i].latencyRatio, b.table.endpoints[i].Started, b.table.endpoints[i].coldBudget, b.table.endpoints[i].budgetUpdatedAt = 0, Second, 1, 2*Second
		}
	}
	for range 4000 {
		tk := request{key: uint64(b.random.fraction() * slotCount), keyFrequency: 1. / hotKeySpread}
		if b.choose(2*Second, &tk, ordinaryTry)%2 == 0 {
			cold++
		}
	}
	if cold > 2300 || cold < 1700 {
		t.Errorf("of 4000 requests of hot keys %d went to the cold half", cold)
	}
	tk := request{key: 5}
	first := b.choose(2*Second, &tk, ordinaryTry)
	for range 100 {
		if b.choose(2*Second, &tk, ordinaryTry) != first {
			t.Fatal("a key that is not hot left its endpoint")
		}
	}
}

// Where the list shows no load, an endpoint whose answers take longer than the bound over the mean is walked past in
// part, and in none where all are late alike. One answer after a long silence is enough.
func TestOwnAnswersShowALoadedEndpoint(t *testing.T) {
	b, q := newTestBalancer(testMembers(10, "a"))
	home := sendRequest(b, q, 2*Second, "k", Succeeded, Second/4)
	sendRequest(b, q, 60*Second, "k", Succeeded, 2*Second) // the target latency is one second
	kept := func() (n int) {
		for range 1000 {
			tk := request{key: xxhash.Sum64String("k")}
			if b.table.endpoints[b.choose(70*Second, &tk, ordinaryTry)].ID == home {
				n++
			}
		}
		return n
	}
	s := &b.table.endpoints[b.table.indexes[home]]
	if s.limit = 100; s.latencyRatio < 1 {
		t.Errorf("after one answer of two target latencies in a minute its mean is %.2f", s.latencyRatio)
	}
	b.concurrency.latenessMean = 0.4
	part := loadBound * b.concurrency.latenessMean / s.latencyRatio
	if n := kept(); math.Abs(float64(n)/1000-part*part) > 0.06 {
		t.Errorf("%d of 1000 stayed, wanted a part of %.2f", n, part*part)
	}
	b.concurrency.latenessMean = s.latencyRatio
	if n := kept(); n != 1000 {
		t.Errorf("all are late alike, and %d of 1000 stayed", n)
	}
	// Idle endpoints answer in one millisecond or in ten: no load.
	if b.concurrency.latenessMean, b.baseline, s.latencyRatio = 0.001, 0.001, 0.01; kept() != 1000 {
		t.Error("an idle endpoint was walked past")
	}
}

// Requests without a key are spread over the endpoints by all instances together: instances that have each seen
// little must not follow each other over the same endpoints of the same table.
func TestKeylessRequestsOfManyInstancesAreSpread(t *testing.T) {
	const instances, endpoints, each = 350, 100, 3
	at := map[EndpointID]int{}
	for i := range instances {
		w := &recordingFront{}
		b := New(w, testSettings(), uint64(i+1), Second)
		b.UpdateEndpoints(Second, ListFull, testMembers(endpoints, "a"))
		for range each {
			h := w.admit(b, 2*Second, "", false, 2*Second)
			b.AttemptEnded(2*Second, h, 0, w.sentTo[len(w.sentTo)-1], Cancelled, 0, true)
		}
		for _, id := range w.sentTo {
			at[id]++
		}
	}
	// By chance alone the busiest of 100 endpoints gets some 21 of 1,050 requests, and next to none gets nothing.
	most := 0
	for _, n := range at {
		most = max(most, n)
	}
	if most > 35 || len(at) < endpoints*95/100 {
		t.Errorf("%d requests: %d of %d endpoints met, the busiest %d times", instances*each, len(at), endpoints, most)
	}
}
