// Package judge tells from what processes, servers and clients wrote down whether a cluster kept its rules. It shares no code with what it
// judges: what a version allows is told to it as the drill meant it. All moments are of one machine's clock, in nanoseconds.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// RuleSet is what a version allows.
type RuleSet struct {
	Idempotency string // "reissuable", "numbered" or "at-most-once"
	Window      time.Duration
	Endpoints   []string // nil: any
	Drained     []string
}

// ActiveRules is a moment at which a process said by what it acts.
type ActiveRules struct {
	Process   string
	Revisions []int
	Leased    bool
	At        int64
}

// Step is one of a ticket: its coming in, or a push to a server.
type Step struct {
	ActiveRules
	ID            string
	Endpoint      string // "": it came in
	AttemptNumber int    // of the push
}

// Execution is what a server has done.
type Execution struct {
	ID, Endpoint string
	At           int64
}

// ClientRequest is what a client asked, and what became of it.
type ClientRequest struct {
	ID, Process     string
	SentAt, EndedAt int64
	Status          int // 0: no answer
}

// Down is a time in which a process stood still, was not there, or had just been.
type Down struct {
	Process  string
	From, To int64
}

// EndpointList is a list that discovery told: servers that are not ready on it get nothing new after the grace.
type EndpointList struct {
	At    int64
	Ready []string
}

// DrainGrace is how long after a list a push may still go by the one before: a second, and what it takes to come.
const DrainGrace = 1500 * time.Millisecond

// History is all that is known of a drill.
type History struct {
	RuleSets       map[int]RuleSet
	Changes        []ActiveRules
	Steps          []Step
	Executions     []Execution
	ClientRequests []ClientRequest
	Down           []Down
	Lists          []EndpointList // in their order
	Unnotified     []Down         // times in which a process may not have heard what discovery told
	Deadline       time.Duration
	Slack          time.Duration // by which machine and links may make a client's answer late
}

// Verdict is what the judge found.
type Verdict struct {
	Contradiction    time.Duration `json:"Contradiction"` // longest for which one acted by versions of which another had none any more
	Between          string        `json:"Between"`
	Faults           []string      `json:"Faults"` // broken rules, the first of them
	Broken           int           `json:"Broken"` // how many there were
	Attempts         int           `json:"Pushes"`
	Repeats          int           `json:"Repeats"`  // effects that came twice, all of them allowed if no fault says otherwise
	Unleased         int           `json:"Unleased"` // pushes without a lease
	ClientRequests   int           `json:"Asked"`
	Succeeded        int           `json:"Honoured"`
	Rejected         int           `json:"TurnedBack"`
	Failed           int           `json:"GivenUp"`
	Lost             int           `json:"Lost"`   // no answer, of a process that was killed or stood still
	UnleasedRequests [2]int        `json:"CutOff"` // of tickets that came in without a lease: all, and honoured
}

const maxFaultsShown = 20

func (v *Verdict) fault(format string, of ...any) {
	if v.Broken++; len(v.Faults) < maxFaultsShown {
		v.Faults = append(v.Faults, fmt.Sprintf(format, of...))
	}
}

