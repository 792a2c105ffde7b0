package engine

import (
	"github.com/sirupsen/logrus"

	"pepperlead/internal/discovery"
	"pepperlead/policy"
)

// Endpoint is an endpoint as described by the endpoint lists.
type Endpoint struct {
	ID          policy.EndpointID
	UID         string
	Addr        string
	Zone        policy.Zone
	Started     policy.Time
	Draining    bool
	Generation  int             // increases when the endpoint drains, leaves, restarts or moves: old connections close
	Listed      bool            // the endpoint is in the latest list
	Entry       discovery.Entry // the endpoint's entry in the latest list
	listedStart policy.Time     // the endpoint's start in the latest list, by the system clock
	FrontData   [MaxFronts]any  // data of the fronts, by the index that AddFront returned
}

// retire closes the endpoint's idle connections. Connections that are in use are closed after their request.
func (e *Engine) retire(endpoint *Endpoint) {
	endpoint.Draining = true
	endpoint.Generation++
	e.closeIdle(endpoint)
}

func (e *Engine) closeIdle(endpoint *Endpoint) {
	for _, f := range e.fronts {
		f.CloseIdle(endpoint)
	}
}

// updateEndpoint applies an entry of a list to Endpoints and reports whether the entry must also be passed to the
// module. Two endpoints whose ids collide are not merged: the second one is skipped.
func (e *Engine) updateEndpoint(entry discovery.Entry) bool {
	endpoint := e.Endpoints[entry.ID]
	if endpoint == nil && entry.Status == policy.Removed {
		return false
	}
	if endpoint == nil {
		endpoint = &Endpoint{ID: entry.ID, UID: entry.UID, Addr: entry.Addr, Started: entry.Started}
		e.Endpoints[entry.ID] = endpoint
	}
	if endpoint.UID != entry.UID {
		e.Logger.WithFields(logrus.Fields{"uid": entry.UID, "collides_with": endpoint.UID}).
			Error("endpoint skipped, its id collides with that of another endpoint")
		return false
	}
	e.list.seen.add(entry.ID)
	endpoint.Zone = entry.Zone
	endpoint.Listed = entry.Status != policy.Removed
	if entry.Status != policy.Ready || entry.Started > endpoint.Started || entry.Addr != endpoint.Addr {
		e.retire(endpoint)
	}
	endpoint.Draining = entry.Status != policy.Ready
	endpoint.Started = entry.Started
	if entry.Addr != "" {
		endpoint.Addr = entry.Addr
	}
	return true
}

// retireMissing retires the endpoints that are not among the members of a full list.
func (e *Engine) retireMissing(members []policy.Member) {
	listed := make(map[policy.EndpointID]struct{}, len(members))
	for _, member := range members {
		listed[member.ID] = struct{}{}
	}
	for id, endpoint := range e.Endpoints {
		if _, found := listed[id]; !found {
			endpoint.Listed = false
			e.retire(endpoint)
		}
	}
}
