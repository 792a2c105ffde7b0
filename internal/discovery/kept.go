package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/snapshot"
	"pepperlead/policy"
)

const (
	keptName    = "servers"
	keptKind    = "servers"
	keptVersion = 1
	saveEvery   = time.Second
)

// resumer is a source that can go on from a list kept earlier.
type resumer interface {
	Resume(entries []Entry, memo endpointfiles.State)
}

// Cached is a source whose last list is kept in a folder and told again, as a saved one, at the next start. Writing waits for
// the disk beside the loop and beside the source.
type Cached struct {
	Source
	store *snapshot.Store
	now   func() policy.Time
}

// NewCached wraps a source.
func NewCached(s Source, dir string, now func() policy.Time) *Cached {
	return &Cached{Source: s, store: &snapshot.Store{Dir: dir}, now: now}
}

// Name tells the folder too.
func (k *Cached) Name() string { return k.Source.Name() + ", kept in " + k.store.Dir }

// Refresh is the source's, where it has one.
func (k *Cached) Refresh(within time.Duration) bool {
	s, can := k.Source.(Refresher)
	return can && s.Refresh(within)
}

// saved is what is kept.
type saved struct {
	Saved   policy.Time                    `json:"saved"` // Unix time, ns
	Servers []savedServer                  `json:"servers"`
	Issues  map[string]endpointfiles.Issue `json:"issues,omitempty"`
	Drains  map[string][2]policy.Time      `json:"drains,omitempty"` // told, last named
}

type savedServer struct {
	UID      string                `json:"id"`
	Addr     string                `json:"address"`
	Zone     policy.Zone           `json:"zone,omitempty"`
	Cell     policy.Cell           `json:"pod,omitempty"`
	Weight   float64               `json:"weight"`
	Standing policy.EndpointStatus `json:"standing,omitempty"`
	Started  policy.Time           `json:"started,omitempty"`
}

// Run tells the list kept, then what the source has to tell.
func (k *Cached) Run(ctx context.Context, say func(Event)) {
	in := map[string]Entry{}
	memo := endpointfiles.State{}
	switch entries, was, err := k.load(); {
	case err == nil:
		for _, e := range entries {
			in[e.UID] = e
		}
		memo = was
		if r, can := k.Source.(resumer); can {
			r.Resume(entries, memo)
		}
		say(Event{List: &List{Kind: policy.ListSaved, Entries: entries, FileState: memo}})
	case !errors.Is(err, snapshot.ErrNotFound):
		// A damaged list is no reason not to serve: the source has a newer one.
		say(Event{Note: "kept list: left out: " + err.Error()})
	}
	due, written := make(chan saved, 1), make(chan struct{})
	go func() {
		defer close(written)
		for doc := range due {
			if err := k.save(doc); err != nil {
				say(Event{Note: "the list cannot be kept: " + err.Error()})
			}
			sleep(ctx, saveEvery)
		}
	}()
	k.Source.Run(ctx, func(n Event) {
		say(n)
		if n.List == nil {
			return
		}
		merge(in, *n.List)
		if n.List.FileState.Issues != nil {
			memo = n.List.FileState
		}
		select {
		case <-due: // a newer one takes its place
		default:
		}
		due <- k.document(in, memo)
	})
	close(due)
	<-written
}

// merge brings what is in force up to what a list says.
func merge(in map[string]Entry, l List) {
	if l.Kind != policy.ListChanges {
		clear(in)
	}
	for _, e := range l.Entries {
		if e.Status == policy.Gone {
			delete(in, e.UID)
		} else {
			in[e.UID] = e
		}
	}
}

func (k *Cached) document(in map[string]Entry, memo endpointfiles.State) saved {
	doc := saved{Saved: k.now(), Issues: memo.Issues, Drains: map[string][2]policy.Time{}}
	for uid, d := range memo.Drains {
		doc.Drains[uid] = [2]policy.Time{d.FirstListed, d.LastListed}
	}
	for _, e := range slices.SortedFunc(maps.Values(in), func(a, b Entry) int { return cmp.Compare(a.UID, b.UID) }) {
		doc.Servers = append(doc.Servers, savedServer{e.UID, e.Addr, e.Zone, e.Cell, e.Weight, e.Status, e.Started})
	}
	return doc
}

func (k *Cached) save(doc saved) error {
	body, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	return k.store.Put(keptName, keptKind, keptVersion, body)
}

func (k *Cached) load() ([]Entry, endpointfiles.State, error) {
	var doc saved
	memo := endpointfiles.State{Drains: map[string]endpointfiles.Drain{}}
	body, err := k.store.Get(keptName, keptKind, keptVersion)
	if err == nil {
		err = json.Unmarshal(body, &doc)
	}
	if err != nil {
		return nil, memo, err
	}
	memo.Issues = doc.Issues
	for uid, d := range doc.Drains {
		memo.Drains[uid] = endpointfiles.Drain{FirstListed: d[0], LastListed: d[1]}
	}
	var entries []Entry
	for _, s := range doc.Servers {
		if s.UID == "" || s.Addr == "" || !(s.Weight >= 0 && s.Weight < 1e12) || s.Standing > policy.Draining {
			return nil, memo, errors.New("a server in it cannot be used: " + s.UID)
		}
		entries = append(entries, Entry{UID: s.UID, Addr: s.Addr, Member: policy.Member{ID: endpointfiles.EndpointID(s.UID),
			Zone: s.Zone, Cell: s.Cell, Weight: s.Weight, Status: s.Standing, Started: s.Started}})
	}
	return entries, memo, nil
}
