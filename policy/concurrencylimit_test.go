package policy

import (
	"fmt"
	"testing"
)

// Limits grown in idle times, by short answers, choked the endpoints once a burst came.
func TestLimitsFollowAnswers(t *testing.T) {
	for _, c := range []struct {
		n           int
		every, took Time
		most        float64
	}{{20, Second / 10, 9 * Second / 10, 1.5}, {100, Second / 100, Second / 100, initialEndpointLimit + 1}} {
		b, q := newTestBalancer(testMembers(1, "a"))
		for i := range c.n {
			sendRequest(b, q, 2*Second+Time(i)*c.every, fmt.Sprint(i), Succeeded, c.took)
		}
		if l := b.table.endpoints[0].limit; l > c.most {
			t.Errorf("limit %.1f after %d answers of %dms", l, c.n, c.took/Millisecond)
		}
	}
}

// One attempt from each to each endpoint kept all endpoints choked.
func TestConcurrencyLimitFollowsLateness(t *testing.T) {
	b, q := newTestBalancer(testMembers(20, "a"))
	b.settings.Instances = 100
	for i := range 2060 {
		now, took := Time(i+2)*Second, 10*Millisecond
		if i < 60 {
			took = Second
		}
		sendRequest(b, q, now, fmt.Sprint(i), Succeeded, took)
		if i == 59 && (b.concurrency.limit >= 1 || b.concurrency.allows(now)) {
			t.Errorf("limit %.2f, and no pause, after a minute of late answers", b.concurrency.limit)
		}
	}
	if b.concurrency.limit < 1 {
		t.Errorf("limit %.2f after long idleness", b.concurrency.limit)
	}
}

// jhb-vouchers: where work alone takes a good part of the target latency, and late answers earn nothing, the limit
// fell to an attempt or two though no endpoint was short of room. What an unloaded answer takes is no lateness;
// instances with shared connections, which see more of each endpoint, stay as they were.
func TestConcurrencyLimitLeavesLongWorkItsTime(t *testing.T) {
	for streams, cut := range map[int]bool{1: false, 100: true} {
		b, q := newTestBalancer(testMembers(20, "a"))
		b.settings.Instances, b.settings.StreamsPerConnection = 100, streams
		target := b.settings.Classes[0].Target
		b.concurrency.latenessBound = strictLatenessBound
		for i := range 400 {
			sendRequest(b, q, Time(i+2)*Second, fmt.Sprint(i), Succeeded, target*Time(52+6*(i%2))/100)
		}
		if b.concurrency.latenessMean < strictLatenessBound || b.concurrency.latenessMean > 0.62 || (b.concurrency.limit < 1) != cut {
			t.Errorf("streams %d: limit %.2f at a mean of %.2f of the target latency, unloaded %.2f", streams, b.concurrency.limit, b.concurrency.latenessMean, b.baseline)
		}
	}
}

// A lost data centre refuses a dozen connections at once, and spoilt answers come from any endpoint alike: with the
// limit and limits cut for either, endpoints with room stood idle.
func TestOnlySignsOfLoadReduceTheLimits(t *testing.T) {
	for at, want := range map[struct {
		o    Outcome
		load float64
	}]bool{{o: NotConnected}: false, {o: Errored}: false, {o: ConnectionLost}: false, {o: TimedOut}: true,
		{o: Rejected}: false, {Rejected, 0.9}: true} {
		b, q := newTestBalancer(testMembers(6, "a"))
		limits, o := 0.0, at.o
		for i := range b.table.endpoints {
			b.table.endpoints[i].latencyRatio = b.baseline + at.load
		}
		for i := range 12 {
			now := Second + Time(i)*Second/2
			h := b.Admit(now, 0, NoTenant, fmt.Sprint(i), false, 4*Second)
			b.Begin(now, h)
			b.AttemptEnded(now+Second/3, h, 0, q.sentTo[len(q.sentTo)-1], o, Second/3, true)
		}
		for _, s := range b.table.endpoints {
			limits += s.limit
		}
		if b.concurrency.latenessMean > 0.5 != want || limits < initialEndpointLimit*6 != want {
			t.Errorf("outcome %v: lateness %.2f, limits %.1f in all", at, b.concurrency.latenessMean, limits)
		}
	}
}

