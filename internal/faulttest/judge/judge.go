package judge

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Verdict is what the judge found.
type Verdict struct {
	// Contradiction is the longest time for which one process acted by revisions of which another acted by none any
	// more.
	Contradiction    time.Duration `json:"Contradiction"`
	Between          string        `json:"Between"`
	Faults           []string      `json:"Faults"` // the first broken rules
	Broken           int           `json:"Broken"` // number of broken rules
	Attempts         int           `json:"Pushes"`
	Repeats          int           `json:"Repeats"`  // repeated effects, allowed unless a fault says otherwise
	Unleased         int           `json:"Unleased"` // attempts without a lease
	ClientRequests   int           `json:"Asked"`
	Succeeded        int           `json:"Honoured"`
	Rejected         int           `json:"TurnedBack"`
	Failed           int           `json:"GivenUp"`
	Lost             int           `json:"Lost"`   // not answered by a process that was killed or stopped
	UnleasedRequests [2]int        `json:"CutOff"` // requests that were admitted without a lease: all, and succeeded
}

// maxFaultsShown is how many faults are kept with their texts; all are counted.
const maxFaultsShown = 20

func (v *Verdict) fault(format string, arguments ...any) {
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
	v.checkEffects(h)
	v.checkDelisted(h)
	v.checkAnswers(h)
	return v
}

// firstAttempt is the first attempt of a process by no revision older than one.
type firstAttempt struct {
	process string
	at      int64
}

// checkContradictions looks for attempts by older revisions alone after another process made one by newer ones alone.
func (v *Verdict) checkContradictions(h *History) {
	begun := map[int][]firstAttempt{} // by oldest revision, of the first two processes
	for i := range h.Steps {
		s := &h.Steps[i]
		if !s.isAttempt() || !s.Leased || len(s.Revisions) == 0 {
			continue
		}
		oldest := slices.Min(s.Revisions)
		newest := slices.Max(s.Revisions)
		for revision, firsts := range begun {
			if revision > newest {
				v.contradict(s, revision, firsts)
			}
		}
		firsts := begun[oldest]
		sameProcess := func(f firstAttempt) bool { return f.process == s.Process }
		if len(firsts) < 2 && !slices.ContainsFunc(firsts, sameProcess) {
			begun[oldest] = append(firsts, firstAttempt{s.Process, s.At})
		}
	}
}

// contradict notes how long after other processes' first attempts by the newer revision the step came.
func (v *Verdict) contradict(s *Step, revision int, firsts []firstAttempt) {
	for _, first := range firsts {
		after := time.Duration(s.At - first.at)
		if first.process != s.Process && after > v.Contradiction {
			v.Contradiction = after
			v.Between = fmt.Sprintf("%s pushed by %v, %v after %s had by none older than %d",
				s.Process, s.Revisions, after, first.process, revision)
		}
	}
}

// checkAttempts checks each attempt by the rules of its process.
func (v *Verdict) checkAttempts(h *History) {
	firstExecution := map[string]int64{}
	for _, e := range h.Executions {
		if at, known := firstExecution[e.ID]; !known || e.At < at {
			firstExecution[e.ID] = e.At
		}
	}
	oldest := map[string]int{} // oldest revision of the latest step, by process
	for i := range h.Steps {
		s := &h.Steps[i]
		if s.Leased && len(s.Revisions) > 0 {
			if slices.Max(s.Revisions) < oldest[s.Process] {
				v.fault("%s acts by %v after it had acted by none older than %d",
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
			v.fault("%s pushed %s to %s without a lease, %v after it had run",
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
			v.fault("%s pushed %s to %s by %v, and %d does not name that, or bans it",
				s.Process, s.ID, s.Endpoint, s.Revisions,
				revision)
		}
	}
}

// checkDelisted looks for attempts at endpoints that no list since the one in force a grace ago has as ready, by
// processes that were notified of them.
func (v *Verdict) checkDelisted(h *History) {
	for i := range h.Steps {
		s := &h.Steps[i]
		namesEndpoints := func(revision int) bool { return h.RuleSets[revision].Endpoints != nil }
		if !s.isAttempt() || slices.ContainsFunc(s.Revisions, namesEndpoints) {
			continue
		}
		ready, since := h.listed(s)
		unnotified := func(d Interval) bool { return d.overlaps(s.Process, s.At, since+int64(DrainGrace)) }
		if !ready && !slices.ContainsFunc(h.UnnotifiedIntervals, unnotified) && !slices.ContainsFunc(h.DownIntervals, unnotified) {
			v.fault("%s pushed %s to %s, which has not been ready on any list for %v", s.Process, s.ID, s.Endpoint,
				time.Duration(s.At-since))
		}
	}
}

// listed reports whether a list that an attempt may have followed has its endpoint as ready, and the time of the
// first such list.
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
		firstStillArriving := i == 0 && list.At > graceAgo
		ready = ready || firstStillArriving || slices.Contains(list.Ready, s.Endpoint)
	}
	return ready, since
}

// checkEffects checks the work that was done more than once.
func (v *Verdict) checkEffects(h *History) {
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

// checkRepeat checks that all revisions by which a repeated execution came about allow it.
func (v *Verdict) checkRepeat(h *History, steps []Step, first, again Execution) {
	var revisions []int
	attemptAt := int64(0)
	for _, s := range steps {
		causesRun := s.Endpoint == again.Endpoint && s.At <= again.At
		if !s.isAttempt() || causesRun {
			revisions = append(revisions, s.Revisions...)
		}
		if causesRun {
			attemptAt = s.At
		}
	}
	if attemptAt == 0 {
		v.fault("%s ran at %s, and nobody has pushed it there", again.ID, again.Endpoint)
	}
	for _, revision := range revisions {
		rules := h.RuleSets[revision]
		withinWindow := time.Duration(attemptAt-first.At) <= rules.Window
		switch {
		case rules.Idempotency == "reissuable":
		case rules.Idempotency == "numbered" && withinWindow:
		default:
			v.fault("%s ran twice, %v apart, and version %d says %s",
				again.ID, time.Duration(again.At-first.At), revision,
				rules.Idempotency)
		}
	}
}

// checkAnswers checks and counts what clients got.
func (v *Verdict) checkAnswers(h *History) {
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
		down := slices.ContainsFunc(h.DownIntervals, func(d Interval) bool { return d.overlaps(r.Process, r.SentAt, r.EndedAt) })
		switch {
		case r.Status == 0 && down:
			v.Lost++
			continue
		case r.Status == 0:
			v.fault("%s of %s got no answer", r.ID, r.Process)
			continue
		case succeeded:
			v.Succeeded++
		case r.Status == http.StatusServiceUnavailable:
			v.Rejected++
		default:
			v.Failed++
		}
		if late := time.Duration(r.EndedAt-r.SentAt) - h.Deadline; late > h.Slack && !down {
			v.fault("%s of %s was answered %v after its cut-off", r.ID, r.Process, late)
		}
	}
}
