package tomlfile

import (
	"fmt"
	"strconv"
	"strings"
)

// Set sets the value at a path within the table, such as load.part or offering[1].work. It can't replace a table or a
// list.
func (t *Table) Set(path string, value any) error {
	table := t.values
	parts := strings.Split(path, ".")
	for i, part := range parts {
		name, index, indexed := strings.Cut(strings.TrimSuffix(part, "]"), "[")
		current, exists := table[name]
		if i == len(parts)-1 && !indexed {
			return setValue(table, name, value, path)
		}
		if indexed {
			var err error
			if current, err = elementAt(current, index, path); err != nil {
				return err
			}
		}
		next, isTable := current.(map[string]any)
		if !isTable {
			if exists {
				return fmt.Errorf("%s: %s is not a table", path, part)
			}
			return fmt.Errorf("%s: there is no %s", path, part)
		}
		table = next
	}
	return errSetTable(path)
}

func errSetTable(path string) error { return fmt.Errorf("%s: found a table, allowed a value", path) }

// setValue sets a key of a table unless its value is a table or a list.
func setValue(table map[string]any, key string, value any, path string) error {
	switch table[key].(type) {
	case map[string]any, []any:
		return errSetTable(path)
	}
	table[key] = value
	return nil
}

// elementAt returns the element of a list at the index in a path.
func elementAt(value any, index, path string) (any, error) {
	list, _ := value.([]any)
	n, err := strconv.Atoi(index)
	if err != nil || n < 0 || n >= len(list) {
		return nil, fmt.Errorf("%s: found %s, allowed 0 to %d", path, index, len(list)-1)
	}
	return list[n], nil
}

// Overlay adds to the table, and to the tables within it, the keys of base that they don't have. A list of the table,
// including an array of tables, replaces the list under the same key of base entirely. A fault names the file in which
// its key is written.
func (t *Table) Overlay(base *Table) {
	overlayValues(t.values, base.values)
	for path, at := range base.doc.positions {
		if _, exists := t.doc.positions[path]; !exists {
			t.doc.positions[path] = at
		}
	}
}

func overlayValues(top, base map[string]any) {
	for key, baseValue := range base {
		topValue, exists := top[key]
		if !exists {
			top[key] = baseValue
			continue
		}
		topTable, topIsTable := topValue.(map[string]any)
		baseTable, baseIsTable := baseValue.(map[string]any)
		if topIsTable && baseIsTable {
			overlayValues(topTable, baseTable)
		}
	}
}
