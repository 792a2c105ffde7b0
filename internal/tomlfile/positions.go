package tomlfile

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxDepth limits the parts of a dotted key and the levels of a value. Deeper ones would cost memory proportional to
// the square of their length.
const maxDepth = 8

// errTooDeep is returned for a document over maxDepth.
var errTooDeep = errors.New("a key with too many parts or a value with too many levels")

// positionScanner finds the line of each key and table header.
type positionScanner struct {
	doc         *Document
	text        []byte
	parser      unstable.Parser
	arrayLength map[string]int // number of tables scanned so far in each array of tables, by its path
	scanned     int            // offset up to which lines are counted
	line        int            // the line at that offset
}

// scanPositions stores the positions of all keys in the document. It adds a fault and returns false if the document
// exceeds maxDepth. Syntax errors are left to the TOML decoder, which describes them better.
func (d *Document) scanPositions(text []byte) bool {
	s := positionScanner{doc: d, text: text, arrayLength: map[string]int{}, line: 1}
	s.parser.Reset(text)
	if err := s.scan(); err != nil {
		allowed := fmt.Sprintf("at most %d parts and levels", maxDepth)
		d.add(position{d.File, s.line}, documentKey, err.Error(), allowed)
		return false
	}
	return true
}

func (s *positionScanner) scan() error {
	table := ""
	for s.parser.NextExpression() {
		expression := s.parser.Expression()
		var err error
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			table, err = s.header(expression)
		case unstable.KeyValue:
			if _, err = s.path(table, expression.Key(), false); err == nil {
				err = checkDepth(expression.Value(), 0)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// header stores the position of a table header in the document and returns the table's path.
func (s *positionScanner) header(expression *unstable.Node) (string, error) {
	path, err := s.path("", expression.Key(), expression.Kind == unstable.ArrayTable)
	if first := expression.Child(); first != nil {
		offset := int(first.Raw.Offset)
		s.doc.LastTable = path
		s.doc.LastTableOffset = 1 + bytes.LastIndexByte(s.text[:offset], '\n')
		s.doc.positions[path] = position{s.doc.File, s.lineAt(offset)}
	}
	return path, err
}

// path stores the position of each part of a dotted key within a table and returns the key's full path. isArray is set
// if the key is the header of the next table of an array.
func (s *positionScanner) path(table string, keys unstable.Iterator, isArray bool) (string, error) {
	path := table
	for parts := 1; keys.Next(); parts++ {
		if parts > maxDepth {
			return path, errTooDeep
		}
		path = joinPath(path, string(keys.Node().Data))
		if isArray && keys.IsLast() {
			s.arrayLength[path]++
		}
		if length := s.arrayLength[path]; length > 0 {
			path = fmt.Sprintf("%s[%d]", path, length-1)
		}
		if _, exists := s.doc.positions[path]; !exists {
			s.doc.positions[path] = position{s.doc.File, s.lineAt(int(keys.Node().Raw.Offset))}
		}
	}
	return path, nil
}

// lineAt returns the number of the line that contains an offset. Offsets must be passed in ascending order, except
// within a line.
func (s *positionScanner) lineAt(offset int) int {
	for ; s.scanned < offset; s.scanned++ {
		if s.text[s.scanned] == '\n' {
			s.line++
		}
	}
	return s.line
}

// checkDepth returns errTooDeep if a value that starts at the given level exceeds maxDepth, either in its levels or in
// the parts of a key within it.
func checkDepth(value *unstable.Node, level int) error {
	if level > maxDepth {
		return errTooDeep
	}
	switch value.Kind {
	case unstable.KeyValue:
		parts := 0
		for keys := value.Key(); keys.Next(); parts++ {
			if parts >= maxDepth {
				return errTooDeep
			}
		}
		return checkDepth(value.Value(), level)
	case unstable.Array, unstable.InlineTable:
		for children := value.Children(); children.Next(); {
			if err := checkDepth(children.Node(), level+1); err != nil {
				return err
			}
		}
	}
	return nil
}
