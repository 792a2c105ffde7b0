package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/judge"
	"pepperlead/policy"
)

const (
	minLatency       = 1000 // ns; shorter latencies are recorded as this one
	maxLatency       = 24 * time.Hour
	latencyPrecision = 3 // significant digits
)

// curvePercentiles are the percentiles of a latency curve.
var curvePercentiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9, 100}

// latencyRecorder is an emulator.AnswerObserver that records the latency of succeeded requests by class.
type latencyRecorder struct{ byClass []*hdrhistogram.Histogram }

func newLatencyRecorder(scenario *emulator.Scenario) *latencyRecorder {
	l := &latencyRecorder{}
	for range scenario.Classes {
		l.byClass = append(l.byClass, hdrhistogram.New(minLatency, int64(maxLatency), latencyPrecision))
	}
	return l
}

// Answer records the latency of a succeeded request.
func (l *latencyRecorder) Answer(class policy.ClassID, answer judge.Answer, elapsed policy.Time) {
	if answer == judge.Succeeded {
		// RecordValue fails only above maxLatency, which is the maximum length of a scenario.
		_ = l.byClass[class].RecordValue(int64(max(elapsed, minLatency)))
	}
}

// latencies returns the latency by class, in the order of the scenario's classes.
func (l *latencyRecorder) latencies(scenario *emulator.Scenario) (all []Latency) {
	for i, histogram := range l.byClass {
		at := func(percentile float64) time.Duration { return time.Duration(histogram.ValueAtQuantile(percentile)) }
		all = append(all, Latency{
			Class: scenario.Classes[i].Name,
			Count: histogram.TotalCount(),
			P50:   at(50),
			P90:   at(90),
			P99:   at(99),
			Max:   time.Duration(histogram.Max()),
		})
	}
	return all
}

// curves returns the latency curves by class: the latency in seconds (Y) at each of curvePercentiles (X).
func (l *latencyRecorder) curves(scenario *emulator.Scenario) map[string][]Point {
	all := map[string][]Point{}
	for i, histogram := range l.byClass {
		name := scenario.Classes[i].Name
		for _, percentile := range curvePercentiles {
			seconds := float64(histogram.ValueAtQuantile(percentile)) / 1e9
			all[name] = append(all[name], Point{percentile, seconds})
		}
	}
	return all
}
