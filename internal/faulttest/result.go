package faulttest

import (
	"slices"
	"strings"
	"time"

	"pepperlead/internal/faulttest/judge"
)

// RuleChange is one change of the rule set during a test, and how it spread to the sidecars.
type RuleChange struct {
	Version string  `json:"Version"` // name of the applied rule set, or the command and its revision
	Number  int     `json:"Number"`  // new revision, as printed by the command; 0: none
	At      float64 `json:"At"`      // seconds since the start
	Agreed  float64 `json:"Agreed"`  // seconds until the coordinators had agreed on it
	// P50, P99 and Max are the seconds until the running sidecars applied the revision, alone or together with the
	// previous one; Alone is the seconds until all of them applied it alone.
	P50    float64 `json:"P50"`
	P99    float64 `json:"P99"`
	Max    float64 `json:"Most"`
	Alone  float64 `json:"Alone"`
	Failed string  `json:"Failed"`
}

// Result is the result of playing a script.
type Result struct {
	Drill         string         `json:"Drill"`
	Seed          uint64         `json:"Seed"`
	Verdict       *judge.Verdict `json:"Verdict"`
	Applied       []RuleChange   `json:"Applied"`
	Converged     float64        `json:"Converged"` // seconds from the end of the faults until all have the same lease
	Unleased      float64        `json:"Unleased"`  // seconds without a lease, in total over all sidecars
	ProxyOverhead float64        `json:"OwnDelay"`  // seconds that the fault proxy itself took, 99th percentile
	ClockLateness float64        `json:"Late"`      // longest delay of a clock reading, in seconds
	Tables        int            `json:"Tables"`    // number of different slot tables at the end; must be 1 if counted
	Busy          float64        `json:"Busy"`      // share of the machine's cores in use, by any process
	Void          bool           `json:"Void"`      // the machine stalled for longer than a lease: no value is valid
	Failed        []string       `json:"Failed"`
	Departures    float64        `json:"Gone"`    // members that left or were declared dead, summed over all sidecars
	Packets       float64        `json:"Packets"` // sent per second by one sidecar on average, like Bytes
	Bytes         float64        `json:"Bytes"`
	CPU           float64        `json:"CPU"` // share of a core used by one sidecar
	History       *judge.History `json:"-"`
	StartedAt     int64          `json:"-"`
	Marks         []Mark         `json:"-"`
}

// Mark is an event that the report labels, such as an action of the script.
type Mark struct {
	At    int64
	Label string
}

// Passed reports whether the result is what the script expects.
func (r *Result) Passed(s *Script) bool {
	if s.Contradicts {
		return r.Verdict.Contradiction > s.AgreeWithin
	}
	return !r.Void && len(r.Failed) == 0 && r.Verdict.Broken == 0 && r.Verdict.Contradiction <= s.AgreeWithin
}

// measureSpread computes how long each change took to reach the sidecars, and how long they had no lease.
func (r *Result) measureSpread(history *judge.History) {
	for i := range r.Applied {
		applied := &r.Applied[i]
		if applied.Number != 0 && applied.Failed == "" && !strings.HasPrefix(applied.Version, actionWithdraw) {
			applied.measureSpread(history, r.StartedAt)
		}
	}
	r.Unleased = unleasedSeconds(history.Changes, r.StartedAt)
}

// measureSpread computes how long the change took to reach the sidecars that were running meanwhile.
func (a *RuleChange) measureSpread(history *judge.History, startedAt int64) {
	first := map[string]int64{} // by process: when it first applied the revision
	alone := map[string]int64{} // by process: when it first applied the revision alone
	for _, rules := range history.Changes {
		if !rules.Leased || !slices.Contains(rules.Revisions, a.Number) {
			continue
		}
		recordEarliest(first, rules)
		if len(rules.Revisions) == 1 {
			recordEarliest(alone, rules)
		}
	}
	applied := startedAt + int64(a.At*float64(time.Second))
	if times := spreadTimes(first, applied, history.DownIntervals); len(times) > 0 {
		a.P50 = times[len(times)/2]
		a.P99 = times[min(len(times)-1, len(times)*99/100)]
		a.Max = times[len(times)-1]
	}
	if times := spreadTimes(alone, applied, history.DownIntervals); len(times) > 0 {
		a.Alone = max(0, times[len(times)-1])
	}
}

// recordEarliest records when a process applied the rules, unless an earlier time is recorded for the process.
func recordEarliest(times map[string]int64, rules judge.ActiveRules) {
	if at, known := times[rules.Process]; !known || rules.At < at {
		times[rules.Process] = rules.At
	}
}

// spreadTimes returns, sorted, the seconds from a moment until each process was reached, without the processes that
// were down in between.
func spreadTimes(reachedAt map[string]int64, from int64, down []judge.Interval) []float64 {
	var times []float64
	for process, at := range reachedAt {
		wasDown := slices.ContainsFunc(down, func(d judge.Interval) bool {
			return d.Process == process && d.To-int64(answerTimeout) > from && d.From < at
		})
		if !wasDown {
			times = append(times, seconds(at-from))
		}
	}
	slices.Sort(times)
	return times
}

// unleasedSeconds adds up the times, from each loss of a lease after startedAt until the process had a lease again.
func unleasedSeconds(changes []judge.ActiveRules, startedAt int64) float64 {
	total := 0.0
	since := map[string]int64{}
	for _, rules := range changes {
		from, unleased := since[rules.Process]
		switch {
		case !rules.Leased && !unleased && rules.At > startedAt:
			since[rules.Process] = rules.At
		case rules.Leased && unleased:
			total += seconds(rules.At - from)
			delete(since, rules.Process)
		}
	}
	return total
}

// seconds converts nanoseconds to seconds.
func seconds(nanoseconds int64) float64 { return float64(nanoseconds) / float64(time.Second) }
