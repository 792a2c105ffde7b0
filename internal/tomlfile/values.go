package tomlfile

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"pepperlead/policy"
)

const (
	maxStringLength = 255 // bytes

	minTimestampYear = 1970
	maxTimestampYear = 2200
)

// read returns the value of a key. It returns false if there is none, or, after adding a fault, if it has another type.
func read[T any](t *Table, key, allowed string) (T, bool) {
	t.markKnown(key)
	value, exists := t.values[key]
	if !exists {
		var none T
		return none, false
	}
	typed, ok := value.(T)
	if !ok {
		t.Fault(key, t.Found(key), allowed)
	}
	return typed, ok
}

// validString reports whether a string has 1 to maxStringLength bytes.
func validString(value string) bool { return value != "" && len(value) <= maxStringLength }

// String reads a string of 1 to 255 bytes. Like the other methods with a fallback, it returns the fallback if the key
// is missing or its value is invalid.
func (t *Table) String(key, fallback string) string {
	const allowed = "a text of 1 to 255 bytes"
	value, ok := read[string](t, key, allowed)
	if !ok {
		return fallback
	}
	if !validString(value) {
		t.Fault(key, t.Found(key), allowed)
		return fallback
	}
	return value
}

// Strings reads a list of strings of 1 to 255 bytes.
func (t *Table) Strings(key string) []string {
	const allowed = "a list of texts of 1 to 255 bytes"
	list, ok := read[[]any](t, key, allowed)
	if !ok {
		return nil
	}
	var values []string
	for _, element := range list {
		value, ok := element.(string)
		if !ok || !validString(value) {
			t.Fault(key, t.Found(key), allowed)
			return nil
		}
		values = append(values, value)
	}
	return values
}

// OneOf reads one of the choices and returns its index among them.
func (t *Table) OneOf(key string, fallback int, choices ...string) int {
	allowed := strings.Join(choices, ", ")
	value, ok := read[string](t, key, allowed)
	if !ok {
		return fallback
	}
	index := slices.Index(choices, value)
	if index < 0 {
		t.Fault(key, t.Found(key), allowed)
		return fallback
	}
	return index
}

// Bool reads a boolean. It returns the fallback if the key is missing or its value is invalid.
func (t *Table) Bool(key string, fallback bool) bool {
	if value, ok := read[bool](t, key, "true or false"); ok {
		return value
	}
	return fallback
}

// Count reads an integer from low to high.
func (t *Table) Count(key string, fallback, low, high int64) int64 {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	value, ok := read[int64](t, key, allowed)
	if !ok {
		return fallback
	}
	if value < low || value > high {
		t.Fault(key, t.Found(key), allowed)
		return fallback
	}
	return value
}

// Float reads a number from low to high; it may be written as an integer.
func (t *Table) Float(key string, fallback, low, high float64) float64 {
	t.markKnown(key)
	found, exists := t.values[key]
	if !exists {
		return fallback
	}
	value, ok := found.(float64)
	if integer, isInteger := found.(int64); isInteger {
		value = float64(integer)
		ok = true
	}
	if !ok || math.IsNaN(value) || value < low || value > high {
		t.Fault(key, t.Found(key), fmt.Sprintf("a number from %g to %g", low, high))
		return fallback
	}
	return value
}

// Duration reads a duration from low to high, written like "400ms" or "2s".
func (t *Table) Duration(key string, fallback, low, high policy.Time) policy.Time {
	allowed := fmt.Sprintf(`a time as "400ms" or "2s", from %v to %v`, time.Duration(low), time.Duration(high))
	text, ok := read[string](t, key, allowed)
	if !ok {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || policy.Time(value) < low || policy.Time(value) > high {
		t.Fault(key, t.Found(key), allowed)
		return fallback
	}
	return policy.Time(value)
}

// Timestamp reads a date with time and zone and returns its Unix time in nanoseconds, or 0 if there is none.
func (t *Table) Timestamp(key string) policy.Time {
	const allowed = "a date, time and zone such as 2026-12-01T08:00:00Z, from 1970 on"
	value, ok := read[time.Time](t, key, allowed)
	if !ok {
		return 0
	}
	if value.Year() < minTimestampYear || value.Year() > maxTimestampYear {
		t.Fault(key, t.Found(key), allowed)
		return 0
	}
	return policy.Time(value.UnixNano())
}
