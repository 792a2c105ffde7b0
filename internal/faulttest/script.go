package faulttest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pepperlead/internal/tomlfile"
	"pepperlead/policy"
)

// Script describes a fault-injection test: its processes, its rule sets and its actions.
type Script struct {
	Description  string
	Instances    int
	Coordinators int
	Endpoints    int
	Length       time.Duration
	Rate         float64       // requests a second at each sidecar
	Resets       float64       // share of the executed requests whose response is lost
	Jitter       time.Duration // maximum random delay of an action that is due at a time
	Lease        string
	AgreeWithin  time.Duration // longest contradiction that the judge may find
	Discovery    bool          // endpoints come from a fake discovery, which lists all of them at first
	Contradicts  bool          // the judge must find a contradiction; for tests of the judge itself
	RuleSets     []RuleSet
	Clocks       map[string]string // clock skews by the names of processes
	Actions      []Action
}

// RuleSet is a rule set of a script. The first one is that of the sidecars' configuration.
type RuleSet struct {
	Name        string
	Idempotency string
	Window      time.Duration
	Endpoints   []string // nil: those of the sidecars' own source
	Drained     []string
}

// Action is an action of a script. It is due at a time or, if At is negative, once a share of the sidecars applies a
// revision.
type Action struct {
	At              time.Duration // since the start
	Share           float64       // share of the sidecars that must apply AwaitedRevision
	AwaitedRevision int           // revision that the share of sidecars must apply
	After           time.Duration // delay once they apply it
	Kind            string
	Targets         []string
	From            []string
	To              []string
	RuleSet         string
	Revision        int // revision to withdraw or to roll back to
	Drop            float64
	Duplicate       float64
	Delay           time.Duration
	DelayJitter     time.Duration
	MayFail         bool     // a failure of the command does not fail the test
	Ready           []string // ready endpoints of the list to announce
	Draining        []string // draining endpoints of the list to announce
}

// description names the action for the report.
func (a Action) description() string {
	parts := slices.Concat([]string{a.Kind}, a.Targets, a.From, []string{a.RuleSet})
	return strings.Join(parts, " ")
}

// Values of RuleSet.Idempotency.
const (
	idempotencyIdempotent    = "reissuable"
	idempotencyKeyed         = "numbered"
	idempotencyNonIdempotent = "at-most-once"
)

// ownRuleSet is the name of the rule set of the sidecars' configuration.
const ownRuleSet = "own"

// requiredFields holds the keys that each kind of action needs.
var requiredFields = map[string][]string{
	actionApply:     {"version"},
	actionRollback:  {"number"},
	actionWithdraw:  {"number"},
	actionPartition: {"from", "to"},
	actionBlock:     {"from", "to"},
	actionList:      {"servers"},
	actionWeather:   nil,
	actionHeal:      nil,
	actionStall:     {"who"},
	actionContinue:  {"who"},
	actionKill:      {"who"},
	actionStart:     {"who"},
	actionThrottle:  {"who"},
	actionFillDisk:  {"who"},
	actionDamage:    {"who"},
}

// namedShares holds the shares of the sidecars that an action can wait for. Their number is rounded up, so the smallest
// share means one sidecar.
var namedShares = map[string]float64{"one": 1e-9, "half": 0.5, "all": 1}

// Limits and defaults of scripts.
const (
	maxScriptSize       = 1 << 18 // bytes
	maxScriptTime       = 3600 * policy.Second
	maxCoordinators     = 5
	maxRate             = 1000 // requests a second at each sidecar
	maxRevision         = 1000
	maxClockRate        = 2
	defaultInstances    = 5
	defaultCoordinators = 3
	defaultEndpoints    = 3
	defaultRate         = 10
	defaultResets       = 0.1
)

// ReadScript reads a script. The error has a line for each fault.
func ReadScript(file string, text []byte) (*Script, error) {
	document, root := tomlfile.Parse(file, text, maxScriptSize)
	script := &Script{Clocks: map[string]string{}}
	if document.Err() == nil {
		script.read(root)
	}
	return script, document.Err()
}

func readDuration(table *tomlfile.Table, key string, fallback time.Duration) time.Duration {
	return time.Duration(table.Duration(key, policy.Time(fallback), 0, maxScriptTime))
}

func (s *Script) read(root *tomlfile.Table) {
	s.readSettings(root)
	s.RuleSets = append(s.RuleSets, RuleSet{Name: ownRuleSet, Idempotency: idempotencyNonIdempotent})
	for _, table := range root.Tables("version") {
		s.RuleSets = append(s.RuleSets, readRuleSet(table))
	}
	for _, table := range root.Tables("clock") {
		s.readClock(table)
	}
	for _, table := range root.Tables("do") {
		s.Actions = append(s.Actions, s.readAction(table))
	}
	for _, action := range s.Actions {
		if action.Kind == actionList && !s.Discovery {
			root.Fault("do", "a list", "none unless [drill] has discovery = true")
		}
	}
	root.RejectUnknown()
}

