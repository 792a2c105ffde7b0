package drill

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pepperlead/internal/drill/judge"
	"pepperlead/internal/golden"
)

// TestResultsHaveTheirKeys holds what pepperlab drill prints as JSON, with a value in each field, to what it printed before.
func TestResultsHaveTheirKeys(t *testing.T) {
	for name, document := range map[string]any{"play.json": &Result{}, "peers.json": &Company{}} {
		golden.Fill(document)
		written, err := json.MarshalIndent(document, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, name, append(written, '\n'))
	}
}

// TestLinesOfSidecarsAreRead reads lines as sidecars write them during a drill.
func TestLinesOfSidecarsAreRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, golden.Read(t, "sidecar.log"), 0o600); err != nil {
		t.Fatal(err)
	}
	stage := &Stage{}
	cluster := &Cluster{Stage: stage, sidecars: []*Process{{Name: "n1", Log: path}}}
	var history judge.History
	if err := cluster.written(&history); err != nil {
		t.Fatal(err)
	}
	acts := func(at int64, leased bool, versions ...int) judge.Acts {
		return judge.Acts{Process: "n1", Of: versions, Leased: leased, At: at}
	}
	changes := []judge.Acts{acts(11, true, 4, 5), acts(12, false, 4, 5)}
	steps := []judge.Step{{Acts: acts(13, true, 5), ID: "a-1"}, {Acts: acts(14, true, 5), ID: "a-1", Server: "s-2", No: 3}}
	if !reflect.DeepEqual(history.Changes, changes) || !reflect.DeepEqual(history.Steps, steps) {
		t.Errorf("got %+v and %+v", history.Changes, history.Steps)
	}
}

// TestDrillsAreReadAsBefore holds the values that each drill of the repository is read as to those that it was read as before.
func TestDrillsAreReadAsBefore(t *testing.T) {
	paths, err := filepath.Glob("../../drills/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatal(err, len(paths))
	}
	for _, path := range append(paths, "testdata/every-key.toml") {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		script, err := ReadScript(path, text)
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, "scripts/"+filepath.Base(path)+".values", golden.Values(script))
	}
}