// Judge looks through a history.
func Judge(h *History) *Verdict {
	v := &Verdict{}
	slices.SortStableFunc(h.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(h.Executions, func(a, b Execution) int { return cmp.Compare(a.At, b.At) })
	v.checkContradictions(h)
	v.checkAttempts(h)
	v.checkEffects(h)
	v.checkDelisted(h)
	v.checkAnswers(h)
	return v
}

// checkContradictions looks for pushes by older versions alone, after another process has pushed by newer ones alone.
func (v *Verdict) checkContradictions(h *History) {
	// By version: the first two processes that pushed by none older, and when.
	type first struct {
		process string
		at      int64
	}
	begun := map[int][]first{}
	for _, s := range h.Steps {
		if s.Endpoint == "" || !s.Leased || len(s.Revisions) == 0 {
			continue
		}
		oldest, newest := slices.Min(s.Revisions), slices.Max(s.Revisions)
		for n, firsts := range begun {
			if n <= newest {
				continue
			}
			for _, f := range firsts {
				if d := time.Duration(s.At - f.at); f.process != s.Process && d > v.Contradiction {
					v.Contradiction = d
					v.Between = fmt.Sprintf("%s pushed by %v, %v after %s had by none older than %d", s.Process, s.Revisions, d, f.process, n)
				}
			}
		}
		firsts := begun[oldest]
		if len(firsts) < 2 && !slices.ContainsFunc(firsts, func(f first) bool { return f.process == s.Process }) {
			begun[oldest] = append(firsts, first{s.Process, s.At})
		}
	}
}

// checkAttempts looks at each alone.
func (v *Verdict) checkAttempts(h *History) {
	ran := map[string]int64{}
	for _, r := range h.Executions {
		if at, is := ran[r.ID]; !is || r.At < at {
			ran[r.ID] = r.At
		}
	}
	oldest := map[string]int{}
	for _, s := range h.Steps {
		if s.Leased && len(s.Revisions) > 0 {
			if slices.Max(s.Revisions) < oldest[s.Process] {
				v.fault("%s acts by %v after it had acted by none older than %d", s.Process, s.Revisions, oldest[s.Process])
			}
			oldest[s.Process] = slices.Min(s.Revisions)
		}
		if s.Endpoint == "" {
			continue
		}
		v.Attempts++
		if !s.Leased {
			v.Unleased++
			if at, is := ran[s.ID]; is && at < s.At {
				v.fault("%s pushed %s to %s without a lease, %v after it had run", s.Process, s.ID, s.Endpoint, time.Duration(s.At-at))
			}
			continue
		}
		for _, n := range s.Revisions {
			if one := h.RuleSets[n]; one.Endpoints != nil && !slices.Contains(one.Endpoints, s.Endpoint) || slices.Contains(one.Drained, s.Endpoint) {
				v.fault("%s pushed %s to %s by %v, and %d does not name that, or bans it", s.Process, s.ID, s.Endpoint, s.Revisions, n)
			}
		}
	}
}

// checkDelisted looks for pushes to servers that no list since the one in force a grace ago has as ready, by those that have heard them.
func (v *Verdict) checkDelisted(h *History) {
	for _, s := range h.Steps {
		named := slices.ContainsFunc(s.Revisions, func(n int) bool { return h.RuleSets[n].Endpoints != nil })
		if s.Endpoint == "" || named {
			continue
		}
		ready, since := len(h.Lists) == 0, int64(0)
		for i, l := range h.Lists {
			inForce := i+1 == len(h.Lists) || h.Lists[i+1].At > s.At-int64(DrainGrace)
			if l.At > s.At || !inForce {
				continue
			}
			if since == 0 {
				since = l.At
			}
			ready = ready || l.At > s.At-int64(DrainGrace) && i == 0 || slices.Contains(l.Ready, s.Endpoint)
		}
		unheard := func(d Down) bool { return d.Process == s.Process && d.From <= since+int64(DrainGrace) && s.At <= d.To }
		if !ready && !slices.ContainsFunc(h.Unnotified, unheard) && !slices.ContainsFunc(h.Down, unheard) {
			v.fault("%s pushed %s to %s, which has not been ready on any list for %v", s.Process, s.ID, s.Endpoint, time.Duration(s.At-since))
		}
	}
}

// checkEffects looks at what ran twice.
func (v *Verdict) checkEffects(h *History) {
	runs, steps := map[string][]Execution{}, map[string][]Step{}
	for _, r := range h.Executions {
		runs[r.ID] = append(runs[r.ID], r)
	}
	for _, s := range h.Steps {
		steps[s.ID] = append(steps[s.ID], s)
	}
	for _, id := range sortedKeys(runs) {
		all := runs[id]
		for _, again := range all[1:] {
			v.Repeats++
			var by []int
			pushed := int64(0)
			for _, s := range steps[id] {
				if s.Endpoint == "" || s.Endpoint == again.Endpoint && s.At <= again.At {
					by = append(by, s.Revisions...)
				}
				if s.Endpoint == again.Endpoint && s.At <= again.At {
					pushed = s.At
				}
			}
			if pushed == 0 {
				v.fault("%s ran at %s, and nobody has pushed it there", id, again.Endpoint)
			}
			for _, n := range by {
				switch one := h.RuleSets[n]; {
				case one.Idempotency == "reissuable":
				case one.Idempotency == "numbered" && time.Duration(pushed-all[0].At) <= one.Window:
				default:
					v.fault("%s ran twice, %v apart, and version %d says %s", id, time.Duration(again.At-all[0].At), n, one.Idempotency)
				}
			}
		}
	}
}

// checkAnswers looks at what clients got.
func (v *Verdict) checkAnswers(h *History) {
	unleased := map[string]bool{}
	for _, s := range h.Steps {
		if s.Endpoint == "" {
			unleased[s.ID] = !s.Leased
		}
	}
	for _, a := range h.ClientRequests {
		v.ClientRequests++
		down := slices.ContainsFunc(h.Down, func(d Down) bool {
			return d.Process == a.Process && d.From <= a.EndedAt && a.SentAt <= d.To
		})
		if unleased[a.ID] {
			v.UnleasedRequests[0]++
			if a.Status == 200 {
				v.UnleasedRequests[1]++
			}
		}
		switch {
		case a.Status == 0 && down:
			v.Lost++
			continue
		case a.Status == 0:
			v.fault("%s of %s got no answer", a.ID, a.Process)
			continue
		case a.Status == 200:
			v.Succeeded++
		case a.Status == 503:
			v.Rejected++
		default:
			v.Failed++
		}
		if late := time.Duration(a.EndedAt-a.SentAt) - h.Deadline; late > h.Slack && !down {
			v.fault("%s of %s was answered %v after its cut-off", a.ID, a.Process, late)
		}
	}
}

func sortedKeys[T any](m map[string]T) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
