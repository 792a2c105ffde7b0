package judge

import (
	"math"
	"strings"
	"testing"

	"pepperlead/policy"
)

const sec = policy.Second

func newJudge() *Judge {
	o := func(name string, r policy.Idempotency, g policy.Group) policy.Class {
		return policy.Class{Name: name, Value: 1, LateValue: 0.5, Target: sec, Idempotency: r, Group: g, Window: 2 * sec}
	}
	return New(Config{Classes: []policy.Class{o("reissuable", policy.Idempotent, 0), o("all", policy.Keyed, policy.GroupAll),
		o("zone", policy.Keyed, policy.GroupZone), o("pod", policy.Keyed, policy.GroupCell), o("once", policy.NonIdempotent, 0)},
		Instances: 2, MaxAttempts: 3, Grace: sec, OverloadMultiple: 3, OverloadWindow: sec, Length: 60 * sec}, []string{"north"})
}

// history is a ticket's life as the wire showed it.
type history struct {
	j  *Judge
	r  ClientRequestID
	t  RequestID
	at policy.Time
}

func accept(j *Judge, o policy.ClassID) *history {
	h := &history{j: j, at: 10 * sec}
	h.r = j.ClientRequestBegun(h.at, o, 0, 1)
	h.t = j.RequestAccepted(h.at, h.r, 0, o, h.at+4*sec)
	return h
}

// push sends to a server of zone and pod, writes it, and ends it after a tenth of a sec.
func (h *history) push(to EndpointID, zone policy.Zone, cell policy.Cell, written, never bool) {
	n := h.j.AttemptStarted(h.at, h.t, to, zone, cell, false)
	if written {
		h.j.AttemptWritten(h.t, n)
	}
	h.at += sec / 10
	h.j.AttemptEnded(h.t, n, never)
}

