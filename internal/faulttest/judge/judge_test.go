package judge

import (
	"testing"
	"time"
)

func acts(process string, at time.Duration, leased bool, of ...int) ActiveRules {
	return ActiveRules{Process: process, Revisions: of, Leased: leased, At: int64(at)}
}

func push(id, server string, no int, by ActiveRules) Step {
	return Step{ActiveRules: by, ID: id, Endpoint: server, AttemptNumber: no}
}

const second = time.Second

// Each history breaks one thing, and the judge must find just that.
func TestPlantedFaultsAreFound(t *testing.T) {
	versions := map[int]RuleSet{0: {Idempotency: "at-most-once"}, 1: {Idempotency: "reissuable"}, 2: {Idempotency: "numbered", Window: second},
		3: {Idempotency: "at-most-once", Endpoints: []string{"a"}, Drained: []string{"c"}}}
	delisted := []EndpointList{{1, []string{"a", "b"}}, {int64(2 * second), []string{"a"}}}
	twice := []Execution{{"x", "a", int64(2 * second)}, {"x", "b", int64(3 * second)}}
	for what, one := range map[string]struct {
		h       History
		broken  int
		against time.Duration
	}{
		"nothing": {h: History{Steps: []Step{push("x", "a", 0, acts("p", second, true, 1)), push("y", "a", 0, acts("q", 2*second, true, 1, 2)),
			push("z", "a", 0, acts("p", 3*second, true, 2))}}},
		"older alone after newer alone": {h: History{Steps: []Step{push("x", "a", 0, acts("p", second, true, 2)),
			push("y", "a", 0, acts("q", 3*second, true, 1))}}, against: 2 * second},
		"the same by one process, which a rollback may": {h: History{Steps: []Step{push("x", "a", 0, acts("p", second, true, 1, 2)),
			push("y", "a", 0, acts("p", 3*second, true, 1))}}},
		"backwards": {broken: 1, h: History{Steps: []Step{push("x", "a", 0, acts("p", second, true, 3)),
			push("y", "a", 0, acts("p", 3*second, true, 1))}}},
		"twice where all allow": {h: History{Executions: twice, Steps: []Step{push("x", "", 0, acts("p", second, true, 1)),
			push("x", "a", 0, acts("p", second, true, 1)), push("x", "b", 1, acts("p", 2500*time.Millisecond, true, 1))}}},
		"twice under a version that forbids it": {broken: 1, h: History{Executions: twice, Steps: []Step{push("x", "", 0, acts("p", second, true, 1)),
			push("x", "a", 0, acts("p", second, true, 1)), push("x", "b", 1, acts("p", 2500*time.Millisecond, true, 0, 1))}}},
		"twice though the version that let it in forbids it": {broken: 1, h: History{Executions: twice, Steps: []Step{
			push("x", "", 0, acts("p", second, true, 0)), push("x", "a", 0, acts("p", second, true, 0, 1)),
			push("x", "b", 1, acts("p", 2500*time.Millisecond, true, 1))}}},
		"twice beyond the window": {broken: 1, h: History{Executions: []Execution{twice[0], {"x", "b", int64(5 * second)}}, Steps: []Step{
			push("x", "a", 0, acts("p", second, true, 2)), push("x", "b", 1, acts("p", 4*second, true, 2))}}},
		"again without a lease": {broken: 1, h: History{Executions: twice[:1], Steps: []Step{push("x", "a", 0, acts("p", second, true, 1)),
			push("x", "b", 1, acts("p", 2500*time.Millisecond, false, 1))}}},
		"ran, and nobody sent it":               {broken: 1, h: History{Executions: twice, Steps: []Step{push("x", "a", 0, acts("p", second, true, 1))}}},
		"a server that is not named":            {broken: 1, h: History{Steps: []Step{push("x", "b", 0, acts("p", second, true, 3))}}},
		"a server that is banned":               {broken: 1, h: History{Steps: []Step{push("x", "c", 0, acts("p", second, true, 3))}}},
		"a server that discovery has taken off": {broken: 1, h: History{Lists: delisted, Steps: []Step{push("x", "b", 0, acts("p", 4*second, true, 1))}}},
		"the same within the grace":             {h: History{Lists: delisted, Steps: []Step{push("x", "b", 0, acts("p", 3*second, true, 1))}}},
		"the same by one that was cut off": {h: History{Lists: delisted, UnnotifiedIntervals: []Interval{{"p", int64(second), int64(5 * second)}},
			Steps: []Step{push("x", "b", 0, acts("p", 4*second, true, 1))}}},
		"the same by one that had heard, and was cut off then": {broken: 1, h: History{Lists: delisted, UnnotifiedIntervals: []Interval{{"p", int64(4 * second), int64(9 * second)}},
			Steps: []Step{push("x", "b", 0, acts("p", 5*second, true, 1))}}},
		"on a list again": {h: History{Lists: append(delisted[:2:2], EndpointList{int64(3500 * time.Millisecond), []string{"b"}}), Steps: []Step{push("x", "b", 0, acts("p", 4*second, true, 1))}}},
		"no answer":       {broken: 1, h: History{ClientRequests: []ClientRequest{{ID: "x", Process: "p", SentAt: 1, EndedAt: int64(second)}}}},
		"no answer of one that died": {h: History{ClientRequests: []ClientRequest{{ID: "x", Process: "p", SentAt: 1, EndedAt: int64(second)}},
			DownIntervals: []Interval{{"p", 5, 6}}}},
		"an answer after the cut-off": {broken: 1, h: History{Deadline: second, Slack: second / 10,
			ClientRequests: []ClientRequest{{ID: "x", Process: "p", SentAt: 0, EndedAt: int64(2 * second), Status: 200}}}},
	} {
		one.h.RuleSets = versions
		if v := Judge(&one.h); v.Broken != one.broken || v.Contradiction != one.against {
			t.Errorf("%s: %+v", what, v)
		}
	}
}
