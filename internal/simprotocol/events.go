package simprotocol

import (
	"fmt"
	"math"
	"strconv"

	"pepperlead/policy"
)

func (a *Adapter) roster() error {
	n, err := a.number("table")
	if err != nil {
		return err
	}
	count, err := a.number("nodes_list")
	if err != nil {
		return err
	}
	if n >= uint64(len(a.lists)) || count > 1<<20 {
		return fmt.Errorf("table %d with %d entries", n, count)
	}
	a.filling, a.missing = int(n), int(count)
	a.lists[n] = a.lists[n][:0]
	return nil
}

func (a *Adapter) entry() error {
	if a.missing == 0 {
		return fmt.Errorf("an endpoint line outside a roster")
	}
	m := policy.Member{Weight: 1}
	id, err := a.number("endpoint")
	if err != nil {
		return err
	}
	if id > math.MaxUint32 {
		return fmt.Errorf("endpoint=%d is out of range", id)
	}
	m.ID = policy.EndpointID(id)
	state, err := a.need("readiness")
	if err != nil {
		return err
	}
	switch string(state) {
	case "Ready":
		m.Status = policy.Ready
	case "Terminating":
		m.Status = policy.Draining
	case "Gone":
		m.Status = policy.Gone
	default:
		return fmt.Errorf("readiness=%s is not known", state)
	}
	if v, ok := a.get("scale"); ok {
		if m.Weight, err = strconv.ParseFloat(string(v), 64); err != nil || !(m.Weight >= 0 && m.Weight < 1e12) {
			return fmt.Errorf("scale=%s is not a size", v)
		}
	}
	if _, ok := a.get("group"); ok {
		n, err := a.number("group")
		if err != nil || n > math.MaxInt32 {
			return fmt.Errorf("group cannot be read")
		}
		m.Cell = policy.Cell(n)
	}
	if _, ok := a.get("ready_at_s"); ok {
		if m.Started, err = a.time("ready_at_s"); err != nil {
			return err
		}
	}
	zone, _ := a.get("area")
	m.Zone = policy.Zone(zone)
	a.lists[a.filling] = append(a.lists[a.filling], m)
	a.missing--
	return nil
}

func (a *Adapter) fleet(i *instance) error {
	how, err := a.need("how")
	if err != nil {
		return err
	}
	kind := policy.ListChanges
	switch string(how) {
	case "FAILED":
		if i != nil {
			i.balancer.ListFailed(a.now)
		}
		return nil
	case "INCREMENTAL":
	case "FULL":
		kind = policy.ListFull
	case "SAVED":
		kind = policy.ListSaved
	default:
		return fmt.Errorf("how=%s is not known", how)
	}
	n, err := a.number("table")
	if err != nil {
		return err
	}
	if n >= uint64(len(a.lists)) {
		return fmt.Errorf("table=%d is out of range", n)
	}
	if i != nil {
		i.balancer.UpdateEndpoints(a.now, kind, a.lists[n])
	}
	return nil
}

func (a *Adapter) req(i *instance) error {
	id, err := a.id()
	if err != nil {
		return err
	}
	left, err := a.time("patience_left_s")
	if err != nil {
		return err
	}
	band, err := a.need("band")
	if err != nil || i == nil {
		return err
	}
	offering, ok := i.names[string(band)]
	if !ok {
		return fmt.Errorf("band=%s is not among the offerings", band)
	}
	franchise := policy.NoTenant
	if v, ok := a.get("party"); ok {
		if f, ok := i.houses[string(v)]; ok {
			franchise = policy.TenantID(f)
		}
	}
	opts := uint64(0)
	if _, ok := a.get("opts"); ok {
		if opts, err = a.number("opts"); err != nil {
			return err
		}
	}
	key, _ := a.get("item")
	h := i.balancer.Admit(a.now, policy.ClassID(offering), franchise, string(key), opts&2 != 0, left)
	for len(i.ids) <= h.Place() {
		i.ids = append(i.ids, ticketID{})
	}
	delete(i.handles, i.ids[h.Place()])
	i.ids[h.Place()] = id
	i.handles[id] = h
	i.balancer.Begin(a.now, h)
	return nil
}

var outcomes = map[string]policy.Outcome{"S": policy.Succeeded, "E": policy.Errored, "F": policy.Rejected,
	"T": policy.TimedOut, "C": policy.NotConnected, "R": policy.ConnectionLost, "X": policy.Cancelled, "N": policy.NotSent}

func (a *Adapter) completed(i *instance) error {
	id, err := a.id()
	if err != nil {
		return err
	}
	over, err := a.flag("ended")
	if err != nil {
		return err
	}
	code, err := a.need("code")
	if err != nil {
		return err
	}
	outcome, ok := outcomes[string(code)]
	if !ok {
		return fmt.Errorf("code=%s is not known", code)
	}
	server, err := a.number("endpoint")
	if err != nil {
		return err
	}
	push, err := a.number("send_no")
	if err != nil {
		return err
	}
	spent, err := a.time("spent_s")
	if err != nil || i == nil {
		return err
	}
	if h, ok := i.handles[id]; ok {
		i.balancer.AttemptEnded(a.now, h, policy.AttemptNo(push), policy.EndpointID(server), outcome, spent, over)
	}
	return nil
}

// ---- actions ----
