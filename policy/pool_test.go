package policy

import (
	"fmt"
	"testing"
)

// newPooledBalancer is an instance among 100 instances before ten endpoints whose weights fall with load.
func newPooledBalancer(w *recordingFront, late float64) *Balancer {
	b := New(w, &Settings{Instances: 100, Zone: "a", Zones: 1, MaxAttempts: 3, Tick: 5 * Millisecond, StreamsPerConnection: 100,
		ColdCapacity: 0.2, ColdTime: 10 * Second, OverloadMultiple: 3, Classes: []Class{{Name: "r", Value: 1,
			LateValue: late, Target: Second, Deadline: 2 * Second}}}, 7, Second)
	b.UpdateEndpoints(Second, ListFull, loadedMembers(nil))
	return b
}

// loadedMembers lists ten endpoints of size 2, some of which hold so many requests a core.
func loadedMembers(reported map[int]float64) []Member {
	var all []Member
	for i := range 10 {
		all = append(all, Member{ID: EndpointID(i + 1), Weight: 2 / (1 + reported[i]), Zone: "a"})
	}
	return all
}

func (q *recordingFront) admit(b *Balancer, now Time, key string, repeat bool, left Time) Handle {
	h := b.Admit(now, 0, NoTenant, key, repeat, left)
	b.Begin(now, h)
	return h
}

// Weights that fall with load move no slots; an endpoint that holds ten times the mean is walked past by most
// requests.
func TestLoadedEndpointsArePassedOverAndKeepTheirSlots(t *testing.T) {
	w := &recordingFront{}
	b := newPooledBalancer(w, 0)
	table := fmt.Sprint(b.table.owners)
	b.UpdateEndpoints(2*Second, ListChanges, loadedMembers(map[int]float64{3: -0.05})[3:4]) // noise: a little over its size
	b.UpdateEndpoints(2*Second, ListChanges, loadedMembers(map[int]float64{3: 30})[3:4])
	if fmt.Sprint(b.table.owners) != table {
		t.Error("slots have moved for load")
	}
	to := map[EndpointID]int{}
	for i := range 1000 {
		h := w.admit(b, 2*Second, fmt.Sprint(i), false, 2*Second)
		to[w.sentTo[len(w.sentTo)-1]]++
		b.AttemptEnded(2*Second, h, 0, w.sentTo[len(w.sentTo)-1], Cancelled, 0, true)
	}
	if to[4] > 50 || to[1]+to[2]+to[3]+to[5] < 300 {
		t.Errorf("requests by endpoint: %v", to)
	}
	b.UpdateEndpoints(3*Second, ListChanges, loadedMembers(nil)[3:4])
	if s := b.table.endpoints[b.table.indexes[4]]; s.reportedLoad != 0 || s.Weight != 2 {
		t.Errorf("%+v", s)
	}
}

// An idle connection is given back once it has stood its part of the time that all instances together may keep one;
// the busier the endpoints the sooner.
func TestIdleSharedConnectionsAreReleased(t *testing.T) {
	for _, c := range []struct {
		streams, want int
		held          float64
		idle          Time
	}{{1, 0, 0, Second}, {100, 1, 0, idleConnectionTime / 100 * 25}, {100, 1, 9, idleConnectionTime / 100 * 4 / 9}} {
		w := &recordingFront{}
		b := newPooledBalancer(w, 0)
		b.settings.StreamsPerConnection, b.reports.mean = c.streams, c.held
		h := w.admit(b, 2*Second, "k", false, 2*Second)
		b.Woken(3 * Second)
		before := w.released
		b.AttemptEnded(3*Second, h, 0, w.sentTo[0], Succeeded, Second, true)
		b.maintain(3*Second + max(maintenanceInterval, c.idle) - Millisecond)
		early := w.released
		b.maintain(6 * Second)
		b.maintain(7 * Second)
		if before > 0 || c.idle > maintenanceInterval && early > 0 || c.idle < maintenanceInterval && early < c.want || w.released != c.want {
			t.Errorf("%+v: %d released while out, %d early, %d at last", c, before, early, w.released)
		}
	}
}

// A repeat that has less time left than first tries come with is as old as what is missing of the deadline.
func TestRepeatsTooLateAreAnsweredAtOnce(t *testing.T) {
	for _, c := range []struct {
		late     float64
		repeat   bool
		left     Time
		attempts int
	}{{0, true, 400 * Millisecond, 0}, {0, false, 400 * Millisecond, 1}, {0, true, 800 * Millisecond, 1},
		{0, true, 1500 * Millisecond, 1}, {0.2, true, 400 * Millisecond, 1}} {
		w := &recordingFront{}
		b := newPooledBalancer(w, c.late)
		w.admit(b, 2*Second, "a", false, 800*Millisecond)
		w.admit(b, 3*Second, "b", c.repeat, c.left)
		if len(w.sentTo) != 1+c.attempts || w.answered != 1-c.attempts {
			t.Errorf("%+v: %d attempted, %d rejected", c, len(w.sentTo)-1, w.answered)
		}
		for n := range Time(20) { // clients unlike each other: a shorter time says nothing any more
			w.admit(b, 4*Second, fmt.Sprint(n), false, (700+40*(n%3))*Millisecond)
		}
		back := w.answered
		b.concurrency.limit, b.concurrency.resumeAt = 100, 0
		if w.admit(b, 5*Second, "c", true, 400*Millisecond); w.answered > back {
			t.Errorf("%+v: rejected for being unlike others", c)
		}
	}
}

