package simprotocol

import (
	"bytes"
	"fmt"
	"strconv"

	"pepperlead/internal/platformsettings"
	"pepperlead/policy"
)

// field is a name=value pair of a line.
type field struct{ name, value []byte }

// splitFields splits the text after the keyword of a line into fields. Parts without an equals sign are ignored.
func (a *adapter) splitFields(text []byte) {
	a.fields = a.fields[:0]
	for len(text) > 0 {
		var part []byte
		part, text, _ = bytes.Cut(text, []byte{' '})
		if name, value, ok := bytes.Cut(part, []byte{'='}); ok {
			a.fields = append(a.fields, field{name, value})
		}
	}
}

// lookup returns the value of an optional field.
func (a *adapter) lookup(name string) (value []byte, found bool) {
	for _, f := range a.fields {
		if string(f.name) == name {
			return f.value, true
		}
	}
	return nil, false
}

// text returns the value of a required field, which must not be empty.
func (a *adapter) text(name string) ([]byte, error) {
	value, found := a.lookup(name)
	if !found || len(value) == 0 {
		return nil, fmt.Errorf("%s is missing", name)
	}
	return value, nil
}

// requestID returns the ID of the request that the line refers to.
func (a *adapter) requestID() (requestID, error) {
	value, err := a.text("tid")
	if err != nil {
		return requestID{}, err
	}
	if len(value) != len(requestID{}) {
		return requestID{}, fmt.Errorf("tid %q is not %d characters", value, len(requestID{}))
	}
	return requestID(value), nil
}

func (a *adapter) number(name string) (uint64, error) {
	value, err := a.text(name)
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s=%s is not a whole number", name, value)
	}
	return n, nil
}

func (a *adapter) boolean(name string) (bool, error) {
	value, err := a.text(name)
	if err != nil {
		return false, err
	}
	return platformsettings.ParseBool(name, string(value))
}

func (a *adapter) duration(name string) (policy.Time, error) {
	value, err := a.text(name)
	if err != nil {
		return 0, err
	}
	return platformsettings.ParseDuration(name, string(value))
}
