package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"testing"

	"pepperlead/internal/golden"
)

// documents returns the JSON documents that this package writes, by the name of their golden file.
func documents() map[string]any {
	return map[string]any{"result.json": &Result{}, "series.json": &Series{}, "sweep.json": &[]*Result{}, "rows.json": &[]Row{},
		"comparisons.json": &[]Comparison{}, "replayed.json": &ReplaySummary{}}
}

// TestDocumentsMatchGoldenFiles compares each document, with all fields filled, with its golden file, and checks that
// the golden file can be read without loss.
func TestDocumentsMatchGoldenFiles(t *testing.T) {
	for name, document := range documents() {
		t.Run(name, func(t *testing.T) {
			golden.Fill(document)
			path := filepath.Join(t.TempDir(), name)
			if err := writeJSON(path, document); err != nil {
				t.Fatal(err)
			}
			written, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, name, written)
			read := reflect.New(reflect.TypeOf(document).Elem()).Interface()
			if err := json.Unmarshal(golden.Read(t, name), read); err != nil {
				t.Fatal(err)
			}
			again, err := json.MarshalIndent(read, "", " ")
			if err != nil || string(again)+"\n" != string(written) {
				t.Errorf("read back: %v, %s", err, again)
			}
		})
	}
}

// TestResultFilesMatchGoldenFiles compares the files that are written for a run, and their names, with golden files.
func TestResultFilesMatchGoldenFiles(t *testing.T) {
	var result Result
	var series Series
	golden.Fill(&result)
	golden.Fill(&series)
	directory := t.TempDir()
	if err := WriteResult(directory, &result, &series); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"result.json", "series.json"} {
		written, err := os.ReadFile(filepath.Join(directory, name))
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, name, written)
	}
}

// svgElement matches a plot within a report, which depends on the plotting library.
var svgElement = regexp.MustCompile(`(?s)<svg.*?</svg>`)

// TestReportMatchesGoldenFile compares the report of a run, without its plots, with a golden file: the template refers
// to fields by names that the compiler does not check.
func TestReportMatchesGoldenFile(t *testing.T) {
	var result Result
	var series Series
	golden.Fill(&result)
	golden.Fill(&series)
	result.Verdict.ViolationCounts[1] = 0 // one rule without violations
	series.Curves = map[string][]Point{result.Latency[0].Class: {{X: 50, Y: 1}, {X: 99, Y: 2}}}
	directory := t.TempDir()
	if err := WriteResult(directory, &result, &series); err != nil {
		t.Fatal(err)
	}
	path, err := Report(directory)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "report.html", svgElement.ReplaceAll(page, []byte("PICTURE")))
}
