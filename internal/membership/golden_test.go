package membership

import (
	"bytes"
	"io"
	"testing"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"pepperlead/internal/golden"
)

// The encoding of metadata stays the same: members of other versions send and receive it.
func TestMetadataKeepsItsEncoding(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	sender := newCluster(Config{Name: "sender"}, log)
	sender.metadata = Metadata{Zone: "zone", StartedAt: 1_700_000_000_000_000_001, Revision: 2, TableDigest: 1 << 63,
		Coordinator: true}
	encoded := delegate{sender}.NodeMeta(memberlist.MetaMaxSize)
	want := golden.ReadOrWrite(t, "says.cbor", encoded)
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
