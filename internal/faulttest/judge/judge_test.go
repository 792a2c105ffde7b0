package judge

import (
	"testing"
	"time"
)

func rules(process string, at time.Duration, leased bool, revisions ...int) ActiveRules {
	return ActiveRules{Process: process, Revisions: revisions, Leased: leased, At: int64(at)}
}

func step(id, endpoint string, number int, active ActiveRules) Step {
	return Step{ActiveRules: active, ID: id, Endpoint: endpoint, AttemptNumber: number}
}

const second = time.Second

// Each history has at most one violation, and the judge must find exactly that.
func TestJudgeFindsEachViolation(t *testing.T) {
	ruleSets := map[int]RuleSet{0: {Idempotency: "at-most-once"}, 1: {Idempotency: "reissuable"}, 2: {Idempotency: "numbered", Window: second},
		3: {Idempotency: "at-most-once", Endpoints: []string{"a"}, Drained: []string{"c"}}}
	delisted := []EndpointList{{1, []string{"a", "b"}}, {int64(2 * second), []string{"a"}}}
	twice := []Execution{{"x", "a", int64(2 * second)}, {"x", "b", int64(3 * second)}}
	for name, test := range map[string]struct {
		h             History
		broken        int
		contradiction time.Duration
	}{
		"no violation": {h: History{Steps: []Step{step("x", "a", 0, rules("p", second, true, 1)), step("y", "a", 0, rules("q", 2*second, true, 1, 2)),
			step("z", "a", 0, rules("p", 3*second, true, 2))}}},
		"older revision only after newer one only": {h: History{Steps: []Step{step("x", "a", 0, rules("p", second, true, 2)),
			step("y", "a", 0, rules("q", 3*second, true, 1))}}, contradiction: 2 * second},
		"older revision only after both, by one process, as in a rollback": {h: History{Steps: []Step{step("x", "a", 0, rules("p", second, true, 1, 2)),
			step("y", "a", 0, rules("p", 3*second, true, 1))}}},
		"back to an older revision": {broken: 1, h: History{Steps: []Step{step("x", "a", 0, rules("p", second, true, 3)),
			step("y", "a", 0, rules("p", 3*second, true, 1))}}},
		"executed twice where all revisions allow it": {h: History{Executions: twice, Steps: []Step{step("x", "", 0, rules("p", second, true, 1)),
			step("x", "a", 0, rules("p", second, true, 1)), step("x", "b", 1, rules("p", 2500*time.Millisecond, true, 1))}}},
		"executed twice under a revision that forbids it": {broken: 1, h: History{Executions: twice, Steps: []Step{step("x", "", 0, rules("p", second, true, 1)),
			step("x", "a", 0, rules("p", second, true, 1)), step("x", "b", 1, rules("p", 2500*time.Millisecond, true, 0, 1))}}},
		"executed twice although the revision of the admission forbids it": {broken: 1, h: History{Executions: twice, Steps: []Step{
			step("x", "", 0, rules("p", second, true, 0)), step("x", "a", 0, rules("p", second, true, 0, 1)),
			step("x", "b", 1, rules("p", 2500*time.Millisecond, true, 1))}}},
		"executed twice beyond the window": {broken: 1, h: History{Executions: []Execution{twice[0], {"x", "b", int64(5 * second)}}, Steps: []Step{
			step("x", "a", 0, rules("p", second, true, 2)), step("x", "b", 1, rules("p", 4*second, true, 2))}}},
		"attempt without a lease after an execution": {broken: 1, h: History{Executions: twice[:1], Steps: []Step{step("x", "a", 0, rules("p", second, true, 1)),
			step("x", "b", 1, rules("p", 2500*time.Millisecond, false, 1))}}},
		"executed without an attempt":         {broken: 1, h: History{Executions: twice, Steps: []Step{step("x", "a", 0, rules("p", second, true, 1))}}},
		"endpoint that is not named":          {broken: 1, h: History{Steps: []Step{step("x", "b", 0, rules("p", second, true, 3))}}},
		"endpoint that is drained":            {broken: 1, h: History{Steps: []Step{step("x", "c", 0, rules("p", second, true, 3))}}},
		"endpoint that discovery has removed": {broken: 1, h: History{Lists: delisted, Steps: []Step{step("x", "b", 0, rules("p", 4*second, true, 1))}}},
		"removed endpoint within the grace":   {h: History{Lists: delisted, Steps: []Step{step("x", "b", 0, rules("p", 3*second, true, 1))}}},
		"removed endpoint, process cut off from discovery": {h: History{Lists: delisted, UnnotifiedIntervals: []Interval{{"p", int64(second), int64(5 * second)}},
			Steps: []Step{step("x", "b", 0, rules("p", 4*second, true, 1))}}},
		"removed endpoint, process cut off only after it was notified": {broken: 1, h: History{Lists: delisted, UnnotifiedIntervals: []Interval{{"p", int64(4 * second), int64(9 * second)}},
			Steps: []Step{step("x", "b", 0, rules("p", 5*second, true, 1))}}},
		"endpoint that is listed again": {h: History{Lists: append(delisted[:2:2], EndpointList{int64(3500 * time.Millisecond), []string{"b"}}), Steps: []Step{step("x", "b", 0, rules("p", 4*second, true, 1))}}},
		"no response":                   {broken: 1, h: History{ClientRequests: []ClientRequest{{ID: "x", Process: "p", SentAt: 1, EndedAt: int64(second)}}}},
		"no response from a process that died": {h: History{ClientRequests: []ClientRequest{{ID: "x", Process: "p", SentAt: 1, EndedAt: int64(second)}},
			DownIntervals: []Interval{{"p", 5, 6}}}},
		"response after the deadline": {broken: 1, h: History{Deadline: second, Slack: second / 10,
			ClientRequests: []ClientRequest{{ID: "x", Process: "p", SentAt: 0, EndedAt: int64(2 * second), Status: 200}}}},
	} {
		test.h.RuleSets = ruleSets
		if v := Judge(&test.h); v.Broken != test.broken || v.Contradiction != test.contradiction {
			t.Errorf("%s: unexpected verdict %+v", name, v)
		}
	}
}
