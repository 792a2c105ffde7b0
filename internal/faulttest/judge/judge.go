// Package judge tells from what processes, servers and clients wrote down whether a cluster kept its rules. It shares no code with what it
// judges: what a version allows is told to it as the drill meant it. All moments are of one machine's clock, in nanoseconds.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Version is what a version allows.
type Version struct {
	Repeats string // "reissuable", "numbered" or "at-most-once"
	Window  time.Duration
	Servers []string // nil: any
	Bans    []string
}

// Acts is a moment at which a process said by what it acts.
type Acts struct {
	Process string
	Of      []int
	Leased  bool
	At      int64
}

// Step is one of a ticket: its coming in, or a push to a server.
type Step struct {
	Acts
	ID     string
	Server string // "": it came in
	No     int    // of the push
}

// Ran is what a server has done.
type Ran struct {
	ID, Server string
	At         int64
}

// Asked is what a client asked, and what became of it.
type Asked struct {
	ID, Process string
	At, Ended   int64
	Status      int // 0: no answer
}

// Down is a time in which a process stood still, was not there, or had just been.
type Down struct {
	Process  string
	From, To int64
}

// Listed is a list that discovery told: servers that are not ready on it get nothing new after the grace.
type Listed struct {
	At    int64
	Ready []string
}

// Grace is how long after a list a push may still go by the one before: a second, and what it takes to come.
const Grace = 1500 * time.Millisecond

// History is all that is known of a drill.
type History struct {
	Versions map[int]Version
	Changes  []Acts
	Steps    []Step
	Ran      []Ran
	Asked    []Asked
	Down     []Down
	Listed   []Listed // in their order
	Deaf     []Down   // times in which a process may not have heard what discovery told
	CutOff   time.Duration
	Slack    time.Duration // by which machine and links may make a client's answer late
}

// Verdict is what the judge found.
type Verdict struct {
	Contradiction time.Duration `json:"Contradiction"` // longest for which one acted by versions of which another had none any more
	Between       string        `json:"Between"`
	Faults        []string      `json:"Faults"` // broken rules, the first of them
	Broken        int           `json:"Broken"` // how many there were
	Pushes        int           `json:"Pushes"`
	Repeats       int           `json:"Repeats"`  // effects that came twice, all of them allowed if no fault says otherwise
	Unleased      int           `json:"Unleased"` // pushes without a lease
	Asked         int           `json:"Asked"`
	Honoured      int           `json:"Honoured"`
	TurnedBack    int           `json:"TurnedBack"`
	GivenUp       int           `json:"GivenUp"`
	Lost          int           `json:"Lost"`   // no answer, of a process that was killed or stood still
	CutOff        [2]int        `json:"CutOff"` // of tickets that came in without a lease: all, and honoured
}

const shown = 20

func (v *Verdict) fault(format string, of ...any) {
	if v.Broken++; len(v.Faults) < shown {
		v.Faults = append(v.Faults, fmt.Sprintf(format, of...))
	}
}

