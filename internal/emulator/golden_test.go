package emulator

import (
	"os"
	"path/filepath"
	"testing"

	"pepperlead/internal/golden"
)

// TestScenarioValuesMatchGoldenFiles compares the values that are read from each scenario of the repository, and from
// one that sets every key, with golden files. It guards against keys that are no longer read or are read into another
// field. The golden files have the values in the order of the fields, without names.
func TestScenarioValuesMatchGoldenFiles(t *testing.T) {
	paths, err := filepath.Glob("../../scenarios/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatal(err, len(paths))
	}
	for _, path := range append(paths, "testdata/every-key.toml") {
		t.Run(filepath.Base(path), func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			scenario, err := Read(path, text, func(base string) ([]byte, error) {
				return os.ReadFile(filepath.Join(filepath.Dir(path), filepath.Base(base)))
			})
			if err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, "scenarios/"+filepath.Base(path)+".values", golden.Values(scenario))
		})
	}
}

// TestFaultNamesMatchGoldenFile guards the names of faults, which scenarios and reports use.
func TestFaultNamesMatchGoldenFile(t *testing.T) {
	golden.Compare(t, "faults.values", golden.Values(faultNames))
}
