package judge

import (
	"math"
	"strings"
	"testing"

	"pepperlead/policy"
)

const sec = policy.Second

// The classes of the judge that newJudge returns.
const (
	idempotent policy.ClassID = iota
	keyedAnywhere
	keyedInZone
	keyedInCell
	nonIdempotent
)

func newJudge() *Judge {
	class := func(name string, idempotency policy.Idempotency, group policy.Group) policy.Class {
		return policy.Class{Name: name, Value: 1, LateValue: 0.5, Target: sec, Idempotency: idempotency, Group: group, Window: 2 * sec}
	}
	return New(Config{Classes: []policy.Class{
		idempotent:    class("idempotent", policy.Idempotent, 0),
		keyedAnywhere: class("keyed anywhere", policy.Keyed, policy.GroupAll),
		keyedInZone:   class("keyed in zone", policy.Keyed, policy.GroupZone),
		keyedInCell:   class("keyed in cell", policy.Keyed, policy.GroupCell),
		nonIdempotent: class("non-idempotent", policy.NonIdempotent, 0),
	},
		Instances: 2, MaxAttempts: 3, Grace: sec, OverloadMultiple: 3, OverloadWindow: sec, Length: 60 * sec}, []string{"north"})
}

// history reports the events of one request to a judge.
type history struct {
	judge   *Judge
	client  ClientRequestID
	request RequestID
	at      policy.Time // time of the next event
}

// accept begins a request at 10 s, which instance 0 accepts. Its deadline is at 14 s.
func accept(j *Judge, class policy.ClassID) *history {
	h := &history{judge: j, at: 10 * sec}
	h.client = j.ClientRequestBegun(h.at, class, 0, 1)
	h.request = j.RequestAccepted(h.at, h.client, 0, class, h.at+4*sec)
	return h
}

// attempt starts an attempt at an endpoint and ends it after 100 ms.
func (h *history) attempt(endpoint EndpointID, zone policy.Zone, cell policy.Cell, written, neverRan bool) {
	number := h.judge.AttemptStarted(h.at, h.request, endpoint, zone, cell, false)
	if written {
		h.judge.AttemptWritten(h.request, number)
	}
	h.at += sec / 10
	h.judge.AttemptEnded(h.request, number, neverRan)
}

