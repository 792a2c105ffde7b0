package admin

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// fakeOperations has one endpoint, s-1, and records whether it is drained.
type fakeOperations struct{ drained atomic.Value }

func (o *fakeOperations) Ready() bool { return true }
func (o *fakeOperations) AppendFigures(to []byte) []byte {
	return append(to, "edge_gw_pending 2\n"...)
}
func (o *fakeOperations) SetDrained(uid string, drained bool) error {
	if uid != "s-1" {
		return errors.New("no list has\never named this id")
	}
	o.drained.Store(drained)
	return nil
}

// sendCommand sends bytes and returns all that comes back.
func sendCommand(t *testing.T, server *CommandServer, sent string) string {
	t.Helper()
	c, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, sent)
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("reading the answer to %.40q: %v", sent, err)
	}
	return string(answer)
}

// Each command gets exactly one answer, whatever was sent, while idle clients open more connections than are allowed.
func TestCommandsAreAnsweredBesideIdleConnections(t *testing.T) {
	operations := &fakeOperations{}
	server, err := ListenCommands("127.0.0.1:0", operations)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for i := range 3 * maxCommandConnections {
		c, err := net.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "show-st")
		}
	}
	for _, c := range [][2]string{{"ready\n", "OK ready\n"}, {"ready\r\n", "OK ready\n"}, {"show-stat\nready\n", "edge_gw_pending 2\nEND\n"},
		{"disable-server s-1\n", "OK s-1\n"}, {"enable-server s-1\r\n", "OK s-1\n"},
		{"disable-server s-2\n", "ERR disable-server: no list has; ever named this id\n"}, {"disable-server\n", "ERR disable-server: found no id"},
		{"enable-server s-1 s-2\n", "ERR enable-server: found no id"}, {"\n", "ERR no such call; allowed: ready, "},
		{"\x00\xff\n", "ERR no such call"}, {strings.Repeat("x", 20<<10) + "\n", "ERR no such call"}} {
		if got := sendCommand(t, server, c[0]); !strings.HasPrefix(got, c[1]) || !strings.HasSuffix(got, "\n") || got[0] == 'E' && strings.Count(got, "\n") != 1 {
			t.Errorf("unexpected answer to %.30q: %q", c[0], got)
		}
	}
	if operations.drained.Load() != false {
		t.Error("the endpoint was not returned to service")
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.open > maxCommandConnections || server.waiting.Len() > server.open {
		t.Errorf("unexpected connections: %d open, %d of them waiting for a command", server.open, server.waiting.Len())
	}
}
