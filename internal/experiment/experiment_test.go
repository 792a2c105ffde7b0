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

const dir = "../../scenarios/"

func grid(workers int) Grid {
	return Grid{Scenarios: []string{dir + "calm.toml", dir + "slow.toml"}, Seeds: []uint64{1, 2}, Vary: "load.part", Values: []string{"0.5", "1.5"},
		Policies: []string{"module", "two"}, Workers: workers}
}

// However many are played at once, what is written is the same to the byte.
func TestWorkersChangeNothing(t *testing.T) {
	var all [2]string
	for i, workers := range []int{1, 8} {
		got, err := Sweep(context.Background(), grid(workers))
		if err != nil {
			t.Fatal(err)
		}
		out := t.TempDir()
		if err := WriteSweep(out, got); err != nil {
			t.Fatal(err)
		}
		b, _ := os.ReadFile(filepath.Join(out, "sweep.json"))
		all[i] = string(b)
		if rows := Table(got); len(rows) != 8 || rows[0].Runs != 2 || rows[0].Set != "load.part=0.5" || rows[1].Policy != "two" {
			t.Errorf("%+v", rows)
		}
		if err := PlotRows(filepath.Join(out, "table.svg"), Table(got)); err != nil {
			t.Error(err)
		}
		if svg, err := os.ReadFile(filepath.Join(out, "table.svg")); err != nil || strings.Count(string(svg), "load.part=1.5") != 2 {
			t.Errorf("the picture lacks a group: %v", err)
		}
		if again, err := ReadResults(out); err != nil || len(again) != 16 || again[15].Verdict.Service != got[15].Verdict.Service {
			t.Errorf("%d read back: %v", len(again), err)
		}
		self, err := Compare(FilterByPolicy(got, "module"), FilterByPolicy(got, "module"))
		if err != nil || len(self) != 4 || self[0].Gain != 0 || self[0].Pairs != 2 {
			t.Errorf("%+v %v", self, err)
		}
		two, err := Compare(FilterByPolicy(got, "module"), FilterByPolicy(got, "two"))
		if err != nil || two[3].Scenario != "slow" || two[3].Gain > -0.01 || two[3].HalfWidth <= 0 {
			t.Errorf("%+v %v", two, err)
		}
		if _, err := Compare(got, got); err == nil {
			t.Error("two policies were taken for one")
		}
	}
	if all[0] != all[1] {
		t.Error("other results with eight workers")
	}
	bad := grid(1)
	bad.Values = []string{"0.5", "-3"}
	if _, err := Sweep(context.Background(), bad); err == nil || !strings.Contains(err.Error(), "load.part") {
		t.Error(err)
	}
}

func TestReportHoldsAll(t *testing.T) {
	sc, err := Load(dir + "pod-throttled.toml")
	if err != nil {
		t.Fatal(err)
	}
	r, s, err := Play(sc, 1, "module", true)
	if err != nil {
		t.Fatal(err)
	}
	out := t.TempDir()
	if err := WriteResult(out, r, s); err != nil {
		t.Fatal(err)
	}
	path, err := Report(out)
	if err != nil {
		t.Fatal(err)
	}
	page, _ := os.ReadFile(path)
	for _, want := range []string{"pod-throttled</h1>", "pod-throttled</td>", "sidecar-restart</td>", ">kept<", "Pushes out by server", "<td>note</td>"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("no %s", want)
		}
	}
	if n := strings.Count(string(page), "<svg"); n != 5 || strings.Contains(string(page), "<?xml") || strings.Contains(string(page), "http://localhost") {
		t.Errorf("%d pictures", n)
	}
	if _, err := Report(t.TempDir()); err == nil {
		t.Error("a report of nothing")
	}
	var back Result
	b, _ := json.Marshal(r)
	if err := json.Unmarshal(b, &back); err != nil || back.Verdict.Service != r.Verdict.Service {
		t.Error(err)
	}
}

func TestIntervalsAndRanges(t *testing.T) {
	// 1, 2, 3: mean 2, standard error 1/sqrt(3), and 4.303 of them by Student's table for two degrees.
	if mean, half := ConfidenceInterval([]float64{1, 2, 3}); math.Abs(mean-2) > 1e-12 || math.Abs(half-4.3027/math.Sqrt(3)) > 1e-3 {
		t.Errorf("%v ± %v", mean, half)
	}
	for text, want := range map[string]string{"1,2": "1 2", "0.5:0.9:0.2": "0.5 0.7 0.9", "1:8:2": "1 3 5 7", "1:0:1": "", "a:2:1": ""} {
		if got, err := ParseValues(text); strings.Join(got, " ") != want || (err != nil) != (want == "") {
			t.Errorf("%s: %v %v", text, got, err)
		}
	}
}
