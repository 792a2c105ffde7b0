package policy

import (
	"fmt"
	"testing"
)

// A request that fails on every endpoint must not eject one endpoint after another. When all endpoints fail, ejecting
// most of them would only overload the others.
func TestFailuresOfOneKeyOrOfAllEndpointsEjectFew(t *testing.T) {
	for maxEjected, keys := range map[int]int{0: 1, 3: 300} {
		b, front := newTestBalancer(testMembers(6, "a"))
		for i := range 300 {
			sendRequest(b, front, 2*Second+Time(i)*Millisecond, fmt.Sprint(i%keys), Errored, Millisecond)
		}
		if ejected := b.ejected; ejected > maxEjected || maxEjected > 0 && ejected == 0 {
			t.Errorf("%d of 6 endpoints ejected for failures of %d keys", ejected, keys)
		}
	}
}

// After its ejection an endpoint may be sent one attempt at first. Without this slow start, an endpoint that still
// fails would be sent its full share again.
func TestSlowStartAfterEjection(t *testing.T) {
	b, front := newTestBalancer(testMembers(2, "a"))
	b.table.endpoints[0].slowStart = 1
	for i := range 8 {
		b.Begin(2*Second, b.Admit(2*Second, 0, NoTenant, fmt.Sprint(i), false, Second))
	}
	if b.table.endpoints[0].inFlight != 1 {
		t.Errorf("%d of %d attempts in flight to an endpoint at the start of its slow start", b.table.endpoints[0].inFlight, len(front.sentTo))
	}
}

// In a large fleet an instance may see an endpoint's answer only once in a minute, so waiting for three failures takes
// too long.
func TestSingleFailureEjectsWhereAnswersAreRare(t *testing.T) {
	b, front := balancerAfter(200, 200)
	handle := b.Admit(60*Second, 0, NoTenant, "one", false, 2*Second)
	b.Begin(60*Second, handle)
	id := front.sentTo[len(front.sentTo)-1]
	b.AttemptEnded(61*Second, handle, 0, id, TimedOut, Second, false)
	if until := b.table.endpoints[b.table.indexes[id]].ejectedUntil; until < 70*Second {
		t.Errorf("after the only failure in a minute, the endpoint is ejected until %d ns, want at least 70 s", until)
	}
}

// An endpoint that shuts down may reject everything for seconds before the list shows that it leaves. It must be
// ejected, or every instance keeps sending it attempts. An endpoint that rejects because of load must not be ejected.
func TestEndpointsThatRejectBeforeTheyAreUnlistedAreEjected(t *testing.T) {
	for load, want := range map[float64]int{0: 1, 0.9: 0} {
		b, front := newTestBalancer(testMembers(4, "a"))
		for i := range 40 {
			sendRequest(b, front, 2*Second+Time(i)*Millisecond, fmt.Sprint(i), Succeeded, 100*Millisecond)
		}
		b.table.endpoints[0].latencyRatio = b.baseline + load
		rejected := 0
		for i := range 200 {
			now := 3*Second + Time(i)*5*Millisecond
			handle := b.Admit(now, 0, NoTenant, fmt.Sprint(i), false, 4*Second)
			b.Begin(now, handle)
			for number := 0; b.requests.lookup(handle) != nil && number < 3; number++ {
				outcome, id := Succeeded, front.sentTo[len(front.sentTo)-1]
				if id == b.table.endpoints[0].ID {
					outcome, rejected = Rejected, rejected+1
				}
				b.AttemptEnded(now, handle, AttemptNo(number), id, outcome, 100*Millisecond, outcome == Succeeded)
			}
		}
		if b.maintain(4 * Second); b.ejected != want || want > 0 && (rejected > ejectAfter || b.concurrency.latenessMean > 0.5) {
			t.Errorf("load %.1f: %d endpoints ejected, %d attempts rejected, mean lateness %.2f",
				load, b.ejected, rejected, b.concurrency.latenessMean)
		}
	}
}

// An attempt may time out because its client's deadline is shorter than answers take: in one run 2,182 attempts were
// sent with 84 ms left of their clients' 100 ms, timed out, and ejected healthy endpoints.
func TestTimeoutsFromShortDeadlinesDoNotCount(t *testing.T) {
	b, front := newTestBalancer(testMembers(1, "a"))
	for i := range 20 {
		sendRequest(b, front, Second+Time(i)*500*Millisecond, fmt.Sprint("usual", i), Succeeded, 300*Millisecond)
	}
	before := b.concurrency.latenessMean
	for i := range 4 {
		now := 12*Second + Time(i)*Second
		handle := b.Admit(now, 0, NoTenant, fmt.Sprint(i), false, 100*Millisecond)
		b.Begin(now, handle)
		b.AttemptEnded(now+84*Millisecond, handle, 0, front.sentTo[len(front.sentTo)-1], TimedOut, 84*Millisecond, true)
	}
	if e := &b.table.endpoints[0]; e.ejectedUntil > 0 || e.limit < initialEndpointLimit || b.concurrency.latenessMean > before {
		t.Errorf("endpoint ejected until %d ns, limit %.1f; mean lateness %.2f after the timeouts, %.2f before",
			e.ejectedUntil, e.limit, b.concurrency.latenessMean, before)
	}
}
