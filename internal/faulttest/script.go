package faulttest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pepperlead/internal/tomlfile"
	"pepperlead/policy"
)

// Script is a drill as its file says it.
type Script struct {
	Description  string
	Instances    int
	Coordinators int
	Endpoints    int
	Length       time.Duration
	Rate         float64 // requests a second at each sidecar
	Resets       float64 // part of the work done whose answer is lost
	Jitter       time.Duration
	Lease        string
	AgreeWithin  time.Duration
	Discovery    bool // servers come from a stand-in of the platform's discovery, all of them at first
	Contradicts  bool // the judge must find one: a drill of the judge
	RuleSets     []RuleSet
	Clocks       map[string]string // by process: GW_CLOCK
	Actions      []Action
}

// RuleSet is one that a drill applies. Name 0 of a script's versions is the sidecars' own file's.
type RuleSet struct {
	Name        string
	Idempotency string
	Window      time.Duration
	Endpoints   []string // nil: the sidecars' own source's
	Drained     []string
}

// Action is something that is done at its moment.
type Action struct {
	At        time.Duration // since the begin, or
	Share     float64       // once so many sidecars
	Number    int           // act by that version, and
	After     time.Duration // so much later
	What      string
	Who       []string
	From      []string
	To        []string
	RuleSet   string
	Revision  int // of a version that is withdrawn or gone back to
	Drop      float64
	Duplicate float64
	Delay     time.Duration
	Spread    time.Duration
	MayFail   bool
	Ready     []string // of a list: ready
	Draining  []string // of a list: draining
}

// requiredFields are what can be done, and what each needs.
var requiredFields = map[string][]string{"apply": {"version"}, "rollback": {"number"}, "withdraw": {"number"}, "part": {"from", "to"}, "cut": {"from", "to"},
	"list": {"servers"}, "weather": nil, "heal": nil, "stall": {"who"}, "go": {"who"}, "kill": {"who"}, "start": {"who"}, "throttle": {"who"}, "fill-disk": {"who"}, "damage": {"who"}}

const maxScriptSize = 1 << 18

// ReadScript reads a drill. The error has a line for each fault.
func ReadScript(file string, text []byte) (*Script, error) {
	doc, root := tomlfile.Parse(file, text, maxScriptSize)
	s := &Script{Clocks: map[string]string{}}
	if doc.Err() == nil {
		s.read(root)
	}
	return s, doc.Err()
}

func span(t *tomlfile.Table, key string, fallback time.Duration) time.Duration {
	return time.Duration(t.Duration(key, policy.Time(fallback), 0, 3600*policy.Second))
}

func (s *Script) read(root *tomlfile.Table) {
	root.Require("drill")
	t := root.Table("drill")
	s.Description = t.String("about", "")
	s.Instances, s.Coordinators = int(t.Count("sidecars", 5, 1, maxProcesses)), int(t.Count("keepers", 3, 1, 5))
	s.Endpoints, s.Length = int(t.Count("servers", 3, 1, maxProcesses)), span(t, "seconds", 10*time.Second)
	s.Rate, s.Resets = t.Float("rate", 10, 0, 1000), t.Float("resets", 0.1, 0, 1)
	s.Jitter, s.Lease = span(t, "jitter", 300*time.Millisecond), t.String("lease", "1.5s")
	s.AgreeWithin = span(t, "agree_within", 500*time.Millisecond)
	s.Contradicts, s.Discovery = t.Bool("contradicts", false), t.Bool("discovery", false)
	t.RejectUnknown()
	s.RuleSets = append(s.RuleSets, RuleSet{Name: "own", Idempotency: "at-most-once"})
	names := []string{"own"}
	for _, t := range root.Tables("version") {
		t.Require("name", "repeats")
		kinds := []string{"reissuable", "numbered", "at-most-once"}
		v := RuleSet{Name: t.String("name", ""), Idempotency: kinds[t.OneOf("repeats", 2, kinds...)], Window: span(t, "window", time.Second)}
		v.Drained = t.Strings("bans")
		if t.Has("servers") {
			v.Endpoints = append([]string{}, t.Strings("servers")...)
		}
		t.RejectUnknown()
		s.RuleSets, names = append(s.RuleSets, v), append(names, v.Name)
	}
	for _, t := range root.Tables("clock") {
		t.Require("who")
		for _, who := range t.Strings("who") {
			s.Clocks[who] = fmt.Sprintf("%g,%v", t.Float("rate", 1, 0, 2), span(t, "ahead", 0))
		}
		t.RejectUnknown()
	}
	for _, t := range root.Tables("do") {
		s.Actions = append(s.Actions, doing(t, names))
	}
	for _, d := range s.Actions {
		if d.What == "list" && !s.Discovery {
			root.Fault("do", "a list", "none where [drill] does not say discovery = true")
		}
	}
	root.RejectUnknown()
}

func doing(t *tomlfile.Table, versions []string) Action {
	all := make([]string, 0, len(requiredFields))
	for v := range requiredFields {
		all = append(all, v)
	}
	slices.Sort(all)
	t.Require("what")
	d := Action{At: -1, What: all[t.OneOf("what", 0, all...)], Who: t.Strings("who"), From: t.Strings("from"), To: t.Strings("to"), RuleSet: t.String("version", ""),
		Revision: int(t.Count("number", 0, 1, 1000)), Drop: t.Float("drop", 0, 0, 1), Duplicate: t.Float("twice", 0, 0, 1), Delay: span(t, "delay", 0),
		Spread: span(t, "spread", 0), MayFail: t.Bool("may_fail", false), After: span(t, "after", 0), Ready: t.Strings("servers"), Draining: t.Strings("leaving")}
	t.Require(requiredFields[d.What]...)
	if d.RuleSet != "" && !slices.Contains(versions, d.RuleSet) {
		t.Fault("version", t.Found("version"), "one of "+strings.Join(versions, ", "))
	}
	switch when := t.String("when", ""); {
	case t.Has("at") && t.Has("when") || !t.Has("at") && !t.Has("when"):
		t.Fault("at", t.Found("at"), "either a time, or when = \"half 2\"")
	case t.Has("at"):
		d.At = span(t, "at", 0)
	default:
		var share string
		if _, err := fmt.Sscanf(when, "%s %d", &share, &d.Number); err != nil || namedShares[share] == 0 {
			t.Fault("when", t.Found("when"), "one, half or all, and the number of a version that so many act by")
		}
		d.Share = namedShares[share]
	}
	t.RejectUnknown()
	return d
}

var namedShares = map[string]float64{"one": 1e-9, "half": 0.5, "all": 1}
