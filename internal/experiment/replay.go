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
	Arrivals int      `json:"arrivals"`
	Further  int      `json:"further"` // tries left out, as the emulated clients make their own
	Servers  int      `json:"servers"`
	Faults   []string `json:"faults"`
	Cut      int      `json:"cut"`      // traces that break off
	Honoured float64  `json:"honoured"` // part of the recorded tickets that were
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
		offerings, franchises, err := match(sc, t)
		if err != nil {
			return nil, err
		}
		if t.Truncated {
			out.Cut++
		}
		for _, r := range t.Records {
			at := t.Start - begin + r.At
			switch r.Kind {
			case trace.RequestEnd:
				tickets++
				if r.A == 0 {
					honoured++
				}
			case trace.Request:
				if r.D == 1 {
					out.Further++
					continue
				}
				if int(r.A) >= len(offerings) || r.A < 0 || int(r.B) >= len(franchises) || r.C < 0 {
					return nil, fmt.Errorf("trace of %s: a ticket of offering %d, franchise %d", t.Name, r.A, r.B)
				}
				a := emulator.Arrival{At: at, Sidecar: names[t.Name], Offering: offerings[r.A], Franchise: policy.NoTenant, Key: r.Key, Left: r.C}
				if r.B >= 0 {
					a.Franchise = franchises[r.B]
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
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Sidecar, b.Sidecar))
	})
	for i := range sc.Arrivals {
		sc.Arrivals[i].At -= first
	}
	sc.Length = last - first + 1
	sc.Sidecars = len(names)
	sc.Faults = faults(sc, all, begin+first, out)
	out.Arrivals = len(sc.Arrivals)
	if tickets > 0 {
		out.Honoured = float64(honoured) / float64(tickets)
	}
	return out, nil
}

// match finds a trace's offerings and franchises in the scenario, by name.
func match(sc *emulator.Scenario, t *trace.Trace) (offerings []policy.ClassID, franchises []policy.TenantID, err error) {
	for _, name := range t.Classes {
		i := slices.IndexFunc(sc.Offerings, func(o emulator.Offering) bool { return o.Name == name })
		if i < 0 {
			return nil, nil, fmt.Errorf("trace of %s: offering %q is not in the scenario", t.Name, name)
		}
		offerings = append(offerings, policy.ClassID(i))
	}
	for _, name := range t.Tenants {
		i := slices.IndexFunc(sc.Franchise, func(f emulator.Franchise) bool { return f.Name == name })
		if i < 0 {
			return nil, nil, fmt.Errorf("trace of %s: franchise %q is not in the scenario", t.Name, name)
		}
		franchises = append(franchises, policy.TenantID(i))
	}
	return offerings, franchises, nil
}

// trouble is what a trace shows of one server at a moment.
type trouble struct {
	at      policy.Time // Unix time
	started policy.Time // it has started anew; 0: not
	bad     bool        // a push failed as it does where a server is not there
	good    bool        // a push was honoured
	mute    bool        // it failed with no word at all
}

// inRow is how many pushes in a row, by all sidecars together, must fail for a server to count as not there.
const inRow = 4

// faults works out what went wrong from lists and from the ends of pushes: a server that starts anew was down from its first
// failure, if there was one, else from a moment before; one that fails in a row was silent, or had crashed if it refused.
func faults(sc *emulator.Scenario, all []*trace.Trace, zero policy.Time, out *Replayed) []emulator.Fault {
	by := map[string][]trouble{}
	for _, t := range all {
		uids := map[int64]string{}
		seen := map[int64]policy.Time{}
		for _, r := range t.Records {
			at := t.Start + r.At
			switch r.Kind {
			case trace.Endpoint:
				uids[int64(r.No)] = r.UID
			case trace.Listed:
				no := int64(r.No)
				if was, known := seen[no]; known && policy.Time(r.B) > was {
					by[uids[no]] = append(by[uids[no]], trouble{at: policy.Time(r.B), started: policy.Time(r.B)})
				}
				seen[no] = max(seen[no], policy.Time(r.B))
			case trace.AttemptEnd:
				o := policy.Outcome(r.B)
				one := trouble{at: at, good: o == policy.Succeeded, bad: o == policy.NotConnected || o == policy.TimedOut || o == policy.ConnectionLost,
					mute: o == policy.TimedOut || o == policy.NotConnected && r.C > 50*policy.Millisecond}
				if one.good || one.bad {
					if one.bad {
						one.at -= r.C // it had gone when the push went out
					}
					by[uids[r.A]] = append(by[uids[r.A]], one)
				}
			}
		}
	}
	var found []emulator.Fault
	for i := range sc.Servers {
		uid := fmt.Sprintf("s-%05d", i)
		events, known := by[uid]
		if !known {
			continue
		}
		out.Servers++
		slices.SortStableFunc(events, func(a, b trouble) int { return cmp.Compare(a.at, b.at) })
		for _, w := range windows(events) {
			f := emulator.Fault{Kind: emulator.Silent, At: max(0, w.from-zero), For: max(policy.Millisecond, w.to-w.from), Pod: -1, Server: []int{i},
				Cold: w.cold}
			if w.crash {
				f.Kind = emulator.Crash
			}
			if f.At < sc.Length {
				found = append(found, f)
				out.Faults = append(out.Faults, fmt.Sprintf("%s: %v from %.1f s for %.1f s", uid, f.Kind, float64(f.At)/1e9, float64(f.For)/1e9))
			}
		}
	}
	slices.SortStableFunc(found, func(a, b emulator.Fault) int { return cmp.Compare(a.At, b.At) })
	return found
}

type window struct {
	from, to    policy.Time
	cold, crash bool
}

// windows finds the spans in which a server was not there.
func windows(events []trouble) (all []window) {
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
			all = append(all, window{from: min(from, e.started-1), to: e.started, cold: true, crash: 2*mute <= row})
			row, mute = 0, 0
		case e.good:
			if row >= inRow {
				all = append(all, window{from: from, to: max(last, from+1), crash: 2*mute <= row, cold: 2*mute <= row})
			}
			row, mute = 0, 0
		default:
			if row == 0 {
				from = e.at
			}
			row++
			last = e.at
			if e.mute {
				mute++
			}
		}
	}
	return all
}
