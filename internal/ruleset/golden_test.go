package ruleset

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"pepperlead/internal/golden"
)

// filledRevision returns a revision with a distinct value in every field, so that a key that is lost, renamed or
// swapped changes the encoding.
func filledRevision() Revision {
	return Revision{Number: 1, Digest: [32]byte{2, 3, 31: 4}, Author: "author", ProposedAt: 1_700_000_000_000_000_005,
		Text: []byte("text"), RollbackOf: 6,
		Outcome: "followed", Table: []byte{7, 8}}
}

// filledRevisionLog returns a log with a distinct value in every field.
func filledRevisionLog() RevisionLog {
	second := Revision{Number: 9, Digest: [32]byte{10}, Author: "another author", ProposedAt: 11,
		Text: []byte("another text"), RollbackOf: 12, Outcome: "withdrawn",
		Table: []byte{13}}
	return RevisionLog{Revisions: []Revision{filledRevision(), second}, Active: 14, Next: 15, LastNumber: 16}
}

// The encoding of stored types stays the same: coordinators of other versions read and write the same snapshots.
func TestStoredTypesKeepTheirEncoding(t *testing.T) {
	cases := []struct {
		file    string
		filled  any
		decoded any // a pointer to the zero value
	}{
		{"page.cbor", filledRevision(), &Revision{}},
		{"book.cbor", filledRevisionLog(), &RevisionLog{}},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			golden.RoundTrip(t, c.file, c.filled, c.decoded, cbor.Marshal, cbor.Unmarshal)
		})
	}
}

// The encoding of messages stays the same: processes of other versions send and receive them.
func TestMessagesKeepTheirEncoding(t *testing.T) {
	cases := []struct {
		file    string
		message Message
	}{
		{"message-ask.cbor", LeaseRequest{Sender: "127.0.0.1:7001", ID: 1, Known: []RevisionNumber{2, 3}}},
		{"message-grant.cbor", LeaseResponse{
			Sender: "127.0.0.1:7002",
			Lease:  Lease{Term: 4, RequestID: 5, Revisions: []RevisionNumber{6, 7}, Duration: 8_000_000_009},
		}},
		{"message-page.cbor", RevisionUpdate{Sender: "127.0.0.1:7003", Revision: filledRevision()}},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			encoded := c.message.Encode()
			want := golden.ReadOrWrite(t, c.file, encoded)
			if !bytes.Equal(encoded, want) {
				t.Errorf("encoded\n%x\nwant\n%x", encoded, want)
			}
			decoded, err := Decode(want)
			if err != nil {
				t.Fatalf("decoding the golden message: %v", err)
			}
			if !reflect.DeepEqual(decoded, c.message) {
				t.Errorf("decoded %+v, want %+v", decoded, c.message)
			}
			if again := decoded.Encode(); !bytes.Equal(again, want) {
				t.Errorf("decoded and encoded again\n%x\nwant\n%x", again, want)
			}
		})
	}
}
