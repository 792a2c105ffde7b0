package migration

import (
	"regexp"
	"strings"

	"pepperlead/internal/tomlfile"
)

var (
	// headerPattern matches the header of a table. Its group is the table's path.
	headerPattern = regexp.MustCompile(`^\s*\[\s*([A-Za-z0-9_.-]+)\s*\]`)
	// entryPattern matches a key with a value on one line. Its groups are the fields of entry.
	entryPattern = regexp.MustCompile(
		`^(\s*)([A-Za-z0-9_-]+)(\s*=\s*)("[^"\\]*"|'[^']*'|[^\s#"'\[{]+)(\s*(?:#.*)?)$`)
)

// entry is a line with a key and its value.
type entry struct {
	indent  string
	key     string
	equals  string
	value   string
	comment string
}

// parseEntry parses a line. It returns false if the line is not a key with a value.
func parseEntry(line string) (entry, bool) {
	groups := entryPattern.FindStringSubmatch(line)
	if groups == nil {
		return entry{}, false
	}
	return entry{indent: groups[1], key: groups[2], equals: groups[3], value: groups[4], comment: groups[5]}, true
}

// String returns the line.
func (e entry) String() string { return e.indent + e.key + e.equals + e.value + e.comment }

// tomlEditor changes a TOML text line by line, so that comments and the order of lines are kept. Lines are numbered
// from 1.
type tomlEditor struct {
	root    *tomlfile.Table
	lines   []string
	headers map[string]int   // line of a table's header, by the table's path
	added   map[int][]string // lines to insert, by the number of the line that they follow
	result  *Result          // receives notes of the changes
}

// newTOMLEditor returns an editor for a text. root is its parsed root table.
func newTOMLEditor(root *tomlfile.Table, text []byte, result *Result) *tomlEditor {
	e := &tomlEditor{
		root:    root,
		lines:   strings.Split(string(text), "\n"),
		headers: map[string]int{},
		added:   map[int][]string{},
		result:  result,
	}
	for i, line := range e.lines {
		if header := headerPattern.FindStringSubmatch(line); header != nil {
			e.headers[header[1]] = i + 1
		}
	}
	return e
}

// table returns the table at a path.
func (e *tomlEditor) table(path string) *tomlfile.Table {
	table := e.root
	for name := range strings.SplitSeq(path, ".") {
		table = table.Table(name)
	}
	return table
}

// set sets the value of a key, and adds the key and its table if need be. If the line can't be changed, it adds a fault
// to the document.
func (e *tomlEditor) set(path, key, value string) {
	line := key + " = " + value
	if table := e.table(path); table.Has(key) {
		e.replace(table, path, key, value)
		return
	}
	if header := e.headers[path]; header > 0 {
		e.added[header] = append(e.added[header], line)
	} else {
		end := len(e.lines)
		e.added[end] = append(e.added[end], "", "["+path+"]", line)
		e.headers[path] = end
	}
	e.result.addChange(path+"."+key, "nothing", value)
}

// replace replaces the value of an existing key.
func (e *tomlEditor) replace(table *tomlfile.Table, path, key, value string) {
	index := table.Line(key) - 1
	found, ok := parseEntry(e.lines[index])
	if !ok || found.key != key {
		table.Fault(key, table.Found(key), "a line of its own under a table header, such as "+key+" = "+value)
		return
	}
	if found.value == value {
		return
	}
	e.result.addChange(path+"."+key, found.value, value)
	found.value = value
	e.lines[index] = found.String()
}

// commentOut turns a key into a comment, if it exists.
func (e *tomlEditor) commentOut(path, key, reason string) {
	table := e.table(path)
	if !table.Has(key) {
		return
	}
	index := table.Line(key) - 1
	if found, ok := parseEntry(e.lines[index]); !ok || found.key != key {
		table.Fault(key, table.Found(key), "a line of its own under a table header")
		return
	}
	e.lines[index] = "# " + e.lines[index]
	e.result.addUnconverted(path+"."+key, reason)
}

// text returns the changed text.
func (e *tomlEditor) text() []byte {
	lines := e.added[0]
	for i, line := range e.lines {
		lines = append(lines, line)
		lines = append(lines, e.added[i+1]...)
	}
	return []byte(strings.TrimRight(strings.Join(lines, "\n"), "\n") + "\n")
}
