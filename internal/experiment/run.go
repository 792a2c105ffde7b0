// Package experiment plays days of the emulator: one day with its report, many days over seeds and settings, two sets
// of days compared with each other. What it writes depends on scenario, seed and policy alone, not on clocks or
// workers.
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

// Latency is how long succeeded requests of a class took, from reaching the instance to its answer.
type Latency struct {
	Class string        `json:"offering"`
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P90   time.Duration `json:"p90_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Result is the result of a day.
type Result struct {
	Scenario string         `json:"scenario"`
	Seed     uint64         `json:"seed"`
	Policy   string         `json:"policy"`
	Set      string         `json:"set,omitempty"` // the setting that was changed, as path=value
	Verdict  *judge.Verdict `json:"verdict"`
	Wasted   float64        `json:"wasted"` // part of the endpoints' work that nobody waited for any more
	Latency  []Latency      `json:"latency,omitempty"`
	Events   uint64         `json:"events"`
}

// Series is what a report shows besides the result.
type Series struct {
	Endpoints []string           `json:"servers"`
	Samples   []emulator.Sample  `json:"samples"`
	Curves    map[string][]Point `json:"curves"` // latency by percentile, by class
	Faults    []Span             `json:"faults"`
}

// Point is one point of a curve.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Span is a fault of a report.
type Span struct {
	What     string      `json:"what"`
	From, To policy.Time `json:"-"`
	FromS    float64     `json:"from_s"`
	ToS      float64     `json:"to_s"`
}

// Play plays one day. The series is nil unless it is wanted.
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
		Faults:    Spans(scenario),
	}, nil
}

// Spans returns the faults of a scenario as spans of the day.
func Spans(scenario *emulator.Scenario) (spans []Span) {
	for _, fault := range scenario.Faults {
		to := fault.At + fault.Duration
		if fault.Duration == 0 || fault.Kind == emulator.Rolling || fault.Kind == emulator.Shrink {
			to = min(scenario.Length, fault.At+max(fault.Duration, policy.Second))
		}
		if fault.Kind == emulator.Rolling {
			to = scenario.Length
		}
		spans = append(spans, Span{
			What:  fault.Kind.String(),
			From:  fault.At,
			To:    to,
			FromS: float64(fault.At) / 1e9,
			ToS:   float64(to) / 1e9,
		})
	}
	return spans
}

// Write writes a result into a directory: result.json and series.json.
func Write(dir string, r *Result, s *Series) error {
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
