// Package tomlfile reads TOML and keeps the line of each key, so that every fault is reported with its position: file,
// line, key, what was found and what is allowed. All faults of a document are reported at once. The package reads bytes
// and opens no files.
package tomlfile

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

const (
	maxFaults      = 20 // number of faults shown in full; further ones are only counted
	maxFoundLength = 48 // bytes of a value shown in a fault
)

// documentKey is the key of faults that concern the whole document.
const documentKey = "document"

// Fault is a key whose value is invalid, missing or unknown.
type Fault struct {
	File           string
	Line           int
	Key            string
	Found, Allowed string
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: found %s, allowed %s", f.File, f.Line, f.Key, f.Found, f.Allowed)
}

// Document is a parsed document with the faults found in it.
type Document struct {
	File      string
	faults    []Fault
	positions map[string]position // by the path of a key or table
	// LastTable is the path of the last table header, and LastTableOffset the offset of its line.
	LastTable       string
	LastTableOffset int
}

// position is the file and the line in which a key is written.
type position struct {
	file string
	line int
}

// Parse parses a document of up to maxBytes. If the document is too long, nested too deeply or not valid TOML, the
// returned table is empty and Err returns the reason.
func Parse(file string, text []byte, maxBytes int) (*Document, *Table) {
	d := &Document{File: file, positions: map[string]position{}}
	start := position{file, 1}
	empty := &Table{doc: d, values: map[string]any{}, position: start}
	if len(text) > maxBytes {
		d.add(start, documentKey, fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d", maxBytes))
		return d, empty
	}
	if !d.scanPositions(text) {
		return d, empty
	}
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		at := start
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			at.line, _ = decodeErr.Position()
		}
		d.add(at, documentKey, strings.TrimPrefix(err.Error(), "toml: "), "TOML")
		return d, empty
	}
	return d, &Table{doc: d, values: values, position: start}
}

// Err returns an error with a line for each of the first maxFaults faults, sorted by line, or nil if there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	var lines []string
	for i, fault := range d.faults {
		if i == maxFaults {
			lines = append(lines, fmt.Sprintf("%s: and %d more faults", d.File, len(d.faults)-i))
			break
		}
		lines = append(lines, fault.String())
	}
	return errors.New(strings.Join(lines, "\n"))
}

// Faults returns the faults in the order in which they were found.
func (d *Document) Faults() []Fault { return d.faults }

func (d *Document) add(at position, key, found, allowed string) {
	d.faults = append(d.faults, Fault{at.file, at.line, key, found, allowed})
}

// joinPath returns the path of a key within a table.
func joinPath(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
