package policy

import (
	"fmt"
	"math"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// maxColdRatio returns the largest ratio of the attempts that an endpoint was sent within OverloadWindow to what is
// allowed in that time. That is N+2*sqrt(N)+2 attempts, where N is what the endpoint can take with OverloadMultiple and
// the rest allows for chance.
func maxColdRatio(sent []Time, started Time, settings *Settings, capacity float64) (worst float64) {
	for first, last := 0, 0; last < len(sent); last++ {
		for sent[first] <= sent[last]-settings.OverloadWindow {
			first++
		}
		share := settings.ColdCapacity + (1-settings.ColdCapacity)*float64(sent[last]-started)/float64(settings.ColdTime)
		expected := settings.OverloadMultiple * share * capacity * float64(settings.OverloadWindow) / float64(Second)
		worst = max(worst, float64(last-first+1)/(expected+2*math.Sqrt(expected)+2))
	}
	return worst
}

// Many instances, each with a few requests per second, must send cold endpoints enough keyless requests, but not more
// than allowed. By their slots alone they would send too few: at each instance a budget lapses within a second, while
// a request reaches a given endpoint by its slot only once in 20 s.
func TestKeylessRequestsOfManyInstancesReachColdEndpoints(t *testing.T) {
	const (
		instances, endpoints, coldCount = 300, 100, 60
		// perSecond is the rate of requests of each instance; the cold endpoints are listed at startedAt.
		perSecond, step, startedAt = 5., 200 * Millisecond, 21 * Second
		capacity                   = instances * perSecond / endpoints
	)
	settings := testSettings()
	settings.Instances, settings.ColdCapacity, settings.ColdTime, settings.OverloadWindow = instances, 0.4, 6*Second, 3*Second/2
	members := testMembers(endpoints, "a")
	for i := range members {
		members[i].Weight = 1
	}
	balancers, fronts := make([]*Balancer, instances), make([]recordingFront, instances)
	for i := range balancers {
		balancers[i] = New(&fronts[i], settings, uint64(i), Second)
		balancers[i].UpdateEndpoints(Second, ListFull, members[coldCount:])
	}
	sent := map[EndpointID][]Time{}
	for now := Second; now < startedAt+settings.ColdTime; now += step {
		for i, b := range balancers {
			if now == startedAt {
				for index := range members[:coldCount] {
					members[index].Started = startedAt
				}
				b.UpdateEndpoints(now, ListChanges, members[:coldCount])
			}
			if id := sendRequest(b, &fronts[i], now, "", Succeeded, 100*Millisecond); id <= coldCount {
				sent[id] = append(sent[id], now)
			}
		}
	}
	total := 0
	for id, times := range sent {
		total += len(times)
		if ratio := maxColdRatio(times, startedAt, settings, capacity); ratio > 1 {
			t.Errorf("endpoint %d was sent %.2f times the attempts that are allowed", id, ratio)
		}
	}
	// While a new endpoint warms up, it can take on average seven tenths of what a warm one gets by its slots. At
	// least half of that is required.
	if sustainable := 0.7 * capacity * float64(settings.ColdTime/Second) * coldCount; float64(total) < sustainable/2 {
		t.Errorf("%d cold endpoints were sent %d requests while they warmed up, and can take %.0f", coldCount, total, sustainable)
	}
}

// Only keyless requests leave their slots for a cold endpoint with budget, and only if the endpoint may be sent an
// attempt at all.
func TestOnlyKeylessRequestsLeaveTheirSlotForAColdEndpoint(t *testing.T) {
	const now = 30 * Second
	for name, change := range map[string]func(e *endpoint){
		"may be sent one": func(*endpoint) {},
		"draining":        func(e *endpoint) { e.Status = Draining },
		"without budget":  func(e *endpoint) { e.coldBudget = 0 },
		"ejected":         func(e *endpoint) { e.ejectedUntil = now + Second },
		"full":            func(e *endpoint) { e.limit = 0 },
	} {
		b, front := newTestBalancer(testMembers(50, "a"))
		b.UpdateEndpoints(now, ListChanges, []Member{{ID: 7, Weight: 1, Zone: "a", Started: now}})
		cold := &b.table.endpoints[b.table.indexes[7]]
		for i := range 100 {
			cold.coldBudget, cold.budgetUpdatedAt = 1, now
			change(cold)
			if id := sendRequest(b, front, now, fmt.Sprint("key", i), Cancelled, 0); id == 7 && b.table.owners[xxhash.Sum64String(fmt.Sprint("key", i))%slotCount] != b.table.indexes[7] {
				t.Errorf("%s: request %d with a key left its slot", name, i)
			}
			cold.coldBudget = 1
			change(cold)
			if id := sendRequest(b, front, now, "", Cancelled, 0); (id == 7) != (name == "may be sent one") {
				t.Fatalf("%s: a keyless request went to endpoint %d", name, id)
			}
		}
	}
}
