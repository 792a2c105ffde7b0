package tomlfile

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"pepperlead/policy"
)

// read takes the value of a key as one kind of thing; ok is false where it is not there or another kind.
func read[T any](t *Table, key, allowed string) (v T, ok bool) {
	t.know(key)
	of, there := t.values[key]
	if !there {
		return v, false
	}
	if v, ok = of.(T); !ok {
		t.Fault(key, t.Found(key), allowed)
	}
	return v, ok
}

// String reads a string of 1 to 255 bytes.
func (t *Table) String(key, fallback string) string {
	const allowed = "a text of 1 to 255 bytes"
	v, ok := read[string](t, key, allowed)
	if ok && (v == "" || len(v) > 255) {
		t.Fault(key, t.Found(key), allowed)
		ok = false
	}
	if !ok {
		return fallback
	}
	return v
}

// Strings reads a list of such strings.
func (t *Table) Strings(key string) []string {
	const allowed = "a list of texts of 1 to 255 bytes"
	list, ok := read[[]any](t, key, allowed)
	if !ok {
		return nil
	}
	var out []string
	for _, of := range list {
		v, ok := of.(string)
		if !ok || v == "" || len(v) > 255 {
			t.Fault(key, t.Found(key), allowed)
			return nil
		}
		out = append(out, v)
	}
	return out
}

// OneOf reads one of some words and gives its place among them.
func (t *Table) OneOf(key string, fallback int, words ...string) int {
	allowed := strings.Join(words, ", ")
	v, ok := read[string](t, key, allowed)
	if !ok {
		return fallback
	}
	at := slices.Index(words, v)
	if at < 0 {
		t.Fault(key, t.Found(key), allowed)
		return fallback
	}
	return at
}

// Bool reads true or false.
func (t *Table) Bool(key string, fallback bool) bool {
	if v, ok := read[bool](t, key, "true or false"); ok {
		return v
	}
	return fallback
}

// Count reads a whole number.
func (t *Table) Count(key string, fallback, low, high int64) int64 {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	v, ok := read[int64](t, key, allowed)
	if ok && (v < low || v > high) {
		t.Fault(key, t.Found(key), allowed)
		ok = false
	}
	if !ok {
		return fallback
	}
	return v
}

// Float reads a number.
func (t *Table) Float(key string, fallback, low, high float64) float64 {
	t.know(key)
	of, there := t.values[key]
	if !there {
		return fallback
	}
	v, ok := of.(float64)
	if n, whole := of.(int64); whole {
		v, ok = float64(n), true
	}
	if !ok || math.IsNaN(v) || v < low || v > high {
		t.Fault(key, t.Found(key), fmt.Sprintf("a number from %g to %g", low, high))
		return fallback
	}
	return v
}

// Duration reads a time written as "400ms" or "2s".
func (t *Table) Duration(key string, fallback, low, high policy.Time) policy.Time {
	allowed := fmt.Sprintf(`a time as "400ms" or "2s", from %v to %v`, time.Duration(low), time.Duration(high))
	v, ok := read[string](t, key, allowed)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || policy.Time(d) < low || policy.Time(d) > high {
		t.Fault(key, t.Found(key), allowed)
		return fallback
	}
	return policy.Time(d)
}

// Timestamp reads a date with time and zone, 0 where there is none.
func (t *Table) Timestamp(key string) policy.Time {
	const allowed = "a date, time and zone as 2026-12-01T08:00:00Z, from 1970 on"
	v, ok := read[time.Time](t, key, allowed)
	if ok && (v.Year() < 1970 || v.Year() > 2200) {
		t.Fault(key, t.Found(key), allowed)
		ok = false
	}
	if !ok {
		return 0
	}
	return policy.Time(v.UnixNano())
}
