package platformsettings

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"pepperlead/policy"
)

// maxSeconds is the longest accepted duration, in seconds. policy.Time can hold slightly longer ones.
const maxSeconds = 9e9

// Values parses the values of flattened settings. Faults are collected in Err, so that all of them can be reported at
// once.
type Values struct {
	Text   map[string]string // by path, such as limits.cancel
	Err    error             // a line for each fault
	failed map[string]bool   // paths that have a fault in Err
}

// fail adds a fault of the path to Err, unless Err has one of that path already.
func (v *Values) fail(path, found, allowed string) {
	if v.failed[path] {
		return
	}
	if v.failed == nil {
		v.failed = map[string]bool{}
	}
	v.failed[path] = true
	v.Err = errors.Join(v.Err, fmt.Errorf("%s: found %s, allowed %s", path, found, allowed))
}

// Has reports whether there is a value under the path.
func (v *Values) Has(path string) bool {
	_, exists := v.Text[path]
	return exists
}

// String returns the value under the path, which is required.
func (v *Values) String(path string) string {
	text, exists := v.Text[path]
	if !exists {
		v.fail(path, "nothing", "a value: it must be given")
	}
	return text
}

// Float returns the number under the path, which must be finite and not negative.
func (v *Values) Float(path string) float64 {
	text := v.String(path)
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		v.fail(path, text, "a number from 0 up")
	}
	return number
}

// Count returns the unsigned 16-bit integer under the path.
func (v *Values) Count(path string) int {
	text := v.String(path)
	number, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		v.fail(path, text, "a whole number from 0 to 65535")
	}
	return int(number)
}

// Duration returns the duration under the path, which is written in seconds.
func (v *Values) Duration(path string) policy.Time {
	text := v.String(path)
	duration, err := ParseDuration(path, text)
	if err != nil {
		v.fail(path, text, "seconds from 0 up")
	}
	return duration
}

// Bool returns the boolean under the path.
func (v *Values) Bool(path string) bool {
	text := v.String(path)
	value, err := ParseBool(path, text)
	if err != nil {
		v.fail(path, text, "true or false")
	}
	return value
}

// OneOf returns the index of the value under the path among the choices.
func (v *Values) OneOf(path string, choices ...string) int {
	text := v.String(path)
	for i, choice := range choices {
		if choice == text {
			return i
		}
	}
	v.fail(path, text, strings.Join(choices, ", "))
	return 0
}

// ParseDuration parses a number of seconds and rounds it to nanoseconds. The error names the path.
func ParseDuration(path, text string) (policy.Time, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 || seconds > maxSeconds {
		return 0, fmt.Errorf("%s=%s is not a time", path, text)
	}
	return policy.Time(math.Round(seconds * 1e9)), nil
}

// ParseBool parses 1, true, 0 or false. The error names the path.
func ParseBool(path, text string) (bool, error) {
	switch text {
	case "1", "true":
		return true, nil
	case "0", "false":
		return false, nil
	}
	return false, fmt.Errorf("%s=%s is neither 1 nor 0", path, text)
}
