package engine

import (
	"cmp"
	"slices"

	"pepperlead/internal/discovery"
	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

// TableDigest returns the digest of the module's endpoint table. If the module no longer uses the agreed table, because
// it has removed an endpoint that left the list some time ago, the agreed table is adopted again first.
func (e *Engine) TableDigest() uint64 {
	digest := e.Module.TableDigest()
	if e.rules != nil && digest != e.rules.tableDigest && e.adoptTable() {
		return e.rules.tableDigest
	}
	return digest
}

// adoptTable makes the module use the agreed endpoint table, and reports whether the module uses it. It returns
// false if there is no agreed table, or if the table names an endpoint that is not listed.
func (e *Engine) adoptTable() bool {
	active := e.rules
	if !active.leased || !e.list.rulesList {
		return false
	}
	set := active.ruleSets[active.current()]
	if set == nil || set.Table == nil {
		return false
	}
	if e.Module.AdoptTable(set.Table) {
		active.tableDigest = e.Module.TableDigest()
		return true
	}
	if active.rejectedTable != set.Number {
		active.rejectedTable = set.Number
		e.Logger.WithField("revision", set.Number).
			Error("agreed endpoint table rejected, it names an endpoint that is not listed")
	}
	return false
}

// setRulesEndpoints applies the endpoints that the rule sets name, instead of those of the source. If the rules allow
// any endpoint, the source's list is used again. tableOf is the rule set with the agreed table.
func (l *endpointList) setRulesEndpoints(rules *ruleset.Rules, sets []*RuleSet, tableOf *RuleSet) {
	now := l.engine.Clock.Now()
	if rules.AnyEndpoint {
		if l.rulesList {
			l.rulesList = false
			l.apply(now, &discovery.List{Kind: policy.ListFull, Entries: l.sourceEntries})
		}
		return
	}
	l.rulesList = true
	var entries []discovery.Entry
	seen := map[policy.EndpointID]bool{}
	for _, set := range sets {
		for _, entry := range set.Endpoints {
			if seen[entry.ID] {
				continue
			}
			seen[entry.ID] = true
			if agreed, listed := l.agreedEntry(entry, rules, set == tableOf); listed {
				entries = append(entries, agreed)
			}
		}
	}
	l.apply(now, &discovery.List{Kind: policy.ListFull, Entries: entries})
}

// agreedEntry returns the entry to be listed for an entry of a rule set, and whether it is listed. An endpoint that is
// missing from one of the rule sets that may be in force is draining. An endpoint that is neither known nor in the rule
// set of the agreed table is not listed yet, so that the table in force does not change.
func (l *endpointList) agreedEntry(entry discovery.Entry, rules *ruleset.Rules, inTable bool) (discovery.Entry, bool) {
	byID := func(s ruleset.Endpoint, id policy.EndpointID) int { return cmp.Compare(s.ID, id) }
	i, agreed := slices.BinarySearchFunc(rules.Endpoints, entry.ID, byID)
	if agreed {
		entry.Started = max(entry.Started, rules.Endpoints[i].Started)
		return entry, true
	}
	if l.engine.Endpoints[entry.ID] == nil && !inTable {
		return entry, false
	}
	if entry.Status == policy.Ready {
		entry.Status = policy.Draining
	}
	return entry, true
}
