// Package discovery provides the sources of the endpoint list: the platform's discovery service, watched files, a fixed
// list, and a cache around any of them. A source runs in its own goroutine and emits events. Lists that are read from
// files are validated by internal/endpointfiles.
package discovery

import (
	"context"
	"time"

	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

// Entry is an endpoint and its address.
type Entry = endpointfiles.Entry

// List is an endpoint list that a source emits. It is shared and must not be changed.
type List struct {
	Kind      policy.ListKind
	Entries   []Entry
	FileState endpointfiles.State // what a source of files must restore after a restart

	// Revision counts the changes of the list where the source counts them, and is 0 otherwise.
	Revision int64
	// AskedAt is the time since boot at which the source asked for the list, and ToldAt that at which it had the list.
	// The list contains all that was known at AskedAt. Both are 0 if the source doesn't say so.
	AskedAt, ToldAt policy.Time
}

// Event is an event of a source: a new list, or a report about a problem. Exactly one field is set.
type Event struct {
	List      *List
	Failed    string // why a call failed; the source retries by itself or waits for Follow
	Rejected  string // why a list is not used; the list in force stays in use
	Recovered bool   // the rejected list is gone: the source has the list in force again
	Note      string // a message for the operator
}

// Source emits lists of endpoints, in the order in which they take effect.
type Source interface {
	// Name identifies the source. Two sources with the same name have the same configuration.
	Name() string
	// Run emits events until the context ends. It is called once.
	Run(ctx context.Context, emit func(Event))
	// Follow starts or stops the calls of a source that calls a service, because the calls put load on a service that
	// may be shared. Other sources ignore it. It never blocks.
	Follow(on bool)
}

// Resumer is a source that can continue from a list that was saved earlier.
type Resumer interface {
	// Resume puts a list in force that was saved earlier, with the state that was saved with it. It must be called
	// before Run.
	Resume(entries []Entry, state endpointfiles.State)
}

// Refresher is a source that can read its list on request.
type Refresher interface {
	// Refresh reads the list immediately, and reports whether its events were emitted before the timeout.
	Refresh(timeout time.Duration) bool
}

var (
	_ Source    = (*Fixed)(nil)
	_ Source    = (*Files)(nil)
	_ Source    = (*Platform)(nil)
	_ Refresher = (*Files)(nil)
	_ Refresher = (*Cached)(nil)
	_ Resumer   = (*Files)(nil)
	_ Resumer   = (*Cached)(nil)
)

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
