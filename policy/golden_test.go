package policy

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var writeGolden = flag.Bool("write-golden", false, "write golden files that do not exist yet; those that do are never changed")

// goldenFile gives the bytes of a golden file. With -write-golden, a file that does not exist is written from the encoding first.
func goldenFile(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if _, err := os.Stat(path); os.IsNotExist(err) && *writeGolden {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// filledKnowledge has a distinct value in every field, so that a key that is lost, renamed or swapped with another changes the encoding.
func filledKnowledge() Knowledge {
	return Knowledge{
		Calm: 1.5, PerHeld: 2.5, Pace: 3.5, InUse: 4.5, Late: 5.5, Pushes: 6.5, NearPart: 7.5,
		Sides:    [2]float64{8.5, 9.5},
		Usual:    []float64{10.5, 11.5},
		Patience: []Patience{{Most: 12, Odd: 13.5}, {Most: 14, Odd: 15.5}},
		Use:      []float64{16.5, 17.5},
		Arrivals: 18.5, Done: 19.5, Borne: 20.5,
		Recent: []uint64{21, 22},
		Servers: []Learned{
			{ID: 23, Started: 24, Weight: 25.5, Limit: 26.5, Ratio: 27.5, Served: 28.5, Row: 29, Trickle: 30, AsideTill: 31, Skip: 32, Budget: 33.5},
			{ID: 34, Started: 35, Weight: 36.5, Limit: 37.5, Ratio: 38.5, Served: 39.5, Row: 40, Trickle: 41, AsideTill: 42, Skip: 43, Budget: 44.5},
		},
	}
}

// A process of an earlier build is told in these bytes what was learned, and tells it in them.
func TestKnowledgeKeepsItsKeys(t *testing.T) {
	encoded, err := json.Marshal(filledKnowledge())
	if err != nil {
		t.Fatal(err)
	}
	want := goldenFile(t, "knowledge.json", encoded)
	if !bytes.Equal(encoded, want) {
		t.Errorf("encoded\n%s\nwant\n%s", encoded, want)
	}
	var decoded Knowledge
	if err := json.Unmarshal(want, &decoded); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, want) {
		t.Errorf("decoded and encoded again\n%s\nwant\n%s", again, want)
	}
}
