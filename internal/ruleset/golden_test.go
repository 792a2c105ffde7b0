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
func filledPage() Page {
	return Page{Number: 1, Digest: [32]byte{2, 3, 31: 4}, Author: "author", At: 1_700_000_000_000_000_005, Text: []byte("text"), From: 6,
		Over: "followed", Table: []byte{7, 8}}
}

func filledBook() Book {
	second := Page{Number: 9, Digest: [32]byte{10}, Author: "another author", At: 11, Text: []byte("another text"), From: 12, Over: "withdrawn",
		Table: []byte{13}}
	return Book{Pages: []Page{filledPage(), second}, Old: 14, New: 15, Last: 16}
}

// Snapshots of the keepers hold books in these bytes, and keepers of an earlier build read and write them.
func TestStoredTypesKeepTheirKeys(t *testing.T) {
	cases := []struct {
		file    string
		filled  any
		decoded any // a pointer to the zero value
	}{
		{"page.cbor", filledPage(), &Page{}},
		{"book.cbor", filledBook(), &Book{}},
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
		knows []Number
		grant Grant
		page  Page
	}
	cases := []struct {
		file string
		sent message
		say  func(message) []byte
	}{
		{"message-ask.cbor", message{from: "127.0.0.1:7001", ask: 1, knows: []Number{2, 3}},
			func(m message) []byte { return SayAsk(m.from, m.ask, m.knows) }},
		{"message-grant.cbor", message{from: "127.0.0.1:7002", grant: Grant{Term: 4, Ask: 5, Of: []Number{6, 7}, For: 8_000_000_009}},
			func(m message) []byte { return SayGrant(m.from, m.grant) }},
		{"message-page.cbor", message{from: "127.0.0.1:7003", page: filledPage()},
			func(m message) []byte { return SayPage(m.from, m.page) }},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			encoded := c.say(c.sent)
			want := goldenFile(t, c.file, encoded)
			if !bytes.Equal(encoded, want) {
				t.Errorf("encoded\n%x\nwant\n%x", encoded, want)
			}
			var heard message
			ears := Ears{
				Asked:   func(from string, ask uint64, knows []Number) { heard = message{from: from, ask: ask, knows: knows} },
				Granted: func(from string, grant Grant) { heard = message{from: from, grant: grant} },
				Told:    func(from string, page Page) { heard = message{from: from, page: page} },
			}
			if !ears.Hear(want) {
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
