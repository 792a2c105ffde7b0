package tomlfile

import (
	"fmt"
	"strconv"
	"strings"
)

// Set puts a value in place of the one at a path within the table, as in load.part or offering[1].work. What it is in the
// file, a table or a value, it must stay.
func (t *Table) Set(path string, value any) error {
	at := t.values
	parts := strings.Split(path, ".")
	for i, part := range parts {
		name, index, listed := strings.Cut(strings.TrimSuffix(part, "]"), "[")
		of, there := at[name]
		if i == len(parts)-1 && !listed {
			switch of.(type) {
			case map[string]any, []any:
				return fmt.Errorf("%s: found a table, allowed a value", path)
			}
			at[name] = value
			return nil
		}
		if listed {
			list, _ := of.([]any)
			n, err := strconv.Atoi(index)
			if err != nil || n < 0 || n >= len(list) {
				return fmt.Errorf("%s: found %s, allowed 0 to %d", path, index, len(list)-1)
			}
			of = list[n]
		}
		next, is := of.(map[string]any)
		if !is {
			if there {
				return fmt.Errorf("%s: %s is no table", path, part)
			}
			return fmt.Errorf("%s: there is no %s", path, part)
		}
		at = next
	}
	return fmt.Errorf("%s: found a table, allowed a value", path)
}

// Overlay lays a document over another: what it says goes before what that says, table by table; a list, [[of tables]] too, stands
// in place of the other's as a whole. Faults name whichever file a key is from.
func (t *Table) Overlay(base *Table) {
	over(t.values, base.values)
	for path, at := range base.doc.lines {
		if _, mine := t.doc.lines[path]; !mine {
			t.doc.lines[path] = at
		}
	}
}

func over(top, base map[string]any) {
	for key, below := range base {
		above, there := top[key]
		if !there {
			top[key] = below
			continue
		}
		if a, is := above.(map[string]any); is {
			if b, is := below.(map[string]any); is {
				over(a, b)
			}
		}
	}
}