// Each planted break is found, under its rule, with ticket and moment; what is allowed is let pass.
func TestPlantedBreaksAreFound(t *testing.T) {
	for _, k := range []struct {
		name string
		rule int // 0: all is well
		what string
		do   func(j *Judge)
	}{
		{"answered once", 0, "", func(j *Judge) {
			h := accept(j, 0)
			h.push(1, "a", 1, true, false)
			j.RequestAnswered(h.at, h.t, h.r, Succeeded)
			j.DeadlinePassed(h.at+4*sec, h.t, h.r)
		}},
		{"answered in the moment of the cut-off", 0, "", func(j *Judge) {
			h := accept(j, 0)
			j.RequestAnswered(14*sec, h.t, h.r, Failed)
			j.DeadlinePassed(14*sec, h.t, h.r)
		}},
		{"answered after it", 1, "after its cut-off", func(j *Judge) { h := accept(j, 0); j.RequestAnswered(14*sec+1, h.t, h.r, Failed) }},
		{"never answered", 1, "no final answer", func(j *Judge) { h := accept(j, 0); j.DeadlinePassed(14*sec, h.t, h.r) }},
		{"never answered, to the end of the day", 1, "no final answer", func(j *Judge) { accept(j, 0) }},
		{"answered twice", 1, "a second final answer", func(j *Judge) {
			h := accept(j, 0)
			j.RequestAnswered(h.at, h.t, h.r, Failed)
			j.RequestAnswered(h.at+1, h.t, h.r, Failed)
		}},
		{"pushed after its answer", 1, "pushed after its final answer", func(j *Judge) {
			h := accept(j, 0)
			j.RequestAnswered(h.at, h.t, h.r, Failed)
			h.push(1, "a", 1, true, false)
		}},
		{"the sidecar dies", 0, "", func(j *Judge) {
			h := accept(j, 0)
			j.InstanceDied(0)
			j.ClientLeft(h.t, h.r)
			j.DeadlinePassed(14*sec, h.t, h.r)
		}},
		{"at-most-once again though it may have run", 2, "at-most-once", func(j *Judge) {
			h := accept(j, 4)
			h.push(1, "a", 1, true, false)
			h.push(2, "a", 1, true, false)
			j.RequestAnswered(h.at, h.t, h.r, Failed)
		}},
		{"at-most-once again as it never ran", 0, "", func(j *Judge) {
			h := accept(j, 4)
			h.push(1, "a", 1, true, true)
			h.push(2, "a", 1, false, true)
			h.push(3, "a", 1, true, false)
			j.RequestAnswered(h.at, h.t, h.r, Failed)
		}},
		{"at-most-once turned back though it may have run", 2, "turned back", func(j *Judge) {
			h := accept(j, 4)
			h.push(1, "a", 1, true, false)
			j.RequestAnswered(h.at, h.t, h.r, Rejected)
		}},
		{"numbered in its zone", 0, "", func(j *Judge) {
			h := accept(j, 2)
			h.push(1, "a", 1, true, false)
			h.push(2, "a", 2, true, false)
			j.RequestAnswered(h.at, h.t, h.r, Failed)
		}},
		{"numbered outside of its zone", 2, "outside of the group", func(j *Judge) {
			h := accept(j, 2)
			h.push(1, "a", 1, true, false)
			h.push(2, "b", 1, true, false)
			j.RequestAnswered(h.at, h.t, h.r, Failed)
		}},
		{"numbered outside of its pod", 2, "outside of the group", func(j *Judge) {
			h := accept(j, 3)
			h.push(1, "a", 1, true, false)
			h.push(2, "a", 2, true, false)
			j.RequestAnswered(h.at, h.t, h.r, Failed)
		}},
		{"numbered after its window", 2, "window", func(j *Judge) {
			h := accept(j, 1)
			h.push(1, "a", 1, true, false)
			h.at += 2 * sec
			h.push(2, "a", 1, true, false)
			j.RequestAnswered(h.at, h.t, h.r, Failed)
		}},
		{"two pushes at once", 2, "two pushes out", func(j *Judge) {
			h := accept(j, 0)
			j.AttemptStarted(h.at, h.t, 1, "a", 1, false)
			j.AttemptStarted(h.at, h.t, 2, "a", 1, false)
			j.RequestAnswered(h.at, h.t, h.r, Failed)
		}},
		{"one push too many", 2, "push 4 of 3", func(j *Judge) {
			h := accept(j, 0)
			for i := range 4 {
				h.push(EndpointID(i), "a", 1, true, true)
			}
			j.RequestAnswered(h.at, h.t, h.r, Rejected)
		}},
		{"pushed within the grace", 0, "", func(j *Judge) {
			h := accept(j, 0)
			j.EndpointNotified(h.at-sec, 0, 1, policy.Draining, 0)
			h.push(1, "a", 1, true, false)
			j.RequestAnswered(h.at, h.t, h.r, Succeeded)
		}},
		{"pushed after it", 3, "after its sidecar was told", func(j *Judge) {
			h := accept(j, 0)
			j.EndpointNotified(h.at-sec-1, 0, 1, policy.Draining, 0)
			j.EndpointNotified(h.at-1, 0, 1, policy.Removed, 0) // the first word counts
			h.push(1, "a", 1, true, false)
			j.RequestAnswered(h.at, h.t, h.r, Succeeded)
		}},
		{"another sidecar was told", 0, "", func(j *Judge) {
			h := accept(j, 0)
			j.EndpointNotified(5*sec, 1, 1, policy.Draining, 0)
			h.push(1, "a", 1, true, false)
			j.RequestAnswered(h.at, h.t, h.r, Succeeded)
		}},
		{"a cold server is pushed over", 4, "server 1, cold, was sent 3.1 times", func(j *Judge) {
			j.EndpointNotified(sec, 0, 1, policy.Ready, sec)
			for i := range 32 {
				j.ColdWorkArrived(2*sec+policy.Time(i), 0, 1, sec, 0.1e9*0.2, 0.2)
			}
		}},
		{"by sidecars that were not told of its start", 0, "", func(j *Judge) {
			for i := range 32 {
				j.ColdWorkArrived(2*sec+policy.Time(i), 0, 1, sec, 0.1e9*0.2, 0.2)
			}
		}},
		{"over more than the time", 0, "", func(j *Judge) {
			j.EndpointNotified(sec, 0, 1, policy.Ready, sec)
			for i := range 32 {
				j.ColdWorkArrived(2*sec+policy.Time(i)*sec/10, 0, 1, sec, 0.1e9*0.2, 0.2)
			}
		}},
	} {
		j := newJudge()
		k.do(j)
		v := j.Finish(30 * sec)
		if k.rule == 0 {
			if !v.NoViolations() {
				t.Errorf("%s: %v", k.name, v.Violations)
			}
			continue
		}
		want := [4]int{}
		want[k.rule-1] = 1
		if v.ViolationCounts != want || !strings.Contains(v.Violations[0].What, k.what) || v.Violations[0].At == 0 || k.rule < 4 && v.Violations[0].Request != 1 {
			t.Errorf("%s: %v, %v", k.name, v.ViolationCounts, v.Violations)
		}
	}
}

