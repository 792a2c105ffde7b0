package judge

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Verdict is the result of checking a history.
type Verdict struct {
	// Contradiction is the longest time from an attempt of one process under newer revisions only to a later attempt of
	// another process under older revisions only.
	Contradiction    time.Duration `json:"Contradiction"`
	Between          string        `json:"Between"` // describes the longest contradiction
	Faults           []string      `json:"Faults"`  // texts of the first violations
	Broken           int           `json:"Broken"`  // number of violations
	Attempts         int           `json:"Pushes"`
	Repeats          int           `json:"Repeats"`  // repeated executions; those that are not allowed are faults too
	Unleased         int           `json:"Unleased"` // attempts without a lease
	ClientRequests   int           `json:"Asked"`
	Succeeded        int           `json:"Honoured"`
	Rejected         int           `json:"TurnedBack"`
	Failed           int           `json:"GivenUp"`
	Lost             int           `json:"Lost"`   // without a response, as the process was killed or stopped
	UnleasedRequests [2]int        `json:"CutOff"` // requests admitted without a lease: total, succeeded
}

// maxFaultsShown is the number of faults whose texts are kept; all faults are counted.
const maxFaultsShown = 20

// addFault counts a violation and keeps its text if it is one of the first.
func (v *Verdict) addFault(format string, arguments ...any) {
	v.Broken++
	if len(v.Faults) < maxFaultsShown {
		v.Faults = append(v.Faults, fmt.Sprintf(format, arguments...))
	}
}

