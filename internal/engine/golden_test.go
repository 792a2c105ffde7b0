package engine

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/golden"
	"pepperlead/policy"
)

// TestCountersHaveTheirNames holds the names of all counters, their order and which field each shows to what they were before.
func TestCountersHaveTheirNames(t *testing.T) {
	var counters Counters
	golden.Fill(&counters)
	golden.Compare(t, "counters.txt", []byte(counters.String()))
}

// TestFiguresOfOperatorsHaveTheirNames holds the figures that operators see to what they were before.
func TestFiguresOfOperatorsHaveTheirNames(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	engine := New(Config{Settings: &policy.Settings{Instances: 1, Classes: []policy.Class{{Name: "step"}, {Name: "a\"b\\c\n,d"}}}}, log)
	for class := range engine.Tally.Answered {
		for result := range engine.Tally.Answered[class] {
			engine.Tally.Answered[class][result].Store(int64(100 + 10*class + result))
		}
	}
	engine.Tally.Written.Store(1)
	engine.Tally.Pending.Store(2)
	engine.Tally.Endpoints.Store(3)
	engine.Tally.Unavailable.Store(4)
	golden.Compare(t, "figures.txt", engine.AppendFigures(nil))
}

// TestResultsOfAnswersAreShownAsBefore counts one request of each end, and holds the figures to what they were before.
func TestResultsOfAnswersAreShownAsBefore(t *testing.T) {
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
