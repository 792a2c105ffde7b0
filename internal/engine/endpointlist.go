package engine

import (
	"context"
	"slices"
	"strings"
	"time"

	"pepperlead/internal/discovery"
	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/liststate"
	"pepperlead/policy"
)

const (
	// maxPendingEvents is the number of events of the source that may wait for the loop.
	maxPendingEvents = 4
	// refreshTimeout bounds how long the loop waits for the source to refresh its list, after the process may have been
	// suspended.
	refreshTimeout = 50 * time.Millisecond
	// readTimeout is how long the loop waits, in place of a refresh, for a source that can't be refreshed to read data
	// that has already arrived.
	readTimeout = 2 * time.Millisecond
)

// sourceEvent is an event together with its source, so that late events of a replaced source can be recognised.
type sourceEvent struct {
	source discovery.Source
	event  discovery.Event
}

// endpointList follows a source of endpoints and passes its lists to the module.
type endpointList struct {
	engine    *Engine
	source    discovery.Source
	events    chan sourceEvent
	cancel    context.CancelFunc // ends the source
	done      chan struct{}      // closed once the source has ended
	following bool               // the module wants the source to follow changes
	hasList   bool               // a list has been applied, perhaps a saved one
	fresh     bool               // a source has told a list since the engine started
	failures  int                // consecutive failures of the source
	rejection string             // why the latest list was rejected; "" if it was not

	told          liststate.Origin // of the list in force; without a time if that is a saved list
	toldElsewhere bool             // the list in force was told to another process of the instance
	handedOver    bool             // a serving process has handed over its list
	savedRevision int64            // of the list that the configuration has brought
	fileState     endpointfiles.State

	holders addressHolders
	drained map[string]drainState // administrative states, by uid
	seen    seenIDs

	rulesDrained []policy.EndpointID // endpoints drained by the agreed rules, sorted
	// drainedElsewhere holds the endpoints that the agreed rules drain at another process of the instance, as long as
	// this process holds no lease on the rules.
	drainedElsewhere []policy.EndpointID
	rulesList        bool              // the endpoints are those of the agreed rules, not those of the source
	sourceEntries    []discovery.Entry // the source's latest list; only kept if there are agreed rules
}

func newEndpointList(e *Engine) endpointList {
	return endpointList{
		engine:  e,
		events:  make(chan sourceEvent, maxPendingEvents),
		holders: addressHolders{},
		drained: map[string]drainState{},
		seen:    newSeenIDs(),
	}
}

// start runs a source in its own goroutine, once the previous source has ended: both may save their list in the same
// directory.
func (l *endpointList) start(source discovery.Source) {
	ctx, cancel := context.WithCancel(context.Background())
	previous := l.done
	done := make(chan struct{})
	l.source = source
	l.cancel = cancel
	l.done = done
	if l.following {
		source.Follow(true)
	}
	go func() {
		defer close(done)
		if previous != nil {
			<-previous
		}
		source.Run(ctx, func(event discovery.Event) {
			select {
			case l.events <- sourceEvent{source: source, event: event}:
			case <-ctx.Done():
			}
		})
	}()
}

// replaceSource switches to another source. The lists of the new source need not be related to those of the old one.
func (l *endpointList) replaceSource(source discovery.Source) {
	l.cancel()
	l.failures = 0
	l.rejection = ""
	l.toldElsewhere = false
	l.start(source)
}

func (l *endpointList) follow(on bool) {
	l.following = on
	if l.source != nil {
		l.source.Follow(on)
	}
}

// refresh lets the source report the current list before the loop continues, because a process that was suspended would
// otherwise dispatch requests by an outdated list.
func (l *endpointList) refresh() {
	if source, ok := l.source.(discovery.Refresher); ok {
		source.Refresh(refreshTimeout)
		return
	}
	time.Sleep(readTimeout)
}

// handle handles an event of the source. Events of a replaced source are ignored.
func (l *endpointList) handle(now policy.Time, from sourceEvent) {
	if from.source != l.source {
		return
	}
	log := l.engine.Logger
	switch event := from.event; {
	case event.List != nil:
		l.handleList(now, event.List)
	case event.Failed != "":
		l.handleFailure(now, event.Failed)
	case event.Rejected != "":
		l.engine.Counters.ListsRefused++
		l.rejection = strings.ReplaceAll(event.Rejected, "\n", "; ")
		log.WithField("reason", l.rejection).Error("endpoint list rejected, the last valid one stays in use")
	case event.Recovered:
		l.rejection = ""
		log.Info("endpoint list is valid again")
	case event.Note != "":
		log.Warn(event.Note)
	}
}

