// Package discovery provides the sources of the endpoint list: the platform's discovery service, watched files, a fixed
// list, and a cache around any of them. A source runs in a goroutine of its own and emits events. Whether a list that
// was read from files is accepted is decided in internal/endpointfiles.
package discovery

import (
	"context"
	"time"

	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

// Entry is an endpoint and its address.
type Entry = endpointfiles.Entry

// List is a list of endpoints as a source has it. It is shared, and must not be changed.
type List struct {
	Kind      policy.ListKind
	Entries   []Entry
	FileState endpointfiles.State // what a source of files needs again after a restart
}

// Event is what a source emits: a list, or else a text about what went wrong.
type Event struct {
	List      *List
	Failed    string // why a call failed; the source retries by itself or waits for Follow
	Rejected  string // why what was read is not used; the list in force stays
	Recovered bool   // what was rejected is gone: the list in force is again what the source has
	Note      string // something that an operator should know
}

// Source emits lists of endpoints, in the order in which they take effect.
type Source interface {
	// Name identifies the source: two with one name have the same configuration.
	Name() string
	// Run emits events until the context ends. It is called once.
	Run(ctx context.Context, emit func(Event))
	// Follow starts or stops calls, for sources whose calls cost a shared service something. It never blocks.
	Follow(on bool)
}

// Refresher is a source that can read its list again at once.
type Refresher interface {
	// Refresh reads the list and reports whether its events were emitted within the time.
	Refresh(within time.Duration) bool
}

var (
	_ Source    = (*Fixed)(nil)
	_ Source    = (*Files)(nil)
	_ Source    = (*Platform)(nil)
	_ Refresher = (*Files)(nil)
	_ Refresher = (*Cached)(nil)
)

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
