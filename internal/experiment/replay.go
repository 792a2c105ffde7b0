package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"pepperlead/internal/emulator"
	"pepperlead/internal/trace"
	"pepperlead/policy"
)

// Replayed says what a replay has taken from its traces.
type Replayed struct {
	Arrivals       int      `json:"arrivals"`
	Retries        int      `json:"further"` // tries left out, as the emulated clients make their own
	Endpoints      int      `json:"servers"`
	Faults         []string `json:"faults"`
	Truncated      int      `json:"cut"`      // traces that break off
	SucceededShare float64  `json:"honoured"` // part of the recorded tickets that were
}

// FromTraces puts what traces recorded in place of a scenario's load, and what they show to have gone wrong in place of its
// faults: servers that drained, ended, started anew or could not be reached. The fleet stays the scenario's: how fast servers
// are, no sidecar knows. Servers are matched by uid, those that the scenario has not got are left out.
func FromTraces(sc *emulator.Scenario, all []*trace.Trace) (*Replayed, error) {
	if len(all) == 0 {
		return nil, errors.New("no trace")
	}
	out := &Replayed{}
	begin := all[0].Start
	names := map[string]int{}
	for _, t := range all {
		begin = min(begin, t.Start)
		if _, known := names[t.Name]; !known {
			names[t.Name] = len(names)
		}
	}
	first, last, tickets, honoured := policy.Time(-1), policy.Time(0), 0, 0
	for _, t := range all {
		offerings, franchises, err := matchNames(sc, t)
		if err != nil {
			return nil, err
		}
		if t.Cut {
			out.Truncated++
		}
		for _, r := range t.Records {
			at := t.Start - begin + r.At
			switch r.Kind {
			case trace.Answer:
				tickets++
				if r.A == 0 {
					honoured++
				}
			case trace.Ticket:
				if r.D == 1 {
					out.Retries++
					continue
				}
				if int(r.A) >= len(offerings) || r.A < 0 || int(r.B) >= len(franchises) || r.C < 0 {
					return nil, fmt.Errorf("trace of %s: a ticket of offering %d, franchise %d", t.Name, r.A, r.B)
				}
				a := emulator.Arrival{At: at, Instance: names[t.Name], Class: offerings[r.A], Tenant: policy.NoTenant, Key: r.Key, TimeLeft: r.C}
				if r.B >= 0 {
					a.Tenant = franchises[r.B]
				}
				sc.Arrivals = append(sc.Arrivals, a)
				if first < 0 || at < first {
					first = at
				}
				last = max(last, at)
			}
		}
	}
	if len(sc.Arrivals) == 0 {
		return nil, errors.New("the traces have no ticket")
	}
	slices.SortStableFunc(sc.Arrivals, func(a, b emulator.Arrival) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Instance, b.Instance))
	})
	for i := range sc.Arrivals {
		sc.Arrivals[i].At -= first
	}
	sc.Length = last - first + 1
	sc.Instances = len(names)
	sc.Faults = inferFaults(sc, all, begin+first, out)
	out.Arrivals = len(sc.Arrivals)
	if tickets > 0 {
		out.SucceededShare = float64(honoured) / float64(tickets)
	}
	return out, nil
}

// matchNames finds a trace's offerings and franchises in the scenario, by name.
func matchNames(sc *emulator.Scenario, t *trace.Trace) (offerings []policy.ClassID, franchises []policy.TenantID, err error) {
	for _, name := range t.Offerings {
		i := slices.IndexFunc(sc.Classes, func(o emulator.Class) bool { return o.Name == name })
		if i < 0 {
			return nil, nil, fmt.Errorf("trace of %s: offering %q is not in the scenario", t.Name, name)
		}
		offerings = append(offerings, policy.ClassID(i))
	}
	for _, name := range t.Franchises {
		i := slices.IndexFunc(sc.Tenants, func(f emulator.Tenant) bool { return f.Name == name })
		if i < 0 {
			return nil, nil, fmt.Errorf("trace of %s: franchise %q is not in the scenario", t.Name, name)
		}
		franchises = append(franchises, policy.TenantID(i))
	}
	return offerings, franchises, nil
}

