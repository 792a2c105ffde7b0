package experiment

import (
	"cmp"
	"fmt"
	"slices"

	"pepperlead/internal/emulator"
	"pepperlead/internal/trace"
	"pepperlead/policy"
)

const (
	// failuresInRow is how many attempts in a row, over all instances, must fail for an endpoint to count as down.
	failuresInRow = 4
	// silentAfter is the time above which a failed attempt to connect counts as unanswered rather than refused.
	silentAfter = 50 * policy.Millisecond
	// restartTime is the assumed downtime of an endpoint that restarted without an observed failure.
	restartTime = 200 * policy.Millisecond
)

// observation is what a trace shows about one endpoint at one time.
type observation struct {
	at        policy.Time // Unix time
	started   policy.Time // start time after a restart; 0: the observation is not a restart
	failed    bool        // an attempt failed in a way that suggests that the endpoint is down
	succeeded bool
	silent    bool // the attempt failed without an answer
}

// inferFaults infers faults from the endpoint lists and the outcomes of attempts in traces. An endpoint that restarted
// was down since the first of the failures before the restart, or for restartTime if there were none. An endpoint with
// failuresInRow or more consecutive failures before a success was silent, or had crashed if it refused or reset
// connections in at least half of them. The times of the faults are relative to start, a Unix time.
func inferFaults(
	scenario *emulator.Scenario,
	traces []*trace.Trace,
	start policy.Time,
	result *ReplaySummary,
) []emulator.Fault {
	observations := map[string][]observation{}
	for _, t := range traces {
		observe(t, observations)
	}
	var faults []emulator.Fault
	for i := range scenario.Endpoints {
		uid := fmt.Sprintf("s-%05d", i)
		ofEndpoint, known := observations[uid]
		if !known {
			continue
		}
		result.Endpoints++
		slices.SortStableFunc(ofEndpoint, func(a, b observation) int { return cmp.Compare(a.at, b.at) })
		for _, o := range findOutages(ofEndpoint) {
			fault := o.fault(i, start)
			if fault.At >= scenario.Length {
				continue
			}
			faults = append(faults, fault)
			result.Faults = append(result.Faults, fmt.Sprintf("%s: %v from %.1f s for %.1f s", uid, fault.Kind,
				float64(fault.At)/1e9, float64(fault.Duration)/1e9))
		}
	}
	slices.SortStableFunc(faults, func(a, b emulator.Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// observe adds what a trace shows about endpoints to the observations by uid.
func observe(t *trace.Trace, observations map[string][]observation) {
	uids := map[int64]string{}
	started := map[int64]policy.Time{}
	for _, record := range t.Records {
		switch record.Kind {
		case trace.Endpoint:
			uids[int64(record.No)] = record.UID
		case trace.ListEntry:
			number := int64(record.No)
			start := policy.Time(record.B)
			if before, known := started[number]; known && start > before {
				uid := uids[number]
				observations[uid] = append(observations[uid], observation{at: start, started: start})
			}
			started[number] = max(started[number], start)
		case trace.AttemptEnd:
			if o, conclusive := observeEnd(t.Start+record.At, record); conclusive {
				uid := uids[record.A]
				observations[uid] = append(observations[uid], o)
			}
		}
	}
}

// observeEnd returns what the end of an attempt shows about its endpoint; conclusive is false if it shows nothing.
func observeEnd(at policy.Time, record trace.Record) (o observation, conclusive bool) {
	outcome := policy.Outcome(record.B)
	notConnected := outcome == policy.NotConnected
	timedOut := outcome == policy.TimedOut
	o = observation{
		at:        at,
		succeeded: outcome == policy.Succeeded,
		failed:    notConnected || timedOut || outcome == policy.ConnectionLost,
		silent:    timedOut || notConnected && record.C > silentAfter,
	}
	if o.failed {
		o.at -= record.C // the endpoint was already down when the attempt was sent
	}
	return o, o.succeeded || o.failed
}

// outage is a span in which an endpoint was down.
type outage struct {
	from    policy.Time
	to      policy.Time
	cold    bool // the endpoint is cold afterwards
	crashed bool // it refused or reset connections; else it was silent
}

// fault returns the outage as a fault of an endpoint, relative to start.
func (o outage) fault(endpoint int, start policy.Time) emulator.Fault {
	fault := emulator.Fault{
		Kind:      emulator.Silent,
		At:        max(0, o.from-start),
		Duration:  max(policy.Millisecond, o.to-o.from),
		Pod:       -1,
		Endpoints: []int{endpoint},
		Cold:      o.cold,
	}
	if o.crashed {
		fault.Kind = emulator.Crash
	}
	return fault
}

// failureRun is a run of consecutive failures.
type failureRun struct {
	from   policy.Time
	last   policy.Time
	count  int
	silent int // failures without an answer
}

// crashed reports whether at least half of the failures were answered, by a refusal or a reset.
func (r *failureRun) crashed() bool { return 2*r.silent <= r.count }

func (r *failureRun) add(o observation) {
	if r.count == 0 {
		r.from = o.at
	}
	r.count++
	r.last = o.at
	if o.silent {
		r.silent++
	}
}

// findOutages finds the spans in which an endpoint was down.
func findOutages(observations []observation) (outages []outage) {
	var run failureRun
	counted := policy.Time(0) // start time of the last counted restart; the traces of several instances repeat it
	for _, o := range observations {
		switch {
		case o.started > 0:
			if o.started == counted {
				continue
			}
			counted = o.started
			if run.count == 0 {
				run.from = o.started - restartTime
			}
			outages = append(outages, outage{
				from:    min(run.from, o.started-1),
				to:      o.started,
				cold:    true,
				crashed: run.crashed(),
			})
			run = failureRun{}
		case o.succeeded:
			if run.count >= failuresInRow {
				crashed := run.crashed()
				outages = append(
					outages,
					outage{from: run.from, to: max(run.last, run.from+1), crashed: crashed, cold: crashed},
				)
			}
			run = failureRun{}
		default:
			run.add(o)
		}
	}
	return outages
}
