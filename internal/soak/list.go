package soak

import (
	"slices"
	"sync"

	"pepperlead/internal/fakebackend"
)

// States of a server in the list.
const (
	stateReady    = "Ready"
	stateDraining = "Terminating"
)

// serverList is the endpoint list that the discovery agent of every sidecar serves.
type serverList struct {
	catalog *fakebackend.Catalog

	mu      sync.Mutex
	entries []listEntry
}

// listEntry is a server with its state.
type listEntry struct {
	server *server
	state  string
}

// startList starts a discovery service that listens on the address.
func startList(address string) (*serverList, error) {
	catalog, err := fakebackend.StartCatalog(address)
	if err != nil {
		return nil, err
	}
	return &serverList{catalog: catalog}, nil
}

// set adds a server or changes its state. An empty state removes it.
func (l *serverList) set(s *server, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = slices.DeleteFunc(l.entries, func(e listEntry) bool { return e.server == s })
	if state != "" {
		l.entries = append(l.entries, listEntry{s, state})
	}
	l.catalog.SetTargets(l.targets())
}

// ready returns the servers that are ready.
func (l *serverList) ready() []*server {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*server
	for _, e := range l.entries {
		if e.state == stateReady {
			all = append(all, e.server)
		}
	}
	return all
}

// snapshot returns the list.
func (l *serverList) snapshot() []fakebackend.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.targets()
}

// targets returns the list as the service sends it. The caller holds mu.
func (l *serverList) targets() []fakebackend.Target {
	var all []fakebackend.Target
	for _, e := range l.entries {
		boot := int64(0)
		if !e.server.booted.IsZero() {
			boot = e.server.booted.UnixMilli()
		}
		all = append(all, fakebackend.Target{
			UID:      e.server.uid,
			Endpoint: e.server.address,
			Zone:     e.server.zone,
			Pod:      e.server.cell,
			State:    e.state,
			Weight:   1,
			Boot:     boot,
		})
	}
	return all
}