// Judge checks a history, whose steps and executions it sorts by time.
func Judge(h *History) *Verdict {
	v := &Verdict{}
	slices.SortStableFunc(h.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(h.Executions, func(a, b Execution) int { return cmp.Compare(a.At, b.At) })
	v.checkContradictions(h)
	v.checkAttempts(h)
	v.checkRepeats(h)
	v.checkDelisted(h)
	v.checkResponses(h)
	return v
}

// firstAttempt is the first of a process's attempts whose oldest revision is a certain one.
type firstAttempt struct {
	process string
	at      int64
}

// checkContradictions looks for attempts under older revisions only, made after an attempt of another process under
// newer revisions only.
func (v *Verdict) checkContradictions(h *History) {
	// Keyed by the oldest revision of the attempts. First attempts of two processes are kept for each: whichever
	// process a later step belongs to, at least one of the two is another process.
	firstByOldest := map[int][]firstAttempt{}
	for i := range h.Steps {
		s := &h.Steps[i]
		if !s.isAttempt() || !s.Leased || len(s.Revisions) == 0 {
			continue
		}
		oldest := slices.Min(s.Revisions)
		newest := slices.Max(s.Revisions)
		for revision, firsts := range firstByOldest {
			if revision > newest {
				v.updateContradiction(s, revision, firsts)
			}
		}
		firsts := firstByOldest[oldest]
		sameProcess := func(f firstAttempt) bool { return f.process == s.Process }
		if len(firsts) < 2 && !slices.ContainsFunc(firsts, sameProcess) {
			firstByOldest[oldest] = append(firsts, firstAttempt{s.Process, s.At})
		}
	}
}

// updateContradiction updates the longest contradiction for a step. firsts are the first attempts whose oldest revision
// is the given one, which is newer than all revisions of the step.
func (v *Verdict) updateContradiction(s *Step, revision int, firsts []firstAttempt) {
	for _, first := range firsts {
		after := time.Duration(s.At - first.at)
		if first.process != s.Process && after > v.Contradiction {
			v.Contradiction = after
			v.Between = fmt.Sprintf(
				"%s made an attempt under revisions %v, %v after %s had made one under revision %d or newer ones only",
				s.Process, s.Revisions, after, first.process, revision)
		}
	}
}

// checkAttempts checks that no process goes back to older revisions, that attempts with a lease go to endpoints that
// their revisions allow, and that no attempt without a lease follows an execution of its request.
func (v *Verdict) checkAttempts(h *History) {
	firstExecution := map[string]int64{}
	for _, e := range h.Executions {
		if at, known := firstExecution[e.ID]; !known || e.At < at {
			firstExecution[e.ID] = e.At
		}
	}
	oldest := map[string]int{} // by process: oldest revision of its latest step
	for i := range h.Steps {
		s := &h.Steps[i]
		if s.Leased && len(s.Revisions) > 0 {
			if slices.Max(s.Revisions) < oldest[s.Process] {
				v.addFault("%s applies revisions %v after its oldest revision had been %d",
					s.Process, s.Revisions, oldest[s.Process])
			}
			oldest[s.Process] = slices.Min(s.Revisions)
		}
		if !s.isAttempt() {
			continue
		}
		v.Attempts++
		if s.Leased {
			v.checkEndpoint(h, s)
			continue
		}
		v.Unleased++
		if at, known := firstExecution[s.ID]; known && at < s.At {
			v.addFault("%s sent %s to %s without a lease, %v after it had been executed",
				s.Process, s.ID, s.Endpoint, time.Duration(s.At-at))
		}
	}
}

// checkEndpoint checks that each revision of an attempt allows its endpoint.
func (v *Verdict) checkEndpoint(h *History, s *Step) {
	for _, revision := range s.Revisions {
		rules := h.RuleSets[revision]
		unnamed := rules.Endpoints != nil && !slices.Contains(rules.Endpoints, s.Endpoint)
		if unnamed || slices.Contains(rules.Drained, s.Endpoint) {
			v.addFault("%s sent %s to %s under revisions %v, but revision %d drains or does not name that endpoint",
				s.Process, s.ID, s.Endpoint, s.Revisions,
				revision)
		}
	}
}

// checkDelisted reports attempts at endpoints that are not ready on any list that the process may have followed: the
// list that was current DrainGrace before the attempt, and the lists announced between then and the attempt. It ignores
// attempts of processes that were down or may not have been notified of a list, and attempts under a revision that
// names the endpoints to use.
func (v *Verdict) checkDelisted(h *History) {
	for i := range h.Steps {
		s := &h.Steps[i]
		namesEndpoints := func(revision int) bool { return h.RuleSets[revision].Endpoints != nil }
		if !s.isAttempt() || slices.ContainsFunc(s.Revisions, namesEndpoints) {
			continue
		}
		ready, since := h.listed(s)
		excused := func(i Interval) bool { return i.overlaps(s.Process, s.At, since+int64(DrainGrace)) }
		if !ready && !slices.ContainsFunc(h.UnnotifiedIntervals, excused) &&
			!slices.ContainsFunc(h.DownIntervals, excused) {
			v.addFault("%s sent %s to %s, which has not been ready on any list for %v", s.Process, s.ID, s.Endpoint,
				time.Duration(s.At-since))
		}
	}
}

// listed reports whether the endpoint of an attempt is ready on any list that the attempt may have followed, and when
// the first of these lists was announced.
func (h *History) listed(s *Step) (ready bool, since int64) {
	ready = len(h.Lists) == 0
	graceAgo := s.At - int64(DrainGrace)
	for i, list := range h.Lists {
		inForce := i+1 == len(h.Lists) || h.Lists[i+1].At > graceAgo
		if list.At > s.At || !inForce {
			continue
		}
		if since == 0 {
			since = list.At
		}
		firstNotYetReceived := i == 0 && list.At > graceAgo
		ready = ready || firstNotYetReceived || slices.Contains(list.Ready, s.Endpoint)
	}
	return ready, since
}

// checkRepeats checks the requests that were executed more than once.
func (v *Verdict) checkRepeats(h *History) {
	executions := map[string][]Execution{}
	for _, e := range h.Executions {
		executions[e.ID] = append(executions[e.ID], e)
	}
	steps := map[string][]Step{}
	for _, s := range h.Steps {
		steps[s.ID] = append(steps[s.ID], s)
	}
	for _, id := range slices.Sorted(maps.Keys(executions)) {
		first := executions[id][0]
		for _, again := range executions[id][1:] {
			v.Repeats++
			v.checkRepeat(h, steps[id], first, again)
		}
	}
}

// checkRepeat checks that a repeated execution is allowed by every revision of the request's admission and of the
// attempts that may have caused the execution.
func (v *Verdict) checkRepeat(h *History, steps []Step, first, again Execution) {
	var revisions []int
	attemptAt := int64(0)
	for _, s := range steps {
		mayBeCause := s.Endpoint == again.Endpoint && s.At <= again.At
		if !s.isAttempt() || mayBeCause {
			revisions = append(revisions, s.Revisions...)
		}
		if mayBeCause {
			attemptAt = s.At
		}
	}
	if attemptAt == 0 {
		v.addFault("%s was executed by %s without an attempt there", again.ID, again.Endpoint)
	}
	for _, revision := range revisions {
		rules := h.RuleSets[revision]
		withinWindow := time.Duration(attemptAt-first.At) <= rules.Window
		switch {
		case rules.Idempotency == "reissuable":
		case rules.Idempotency == "numbered" && withinWindow:
		default:
			v.addFault("%s was executed twice, %v apart, but revision %d says %s",
				again.ID, time.Duration(again.At-first.At), revision,
				rules.Idempotency)
		}
	}
}

// checkResponses counts the responses to clients, and checks that each request got one before its deadline unless its
// process was down.
func (v *Verdict) checkResponses(h *History) {
	unleased := map[string]bool{}
	for _, s := range h.Steps {
		if !s.isAttempt() {
			unleased[s.ID] = !s.Leased
		}
	}
	for _, r := range h.ClientRequests {
		v.ClientRequests++
		succeeded := r.Status == http.StatusOK
		if unleased[r.ID] {
			v.UnleasedRequests[0]++
			if succeeded {
				v.UnleasedRequests[1]++
			}
		}
		down := slices.ContainsFunc(h.DownIntervals, func(i Interval) bool {
			return i.overlaps(r.Process, r.SentAt, r.EndedAt)
		})
		switch {
		case r.Status == 0 && down:
			v.Lost++
			continue
		case r.Status == 0:
			v.addFault("%s of %s got no response", r.ID, r.Process)
			continue
		case succeeded:
			v.Succeeded++
		case r.Status == http.StatusServiceUnavailable:
			v.Rejected++
		default:
			v.Failed++
		}
		if late := time.Duration(r.EndedAt-r.SentAt) - h.Deadline; late > h.Slack && !down {
			v.addFault("%s of %s was answered %v after its deadline", r.ID, r.Process, late)
		}
	}
}
