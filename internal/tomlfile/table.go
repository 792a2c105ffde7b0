package tomlfile

import (
	"fmt"
	"slices"
	"strings"
)

// Table is a table of a document. It remembers which keys were read, so that RejectUnknown can report the others.
type Table struct {
	doc      *Document
	path     string
	position position
	values   map[string]any // nil if the table isn't in the document
	known    []string       // keys that the program has read or looked for, in that order
}

// Table returns the table under a key; it is empty if there is none.
func (t *Table) Table(key string) *Table {
	values, _ := read[map[string]any](t, key, "a table")
	return &Table{doc: t.doc, path: joinPath(t.path, key), position: t.positionOf(key), values: values}
}

// Tables returns the array of tables [[key]].
func (t *Table) Tables(key string) []*Table {
	allowed := "tables, each under [[" + joinPath(t.path, key) + "]]"
	list, _ := read[[]any](t, key, allowed)
	var tables []*Table
	for i, element := range list {
		values, ok := element.(map[string]any)
		if !ok {
			t.Fault(key, t.Found(key), allowed)
			return nil
		}
		name := fmt.Sprintf("%s[%d]", key, i)
		tables = append(tables, &Table{
			doc:      t.doc,
			path:     joinPath(t.path, name),
			position: t.positionOf(name),
			values:   values,
		})
	}
	return tables
}

// Has reports whether the key is in the table.
func (t *Table) Has(key string) bool {
	t.markKnown(key)
	_, exists := t.values[key]
	return exists
}

// Line returns the line of the key, or of the table if it doesn't have the key.
func (t *Table) Line(key string) int { return t.positionOf(key).line }

func (t *Table) positionOf(key string) position {
	if at, exists := t.doc.positions[joinPath(t.path, key)]; exists {
		return at
	}
	return t.position
}

// Fault adds a fault of the key to the document.
func (t *Table) Fault(key, found, allowed string) {
	t.doc.add(t.positionOf(key), joinPath(t.path, key), found, allowed)
}

// Found returns the value of the key in the form in which faults show it.
func (t *Table) Found(key string) string {
	value, exists := t.values[key]
	if !exists {
		return "nothing"
	}
	found := fmt.Sprint(value)
	switch value.(type) {
	case string:
		found = fmt.Sprintf("%q", value)
	case map[string]any:
		found = "a table"
	case []any:
		found = "a list"
	}
	if len(found) > maxFoundLength {
		found = strings.ToValidUTF8(found[:maxFoundLength], "") + "…"
	}
	return found
}

func (t *Table) markKnown(key string) {
	if !slices.Contains(t.known, key) {
		t.known = append(t.known, key)
	}
}

// Require adds a fault for each of the keys that is missing. It adds none if the table itself is missing, so that a
// missing required table is one fault, not several.
func (t *Table) Require(keys ...string) {
	if t.values == nil {
		return
	}
	for _, key := range keys {
		if !t.Has(key) {
			t.Fault(key, "nothing", "a value: it must be given")
		}
	}
}

// RejectUnknown adds a fault for each key that was never read.
func (t *Table) RejectUnknown() {
	var unknown []string
	for key := range t.values {
		if !slices.Contains(t.known, key) {
			unknown = append(unknown, key)
		}
	}
	slices.Sort(unknown)
	for _, key := range unknown {
		t.Fault(key, "an unknown key", strings.Join(t.known, ", "))
	}
}
