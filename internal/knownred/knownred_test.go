package knownred

import (
	"reflect"
	"strings"
	"testing"
)

// good is a valid entry.
const good = `test: pepperlead/policy TestPick
command: go test ./policy -run '^TestPick$' -seed 7
seed: 7
seen: picked "a", want "b"
issue: #12
`

// TestParse reads valid lists, and lists with one fault each.
func TestParse(t *testing.T) {
	entry := Entry{Line: 1, Package: "pepperlead/policy", Test: "TestPick", Seed: "7", Issue: "#12",
		Command: "go test ./policy -run '^TestPick$' -seed 7", Seen: `picked "a", want "b"`}
	second := entry
	second.Line, second.Test = 8, "TestOther"
	tests := []struct {
		name, text string
		entries    []Entry
		err        string
	}{
		{name: "empty"},
		{name: "comments alone", text: "# nothing is red\n\n"},
		{name: "one", text: good, entries: []Entry{entry}},
		{name: "two, a comment between", text: good + "\n# next\n" + strings.Replace(good, "TestPick\n", "TestOther\n", 1),
			entries: []Entry{entry, second}},
		{name: "no such field", text: strings.Replace(good, "seed:", "sed:", 1),
			err: `F:3: found "sed: 7", want the line "seed: ..."`},
		{name: "field left out", text: strings.Replace(good, "seed: 7\n", "", 1),
			err: `F:3: found "seen: picked \"a\", want \"b\"", want the line "seed: ..."`},
		{name: "field without a value", text: strings.Replace(good, "#12", "", 1),
			err: `F:5: found "issue:", want the line "issue: ..."`},
		{name: "fields in another order", text: "issue: #12\n" + good,
			err: `F:1: found "issue: #12", want the line "test: ..."`},
		{name: "ends early", text: strings.Replace(good, "issue: #12\n", "", 1),
			err: `F:4: found the end of the file, want the line "issue: ..."`},
		{name: "test without a package", text: "test: TestPick\n",
			err: `F:1: found test "TestPick", want an import path, a space and the name of a top-level test function`},
		{name: "subtest", text: "test: pepperlead/policy TestPick/one\n",
			err: `F:1: found test "pepperlead/policy TestPick/one", want an import path, a space and the name of a top-level test function`},
		{name: "pattern", text: "test: pepperlead/policy Test.*\n",
			err: `F:1: found test "pepperlead/policy Test.*", want an import path, a space and the name of a top-level test function`},
		{name: "all packages", text: "test: ./... TestPick extra\n",
			err: `F:1: found test "./... TestPick extra", want an import path, a space and the name of a top-level test function`},
		{name: "the same test twice", text: good + good,
			err: `F:6: found test "pepperlead/policy TestPick" again, want one entry for a test (the other is on line 1)`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			entries, err := Parse("F", strings.NewReader(test.text))
			if got := message(err); got != test.err {
				t.Errorf("error %q, want %q", got, test.err)
			}
			if !reflect.DeepEqual(entries, test.entries) {
				t.Errorf("entries %+v, want %+v", entries, test.entries)
			}
		})
	}
}

// message returns the text of an error, "" for nil.
func message(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
