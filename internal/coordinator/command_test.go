package coordinator

import (
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"
)

// Log entries that can't be applied return typed errors and change nothing.
func TestInvalidEntriesAreRejected(t *testing.T) {
	coordinator := &Coordinator{log: quietLog()}
	entry := func(fields ...any) []byte {
		encoded, err := cbor.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	for _, c := range []struct {
		name    string
		encoded []byte
		want    error
	}{
		{"empty", nil, errMalformedCommand},
		{"no fields", entry(), errMalformedCommand},
		{"name is not a string", entry(1), errMalformedCommand},
		{"too few fields", entry("apply", "text"), errMalformedCommand},
		{"too many fields", entry("drop", 1, 2), errMalformedCommand},
		{"field of the wrong type", entry("withdraw", "one"), errMalformedCommand},
		{"unknown command", entry("rewrite", 1), errUnknownCommand},
		{"no change in progress", entry("drop", 1), errNoSuchChange},
	} {
		result := (*stateMachine)(coordinator).Apply(&raft.Log{Type: raft.LogCommand, Data: c.encoded})
		if err, ok := result.(error); !ok || !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, result, c.want)
		}
	}
	if log := coordinator.RevisionLog(); log.LastNumber != 0 || len(log.Revisions) != 0 {
		t.Errorf("the revision log has changed: %+v", log)
	}
}
