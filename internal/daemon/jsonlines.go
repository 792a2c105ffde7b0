package daemon

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

var errSeveralValues = errors.New("more than one value")

// lineScanner finds the line of each key of a JSON document, which encoding/json doesn't report.
type lineScanner struct {
	text    []byte
	decoder *json.Decoder
	lines   map[string]int // line of each key, by its path
}

// JSONLines returns the line of each key of a JSON document, by its path, such as "limits.sockets" or "list.0".
func JSONLines(file string, text []byte) (map[string]int, error) {
	s := lineScanner{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), lines: map[string]int{}}
	s.decoder.UseNumber()
	err := s.scanDocument()
	if err == nil {
		return s.lines, nil
	}
	offset := s.decoder.InputOffset()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	return nil, fmt.Errorf("%s:%d: document: found %w, allowed one JSON object", file, s.lineAt(offset), err)
}

// scanDocument scans the value that is the document. It returns an error if more text follows the value.
func (s *lineScanner) scanDocument() error {
	if err := s.scanValue(""); err != nil {
		return err
	}
	_, err := s.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		return errSeveralValues
	}
	return err
}

// scanValue scans the value at a path and stores the number of its line.
func (s *lineScanner) scanValue(path string) error {
	token, err := s.decoder.Token()
	if err != nil {
		return err
	}
	s.lines[path] = s.lineAt(s.decoder.InputOffset())
	isObject := token == json.Delim('{')
	isList := token == json.Delim('[')
	if !isObject && !isList {
		return nil
	}
	for n := 0; s.decoder.More(); n++ {
		name := strconv.Itoa(n)
		if isObject {
			key, err := s.decoder.Token()
			if err != nil {
				return err
			}
			name = fmt.Sprint(key)
		}
		if err := s.scanValue(strings.TrimPrefix(path+"."+name, ".")); err != nil {
			return err
		}
	}
	_, err = s.decoder.Token() // the closing bracket
	return err
}

// lineAt returns the number of the line that contains an offset in the text.
func (s *lineScanner) lineAt(offset int64) int {
	before := s.text[:min(int(offset), len(s.text))]
	return 1 + bytes.Count(before, []byte{'\n'})
}

// addLines adds to each fault of a platform's configuration the number of its line in the file. err must have a line of
// text for each fault, and so does the returned error.
func addLines(file string, err error, lines map[string]int) error {
	var faults []error
	for fault := range strings.SplitSeq(err.Error(), "\n") {
		faults = append(faults, addLine(file, strings.TrimPrefix(fault, file+": "), lines))
	}
	return errors.Join(faults...)
}

// addLine adds to a fault the line of its key, or of the nearest enclosing object if the document doesn't have the key.
func addLine(file, fault string, lines map[string]int) error {
	path := fault
	if rest, found := strings.CutPrefix(fault, "settings: "); found {
		path = "settings." + rest
	}
	path, _, _ = strings.Cut(path, ":")
	path, _, _ = strings.Cut(path, "=")
	for {
		if line, exists := lines[path]; exists {
			return fmt.Errorf("%s:%d: %s", file, line, fault)
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
}
