package discovery

import (
	"errors"
	"math"

	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

// errMalformedList reports that a list can't be decoded. Its revision is not known.
var errMalformedList = errors.New("the endpoint list cannot be decoded")

// platformList is a list as the platform's discovery service sends it.
type platformList struct {
	revision int64
	full     bool // the list has all endpoints; otherwise those that have changed since a revision
	entries  []Entry
}

// platformEndpoint is an endpoint as the service sends it.
type platformEndpoint struct {
	uid         []byte
	address     []byte
	zone        []byte
	state       []byte
	cell        int64
	startMillis int64 // Unix time
	weight      float64
}

// DecodeList decodes a list as the platform's discovery service sends it. A full list has all endpoints; any other list
// has those that have changed since a revision. An incomplete text is an error.
func DecodeList(text []byte) (revision int64, full bool, entries []Entry, err error) {
	list, err := decodePlatformList(text)
	return list.revision, list.full, list.entries, err
}

// decodePlatformList decodes a list as DecodeList does.
func decodePlatformList(text []byte) (platformList, error) {
	r := &jsonReader{text: text}
	var list platformList
	var hasRevision, hasFull, hasEntries bool
	err := r.readObject(func(name []byte) error {
		var err error
		switch string(name) {
		case "rev":
			hasRevision = true
			list.revision, err = r.readInteger()
		case "all":
			hasFull = true
			list.full, err = r.readBool()
		case "targets":
			hasEntries = true
			err = r.readArray(func() error {
				entry, err := r.readEntry()
				list.entries = append(list.entries, entry)
				return err
			})
		default:
			err = r.skipValue(0)
		}
		return err
	})
	if err != nil {
		return list, err
	}
	if !hasRevision || !hasFull || !hasEntries || len(r.remaining()) > 0 {
		return list, errMalformedList
	}
	return list, nil
}

// readEntry reads an endpoint.
func (r *jsonReader) readEntry() (Entry, error) {
	endpoint := platformEndpoint{weight: 1}
	err := r.readObject(func(name []byte) error {
		var err error
		switch string(name) {
		case "uid":
			endpoint.uid, err = r.readString()
		case "endpoint":
			endpoint.address, err = r.readString()
		case "az":
			endpoint.zone, err = r.readString()
		case "state":
			endpoint.state, err = r.readString()
		case "pod_group":
			endpoint.cell, err = r.readInteger()
		case "boot_ms":
			endpoint.startMillis, err = r.readInteger()
		case "capacity_hint":
			endpoint.weight, err = r.readNumber()
		default:
			err = r.skipValue(0)
		}
		return err
	})
	if err != nil {
		return Entry{}, err
	}
	return endpoint.entry()
}

// entry validates an endpoint and returns its entry.
func (e platformEndpoint) entry() (Entry, error) {
	status, err := parseStatus(string(e.state))
	if err != nil {
		return Entry{}, err
	}
	addressMissing := len(e.address) == 0 && status != policy.Removed
	cellValid := e.cell >= 0 && e.cell <= math.MaxInt32
	startValid := e.startMillis >= 0 && e.startMillis <= math.MaxInt64/int64(policy.Millisecond)
	if len(e.uid) == 0 || addressMissing || !cellValid || !startValid || !endpointfiles.IsWeight(e.weight) {
		return Entry{}, errMalformedList
	}
	uid := string(e.uid)
	return Entry{UID: uid, Addr: string(e.address), Member: policy.Member{
		ID:      endpointfiles.EndpointID(uid),
		Weight:  e.weight,
		Cell:    policy.Cell(e.cell),
		Zone:    policy.Zone(e.zone),
		Status:  status,
		Started: policy.Time(e.startMillis) * policy.Millisecond,
	}}, nil
}

// parseStatus parses the state of an endpoint.
func parseStatus(state string) (policy.EndpointStatus, error) {
	switch state {
	case "Ready":
		return policy.Ready, nil
	case "Terminating":
		return policy.Draining, nil
	case "Gone":
		return policy.Removed, nil
	default:
		return 0, errMalformedList
	}
}
