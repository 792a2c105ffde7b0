package policy

import (
	"fmt"
	"testing"
)

// newPooledBalancer returns one of 100 instances, with shared connections and ten endpoints whose listed weights fall
// with load.
func newPooledBalancer(front *recordingFront, lateValue float64) *Balancer {
	b := New(front, &Settings{Instances: 100, Zone: "a", Zones: 1, MaxAttempts: 3, Tick: 5 * Millisecond, StreamsPerConnection: 100,
		ColdCapacity: 0.2, ColdTime: 10 * Second, OverloadMultiple: 3, Classes: []Class{{Name: "r", Value: 1,
			LateValue: lateValue, Target: Second, Deadline: 2 * Second}}}, 7, Second)
	b.UpdateEndpoints(Second, ListFull, loadedMembers(nil))
	return b
}

// loadedMembers returns a list of ten endpoints of size 2. loads gives the requests that some of them hold for each
// core.
func loadedMembers(loads map[int]float64) []Member {
	var members []Member
	for i := range 10 {
		members = append(members, Member{ID: EndpointID(i + 1), Weight: 2 / (1 + loads[i]), Zone: "a"})
	}
	return members
}

// admit admits a request and begins it.
func (f *recordingFront) admit(b *Balancer, now Time, key string, retry bool, timeLeft Time) Handle {
	handle := b.Admit(now, 0, NoTenant, key, retry, timeLeft)
	b.Begin(now, handle)
	return handle
}

// Listed weights that fall with load must move no slots, or endpoints would lose the keys that they have cached. Most
// requests must pass over an endpoint that holds ten times the mean load.
func TestLoadedEndpointsArePassedOverAndKeepTheirSlots(t *testing.T) {
	front := &recordingFront{}
	b := newPooledBalancer(front, 0)
	table := fmt.Sprint(b.table.owners)
	// The first listed weight is slightly above the endpoint's size, as if by noise.
	b.UpdateEndpoints(2*Second, ListChanges, loadedMembers(map[int]float64{3: -0.05})[3:4])
	b.UpdateEndpoints(2*Second, ListChanges, loadedMembers(map[int]float64{3: 30})[3:4])
	if fmt.Sprint(b.table.owners) != table {
		t.Error("slots moved because of load")
	}
	attempts := map[EndpointID]int{}
	for i := range 1000 {
		handle := front.admit(b, 2*Second, fmt.Sprint(i), false, 2*Second)
		attempts[front.sentTo[len(front.sentTo)-1]]++
		b.AttemptEnded(2*Second, handle, 0, front.sentTo[len(front.sentTo)-1], Cancelled, 0, true)
	}
	if attempts[4] > 50 || attempts[1]+attempts[2]+attempts[3]+attempts[5] < 300 {
		t.Errorf("the loaded endpoint 4 got too many requests or the others too few: %v", attempts)
	}
	b.UpdateEndpoints(3*Second, ListChanges, loadedMembers(nil)[3:4])
	if e := b.table.endpoints[b.table.indexes[4]]; e.reportedLoad != 0 || e.Weight != 2 {
		t.Errorf("endpoint without load, want reportedLoad 0 and Weight 2: %+v", e)
	}
}

// An idle connection is released after this instance's part of fleetIdleTime, and earlier if endpoints are busier.
func TestIdleSharedConnectionsAreReleased(t *testing.T) {
	for _, test := range []struct {
		streams, want int
		load          float64
		idle          Time
	}{{1, 0, 0, Second}, {100, 1, 0, fleetIdleTime / 100 * 25}, {100, 1, 9, fleetIdleTime / 100 * 4 / 9}} {
		front := &recordingFront{}
		b := newPooledBalancer(front, 0)
		b.settings.StreamsPerConnection, b.reports.mean = test.streams, test.load
		handle := front.admit(b, 2*Second, "k", false, 2*Second)
		b.Woken(3 * Second)
		before := front.released
		b.AttemptEnded(3*Second, handle, 0, front.sentTo[0], Succeeded, Second, true)
		b.maintain(3*Second + max(maintenanceInterval, test.idle) - Millisecond)
		early := front.released
		b.maintain(6 * Second)
		b.maintain(7 * Second)
		if before > 0 || test.idle > maintenanceInterval && early > 0 || test.idle < maintenanceInterval && early < test.want || front.released != test.want {
			t.Errorf("%+v: connections released: %d with an attempt in flight, %d before the idle time, %d in the end",
				test, before, early, front.released)
		}
	}
}

// If a client's retry arrives with less time left than first attempts do, the part of the deadline that is used up
// counts towards the target latency. A retry that is too late for the target latency is rejected at once, as its answer
// would have no value.
func TestRetriesThatAreTooLateAreAnsweredAtOnce(t *testing.T) {
	for _, test := range []struct {
		lateValue float64
		retry     bool
		timeLeft  Time
		attempts  int
	}{{0, true, 400 * Millisecond, 0}, {0, false, 400 * Millisecond, 1}, {0, true, 800 * Millisecond, 1},
		{0, true, 1500 * Millisecond, 1}, {0.2, true, 400 * Millisecond, 1}} {
		front := &recordingFront{}
		b := newPooledBalancer(front, test.lateValue)
		front.admit(b, 2*Second, "a", false, 800*Millisecond)
		front.admit(b, 3*Second, "b", test.retry, test.timeLeft)
		if len(front.sentTo) != 1+test.attempts || front.answered != 1-test.attempts {
			t.Errorf("%+v: %d requests attempted, %d rejected", test, len(front.sentTo)-1, front.answered)
		}
		// Once first attempts have different deadlines, less time left does not show that the client has spent time.
		for n := range Time(20) {
			front.admit(b, 4*Second, fmt.Sprint(n), false, (700+40*(n%3))*Millisecond)
		}
		answered := front.answered
		b.concurrency.limit, b.concurrency.resumeAt = 100, 0
		if front.admit(b, 5*Second, "c", true, 400*Millisecond); front.answered > answered {
			t.Errorf("%+v: a retry was rejected although first attempts have different times left", test)
		}
	}
}