// Judge looks through a history.
func Judge(h *History) *Verdict {
	v := &Verdict{}
	slices.SortStableFunc(h.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(h.Ran, func(a, b Ran) int { return cmp.Compare(a.At, b.At) })
	v.contradictions(h)
	v.pushes(h)
	v.effects(h)
	v.delisted(h)
	v.answers(h)
	return v
}

// contradictions looks for pushes by older versions alone, after another process has pushed by newer ones alone.
func (v *Verdict) contradictions(h *History) {
	// By version: the first two processes that pushed by none older, and when.
	type first struct {
		process string
		at      int64
	}
	begun := map[int][]first{}
	for _, s := range h.Steps {
		if s.Server == "" || !s.Leased || len(s.Of) == 0 {
			continue
		}
		oldest, newest := slices.Min(s.Of), slices.Max(s.Of)
		for n, firsts := range begun {
			if n <= newest {
				continue
			}
			for _, f := range firsts {
				if d := time.Duration(s.At - f.at); f.process != s.Process && d > v.Contradiction {
					v.Contradiction = d
					v.Between = fmt.Sprintf("%s pushed by %v, %v after %s had by none older than %d", s.Process, s.Of, d, f.process, n)
				}
			}
		}
		firsts := begun[oldest]
		if len(firsts) < 2 && !slices.ContainsFunc(firsts, func(f first) bool { return f.process == s.Process }) {
			begun[oldest] = append(firsts, first{s.Process, s.At})
		}
	}
}

// pushes looks at each alone.
func (v *Verdict) pushes(h *History) {
	ran := map[string]int64{}
	for _, r := range h.Ran {
		if at, is := ran[r.ID]; !is || r.At < at {
			ran[r.ID] = r.At
		}
	}
	oldest := map[string]int{}
	for _, s := range h.Steps {
		if s.Leased && len(s.Of) > 0 {
			if slices.Max(s.Of) < oldest[s.Process] {
				v.fault("%s acts by %v after it had acted by none older than %d", s.Process, s.Of, oldest[s.Process])
			}
			oldest[s.Process] = slices.Min(s.Of)
		}
		if s.Server == "" {
			continue
		}
		v.Pushes++
		if !s.Leased {
			v.Unleased++
			if at, is := ran[s.ID]; is && at < s.At {
				v.fault("%s pushed %s to %s without a lease, %v after it had run", s.Process, s.ID, s.Server, time.Duration(s.At-at))
			}
			continue
		}
		for _, n := range s.Of {
			if one := h.Versions[n]; one.Servers != nil && !slices.Contains(one.Servers, s.Server) || slices.Contains(one.Bans, s.Server) {
				v.fault("%s pushed %s to %s by %v, and %d does not name that, or bans it", s.Process, s.ID, s.Server, s.Of, n)
			}
		}
	}
}

// delisted looks for pushes to servers that no list since the one in force a grace ago has as ready, by those that have heard them.
func (v *Verdict) delisted(h *History) {
	for _, s := range h.Steps {
		named := slices.ContainsFunc(s.Of, func(n int) bool { return h.Versions[n].Servers != nil })
		if s.Server == "" || named {
			continue
		}
		ready, since := len(h.Listed) == 0, int64(0)
		for i, l := range h.Listed {
			inForce := i+1 == len(h.Listed) || h.Listed[i+1].At > s.At-int64(Grace)
			if l.At > s.At || !inForce {
				continue
			}
			if since == 0 {
				since = l.At
			}
			ready = ready || l.At > s.At-int64(Grace) && i == 0 || slices.Contains(l.Ready, s.Server)
		}
		unheard := func(d Down) bool { return d.Process == s.Process && d.From <= since+int64(Grace) && s.At <= d.To }
		if !ready && !slices.ContainsFunc(h.Deaf, unheard) && !slices.ContainsFunc(h.Down, unheard) {
			v.fault("%s pushed %s to %s, which has not been ready on any list for %v", s.Process, s.ID, s.Server, time.Duration(s.At-since))
		}
	}
}

// effects looks at what ran twice.
func (v *Verdict) effects(h *History) {
	runs, steps := map[string][]Ran{}, map[string][]Step{}
	for _, r := range h.Ran {
		runs[r.ID] = append(runs[r.ID], r)
	}
	for _, s := range h.Steps {
		steps[s.ID] = append(steps[s.ID], s)
	}
	for _, id := range sorted(runs) {
		all := runs[id]
		for _, again := range all[1:] {
			v.Repeats++
			var by []int
			pushed := int64(0)
			for _, s := range steps[id] {
				if s.Server == "" || s.Server == again.Server && s.At <= again.At {
					by = append(by, s.Of...)
				}
				if s.Server == again.Server && s.At <= again.At {
					pushed = s.At
				}
			}
			if pushed == 0 {
				v.fault("%s ran at %s, and nobody has pushed it there", id, again.Server)
			}
			for _, n := range by {
				switch one := h.Versions[n]; {
				case one.Repeats == "reissuable":
				case one.Repeats == "numbered" && time.Duration(pushed-all[0].At) <= one.Window:
				default:
					v.fault("%s ran twice, %v apart, and version %d says %s", id, time.Duration(again.At-all[0].At), n, one.Repeats)
				}
			}
		}
	}
}

// answers looks at what clients got.
func (v *Verdict) answers(h *History) {
	unleased := map[string]bool{}
	for _, s := range h.Steps {
		if s.Server == "" {
			unleased[s.ID] = !s.Leased
		}
	}
	for _, a := range h.Asked {
		v.Asked++
		down := slices.ContainsFunc(h.Down, func(d Down) bool {
			return d.Process == a.Process && d.From <= a.Ended && a.At <= d.To
		})
		if unleased[a.ID] {
			v.CutOff[0]++
			if a.Status == 200 {
				v.CutOff[1]++
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
			v.Honoured++
		case a.Status == 503:
			v.TurnedBack++
		default:
			v.GivenUp++
		}
		if late := time.Duration(a.Ended-a.At) - h.CutOff; late > h.Slack && !down {
			v.fault("%s of %s was answered %v after its cut-off", a.ID, a.Process, late)
		}
	}
}

func sorted[T any](m map[string]T) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
