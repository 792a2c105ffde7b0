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

// lineScanner finds the line of each key of a JSON document.
type lineScanner struct {
	text    []byte
	decoder *json.Decoder
	lines   map[string]int // by path
}

// JSONLines returns the line of each key of a JSON document, by its path as in "limits.sockets" or "list.0".
func JSONLines(file string, text []byte) (map[string]int, error) {
	s := lineScanner{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), lines: map[string]int{}}
	s.decoder.UseNumber()
	err := s.document()
	if err == nil {
		return s.lines, nil
	}
	offset := s.decoder.InputOffset()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	return nil, fmt.Errorf("%s:%d: document: found %w, allowed one JSON object", file, s.line(offset), err)
}

// document scans a value and the end of the text.
func (s *lineScanner) document() error {
	if err := s.value(""); err != nil {
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

// value scans the value at that path.
func (s *lineScanner) value(path string) error {
	token, err := s.decoder.Token()
	if err != nil {
		return err
	}
	s.lines[path] = s.line(s.decoder.InputOffset())
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
		if err := s.value(strings.TrimPrefix(path+"."+name, ".")); err != nil {
			return err
		}
	}
	_, err = s.decoder.Token() // the closing bracket
	return err
}

func (s *lineScanner) line(offset int64) int {
	before := s.text[:min(int(offset), len(s.text))]
	return 1 + bytes.Count(before, []byte{'\n'})
}

// addLines gives each fault of the platform's configuration, one a line of the error, its line in the file.
func addLines(file string, err error, lines map[string]int) error {
	var all []error
	for fault := range strings.SplitSeq(err.Error(), "\n") {
		all = append(all, addLine(file, strings.TrimPrefix(fault, file+": "), lines))
	}
	return errors.Join(all...)
}

// addLine gives a fault the line of its key, or else of the nearest object around it.
func addLine(file, fault string, lines map[string]int) error {
	path := fault
	if rest, found := strings.CutPrefix(fault, "settings: "); found {
		path = "settings." + rest
	}
	path, _, _ = strings.Cut(path, ":")
	path, _, _ = strings.Cut(path, "=")
	for {
		if line, known := lines[path]; known {
			return fmt.Errorf("%s:%d: %s", file, line, fault)
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
}
