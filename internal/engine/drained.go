package engine

import (
	"errors"
	"maps"
	"slices"

	"pepperlead/internal/discovery"
	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

// ErrNeverListed is returned for an id that has not been in any endpoint list.
var ErrNeverListed = errors.New("no list has ever named this id")

// drainState is the administrative state of an endpoint.
type drainState struct {
	drained    bool
	restoredAt policy.Time // when the drain was last undone
}

// effectiveEntry returns a listed entry as the module gets it. An endpoint that is drained administratively or by the
// agreed rules is draining, even if the list says that it is ready. An endpoint whose administrative drain was undone
// counts as started at that time, even if the list does not say so yet.
func (l *endpointList) effectiveEntry(entry discovery.Entry) discovery.Entry {
	state := l.drained[entry.UID]
	_, drainedByRules := slices.BinarySearch(l.rulesDrained, entry.ID)
	if (state.drained || drainedByRules) && entry.Status == policy.Ready {
		entry.Status = policy.Draining
	}
	entry.Started = max(entry.Started, state.restoredAt)
	return entry
}

// WasListed reports whether the endpoint has been in any list. It also returns true for an administratively drained
// endpoint: only listed endpoints can be drained, but list.seen may have forgotten the id since.
func (e *Engine) WasListed(uid string) bool {
	return e.list.seen.contains(endpointfiles.EndpointID(uid)) || e.list.drained[uid].drained
}

// SetDrained administratively drains exactly these endpoints. Endpoints that were drained before and are not among them
// are put back into use.
func (e *Engine) SetDrained(now policy.Time, uids []string) {
	l := &e.list
	wanted := make(map[string]bool, len(uids))
	for _, uid := range uids {
		wanted[uid] = true
	}
	var changed []policy.Member
	for uid, state := range l.drained {
		if state.drained && !wanted[uid] {
			e.Logger.WithField("endpoint", uid).Info("endpoint no longer administratively drained")
			changed = l.setDrainState(uid, drainState{restoredAt: now}, changed)
		}
	}
	for _, uid := range uids {
		if !l.drained[uid].drained {
			e.Logger.WithField("endpoint", uid).Info("endpoint administratively drained")
			changed = l.setDrainState(uid, drainState{drained: true}, changed)
		}
	}
	if len(changed) > 0 {
		e.Module.UpdateEndpoints(now, policy.ListChanges, changed)
	}
	e.publishMetrics(now)
	l.notifyChange()
}

// setDrainState sets the state of an endpoint. If the endpoint is listed, its new entry is applied and appended to
// changed, the entries to be passed to the module.
func (l *endpointList) setDrainState(uid string, state drainState, changed []policy.Member) []policy.Member {
	l.drained[uid] = state
	endpoint := l.engine.Endpoints[endpointfiles.EndpointID(uid)]
	if endpoint == nil || endpoint.UID != uid || !endpoint.Listed {
		return changed
	}
	entry := l.effectiveEntry(endpoint.Entry)
	if l.engine.updateEndpoint(entry) {
		changed = append(changed, entry.Member)
	}
	return changed
}

// setRulesDrained drains the endpoints that the agreed rules drain, and puts those back into use that the rules no
// longer drain. Until there is a lease, those also drain that the rules drain at another process of the instance.
func (l *endpointList) setRulesDrained(ids []policy.EndpointID) {
	if len(l.drainedElsewhere) > 0 {
		ids = slices.Concat(ids, l.drainedElsewhere)
		slices.Sort(ids)
		ids = slices.Compact(ids)
	}
	if slices.Equal(l.rulesDrained, ids) {
		return
	}
	l.rulesDrained = slices.Clone(ids)
	l.notifyChange()
	e := l.engine
	var changed []policy.Member
	for _, id := range slices.Sorted(maps.Keys(e.Endpoints)) {
		endpoint := e.Endpoints[id]
		if !endpoint.Listed {
			continue
		}
		entry := l.effectiveEntry(endpoint.Entry)
		if drains := entry.Status != policy.Ready; drains != endpoint.Draining && e.updateEndpoint(entry) {
			changed = append(changed, entry.Member)
		}
	}
	if len(changed) > 0 {
		e.Module.UpdateEndpoints(e.Clock.Now(), policy.ListChanges, changed)
	}
}
