package experiment

import (
	"context"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const scenarioDir = "../../scenarios/"

func testGrid(workers int) Grid {
	return Grid{Scenarios: []string{scenarioDir + "calm.toml", scenarioDir + "slow.toml"}, Seeds: []uint64{1, 2}, Vary: "load.part",
		Values: []string{"0.5", "1.5"}, Policies: []string{"module", "two"}, Workers: workers}
}

// The number of workers must not change the results of a sweep: sweep.json is the same to the byte.
func TestResultsDoNotDependOnWorkers(t *testing.T) {
	var sweeps [2]string // sweep.json, by number of workers
	for i, workers := range []int{1, 8} {
		got, err := Sweep(context.Background(), testGrid(workers))
		if err != nil {
			t.Fatal(err)
		}
		out := t.TempDir()
		if err := WriteSweep(out, got); err != nil {
			t.Fatal(err)
		}
		b, _ := os.ReadFile(filepath.Join(out, "sweep.json"))
		sweeps[i] = string(b)
		if rows := Table(got); len(rows) != 8 || rows[0].Runs != 2 || rows[0].Set != "load.part=0.5" || rows[1].Policy != "two" {
			t.Errorf("table rows of the sweep: %+v", rows)
		}
		if err := PlotRows(filepath.Join(out, "table.svg"), Table(got)); err != nil {
			t.Error(err)
		}
		if svg, err := os.ReadFile(filepath.Join(out, "table.svg")); err != nil || strings.Count(string(svg), "load.part=1.5") != 2 {
			t.Errorf("the SVG file lacks a group: %v", err)
		}
		if again, err := ReadResults(out); err != nil || len(again) != 16 || again[15].Verdict.Service != got[15].Verdict.Service {
			t.Errorf("%d results were read back, error %v", len(again), err)
		}
		self, err := Compare(FilterByPolicy(got, "module"), FilterByPolicy(got, "module"))
		if err != nil || len(self) != 4 || self[0].Gain != 0 || self[0].Pairs != 2 {
			t.Errorf("comparison of a sweep with itself: %+v, error %v", self, err)
		}
		two, err := Compare(FilterByPolicy(got, "module"), FilterByPolicy(got, "two"))
		if err != nil || two[3].Scenario != "slow" || two[3].Gain > -0.01 || two[3].HalfWidth <= 0 {
			t.Errorf("comparison of two policies: %+v, error %v", two, err)
		}
		if _, err := Compare(got, got); err == nil {
			t.Error("two policies in one sweep were accepted")
		}
	}
	if sweeps[0] != sweeps[1] {
		t.Error("results differ between one and eight workers")
	}
	invalid := testGrid(1)
	invalid.Values = []string{"0.5", "-3"}
	if _, err := Sweep(context.Background(), invalid); err == nil || !strings.Contains(err.Error(), "load.part") {
		t.Error(err)
	}
}

func TestReportHasAllSections(t *testing.T) {
	scenario, err := Load(scenarioDir + "pod-throttled.toml")
	if err != nil {
		t.Fatal(err)
	}
	result, series, err := Play(scenario, 1, "module", true)
	if err != nil {
		t.Fatal(err)
	}
	out := t.TempDir()
	if err := WriteResult(out, result, series); err != nil {
		t.Fatal(err)
	}
	path, err := Report(out)
	if err != nil {
		t.Fatal(err)
	}
	page, _ := os.ReadFile(path)
	for _, want := range []string{"pod-throttled</h1>", "pod-throttled</td>", "sidecar-restart</td>", ">kept<", "Pushes out by server", "<td>note</td>"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the report lacks %s", want)
		}
	}
	if n := strings.Count(string(page), "<svg"); n != 5 || strings.Contains(string(page), "<?xml") || strings.Contains(string(page), "http://localhost") {
		t.Errorf("%d SVG elements, want 5 without XML declarations or links to localhost", n)
	}
	if _, err := Report(t.TempDir()); err == nil {
		t.Error("a report of an empty directory was written")
	}
	var back Result
	b, _ := json.Marshal(result)
	if err := json.Unmarshal(b, &back); err != nil || back.Verdict.Service != result.Verdict.Service {
		t.Error(err)
	}
}

func TestIntervalsAndRanges(t *testing.T) {
	// 1, 2, 3 have the mean 2 and the standard error 1/sqrt(3); Student's t for two degrees of freedom is 4.303.
	if mean, halfWidth := ConfidenceInterval([]float64{1, 2, 3}); math.Abs(mean-2) > 1e-12 || math.Abs(halfWidth-4.3027/math.Sqrt(3)) > 1e-3 {
		t.Errorf("mean and half width of the 95%% interval of 1, 2, 3: %v ± %v", mean, halfWidth)
	}
	for text, want := range map[string]string{"1,2": "1 2", "0.5:0.9:0.2": "0.5 0.7 0.9", "1:8:2": "1 3 5 7", "1:0:1": "", "a:2:1": ""} {
		if got, err := ParseValues(text); strings.Join(got, " ") != want || (err != nil) != (want == "") {
			t.Errorf("%s: values %v, error %v", text, got, err)
		}
	}
}
