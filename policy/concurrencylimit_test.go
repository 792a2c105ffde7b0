package policy

import (
	"fmt"
	"testing"
)

// Late answers must reduce an endpoint's limit. Quick answers of an endpoint that is nearly idle must not raise it
// far, or the next burst overloads the endpoint.
func TestEndpointLimitsFollowLatency(t *testing.T) {
	for _, test := range []struct {
		requests          int
		interval, elapsed Time
		maxLimit          float64
	}{{20, Second / 10, 9 * Second / 10, 1.5}, {100, Second / 100, Second / 100, initialEndpointLimit + 1}} {
		b, front := newTestBalancer(testMembers(1, "a"))
		for i := range test.requests {
			sendRequest(b, front, 2*Second+Time(i)*test.interval, fmt.Sprint(i), Succeeded, test.elapsed)
		}
		if limit := b.table.endpoints[0].limit; limit > test.maxLimit {
			t.Errorf("endpoint limit is %.1f after %d answers that took %dms each",
				limit, test.requests, test.elapsed/Millisecond)
		}
	}
}

// Even one attempt in flight from each of many instances can keep all endpoints overloaded, so the limit must be able
// to fall below 1. It must recover afterwards.
func TestConcurrencyLimitFollowsLateness(t *testing.T) {
	b, front := newTestBalancer(testMembers(20, "a"))
	b.settings.Instances = 100
	for i := range 2060 {
		now, elapsed := Time(i+2)*Second, 10*Millisecond
		if i < 60 {
			elapsed = Second
		}
		sendRequest(b, front, now, fmt.Sprint(i), Succeeded, elapsed)
		if i == 59 && (b.concurrency.limit >= 1 || b.concurrency.allows(now)) {
			t.Errorf("after a minute of late answers, the limit is %.2f, want below 1 and a pause", b.concurrency.limit)
		}
	}
	if b.concurrency.limit < 1 {
		t.Errorf("after many early answers, the limit is %.2f, want at least 1", b.concurrency.limit)
	}
}

// Where answers take a large part of the target latency even without load, and late answers have no value, the limit
// fell to one or two attempts although no endpoint was at its limit. The baseline latency must not count as lateness.
// Instances with shared connections see more of each endpoint, and their limit still falls.
func TestConcurrencyLimitAllowsALongBaselineLatency(t *testing.T) {
	for streams, reduced := range map[int]bool{1: false, 100: true} {
		b, front := newTestBalancer(testMembers(20, "a"))
		b.settings.Instances, b.settings.StreamsPerConnection = 100, streams
		target := b.settings.Classes[0].Target
		b.concurrency.latenessBound = strictLatenessBound
		for i := range 400 {
			sendRequest(b, front, Time(i+2)*Second, fmt.Sprint(i), Succeeded, target*Time(52+6*(i%2))/100)
		}
		if b.concurrency.latenessMean < strictLatenessBound || b.concurrency.latenessMean > 0.62 || (b.concurrency.limit < 1) != reduced {
			t.Errorf("with %d streams for each connection: limit %.2f, mean lateness %.2f, baseline latency %.2f",
				streams, b.concurrency.limit, b.concurrency.latenessMean, b.baseline)
		}
	}
}

// A lost data centre refuses a dozen connections at once, and corrupt answers come from all endpoints alike. If either
// reduced the concurrency limit and the endpoints' limits, endpoints with room would be idle.
func TestOnlySignsOfLoadReduceTheLimits(t *testing.T) {
	for test, want := range map[struct {
		outcome Outcome
		load    float64
	}]bool{{outcome: NotConnected}: false, {outcome: Errored}: false, {outcome: ConnectionLost}: false, {outcome: TimedOut}: true,
		{outcome: Rejected}: false, {Rejected, 0.9}: true} {
		b, front := newTestBalancer(testMembers(6, "a"))
		limits, outcome := 0.0, test.outcome
		for i := range b.table.endpoints {
			b.table.endpoints[i].latencyRatio = b.baseline + test.load
		}
		for i := range 12 {
			now := Second + Time(i)*Second/2
			handle := b.Admit(now, 0, NoTenant, fmt.Sprint(i), false, 4*Second)
			b.Begin(now, handle)
			b.AttemptEnded(now+Second/3, handle, 0, front.sentTo[len(front.sentTo)-1], outcome, Second/3, true)
		}
		for _, e := range b.table.endpoints {
			limits += e.limit
		}
		if b.concurrency.latenessMean > 0.5 != want || limits < initialEndpointLimit*6 != want {
			t.Errorf("outcome and load %v: mean lateness %.2f, sum of the endpoints' limits %.1f",
				test, b.concurrency.latenessMean, limits)
		}
	}
}

