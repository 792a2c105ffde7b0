package policy

import (
	"encoding/json"
	"testing"

	"pepperlead/internal/golden"
)

// filledLearnedState returns a state with a distinct value in every field, so that a key that is lost, renamed or
// swapped with another changes the encoding.
func filledLearnedState() LearnedState {
	return LearnedState{
		Baseline: 1.5, LatencyPerLoad: 2.5, Limit: 3.5, InFlightMean: 4.5, Lateness: 5.5, RetryBudget: 6.5, LocalShare: 7.5,
		ZoneLateness:  [2]float64{8.5, 9.5},
		MeanLatency:   []float64{10.5, 11.5},
		FirstAttempts: []FirstAttemptTimes{{Longest: 12, ShorterShare: 13.5}, {Longest: 14, ShorterShare: 15.5}},
		TenantRates:   []float64{16.5, 17.5},
		ArrivalRate:   18.5, SuccessRate: 19.5, WarmRate: 20.5,
		RecentKeys: []uint64{21, 22},
		Endpoints: []LearnedEndpoint{
			{ID: 23, Started: 24, Weight: 25.5, Limit: 26.5, LatencyRatio: 27.5, SuccessRate: 28.5, Failures: 29, SlowStart: 30, EjectedUntil: 31, EjectionTime: 32, ColdBudget: 33.5},
			{ID: 34, Started: 35, Weight: 36.5, Limit: 37.5, LatencyRatio: 38.5, SuccessRate: 39.5, Failures: 40, SlowStart: 41, EjectedUntil: 42, EjectionTime: 43, ColdBudget: 44.5},
		},
	}
}

// Processes of other builds pass on their learned state in this encoding.
func TestLearnedStateKeepsItsKeys(t *testing.T) {
	golden.RoundTrip(t, "knowledge.json", filledLearnedState(), &LearnedState{}, json.Marshal, json.Unmarshal)
}
