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

// maxClasses bounds the number of classes, including removed ones that still have requests in flight.
const maxClasses = 512

// noRulesApplied is the initial value of activeRules.leaseChanges. The lease client's count never reaches it, so the
// first call of applyRules applies the rules.
const noRulesApplied = 1 << 63

// RuleSet is a rule set together with the settings, endpoints and endpoint table that this instance needs to apply it.
type RuleSet struct {
	ruleset.RuleSet
	Settings  *policy.Settings
	Endpoints []discovery.Entry   // nil: the endpoints come from the instance's own source
	Table     []policy.EndpointID // endpoint by slot; nil: this instance assigns the slots itself
}

// activeRules holds the rules that the instance has agreed on with other instances. Only the loop uses it.
type activeRules struct {
	lease        *ruleset.LeaseClient
	leased       bool   // whether the rules applied last are covered by a lease
	leaseChanges uint64 // the lease client's count of changes when rules were last applied
	version      uint64 // counts how often rules were applied
	ruleSets     map[ruleset.RevisionNumber]*RuleSet
	logged       []ruleset.RevisionNumber // revisions named in the last log line about the rules

	classes    ruleset.ClassTable
	classNames []string // by class id
	classRows  []int    // rows of the request metrics, by class id
	admitted   []string // names of the classes that admit requests

	rejectedTable ruleset.RevisionNumber // the latest revision whose endpoint table could not be adopted
	tableDigest   uint64                 // digest of the endpoint table adopted last
}

// UseAgreedRules makes the engine apply rules that are agreed on with other instances. The instance's own rule set has
// number 0. Until there is a lease, the strictest rules apply. The incarnation distinguishes this process from earlier
// processes of the instance. UseAgreedRules must be called before Run.
func (e *Engine) UseAgreedRules(own *RuleSet, incarnation uint32) {
	active := &activeRules{
		lease:        ruleset.NewLeaseClient(incarnation),
		ruleSets:     map[ruleset.RevisionNumber]*RuleSet{own.Number: own},
		leaseChanges: noRulesApplied,
	}
	active.classes.Capacity = maxClasses
	e.rules = active
	e.Metrics.Answered = make([][NumResults]atomic.Int64, maxClasses)
	rows := len(e.classLabels)
	e.classRows.Store(int64(rows))
	e.classLabels = append(e.classLabels, make([]classLabels, maxClasses-rows)...)
	active.lease.Add(own.RuleSet)
	active.leased = true // so that setRules does not log a lease, which the instance does not hold yet
	e.setRules(&own.Rules, true)
	e.applyRules()
}

// AddRuleSet adds a rule set that leases may name. It returns false if a different rule set with the same number is
// known, if the number is older than the leased revisions, or if the lease client is full and can't drop another rule
// set for this one.
func (e *Engine) AddRuleSet(set *RuleSet) bool {
	active := e.rules
	if !active.lease.Add(set.RuleSet) {
		return false
	}
	active.ruleSets[set.Number] = set
	for number := range active.ruleSets {
		if !active.lease.Knows(number) {
			delete(active.ruleSets, number)
		}
	}
	e.applyRules()
	return true
}

// NewLeaseRequest starts a lease request that is sent now. It returns the request's id and the revisions whose
// rule sets this instance has.
func (e *Engine) NewLeaseRequest() (id uint64, known []ruleset.RevisionNumber) {
	return e.rules.lease.NewRequest(clock.LeaseTime())
}

// AcceptLease applies a lease and returns false if the lease is not valid.
func (e *Engine) AcceptLease(lease ruleset.Lease) bool {
	accepted := e.rules.lease.Accept(lease)
	e.applyRules()
	return accepted
}

// LeasedRevisions returns the revisions of the last accepted lease, and whether that lease is still in force.
func (e *Engine) LeasedRevisions() (revisions []ruleset.RevisionNumber, leased bool) {
	return e.rules.lease.LeasedRevisions(), e.rules.leased
}

// RulesLog returns a log entry with the leased revisions, whether there is a lease, and the time since boot.
func (e *Engine) RulesLog() *logrus.Entry {
	return e.Logger.WithFields(logrus.Fields{
		"versions": e.rules.lease.LeasedRevisions(),
		"leased":   e.rules.leased,
		"awake_ns": int64(clock.BootTime()),
	})
}

