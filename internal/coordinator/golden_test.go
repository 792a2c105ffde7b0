package coordinator

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"pepperlead/internal/golden"
	"pepperlead/internal/ruleset"
	"pepperlead/policy"
)

// quietLog returns a logger that discards its output.
func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// goldenCommands are the names of the golden files that hold the commands of a log, in the order of the log.
var goldenCommands = []string{"command-1-apply", "command-2-drop", "command-3-apply", "command-4-withdraw",
	"command-5-apply",
	"command-6-withdraw", "command-7-apply-back"}

// goldenTime is the proposal time of all commands in golden files, in Unix nanoseconds.
const goldenTime = 1_700_000_000_000_000_007

// replaceTime returns a command with goldenTime in place of its proposal time, its last field, which differs in each
// run. Commands without a time are returned unchanged. The test fails if the time isn't encoded as a CBOR integer of
// eight bytes.
func replaceTime(t *testing.T, command []byte) []byte {
	t.Helper()
	var fields []cbor.RawMessage
	var name string
	if err := cbor.Unmarshal(command, &fields); err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(fields[0], &name); err != nil {
		t.Fatal(err)
	}
	if name != "apply" {
		return command
	}
	const eightBytes = 0x1b // RFC 8949, section 3: an unsigned integer in the eight bytes that follow
	timeStart := len(command) - 9
	if !bytes.Equal(fields[len(fields)-1], command[timeStart:]) || command[timeStart] != eightBytes {
		t.Fatalf("found %x at the end of a command, want a time", fields[len(fields)-1])
	}
	return binary.BigEndian.AppendUint64(bytes.Clone(command[:timeStart+1]), goldenTime)
}

// startSingle starts a group of one coordinator. Its leases last long enough for a change to be withdrawn before they
// expire.
func startSingle(t *testing.T) *Coordinator {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>14%64, os.Getpid()>>7%128, 1+os.Getpid()%128)
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	coordinator, err := Open(Config{Name: "coordinator", Directory: t.TempDir(), Listen: address, Cluster: "cluster",
		Key: []byte("0123456789abcdef"),
		Members: []Member{{Name: "coordinator",
			RaftAddress: address}}, LeaseDuration: 2000 * policy.Millisecond, ClockDrift: 0.01,
		Validate: func([]byte, []byte) error { return nil },
		AssignSlots: func(text []byte, _ *ruleset.Revision) []byte {
			return append([]byte("table of "),
				text...)
		}}, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(coordinator.Close)
	return coordinator
}

// storedCommands returns the commands in the log on disk.
func storedCommands(t *testing.T, coordinator *Coordinator) [][]byte {
	t.Helper()
	var commands [][]byte
	first, err := coordinator.store.FirstIndex()
	if err != nil {
		t.Fatal(err)
	}
	last, err := coordinator.store.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	for index := first; index <= last; index++ {
		var entry raft.Log
		if err := coordinator.store.GetLog(index, &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Type == raft.LogCommand {
			commands = append(commands, entry.Data)
		}
	}
	return commands
}

// The encoding of commands stays the same: coordinators of other versions read the same log.
func TestCommandsKeepTheirEncoding(t *testing.T) {
	coordinator := startSingle(t)
	eventually(t, "the coordinator becomes the leader", func() bool {
		coordinator.mu.Lock()
		defer coordinator.mu.Unlock()
		return coordinator.leaseIssuer != nil
	})
	propose := func(text string, rollbackOf, last ruleset.RevisionNumber, author string) {
		t.Helper()
		if _, err := coordinator.Propose(Proposal{Text: []byte(text), RollbackOf: rollbackOf, Last: last,
			Author: author}); err != nil {
			t.Fatal(err)
		}
	}
	withdraw := func(number ruleset.RevisionNumber) {
		t.Helper()
		if err := coordinator.Withdraw(number); err != nil {
			t.Fatal(err)
		}
	}
	propose("first text", 0, 0, "first author")
	eventually(t, "the first revision is in force alone", inForceAlone(coordinator, 1))
	propose("second text", 0, 1, "second author")
	withdraw(2)
	propose("third text", 0, 2, "third author")
	withdraw(3)
	// A rollback to revision 2, with 3 as the latest revision and 1 as the active one. The three numbers differ, so
	// that swapped fields would change the encoding.
	propose("", 2, 3, "fourth author")

	commands := storedCommands(t, coordinator)
	if len(commands) != len(goldenCommands) {
		t.Fatalf("found %d commands, want %d", len(commands), len(goldenCommands))
	}
	for i, file := range goldenCommands {
		command := replaceTime(t, commands[i])
		if want := golden.ReadOrWrite(t, file+".cbor", command); !bytes.Equal(command, want) {
			t.Errorf("%s: encoded\n%x\nwant\n%x", file, command, want)
		}
	}
}

// snapshotBuffer is a raft.SnapshotSink in memory.
type snapshotBuffer struct{ bytes.Buffer }

func (*snapshotBuffer) ID() string    { return "golden" }
func (*snapshotBuffer) Cancel() error { return nil }
func (*snapshotBuffer) Close() error  { return nil }

// encodedSnapshot returns the content of a snapshot of the coordinator.
func encodedSnapshot(t *testing.T, coordinator *Coordinator) []byte {
	t.Helper()
	snapshot, err := (*stateMachine)(coordinator).Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	defer snapshot.Release()
	var buffer snapshotBuffer
	if err := snapshot.Persist(&buffer); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

// The log and the snapshots of an earlier version are decoded, and encoded again to the same bytes.
func TestLogAndSnapshotOfAnEarlierVersion(t *testing.T) {
	coordinator := &Coordinator{log: quietLog()}
	for i, file := range goldenCommands {
		if result := (*stateMachine)(coordinator).Apply(&raft.Log{Index: uint64(i + 1), Type: raft.LogCommand,
			Data: golden.ReadOrWrite(t, file+".cbor", nil)}); result != nil {
			t.Fatalf("%s: %v", file, result)
		}
	}
	encoded := encodedSnapshot(t, coordinator)
	want := golden.ReadOrWrite(t, "snapshot.cbor", encoded)
	if !bytes.Equal(encoded, want) {
		t.Errorf("encoded\n%x\nwant\n%x", encoded, want)
	}
	restored := &Coordinator{log: quietLog()}
	if err := (*stateMachine)(restored).Restore(io.NopCloser(bytes.NewReader(want))); err != nil {
		t.Fatal(err)
	}
	if again := encodedSnapshot(t, restored); !bytes.Equal(again, want) {
		t.Errorf("decoded and encoded again\n%x\nwant\n%x", again, want)
	}
	log := restored.revisionLog
	if log.Active != 1 || log.Next != 4 || log.LastNumber != 4 || len(log.Revisions) != 4 {
		t.Fatalf("active %d, next %d, last %d, %d revisions, want 1, 4, 4 and 4", log.Active, log.Next,
			log.LastNumber, len(log.Revisions))
	}
	for i, revision := range []struct{ author, text, table, outcome string }{
		{"first author", "first text", "table of first text", ""},
		{"second author", "second text", "table of second text", "withdrawn"},
		{"third author", "third text", "table of third text", "withdrawn"},
		{"fourth author", "second text", "table of second text", ""},
	} {
		found := log.Revisions[i]
		if found.Author != revision.author || string(found.Text) != revision.text ||
			string(found.Table) != revision.table || found.Outcome != revision.outcome ||
			found.ProposedAt != goldenTime {
			t.Errorf("revision %d: found %+v, want %+v at %v", i+1, found, revision, time.Unix(0, goldenTime))
		}
	}
}
