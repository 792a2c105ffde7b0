// Package livetest plays a scenario on sockets in real time, at a small size: daemons as processes of their own, fake
// backends with the emulator's model of endpoints, the requests of the emulator's clients, and the same judge. It shows
// whether the whole daemon, with real sockets, does what the decision module does in virtual time.
package livetest

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/judge"
	"pepperlead/policy"
)

// Limits of the size of scenarios: one machine must be able to play them beside the daemons.
const (
	maxEndpoints = 2048
	maxInstances = 2048
	maxRate      = 5000 // requests a second
)

const (
	// tolerance is how late a fake backend may observe what an instance did: its handler starts, or learns of a closed
	// connection, at most that much later.
	tolerance = 100 * policy.Millisecond
	// leadTime is the time between the end of the setup and the first request.
	leadTime = 500 * policy.Millisecond
	// settleTime is how long the endpoints may work on after the last response.
	settleTime = 200 * policy.Millisecond
	// observationInterval is how often the judge learns the load of the endpoints.
	observationInterval = 250 * policy.Millisecond
)

// Options configures a run.
type Options struct {
	Scenario *emulator.Scenario
	Seed     uint64
	Daemon   string    // path of the program
	TraceDir string    // directory for the traces of the instances; empty for none
	Log      io.Writer // receives the log lines of the run; nil: no log
}

// Run plays the scenario and returns the judge's verdict.
func Run(ctx context.Context, options Options) (*judge.Verdict, error) {
	scenario := options.Scenario
	plan := emulator.Plan(scenario, options.Seed)
	if err := checkSize(scenario, float64(len(plan))/seconds(scenario.Length)); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "livetest")
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = os.RemoveAll(dir) // at worst files stay in the temporary directory
	}()
	world := emulator.New(scenario, options.Seed, emulator.NewModule, nil) // only for its layout, rate and settings
	r := newLiveRun(options, dir, world)
	defer r.client.CloseIdleConnections()
	if err := r.startEndpoints(world); err != nil {
		return nil, err
	}
	defer r.stop()
	if err := r.startInstances(); err != nil {
		return nil, err
	}
	return r.play(ctx, plan)
}

// checkSize returns an error if a scenario, with the given number of requests a second, cannot be played on sockets.
func checkSize(scenario *emulator.Scenario, rate float64) error {
	switch {
	case scenario.Endpoints > maxEndpoints || scenario.Instances > maxInstances || rate > maxRate:
		return fmt.Errorf(
			"%s: found %d servers, %d sidecars, %.0f requests a second, allowed %d, %d, %d on sockets",
			scenario.Name, scenario.Endpoints, scenario.Instances, rate, maxEndpoints, maxInstances, maxRate)
	case scenario.Discovery.Polled:
		return fmt.Errorf("%s: discovery.asked: not supported on sockets, where lists are read from files",
			scenario.Name)
	}
	return nil
}

func seconds(t policy.Time) float64 { return float64(t) / float64(policy.Second) }

func afterFunc(delay policy.Time, f func()) *time.Timer {
	return time.AfterFunc(time.Duration(delay), f)
}
