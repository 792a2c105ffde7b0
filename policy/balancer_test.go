package policy

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"
)

// recordingFront is a front that records the endpoints of attempts and counts other calls.
type recordingFront struct {
	simulation
	sentTo    []EndpointID
	answered  int // number of calls of Reject and Fail
	forgotten int
	released  int
}

func (f *recordingFront) Attempt(_ Handle, id EndpointID, _ Time) { f.sentTo = append(f.sentTo, id) }
func (f *recordingFront) Reject(Handle, Time)                     { f.answered++ }
func (f *recordingFront) Fail(Handle)                             { f.answered++ }
func (f *recordingFront) Wake(Time)                               {}
func (f *recordingFront) FollowList(bool)                         {}
func (f *recordingFront) ReleaseConnections(EndpointID)           { f.released++ }
func (f *recordingFront) Forget(EndpointID)                       { f.forgotten++ }

// The decisions must keep the four rules that the type simulation checks, whatever the order of events.
func TestRulesAgainstReferenceModel(t *testing.T) {
	counts := map[string]int{}
	check := func(seed int64) bool {
		run := simulate(seed)
		for kind, count := range run.eventCounts {
			counts[kind] += count
		}
		if run.violation != "" {
			t.Errorf("seed %d: %s", seed, run.violation)
		}
		return run.violation == ""
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
	if len(counts) < 9 {
		t.Errorf("the histories have too few kinds of events: %v", counts)
	}
}

// The same events and seed must give the same decisions, or a recorded run cannot be replayed.
func TestDecisionsAreDeterministic(t *testing.T) {
	same := func(seed int64) bool {
		first, second := simulate(seed), simulate(seed)
		return first.trace.String() == second.trace.String()
	}
	if err := quick.Check(same, &quick.Config{MaxCount: 10, Rand: rand.New(rand.NewSource(2))}); err != nil {
		t.Error(err)
	}
}

func testMembers(n int, zones ...Zone) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{ID: EndpointID(i + 1), Weight: float64(1 + i%3), Zone: zones[i%len(zones)]})
	}
	return members
}

func testSettings() *Settings {
	return &Settings{Instances: 1, Zone: "a", FixedWeights: true, MaxAttempts: 3, Tick: 5 * Millisecond, ColdCapacity: 0.1,
		ColdTime: 20 * Second, OverloadMultiple: 3, Classes: []Class{{Name: "r", Value: 1, Target: Second}}}
}

func newTestBalancer(members []Member) (*Balancer, *recordingFront) {
	front := &recordingFront{}
	b := New(front, testSettings(), 7, Second)
	b.UpdateEndpoints(Second, ListFull, members)
	return b, front
}

// Requests on the ordinary path must not burden the garbage collector.
func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	b, front := newTestBalancer(testMembers(300, "a"))
	front.sentTo = make([]EndpointID, 0, 5000)
	now := 2 * Second
	handleRequest := func() {
		now += 3 * Millisecond
		sendRequest(b, front, now, "call", Succeeded, Millisecond)
		b.Woken(now)
	}
	if n := testing.AllocsPerRun(2000, handleRequest); n != 0 {
		t.Errorf("an ordinary request makes %v allocations, want none", n)
	}
}

// sendRequest admits a request with the given key, ends each of its attempts with the given outcome, and returns the
// endpoint of the first attempt.
func sendRequest(b *Balancer, front *recordingFront, now Time, key string, outcome Outcome, elapsed Time) EndpointID {
	handle := b.Admit(now, 0, NoTenant, key, false, 2*Second)
	b.Begin(now, handle)
	id := front.sentTo[len(front.sentTo)-1]
	for number := 0; b.requests.lookup(handle) != nil && number < 5; number++ {
		b.AttemptEnded(now, handle, AttemptNo(number), front.sentTo[len(front.sentTo)-1], outcome, elapsed, outcome == Succeeded)
	}
	return id
}

// A spilled key costs its full work at another endpoint, which does not have it cached, so it must not spill to
// endpoints that are loaded already.
func TestSpillsOnlyToLightlyLoadedEndpoints(t *testing.T) {
	b, front := newTestBalancer(testMembers(3, "a"))
	for i := range b.table.endpoints {
		// All endpoints have the same load.
		b.table.endpoints[i].latencyRatio, b.table.endpoints[i].limit, b.concurrency.latenessMean = 0.6, 2, 0.6
	}
	for range 3 {
		b.Begin(2*Second, b.Admit(2*Second, 0, NoTenant, "hot", false, Second))
	}
	if n := len(slices.Compact(front.sentTo)); n != 1 {
		t.Errorf("requests with the same key went to %d endpoints although all are loaded", n)
	}
}

