package endpointfiles

import (
	"cmp"
	"maps"
	"slices"

	"pepperlead/policy"
)

const (
	// maxDrains bounds the number of remembered drains; if there are more, the oldest are forgotten.
	maxDrains = 1 << 16
	// maxIssues bounds the number of remembered issues; if there are more, those of removed files are forgotten.
	maxIssues = 1 << 12
)

// State is the state that the validator keeps in addition to the list in force. It must survive a restart.
type State struct {
	Issues map[string]Issue `json:"issues,omitempty"` // last accepted issues, by file name
	Drains map[string]Drain `json:"drains,omitempty"` // remembered drains, by uid
}

// Drain records when an endpoint was listed as draining.
type Drain struct {
	FirstListed policy.Time `json:"first"` // when it was first listed as draining
	LastListed  policy.Time `json:"last"`  // when it was last listed
}

// Resume puts a list in force that was saved earlier, and restores the state that was saved with it.
func (v *Validator) Resume(entries []Entry, state State) {
	for _, entry := range entries {
		v.current[entry.UID] = entry
	}
	maps.Copy(v.state.Issues, state.Issues)
	maps.Copy(v.state.Drains, state.Drains)
}

// State returns a copy of the state.
func (v *Validator) State() State {
	return State{Issues: maps.Clone(v.state.Issues), Drains: maps.Clone(v.state.Drains)}
}

// recordStatus records whether an endpoint of an accepted list is draining.
func (s *State) recordStatus(now policy.Time, entry Entry) {
	if entry.Status == policy.Ready {
		delete(s.Drains, entry.UID)
		return
	}
	drain, known := s.Drains[entry.UID]
	if !known {
		drain.FirstListed = now
	}
	drain.LastListed = now
	s.Drains[entry.UID] = drain
}

// forget removes drains whose endpoint has been unlisted for longer than DrainMemory, and drains and issues that exceed
// the maximum numbers.
func (v *Validator) forget(now policy.Time) {
	maps.DeleteFunc(v.state.Drains, func(uid string, drain Drain) bool {
		_, listed := v.current[uid]
		return !listed && now-drain.LastListed >= v.limits.DrainMemory
	})
	if len(v.state.Issues) > maxIssues {
		maps.DeleteFunc(v.state.Issues, func(name string, _ Issue) bool {
			_, inForce := v.digests[name]
			return !inForce
		})
	}
	v.state.forgetOldestDrains()
}

// forgetOldestDrains removes the oldest drains if there are more than maxDrains.
func (s *State) forgetOldestDrains() {
	excess := len(s.Drains) - maxDrains
	if excess <= 0 {
		return
	}
	uids := slices.SortedFunc(maps.Keys(s.Drains), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Drains[a].LastListed, s.Drains[b].LastListed), cmp.Compare(a, b))
	})
	for _, uid := range uids[:excess] {
		delete(s.Drains, uid)
	}
}
