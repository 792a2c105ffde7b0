package policy

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"
)

// recordingFront is a front that remembers the last attempt and answers nothing.
type recordingFront struct {
	simulation
	sentTo    []EndpointID
	answered  int
	forgotten int
	released  int
}

func (q *recordingFront) Attempt(_ Handle, s EndpointID, _ Time) { q.sentTo = append(q.sentTo, s) }
func (q *recordingFront) Reject(Handle, Time)                    { q.answered++ }
func (q *recordingFront) Fail(Handle)                            { q.answered++ }
func (q *recordingFront) Wake(Time)                              {}
func (q *recordingFront) FollowList(bool)                        {}
func (q *recordingFront) Release(EndpointID)                     { q.released++ }
func (q *recordingFront) Forget(EndpointID)                      { q.forgotten++ }

func TestRulesAgainstPlainModel(t *testing.T) {
	kinds := map[string]int{}
	check := func(seed int64) bool {
		w := simulate(seed)
		for k, n := range w.eventCounts {
			kinds[k] += n
		}
		if w.violation != "" {
			t.Errorf("seed %d: %s", seed, w.violation)
		}
		return w.violation == ""
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
	if len(kinds) < 9 {
		t.Errorf("the histories reach too little: %v", kinds)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	same := func(seed int64) bool {
		first, second := simulate(seed), simulate(seed)
		return first.trace.String() == second.trace.String()
	}
	if err := quick.Check(same, &quick.Config{MaxCount: 10, Rand: rand.New(rand.NewSource(2))}); err != nil {
		t.Error(err)
	}
}

func testMembers(n int, zones ...Zone) []Member {
	var all []Member
	for i := range n {
		all = append(all, Member{ID: EndpointID(i + 1), Weight: float64(1 + i%3), Zone: zones[i%len(zones)]})
	}
	return all
}

func testSettings() *Settings {
	return &Settings{Instances: 1, Zone: "a", FixedWeights: true, MaxAttempts: 3, Tick: 5 * Millisecond, ColdCapacity: 0.1,
		ColdTime: 20 * Second, OverloadMultiple: 3, Classes: []Class{{Name: "r", Value: 1, Target: Second}}}
}

func newTestBalancer(members []Member) (*Balancer, *recordingFront) {
	q := &recordingFront{}
	b := New(q, testSettings(), 7, Second)
	b.UpdateEndpoints(Second, ListFull, members)
	return b, q
}

func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	b, q := newTestBalancer(testMembers(300, "a"))
	q.sentTo = make([]EndpointID, 0, 5000)
	now := 2 * Second
	one := func() {
		now += 3 * Millisecond
		sendRequest(b, q, now, "call", Succeeded, Millisecond)
		b.Woken(now)
	}
	if n := testing.AllocsPerRun(2000, one); n != 0 {
		t.Errorf("%v allocations a request", n)
	}
}

// sendRequest sends a request of the given key and ends each attempt with the outcome.
func sendRequest(b *Balancer, q *recordingFront, now Time, key string, o Outcome, spent Time) EndpointID {
	h := b.Admit(now, 0, NoTenant, key, false, 2*Second)
	b.Begin(now, h)
	id := q.sentTo[len(q.sentTo)-1]
	for n := 0; b.requests.lookup(h) != nil && n < 5; n++ {
		b.AttemptEnded(now, h, AttemptNo(n), q.sentTo[len(q.sentTo)-1], o, spent, o == Succeeded)
	}
	return id
}

// oslo-skript, a fresh slow day: spilled keys are full work at endpoints that were loaded already.
func TestSpillsOnlyToLightlyLoadedEndpoints(t *testing.T) {
	b, q := newTestBalancer(testMembers(3, "a"))
	for i := range b.table.endpoints {
		b.table.endpoints[i].latencyRatio, b.table.endpoints[i].limit, b.concurrency.latenessMean = 0.6, 2, 0.6 // all alike
	}
	for range 3 {
		b.Begin(2*Second, b.Admit(2*Second, 0, NoTenant, "hot", false, Second))
	}
	if n := len(slices.Compact(q.sentTo)); n != 1 {
		t.Errorf("a key went to %d loaded endpoints", n)
	}
}

func TestNoEndpointIsAnsweredBeforeTheDeadline(t *testing.T) {
	q := &recordingFront{}
	b := New(q, testSettings(), 7, 0)
	b.Begin(0, b.Admit(0, 0, NoTenant, "k", false, Second/2))
	b.Begin(0, b.Admit(0, 0, NoTenant, "k", false, Millisecond))
	b.Woken(Second/2 - b.settings.answerMargin())
	if q.answered != 2 || len(b.requests.free) != len(b.requests.entries) {
		t.Errorf("%d answers, %d places, %d free", q.answered, len(b.requests.entries), len(b.requests.free))
	}
}

// oslo-skript at 430 endpoints: tables assigned join by join took longer than the day. Growth alone makes no drift.
// oslo-skript at 700 instances: budgets from zero gave a cold endpoint nothing for long, then all at once.
func TestManyInstancesKeepTheColdBudget(t *testing.T) {
	const instances, start = 400, 31 * Second
	var all [instances]*Balancer
	var fronts [instances]recordingFront
	for i := range all {
		c := testSettings()
		c.Instances = instances
		all[i] = New(&fronts[i], c, uint64(i)*7919+3, Second)
		all[i].UpdateEndpoints(Second, ListFull, testMembers(10, "a"))
	}
	r, sends := rand.New(rand.NewSource(4)), [20]float64{}
	for now := Second; now < start+20*Second; now += Second / 2 {
		for i, b := range all {
			if now == start {
				b.UpdateEndpoints(now, ListChanges, []Member{{ID: 1, Weight: 2, Zone: "a", Started: now}})
			}
			to := sendRequest(b, &fronts[i], now, fmt.Sprint(r.Intn(500)), Succeeded, 100*Millisecond)
			if now >= start && to == 1 {
				sends[(now-start)/Second]++
			}
		}
	}
	for second, n := range sends {
		// Two requests a second from each instance over ten endpoints; a little slack for chance.
		carries := 2.0 * instances / 10 * (0.1 + 0.9*float64(second+1)/20)
		if n > 1.2*3*carries+5 {
			t.Errorf("%.0f attempts in second %d to a cold endpoint that carries %.1f", n, second, carries)
		}
		if second >= 3 && sends[second-3]+sends[second-2]+sends[second-1]+n == 0 {
			t.Errorf("no attempt in the four seconds up to %d", second)
		}
	}
}

// The ordinary path must not look at all endpoints.
func BenchmarkRequestAt300Endpoints(b *testing.B) {
	bal, q := newTestBalancer(testMembers(300, "a"))
	b.ReportAllocs()
	key := []byte("....")
	for i := range b.N {
		key[i%4] = byte('a' + i%23)
		sendRequest(bal, q, 2*Second+Time(i)*Millisecond, string(key), Succeeded, Millisecond)
		q.sentTo = q.sentTo[:0]
	}
}

// A request that no endpoint can use says nothing of them, and is not attempted again.
func TestDeclinedIsNoFailureOfTheEndpoint(t *testing.T) {
	b, q := newTestBalancer(testMembers(4, "a"))
	for i := range 100 {
		now := 2*Second + Time(i)*Millisecond
		h := b.Admit(now, 0, NoTenant, fmt.Sprint(i), false, 2*Second)
		b.Begin(now, h)
		b.AttemptEnded(now, h, 0, q.sentTo[len(q.sentTo)-1], Declined, Millisecond, false)
		if b.requests.lookup(h) != nil || len(q.sentTo) != i+1 {
			t.Fatalf("not released, or attempted again: %d attempts of %d requests", len(q.sentTo), i+1)
		}
	}
	if b.ejected > 0 || b.concurrency.latenessMean > 0 || q.answered > 0 {
		t.Errorf("%d endpoints ejected, lateness %.2f, %d not handed on", b.ejected, b.concurrency.latenessMean, q.answered)
	}
}

// Over a long day endpoints come and go under ever new ids; what is known of those gone for good takes no room.
func TestEndpointsLongGoneAreForgotten(t *testing.T) {
	b, q := newTestBalancer(testMembers(4, "a"))
	for day := range 50 {
		now := Time(day+1) * 40 * Second
		next := testMembers(4, "a")
		for i := range next {
			next[i].ID += EndpointID(1000 * day)
		}
		b.UpdateEndpoints(now, ListFull, next)
		sendRequest(b, q, now, fmt.Sprint(day), Succeeded, Millisecond)
		if id := q.sentTo[len(q.sentTo)-1]; id/1000 != EndpointID(day) {
			t.Fatalf("attempted to endpoint %d on day %d", id, day)
		}
	}
	if n := q.forgotten; len(b.table.endpoints) > 12 || len(b.table.indexes) > 12 || n < 4*47 {
		t.Errorf("%d endpoints, %d places, %d forgotten", len(b.table.endpoints), len(b.table.indexes), n)
	}
	owned := map[EndpointID]int{}
	for _, p := range b.table.owners {
		owned[b.table.endpoints[p].ID]++
	}
	if len(owned) > 8 {
		t.Errorf("the table has slots of %d endpoints", len(owned))
	}
}

// A new instance has been successful nothing yet; it rejected what could have waited for its first answers.
func TestRequestsWaitForTheFirstAnswers(t *testing.T) {
	b, q := newTestBalancer(testMembers(1, "a"))
	for i := range initialEndpointLimit + 3 {
		b.Begin(2*Second, b.Admit(2*Second, 0, NoTenant, fmt.Sprint(i), false, 2*Second))
	}
	if len(q.sentTo) != initialEndpointLimit || len(b.queue.waiting) != 3 || q.answered != 0 {
		t.Errorf("%d attempted, %d waiting, %d rejected", len(q.sentTo), len(b.queue.waiting), q.answered)
	}
}

// A process that follows another goes on from its limits and failures, and what cold endpoints may be sent is theirs
// together.
func TestLearnedStatePassesOn(t *testing.T) {
	members := testMembers(4, "a")
	members[3].Started = 100 * Second
	old, _ := newTestBalancer(members)
	now := 102 * Second
	old.UpdateEndpoints(now, ListFull, members)
	for i := range old.table.endpoints {
		old.table.endpoints[i].limit, old.table.endpoints[i].failures, old.table.endpoints[i].coldBudget = 9, i, 0.8
	}
	old.successes, old.warmup.rate, old.classes[0].meanLatency, old.recentKeys.keys[0], old.recentKeys.count = rateMeter{40, now}, 10, 7e6, 77, 1
	next, _ := newTestBalancer(members)
	next.UpdateEndpoints(now, ListFull, members)
	state := old.ExportState(now)
	members[1].Started = now // it has started anew meanwhile
	next.UpdateEndpoints(now, ListFull, members)
	next.ImportState(now, state)
	for i := range next.table.endpoints {
		if s := &next.table.endpoints[i]; i != 1 && (s.limit != 9 || s.failures != i) || i == 1 && (s.limit != initialEndpointLimit || s.failures != 0) {
			t.Errorf("endpoint %d: %+v", i, s)
		}
	}
	if cold := old.table.endpoints[3].coldBudget + next.table.endpoints[3].coldBudget; cold > 0.8 || old.successes.rate+next.successes.rate > 40 || old.warmup.rate+next.warmup.rate > 40 || next.classes[0].meanLatency != 7e6 ||
		next.recentKeys.observe(77) == 0 {
		t.Errorf("%v saved up, %v and %v successful a second, %v", cold, old.successes.rate, next.successes.rate, next.classes[0].meanLatency)
	}
	now += Second // a longer row of classes: nothing is taken over
	state.MeanLatency = append(state.MeanLatency, 1)
	other, _ := newTestBalancer(members)
	if other.ImportState(now, state); other.classes[0].meanLatency == 7e6 {
		t.Error("taken over from another shape")
	}
}

// A request that may have run and may go nowhere any more was queued until its time for waiting was over.
func TestRequestsWithoutAllowedEndpointAreAnsweredAtOnce(t *testing.T) {
	for repeats, want := range map[Idempotency]int{NonIdempotent: 1, Idempotent: 0} {
		b, q := newTestBalancer(testMembers(3, "a"))
		b.settings.Classes[0].Idempotency = repeats
		h := b.Admit(2*Second, 0, NoTenant, "k", false, 2*Second)
		b.Begin(2*Second, h)
		b.AttemptEnded(2*Second+Millisecond, h, 0, q.sentTo[0], ConnectionLost, Millisecond, false)
		if q.answered != want || len(b.queue.waiting) != 0 {
			t.Errorf("kind %d: %d answers, %d waiting", repeats, q.answered, len(b.queue.waiting))
		}
	}
}

// holdingFront is a front that keeps what is out, by endpoint.
type holdingFront struct {
	recordingFront
	inFlight map[EndpointID][]Handle
	sent     map[EndpointID]int
}

func (k *holdingFront) Attempt(h Handle, id EndpointID, _ Time) {
	k.inFlight[id] = append(k.inFlight[id], h)
	k.sent[id]++
}

// With hardly a warm endpoint left to go by, cold ones were sent next to nothing while requests were rejected. Here
// all start at once, and each answers eight a second.
func TestColdBudgetGrowsByOwnSuccesses(t *testing.T) {
	const each, last = 8, 15
	k := &holdingFront{inFlight: map[EndpointID][]Handle{}}
	b, all := New(k, testSettings(), 7, Second), testMembers(4, "a")
	for i := range all {
		all[i].Started = Second
	}
	b.UpdateEndpoints(Second, ListFull, all)
	for second := range Time(last) {
		k.sent = map[EndpointID]int{}
		for i := range Time(each) {
			now := (1+second)*Second + (i+1)*Second/each
			for n := range Time(40) {
				at := now - Second/each + n*3*Millisecond
				b.Begin(at, b.Admit(at, 0, NoTenant, fmt.Sprint(n), false, Second))
			}
			for _, m := range all {
				b.table.endpoints[b.table.indexes[m.ID]].limit = 1000 // the budget alone is to bind
				if out := k.inFlight[m.ID]; len(out) > 0 {
					k.inFlight[m.ID] = out[1:]
					b.AttemptEnded(now, out[0], 0, m.ID, Succeeded, 50*Millisecond, true)
				}
			}
			b.Woken(now)
		}
		for _, m := range all {
			if n := k.sent[m.ID]; n > 3*each || second == last-1 && n < each/2 {
				t.Errorf("second %d: %d attempts to endpoint %d, which answers %d", second, n, m.ID, each)
			}
		}
	}
}

// What waits goes out while its client still has the time that an answer takes, or not at all.
func TestWaitingLeavesTimeForTheAnswer(t *testing.T) {
	b, q := newTestBalancer(testMembers(1, "a"))
	var out []Handle
	for i := range initialEndpointLimit + 1 {
		out = append(out, b.Admit(2*Second, 0, NoTenant, fmt.Sprint(i), false, 600*Millisecond))
		b.Begin(2*Second, out[i])
	}
	at := 2*Second + 600*Millisecond - b.settings.answerMargin() - Time(b.classes[0].meanLatency) + Millisecond
	b.AttemptEnded(at, out[0], 0, q.sentTo[0], Succeeded, at-2*Second, true)
	if b.Woken(at + Millisecond); len(q.sentTo) != initialEndpointLimit || q.answered != 1 {
		t.Errorf("%d attempted, %d rejected with a sixth of a client's patience left", len(q.sentTo), q.answered)
	}
}

// An attempt that outlasts twice the target latency is ended early for a further one only where its work can be
// stopped: else two endpoints work on one request, in every instance of the fleet at once.
func TestAttemptsAreEndedEarlyOnlyWhereWorkStops(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		c := testSettings()
		c.MayCancel = mayCancel
		front := &timeoutFront{}
		b := New(front, c, 7, Second)
		b.UpdateEndpoints(Second, ListFull, testMembers(10, "a"))
		b.Begin(2*Second, b.Admit(2*Second, 0, NoTenant, "k", false, 10*Second))
		if early := front.timeout < 9*Second; early != mayCancel {
			t.Errorf("cancel %v: an attempt is given %v of 10 s", mayCancel, front.timeout)
		}
	}
}

// timeoutFront keeps what the latest attempt is given.
type timeoutFront struct {
	recordingFront
	timeout Time
}

func (w *timeoutFront) Attempt(h Handle, id EndpointID, wait Time) {
	w.recordingFront.Attempt(h, id, wait)
	w.timeout = wait
}
