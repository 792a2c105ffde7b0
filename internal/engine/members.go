package engine

import (
	"context"
	"strings"
	"time"

	"pepperlead/internal/discovery"
	"pepperlead/policy"
)

// mostNews is how many lists may wait for the loop.
const mostNews = 4

// told is news of a source, and which source that was: one that is followed no longer may still have some under way.
type told struct {
	by   discovery.Source
	news discovery.Event
}

// members follows a source of endpoints and hands the module what it tells.
type members struct {
	e       *Engine
	source  discovery.Source
	news    chan told
	end     context.CancelFunc
	ended   chan struct{}
	on      bool // the module wants it followed
	heard   bool // some list is there
	fresh   bool // one that the source has told, and not only one that was saved
	failed  int  // calls in a row
	refused string
	byHand  map[string]hand // by uid
	seen    map[policy.EndpointID]struct{}
	order   []policy.EndpointID // of those seen, a ring
	oldest  int
	banned  []policy.EndpointID // by versions
	closed  bool                // versions say which endpoints there are
	own     []discovery.Entry   // what the source said last, where there are versions
}

// start runs a source beside the loop.
func (f *members) start(source discovery.Source) {
	ctx, end := context.WithCancel(context.Background())
	before, ended := f.ended, make(chan struct{})
	f.source, f.end, f.ended = source, end, ended
	if f.on {
		source.Follow(true)
	}
	go func() {
		defer close(ended)
		if before != nil {
			<-before // both may keep their list in one place
		}
		source.Run(ctx, func(n discovery.Event) {
			select {
			case f.news <- told{source, n}:
			case <-ctx.Done():
			}
		})
	}()
}

// move goes over to another source, whose lists need not go on from those of the old.
func (f *members) move(source discovery.Source) {
	f.end()
	f.failed, f.refused = 0, ""
	f.start(source)
}

func (f *members) follow(on bool) {
	if f.on = on; f.source != nil {
		f.source.Follow(on)
	}
}

// lookIn bounds how long the loop waits for its source once it may have stood still.
const lookIn = 50 * time.Millisecond

// look has the source tell what there is by now, where it can be asked; else what has come in for it is given the time to be
// read. A process that stood still, stopped or swapped out, would otherwise send by a list of before.
func (f *members) look() {
	if s, can := f.source.(discovery.Refresher); can {
		s.Refresh(lookIn)
	} else {
		time.Sleep(2 * time.Millisecond)
	}
}

// take hands on what the source has told.
func (f *members) take(now policy.Time, t told) {
	if t.by != f.source {
		return
	}
	switch n := t.news; {
	case n.List != nil:
		f.succeeded()
		f.refused, f.fresh = "", true
		if f.e.terms != nil {
			f.keep(n.List)
		}
		if !f.closed {
			f.apply(now, n.List)
		}
	case n.Failed != "":
		f.e.Counters.ListFailures++
		if f.failed++; f.failed == 1 {
			f.e.Logger.WithField("why", n.Failed).Warn("list: calls fail")
		}
		if f.e.Settings.PollList {
			f.e.Module.ListFailed(now)
		}
	case n.Rejected != "":
		f.e.Counters.ListsRefused++
		f.refused = strings.ReplaceAll(n.Rejected, "\n", "; ")
		f.e.Logger.WithField("why", f.refused).Error("list: refused, the last good one stays")
	case n.Recovered:
		f.refused = ""
		f.e.Logger.Info("list: as it is in force again")
	case n.Note != "":
		f.e.Logger.Warn(n.Note)
	}
}

func (f *members) succeeded() {
	if f.failed > 0 {
		f.e.Logger.WithField("failed", f.failed).Info("list: calls are answered again")
	}
	f.failed = 0
}

// apply hands a list to the module.
func (f *members) apply(now policy.Time, list *discovery.List) {
	f.heard = true
	f.e.Counters.Lists++
	f.e.Counters.ListEntries += len(list.Entries)
	kept := make([]policy.Member, 0, len(list.Entries))
	for _, said := range list.Entries {
		e := f.shown(said)
		if f.know(e) {
			f.e.Endpoints[e.ID].Entry = said
			kept = append(kept, e.Member)
			f.e.recordListed(now, e)
		}
	}
	if list.Kind == policy.ListFull {
		f.missing(kept)
	}
	if list.Kind != policy.ListChanges || len(kept) > 0 {
		f.e.Module.UpdateEndpoints(now, list.Kind, kept)
	}
	f.e.publish(now)
}

// know keeps where an endpoint is. Two endpoints never share an id: by 64 bits of a hash they hardly could, and the
// second is then left out.
func (f *members) know(e discovery.Entry) bool {
	server := f.e.Endpoints[e.ID]
	if server == nil && e.Status == policy.Gone {
		return false
	}
	if server == nil {
		server = &Endpoint{ID: e.ID, UID: e.UID, Addr: e.Addr, Started: e.Started}
		f.e.Endpoints[e.ID] = server
	}
	if server.UID != e.UID {
		f.e.Logger.WithField("uid", e.UID).Error("list: left out, has the id of " + server.UID)
		return false
	}
	f.saw(e.ID)
	server.Zone, server.Listed = e.Zone, e.Status != policy.Gone
	if e.Status != policy.Ready || e.Started > server.Started || e.Addr != server.Addr {
		// Nothing more goes to one that leaves; one that has started anew knows nothing of old connections.
		f.e.retire(server)
	}
	server.Draining = e.Status != policy.Ready
	if server.Started = e.Started; e.Addr != "" {
		server.Addr = e.Addr
	}
	return true
}

// missing retires the endpoints that a whole list no longer names.
func (f *members) missing(named []policy.Member) {
	there := make(map[policy.EndpointID]struct{}, len(named))
	for _, m := range named {
		there[m.ID] = struct{}{}
	}
	for id, server := range f.e.Endpoints {
		if _, is := there[id]; !is {
			server.Listed = false
			f.e.retire(server)
		}
	}
}

// Apply hands the module a list that came from elsewhere than the engine's source.
func (e *Engine) Apply(now policy.Time, list *discovery.List) { e.list.apply(now, list) }