func (l *endpointList) handleList(now policy.Time, list *discovery.List) {
	if l.failures > 0 {
		l.engine.Logger.WithField("failures", l.failures).Info("endpoint source has recovered")
	}
	l.failures = 0
	l.rejection = ""
	saved := list.Kind == policy.ListSaved
	l.fresh = l.fresh || !saved
	origin := l.origin(list)
	if l.isOutdated(list, &origin) {
		// What has changed since comes with the source's next lists.
		if !saved {
			l.engine.Module.UpdateEndpoints(now, policy.ListChanges, nil)
		}
		return
	}
	if l.engine.rules != nil {
		l.updateSourceList(list)
	}
	if !l.rulesList {
		l.apply(now, list)
	}
	if saved {
		return
	}
	changed := list.Kind == policy.ListFull || len(list.Entries) > 0 || origin.Revision != l.told.Revision
	l.told = origin
	l.toldElsewhere = false
	if list.FileState.Issues != nil {
		l.fileState = list.FileState
	}
	if changed {
		l.notifyChange()
	}
}

func (l *endpointList) handleFailure(now policy.Time, reason string) {
	l.engine.Counters.ListFailures++
	l.failures++
	if l.failures == 1 {
		l.engine.Logger.WithField("reason", reason).Warn("endpoint source failed")
	}
	if l.engine.Settings.PollList {
		l.engine.Module.ListFailed(now)
	}
}

// timedEntry is a list entry whose start is by the engine's clock.
type timedEntry struct {
	discovery.Entry
	listedStart policy.Time // the start as it was listed, by the system clock
}

// apply updates Engine.Endpoints to match a list and passes the list to the module.
func (l *endpointList) apply(now policy.Time, list *discovery.List) {
	entries := make([]timedEntry, 0, len(list.Entries))
	for _, reported := range list.Entries {
		timed := l.engine.withStartTime(now, reported)
		entries = append(entries, timedEntry{Entry: timed, listedStart: reported.Started})
	}
	l.applyEntries(now, list.Kind, entries)
}

// applyEntries does the work of apply for entries whose starts are by the engine's clock.
func (l *endpointList) applyEntries(now policy.Time, kind policy.ListKind, entries []timedEntry) {
	e := l.engine
	l.hasList = true
	e.Counters.Lists++
	e.Counters.ListEntries += len(entries)
	members := make([]policy.Member, 0, len(entries))
	if kind != policy.ListChanges {
		l.holders.retain(entries)
	}
	for _, listed := range entries {
		claimed, loser := l.claimAddress(listed.Entry)
		entry := l.effectiveEntry(claimed)
		if !e.updateEndpoint(entry) {
			continue
		}
		e.Endpoints[entry.ID].Entry = listed.Entry
		e.Endpoints[entry.ID].listedStart = listed.listedStart
		members = append(members, entry.Member)
		e.recordListed(now, entry)
		if loser != nil {
			members = l.replace(loser, entry.ID, members)
		}
	}
	if kind != policy.ListChanges {
		e.retireMissing(members)
	}
	if kind != policy.ListChanges || len(members) > 0 {
		e.Module.UpdateEndpoints(now, kind, members)
	}
	e.publishMetrics(now)
}

// updateSourceList applies a list to sourceEntries, so that the source's list can be used when the agreed rules no
// longer name the endpoints.
func (l *endpointList) updateSourceList(list *discovery.List) {
	if list.Kind != policy.ListChanges {
		l.sourceEntries = nil
	}
	for _, entry := range list.Entries {
		i := slices.IndexFunc(l.sourceEntries, func(other discovery.Entry) bool { return other.ID == entry.ID })
		switch {
		case i >= 0 && entry.Status == policy.Removed:
			l.sourceEntries = slices.Delete(l.sourceEntries, i, i+1)
		case i >= 0:
			l.sourceEntries[i] = entry
		case entry.Status != policy.Removed:
			l.sourceEntries = append(l.sourceEntries, entry)
		}
	}
}

// ApplyList applies a list that does not come from the engine's source.
func (e *Engine) ApplyList(now policy.Time, list *discovery.List) { e.list.apply(now, list) }

// ListFresh reports whether a source has told a list since the engine started.
func (e *Engine) ListFresh() bool { return e.list.fresh }

// ListStatus reports whether there is an endpoint list, and why the latest list was rejected ("" if it was not).
func (e *Engine) ListStatus() (hasList bool, rejection string) {
	return e.list.hasList, e.list.rejection
}
