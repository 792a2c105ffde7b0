package config

import (
	"os"
	"testing"

	"pepperlead/internal/golden"
)

// readFunc parses a text as a document of one kind: an instance's configuration, a client's, a coordinator's or rules.
type readFunc func(path string, text []byte) (any, error)

// The values parsed from the documents of the repository, and from test documents with each key, must be those of the
// golden files, which have the values in the order of the struct fields, without names.
func TestParsedDocumentsMatchGoldenFiles(t *testing.T) {
	daemon := func(path string, text []byte) (any, error) { return Read(path, text) }
	client := func(path string, text []byte) (any, error) { return ReadClient(path, text) }
	rules := func(path string, text []byte) (any, error) { return ReadRules(path, text) }
	coordinator := func(path string, text []byte) (any, error) { return ReadCoordinator(path, text) }
	for _, document := range []struct {
		path, golden string
		read         readFunc
	}{
		{"../../deploy/standalone.toml", "standalone.values", daemon},
		{"../../deploy/standalone.toml", "standalone-client.values", client},
		{"../../deploy/rules.toml", "rules.values", rules},
		{"../../deploy/keeper.toml", "keeper.values", coordinator},
		{"testdata/files.toml", "files.values", daemon},
		{"testdata/discovery.toml", "discovery.values", daemon},
		{"testdata/fixed.toml", "fixed.values", daemon},
		{"testdata/client.toml", "client.values", client},
		{"testdata/version.toml", "version.values", rules},
		{"testdata/keeper.toml", "every-key-keeper.values", coordinator},
	} {
		t.Run(document.golden, func(t *testing.T) {
			text, err := os.ReadFile(document.path)
			if err != nil {
				t.Fatal(err)
			}
			value, err := document.read(document.path, text)
			if err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, document.golden, golden.Values(value))
		})
	}
}