// A list that shows all endpoints overloaded reduces the concurrency limit at once, but not below one attempt from all
// instances together to each endpoint.
func TestConcurrencyLimitIsReducedByReportedLoad(t *testing.T) {
	front := &recordingFront{}
	b := newPooledBalancer(front, 0)
	b.concurrency.limit, b.concurrency.inFlightMean = 5, 5
	loads := map[int]float64{}
	for i := range 10 {
		loads[i] = 1
	}
	b.UpdateEndpoints(2*Second, ListChanges, loadedMembers(loads))
	if b.concurrency.limit != 5 {
		t.Errorf("the limit is %v at a load of one request for each core, want 5", b.concurrency.limit)
	}
	for i := range loads {
		loads[i] = 20
	}
	b.UpdateEndpoints(3*Second, ListChanges, loadedMembers(loads))
	if b.concurrency.limit > 2.5 {
		t.Errorf("the limit is %v at a load of twenty requests for each core, want at most 2.5", b.concurrency.limit)
	}
	for n := range Time(20) {
		b.UpdateEndpoints((4+n)*Second, ListChanges, loadedMembers(loads))
	}
	if b.concurrency.limit != 0.1 {
		t.Errorf("the limit is %v after 20 more lists that show overload, want 0.1", b.concurrency.limit)
	}
	// A wrong value of latencyPerLoad, learned while the list was stale, must not keep the limit low forever.
	b.reports.latencyPerLoad, b.concurrency.latenessMean = 2, 0.3
	for n := range Time(300) {
		b.UpdateEndpoints((30+n/4)*Second, ListChanges, loadedMembers(map[int]float64{0: 1}))
	}
	if b.reports.latencyPerLoad > 0.9 {
		t.Errorf("latencyPerLoad is %v after 300 lists, want at most 0.9", b.reports.latencyPerLoad)
	}
	// With one attempt in ten seconds, an early answer counts for more than the late ones long before it.
	b.concurrency.latenessMean, b.concurrency.limit = 1, 0.1
	for n := range Time(6) {
		at := (200 + 10*n) * Second
		b.UpdateEndpoints(at, ListChanges, loadedMembers(map[int]float64{0: 0.1}))
		handle := front.admit(b, at, fmt.Sprint(n), false, 2*Second)
		b.AttemptEnded(at+100*Millisecond, handle, 0, front.sentTo[len(front.sentTo)-1], Succeeded, 100*Millisecond, true)
	}
	if b.concurrency.latenessMean > 0.2 || b.concurrency.limit < 0.25 {
		t.Errorf("after answers in time, the mean lateness is %v and the limit %v",
			b.concurrency.latenessMean, b.concurrency.limit)
	}
}

// With shared connections, one failure ejects an endpoint if the connection failed, or if the endpoint's load is above
// the mean and it did not reject the attempt.
func TestOneFailureEjectsWithSharedConnections(t *testing.T) {
	for _, test := range []struct {
		load    float64
		outcome Outcome
		ejected bool
	}{{0, NotConnected, true}, {0, TimedOut, false}, {9, TimedOut, true}, {9, Rejected, false}} {
		front := &recordingFront{}
		b := newPooledBalancer(front, 0)
		b.concurrency.latenessMean = 0.6
		handle := front.admit(b, 2*Second, "k", false, 2*Second)
		index := int(front.sentTo[0]) - 1
		b.UpdateEndpoints(2*Second, ListChanges, loadedMembers(map[int]float64{index: test.load, (index + 1) % 10: 0.1})[index:index+1])
		b.AttemptEnded(3*Second, handle, 0, front.sentTo[0], test.outcome, Second, false)
		if ejected := b.table.endpoints[b.table.indexes[front.sentTo[0]]].ejectedUntil > 3*Second; ejected != test.ejected {
			t.Errorf("%+v: endpoint ejected: %v", test, ejected)
		}
	}
}

// At one of a hundred instances, a tenant's share is a few requests in ten seconds: two at once are chance, thirty
// exceed the quota.
func TestFewRequestsByChanceAreNotOverQuota(t *testing.T) {
	b := newPooledBalancer(&recordingFront{}, 0)
	b.settings.Tenants, b.settings.TotalQuota, b.settings.OverQuotaValue = []Tenant{{"x", 60}, {"y", 60}}, 120, 0.05
	b.tenants = make([]rateMeter, 2)
	first := b.valueRate(2*Second, &request{}, 0, false)
	if second := b.valueRate(2*Second, &request{}, 0, false); second != first {
		t.Errorf("the first request has the value %v, the second %v, want the same", first, second)
	}
	for range 28 {
		b.valueRate(2*Second, &request{}, 1, false) // the other tenant sends the same number of requests
		b.valueRate(2*Second, &request{}, 0, false)
	}
	b.arrivals = rateMeter{}
	if last := b.valueRate(2*Second, &request{}, 0, false); last != 0.05*first {
		t.Errorf("the first request has the value %v, the thirtieth %v, want 0.05 of the first", first, last)
	}
}