// Each violation is reported with its rule, request and time; what the rules allow is not reported.
func TestViolations(t *testing.T) {
	for _, test := range []struct {
		name   string
		rule   int // 0: no violation
		what   string
		events func(j *Judge)
	}{
		{"answered once", 0, "", func(j *Judge) {
			h := accept(j, idempotent)
			h.attempt(1, "a", 1, true, false)
			j.RequestAnswered(h.at, h.request, h.client, Succeeded)
			j.DeadlinePassed(h.at+4*sec, h.request, h.client)
		}},
		{"answered exactly at the deadline", 0, "", func(j *Judge) {
			h := accept(j, idempotent)
			j.RequestAnswered(14*sec, h.request, h.client, Failed)
			j.DeadlinePassed(14*sec, h.request, h.client)
		}},
		{"answered after the deadline", 1, "after its cut-off", func(j *Judge) {
			h := accept(j, idempotent)
			j.RequestAnswered(14*sec+1, h.request, h.client, Failed)
		}},
		{"never answered", 1, "no final answer", func(j *Judge) { h := accept(j, idempotent); j.DeadlinePassed(14*sec, h.request, h.client) }},
		{"never answered until the end of the run", 1, "no final answer", func(j *Judge) { accept(j, idempotent) }},
		{"answered twice", 1, "a second final answer", func(j *Judge) {
			h := accept(j, idempotent)
			j.RequestAnswered(h.at, h.request, h.client, Failed)
			j.RequestAnswered(h.at+1, h.request, h.client, Failed)
		}},
		{"attempt after the answer", 1, "pushed after its final answer", func(j *Judge) {
			h := accept(j, idempotent)
			j.RequestAnswered(h.at, h.request, h.client, Failed)
			h.attempt(1, "a", 1, true, false)
		}},
		{"instance died before the answer", 0, "", func(j *Judge) {
			h := accept(j, idempotent)
			j.InstanceDied(0)
			j.ClientLeft(h.request, h.client)
			j.DeadlinePassed(14*sec, h.request, h.client)
		}},
		{"non-idempotent: attempt though an earlier one may have run", 2, "at-most-once", func(j *Judge) {
			h := accept(j, nonIdempotent)
			h.attempt(1, "a", 1, true, false)
			h.attempt(2, "a", 1, true, false)
			j.RequestAnswered(h.at, h.request, h.client, Failed)
		}},
		{"non-idempotent: attempts after others that never ran", 0, "", func(j *Judge) {
			h := accept(j, nonIdempotent)
			h.attempt(1, "a", 1, true, true)
			h.attempt(2, "a", 1, false, true)
			h.attempt(3, "a", 1, true, false)
			j.RequestAnswered(h.at, h.request, h.client, Failed)
		}},
		{"non-idempotent: rejected though it may have run", 2, "turned back", func(j *Judge) {
			h := accept(j, nonIdempotent)
			h.attempt(1, "a", 1, true, false)
			j.RequestAnswered(h.at, h.request, h.client, Rejected)
		}},
		{"keyed: second attempt in the same zone", 0, "", func(j *Judge) {
			h := accept(j, keyedInZone)
			h.attempt(1, "a", 1, true, false)
			h.attempt(2, "a", 2, true, false)
			j.RequestAnswered(h.at, h.request, h.client, Failed)
		}},
		{"keyed: second attempt in another zone", 2, "outside of the group", func(j *Judge) {
			h := accept(j, keyedInZone)
			h.attempt(1, "a", 1, true, false)
			h.attempt(2, "b", 1, true, false)
			j.RequestAnswered(h.at, h.request, h.client, Failed)
		}},
		{"keyed: second attempt in another cell", 2, "outside of the group", func(j *Judge) {
			h := accept(j, keyedInCell)
			h.attempt(1, "a", 1, true, false)
			h.attempt(2, "a", 2, true, false)
			j.RequestAnswered(h.at, h.request, h.client, Failed)
		}},
		{"keyed: second attempt after the deduplication window", 2, "window", func(j *Judge) {
			h := accept(j, keyedAnywhere)
			h.attempt(1, "a", 1, true, false)
			h.at += 2 * sec
			h.attempt(2, "a", 1, true, false)
			j.RequestAnswered(h.at, h.request, h.client, Failed)
		}},
		{"two attempts in flight at once", 2, "two pushes out", func(j *Judge) {
			h := accept(j, idempotent)
			j.AttemptStarted(h.at, h.request, 1, "a", 1, false)
			j.AttemptStarted(h.at, h.request, 2, "a", 1, false)
			j.RequestAnswered(h.at, h.request, h.client, Failed)
		}},
		{"one attempt too many", 2, "push 4 of 3", func(j *Judge) {
			h := accept(j, idempotent)
			for i := range 4 {
				h.attempt(EndpointID(i), "a", 1, true, true)
			}
			j.RequestAnswered(h.at, h.request, h.client, Rejected)
		}},
		{"attempt at a draining endpoint within the grace period", 0, "", func(j *Judge) {
			h := accept(j, idempotent)
			j.EndpointNotified(h.at-sec, 0, 1, policy.Draining, 0)
			h.attempt(1, "a", 1, true, false)
			j.RequestAnswered(h.at, h.request, h.client, Succeeded)
		}},
		{"attempt at a draining endpoint after the grace period", 3, "after its sidecar was told", func(j *Judge) {
			h := accept(j, idempotent)
			j.EndpointNotified(h.at-sec-1, 0, 1, policy.Draining, 0)
			j.EndpointNotified(h.at-1, 0, 1, policy.Removed, 0) // the grace period began with the first notification
			h.attempt(1, "a", 1, true, false)
			j.RequestAnswered(h.at, h.request, h.client, Succeeded)
		}},
		{"only another instance was notified of the drain", 0, "", func(j *Judge) {
			h := accept(j, idempotent)
			j.EndpointNotified(5*sec, 1, 1, policy.Draining, 0)
			h.attempt(1, "a", 1, true, false)
			j.RequestAnswered(h.at, h.request, h.client, Succeeded)
		}},
		{"cold endpoint overloaded", 4, "server 1, cold, was sent 3.1 times", func(j *Judge) {
			j.EndpointNotified(sec, 0, 1, policy.Ready, sec)
			for i := range 32 {
				j.ColdWorkArrived(2*sec+policy.Time(i), 0, 1, sec, 0.1e9*0.2, 0.2)
			}
		}},
		{"cold endpoint overloaded by instances that were not notified of its start", 0, "", func(j *Judge) {
			for i := range 32 {
				j.ColdWorkArrived(2*sec+policy.Time(i), 0, 1, sec, 0.1e9*0.2, 0.2)
			}
		}},
		{"as much work for a cold endpoint, but over more time than the window", 0, "", func(j *Judge) {
			j.EndpointNotified(sec, 0, 1, policy.Ready, sec)
			for i := range 32 {
				j.ColdWorkArrived(2*sec+policy.Time(i)*sec/10, 0, 1, sec, 0.1e9*0.2, 0.2)
			}
		}},
	} {
		j := newJudge()
		test.events(j)
		v := j.Finish(30 * sec)
		if test.rule == 0 {
			if !v.NoViolations() {
				t.Errorf("%s: unexpected violations %v", test.name, v.Violations)
			}
			continue
		}
		want := [4]int{}
		want[test.rule-1] = 1
		if v.ViolationCounts != want || !strings.Contains(v.Violations[0].What, test.what) || v.Violations[0].At == 0 ||
			test.rule < 4 && v.Violations[0].Request != 1 {
			t.Errorf("%s: violations by rule %v, want one of rule %d with %q: %v", test.name, v.ViolationCounts, test.rule, test.what, v.Violations)
		}
	}
}

