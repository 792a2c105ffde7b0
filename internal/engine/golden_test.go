package engine

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/golden"
	"pepperlead/policy"
)

// TestCountersMatchGoldenFile compares the names of all counters, their order and the field that each shows with the golden file.
func TestCountersMatchGoldenFile(t *testing.T) {
	var counters Counters
	golden.Fill(&counters)
	golden.Compare(t, "counters.txt", []byte(counters.String()))
}

// TestMetricsMatchGoldenFile compares the names, labels and values of the metrics that operators see with the golden file.
func TestMetricsMatchGoldenFile(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	engine := New(Config{Settings: &policy.Settings{Instances: 1, Classes: []policy.Class{{Name: "step"}, {Name: "a\"b\\c\n,d"}}}}, log)
	for class := range engine.Metrics.Answered {
		for result := range engine.Metrics.Answered[class] {
			engine.Metrics.Answered[class][result].Store(int64(100 + 10*class + result))
		}
	}
	engine.Metrics.Written.Store(1)
	engine.Metrics.Pending.Store(2)
	engine.Metrics.Endpoints.Store(3)
	engine.Metrics.Unavailable.Store(4)
	golden.Compare(t, "figures.txt", engine.AppendFigures(nil))
}

// TestResultsMatchGoldenFile counts a different number of requests for each kind of answer, and compares the metrics by result with the
// golden file.
func TestResultsMatchGoldenFile(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	engine := New(Config{Settings: &policy.Settings{Instances: 1, Classes: []policy.Class{{Name: "step"}}}}, log)
	for answer, times := range []int{1, 10, 100, 1000, 10000} {
		for range times {
			engine.endWait(&Request{ClientWaiting: true}, answer)
		}
	}
	golden.Compare(t, "results.txt", engine.AppendFigures(nil))
}
