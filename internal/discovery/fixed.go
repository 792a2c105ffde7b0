package discovery

import (
	"context"

	"pepperlead/policy"
)

// Fixed is a source whose list never changes.
type Fixed struct {
	Entries []Entry
	Label   string // the source's name
}

// Name returns the label.
func (f *Fixed) Name() string { return f.Label }

// Follow does nothing, because the source makes no calls.
func (f *Fixed) Follow(bool) {}

// Run emits the list.
func (f *Fixed) Run(ctx context.Context, emit func(Event)) {
	emit(Event{List: &List{Kind: policy.ListFull, Entries: f.Entries}})
	<-ctx.Done()
}
