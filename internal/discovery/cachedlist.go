package discovery

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

// Name, kind and format version of the file of the cached list.
const (
	cacheName    = "servers"
	cacheKind    = "servers"
	cacheVersion = 1
)

// cachedList is the content of the file, encoded as JSON.
type cachedList struct {
	SavedAt   policy.Time                    `json:"saved"` // Unix time, in nanoseconds
	Endpoints []cachedEndpoint               `json:"servers"`
	Issues    map[string]endpointfiles.Issue `json:"issues,omitempty"`
	Drains    map[string][2]policy.Time      `json:"drains,omitempty"` // by uid: Drain.FirstListed, Drain.LastListed
}

// cachedEndpoint is the encoding of an endpoint in a cached list.
type cachedEndpoint struct {
	UID     string                `json:"id"`
	Address string                `json:"address"`
	Zone    policy.Zone           `json:"zone,omitempty"`
	Cell    policy.Cell           `json:"pod,omitempty"`
	Weight  float64               `json:"weight"`
	Status  policy.EndpointStatus `json:"standing,omitempty"`
	Started policy.Time           `json:"started,omitempty"`
}

// newCachedEndpoint returns the encoding of an entry.
func newCachedEndpoint(entry Entry) cachedEndpoint {
	return cachedEndpoint{
		UID:     entry.UID,
		Address: entry.Addr,
		Zone:    entry.Zone,
		Cell:    entry.Cell,
		Weight:  entry.Weight,
		Status:  entry.Status,
		Started: entry.Started,
	}
}

// entry returns the entry that e encodes.
func (e cachedEndpoint) entry() Entry {
	return Entry{UID: e.UID, Addr: e.Address, Member: policy.Member{
		ID:      endpointfiles.EndpointID(e.UID),
		Zone:    e.Zone,
		Cell:    e.Cell,
		Weight:  e.Weight,
		Status:  e.Status,
		Started: e.Started,
	}}
}

// document returns the content of the file for the given entries and the state of their list files.
func (c *Cached) document(entries map[string]Entry, state endpointfiles.State) cachedList {
	list := cachedList{SavedAt: c.now(), Issues: state.Issues, Drains: map[string][2]policy.Time{}}
	for uid, drain := range state.Drains {
		list.Drains[uid] = [2]policy.Time{drain.FirstListed, drain.LastListed}
	}
	byUID := func(a, b Entry) int { return cmp.Compare(a.UID, b.UID) }
	for _, entry := range slices.SortedFunc(maps.Values(entries), byUID) {
		list.Endpoints = append(list.Endpoints, newCachedEndpoint(entry))
	}
	return list
}

// save writes the file of the cached list.
func (c *Cached) save(list cachedList) error {
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return c.store.Put(cacheName, cacheKind, cacheVersion, body)
}

// load reads the file of the cached list. A list with an invalid endpoint is an error.
func (c *Cached) load() ([]Entry, endpointfiles.State, error) {
	body, err := c.store.Get(cacheName, cacheKind, cacheVersion)
	if err != nil {
		return nil, endpointfiles.State{}, err
	}
	var list cachedList
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, endpointfiles.State{}, err
	}
	state := endpointfiles.State{Issues: list.Issues, Drains: map[string]endpointfiles.Drain{}}
	for uid, times := range list.Drains {
		state.Drains[uid] = endpointfiles.Drain{FirstListed: times[0], LastListed: times[1]}
	}
	var entries []Entry
	for _, endpoint := range list.Endpoints {
		entry := endpoint.entry()
		if !entry.IsValid() {
			return nil, endpointfiles.State{}, fmt.Errorf("endpoint %q in the list is not valid", endpoint.UID)
		}
		entries = append(entries, entry)
	}
	return entries, state, nil
}
