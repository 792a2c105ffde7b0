// Package discovery is where servers come from: the platform's discovery, a fixed list, watched files. Each source runs beside
// the loop, and what it has to tell crosses over as values. What becomes of a list that was read from files is decided in
// internal/listing.
package discovery

import (
	"context"
	"sync"
	"time"

	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

// Entry is a server and where it is.
type Entry = endpointfiles.Entry

// List is a list of servers as a source has it. Whoever gets it may keep it, and must not change it.
type List struct {
	Kind      policy.ListKind
	Entries   []Entry
	FileState endpointfiles.State // what a source of files needs again after a restart
}

// Event is what a source tells: a list, or else what went wrong.
type Event struct {
	List      *List
	Failed    string // a call failed; the source goes on by itself or waits for Follow
	Rejected  string // what was read is not taken, and the last good list stays
	Recovered bool   // what had been refused is gone: the list in force is what the source has
	Note      string // something that whoever is on call should know
}

// Source tells of servers, whole lists and changes in the order in which they hold.
type Source interface {
	// Name tells one source from another: two with one name are alike in all that matters.
	Name() string
	// Run tells what there is until the context ends. It is called once.
	Run(ctx context.Context, say func(Event))
	// Follow begins or ends to ask, for sources that cost somebody something. It never waits.
	Follow(on bool)
}

// Fixed is a list that never changes.
type Fixed struct {
	Entries []Entry
	Label   string // its name
}

// Name gives the name it was made with.
func (f *Fixed) Name() string { return f.Label }

// Follow has nothing to begin.
func (f *Fixed) Follow(bool) {}

// Run tells the list.
func (f *Fixed) Run(ctx context.Context, say func(Event)) {
	say(Event{List: &List{Kind: policy.ListFull, Entries: f.Entries}})
	<-ctx.Done()
}

// gate is open while a source is to ask.
type gate struct {
	mu     sync.Mutex
	on     bool
	opened chan struct{}
}

func newGate() gate { return gate{opened: make(chan struct{}, 1)} }

// Follow opens or closes the gate.
func (g *gate) Follow(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.on = on
	select {
	case g.opened <- struct{}{}:
	default:
	}
}

// pass waits until the gate is open; false: the context has ended.
func (g *gate) pass(ctx context.Context) bool {
	for {
		g.mu.Lock()
		on := g.on
		g.mu.Unlock()
		if on && ctx.Err() == nil {
			return true
		}
		select {
		case <-g.opened:
		case <-ctx.Done():
			return false
		}
	}
}

// Refresher is a source that can be asked to read its list again at once.
type Refresher interface {
	// Refresh reads the list and reports whether that ended within the time.
	Refresh(within time.Duration) bool
}

var (
	_ Refresher = (*Files)(nil)
	_ Refresher = (*Cached)(nil)
)
