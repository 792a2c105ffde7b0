package engine

import (
	"slices"

	"pepperlead/policy"
)

// maxSeenIDs bounds the number of remembered ids, and so their memory.
const maxSeenIDs = 1 << 16

// seenIDs holds the ids that have been in endpoint lists. If there are too many, the oldest are forgotten.
type seenIDs struct {
	set    map[policy.EndpointID]struct{}
	ring   []policy.EndpointID
	oldest int // index of the oldest id in the ring; 0 until the ring is full
}

func newSeenIDs() seenIDs { return seenIDs{set: map[policy.EndpointID]struct{}{}} }

func (s *seenIDs) add(id policy.EndpointID) {
	if s.contains(id) {
		return
	}
	if len(s.ring) < maxSeenIDs {
		s.ring = append(s.ring, id)
	} else {
		delete(s.set, s.ring[s.oldest])
		s.ring[s.oldest] = id
		s.oldest = (s.oldest + 1) % maxSeenIDs
	}
	s.set[id] = struct{}{}
}

func (s *seenIDs) contains(id policy.EndpointID) bool {
	_, found := s.set[id]
	return found
}

// all returns the ids, the oldest first.
func (s *seenIDs) all() []policy.EndpointID {
	return append(slices.Clone(s.ring[s.oldest:]), s.ring[:s.oldest]...)
}

// SeenEndpoints returns the ids that have been in endpoint lists, the latest last. They are passed on to the next
// process in a hot restart.
func (e *Engine) SeenEndpoints() []policy.EndpointID { return e.list.seen.all() }

// ImportSeen adds the ids that the previous process has seen.
func (e *Engine) ImportSeen(ids []policy.EndpointID) {
	for _, id := range ids {
		e.list.seen.add(id)
	}
}
