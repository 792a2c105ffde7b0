package livetest

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"pepperlead/internal/emulator"
	"pepperlead/internal/experiment"
	"pepperlead/internal/trace"
)

const shortScenario = `name = "short"
length = "6s"
[fleet]
servers = 4
sidecars = 2
zones = ["a"]
pod = 2
[[kind]]
name = "usual"
cores = 2
queue = 100
cold_part = 0.3
warm_in = "2s"
fall = 4
[load]
rate = 120.0
keys = 50
[clients]
retries = 1
[discovery]
delay = { from = "50ms", to = "100ms" }
[[offering]]
name = "step"
quoted_time = "500ms"
cut_off = "1500ms"
work = "12ms"
io = "10ms"
spread = 0.3
[[offering]]
name = "call"
share = 0.3
quoted_time = "500ms"
cut_off = "1500ms"
repeats = "at-most-once"
work = "12ms"
[[fault]]
kind = "crash"
at = "1500ms"
for = "800ms"
server = 1
[[fault]]
kind = "sidecar-restart"
at = "3s"
for = "400ms"
count = 1
`

func buildDaemon(t *testing.T, dir string) string {
	t.Helper()
	daemon := filepath.Join(dir, "pepperlead")
	build := exec.Command("go", "build", "-o", daemon, "pepperlead/cmd/pepperlead")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v %s", err, output)
	}
	return daemon
}

func readTraces(t *testing.T, dir string) []*trace.Trace {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.trace"))
	if err != nil {
		t.Fatal(err)
	}
	var traces []*trace.Trace
	for _, path := range paths {
		one, err := trace.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		traces = append(traces, one)
	}
	return traces
}

// A short scenario runs with real daemons on real sockets, with an endpoint that crashes and an instance that is killed.
// The judge must find no violation, and a replay of the recorded traces in virtual time, one of them truncated by the
// kill, must give about the same service.
func TestShortScenarioOnSocketsAndReplay(t *testing.T) {
	dir := t.TempDir()
	daemon := buildDaemon(t, dir)
	scenario, err := emulator.Read("short", []byte(shortScenario), nil)
	if err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	verdict, err := Run(context.Background(), Options{Scenario: scenario, Seed: 3, Daemon: daemon, TraceDir: dir, Log: &log})
	if err != nil {
		t.Fatal(err, log.String())
	}
	if !verdict.NoViolations() || verdict.ClientRequests < 500 || verdict.Service < 0.75 ||
		verdict.Attempts < verdict.Succeeded {
		t.Errorf("%v, service %.3f of %d requests, %d succeeded by %d attempts: %v\n%s",
			verdict.ViolationCounts, verdict.Service, verdict.ClientRequests, verdict.Succeeded, verdict.Attempts,
			verdict.Violations, log.String())
	}
	traces := readTraces(t, dir)
	if len(traces) != 3 {
		t.Fatalf("unexpected number of traces: %d", len(traces))
	}
	replayed, err := experiment.FromTraces(scenario, traces)
	if err != nil {
		t.Fatal(err)
	}
	// Requests that reached an instance while it was down were not recorded.
	if replayed.Arrivals < verdict.ClientRequests*8/10 || replayed.Arrivals > verdict.ClientRequests ||
		replayed.Endpoints != 4 || len(replayed.Faults) == 0 ||
		!strings.HasPrefix(replayed.Faults[0], "s-00001: crash from ") {
		t.Errorf("summary of the replay of a run with %d requests: %+v", verdict.ClientRequests, replayed)
	}
	result, _, err := experiment.Play(scenario, 1, "module", false)
	if err != nil {
		t.Fatal(err)
	}
	difference := result.Verdict.Service - replayed.SucceededShare
	if !result.Verdict.NoViolations() || difference < -0.15 || difference > 0.15 {
		t.Errorf("replayed: %v, service %.3f, of the recorded requests %.3f succeeded",
			result.Verdict.ViolationCounts, result.Verdict.Service, replayed.SucceededShare)
	}
	scenario.Arrivals = nil
	scenario.Instances = maxInstances + 1
	_, err = Run(context.Background(), Options{Scenario: scenario, Daemon: daemon})
	if err == nil || !strings.Contains(err.Error(), fmt.Sprint(scenario.Instances, " sidecars")) {
		t.Errorf("a live test of %d sidecars ended with error %v", scenario.Instances, err)
	}
}

// Sizes up to the limits are accepted, and each size beyond its limit is rejected.
func TestCheckSize(t *testing.T) {
	for _, test := range []struct {
		endpoints int
		instances int
		rate      float64
		accepted  bool
	}{
		{1024, 1024, 100, true},
		{maxEndpoints, maxInstances, maxRate, true},
		{maxEndpoints + 1, 1, 1, false},
		{1, maxInstances + 1, 1, false},
		{1, 1, maxRate + 1, false},
	} {
		scenario := &emulator.Scenario{Endpoints: test.endpoints, Instances: test.instances}
		if err := checkSize(scenario, test.rate); (err == nil) != test.accepted {
			t.Errorf("size %+v: error %v", test, err)
		}
	}
}
