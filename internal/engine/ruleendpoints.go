package engine

import (
	"cmp"
	"slices"

	"pepperlead/internal/discovery"
	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

// TableDigest is the digest of the module's endpoint table. An agreed table that the module has left since, as an
// endpoint's time has run out, is adopted again.
func (e *Engine) TableDigest() uint64 {
	digest := e.Module.TableDigest()
	if e.rules != nil && digest != e.rules.tableDigest && e.adoptTable() {
		return e.rules.tableDigest
	}
	return digest
}

// adoptTable has the module use the agreed table, where there is one.
func (e *Engine) adoptTable() bool {
	a := e.rules
	if !a.leased || !e.list.rulesList {
		return false
	}
	set := a.ruleSets[a.current()]
	if set == nil || set.Table == nil {
		return false
	}
	if e.Module.AdoptTable(set.Table) {
		a.tableDigest = e.Module.TableDigest()
		return true
	}
	if a.rejectedTable != set.Number {
		a.rejectedTable = set.Number
		e.Logger.WithField("revision", set.Number).
			Error("agreed endpoint table rejected, it names an endpoint that is not listed")
	}
	return false
}

// setRulesEndpoints lists the endpoints that the rule sets name in the place of the source's own; tableOf is the rule
// set of the agreed table.
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
	named := map[policy.EndpointID]bool{}
	for _, set := range sets {
		for _, entry := range set.Endpoints {
			if named[entry.ID] {
				continue
			}
			named[entry.ID] = true
			if agreed, listed := l.agreedEntry(entry, rules, set == tableOf); listed {
				entries = append(entries, agreed)
			}
		}
	}
	l.apply(now, &discovery.List{Kind: policy.ListFull, Entries: entries})
}

// agreedEntry is a rule set's entry as it is listed. An endpoint that not all rule sets name which may be in force
// drains. One that is only coming is not listed yet, so that the table stays as it is in force.
func (l *endpointList) agreedEntry(entry discovery.Entry, rules *ruleset.Rules, inTable bool) (discovery.Entry, bool) {
	byID := func(s ruleset.Endpoint, id policy.EndpointID) int { return cmp.Compare(s.ID, id) }
	i, named := slices.BinarySearchFunc(rules.Endpoints, entry.ID, byID)
	if named {
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
