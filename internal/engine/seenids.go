package engine

import (
	"slices"

	"pepperlead/policy"
)

// maxSeenIDs bounds the memory for the ids that lists have named.
const maxSeenIDs = 1 << 16

// seenIDs are the latest ids that lists have named. The oldest are forgotten.
type seenIDs struct {
	set    map[policy.EndpointID]struct{}
	ring   []policy.EndpointID
	oldest int // in the ring, once that is full
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

// SeenEndpoints are the ids that lists have named, the latest last, for the process that takes over.
func (e *Engine) SeenEndpoints() []policy.EndpointID { return e.list.seen.all() }

// ImportSeen takes over the ids that the process before has seen.
func (e *Engine) ImportSeen(ids []policy.EndpointID) {
	for _, id := range ids {
		e.list.seen.add(id)
	}
}
