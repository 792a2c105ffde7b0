package engine

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/clock"
	"pepperlead/internal/discovery"
	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

// maxClasses bounds the classes, among them those that have gone but still have requests in flight.
const maxClasses = 512

// noRulesApplied is no number of changes that the lease client ever has.
const noRulesApplied = 1 << 63

// RuleSet is a rule set with all that this instance needs to act by it.
type RuleSet struct {
	ruleset.RuleSet
	Settings  *policy.Settings
	Endpoints []discovery.Entry   // nil: those of the instance's own source
	Table     []policy.EndpointID // endpoint by slot; nil: as assigned by this instance
}

// activeRules are the rules that the instance has agreed on with others. Only the loop uses them.
type activeRules struct {
	lease        *ruleset.LeaseClient
	leased       bool   // as applied
	leaseChanges uint64 // of the lease client, as applied
	version      uint64 // counts the times that rules were applied
	ruleSets     map[ruleset.RevisionNumber]*RuleSet
	logged       []ruleset.RevisionNumber // revisions named by the latest log line

	classes    ruleset.ClassTable
	classNames []string // by class id
	classRows  []int    // rows of figures, by class id
	admitted   []string // names of the classes that admit requests

	rejectedTable ruleset.RevisionNumber // the revision whose table could not be adopted
	tableDigest   uint64                 // of the table adopted last
}

// UseAgreedRules has the engine act by agreed rules from now on. Its own rule set has number 0, and the strictest rules
// hold until there is a lease. The incarnation tells this process from earlier ones of the instance. It is to be called
// before Run.
func (e *Engine) UseAgreedRules(own *RuleSet, incarnation uint32) {
	a := &activeRules{
		lease:        ruleset.NewLeaseClient(incarnation),
		ruleSets:     map[ruleset.RevisionNumber]*RuleSet{own.Number: own},
		leaseChanges: noRulesApplied,
	}
	a.classes.Capacity = maxClasses
	e.rules = a
	e.Tally.Answered = make([][Results]atomic.Int64, maxClasses)
	rows := len(e.classLabels)
	e.classRows.Store(int64(rows))
	e.classLabels = append(e.classLabels, make([]classLabels, maxClasses-rows)...)
	a.lease.Add(own.RuleSet)
	a.leased = true // so that the start isn't logged as the end of a lease
	e.setRules(&own.Rules, true)
	e.applyRules()
}

// AddRuleSet adds a rule set that a lease may name. It returns false if its number is known with another digest, or too
// old.
func (e *Engine) AddRuleSet(set *RuleSet) bool {
	a := e.rules
	if !a.lease.Add(set.RuleSet) {
		return false
	}
	a.ruleSets[set.Number] = set
	for number := range a.ruleSets {
		if !a.lease.Knows(number) {
			delete(a.ruleSets, number)
		}
	}
	e.applyRules()
	return true
}

// NewLeaseRequest numbers a request for a lease that is sent now.
func (e *Engine) NewLeaseRequest() (id uint64, known []ruleset.RevisionNumber) {
	return e.rules.lease.NewRequest(clock.LeaseTime())
}

// AcceptLease takes over a lease and returns false if it is not valid.
func (e *Engine) AcceptLease(lease ruleset.Lease) bool {
	accepted := e.rules.lease.Accept(lease)
	e.applyRules()
	return accepted
}

// LeasedRevisions are the revisions by which the instance acts, and whether it has a lease on them.
func (e *Engine) LeasedRevisions() (revisions []ruleset.RevisionNumber, leased bool) {
	return e.rules.lease.LeasedRevisions(), e.rules.leased
}

// RulesLog is a log entry that says by which rules the instance acts, and when.
func (e *Engine) RulesLog() *logrus.Entry {
	return e.Logger.WithFields(logrus.Fields{
		"versions": e.rules.lease.LeasedRevisions(),
		"leased":   e.rules.leased,
		"awake_ns": int64(clock.BootTime()),
	})
}