func (s *Script) readSettings(root *tomlfile.Table) {
	root.Require("drill")
	table := root.Table("drill")
	s.Description = table.String("about", "")
	s.Instances = int(table.Count("sidecars", defaultInstances, 1, maxProcesses))
	s.Coordinators = int(table.Count("keepers", defaultCoordinators, 1, maxCoordinators))
	s.Endpoints = int(table.Count("servers", defaultEndpoints, 1, maxProcesses))
	s.Length = readDuration(table, "seconds", 10*time.Second)
	s.Rate = table.Float("rate", defaultRate, 0, maxRate)
	s.Resets = table.Float("resets", defaultResets, 0, 1)
	s.Jitter = readDuration(table, "jitter", 300*time.Millisecond)
	s.Lease = table.String("lease", "1.5s")
	s.AgreeWithin = readDuration(table, "agree_within", 500*time.Millisecond)
	s.Contradicts = table.Bool("contradicts", false)
	s.Discovery = table.Bool("discovery", false)
	table.RejectUnknown()
}

func readRuleSet(table *tomlfile.Table) RuleSet {
	table.Require("name", "repeats")
	kinds := []string{idempotencyIdempotent, idempotencyKeyed, idempotencyNonIdempotent}
	rules := RuleSet{
		Name:        table.String("name", ""),
		Idempotency: kinds[table.OneOf("repeats", 2, kinds...)],
		Window:      readDuration(table, "window", time.Second),
		Drained:     table.Strings("bans"),
	}
	if table.Has("servers") {
		rules.Endpoints = append([]string{}, table.Strings("servers")...)
	}
	table.RejectUnknown()
	return rules
}

func (s *Script) readClock(table *tomlfile.Table) {
	table.Require("who")
	for _, name := range table.Strings("who") {
		rate := table.Float("rate", 1, 0, maxClockRate)
		s.Clocks[name] = fmt.Sprintf("%g,%v", rate, readDuration(table, "ahead", 0))
	}
	table.RejectUnknown()
}

func (s *Script) readAction(table *tomlfile.Table) Action {
	kinds := actionKinds()
	table.Require("what")
	action := Action{
		At:          -1,
		Kind:        kinds[table.OneOf("what", 0, kinds...)],
		Targets:     table.Strings("who"),
		From:        table.Strings("from"),
		To:          table.Strings("to"),
		RuleSet:     table.String("version", ""),
		Revision:    int(table.Count("number", 0, 1, maxRevision)),
		Drop:        table.Float("drop", 0, 0, 1),
		Duplicate:   table.Float("twice", 0, 0, 1),
		Delay:       readDuration(table, "delay", 0),
		DelayJitter: readDuration(table, "spread", 0),
		MayFail:     table.Bool("may_fail", false),
		After:       readDuration(table, "after", 0),
		Ready:       table.Strings("servers"),
		Draining:    table.Strings("leaving"),
	}
	table.Require(requiredFields[action.Kind]...)
	if names := s.ruleSetNames(); action.RuleSet != "" && !slices.Contains(names, action.RuleSet) {
		table.Fault("version", table.Found("version"), "one of "+strings.Join(names, ", "))
	}
	action.readDueTime(table)
	table.RejectUnknown()
	return action
}

// readDueTime reads when the action is due.
func (a *Action) readDueTime(table *tomlfile.Table) {
	when := table.String("when", "")
	if table.Has("at") == table.Has("when") {
		table.Fault("at", table.Found("at"), "either a time, or when = \"half 2\"")
		return
	}
	if table.Has("at") {
		a.At = readDuration(table, "at", 0)
		return
	}
	var share string
	if _, err := fmt.Sscanf(when, "%s %d", &share, &a.AwaitedRevision); err != nil || namedShares[share] == 0 {
		table.Fault("when", table.Found("when"), "one, half or all, then a space and the number of a revision")
	}
	a.Share = namedShares[share]
}

// actionKinds returns all kinds of actions, sorted.
func actionKinds() []string {
	kinds := make([]string, 0, len(requiredFields))
	for kind := range requiredFields {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

func (s *Script) ruleSetNames() []string {
	names := make([]string, 0, len(s.RuleSets))
	for _, rules := range s.RuleSets {
		names = append(names, rules.Name)
	}
	return names
}
