package discovery

import (
	"context"
	"errors"
	"time"

	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/snapshot"
	"pepperlead/policy"
)

// saveInterval is the minimum time between two writes of the cached list.
const saveInterval = time.Second

// Cached wraps a source, saves its list in a directory, and emits it as a saved list at the next start. Writes to disk
// happen in a separate goroutine.
type Cached struct {
	Source
	store *snapshot.Store
	now   func() policy.Time

	resumed      []Entry // the list passed to Resume
	resumedState endpointfiles.State
	hasResumed   bool
}

// NewCached returns a source that caches the list of the given source in the directory.
func NewCached(source Source, directory string, now func() policy.Time) *Cached {
	return &Cached{Source: source, store: &snapshot.Store{Dir: directory}, now: now}
}

// Name returns the name of the wrapped source and the directory.
func (c *Cached) Name() string { return c.Source.Name() + ", cached in " + c.store.Dir }

// Refresh refreshes the wrapped source, if it is a Refresher.
func (c *Cached) Refresh(timeout time.Duration) bool {
	refresher, ok := c.Source.(Refresher)
	return ok && refresher.Refresh(timeout)
}

// Resume replaces the saved list by a later one, which Run doesn't emit.
func (c *Cached) Resume(entries []Entry, state endpointfiles.State) {
	c.resumed = entries
	c.resumedState = state
	c.hasResumed = true
}

// Run emits the saved list and then the events of the wrapped source.
func (c *Cached) Run(ctx context.Context, emit func(Event)) {
	entries, state := c.restore(emit)
	pending := make(chan cachedList, 1)
	saved := make(chan struct{})
	go func() {
		defer close(saved)
		c.saveAll(ctx, pending, emit)
	}()
	c.Source.Run(ctx, func(event Event) {
		emit(event)
		if event.List == nil {
			return
		}
		merge(entries, *event.List)
		if event.List.FileState.Issues != nil {
			state = event.List.FileState
		}
		select {
		case <-pending: // a later list replaces one that was not saved yet
		default:
		}
		pending <- c.document(entries, state)
	})
	close(pending)
	<-saved
}

// restore emits the saved list, if there is one, and returns its entries by uid and the state of its files.
func (c *Cached) restore(emit func(Event)) (map[string]Entry, endpointfiles.State) {
	byUID := map[string]Entry{}
	if c.hasResumed {
		c.resume(byUID, c.resumed, c.resumedState)
		return byUID, c.resumedState
	}
	entries, state, err := c.load()
	if errors.Is(err, snapshot.ErrNotFound) {
		return byUID, endpointfiles.State{}
	}
	if err != nil {
		// The source will emit a newer list anyway, so a damaged one must not prevent the start.
		emit(Event{Note: "cached endpoint list ignored: " + err.Error()})
		return byUID, endpointfiles.State{}
	}
	c.resume(byUID, entries, state)
	emit(Event{List: &List{Kind: policy.ListSaved, Entries: entries, FileState: state}})
	return byUID, state
}

// resume adds the entries to byUID, and lets the wrapped source continue from them if it can.
func (c *Cached) resume(byUID map[string]Entry, entries []Entry, state endpointfiles.State) {
	for _, entry := range entries {
		byUID[entry.UID] = entry
	}
	if source, ok := c.Source.(Resumer); ok {
		source.Resume(entries, state)
	}
}

// saveAll saves the lists from the channel, at most one per saveInterval, until the channel is closed.
func (c *Cached) saveAll(ctx context.Context, pending <-chan cachedList, emit func(Event)) {
	for list := range pending {
		if err := c.save(list); err != nil {
			emit(Event{Note: "endpoint list cannot be cached: " + err.Error()})
		}
		sleep(ctx, saveInterval)
	}
}

// merge applies a list to the current entries.
func merge(entries map[string]Entry, list List) {
	if list.Kind != policy.ListChanges {
		clear(entries)
	}
	for _, entry := range list.Entries {
		if entry.Status == policy.Removed {
			delete(entries, entry.UID)
		} else {
			entries[entry.UID] = entry
		}
	}
}