// TracesRequests tells whether each step of a request is logged: where rules are agreed on, at the debug level.
func (e *Engine) TracesRequests() bool {
	return e.rules != nil && e.Logger.IsLevelEnabled(logrus.DebugLevel)
}

// rulesVersion rises when rules are applied, so that decisions made before are checked again.
func (e *Engine) rulesVersion() uint64 {
	if e.rules == nil {
		return 0
	}
	return e.rules.version
}

// AttemptStillValid tells whether an attempt that was decided on may be written now. A dial, or a loop that was
// suspended, may have taken a retry out of the window in which the endpoint recognises it.
func (e *Engine) AttemptStillValid(now policy.Time, t *Request) bool {
	if t.Attempts > 1 && !e.Module.AttemptAllowed(e.Clock.Now(), t.Handle) {
		return false
	}
	if e.rules == nil {
		return true
	}
	e.applyRules()
	return t.rulesVersion == e.rulesVersion() || e.Module.AttemptAllowed(now, t.Handle)
}

// applyRules applies the rules of this moment if they have changed: a lease may have expired since the loop last
// checked, or while the process was suspended.
func (e *Engine) applyRules() {
	a := e.rules
	if a == nil {
		return
	}
	rules, leased := a.lease.Active(clock.LeaseTime())
	if leased != a.leased || a.leaseChanges != a.lease.Changes() {
		a.leaseChanges = a.lease.Changes()
		e.setRules(rules, leased)
	}
}

// setRules has the module act by these rules from its next decision on.
func (e *Engine) setRules(rules *ruleset.Rules, leased bool) {
	a := e.rules
	a.version++
	sets := a.byPrecedence()
	e.setClasses(rules, leased, sets[0])
	e.removeClasses()
	e.Settings.ColdCapacity = rules.ColdCapacity
	e.Settings.ColdTime = rules.ColdTime
	e.Settings.OverloadMultiple = rules.OverloadMultiple
	e.configuredInstances = rules.Instances
	e.SetInstances(e.liveInstances)
	e.setQuotas(rules)
	e.logRules(leased)
	e.list.setRulesDrained(rules.Drained)
	e.list.setRulesEndpoints(rules, a.listSources(sets, leased), a.ruleSets[a.current()])
	e.adoptTable()
}

// logRules logs a change of the rules' revisions, or of whether there is a lease.
func (e *Engine) logRules(leased bool) {
	a := e.rules
	if a.leased == leased && slices.Equal(a.logged, a.lease.LeasedRevisions()) {
		return
	}
	a.leased = leased
	a.logged = slices.Clone(a.lease.LeasedRevisions())
	message := LogLeaseExpired
	if leased {
		message = LogLeaseHeld
	}
	e.RulesLog().Info(message)
}

// current is the revision in force, and the one before while a change is under way; 0 without a lease.
func (a *activeRules) current() ruleset.RevisionNumber {
	if revisions := a.lease.LeasedRevisions(); len(revisions) > 0 {
		return revisions[0]
	}
	return 0
}

// byPrecedence are the rule sets in the order in which they give settings that the agreed rules don't bind: those in
// force, the newest first, then the others.
func (a *activeRules) byPrecedence() []*RuleSet {
	var sets []*RuleSet
	for _, set := range a.ruleSets {
		sets = append(sets, set)
	}
	inForce := func(set *RuleSet) int {
		if slices.Contains(a.lease.LeasedRevisions(), set.Number) {
			return 1
		}
		return 0
	}
	slices.SortFunc(sets, func(x, y *RuleSet) int {
		return cmp.Or(inForce(y)-inForce(x), cmp.Compare(y.Number, x.Number))
	})
	return sets
}

// listSources are the rule sets whose endpoints are listed: none older than the current one. One that is only coming
// counts without a lease.
func (a *activeRules) listSources(sets []*RuleSet, leased bool) []*RuleSet {
	return slices.DeleteFunc(sets, func(set *RuleSet) bool {
		return set.Number < a.current() || leased && !slices.Contains(a.lease.LeasedRevisions(), set.Number)
	})
}
