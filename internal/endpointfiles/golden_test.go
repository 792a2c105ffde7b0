package endpointfiles

import (
	"os"
	"testing"

	"pepperlead/internal/golden"
)

// TestListsAreSealedAsBefore compares the text of a sealed list with what was written before.
func TestListsAreSealedAsBefore(t *testing.T) {
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

// TestListsAreParsedAsBefore compares the values of the repository's list of endpoints, and of a sealed one with each key, with those
// that were parsed before.
func TestListsAreParsedAsBefore(t *testing.T) {
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
