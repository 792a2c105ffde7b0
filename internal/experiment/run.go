// Package experiment plays scenarios in the emulator: single runs with a report, replays of traces, sweeps over seeds,
// settings and policies, and comparisons of two sweeps. What it writes depends only on the scenario, the overrides of
// its settings, the traces of a replay, the seed and the policy, not on clocks or the number of workers.
package experiment

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/baseline"
	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/snapshot"
	"pepperlead/policy"
)

// Latency is how long succeeded requests of a class took, from their arrival at the instance to the answer.
type Latency struct {
	Class string        `json:"offering"`
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P90   time.Duration `json:"p90_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Result is the result of one run.
type Result struct {
	Scenario string         `json:"scenario"`
	Seed     uint64         `json:"seed"`
	Policy   string         `json:"policy"`
	Set      string         `json:"set,omitempty"` // overrides of the scenario's settings, as path=value
	Verdict  *judge.Verdict `json:"verdict"`
	Wasted   float64        `json:"wasted"` // share of the endpoints' work that was done for abandoned attempts
	Latency  []Latency      `json:"latency,omitempty"`
	Events   uint64         `json:"events"`
}

// Series holds what a report shows besides the result.
type Series struct {
	Endpoints []string           `json:"servers"`
	Samples   []emulator.Sample  `json:"samples"`
	Curves    map[string][]Point `json:"curves"` // latency curves by class
	Faults    []FaultSpan        `json:"faults"`
}

// Point is one point of a curve.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// FaultSpan is a fault as a span of time, for a report.
type FaultSpan struct {
	What     string      `json:"what"`
	From, To policy.Time `json:"-"`
	FromS    float64     `json:"from_s"`
	ToS      float64     `json:"to_s"`
}

// Play plays a scenario once. The series is nil unless wantSeries is set.
func Play(scenario *emulator.Scenario, seed uint64, policyName string, wantSeries bool) (*Result, *Series, error) {
	maker, err := baseline.Factory(policyName)
	if err != nil {
		return nil, nil, err
	}
	latencies := newLatencyRecorder(scenario)
	world := emulator.New(scenario, seed, maker, latencies)
	verdict := world.Run()
	result := &Result{
		Scenario: scenario.Name,
		Seed:     seed,
		Policy:   policyName,
		Verdict:  verdict,
		Wasted:   world.Wasted(),
		Latency:  latencies.latencies(scenario),
		Events:   world.Events(),
	}
	if !wantSeries {
		return result, nil, nil
	}
	return result, &Series{
		Samples:   world.Series,
		Curves:    latencies.curves(scenario),
		Endpoints: world.EndpointNames(),
		Faults:    FaultSpans(scenario),
	}, nil
}

// FaultSpans returns the faults of a scenario as spans of time since its start. A fault without a duration is shown for
// 1 s, and a rolling fault until the end of the scenario.
func FaultSpans(scenario *emulator.Scenario) (spans []FaultSpan) {
	for _, fault := range scenario.Faults {
		to := fault.At + fault.Duration
		if fault.Duration == 0 || fault.Kind == emulator.Rolling || fault.Kind == emulator.Shrink {
			to = min(scenario.Length, fault.At+max(fault.Duration, policy.Second))
		}
		if fault.Kind == emulator.Rolling {
			to = scenario.Length
		}
		spans = append(spans, FaultSpan{
			What:  fault.Kind.String(),
			From:  fault.At,
			To:    to,
			FromS: float64(fault.At) / 1e9,
			ToS:   float64(to) / 1e9,
		})
	}
	return spans
}

// WriteResult writes the result and the series of a run into a directory as result.json and series.json.
func WriteResult(dir string, r *Result, s *Series) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, "result.json"), r); err != nil {
		return err
	}
	return writeJSON(filepath.Join(dir, "series.json"), s)
}

func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return snapshot.Replace(path, append(b, '\n'))
}

func readJSON(path string, v any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
