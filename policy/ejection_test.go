package policy

import (
	"fmt"
	"testing"
)

// A request that fails wherever it goes ejected one endpoint after another; and when all endpoints fail, setting
// most only crowds the rest.
func TestFailuresOfOneKeyOrOfAllEjectFew(t *testing.T) {
	for most, keys := range map[int]int{0: 1, 3: 300} {
		b, q := newTestBalancer(testMembers(6, "a"))
		for i := range 300 {
			sendRequest(b, q, 2*Second+Time(i)*Millisecond, fmt.Sprint(i%keys), Errored, Millisecond)
		}
		if n := b.ejected; n > most || most > 0 && n == 0 {
			t.Errorf("%d of 6 endpoints ejected for failures of %d keys", n, keys)
		}
	}
}

// An endpoint back from being ejected is in slow start: what may be in flight to it doubles.
func TestSlowStartAfterEjection(t *testing.T) {
	b, q := newTestBalancer(testMembers(2, "a"))
	b.table.endpoints[0].slowStart = 1
	for i := range 8 {
		b.Begin(2*Second, b.Admit(2*Second, 0, NoTenant, fmt.Sprint(i), false, Second))
	}
	if b.table.endpoints[0].inFlight != 1 {
		t.Errorf("%d of %d attempts in flight to an endpoint that just returned", b.table.endpoints[0].inFlight, len(q.sentTo))
	}
}

// At full size an instance that hears of an endpoint once in a minute judged it by three failures.
func TestSingleFailureEjectsWhereAnswersAreRare(t *testing.T) {
	b, q := balancerAfter(200, 200)
	h := b.Admit(60*Second, 0, NoTenant, "one", false, 2*Second)
	b.Begin(60*Second, h)
	id := q.sentTo[len(q.sentTo)-1]
	b.AttemptEnded(61*Second, h, 0, id, TimedOut, Second, false)
	if till := b.table.endpoints[b.table.indexes[id]].ejectedUntil; till < 70*Second {
		t.Errorf("ejected until %d after the one failure seen in a minute", till)
	}
}

// A release takes endpoints out seconds before the list says so: each rejected all it was sent, and every instance,
// again and again.
func TestEndpointsThatLeaveBeforeTheListKnows(t *testing.T) {
	for load, want := range map[float64]int{0: 1, 0.9: 0} {
		b, q := newTestBalancer(testMembers(4, "a"))
		for i := range 40 {
			sendRequest(b, q, 2*Second+Time(i)*Millisecond, fmt.Sprint(i), Succeeded, 100*Millisecond)
		}
		b.table.endpoints[0].latencyRatio = b.baseline + load
		away := 0
		for i := range 200 {
			now := 3*Second + Time(i)*5*Millisecond
			h := b.Admit(now, 0, NoTenant, fmt.Sprint(i), false, 4*Second)
			b.Begin(now, h)
			for n := 0; b.requests.lookup(h) != nil && n < 3; n++ {
				o, to := Succeeded, q.sentTo[len(q.sentTo)-1]
				if to == b.table.endpoints[0].ID {
					o, away = Rejected, away+1
				}
				b.AttemptEnded(now, h, AttemptNo(n), to, o, 100*Millisecond, o == Succeeded)
			}
		}
		if b.maintain(4 * Second); b.ejected != want || want > 0 && (away > ejectAfter || b.concurrency.latenessMean > 0.5) {
			t.Errorf("load %.1f: %d ejected, %d rejected, lateness %.2f", load, b.ejected, away, b.concurrency.latenessMean)
		}
	}
}

// Full fleet, join+mass: 2,182 attempts left with 84 ms of their clients' 100, timed out, and healthy endpoints were
// ejected by them.
func TestShortDeadlinesAreNoSignOfTheEndpoint(t *testing.T) {
	b, q := newTestBalancer(testMembers(1, "a"))
	for i := range 20 {
		sendRequest(b, q, Second+Time(i)*500*Millisecond, fmt.Sprint("usual", i), Succeeded, 300*Millisecond)
	}
	was := b.concurrency.latenessMean
	for i := range 4 {
		now := 12*Second + Time(i)*Second
		h := b.Admit(now, 0, NoTenant, fmt.Sprint(i), false, 100*Millisecond)
		b.Begin(now, h)
		b.AttemptEnded(now+84*Millisecond, h, 0, q.sentTo[len(q.sentTo)-1], TimedOut, 84*Millisecond, true)
	}
	if s := &b.table.endpoints[0]; s.ejectedUntil > 0 || s.limit < initialEndpointLimit || b.concurrency.latenessMean > was {
		t.Errorf("ejected until %d, limit %.1f, lateness %.2f after %.2f", s.ejectedUntil, s.limit, b.concurrency.latenessMean, was)
	}
}
