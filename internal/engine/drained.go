package engine

import (
	"errors"
	"maps"
	"slices"

	"pepperlead/internal/discovery"
	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

// ErrNeverListed says that no list has named an id.
var ErrNeverListed = errors.New("no list has ever named this id")

// drainState is what administrators have done about an endpoint.
type drainState struct {
	drained    bool
	restoredAt policy.Time // when it was last put back into use
}

// effective is an entry as the module has it. An administratively drained endpoint drains whatever the list says. One
// that was put back counts as restarted since, whether or not the list says so yet.
func (l *endpointList) effective(entry discovery.Entry) discovery.Entry {
	state := l.drained[entry.UID]
	_, drainedByRules := slices.BinarySearch(l.rulesDrained, entry.ID)
	if (state.drained || drainedByRules) && entry.Status == policy.Ready {
		entry.Status = policy.Draining
	}
	entry.Started = max(entry.Started, state.restoredAt)
	return entry
}

// Listed tells whether any list has named the endpoint. A drained one was listed when it was drained.
func (e *Engine) Listed(uid string) bool {
	return e.list.seen.contains(endpointfiles.EndpointID(uid)) || e.list.drained[uid].drained
}

// SetDrained makes these endpoints the administratively drained ones. Others that were drained are put back into use.
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
	e.publishFigures(now)
}

// setDrainState sets the state of an endpoint and appends the change for the module, if there is one.
func (l *endpointList) setDrainState(uid string, state drainState, changed []policy.Member) []policy.Member {
	l.drained[uid] = state
	s := l.engine.Endpoints[endpointfiles.EndpointID(uid)]
	if s == nil || s.UID != uid || !s.Listed {
		return changed
	}
	entry := l.effective(s.Entry)
	if l.engine.updateEndpoint(entry) {
		changed = append(changed, entry.Member)
	}
	return changed
}

// setRulesDrained drains the endpoints that the agreed rules drain, and puts back those that they don't any more.
func (l *endpointList) setRulesDrained(ids []policy.EndpointID) {
	if slices.Equal(l.rulesDrained, ids) {
		return
	}
	l.rulesDrained = slices.Clone(ids)
	e := l.engine
	var changed []policy.Member
	for _, id := range slices.Sorted(maps.Keys(e.Endpoints)) {
		s := e.Endpoints[id]
		if !s.Listed {
			continue
		}
		entry := l.effective(s.Entry)
		if drains := entry.Status != policy.Ready; drains != s.Draining && e.updateEndpoint(entry) {
			changed = append(changed, entry.Member)
		}
	}
	if len(changed) > 0 {
		e.Module.UpdateEndpoints(e.Clock.Now(), policy.ListChanges, changed)
	}
}