// Before the first endpoint list, requests must not wait beyond their deadlines or stay in the pool.
func TestRequestsWithoutEndpointsAreAnsweredBeforeTheDeadline(t *testing.T) {
	front := &recordingFront{}
	b := New(front, testSettings(), 7, 0)
	b.Begin(0, b.Admit(0, 0, NoTenant, "k", false, Second/2))
	b.Begin(0, b.Admit(0, 0, NoTenant, "k", false, Millisecond))
	b.Woken(Second/2 - b.settings.answerMargin())
	if front.answered != 2 || len(b.requests.free) != len(b.requests.entries) {
		t.Errorf("%d of 2 requests answered; %d request pool entries, of which %d are free",
			front.answered, len(b.requests.entries), len(b.requests.free))
	}
}

// With 700 instances whose cold budgets all started at zero, a cold endpoint was sent nothing for a long time, then
// too much at once. Its attempts must stay within what it can take and must not stop for long.
func TestManyInstancesStayWithinTheColdBudget(t *testing.T) {
	const instances, start = 400, 31 * Second
	var balancers [instances]*Balancer
	var fronts [instances]recordingFront
	for i := range balancers {
		settings := testSettings()
		settings.Instances = instances
		balancers[i] = New(&fronts[i], settings, uint64(i)*7919+3, Second)
		balancers[i].UpdateEndpoints(Second, ListFull, testMembers(10, "a"))
	}
	random, attempts := rand.New(rand.NewSource(4)), [20]float64{}
	for now := Second; now < start+20*Second; now += Second / 2 {
		for i, b := range balancers {
			if now == start {
				b.UpdateEndpoints(now, ListChanges, []Member{{ID: 1, Weight: 2, Zone: "a", Started: now}})
			}
			to := sendRequest(b, &fronts[i], now, fmt.Sprint(random.Intn(500)), Succeeded, 100*Millisecond)
			if now >= start && to == 1 {
				attempts[(now-start)/Second]++
			}
		}
	}
	for second, n := range attempts {
		// Two requests per second from each instance over ten endpoints, with some tolerance for chance.
		capacity := 2.0 * instances / 10 * (0.1 + 0.9*float64(second+1)/20)
		if n > 1.2*3*capacity+5 {
			t.Errorf("%.0f attempts in second %d to a cold endpoint with a capacity of %.1f", n, second, capacity)
		}
		if second >= 3 && attempts[second-3]+attempts[second-2]+attempts[second-1]+n == 0 {
			t.Errorf("the cold endpoint got no attempt in the four seconds up to second %d", second)
		}
	}
}

// The cost of an ordinary request must not depend on the number of endpoints.
func BenchmarkRequestAt300Endpoints(b *testing.B) {
	balancer, front := newTestBalancer(testMembers(300, "a"))
	b.ReportAllocs()
	key := []byte("....")
	for i := range b.N {
		key[i%4] = byte('a' + i%23)
		sendRequest(balancer, front, 2*Second+Time(i)*Millisecond, string(key), Succeeded, Millisecond)
		front.sentTo = front.sentTo[:0]
	}
}

// A client error says nothing about the endpoint, and the request is not retried.
func TestDeclinedIsNotAFailureOfTheEndpoint(t *testing.T) {
	b, front := newTestBalancer(testMembers(4, "a"))
	for i := range 100 {
		now := 2*Second + Time(i)*Millisecond
		handle := b.Admit(now, 0, NoTenant, fmt.Sprint(i), false, 2*Second)
		b.Begin(now, handle)
		b.AttemptEnded(now, handle, 0, front.sentTo[len(front.sentTo)-1], Declined, Millisecond, false)
		if b.requests.lookup(handle) != nil || len(front.sentTo) != i+1 {
			t.Fatalf("a declined request was not released or was attempted again: %d attempts for %d requests",
				len(front.sentTo), i+1)
		}
	}
	if b.ejected > 0 || b.concurrency.latenessMean > 0 || front.answered > 0 {
		t.Errorf("declined attempts: %d endpoints ejected, lateness %.2f, %d requests rejected or failed; want all 0",
			b.ejected, b.concurrency.latenessMean, front.answered)
	}
}

