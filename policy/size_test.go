package policy

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
)

// noDecisions are the files that hold only types, state and encodings. All others must be listed in
// deploy/balancer.toml.
var noDecisions = []string{
	"discardfront.go", "front.go", "learnedstate.go", "random.go", "ratemeter.go", "report.go", "request.go", "settings.go", "tablecodec.go", "types.go",
}

// So that they stay readable, the files that hold decisions must have at most 400 lines that are not blank, and no line
// of more than 110 characters.
func TestDecisionFilesStayReadable(t *testing.T) {
	const maxLines, maxWidth = 400, 110
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deployed struct{ Policy []string }
	if err := toml.Unmarshal(text, &deployed); err != nil || len(deployed.Policy) == 0 {
		t.Fatal(deployed.Policy, err)
	}
	for _, name := range deployed.Policy {
		text, err := os.ReadFile("../" + name)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if width := utf8.RuneCountInString(line); width > maxWidth {
				t.Errorf("%s:%d: the line has %d characters, more than the limit", name, i+1, width)
			}
		}
		if lines > maxLines {
			t.Errorf("%s has %d lines that are not blank, more than the limit", name, lines)
		}
	}
	shipped, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range shipped {
		listed := slices.Contains(deployed.Policy, "policy/"+name) || slices.Contains(noDecisions, name)
		if !listed && !strings.HasSuffix(name, "_test.go") {
			t.Errorf("%s is not listed in deploy/balancer.toml", name)
		}
	}
}