func TestServiceIsCreditInTime(t *testing.T) {
	j := newJudge()
	one := func(at, took policy.Time, credit float64, a Answer) {
		r := j.ClientRequestBegun(at, 0, 0, credit)
		k := j.RequestAccepted(at, r, 0, 0, at+4*sec)
		j.RequestAnswered(at+took, k, r, a)
		j.ClientRequestEnded(r)
		j.DeadlinePassed(at+4*sec, k, r)
	}
	for s := range policy.Time(20) {
		one(s*sec, sec, 2, Succeeded) // the last moment in time
		one(s*sec, sec+1, 2, Succeeded)
		if s < 10 {
			one(s*sec, 0, 4, Rejected)
		}
	}
	one(60*sec, 0, 100, Failed) // begun after the day
	v := j.Finish(70 * sec)
	// 20 s: 2 of 2, 1 of 2, and in the first ten 0 of 4.
	if v.Service != 60./120 || v.Worst10 != 30./80 || v.Late != 20 || v.Succeeded != 40 || v.Rejected != 10 || v.Classes[0].Requested != 120 ||
		v.Tenants[0].Earned != 60 || len(v.Seconds) != 20 {
		t.Errorf("%+v", v)
	}
	// A further try that is honoured makes the request good, and no more than once.
	j = newJudge()
	r := j.ClientRequestBegun(0, 0, 0, 1)
	a := j.RequestAccepted(0, r, 0, 0, 4*sec)
	j.RequestAnswered(sec/10, a, r, Rejected)
	b := j.RequestAccepted(sec/2, r, 0, 0, 4*sec)
	j.RequestAnswered(sec/2, b, r, Succeeded)
	j.ClientRequestEnded(r)
	if v := j.Finish(5 * sec); v.Service != 1 || v.ClientRequests != 1 || v.Requests != 2 {
		t.Errorf("%+v", v)
	}
}

// Pushes that lie as told have the scatter, the busiest server, the idle time and the herd that follow from it.
func TestEvenness(t *testing.T) {
	one := func(do func(j *Judge, push func(at policy.Time, to EndpointID, key uint64))) Spread {
		j := newJudge()
		for s, size := range []float64{1, 1, 2} {
			j.CapacityChanged(0, EndpointID(s), size)
		}
		do(j, func(at policy.Time, to EndpointID, key uint64) {
			h := accept(j, 0)
			j.SetKey(h.t, key)
			j.AttemptStarted(at, h.t, to, "a", 0, false)
		})
		j.CapacityChanged(59*sec, 0, 0) // what comes with a change does not count
		return j.Finish(60 * sec).Spread
	}
	// By size, each second: nothing beyond a share.
	if e := one(func(j *Judge, push func(policy.Time, EndpointID, uint64)) {
		for at := policy.Time(0); at < 58*sec; at += sec / 4 {
			push(at, []EndpointID{0, 1, 2, 2}[at/(sec/4)%4], 0)
		}
	}); e.Scatter != [2]float64{} || e.KeyScatter != [2]float64{1, 1} || e.Busiest != 1 || e.BusiestMax != 1 || e.IdleSeconds != 0 || e.Herd != 0.75 {
		t.Errorf("%+v", e)
	}
	// All to one of size 1, about one key: 20 in 5 s where 5 is its share, 4 in a second, 2 within 50 ms.
	if e := one(func(j *Judge, push func(policy.Time, EndpointID, uint64)) {
		for at := policy.Time(0); at < 50*sec; at += sec / 2 {
			push(at, 0, 7)
			push(at, 0, 7)
		}
		j.IdleObserved(2, true, sec)
		j.IdleObserved(2, false, sec)
	}); math.Abs(e.Scatter[1]-math.Sqrt(15*15/5./2+5/2.+10/2.)) > 1e-9 || e.KeyScatter != [2]float64{2, math.Sqrt(20)} || e.Busiest != 4 || e.IdleSeconds != 2 || e.Herd != 1.5 {
		t.Errorf("%+v", e)
	}
}