// Endpoints that keep coming back under new ids must not fill the memory: the state of removed endpoints is dropped.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	b, front := newTestBalancer(testMembers(4, "a"))
	for day := range 50 {
		now := Time(day+1) * 40 * Second
		next := testMembers(4, "a")
		for i := range next {
			next[i].ID += EndpointID(1000 * day)
		}
		b.UpdateEndpoints(now, ListFull, next)
		sendRequest(b, front, now, fmt.Sprint(day), Succeeded, Millisecond)
		if id := front.sentTo[len(front.sentTo)-1]; id/1000 != EndpointID(day) {
			t.Fatalf("endpoint %d, which is no longer listed, got an attempt on day %d", id, day)
		}
	}
	if forgotten := front.forgotten; len(b.table.endpoints) > 12 || len(b.table.indexes) > 12 || forgotten < 4*47 {
		t.Errorf("the table has %d endpoint entries and %d ids; the front was told to forget %d endpoints",
			len(b.table.endpoints), len(b.table.indexes), forgotten)
	}
	owned := map[EndpointID]int{}
	for _, index := range b.table.owners {
		owned[b.table.endpoints[index].ID]++
	}
	if len(owned) > 8 {
		t.Errorf("the slots of the table belong to %d endpoints", len(owned))
	}
}

// Before its first answers, an instance has seen no successes from which to derive the queue length. It must
// nevertheless queue requests rather than reject them.
func TestRequestsWaitForTheFirstAnswers(t *testing.T) {
	b, front := newTestBalancer(testMembers(1, "a"))
	for i := range initialEndpointLimit + 3 {
		b.Begin(2*Second, b.Admit(2*Second, 0, NoTenant, fmt.Sprint(i), false, 2*Second))
	}
	if len(front.sentTo) != initialEndpointLimit || len(b.queue.waiting) != 3 || front.answered != 0 {
		t.Errorf("%d requests attempted, %d queued, %d rejected",
			len(front.sentTo), len(b.queue.waiting), front.answered)
	}
}

// A successor takes over limits and failure counts. The budgets of cold endpoints must not be doubled, because the old
// and the new process send attempts at the same time.
func TestLearnedStateIsPassedToTheSuccessor(t *testing.T) {
	members := testMembers(4, "a")
	members[3].Started = 100 * Second
	old, _ := newTestBalancer(members)
	now := 102 * Second
	old.UpdateEndpoints(now, ListFull, members)
	for i := range old.table.endpoints {
		old.table.endpoints[i].limit, old.table.endpoints[i].failures, old.table.endpoints[i].coldBudget = 9, i, 0.8
	}
	old.successes, old.warmup.rate, old.classes[0].meanLatency, old.recentKeys.keys[0], old.recentKeys.count = rateMeter{40, now}, 10, 7e6, 77, 1
	successor, _ := newTestBalancer(members)
	successor.UpdateEndpoints(now, ListFull, members)
	state := old.ExportState(now)
	members[1].Started = now // this endpoint has restarted since the export
	successor.UpdateEndpoints(now, ListFull, members)
	successor.ImportState(now, state)
	for i := range successor.table.endpoints {
		if e := &successor.table.endpoints[i]; i != 1 && (e.limit != 9 || e.failures != i) || i == 1 && (e.limit != initialEndpointLimit || e.failures != 0) {
			t.Errorf("the successor has the wrong limit or failure count for endpoint %d: %+v", i, e)
		}
	}
	if cold := old.table.endpoints[3].coldBudget + successor.table.endpoints[3].coldBudget; cold > 0.8 || old.successes.rate+successor.successes.rate > 40 || old.warmup.rate+successor.warmup.rate > 40 || successor.classes[0].meanLatency != 7e6 ||
		successor.recentKeys.observe(77) == 0 {
		t.Errorf("sum of the cold budgets %v; success rates: old %v, successor %v; mean latency of the successor %v",
			cold, old.successes.rate, successor.successes.rate, successor.classes[0].meanLatency)
	}
	state.Endpoints[2].EjectedUntil = now - 50*Second // by the clock of a process that started before the system clock was set ahead
	if state.ShiftTimes(51 * Second); state.Endpoints[2].EjectedUntil != now+Second || state.Endpoints[3].EjectedUntil != 0 {
		t.Errorf("ejected until %v after now, want %v", state.Endpoints[2].EjectedUntil-now, Second)
	}
	now += Second // a state with more classes is ignored
	state.MeanLatency = append(state.MeanLatency, 1)
	other, _ := newTestBalancer(members)
	if other.ImportState(now, state); other.classes[0].meanLatency == 7e6 {
		t.Error("a state with another number of classes was taken over")
	}
}

// A request that may have run and is not allowed on any endpoint must be answered at once, not queued until its time
// in the queue ends.
func TestRequestsWithoutAllowedEndpointAreAnsweredAtOnce(t *testing.T) {
	for idempotency, want := range map[Idempotency]int{NonIdempotent: 1, Idempotent: 0} {
		b, front := newTestBalancer(testMembers(3, "a"))
		b.settings.Classes[0].Idempotency = idempotency
		handle := b.Admit(2*Second, 0, NoTenant, "k", false, 2*Second)
		b.Begin(2*Second, handle)
		b.AttemptEnded(2*Second+Millisecond, handle, 0, front.sentTo[0], ConnectionLost, Millisecond, false)
		if front.answered != want || len(b.queue.waiting) != 0 {
			t.Errorf("idempotency %d: %d requests rejected or failed, %d queued",
				idempotency, front.answered, len(b.queue.waiting))
		}
	}
}

