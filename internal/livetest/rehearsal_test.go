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

const short = `name = "short"
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

// Real daemons on real sockets, with a server that crashes and a sidecar that is killed: the judge finds no rule broken, and the
// traces they wrote, one of them cut off by the kill, play again in virtual time and come to about the same.
func TestAShortDayOnSocketsAndItsReplay(t *testing.T) {
	dir := t.TempDir()
	daemon := filepath.Join(dir, "pepperlead")
	if built, err := exec.Command("go", "build", "-o", daemon, "pepperlead/cmd/pepperlead").CombinedOutput(); err != nil {
		t.Fatalf("%v %s", err, built)
	}
	sc, err := emulator.Read("short", []byte(short), nil)
	if err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	v, err := Run(context.Background(), Play{Scenario: sc, Seed: 3, Daemon: daemon, Record: dir, Log: &log})
	if err != nil {
		t.Fatal(err, log.String())
	}
	if !v.NoViolations() || v.ClientRequests < 500 || v.Service < 0.75 || v.Attempts < v.Succeeded {
		t.Errorf("%v, service %.3f of %d requests, %d honoured by %d pushes: %v\n%s", v.ViolationCounts, v.Service, v.ClientRequests, v.Succeeded, v.Attempts,
			v.Violations, log.String())
	}
	paths, _ := filepath.Glob(filepath.Join(dir, "*.trace"))
	var all []*trace.Trace
	for _, p := range paths {
		one, err := trace.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, one)
	}
	if len(all) != 3 {
		t.Fatalf("%d traces", len(all))
	}
	took, err := experiment.FromTraces(sc, all)
	if err != nil {
		t.Fatal(err)
	}
	// What reached a sidecar while it was down was not recorded.
	if took.Arrivals < v.ClientRequests*8/10 || took.Arrivals > v.ClientRequests || took.Endpoints != 4 || len(took.Faults) == 0 ||
		!strings.HasPrefix(took.Faults[0], "s-00001: crash from ") {
		t.Errorf("of %d requests: %+v", v.ClientRequests, took)
	}
	r, _, err := experiment.Play(sc, 1, "module", false)
	if err != nil {
		t.Fatal(err)
	}
	if d := r.Verdict.Service - took.SucceededShare; !r.Verdict.NoViolations() || d < -0.15 || d > 0.15 {
		t.Errorf("replayed: %v, service %.3f, of the recorded tickets %.3f were honoured", r.Verdict.ViolationCounts, r.Verdict.Service, took.SucceededShare)
	}
	sc.Arrivals, sc.Instances = nil, mostSidecars+1
	if _, err := Run(context.Background(), Play{Scenario: sc, Daemon: daemon}); err == nil || !strings.Contains(err.Error(), fmt.Sprint(sc.Instances, " sidecars")) {
		t.Errorf("a rehearsal of %d sidecars: %v", sc.Instances, err)
	}
}

// A fleet of more than a thousand is let in, and one beyond what is laid out for is not, on either side.
func TestSizesThatFit(t *testing.T) {
	for _, k := range []struct {
		servers, sidecars int
		rate              float64
		fits              bool
	}{{1024, 1024, 100, true}, {mostServers, mostSidecars, mostRate, true}, {mostServers + 1, 1, 1, false}, {1, mostSidecars + 1, 1, false},
		{1, 1, mostRate + 1, false}} {
		if err := fits(&emulator.Scenario{Endpoints: k.servers, Instances: k.sidecars}, k.rate); (err == nil) != k.fits {
			t.Errorf("%+v: %v", k, err)
		}
	}
}
