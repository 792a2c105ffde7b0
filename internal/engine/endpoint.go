package engine

import (
	"github.com/sirupsen/logrus"

	"pepperlead/internal/discovery"
	"pepperlead/policy"
)

// Endpoint is an endpoint as the lists describe it.
type Endpoint struct {
	ID         policy.EndpointID
	UID        string
	Addr       string
	Zone       policy.Zone
	Started    policy.Time
	Draining   bool
	Generation int             // rises when connections become useless: the endpoint leaves, restarts or moves
	Listed     bool            // the latest list names it
	Entry      discovery.Entry // of the latest list
	FrontData  [MaxFronts]any  // the fronts' own, by the index that Add returned
}

// retire closes the endpoint's idle connections and lets none be kept from now on.
func (e *Engine) retire(s *Endpoint) {
	s.Draining = true
	s.Generation++
	e.closeIdle(s)
}

func (e *Engine) closeIdle(s *Endpoint) {
	for _, f := range e.fronts {
		f.CloseIdle(s)
	}
}

// updateEndpoint takes over an entry and returns false if it is not for the module. Two endpoints whose ids
// collide are not merged: the second is left out.
func (e *Engine) updateEndpoint(entry discovery.Entry) bool {
	s := e.Endpoints[entry.ID]
	if s == nil && entry.Status == policy.Removed {
		return false
	}
	if s == nil {
		s = &Endpoint{ID: entry.ID, UID: entry.UID, Addr: entry.Addr, Started: entry.Started}
		e.Endpoints[entry.ID] = s
	}
	if s.UID != entry.UID {
		e.Logger.WithFields(logrus.Fields{"uid": entry.UID, "collides_with": s.UID}).
			Error("endpoint skipped, its id collides with another one's")
		return false
	}
	e.list.seen.add(entry.ID)
	s.Zone = entry.Zone
	s.Listed = entry.Status != policy.Removed
	if entry.Status != policy.Ready || entry.Started > s.Started || entry.Addr != s.Addr {
		e.retire(s)
	}
	s.Draining = entry.Status != policy.Ready
	s.Started = entry.Started
	if entry.Addr != "" {
		s.Addr = entry.Addr
	}
	return true
}

// retireMissing retires the endpoints that a full list does not name any more.
func (e *Engine) retireMissing(named []policy.Member) {
	listed := make(map[policy.EndpointID]struct{}, len(named))
	for _, member := range named {
		listed[member.ID] = struct{}{}
	}
	for id, s := range e.Endpoints {
		if _, found := listed[id]; !found {
			s.Listed = false
			e.retire(s)
		}
	}
}