// holdingFront is a front that records the attempts in flight and counts the attempts sent, by endpoint.
type holdingFront struct {
	recordingFront
	inFlight map[EndpointID][]Handle
	sent     map[EndpointID]int
}

func (f *holdingFront) Attempt(handle Handle, id EndpointID, _ Time) {
	f.inFlight[id] = append(f.inFlight[id], handle)
	f.sent[id]++
}

// If hardly any endpoint is warm, the success rate of warm endpoints gives cold ones next to no budget, and requests
// are rejected. The budget of a cold endpoint must also grow with that endpoint's own successes. Here all endpoints
// start at once, and each answers eight requests per second.
func TestColdBudgetGrowsByOwnSuccesses(t *testing.T) {
	const perSecond, seconds = 8, 15
	front := &holdingFront{inFlight: map[EndpointID][]Handle{}}
	b, members := New(front, testSettings(), 7, Second), testMembers(4, "a")
	for i := range members {
		members[i].Started = Second
	}
	b.UpdateEndpoints(Second, ListFull, members)
	for second := range Time(seconds) {
		front.sent = map[EndpointID]int{}
		for i := range Time(perSecond) {
			now := (1+second)*Second + (i+1)*Second/perSecond
			for n := range Time(40) {
				at := now - Second/perSecond + n*3*Millisecond
				b.Begin(at, b.Admit(at, 0, NoTenant, fmt.Sprint(n), false, Second))
			}
			for _, member := range members {
				b.table.endpoints[b.table.indexes[member.ID]].limit = 1000 // only the cold budget limits attempts
				if inFlight := front.inFlight[member.ID]; len(inFlight) > 0 {
					front.inFlight[member.ID] = inFlight[1:]
					b.AttemptEnded(now, inFlight[0], 0, member.ID, Succeeded, 50*Millisecond, true)
				}
			}
			b.Woken(now)
		}
		for _, member := range members {
			if n := front.sent[member.ID]; n > 3*perSecond || second == seconds-1 && n < perSecond/2 {
				t.Errorf("second %d: %d attempts to endpoint %d, which answers %d per second", second, n, member.ID, perSecond)
			}
		}
	}
}

// A queued request must be sent while there is still time for an answer before the client's deadline, or not at all.
func TestQueueLeavesTimeForTheAnswer(t *testing.T) {
	b, front := newTestBalancer(testMembers(1, "a"))
	var handles []Handle
	for i := range initialEndpointLimit + 1 {
		handles = append(handles, b.Admit(2*Second, 0, NoTenant, fmt.Sprint(i), false, 600*Millisecond))
		b.Begin(2*Second, handles[i])
	}
	at := 2*Second + 600*Millisecond - b.settings.answerMargin() - Time(b.classes[0].meanLatency) + Millisecond
	b.AttemptEnded(at, handles[0], 0, front.sentTo[0], Succeeded, at-2*Second, true)
	if b.Woken(at + Millisecond); len(front.sentTo) != initialEndpointLimit || front.answered != 1 {
		t.Errorf("%d requests attempted, %d rejected with a sixth of the client's time left",
			len(front.sentTo), front.answered)
	}
}

// An attempt may time out early, at twice the target latency, so that another can follow, but only where cancelling
// stops the endpoint's work. Otherwise two endpoints work on one request, and all instances do this at once.
func TestAttemptsTimeOutEarlyOnlyWhereCancellingStopsWork(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		settings := testSettings()
		settings.MayCancel = mayCancel
		front := &timeoutFront{}
		b := New(front, settings, 7, Second)
		b.UpdateEndpoints(Second, ListFull, testMembers(10, "a"))
		b.Begin(2*Second, b.Admit(2*Second, 0, NoTenant, "k", false, 10*Second))
		if early := front.timeout < 9*Second; early != mayCancel {
			t.Errorf("MayCancel %v: the attempt has a timeout of %v ns, the client a deadline of 10 s",
				mayCancel, front.timeout)
		}
	}
}

// timeoutFront is a front that records the timeout of the latest attempt.
type timeoutFront struct {
	recordingFront
	timeout Time
}

func (f *timeoutFront) Attempt(handle Handle, id EndpointID, timeout Time) {
	f.recordingFront.Attempt(handle, id, timeout)
	f.timeout = timeout
}
