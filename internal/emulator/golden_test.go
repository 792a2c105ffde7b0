package emulator

import (
	"os"
	"path/filepath"
	"testing"

	"pepperlead/internal/golden"
)

// TestScenariosAreReadAsBefore holds the values that each scenario of the repository, and one with each key, is read as to those
// that it was read as before. The values stand in the order of their fields, without names.
func TestScenariosAreReadAsBefore(t *testing.T) {
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

// TestFaultsHaveTheirNames holds the names of faults, by which scenarios and reports call them, to what they were before.
func TestFaultsHaveTheirNames(t *testing.T) {
	golden.Compare(t, "faults.values", golden.Values(faultNames))
}
