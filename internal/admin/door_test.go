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

type operated struct{ out atomic.Value }

func (o *operated) Ready() bool { return true }
func (o *operated) AppendFigures(to []byte) []byte {
	return append(to, "edge_gw_pending 2\n"...)
}
func (o *operated) SetDrained(uid string, out bool) error {
	if uid != "s-1" {
		return errors.New("no list has\never named this id")
	}
	o.out.Store(out)
	return nil
}

// ask sends bytes to the door and gives all that comes back.
func ask(t *testing.T, d *CommandServer, in string) string {
	t.Helper()
	c, err := net.Dial("tcp", d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, in)
	all, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%.40q: %v", in, err)
	}
	return string(all)
}

// Each call gets its one answer, whatever was sent, also beside callers that hold more connections than there may be.
func TestDoorAnswersBesideThoseThatHoldIt(t *testing.T) {
	of := &operated{}
	d, err := ListenCommands("127.0.0.1:0", of)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	for i := range 3 * doorMost {
		c, err := net.Dial("tcp", d.Addr())
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
		if got := ask(t, d, c[0]); !strings.HasPrefix(got, c[1]) || !strings.HasSuffix(got, "\n") || got[0] == 'E' && strings.Count(got, "\n") != 1 {
			t.Errorf("%.30q: %q", c[0], got)
		}
	}
	if of.out.Load() != false {
		t.Error("not called back")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open > doorMost || d.silent.Len() > d.open {
		t.Errorf("%d open, %d of them silent", d.open, d.silent.Len())
	}
}