// Connections fall silent one by one; with each counted as load, all limits fell to an attempt or two before idle
// endpoints.
func TestLoneTimeOutsAreNoSignOfLoad(t *testing.T) {
	for later, want := range map[bool]bool{true: false, false: true} {
		b, q := newTestBalancer(testMembers(1, "a"))
		for i := range 20 {
			sendRequest(b, q, Second+Time(i)*100*Millisecond, fmt.Sprint("calm", i), Succeeded, 10*Millisecond)
		}
		for i := range 8 {
			now := 4*Second + Time(i)*2*Second
			h := b.Admit(now, 0, NoTenant, fmt.Sprint(i), false, 4*Second)
			b.Begin(now, h)
			id := q.sentTo[len(q.sentTo)-1]
			if later {
				sendRequest(b, q, now+100*Millisecond, "other", Succeeded, 10*Millisecond)
			}
			b.AttemptEnded(now+Second, h, 0, id, TimedOut, Second, true)
		}
		if s := &b.table.endpoints[0]; b.concurrency.latenessMean > 0.5 != want || s.limit < initialEndpointLimit != want {
			t.Errorf("later attempts successful %v: lateness %.2f, limit %.1f", later, b.concurrency.latenessMean, s.limit)
		}
	}
}

// Attempts on silent connections hold places until they time out; limits that grow by answers alone left idle
// endpoints unused.
func TestLoneTimeOutsRaiseTheLimit(t *testing.T) {
	b, q := newTestBalancer(testMembers(1, "a"))
	b.table.endpoints[0].limit = 3.9
	var silent []Handle
	for i := range 3 {
		silent = append(silent, b.Admit(4*Second, 0, NoTenant, fmt.Sprint(i), false, 4*Second))
		b.Begin(4*Second, silent[i])
	}
	id := q.sentTo[len(q.sentTo)-1]
	sendRequest(b, q, 4*Second+100*Millisecond, "other", Succeeded, Millisecond)
	for i, h := range silent {
		b.AttemptEnded(5*Second, h, 0, id, TimedOut, Second, true)
		if l := b.table.endpoints[0].limit; i == 0 && (l < 3.9+loneTimeoutGrowth || l > 4+loneTimeoutGrowth) || l > 4+2*loneTimeoutGrowth {
			t.Errorf("limit %.1f after %d lone time-outs", l, i+1)
		}
	}
}

// Bodies that are still coming count for no limit, and do once they are complete.
func TestPendingBodiesCountForNoLimit(t *testing.T) {
	b, q := newTestBalancer(testMembers(1, "a"))
	now := 2 * Second
	var slow []Handle
	for range 3 * initialEndpointLimit {
		h := b.Admit(now, 0, NoTenant, "", false, Second)
		b.Begin(now, h)
		b.BodyPending(h, false, 0)
		slow = append(slow, h)
	}
	if len(q.sentTo) != len(slow) || b.concurrency.inFlight != len(slow) || b.concurrency.bodyPending != len(slow) || b.table.endpoints[0].processing() != 0 {
		t.Fatalf("%d attempted, %d in flight, %d pending", len(q.sentTo), b.concurrency.inFlight, b.concurrency.bodyPending)
	}
	if b.Woken(now + 10*Second); b.requests.lookup(slow[0]).answered {
		t.Error("answered before its body was complete")
	}
	now += 10 * Second
	for _, h := range slow {
		b.BodyPending(h, true, now+Second)
		b.BodyPending(h, true, now+Second)
	}
	h := b.Admit(now, 0, NoTenant, "", false, Second)
	if b.Begin(now, h); b.processingAt(0) != len(slow) || len(q.sentTo) != len(slow) {
		t.Errorf("%d busy, %d attempted", b.processingAt(0), len(q.sentTo))
	}
	for _, h := range slow {
		b.AttemptEnded(now+Millisecond, h, 0, 1, Succeeded, Millisecond, false)
	}
	if b.concurrency.bodyPending != 0 || b.concurrency.inFlight != b.processingAt(0) || b.concurrency.inFlight > 1 {
		t.Errorf("%d pending, %d in flight", b.concurrency.bodyPending, b.concurrency.inFlight)
	}
}

func (b *Balancer) processingAt(p int) int { return b.table.endpoints[p].processing() }
