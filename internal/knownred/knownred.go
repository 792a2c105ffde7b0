// Package knownred reads KNOWN-RED.txt, the list of tests that fail because of a known fault, and runs
// the tests of the module without them. This is an entry of the list:
//
//	test: pepperlead/policy TestPick
//	command: go test ./policy -run '^TestPick$' -seed 7
//	seed: 7
//	seen: picked "a", want "b"
//	issue: #12
package knownred

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// An Entry is one test that fails because of a known fault.
type Entry struct {
	// Line is the number of the first line of the entry in the file, counted from 1.
	Line int
	// Package is the import path of the test's package.
	Package string
	// Test is the name of a top-level test function.
	Test string
	// Command is the command that reproduces the failure.
	Command string
	// Seed is the seed that the command uses, or "none".
	Seed string
	// Seen is the failure that was seen.
	Seen string
	// Issue refers to the description of the fault.
	Issue string
}

// fields holds the keys of the lines of an entry, in the order of the lines.
var fields = []string{"test", "command", "seed", "seen", "issue"}

// testLine is the value of an entry's test line: an import path and a test function's name.
var testLine = regexp.MustCompile(`^([\w./-]+) ((?:Test|Fuzz|Example)\w*)$`)

// Parse reads a list of known failures. Errors contain the name of the file. An entry has one line for
// each name in fields, such as "seed: none". Blank lines and lines that begin with # are ignored.
func Parse(name string, r io.Reader) ([]Entry, error) {
	p := parser{name: name, lines: bufio.NewScanner(r), seen: map[string]int{}}
	var entries []Entry
	for p.next() {
		entry, err := p.entry()
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	if err := p.lines.Err(); err != nil {
		return nil, fmt.Errorf("%s:%d: %w", name, p.line+1, err)
	}
	return entries, nil
}

// A parser reads the lines of one file.
type parser struct {
	name  string
	lines *bufio.Scanner
	line  int
	text  string
	seen  map[string]int // by test: the line of its entry
}

// next advances to the next line that is neither blank nor a comment, and reports whether there is one.
func (p *parser) next() bool {
	for p.lines.Scan() {
		p.line++
		p.text = strings.TrimSpace(p.lines.Text())
		if p.text != "" && !strings.HasPrefix(p.text, "#") {
			return true
		}
	}
	return false
}

// entry reads the entry that begins on the current line.
func (p *parser) entry() (Entry, error) {
	first := p.line
	values := make([]string, len(fields))
	for i, field := range fields {
		if i > 0 && !p.next() {
			return Entry{}, p.errorf("found the end of the file, want the line %q", field+": ...")
		}
		value, ok := strings.CutPrefix(p.text, field+":")
		values[i] = strings.TrimSpace(value)
		if !ok || values[i] == "" {
			return Entry{}, p.errorf("found %q, want the line %q", p.text, field+": ...")
		}
		if i == 0 {
			if err := p.checkTest(values[0]); err != nil {
				return Entry{}, err
			}
		}
	}
	pkg, test, _ := strings.Cut(values[0], " ")
	return Entry{Line: first, Package: pkg, Test: test,
		Command: values[1], Seed: values[2], Seen: values[3], Issue: values[4]}, nil
}

// checkTest returns an error if the value of a test line is malformed or already has an entry.
func (p *parser) checkTest(value string) error {
	if !testLine.MatchString(value) {
		return p.errorf("found test %q, want an import path, a space and the name of a top-level test function", value)
	}
	if line, ok := p.seen[value]; ok {
		return p.errorf("found test %q again, want one entry for a test (the other is on line %d)", value, line)
	}
	p.seen[value] = p.line
	return nil
}

// errorf returns an error with the current line.
func (p *parser) errorf(format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s", p.name, p.line, fmt.Sprintf(format, args...))
}
