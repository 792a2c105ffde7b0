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

// pages are the JSON documents that this package writes, by the name of their golden file.
func pages() map[string]any {
	return map[string]any{"result.json": &Result{}, "series.json": &Series{}, "sweep.json": &[]*Result{}, "rows.json": &[]Row{},
		"comparisons.json": &[]Comparison{}, "replayed.json": &ReplaySummary{}}
}

// TestDocumentsHaveTheirKeys holds each document, with a value in each field, to what was written before, and reads that back.
func TestDocumentsHaveTheirKeys(t *testing.T) {
	for name, document := range pages() {
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

// TestResultIsWrittenUnderItsNames holds the files that a day's folder gets, and their names, to what was written before.
func TestResultIsWrittenUnderItsNames(t *testing.T) {
	var result Result
	var series Series
	golden.Fill(&result)
	golden.Fill(&series)
	folder := t.TempDir()
	if err := WriteResult(folder, &result, &series); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"result.json", "series.json"} {
		written, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, name, written)
	}
}

// picture is a plot within a report; how it is drawn is the library's.
var picture = regexp.MustCompile(`(?s)<svg.*?</svg>`)

// TestReportIsWrittenAsBefore holds the page about a day, whose template names fields that no compiler checks, to what was written
// before. Its pictures are left out.
func TestReportIsWrittenAsBefore(t *testing.T) {
	var result Result
	var series Series
	golden.Fill(&result)
	golden.Fill(&series)
	result.Verdict.ViolationCounts[1] = 0 // one rule that was kept
	series.Curves = map[string][]Point{result.Latency[0].Class: {{X: 50, Y: 1}, {X: 99, Y: 2}}}
	folder := t.TempDir()
	if err := WriteResult(folder, &result, &series); err != nil {
		t.Fatal(err)
	}
	path, err := Report(folder)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "report.html", picture.ReplaceAll(page, []byte("PICTURE")))
}
