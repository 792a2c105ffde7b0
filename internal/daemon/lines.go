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

// JSONLines notes the line of each key of a JSON document.
func JSONLines(file string, text []byte) (map[string]int, error) {
	lines := map[string]int{}
	in := json.NewDecoder(bytes.NewReader(text))
	in.UseNumber()
	line := func(at int64) int { return 1 + bytes.Count(text[:min(int(at), len(text))], []byte{'\n'}) }
	var value func(path string) error
	value = func(path string) error {
		token, err := in.Token()
		if err != nil {
			return err
		}
		lines[path] = line(in.InputOffset())
		for n := 0; token == json.Delim('{') && in.More() || token == json.Delim('[') && in.More(); n++ {
			name := strconv.Itoa(n)
			if token == json.Delim('{') {
				key, err := in.Token()
				if err != nil {
					return err
				}
				name = fmt.Sprint(key)
			}
			if err := value(strings.TrimPrefix(path+"."+name, ".")); err != nil {
				return err
			}
		}
		if token == json.Delim('{') || token == json.Delim('[') {
			_, err = in.Token()
		}
		return err
	}
	err := value("")
	if err == nil {
		if _, err = in.Token(); err == nil {
			err = errors.New("more than one value")
		} else if err == io.EOF {
			return lines, nil
		}
	}
	at := in.InputOffset()
	var wrong *json.SyntaxError
	if errors.As(err, &wrong) {
		at = wrong.Offset
	}
	return nil, fmt.Errorf("%s:%d: document: found %v, allowed one JSON object", file, line(at), err)
}

// placed gives each fault of the platform's settings its line: that of the key, or of the nearest object above it.
func placed(file string, err error, lines map[string]int) error {
	var all []error
	for one := range strings.SplitSeq(err.Error(), "\n") {
		all = append(all, placedOne(file, strings.TrimPrefix(one, file+": "), lines))
	}
	return errors.Join(all...)
}

func placedOne(file, what string, lines map[string]int) error {
	path := what
	if rest, is := strings.CutPrefix(what, "settings: "); is {
		path = "settings." + rest
	}
	path, _, _ = strings.Cut(path, ":")
	path, _, _ = strings.Cut(path, "=")
	for at := path; ; {
		if n, known := lines[at]; known {
			return fmt.Errorf("%s:%d: %s", file, n, what)
		}
		dot := strings.LastIndexByte(at, '.')
		at = at[:max(0, dot)]
	}
}
