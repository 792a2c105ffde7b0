package knownred

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// module holds the files of a module with two packages. Package a has TestRed and TestRedToo, which fail, and
// TestReddish, which fails if REDDISH is set. Package b has a TestRed, which fails if B_RED is set.
var module = map[string]string{
	"go.mod": "module m\n\ngo 1.26.0\n",
	"a/a_test.go": `package a

import (
	"os"
	"testing"
)

func TestRed(t *testing.T)     { t.Fatal("a is red") }
func TestRedToo(t *testing.T)  { t.Fatal("a is red too") }
func TestReddish(t *testing.T) {
	if os.Getenv("REDDISH") != "" {
		t.Fatal("a is reddish")
	}
}
`,
	"b/b_test.go": `package b

import (
	"os"
	"testing"
)

func TestRed(t *testing.T) {
	if os.Getenv("B_RED") != "" {
		t.Fatal("b is red")
	}
}
`,
}

// list returns the text of a list with an entry for each test.
func list(tests ...string) string {
	var b strings.Builder
	for _, test := range tests {
		b.WriteString("test: " + test + "\ncommand: go test ./a\nseed: none\nseen: it is red\nissue: #1\n\n")
	}
	return b.String()
}

// TestRun runs the module's tests with lists that contain all, some or none of the failing tests, and with invalid lists.
func TestRun(t *testing.T) {
	both := list("m/a TestRed", "m/a TestRedToo")
	tests := []struct {
		name, list, env string
		fails           string   // text of the error, "" for none
		prints          []string // texts that the output must contain
	}{
		{name: "no list", fails: "go test: exit status 1", prints: []string{"a is red", "a is red too"}},
		{name: "comments alone", list: "# none\n", fails: "go test: exit status 1", prints: []string{"a is red"}},
		{name: "all that fail", list: both, prints: []string{
			"known red, passed over: m/a TestRed (#1): it is red\n",
			"known red, passed over: m/a TestRedToo (#1): it is red\n", "ok  \tm/a", "ok  \tm/b"}},
		{name: "one of two", list: list("m/a TestRed"), fails: "go test: exit status 1",
			prints: []string{"a is red too", "ok  \tm/b"}},
		{name: "a name that begins alike", list: both, env: "REDDISH", fails: "go test: exit status 1",
			prints: []string{"a is reddish", "ok  \tm/b"}},
		{name: "the same name in another package", list: both, env: "B_RED", fails: "go test: exit status 1",
			prints: []string{"b is red", "ok  \tm/a"}},
		{name: "no such test", list: list("m/a TestGone"),
			fails: `KNOWN-RED.txt:1: found test "TestGone", want one of package m/a`},
		{name: "test of another package", list: list("m/b TestRed", "m/b TestRedToo"),
			fails: `KNOWN-RED.txt:7: found test "TestRedToo", want one of package m/b`},
		{name: "no such package", list: list("m/c TestRed"),
			fails: `KNOWN-RED.txt:1: found package "m/c", want one of this module`},
		{name: "malformed", list: "test: m/a TestRed\nsed: 1\n",
			fails: `KNOWN-RED.txt:2: found "sed: 1", want the line "command: ..."`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.env != "" {
				t.Setenv(test.env, "1")
			}
			var out bytes.Buffer
			r := Runner{Dir: write(t, test.list), Flags: []string{"-count=1"}, Stdout: &out, Stderr: &out}
			if got := message(r.Run()); got != test.fails {
				t.Errorf("error %q, want %q", got, test.fails)
			}
			for _, part := range test.prints {
				if !strings.Contains(out.String(), part) {
					t.Errorf("output has no %q:\n%s", part, &out)
				}
			}
			if test.prints == nil && strings.Contains(out.String(), "m/") {
				t.Errorf("tests ran with an invalid list:\n%s", &out)
			}
		})
	}
}

// write writes the module, and the list unless it is empty, to a new directory, and returns the directory.
func write(t *testing.T, list string) string {
	t.Helper()
	dir := t.TempDir()
	files := map[string]string{}
	for name, text := range module {
		files[name] = text
	}
	if list != "" {
		files[File] = list
	}
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}
