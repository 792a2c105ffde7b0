package engine

import (
	"maps"
	"slices"

	"pepperlead/internal/clock"
	"pepperlead/internal/discovery"
	"pepperlead/internal/liststate"
	"pepperlead/policy"
)

// The processes of an instance count as one: what one of them has been told of the endpoints binds the others too. So
// each hands its endpoint list over to the others, and the newer list is in force in all of them.

// HandedOver is an endpoint list of another process of the instance.
type HandedOver struct {
	*liststate.State
	// Serving says that the list is that of a process which is still serving, and not one that is left of an earlier
	// process. What has happened since an earlier process ended is not in its list.
	Serving bool
}

// ClockBase returns the time of the engine's clock when the machine was booted.
func (e *Engine) ClockBase() policy.Time { return e.Clock.Now() - clock.BootTime() }

// ClockAhead returns by how much the engine's clock is ahead of that of another process whose clock had the given time
// when the machine was booted. It returns 0 if that time is unknown, or if the system clock was not set in between.
func (e *Engine) ClockAhead(base policy.Time) policy.Time {
	ahead := e.ClockBase() - base
	if base == 0 || ahead < minClockStep && ahead > -minClockStep {
		return 0
	}
	return ahead
}

// ListConfirmed reports whether the list in force has been told by the source since the engine started, or has been
// handed over by a process that is serving.
func (e *Engine) ListConfirmed() bool { return e.list.fresh || e.list.handedOver }

// ListInherited reports whether the list in force was told to another process of the instance.
func (e *Engine) ListInherited() bool { return e.list.toldElsewhere }

// ExportList returns the endpoint list for the other processes of the instance. It returns nil as long as no source has
// told this process, or those before it, a list.
func (e *Engine) ExportList() *liststate.State {
	l := &e.list
	if l.told.ToldAt == 0 {
		return nil
	}
	state := &liststate.State{
		Version:      liststate.Version,
		Origin:       l.told,
		ClockBase:    e.ClockBase(),
		Endpoints:    l.export(),
		Restored:     map[string]policy.Time{},
		RulesDrained: slices.Clone(l.rulesDrained),
		FileState:    l.fileState,
	}
	for uid, administrative := range l.drained {
		if administrative.restoredAt > 0 {
			state.Restored[uid] = administrative.restoredAt
		}
	}
	return state
}

// export returns the endpoints of the source's list, in any order.
func (l *endpointList) export() []liststate.Endpoint {
	var endpoints []liststate.Endpoint
	if l.rulesList {
		for _, entry := range l.sourceEntries {
			endpoints = append(endpoints, liststate.NewEndpoint(entry, entry.Started))
		}
	} else {
		for _, endpoint := range l.engine.Endpoints {
			if endpoint.Listed {
				endpoints = append(endpoints, liststate.NewEndpoint(endpoint.Entry, endpoint.listedStart))
			}
		}
	}
	return endpoints
}

// ImportList puts the list of another process of the instance in force, unless the one in force is newer. It reports
// whether it did. In either case it takes over what the other process knows of the starts of endpoints.
func (e *Engine) ImportList(now policy.Time, list HandedOver) bool {
	l := &e.list
	list.ShiftTimes(e.ClockAhead(list.ClockBase))
	restored := l.importRestored(list.Restored)
	l.importRulesDrained(list.RulesDrained)
	if !list.Supersedes(&l.told) {
		l.handedOver = l.handedOver || list.Serving
		l.importEndpoints(now, list.State, restored, false)
		return false
	}
	// A process that follows another source by now takes over the drains only, as the lists of the two need not be
	// related. So does one whose configuration has brought a later list than a process had that serves no more.
	otherSource := l.fresh && list.Source != l.told.Source
	outdated := l.isSavedListLater(list) && !list.Serving
	if otherSource || outdated {
		l.importEndpoints(now, list.State, restored, true)
		return false
	}
	l.replaceByHandedOver(now, list)
	return true
}

// isSavedListLater reports whether a saved list is in force that is later than the handed-over one.
func (l *endpointList) isSavedListLater(list HandedOver) bool {
	return l.told.ToldAt == 0 && list.Revision < l.savedRevision
}

