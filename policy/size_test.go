package policy

import (
	"os"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
)

// The files that hold decisions stay readable in one sitting: together at most 820 lines that are not blank, none wider than 110.
func TestDecisionsStayWithinTheirLines(t *testing.T) {
	const mostLines, widest = 820, 110
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deployed struct{ Policy []string }
	if err := toml.Unmarshal(text, &deployed); err != nil || len(deployed.Policy) == 0 {
		t.Fatal(deployed.Policy, err)
	}
	lines := 0
	for _, name := range deployed.Policy {
		text, err := os.ReadFile("../" + name)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(line); n > widest {
				t.Errorf("%s:%d: %d characters", name, i+1, n)
			}
		}
	}
	if lines > mostLines {
		t.Errorf("%d lines in %v", lines, deployed.Policy)
	}
}