// A list that shows every endpoint full cuts the limit at once, and not below one attempt at each endpoint from all
// together.
func TestConcurrencyLimitIsReducedByTheList(t *testing.T) {
	w := &recordingFront{}
	b := newPooledBalancer(w, 0)
	b.concurrency.limit, b.concurrency.inUseMean = 5, 5
	all := map[int]float64{}
	for i := range 10 {
		all[i] = 1
	}
	b.UpdateEndpoints(2*Second, ListChanges, loadedMembers(all))
	if b.concurrency.limit != 5 {
		t.Errorf("limit %v while one request a core is held", b.concurrency.limit)
	}
	for i := range all {
		all[i] = 20
	}
	b.UpdateEndpoints(3*Second, ListChanges, loadedMembers(all))
	if b.concurrency.limit > 2.5 {
		t.Errorf("limit %v while twenty are", b.concurrency.limit)
	}
	for n := range Time(20) {
		b.UpdateEndpoints((4+n)*Second, ListChanges, loadedMembers(all))
	}
	if b.concurrency.limit != 0.1 {
		t.Errorf("limit %v at last", b.concurrency.limit)
	}
	// What was learned wrongly, under a list that stood still, does not keep the limit down for ever.
	b.reports.latencyPerLoad, b.concurrency.latenessMean = 2, 0.3
	for n := range Time(300) {
		b.UpdateEndpoints((30+n/4)*Second, ListChanges, loadedMembers(map[int]float64{0: 1}))
	}
	if b.reports.latencyPerLoad > 0.9 {
		t.Errorf("%v expected for each request held after 300 lists", b.reports.latencyPerLoad)
	}
	// One attempt in ten seconds, long in time: it says more than what was late before it.
	b.concurrency.latenessMean, b.concurrency.limit = 1, 0.1
	for n := range Time(6) {
		at := (200 + 10*n) * Second
		b.UpdateEndpoints(at, ListChanges, loadedMembers(map[int]float64{0: 0.1}))
		h := w.admit(b, at, fmt.Sprint(n), false, 2*Second)
		b.AttemptEnded(at+100*Millisecond, h, 0, w.sentTo[len(w.sentTo)-1], Succeeded, 100*Millisecond, true)
	}
	if b.concurrency.latenessMean > 0.2 || b.concurrency.limit < 0.25 {
		t.Errorf("lateness %v, limit %v after answers in time", b.concurrency.latenessMean, b.concurrency.limit)
	}
}

// One failure ejects an endpoint where it could not be reached over a shared connection, or holds more than the mean.
func TestOneFailureEjectsWithSharedConnections(t *testing.T) {
	for _, c := range []struct {
		held    float64
		o       Outcome
		ejected bool
	}{{0, NotConnected, true}, {0, TimedOut, false}, {9, TimedOut, true}, {9, Rejected, false}} {
		w := &recordingFront{}
		b := newPooledBalancer(w, 0)
		b.concurrency.latenessMean = 0.6
		h := w.admit(b, 2*Second, "k", false, 2*Second)
		at := int(w.sentTo[0]) - 1
		b.UpdateEndpoints(2*Second, ListChanges, loadedMembers(map[int]float64{at: c.held, (at + 1) % 10: 0.1})[at:at+1])
		b.AttemptEnded(3*Second, h, 0, w.sentTo[0], c.o, Second, false)
		if ejected := b.table.endpoints[b.table.indexes[w.sentTo[0]]].ejectedUntil > 3*Second; ejected != c.ejected {
			t.Errorf("%+v: ejected %v", c, ejected)
		}
	}
}

// A tenant's share is a few requests in ten seconds at one of a hundred instances: two at once are chance, thirty are
// not.
func TestChanceIsNotTakenForOverQuota(t *testing.T) {
	b := newPooledBalancer(&recordingFront{}, 0)
	b.settings.Tenants, b.settings.TotalQuota, b.settings.OverQuotaValue = []Tenant{{"x", 60}, {"y", 60}}, 120, 0.05
	b.tenants = make([]rateMeter, 2)
	first := b.valueRate(2*Second, &request{}, 0, false)
	if second := b.valueRate(2*Second, &request{}, 0, false); second != first {
		t.Errorf("value %v, then %v", first, second)
	}
	for range 28 {
		b.valueRate(2*Second, &request{}, 1, false) // its own part of our traffic grows as well
		b.valueRate(2*Second, &request{}, 0, false)
	}
	b.arrivals = rateMeter{}
	if last := b.valueRate(2*Second, &request{}, 0, false); last != 0.05*first {
		t.Errorf("value %v, after thirty at once %v", first, last)
	}
}
