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

// ReplaySummary describes what a replay took from its traces.
type ReplaySummary struct {
	Arrivals       int      `json:"arrivals"`
	Retries        int      `json:"further"` // retries by clients, left out as emulated clients make their own
	Endpoints      int      `json:"servers"` // endpoints of the scenario about which the traces have observations
	Faults         []string `json:"faults"`
	Truncated      int      `json:"cut"`      // traces that end within a record
	SucceededShare float64  `json:"honoured"` // share of the ended requests in the traces that succeeded
}

// FromTraces replaces a scenario's load by the requests of traces, and its faults by those that the traces show:
// endpoints that restarted or were unreachable. The fleet stays the scenario's, because the instances that record
// traces do not know how fast endpoints are. Endpoints are matched by uid; those that the scenario does not have are
// left out.
func FromTraces(scenario *emulator.Scenario, traces []*trace.Trace) (*ReplaySummary, error) {
	if len(traces) == 0 {
		return nil, errors.New("no traces to replay")
	}
	r := newReplay(scenario, traces)
	for _, t := range traces {
		if err := r.addTrace(t); err != nil {
			return nil, err
		}
	}
	if len(scenario.Arrivals) == 0 {
		return nil, errors.New("the traces have no requests")
	}
	slices.SortStableFunc(scenario.Arrivals, func(a, b emulator.Arrival) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Instance, b.Instance))
	})
	for i := range scenario.Arrivals {
		scenario.Arrivals[i].At -= r.first
	}
	scenario.Length = r.last - r.first + 1
	scenario.Instances = len(r.instances)
	scenario.Faults = inferFaults(scenario, traces, r.begin+r.first, r.result)
	r.result.Arrivals = len(scenario.Arrivals)
	if r.answers > 0 {
		r.result.SucceededShare = float64(r.succeeded) / float64(r.answers)
	}
	return r.result, nil
}

// replay collects the requests of traces.
type replay struct {
	scenario  *emulator.Scenario
	result    *ReplaySummary
	begin     policy.Time    // start of the earliest trace, Unix time
	instances map[string]int // numbers by name
	first     policy.Time    // time of the first arrival, since begin; -1: no arrival yet
	last      policy.Time    // time of the last arrival, since begin
	answers   int
	succeeded int
}

func newReplay(scenario *emulator.Scenario, traces []*trace.Trace) *replay {
	r := &replay{
		scenario:  scenario,
		result:    &ReplaySummary{},
		begin:     traces[0].Start,
		instances: map[string]int{},
		first:     -1,
	}
	for _, t := range traces {
		r.begin = min(r.begin, t.Start)
		if _, known := r.instances[t.Name]; !known {
			r.instances[t.Name] = len(r.instances)
		}
	}
	return r
}

// addTrace adds the requests of a trace, and counts the outcomes.
func (r *replay) addTrace(t *trace.Trace) error {
	names, err := matchNames(r.scenario, t)
	if err != nil {
		return err
	}
	if t.Truncated {
		r.result.Truncated++
	}
	for _, record := range t.Records {
		switch record.Kind {
		case trace.RequestEnd:
			r.answers++
			if record.A == 0 {
				r.succeeded++
			}
		case trace.Request:
			if err := r.addRequest(t, names, record); err != nil {
				return err
			}
		}
	}
	return nil
}

// addRequest adds a recorded request as an arrival, unless it is a retry.
func (r *replay) addRequest(t *trace.Trace, names matchedNames, record trace.Record) error {
	if record.D == 1 {
		r.result.Retries++
		return nil
	}
	if int(record.A) >= len(names.classes) || record.A < 0 || int(record.B) >= len(names.tenants) || record.C < 0 {
		return fmt.Errorf("trace of %s: invalid request of class %d, tenant %d", t.Name, record.A, record.B)
	}
	at := t.Start - r.begin + record.At
	arrival := emulator.Arrival{
		At:       at,
		Instance: r.instances[t.Name],
		Class:    names.classes[record.A],
		Tenant:   policy.NoTenant,
		Key:      record.Key,
		TimeLeft: record.C,
	}
	if record.B >= 0 {
		arrival.Tenant = names.tenants[record.B]
	}
	r.scenario.Arrivals = append(r.scenario.Arrivals, arrival)
	if r.first < 0 || at < r.first {
		r.first = at
	}
	r.last = max(r.last, at)
	return nil
}

// matchedNames holds the scenario's IDs of a trace's classes and tenants, by their numbers in the trace.
type matchedNames struct {
	classes []policy.ClassID
	tenants []policy.TenantID
}

// matchNames finds a trace's classes and tenants in the scenario, by name.
func matchNames(scenario *emulator.Scenario, t *trace.Trace) (names matchedNames, err error) {
	for _, name := range t.Classes {
		i := slices.IndexFunc(scenario.Classes, func(class emulator.Class) bool { return class.Name == name })
		if i < 0 {
			return names, fmt.Errorf("trace of %s: class %q is not in the scenario", t.Name, name)
		}
		names.classes = append(names.classes, policy.ClassID(i))
	}
	for _, name := range t.Tenants {
		i := slices.IndexFunc(scenario.Tenants, func(tenant emulator.Tenant) bool { return tenant.Name == name })
		if i < 0 {
			return names, fmt.Errorf("trace of %s: tenant %q is not in the scenario", t.Name, name)
		}
		names.tenants = append(names.tenants, policy.TenantID(i))
	}
	return names, nil
}
