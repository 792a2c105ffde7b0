package ruleset

import (
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Bytes that are no message are rejected with a typed error; fields of a later build are ignored.
func TestDecodeRejectsWhatIsNoMessage(t *testing.T) {
	message := func(kind byte, fields ...any) []byte {
		encoded, err := cbor.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		return append([]byte{kind}, encoded...)
	}
	for name, encoded := range map[string][]byte{
		"empty":              nil,
		"no fields":          {'a'},
		"too few fields":     message('a', "sender", 1),
		"wrong type":         message('a', "sender", "1", []int{1}),
		"unknown kind":       message('x', "sender", 1, []int{1}),
		"lease of nothing":   message('g', "sender", 1, 2, []int{}, 3),
		"lease in the past":  message('g', "sender", 1, 2, []int{1}, -3),
		"revision of a text": message('p', "sender", "text"),
	} {
		if decoded, err := Decode(encoded); !errors.Is(err, ErrMalformedMessage) {
			t.Errorf("%s: decoded %+v, error %v", name, decoded, err)
		}
	}
	if _, err := Decode(message('a', "sender", 1, []int{1}, "a field of a later build")); err != nil {
		t.Errorf("a message with one field more: %v", err)
	}
}