// replaceByHandedOver puts the list of another process in force.
func (l *endpointList) replaceByHandedOver(now policy.Time, list HandedOver) {
	keepDrains := l.isSavedListLater(list)
	entries := make([]timedEntry, 0, len(list.Endpoints))
	for i := range list.Endpoints {
		endpoint := &list.Endpoints[i]
		entry := timedEntry{Entry: endpoint.Entry(), listedStart: endpoint.Listed}
		if known := l.listedAs(endpoint); keepDrains && known != nil && known.Entry.Status == policy.Draining {
			entry.Status = policy.Draining
		}
		entries = append(entries, entry)
	}
	l.told = list.Origin
	l.toldElsewhere = true
	l.handedOver = l.handedOver || list.Serving && list.ToldAt > 0
	l.fileState = list.FileState
	l.engine.Counters.ListsHandedOver++
	if l.engine.rules != nil {
		l.updateSourceList(&discovery.List{Kind: policy.ListSaved, Entries: list.ListedEntries()})
	}
	if !l.rulesList {
		l.applyEntries(now, policy.ListSaved, entries)
	}
	if !list.Serving {
		l.engine.Module.StateMissing(now)
	}
}

// importEndpoints takes over the later starts of endpoints and, with drains, which of them drain. Endpoints that are
// not listed, or are listed with another start, stay as they are. restored holds the endpoints whose administrative
// drain was undone later than this process knew.
func (l *endpointList) importEndpoints(
	now policy.Time, list *liststate.State, restored map[string]bool, drains bool,
) {
	var changed []timedEntry
	for i := range list.Endpoints {
		endpoint := &list.Endpoints[i]
		known := l.listedAs(endpoint)
		if known == nil {
			continue
		}
		entry := known.Entry
		entry.Started = max(entry.Started, endpoint.Started)
		if drains && endpoint.Status == policy.Draining {
			entry.Status = policy.Draining
		}
		if entry != known.Entry || restored[endpoint.UID] {
			changed = append(changed, timedEntry{Entry: entry, listedStart: known.listedStart})
		}
	}
	if len(changed) > 0 && !l.rulesList {
		l.applyEntries(now, policy.ListChanges, changed)
	}
}

// listedAs returns the endpoint if it is listed with the same start, and nil otherwise.
func (l *endpointList) listedAs(endpoint *liststate.Endpoint) *Endpoint {
	known := l.engine.Endpoints[endpoint.Entry().ID]
	if known == nil || known.UID != endpoint.UID || !known.Listed || known.listedStart != endpoint.Listed {
		return nil
	}
	return known
}

// importRestored takes over when administrative drains were undone, and returns the uids for which that was later than
// this process knew.
func (l *endpointList) importRestored(restored map[string]policy.Time) map[string]bool {
	later := map[string]bool{}
	for _, uid := range slices.Sorted(maps.Keys(restored)) {
		state := l.drained[uid]
		if restored[uid] > state.restoredAt {
			state.restoredAt = restored[uid]
			l.drained[uid] = state
			later[uid] = true
		}
	}
	return later
}

// importRulesDrained drains the endpoints that the agreed rules drain at the other process, until this process holds a
// lease on the rules.
func (l *endpointList) importRulesDrained(ids []policy.EndpointID) {
	if rules := l.engine.rules; rules == nil || rules.leased || len(ids) == 0 {
		return
	}
	l.drainedElsewhere = ids
	l.setRulesDrained(l.rulesDrained)
}

// isOutdated reports whether a list of the source is older than the one in force, which another process was told.
func (l *endpointList) isOutdated(list *discovery.List, origin *liststate.Origin) bool {
	if !l.toldElsewhere || l.told.ToldAt == 0 {
		return false
	}
	return list.Kind == policy.ListSaved || l.told.Source == origin.Source && l.told.Supersedes(origin)
}

// origin returns the origin of a list of the source. A source that doesn't say when it was told the list was told just
// now.
func (l *endpointList) origin(list *discovery.List) liststate.Origin {
	origin := liststate.Origin{Revision: list.Revision, AskedAt: list.AskedAt, ToldAt: list.ToldAt}
	if l.source != nil {
		origin.Source = l.source.Name()
	}
	if origin.ToldAt == 0 {
		origin.AskedAt = clock.BootTime()
		origin.ToldAt = origin.AskedAt
	}
	return origin
}

// notifyChange calls the callback for changes of the list.
func (l *endpointList) notifyChange() {
	if l.engine.ListChanged != nil {
		l.engine.ListChanged()
	}
}