// observation is what a trace shows of one server at a moment.
type observation struct {
	at        policy.Time // Unix time
	started   policy.Time // it has started anew; 0: not
	failed    bool        // a push failed as it does where a server is not there
	succeeded bool        // a push was honoured
	silent    bool        // it failed with no word at all
}

// failuresInRow is how many pushes in a row, by all sidecars together, must fail for a server to count as not there.
const failuresInRow = 4

// inferFaults works out what went wrong from lists and from the ends of pushes: a server that starts anew was down from its first
// failure, if there was one, else from a moment before; one that fails in a row was silent, or had crashed if it refused.
func inferFaults(sc *emulator.Scenario, all []*trace.Trace, zero policy.Time, out *Replayed) []emulator.Fault {
	by := map[string][]observation{}
	for _, t := range all {
		uids := map[int64]string{}
		seen := map[int64]policy.Time{}
		for _, r := range t.Records {
			at := t.Start + r.At
			switch r.Kind {
			case trace.Server:
				uids[int64(r.No)] = r.UID
			case trace.Listed:
				no := int64(r.No)
				if was, known := seen[no]; known && policy.Time(r.B) > was {
					by[uids[no]] = append(by[uids[no]], observation{at: policy.Time(r.B), started: policy.Time(r.B)})
				}
				seen[no] = max(seen[no], policy.Time(r.B))
			case trace.Ended:
				o := policy.Outcome(r.B)
				one := observation{at: at, succeeded: o == policy.Succeeded, failed: o == policy.NotConnected || o == policy.TimedOut || o == policy.ConnectionLost,
					silent: o == policy.TimedOut || o == policy.NotConnected && r.C > 50*policy.Millisecond}
				if one.succeeded || one.failed {
					if one.failed {
						one.at -= r.C // it had gone when the push went out
					}
					by[uids[r.A]] = append(by[uids[r.A]], one)
				}
			}
		}
	}
	var found []emulator.Fault
	for i := range sc.Endpoints {
		uid := fmt.Sprintf("s-%05d", i)
		events, known := by[uid]
		if !known {
			continue
		}
		out.Endpoints++
		slices.SortStableFunc(events, func(a, b observation) int { return cmp.Compare(a.at, b.at) })
		for _, w := range findOutages(events) {
			f := emulator.Fault{Kind: emulator.Silent, At: max(0, w.from-zero), Duration: max(policy.Millisecond, w.to-w.from), Pod: -1, Endpoints: []int{i},
				Cold: w.cold}
			if w.crash {
				f.Kind = emulator.Crash
			}
			if f.At < sc.Length {
				found = append(found, f)
				out.Faults = append(out.Faults, fmt.Sprintf("%s: %v from %.1f s for %.1f s", uid, f.Kind, float64(f.At)/1e9, float64(f.Duration)/1e9))
			}
		}
	}
	slices.SortStableFunc(found, func(a, b emulator.Fault) int { return cmp.Compare(a.At, b.At) })
	return found
}

type outage struct {
	from, to    policy.Time
	cold, crash bool
}

// findOutages finds the spans in which a server was not there.
func findOutages(events []observation) (all []outage) {
	var from, last policy.Time
	row, mute := 0, 0
	done := policy.Time(0) // latest start that was taken: each sidecar tells of the same
	for _, e := range events {
		switch {
		case e.started > 0:
			if e.started == done {
				continue
			}
			done = e.started
			if row == 0 {
				from = e.started - 200*policy.Millisecond
			}
			all = append(all, outage{from: min(from, e.started-1), to: e.started, cold: true, crash: 2*mute <= row})
			row, mute = 0, 0
		case e.succeeded:
			if row >= failuresInRow {
				all = append(all, outage{from: from, to: max(last, from+1), crash: 2*mute <= row, cold: 2*mute <= row})
			}
			row, mute = 0, 0
		default:
			if row == 0 {
				from = e.at
			}
			row++
			last = e.at
			if e.silent {
				mute++
			}
		}
	}
	return all
}