// LogsRequests reports whether the admission and the attempts of each request are logged. They are if the instance
// applies agreed rules and logs at the debug level.
func (e *Engine) LogsRequests() bool {
	return e.rules != nil && e.Logger.IsLevelEnabled(logrus.DebugLevel)
}

// rulesVersion returns a number that increases whenever rules are applied. A decision made under an earlier version is
// checked again before it is carried out.
func (e *Engine) rulesVersion() uint64 {
	if e.rules == nil {
		return 0
	}
	return e.rules.version
}

// AttemptStillValid reports whether an attempt that was decided on earlier may be written now. While a connection was
// dialled or the process was suspended, the deduplication window in which the endpoint recognises a retry may have
// passed, or the rules may have changed.
func (e *Engine) AttemptStillValid(now policy.Time, request *Request) bool {
	if request.Attempts > 1 && !e.Module.AttemptAllowed(e.Clock.Now(), request.Handle) {
		return false
	}
	if e.rules == nil {
		return true
	}
	e.applyRules()
	return request.rulesVersion == e.rulesVersion() || e.Module.AttemptAllowed(now, request.Handle)
}

// arrivalMargin is how long this process may be held up between a check of Engine.ArriveBy and what follows from it.
const arrivalMargin = 150 * policy.Millisecond

// ArriveBy returns the time before which the request's latest attempt must have arrived at its endpoint completely,
// under the rules that are in force now, less a margin for a process that is held up. limited is false if the attempt
// may arrive at any time.
func (e *Engine) ArriveBy(request *Request) (by policy.Time, limited bool) {
	e.applyRules()
	by, limited = e.Module.ArriveBy(request.Handle)
	if limited {
		by -= arrivalMargin
	}
	return by, limited
}

// applyRules applies the current rules if they have changed. A lease may have expired since the loop last checked, or
// while the process was suspended.
func (e *Engine) applyRules() {
	active := e.rules
	if active == nil {
		return
	}
	rules, leased := active.lease.Active(clock.LeaseTime())
	if leased != active.leased || active.leaseChanges != active.lease.Changes() {
		active.leaseChanges = active.lease.Changes()
		e.setRules(rules, leased)
	}
}

// setRules makes the module apply these rules from its next decision on.
func (e *Engine) setRules(rules *ruleset.Rules, leased bool) {
	active := e.rules
	active.version++
	sets := active.byPrecedence()
	e.setClasses(rules, leased, sets[0])
	e.removeClasses()
	e.Settings.ColdCapacity = rules.ColdCapacity
	e.Settings.ColdTime = rules.ColdTime
	e.Settings.OverloadMultiple = rules.OverloadMultiple
	e.configuredInstances = rules.Instances
	e.SetInstances(e.liveInstances)
	e.setQuotas(rules)
	e.logRules(leased)
	if leased {
		e.list.drainedElsewhere = nil
	}
	e.list.setRulesDrained(rules.Drained)
	e.list.setRulesEndpoints(rules, active.listSources(sets, leased), active.ruleSets[active.current()])
	e.adoptTable()
}

// logRules logs the rules if the leased revisions have changed, or if a lease was obtained or has expired.
func (e *Engine) logRules(leased bool) {
	active := e.rules
	if active.leased == leased && slices.Equal(active.logged, active.lease.LeasedRevisions()) {
		return
	}
	active.leased = leased
	active.logged = slices.Clone(active.lease.LeasedRevisions())
	message := LogLeaseExpired
	if leased {
		message = LogLeaseHeld
	}
	e.RulesLog().Info(message)
}

// current returns the revision in force, or the older one of two while a change of revisions is in progress. It is 0
// before the first lease.
func (a *activeRules) current() ruleset.RevisionNumber {
	if revisions := a.lease.LeasedRevisions(); len(revisions) > 0 {
		return revisions[0]
	}
	return 0
}

// byPrecedence returns the rule sets in force, followed by the other rule sets, each group from the newest to the
// oldest. Settings that the agreed rules don't determine are taken from the first rule set in this order.
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

// listSources returns the rule sets whose endpoints are listed. With a lease, these are the leased rule sets. Without a
// lease, they are the current revision and all newer ones, including those that are not in force yet.
func (a *activeRules) listSources(sets []*RuleSet, leased bool) []*RuleSet {
	return slices.DeleteFunc(sets, func(set *RuleSet) bool {
		return set.Number < a.current() || leased && !slices.Contains(a.lease.LeasedRevisions(), set.Number)
	})
}
