package engine

import (
	"errors"
	"slices"

	"pepperlead/internal/discovery"
	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

// ErrNeverListed is told of an id that no list has ever named.
var ErrNeverListed = errors.New("no list has ever named this id")

// hand is what was done by hand about an endpoint.
type hand struct {
	out  bool        // it is taken out
	back policy.Time // when it was last called back
}

// mostSeen bounds the ids that are known to have been listed once: eight bytes and their place each.
const mostSeen = 1 << 16

// saw notes that an id was listed; of very many the oldest are forgotten.
func (f *members) saw(id policy.EndpointID) {
	if _, is := f.seen[id]; is {
		return
	}
	if len(f.order) < mostSeen {
		f.order = append(f.order, id)
	} else {
		delete(f.seen, f.order[f.oldest])
		f.order[f.oldest] = id
		f.oldest = (f.oldest + 1) % mostSeen
	}
	f.seen[id] = struct{}{}
}

// SeenEndpoints are the ids that lists have named, the latest last, for the process that follows.
func (e *Engine) SeenEndpoints() []policy.EndpointID {
	f := &e.list
	return append(slices.Clone(f.order[f.oldest:]), f.order[:f.oldest]...)
}

// ImportSeen takes over what another process has seen.
func (e *Engine) ImportSeen(ids []policy.EndpointID) {
	for _, id := range ids {
		e.list.saw(id)
	}
}

// shown is what everybody is told of an entry. An endpoint that is out by hand or banned drains, whatever the list says; one that was called
// back was restarted meanwhile, whether or not the list tells so yet.
func (f *members) shown(e discovery.Entry) discovery.Entry {
	h := f.byHand[e.UID]
	if _, banned := slices.BinarySearch(f.banned, e.ID); (h.out || banned) && e.Status == policy.Ready {
		e.Status = policy.Draining
	}
	e.Started = max(e.Started, h.back)
	return e
}

// Listed tells whether any list has named the id; an endpoint that is out by hand was listed when that was done.
func (e *Engine) Listed(uid string) bool {
	_, seen := e.list.seen[endpointfiles.EndpointID(uid)]
	return seen || e.list.byHand[uid].out
}

// SetDrained makes these endpoints the ones that are out by hand. Those that were and are not any more are called back.
func (e *Engine) SetDrained(now policy.Time, uids []string) {
	f := &e.list
	wanted := make(map[string]bool, len(uids))
	for _, uid := range uids {
		wanted[uid] = true
	}
	var changed []policy.Member
	change := func(uid string, to hand) {
		f.byHand[uid] = to
		if s := e.Endpoints[endpointfiles.EndpointID(uid)]; s != nil && s.UID == uid && s.Listed {
			if shown := f.shown(s.Entry); f.know(shown) {
				changed = append(changed, shown.Member)
			}
		}
	}
	for uid, h := range f.byHand {
		if h.out && !wanted[uid] {
			e.Logger.WithField("server", uid).Info("by hand: used again")
			change(uid, hand{back: now})
		}
	}
	for _, uid := range uids {
		if !f.byHand[uid].out {
			e.Logger.WithField("server", uid).Info("by hand: taken out")
			change(uid, hand{out: true})
		}
	}
	if len(changed) > 0 {
		e.Module.UpdateEndpoints(now, policy.ListChanges, changed)
	}
	e.publish(now)
}
