package faulttest

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"pepperlead/internal/faulttest/judge"
	"pepperlead/internal/golden"
)

// TestResultsMatchGoldenFiles compares the JSON form of the results, with a value in each field, with golden files. It
// fails if renaming a field changes its JSON name.
func TestResultsMatchGoldenFiles(t *testing.T) {
	for name, document := range map[string]any{"play.json": &Result{}, "peers.json": &PeersResult{}} {
		golden.Fill(document)
		written, err := json.MarshalIndent(document, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, name, append(written, '\n'))
	}
}

// TestReadLogs reads log lines of the kinds that sidecars write during a fault-injection test. If such lines were no
// longer recognised, the judge would get no records and find no violations.
func TestReadLogs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, golden.Read(t, "sidecar.log"), 0o600); err != nil {
		t.Fatal(err)
	}
	stage := &Stage{}
	cluster := &Cluster{Stage: stage, instances: []*Process{{Name: "n1", Log: path}}}
	var history judge.History
	if err := cluster.readLogs(&history); err != nil {
		t.Fatal(err)
	}
	rules := func(at int64, leased bool, revisions ...int) judge.ActiveRules {
		return judge.ActiveRules{Process: "n1", Revisions: revisions, Leased: leased, At: at}
	}
	changes := []judge.ActiveRules{rules(11, true, 4, 5), rules(12, false, 4, 5)}
	steps := []judge.Step{
		{ActiveRules: rules(13, true, 5), ID: "a-1"},
		{ActiveRules: rules(14, true, 5), ID: "a-1", Endpoint: "s-2", AttemptNumber: 3},
	}
	if !reflect.DeepEqual(history.Changes, changes) || !reflect.DeepEqual(history.Steps, steps) {
		t.Errorf("the logs gave changes %+v and steps %+v", history.Changes, history.Steps)
	}
}

// TestScriptValuesMatchGoldenFiles compares the values that are read from each drill of the repository with golden
// files. It fails if a key is read into another field or a default changes.
func TestScriptValuesMatchGoldenFiles(t *testing.T) {
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

// TestReportMatchesGoldenFile compares the report of a result with a golden file. The report's template names fields,
// and the compiler does not check them.
func TestReportMatchesGoldenFile(t *testing.T) {
	var result Result
	var script Script
	golden.Fill(&result)
	golden.Fill(&script)
	second := int64(time.Second)
	result.Drill, result.Seed, result.StartedAt = "play", 7, 10*second
	result.Applied = append(
		result.Applied,
		RuleChange{Version: "second", Number: 2, At: 1.5, P50: 2.5, P99: 3.5, Max: 4.5, Alone: 5.5},
	)
	result.Marks = []Mark{{At: 11 * second, Label: "a thing was done"}}
	result.History = &judge.History{
		Changes: []judge.ActiveRules{
			{Process: "n1", Revisions: []int{1, 2}, Leased: true, At: 10 * second},
			{Process: "n1", Revisions: []int{2}, Leased: true, At: 12 * second},
			{Process: "n2", Revisions: []int{1}, At: 11 * second},
		},
		DownIntervals: []judge.Interval{{Process: "n2", From: 12 * second, To: 13*second + int64(answerTimeout)}},
		ClientRequests: []judge.ClientRequest{
			{Status: 200, EndedAt: 11 * second},
			{Status: 503, EndedAt: 14 * second},
		},
	}
	folder := t.TempDir()
	if err := Report(folder, &script, &result); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(folder, "play-7.html"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "report.html", page)
}
