// Package experiment plays days of the emulator for a purpose: one day with its report, many days over seeds and figures, two
// sets of days against each other. What it writes depends on scenario, seed and policy alone, not on clocks or workers.
package experiment

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/baseline"
	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/snapshot"
	"pepperlead/policy"
)

// Latency is how long honoured tickets of an offering took, from reaching the sidecar to its answer.
type Latency struct {
	Class string        `json:"offering"`
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P90   time.Duration `json:"p90_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Result is what a day came to.
type Result struct {
	Scenario string         `json:"scenario"`
	Seed     uint64         `json:"seed"`
	Policy   string         `json:"policy"`
	Set      string         `json:"set,omitempty"` // the figure that was changed, as path=value
	Verdict  *judge.Verdict `json:"verdict"`
	Wasted   float64        `json:"wasted"` // part of the servers' work that nobody waited for any more
	Latency  []Latency      `json:"latency,omitempty"`
	Events   uint64         `json:"events"`
}

// Series is what a report shows beside the result.
type Series struct {
	Endpoints []string           `json:"servers"`
	Samples   []emulator.Sample  `json:"samples"`
	Curves    map[string][]Point `json:"curves"` // latency by percentile, by offering
	Faults    []Span             `json:"faults"`
}

// Point is one point of a curve.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Span is a fault as a report draws it.
type Span struct {
	What     string      `json:"what"`
	From, To policy.Time `json:"-"`
	FromS    float64     `json:"from_s"`
	ToS      float64     `json:"to_s"`
}

// Scale is the figure of a set that changes a fleet's size, as 300x100: so many sidecars before so many servers, with load and keys
// in proportion to the servers.
const Scale = "scale"

// Load reads a scenario with its base, which stands beside it.
func Load(path string, sets ...emulator.Set) (*emulator.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if i := slices.IndexFunc(sets, func(s emulator.Set) bool { return s.Path == Scale }); i >= 0 {
		sc, err := Load(path, slices.Delete(slices.Clone(sets), i, i+1)...)
		if err != nil {
			return nil, err
		}
		var sidecars, servers int
		if n, err := fmt.Sscanf(fmt.Sprint(sets[i].Value), "%dx%d", &sidecars, &servers); n != 2 || err != nil || sidecars < 1 || servers < 1 {
			return nil, fmt.Errorf("scale: found %v, allowed sidecars x servers, as 300x100", sets[i].Value)
		}
		by := float64(servers) / float64(sc.Endpoints)
		sets = append(slices.Clone(sets[:i]), append([]emulator.Set{{Path: "fleet.sidecars", Value: int64(sidecars)}, {Path: "fleet.servers", Value: int64(servers)},
			{Path: "load.keys", Value: int64(math.Round(float64(sc.Load.Keys) * by))}}, sets[i+1:]...)...)
		if sc.Load.Rate > 0 {
			sets = append(sets, emulator.Set{Path: "load.rate", Value: sc.Load.Rate * by})
		}
	}
	return emulator.Read(path, text, func(name string) ([]byte, error) {
		return os.ReadFile(filepath.Join(filepath.Dir(path), filepath.Base(name)))
	}, sets...)
}

// latencyRecorder keeps latencies.
type latencyRecorder struct{ byClass []*hdrhistogram.Histogram }

func newLatencyRecorder(sc *emulator.Scenario) *latencyRecorder {
	w := &latencyRecorder{}
	for range sc.Classes {
		w.byClass = append(w.byClass, hdrhistogram.New(1000, int64(24*time.Hour), 3))
	}
	return w
}

// Answer counts an honoured ticket.
func (w *latencyRecorder) Answer(o policy.ClassID, a judge.Answer, spent policy.Time) {
	if a == judge.Succeeded {
		w.byClass[o].RecordValue(int64(max(spent, 1000)))
	}
}

func (w *latencyRecorder) latencies(sc *emulator.Scenario) (all []Latency) {
	for i, h := range w.byClass {
		at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) }
		all = append(all, Latency{sc.Classes[i].Name, h.TotalCount(), at(50), at(90), at(99), time.Duration(h.Max())})
	}
	return all
}

// Play plays one day. series is nil unless it is wanted.
func Play(sc *emulator.Scenario, seed uint64, policyName string, wantSeries bool) (*Result, *Series, error) {
	maker, err := baseline.Maker(policyName)
	if err != nil {
		return nil, nil, err
	}
	watch := newLatencyRecorder(sc)
	var sample emulator.Sampler = watch
	world := emulator.New(sc, seed, maker, sample)
	verdict := world.Run()
	out := &Result{Scenario: sc.Name, Seed: seed, Policy: policyName, Verdict: verdict, Wasted: world.Wasted(),
		Latency: watch.latencies(sc), Events: world.Events()}
	if !wantSeries {
		return out, nil, nil
	}
	return out, &Series{Samples: world.Series, Curves: watch.curves(sc), Endpoints: world.EndpointNames(), Faults: Spans(sc)}, nil
}

func (w *latencyRecorder) curves(sc *emulator.Scenario) map[string][]Point {
	all := map[string][]Point{}
	for i, h := range w.byClass {
		for _, q := range []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9, 100} {
			all[sc.Classes[i].Name] = append(all[sc.Classes[i].Name], Point{q, float64(h.ValueAtQuantile(q)) / 1e9})
		}
	}
	return all
}

// Spans are the faults of a script as they lie in the day.
func Spans(sc *emulator.Scenario) (all []Span) {
	for _, f := range sc.Faults {
		to := f.At + f.Duration
		if f.Duration == 0 || f.Kind == emulator.Rolling || f.Kind == emulator.Shrink {
			to = min(sc.Length, f.At+max(f.Duration, policy.Second))
		}
		if f.Kind == emulator.Rolling {
			to = sc.Length
		}
		all = append(all, Span{What: f.Kind.String(), From: f.At, To: to, FromS: float64(f.At) / 1e9, ToS: float64(to) / 1e9})
	}
	return all
}

// Write puts a result into a folder: result.json, and series.json beside it.
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
