package endpointfiles

import (
	"os"
	"testing"

	"pepperlead/internal/golden"
)

// TestListsAreSealedAsBefore holds the text that a seal writes to what it wrote before.
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

// TestListsAreReadAsBefore holds the values that the repository's list of servers, and a sealed one with each key, are read as to
// those that they were read as before.
func TestListsAreReadAsBefore(t *testing.T) {
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
