package membership

import (
	"bytes"
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
)

var writeGolden = flag.Bool("write-golden", false, "write golden files that do not exist yet; those that do are never changed")

// goldenFile gives the bytes of a golden file. With -write-golden, a file that does not exist is written from the
// encoding first.
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

// The metadata of a member is decoded by members of an earlier build, and encoded by them in the same bytes.
func TestMetadataKeepsItsKeys(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	sender := newCluster(Config{Name: "sender"}, log)
	sender.metadata = Metadata{Zone: "zone", StartedAt: 1_700_000_000_000_000_001, Revision: 2, TableDigest: 1 << 63, Coordinator: true}
	encoded := delegate{sender}.NodeMeta(memberlist.MetaMaxSize)
	want := goldenFile(t, "says.cbor", encoded)
	if !bytes.Equal(encoded, want) {
		t.Errorf("encoded\n%x\nwant\n%x", encoded, want)
	}
	receiver := newCluster(Config{Name: "receiver"}, log)
	delegate{receiver}.NotifyJoin(&memberlist.Node{Name: "sender", Meta: want})
	received := receiver.peers["sender"].Metadata
	if received != sender.metadata {
		t.Errorf("decoded %+v, want %+v", received, sender.metadata)
	}
	receiver.metadata = received
	if again := (delegate{receiver}).NodeMeta(memberlist.MetaMaxSize); !bytes.Equal(again, want) {
		t.Errorf("decoded and encoded again\n%x\nwant\n%x", again, want)
	}
}