// Single connections can stop answering. If each timeout counted as load, all limits would fall to one or two attempts
// while the endpoints are idle.
func TestLoneTimeoutsAreNoSignOfLoad(t *testing.T) {
	for laterSuccess, want := range map[bool]bool{true: false, false: true} {
		b, front := newTestBalancer(testMembers(1, "a"))
		for i := range 20 {
			sendRequest(b, front, Second+Time(i)*100*Millisecond, fmt.Sprint("calm", i), Succeeded, 10*Millisecond)
		}
		for i := range 8 {
			now := 4*Second + Time(i)*2*Second
			handle := b.Admit(now, 0, NoTenant, fmt.Sprint(i), false, 4*Second)
			b.Begin(now, handle)
			id := front.sentTo[len(front.sentTo)-1]
			if laterSuccess {
				sendRequest(b, front, now+100*Millisecond, "other", Succeeded, 10*Millisecond)
			}
			b.AttemptEnded(now+Second, handle, 0, id, TimedOut, Second, true)
		}
		if e := &b.table.endpoints[0]; b.concurrency.latenessMean > 0.5 != want || e.limit < initialEndpointLimit != want {
			t.Errorf("later attempts succeed: %v; mean lateness %.2f, endpoint limit %.1f",
				laterSuccess, b.concurrency.latenessMean, e.limit)
		}
	}
}

// Attempts on connections that have stopped answering use up the endpoint's limit until they time out. If only answers
// raised the limit, idle endpoints would stay unused.
func TestLoneTimeoutsRaiseTheLimit(t *testing.T) {
	b, front := newTestBalancer(testMembers(1, "a"))
	b.table.endpoints[0].limit = 3.9
	var handles []Handle
	for i := range 3 {
		handles = append(handles, b.Admit(4*Second, 0, NoTenant, fmt.Sprint(i), false, 4*Second))
		b.Begin(4*Second, handles[i])
	}
	id := front.sentTo[len(front.sentTo)-1]
	sendRequest(b, front, 4*Second+100*Millisecond, "other", Succeeded, Millisecond)
	for i, handle := range handles {
		b.AttemptEnded(5*Second, handle, 0, id, TimedOut, Second, true)
		if limit := b.table.endpoints[0].limit; i == 0 && (limit < 3.9+loneTimeoutGrowth || limit > 4+loneTimeoutGrowth) || limit > 4+2*loneTimeoutGrowth {
			t.Errorf("the endpoint limit is %.1f after %d lone timeouts", limit, i+1)
		}
	}
}

// Attempts whose request body is incomplete count against no limit until the body is complete. If they counted,
// clients that upload slowly would use up the limits while endpoints are idle.
func TestPendingBodiesCountAgainstNoLimit(t *testing.T) {
	b, front := newTestBalancer(testMembers(1, "a"))
	now := 2 * Second
	var handles []Handle
	for range 3 * initialEndpointLimit {
		handle := b.Admit(now, 0, NoTenant, "", false, Second)
		b.Begin(now, handle)
		b.BodyPending(now, handle, false, 0)
		handles = append(handles, handle)
	}
	if len(front.sentTo) != len(handles) || b.concurrency.inFlight != len(handles) || b.concurrency.bodyPending != len(handles) || b.table.endpoints[0].processing() != 0 {
		t.Fatalf("%d attempts sent; %d in flight, of which %d have incomplete bodies",
			len(front.sentTo), b.concurrency.inFlight, b.concurrency.bodyPending)
	}
	if b.Woken(now + 10*Second); b.requests.lookup(handles[0]).answered {
		t.Error("a request was answered before its body was complete")
	}
	now += 10 * Second
	for _, handle := range handles {
		b.BodyPending(now, handle, true, now+Second)
		b.BodyPending(now, handle, true, now+Second)
	}
	handle := b.Admit(now, 0, NoTenant, "", false, Second)
	if b.Begin(now, handle); b.processingAt(0) != len(handles) || len(front.sentTo) != len(handles) {
		t.Errorf("%d attempts count against the limit, %d were sent", b.processingAt(0), len(front.sentTo))
	}
	for _, handle := range handles {
		b.AttemptEnded(now+Millisecond, handle, 0, 1, Succeeded, Millisecond, false)
	}
	if b.concurrency.bodyPending != 0 || b.concurrency.inFlight != b.processingAt(0) || b.concurrency.inFlight > 1 {
		t.Errorf("in the end, %d attempts have incomplete bodies and %d are in flight",
			b.concurrency.bodyPending, b.concurrency.inFlight)
	}
}

// A shutdown begins before, while or after the body of a request arrives, and the attempt never ends. The request is answered before the
// end of the shutdown. Where the body was complete after the shutdown had begun, or never, its client got no answer.
func TestPendingBodiesAreAnsweredBeforeShutdownEnds(t *testing.T) {
	const now, by = 2 * Second, 3 * Second
	for shutdownAfter, name := range []string{"nothing", "the head", "the body"} {
		for steps := max(1, shutdownAfter); steps <= 2; steps++ {
			b, front := newTestBalancer(testMembers(1, "a"))
			var handle Handle
			for step := range steps + 1 {
				switch step {
				case 1:
					handle = b.Admit(now, 0, NoTenant, "", false, 60*Second)
					b.Begin(now, handle)
					b.BodyPending(now, handle, false, 0)
				case 2:
					b.BodyPending(now, handle, true, now+60*Second)
				}
				if step == shutdownAfter {
					b.Shutdown(now, by)
				}
			}
			b.Woken(by - b.settings.answerMargin())
			if len(front.sentTo) != 1 || !b.requests.lookup(handle).answered {
				t.Errorf("shutdown after %s, body complete %v: %d attempts, answered %v",
					name, steps == 2, len(front.sentTo), b.requests.lookup(handle).answered)
			}
		}
	}
}

func (b *Balancer) processingAt(index int) int { return b.table.endpoints[index].processing() }
