package simprotocol

import (
	"errors"
	"fmt"
	"math"
	"strconv"

	"pepperlead/policy"
)

// maxWeight is the largest weight of an endpoint, exclusive.
const maxWeight = 1e12

// beginList begins a list of endpoints, whose entries follow.
func (a *adapter) beginList() error {
	number, err := a.number("table")
	if err != nil {
		return err
	}
	entries, err := a.number("nodes_list")
	if err != nil {
		return err
	}
	if number >= maxLists || entries > maxListEntries {
		return fmt.Errorf("table %d with %d entries", number, entries)
	}
	a.filling = int(number)
	a.missing = int(entries)
	a.lists[number] = a.lists[number][:0]
	return nil
}

// addEndpoint adds an entry to the list that was begun.
func (a *adapter) addEndpoint() error {
	if a.missing == 0 {
		return errors.New("an endpoint line outside a roster")
	}
	member, err := a.member()
	if err != nil {
		return err
	}
	a.lists[a.filling] = append(a.lists[a.filling], member)
	a.missing--
	return nil
}

// member reads an entry of a list.
func (a *adapter) member() (policy.Member, error) {
	member := policy.Member{Weight: 1}
	id, err := a.number("endpoint")
	if err != nil {
		return member, err
	}
	if id > math.MaxUint32 {
		return member, fmt.Errorf("endpoint=%d is out of range", id)
	}
	member.ID = policy.EndpointID(id)
	if member.Status, err = a.status(); err != nil {
		return member, err
	}
	if value, found := a.lookup("scale"); found {
		if member.Weight, err = parseWeight(value); err != nil {
			return member, err
		}
	}
	if _, found := a.lookup("group"); found {
		cell, err := a.number("group")
		if err != nil || cell > math.MaxInt32 {
			return member, errors.New("group cannot be read")
		}
		member.Cell = policy.Cell(cell)
	}
	if _, found := a.lookup("ready_at_s"); found {
		if member.Started, err = a.duration("ready_at_s"); err != nil {
			return member, err
		}
	}
	zone, _ := a.lookup("area")
	member.Zone = policy.Zone(zone)
	return member, nil
}

func (a *adapter) status() (policy.EndpointStatus, error) {
	value, err := a.text("readiness")
	if err != nil {
		return 0, err
	}
	switch string(value) {
	case "Ready":
		return policy.Ready, nil
	case "Terminating":
		return policy.Draining, nil
	case "Gone":
		return policy.Removed, nil
	}
	return 0, fmt.Errorf("readiness=%s is not known", value)
}

func parseWeight(value []byte) (float64, error) {
	weight, err := strconv.ParseFloat(string(value), 64)
	if err != nil || !(weight >= 0 && weight < maxWeight) {
		return 0, fmt.Errorf("scale=%s is not a size", value)
	}
	return weight, nil
}

// updateEndpoints hands a list to the instance, or tells it that the discovery service cannot be reached.
func (a *adapter) updateEndpoints(i *instance) error {
	how, err := a.text("how")
	if err != nil {
		return err
	}
	var kind policy.ListKind
	switch string(how) {
	case "FAILED":
		if i != nil {
			i.balancer.ListFailed(a.now)
		}
		return nil
	case "INCREMENTAL":
		kind = policy.ListChanges
	case "FULL":
		kind = policy.ListFull
	case "SAVED":
		kind = policy.ListSaved
	default:
		return fmt.Errorf("how=%s is not known", how)
	}
	number, err := a.number("table")
	if err != nil {
		return err
	}
	if number >= maxLists {
		return fmt.Errorf("table=%d is out of range", number)
	}
	if i != nil {
		i.balancer.UpdateEndpoints(a.now, kind, a.lists[number])
	}
	return nil
}
