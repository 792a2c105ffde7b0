package simprotocol

import (
	"errors"
	"fmt"
	"math"
	"strconv"

	"pepperlead/policy"
)

// maxWeight is the exclusive upper limit of an endpoint's weight.
const maxWeight = 1e12

// beginList begins a list of endpoints, which replaces an earlier one of the same number. Its entries follow, one per
// line.
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
		return fmt.Errorf("table=%d with nodes_list=%d is out of range", number, entries)
	}
	a.listNo = int(number)
	a.remaining = int(entries)
	a.lists[number] = a.lists[number][:0]
	return nil
}

// addEndpoint adds an entry to the list that was begun last.
func (a *adapter) addEndpoint() error {
	if a.remaining == 0 {
		return errors.New("an endpoint line outside a roster")
	}
	member, err := a.member()
	if err != nil {
		return err
	}
	a.lists[a.listNo] = append(a.lists[a.listNo], member)
	a.remaining--
	return nil
}

// member parses an entry of a list.
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
			return member, errors.New("group is not a valid cell number")
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
	return 0, fmt.Errorf("readiness=%s is not a known status", value)
}

func parseWeight(value []byte) (float64, error) {
	weight, err := strconv.ParseFloat(string(value), 64)
	if err != nil || !(weight >= 0 && weight < maxWeight) {
		return 0, fmt.Errorf("scale=%s is not a valid weight", value)
	}
	return weight, nil
}

// updateEndpoints passes a list to the instance, or reports to it that discovery failed.
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
		return fmt.Errorf("how=%s is not a known kind of list", how)
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