// The service is the earned part of the requested value: all of it for a response within the target latency, LateValue
// of it for a later one.
func TestServiceIsEarnedValue(t *testing.T) {
	j := newJudge()
	request := func(at, latency policy.Time, value float64, answer Answer) {
		client := j.ClientRequestBegun(at, 0, 0, value)
		id := j.RequestAccepted(at, client, 0, 0, at+4*sec)
		j.RequestAnswered(at+latency, id, client, answer)
		j.ClientRequestEnded(client)
		j.DeadlinePassed(at+4*sec, id, client)
	}
	for second := range policy.Time(20) {
		request(second*sec, sec, 2, Succeeded) // exactly at the target latency
		request(second*sec, sec+1, 2, Succeeded)
		if second < 10 {
			request(second*sec, 0, 4, Rejected)
		}
	}
	request(60*sec, 0, 100, Failed) // begins after the end of the run
	v := j.Finish(70 * sec)
	// In each second, responses earn 2 of 2 and 1 of 2; in the first ten seconds, a rejection also earns 0 of 4.
	if v.Service != 60./120 || v.Worst10 != 30./80 || v.Late != 20 || v.Succeeded != 40 || v.Rejected != 10 || v.Classes[0].Requested != 120 ||
		v.Tenants[0].Earned != 60 || len(v.Seconds) != 20 {
		t.Errorf("verdict on late, rejected and uncounted requests: %+v", v)
	}
	// A successful retry earns the value of the client's request, once.
	j = newJudge()
	client := j.ClientRequestBegun(0, 0, 0, 1)
	first := j.RequestAccepted(0, client, 0, 0, 4*sec)
	j.RequestAnswered(sec/10, first, client, Rejected)
	retry := j.RequestAccepted(sec/2, client, 0, 0, 4*sec)
	j.RequestAnswered(sec/2, retry, client, Succeeded)
	j.ClientRequestEnded(client)
	if v := j.Finish(5 * sec); v.Service != 1 || v.ClientRequests != 1 || v.Requests != 2 {
		t.Errorf("verdict on a rejected request whose retry succeeded: %+v", v)
	}
}

// Attempts with a known distribution have the Spread that can be calculated from it.
func TestSpread(t *testing.T) {
	spreadOf := func(events func(j *Judge, attempt func(at policy.Time, endpoint EndpointID, key uint64))) Spread {
		j := newJudge()
		for endpoint, capacity := range []float64{1, 1, 2} {
			j.CapacityChanged(0, EndpointID(endpoint), capacity)
		}
		events(j, func(at policy.Time, endpoint EndpointID, key uint64) {
			h := accept(j, idempotent)
			j.SetKey(h.request, key)
			j.AttemptStarted(at, h.request, endpoint, "a", 0, false)
		})
		j.CapacityChanged(59*sec, 0, 0) // windows with a change are not counted
		return j.Finish(60 * sec).Spread
	}
	// In each second, every endpoint gets its share by capacity.
	if s := spreadOf(func(j *Judge, attempt func(policy.Time, EndpointID, uint64)) {
		for at := policy.Time(0); at < 58*sec; at += sec / 4 {
			attempt(at, []EndpointID{0, 1, 2, 2}[at/(sec/4)%4], 0)
		}
	}); s.Scatter != [2]float64{} || s.KeyScatter != [2]float64{1, 1} ||
		s.Busiest != 1 || s.BusiestMax != 1 || s.IdleSeconds != 0 || s.Herd != 0.75 {
		t.Errorf("spread of attempts by capacity: %+v", s)
	}
	// All attempts have the same key and go to one endpoint of capacity 1. It gets 4 attempts in each second, 20
	// in 5 s, of which 5 are its share, and 2 within 50 ms.
	if s := spreadOf(func(j *Judge, attempt func(policy.Time, EndpointID, uint64)) {
		for at := policy.Time(0); at < 50*sec; at += sec / 2 {
			attempt(at, 0, 7)
			attempt(at, 0, 7)
		}
		j.IdleObserved(2, true, sec)
		j.IdleObserved(2, false, sec)
	}); math.Abs(s.Scatter[1]-math.Sqrt(15*15/5./2+5/2.+10/2.)) > 1e-9 || s.KeyScatter != [2]float64{2, math.Sqrt(20)} ||
		s.Busiest != 4 || s.IdleSeconds != 2 || s.Herd != 1.5 {
		t.Errorf("spread of attempts at a single endpoint: %+v", s)
	}
}
