package tomlfile

import (
	"fmt"
	"slices"
	"strings"
)

// Table is a table of the document. What its readers ask for is known; Done tells of everything else.
type Table struct {
	doc    *Document
	path   string
	at     place
	values map[string]any
	known  []string
}

// Has tells whether the key is there.
func (t *Table) Has(key string) bool {
	t.know(key)
	_, there := t.values[key]
	return there
}

// Line is where the table, or if it is there the key in it, stands.
func (t *Table) Line(key string) int { return t.place(key).line }

func (t *Table) place(key string) place {
	if at, known := t.doc.lines[join(t.path, key)]; known {
		return at
	}
	return t.at
}

// Fault notes that what stands under the key cannot be used.
func (t *Table) Fault(key, found, allowed string) {
	t.doc.add(t.place(key), join(t.path, key), found, allowed)
}

// Found is the value as it is shown in faults.
func (t *Table) Found(key string) string {
	v, there := t.values[key]
	if !there {
		return "nothing"
	}
	s := fmt.Sprint(v)
	switch v.(type) {
	case string:
		s = fmt.Sprintf("%q", v)
	case map[string]any:
		s = "a table"
	case []any:
		s = "a list"
	}
	if len(s) > mostShown {
		s = strings.ToValidUTF8(s[:mostShown], "") + "…"
	}
	return s
}

func (t *Table) know(key string) {
	if !slices.Contains(t.known, key) {
		t.known = append(t.known, key)
	}
}

// Require notes each of the keys that is not there. A table that is not there itself is one fault, not several.
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

// RejectUnknown notes each key that nobody has asked for.
func (t *Table) RejectUnknown() {
	var strange []string
	for key := range t.values {
		if !slices.Contains(t.known, key) {
			strange = append(strange, key)
		}
	}
	slices.Sort(strange)
	for _, key := range strange {
		t.Fault(key, "an unknown key", strings.Join(t.known, ", "))
	}
}
