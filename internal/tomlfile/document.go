// Package document reads TOML whose values know their lines, so that every fault can be told with its place: file, line, key,
// what was found and what is allowed. All faults of a document are told at once. It reads bytes and knows no files.
package tomlfile

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	mostParts  = 8  // of a dotted key; deeper ones would cost memory by the square of their length
	mostFaults = 20 // told one by one
	mostShown  = 48 // bytes of a value found
)

// Fault is one thing that cannot be used.
type Fault struct {
	File           string
	Line           int
	Key            string
	Found, Allowed string
}

func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: found %s, allowed %s", f.File, f.Line, f.Key, f.Found, f.Allowed)
}

// Document is a document and what was found wrong with it.
type Document struct {
	File   string
	faults []Fault
	lines  map[string]place
	// LastTable is the path under the last header, and LastAt the offset of the line on which that stands.
	LastTable string
	LastAt    int
}

// place is where a key stands.
type place struct {
	file string
	line int
}

// Err gives all faults, a line each, by line; nil if there is none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	var lines []string
	for i, f := range d.faults {
		if i == mostFaults {
			lines = append(lines, fmt.Sprintf("%s: and %d more", d.File, len(d.faults)-i))
			break
		}
		lines = append(lines, f.String())
	}
	return errors.New(strings.Join(lines, "\n"))
}

// Faults gives them as they are, in the order in which they were found.
func (d *Document) Faults() []Fault { return d.faults }

// Parse reads a document of at most so many bytes. Where it is no TOML, the table given back is empty and Err says why.
func Parse(file string, text []byte, most int) (*Document, *Table) {
	d := &Document{File: file, lines: map[string]place{}}
	none := &Table{doc: d, values: map[string]any{}, at: place{file, 1}}
	if len(text) > most {
		d.add(place{file, 1}, "document", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d", most))
		return d, none
	}
	if err := d.survey(text); err != nil {
		return d, none
	}
	values := map[string]any{}
	if err := toml.Unmarshal(text, &values); err != nil {
		line := 1
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ = at.Position()
		}
		d.add(place{file, line}, "document", strings.TrimPrefix(err.Error(), "toml: "), "TOML")
		return d, none
	}
	return d, &Table{doc: d, values: values, at: place{file, 1}}
}

func (d *Document) add(at place, key, found, allowed string) {
	d.faults = append(d.faults, Fault{at.file, at.line, key, found, allowed})
}

// survey notes the line of each key and of each header, and refuses what would be too deep to read.
func (d *Document) survey(text []byte) error {
	p := unstable.Parser{}
	p.Reset(text)
	counts := map[string]int{} // of the tables under each array's path
	under := ""
	line, seen := 1, 0
	lineOf := func(offset int) int {
		for ; seen < offset; seen++ {
			if text[seen] == '\n' {
				line++
			}
		}
		return line
	}
	path := func(at string, keys unstable.Iterator, array bool) (string, error) {
		for parts := 1; keys.Next(); parts++ {
			if parts > mostParts {
				return at, errDeep
			}
			at = join(at, string(keys.Node().Data))
			if array && keys.IsLast() {
				counts[at]++
			}
			if n := counts[at]; n > 0 {
				at = fmt.Sprintf("%s[%d]", at, n-1)
			}
			if _, known := d.lines[at]; !known {
				d.lines[at] = place{d.File, lineOf(int(keys.Node().Raw.Offset))}
			}
		}
		return at, nil
	}
	var err error
	for p.NextExpression() && err == nil {
		switch e := p.Expression(); e.Kind {
		case unstable.Table, unstable.ArrayTable:
			under, err = path("", e.Key(), e.Kind == unstable.ArrayTable)
			if first := e.Child(); first != nil {
				d.LastTable = under
				d.LastAt = 1 + bytes.LastIndexByte(text[:first.Raw.Offset], '\n')
				d.lines[under] = place{d.File, lineOf(int(first.Raw.Offset))}
			}
		case unstable.KeyValue:
			if _, err = path(under, e.Key(), false); err == nil {
				err = shallow(e.Value(), 0)
			}
		}
	}
	if err != nil {
		d.add(place{d.File, line}, "document", err.Error(), fmt.Sprintf("%d parts and levels at most", mostParts))
		return err
	}
	return nil // what else is wrong is told by the reader proper, which has better words
}

var errDeep = errors.New("a key of more parts, or a value of more levels")

func shallow(v *unstable.Node, depth int) error {
	if depth > mostParts {
		return errDeep
	}
	if v.Kind == unstable.KeyValue {
		parts := 0
		for keys := v.Key(); keys.Next(); parts++ {
			if parts >= mostParts {
				return errDeep
			}
		}
		return shallow(v.Value(), depth)
	}
	if v.Kind != unstable.Array && v.Kind != unstable.InlineTable {
		return nil
	}
	for in := v.Children(); in.Next(); {
		if err := shallow(in.Node(), depth+1); err != nil {
			return err
		}
	}
	return nil
}

func join(at, name string) string {
	if at == "" {
		return name
	}
	return at + "." + name
}

// Table reads a table within; where there is none it is empty.
func (t *Table) Table(key string) *Table {
	v, _ := read[map[string]any](t, key, "a table")
	return &Table{doc: t.doc, path: join(t.path, key), at: t.place(key), values: v}
}

// Tables reads an array of tables, [[key]].
func (t *Table) Tables(key string) []*Table {
	list, _ := read[[]any](t, key, "tables, each under [["+join(t.path, key)+"]]")
	var out []*Table
	for i, of := range list {
		v, ok := of.(map[string]any)
		if !ok {
			t.Fault(key, t.Found(key), "tables, each under [["+join(t.path, key)+"]]")
			return nil
		}
		name := fmt.Sprintf("%s[%d]", key, i)
		out = append(out, &Table{doc: t.doc, path: join(t.path, name), at: t.place(name), values: v})
	}
	return out
}
