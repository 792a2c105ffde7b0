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
	// silentAfter is how long a connection must have taken to fail for the endpoint to count as silent.
	silentAfter = 50 * policy.Millisecond
	// restartTime is how long an endpoint that restarted with no failure seen is taken to have been down.
	restartTime = 200 * policy.Millisecond
)

// observation is what a trace shows of one endpoint at one time.
type observation struct {
	at        policy.Time // Unix time
	started   policy.Time // it restarted then; 0: it did not
	failed    bool        // an attempt failed as if the endpoint were down
	succeeded bool
	silent    bool // it failed without an answer
}

// inferFaults works out what went wrong from lists and from the ends of attempts. An endpoint that restarted was down
// from its first failure, if there was one, else from shortly before; one that failed in a row was silent, or crashed
// if it refused.
func inferFaults(
	scenario *emulator.Scenario,
	traces []*trace.Trace,
	zero policy.Time,
	result *Replayed,
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
			fault := o.fault(i, zero)
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

// observe adds what a trace shows of endpoints, by uid.
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

// observeEnd returns what the end of an attempt conclusive of its endpoint, or false if it conclusive nothing.
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
		o.at -= record.C // it was down when the attempt was sent
	}
	return o, o.succeeded || o.failed
}

// outage is a span in which an endpoint was down.
type outage struct {
	from    policy.Time
	to      policy.Time
	cold    bool
	crashed bool
}

func (o outage) fault(endpoint int, zero policy.Time) emulator.Fault {
	fault := emulator.Fault{
		Kind:      emulator.Silent,
		At:        max(0, o.from-zero),
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

// failureRun is a run of failures in a row.
type failureRun struct {
	from   policy.Time
	last   policy.Time
	count  int
	silent int
}

// crashed reports whether most of the failures were answered, by a refusal or a reset.
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
	counted := policy.Time(0) // latest restart that was counted: every instance reports the same
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
