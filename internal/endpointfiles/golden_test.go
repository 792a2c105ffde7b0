package endpointfiles

import (
	"os"
	"testing"

	"pepperlead/internal/golden"
)

// TestSealedListMatchesGoldenFile compares the text of a sealed list with the golden file.
func TestSealedListMatchesGoldenFile(t *testing.T) {
	text, err := os.ReadFile("testdata/every-key.toml")
	if err != nil {
		t.Fatal(err)
	}
	sealed, _, err := Seal("testdata/every-key.toml", text, 8, 2)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "sealed.toml", sealed)
}

// TestParsedListsMatchGoldenFiles parses the repository's endpoint list and a sealed list with every key, and compares the values with
// the golden files.
func TestParsedListsMatchGoldenFiles(t *testing.T) {
	for path, name := range map[string]string{"../../deploy/servers.toml": "servers.values", "testdata/sealed.toml": "sealed.values"} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		file := Parse(path, text)
		if file.Problem != "" {
			t.Fatal(file.Problem)
		}
		golden.Compare(t, name, golden.Values(file))
	}
}
