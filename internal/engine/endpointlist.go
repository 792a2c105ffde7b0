package engine

import (
	"context"
	"slices"
	"strings"
	"time"

	"pepperlead/internal/discovery"
	"pepperlead/policy"
)

const (
	// maxPendingEvents is how many events of the source may wait for the loop.
	maxPendingEvents = 4
	// refreshTimeout bounds how long the loop waits for its source after it may have been suspended.
	refreshTimeout = 50 * time.Millisecond
	// readTimeout is how long a source that can't be refreshed gets to read what has arrived.
	readTimeout = 2 * time.Millisecond
)

// sourceEvent is an event and its source: one that has been replaced may still have events under way.
type sourceEvent struct {
	source discovery.Source
	event  discovery.Event
}

// endpointList follows a source of endpoints and hands the module what that reports.
type endpointList struct {
	engine    *Engine
	source    discovery.Source
	events    chan sourceEvent
	cancel    context.CancelFunc // ends the source
	done      chan struct{}      // closed once the source has ended
	following bool               // the module wants the source followed
	known     bool               // there is a list
	fresh     bool               // there is one of the source, and not only a saved one
	failures  int                // of the source in a row
	refused   string             // why the latest list was refused, "" if it was not

	drained map[string]drainState // administratively, by uid
	seen    seenIDs

	rulesDrained  []policy.EndpointID // sorted
	rulesList     bool                // the agreed rules name the endpoints, not the source
	sourceEntries []discovery.Entry   // the source's latest list, where there are agreed rules
}

func newEndpointList(e *Engine) endpointList {
	return endpointList{
		engine:  e,
		events:  make(chan sourceEvent, maxPendingEvents),
		drained: map[string]drainState{},
		seen:    newSeenIDs(),
	}
}

// start runs a source beside the loop, once the one before has ended: both may keep their list in one folder.
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

// replaceSource goes over to another source, whose lists need not continue those of the one before.
func (l *endpointList) replaceSource(source discovery.Source) {
	l.cancel()
	l.failures = 0
	l.refused = ""
	l.start(source)
}

func (l *endpointList) follow(on bool) {
	l.following = on
	if l.source != nil {
		l.source.Follow(on)
	}
}

// refresh has the source report the current list if it can. A process that was suspended would otherwise send by an
// outdated one.
func (l *endpointList) refresh() {
	if source, ok := l.source.(discovery.Refresher); ok {
		source.Refresh(refreshTimeout)
		return
	}
	time.Sleep(readTimeout)
}

// handle handles an event of the source.
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
		l.refused = strings.ReplaceAll(event.Rejected, "\n", "; ")
		log.WithField("reason", l.refused).Error("endpoint list rejected, the last valid one stays in use")
	case event.Recovered:
		l.refused = ""
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
	l.refused = ""
	l.fresh = true
	if l.engine.rules != nil {
		l.updateSourceList(list)
	}
	if !l.rulesList {
		l.apply(now, list)
	}
}

func (l *endpointList) handleFailure(now policy.Time, reason string) {
	l.engine.Counters.ListFailures++
	l.failures++
	if l.failures == 1 {
		l.engine.Logger.WithField("reason", reason).Warn("endpoint source fails")
	}
	if l.engine.Settings.PollList {
		l.engine.Module.ListFailed(now)
	}
}

// apply hands a list to the module.
func (l *endpointList) apply(now policy.Time, list *discovery.List) {
	e := l.engine
	l.known = true
	e.Counters.Lists++
	e.Counters.ListEntries += len(list.Entries)
	members := make([]policy.Member, 0, len(list.Entries))
	for _, listed := range list.Entries {
		entry := l.effective(listed)
		if !e.updateEndpoint(entry) {
			continue
		}
		e.Endpoints[entry.ID].Entry = listed
		members = append(members, entry.Member)
		e.recordListed(now, entry)
	}
	if list.Kind == policy.ListFull {
		e.retireMissing(members)
	}
	if list.Kind != policy.ListChanges || len(members) > 0 {
		e.Module.UpdateEndpoints(now, list.Kind, members)
	}
	e.publishFigures(now)
}

// updateSourceList keeps the source's list up to date while the agreed rules name the endpoints.
func (l *endpointList) updateSourceList(list *discovery.List) {
	if list.Kind != policy.ListChanges {
		l.sourceEntries = nil
	}
	for _, entry := range list.Entries {
		at := slices.IndexFunc(l.sourceEntries, func(known discovery.Entry) bool { return known.ID == entry.ID })
		switch {
		case at >= 0 && entry.Status == policy.Removed:
			l.sourceEntries = slices.Delete(l.sourceEntries, at, at+1)
		case at >= 0:
			l.sourceEntries[at] = entry
		case entry.Status != policy.Removed:
			l.sourceEntries = append(l.sourceEntries, entry)
		}
	}
}

// Apply hands the module a list that came from elsewhere than the engine's source.
func (e *Engine) Apply(now policy.Time, list *discovery.List) { e.list.apply(now, list) }

// ListFresh tells whether the source has reported a list since the start.
func (e *Engine) ListFresh() bool { return e.list.fresh }

// ListStatus tells whether there is a list of endpoints, and why the latest was refused, "" if it was not.
func (e *Engine) ListStatus() (known bool, refused string) { return e.list.known, e.list.refused }
