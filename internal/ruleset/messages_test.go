package ruleset

import (
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Decode rejects malformed messages with ErrMalformedMessage, and ignores additional fields of newer versions.
func TestDecodeRejectsMalformedMessages(t *testing.T) {
	message := func(kind byte, fields ...any) []byte {
		encoded, err := cbor.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		return append([]byte{kind}, encoded...)
	}
	for name, encoded := range map[string][]byte{
		"empty":                nil,
		"no fields":            {'a'},
		"too few fields":       message('a', "sender", 1),
		"wrong type":           message('a', "sender", "1", []int{1}),
		"unknown kind":         message('x', "sender", 1, []int{1}),
		"lease of no revision": message('g', "sender", 1, 2, []int{}, 3),
		"negative duration":    message('g', "sender", 1, 2, []int{1}, -3),
		"revision is a string": message('p', "sender", "text"),
	} {
		if decoded, err := Decode(encoded); !errors.Is(err, ErrMalformedMessage) {
			t.Errorf("%s: decoded %+v, error %v", name, decoded, err)
		}
	}
	if _, err := Decode(message('a', "sender", 1, []int{1}, "a field of a newer version")); err != nil {
		t.Errorf("a message with an additional field was rejected: %v", err)
	}
}
