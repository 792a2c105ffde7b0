// Package liststate describes the endpoint list of one process of an instance, as it is handed over to the other
// processes of the instance, and decides which of two lists is the newer one. It does no I/O and reads no clock.
package liststate

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

// Version is the version of the encoding. Lists of other versions are refused.
const Version = 1

// Errors of Decode.
var (
	// ErrDamaged reports a list that can't be decoded or has an invalid endpoint.
	ErrDamaged = errors.New("the endpoint list is damaged")
	// ErrVersion reports a list of another version.
	ErrVersion = errors.New("the endpoint list has another version")
)

// Origin says which list of which source a process was told, and when. Its times count from the boot of the machine, so
// that all processes can compare them.
type Origin struct {
	Source   string      `json:"source"`   // name of the source
	Revision int64       `json:"revision"` // 0: the source doesn't count revisions
	AskedAt  policy.Time `json:"asked"`    // the list contains all that the source knew at this time
	ToldAt   policy.Time `json:"told"`     // when the process had the list; 0: no source has told it
}

// State is an endpoint list as a process has been told it.
type State struct {
	Version int    `json:"version"`
	BootID  string `json:"boot"`             // identifies the boot of the machine; "": unknown
	Writer  string `json:"writer,omitempty"` // the process that has saved the list
	Origin

	// ClockBase is the time of the process's clock when the machine was booted. It differs between processes if the
	// system clock has been set in between.
	ClockBase policy.Time `json:"clock_base"`
	Endpoints []Endpoint  `json:"endpoints"`
	// Restored holds, by uid, when the administrative drain of an endpoint was undone, by the process's clock.
	Restored map[string]policy.Time `json:"restored,omitempty"`
	// RulesDrained are the endpoints that the agreed rules drain.
	RulesDrained []policy.EndpointID `json:"rules_drained,omitempty"`
	// FileState is what a source of files has to restore.
	FileState endpointfiles.State `json:"files"`
}

// Endpoint is an endpoint of a State.
type Endpoint struct {
	UID     string                `json:"uid"`
	Address string                `json:"address"`
	Zone    policy.Zone           `json:"zone,omitempty"`
	Cell    policy.Cell           `json:"cell,omitempty"`
	Weight  float64               `json:"weight"`
	Status  policy.EndpointStatus `json:"status,omitempty"`
	Started policy.Time           `json:"started,omitempty"` // start of the endpoint, by the process's clock
	Listed  policy.Time           `json:"listed,omitempty"`  // start of the endpoint, as it was listed
}

// Entry returns the list entry of the endpoint, with its start by the process's clock.
func (e *Endpoint) Entry() endpointfiles.Entry {
	return endpointfiles.Entry{UID: e.UID, Addr: e.Address, Member: policy.Member{
		ID:      endpointfiles.EndpointID(e.UID),
		Zone:    e.Zone,
		Cell:    e.Cell,
		Weight:  e.Weight,
		Status:  e.Status,
		Started: e.Started,
	}}
}

// NewEndpoint returns the endpoint of a list entry, whose start was listed as the given time.
func NewEndpoint(entry endpointfiles.Entry, listed policy.Time) Endpoint {
	return Endpoint{
		UID:     entry.UID,
		Address: entry.Addr,
		Zone:    entry.Zone,
		Cell:    entry.Cell,
		Weight:  entry.Weight,
		Status:  entry.Status,
		Started: entry.Started,
		Listed:  listed,
	}
}

// Encode returns the encoding of the list, which is a single line. It sorts the endpoints by uid.
func (s *State) Encode() ([]byte, error) {
	slices.SortFunc(s.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.UID, b.UID) })
	return json.Marshal(s)
}

// Decode decodes a list. It returns ErrDamaged or ErrVersion, with details, for a list that must not be used.
func Decode(encoded []byte) (*State, error) {
	var s State
	if err := json.Unmarshal(encoded, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if s.Version != Version {
		return nil, fmt.Errorf("%w: found %d, want %d", ErrVersion, s.Version, Version)
	}
	for i := range s.Endpoints {
		if entry := s.Endpoints[i].Entry(); !entry.IsValid() {
			return nil, fmt.Errorf("%w: endpoint %q is not valid", ErrDamaged, entry.UID)
		}
	}
	return &s, nil
}

// ListedEntries returns the list entries of the endpoints, with their starts as they were listed.
func (s *State) ListedEntries() []endpointfiles.Entry {
	entries := make([]endpointfiles.Entry, 0, len(s.Endpoints))
	for i := range s.Endpoints {
		entry := s.Endpoints[i].Entry()
		entry.Started = s.Endpoints[i].Listed
		entries = append(entries, entry)
	}
	return entries
}

// AfterReboot removes the times that only processes of the same boot of the machine can use.
func (s *State) AfterReboot() {
	s.AskedAt = 0
	s.ToldAt = 0
	s.ClockBase = 0
}

// ShiftTimes converts the times of the list to a clock that is ahead by the given time. Starts as they were listed stay
// the same.
func (s *State) ShiftTimes(ahead policy.Time) {
	for i := range s.Endpoints {
		if endpoint := &s.Endpoints[i]; endpoint.Started > 0 {
			endpoint.Started += ahead
		}
	}
	for uid := range s.Restored {
		s.Restored[uid] += ahead
	}
}

// Supersedes reports whether a list of this origin is newer than one of another origin.
//
// If one of the two was asked for after the other one had been told, it is the newer one. Otherwise the revisions
// decide. They don't decide in the first case, because a source that has restarted may count from the start again.
// Revisions of different sources say nothing; then the list that was told later counts as newer.
func (o *Origin) Supersedes(other *Origin) bool {
	switch {
	case other.ToldAt == 0:
		return true
	case o.Source != other.Source:
		return o.ToldAt > other.ToldAt
	case o.AskedAt > other.ToldAt:
		return true
	case other.AskedAt > o.ToldAt:
		return false
	default:
		return o.Revision > other.Revision
	}
}
