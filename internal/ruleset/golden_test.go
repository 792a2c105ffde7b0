package ruleset

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

var writeGolden = flag.Bool("write-golden", false, "write golden files that do not exist yet; those that do are never changed")

// goldenFile gives the bytes of a golden file. With -write-golden, a file that does not exist is written from the encoding first.
func goldenFile(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if _, err := os.Stat(path); os.IsNotExist(err) && *writeGolden {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// filledPage has a distinct value in every field, so that a key that is lost, renamed or swapped with another changes the encoding.
func filledPage() Revision {
	return Revision{Number: 1, Digest: [32]byte{2, 3, 31: 4}, Author: "author", ProposedAt: 1_700_000_000_000_000_005, Text: []byte("text"), RollbackOf: 6,
		Outcome: "followed", Table: []byte{7, 8}}
}

func filledBook() RevisionLog {
	second := Revision{Number: 9, Digest: [32]byte{10}, Author: "another author", ProposedAt: 11, Text: []byte("another text"), RollbackOf: 12, Outcome: "withdrawn",
		Table: []byte{13}}
	return RevisionLog{Revisions: []Revision{filledPage(), second}, Active: 14, Next: 15, LastNumber: 16}
}

// Snapshots of the keepers hold books in these bytes, and keepers of an earlier build read and write them.
func TestStoredTypesKeepTheirKeys(t *testing.T) {
	cases := []struct {
		file    string
		filled  any
		decoded any // a pointer to the zero value
	}{
		{"page.cbor", filledPage(), &Revision{}},
		{"book.cbor", filledBook(), &RevisionLog{}},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			encoded, err := cbor.Marshal(c.filled)
			if err != nil {
				t.Fatal(err)
			}
			want := goldenFile(t, c.file, encoded)
			if !bytes.Equal(encoded, want) {
				t.Errorf("encoded\n%x\nwant\n%x", encoded, want)
			}
			if err := cbor.Unmarshal(want, c.decoded); err != nil {
				t.Fatal(err)
			}
			again, err := cbor.Marshal(c.decoded)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(again, want) {
				t.Errorf("decoded and encoded again\n%x\nwant\n%x", again, want)
			}
		})
	}
}

// What sidecars and keepers of an earlier build say to each other is read, and said in the same bytes.
func TestMessagesKeepTheirBytes(t *testing.T) {
	type message struct {
		from  string
		ask   uint64
		knows []RevisionNumber
		grant Lease
		page  Revision
	}
	cases := []struct {
		file string
		sent message
		say  func(message) []byte
	}{
		{"message-ask.cbor", message{from: "127.0.0.1:7001", ask: 1, knows: []RevisionNumber{2, 3}},
			func(m message) []byte { return EncodeLeaseRequest(m.from, m.ask, m.knows) }},
		{"message-grant.cbor", message{from: "127.0.0.1:7002", grant: Lease{Term: 4, RequestID: 5, Revisions: []RevisionNumber{6, 7}, Duration: 8_000_000_009}},
			func(m message) []byte { return EncodeLease(m.from, m.grant) }},
		{"message-page.cbor", message{from: "127.0.0.1:7003", page: filledPage()},
			func(m message) []byte { return EncodeRevision(m.from, m.page) }},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			encoded := c.say(c.sent)
			want := goldenFile(t, c.file, encoded)
			if !bytes.Equal(encoded, want) {
				t.Errorf("encoded\n%x\nwant\n%x", encoded, want)
			}
			var heard message
			ears := MessageHandler{
				LeaseRequest: func(from string, ask uint64, knows []RevisionNumber) {
					heard = message{from: from, ask: ask, knows: knows}
				},
				Lease:    func(from string, grant Lease) { heard = message{from: from, grant: grant} },
				Revision: func(from string, page Revision) { heard = message{from: from, page: page} },
			}
			if !ears.Handle(want) {
				t.Fatal("the golden message cannot be read")
			}
			if !reflect.DeepEqual(heard, c.sent) {
				t.Errorf("decoded %+v, want %+v", heard, c.sent)
			}
			if again := c.say(heard); !bytes.Equal(again, want) {
				t.Errorf("decoded and encoded again\n%x\nwant\n%x", again, want)
			}
		})
	}
}
