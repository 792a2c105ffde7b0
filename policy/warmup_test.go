package policy

import (
	"fmt"
	"math"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// coldBoundBroken gives the most that an endpoint was sent within the time in which it falls, over what is allowed
// then: N requests, and two roots of N and two more for chance.
func coldBoundBroken(sent []Time, started Time, c *Settings, capacity float64) (worst float64) {
	for first, last := 0, 0; last < len(sent); last++ {
		for sent[first] <= sent[last]-c.OverloadWindow {
			first++
		}
		share := c.ColdCapacity + (1-c.ColdCapacity)*float64(sent[last]-started)/float64(c.ColdTime)
		n := c.OverloadMultiple * share * capacity * float64(c.OverloadWindow) / float64(Second)
		worst = max(worst, float64(last-first+1)/(n+2*math.Sqrt(n)+2))
	}
	return worst
}

// Many instances, each with a few requests a second, keep cold endpoints at work with requests that have no key,
// within what is allowed. A budget lapses within a second in each of them, and by its slots each meets a given
// endpoint once in 20 s.
func TestKeylessRequestsOfManyInstancesReachColdEndpoints(t *testing.T) {
	const (
		instances, endpoints, fresh = 300, 100, 60
		each, step, known           = 5., 200 * Millisecond, 21 * Second // requests a second of each instance; when the new ones are heard of
		capacity                    = instances * each / endpoints
	)
	c := testSettings()
	c.Instances, c.ColdCapacity, c.ColdTime, c.OverloadWindow = instances, 0.4, 6*Second, 3*Second/2
	members := testMembers(endpoints, "a")
	for i := range members {
		members[i].Weight = 1
	}
	all, fronts := make([]*Balancer, instances), make([]recordingFront, instances)
	for i := range all {
		all[i] = New(&fronts[i], c, uint64(i), Second)
		all[i].UpdateEndpoints(Second, ListFull, members[fresh:])
	}
	sent := map[EndpointID][]Time{}
	for now := Second; now < known+c.ColdTime; now += step {
		for i, b := range all {
			if now == known {
				for m := range members[:fresh] {
					members[m].Started = known
				}
				b.UpdateEndpoints(now, ListChanges, members[:fresh])
			}
			if to := sendRequest(b, &fronts[i], now, "", Succeeded, 100*Millisecond); to <= fresh {
				sent[to] = append(sent[to], now)
			}
		}
	}
	total := 0
	for id, at := range sent {
		total += len(at)
		if over := coldBoundBroken(at, known, c, capacity); over > 1 {
			t.Errorf("endpoint %d was sent %.2f of what is allowed", id, over)
		}
	}
	// By its slots alone a new endpoint gets, while it warms, seven tenths of what a warm one does; half of that is
	// wanted.
	if bears := 0.7 * capacity * float64(c.ColdTime/Second) * fresh; float64(total) < bears/2 {
		t.Errorf("%d cold endpoints were sent %d requests while they warmed, and bear %.0f", fresh, total, bears)
	}
}

// Only a request without a key leaves its slot for a cold endpoint that may be sent one, and only by the rules for
// any attempt.
func TestOnlyKeylessRequestsLeaveTheirSlotForAColdEndpoint(t *testing.T) {
	const now = 30 * Second
	for name, change := range map[string]func(s *endpoint){
		"may be sent one": func(*endpoint) {},
		"draining":        func(s *endpoint) { s.Status = Draining },
		"without budget":  func(s *endpoint) { s.coldBudget = 0 },
		"ejected":         func(s *endpoint) { s.ejectedUntil = now + Second },
		"full":            func(s *endpoint) { s.limit = 0 },
	} {
		b, w := newTestBalancer(testMembers(50, "a"))
		b.UpdateEndpoints(now, ListChanges, []Member{{ID: 7, Weight: 1, Zone: "a", Started: now}})
		cold := &b.table.endpoints[b.table.indexes[7]]
		for i := range 100 {
			cold.coldBudget, cold.budgetUpdatedAt = 1, now
			change(cold)
			if to := sendRequest(b, w, now, fmt.Sprint("key", i), Cancelled, 0); to == 7 && b.table.owners[xxhash.Sum64String(fmt.Sprint("key", i))%slotCount] != b.table.indexes[7] {
				t.Errorf("%s: key %d left its slot", name, i)
			}
			cold.coldBudget = 1
			change(cold)
			if to := sendRequest(b, w, now, "", Cancelled, 0); (to == 7) != (name == "may be sent one") {
				t.Fatalf("%s: a request without a key went to endpoint %d", name, to)
			}
		}
	}
}
