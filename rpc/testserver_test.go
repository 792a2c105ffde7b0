package rpc

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"pepperlead/internal/endpointfiles"
)

// server is a test server that accepts any method with text messages. The text selects the behaviour: "code N" ends
// the call with status code N ("code 0" answers it), "reject" rejects it unprocessed, "slow" answers after 100 ms,
// "hang" ends the call only once its caller has cancelled it or its deadline has passed. Any other text is answered
// with the server's name.
type server struct {
	name   string
	addr   string
	grpc   *grpc.Server
	mu     sync.Mutex
	ran    map[string]int // how often each call was processed, by its id in the metadata
	times  []time.Time    // when the processed calls arrived, for up to 100000 calls
	silent atomic.Bool    // the server answers no calls
}

func newServer(t testing.TB, name string) *server {
	t.Helper()
	s := startServer(name)
	t.Cleanup(s.grpc.Stop)
	return s
}

func startServer(name string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &server{name: name, addr: l.Addr().String(), ran: map[string]int{}}
	s.grpc = grpc.NewServer(grpc.UnknownServiceHandler(s.serve))
	go s.grpc.Serve(l)
	return s
}

func (s *server) serve(_ any, stream grpc.ServerStream) error {
	at := time.Now()
	md, _ := metadata.FromIncomingContext(stream.Context())
	first := true
	for {
		var m wrapperspb.StringValue
		if err := stream.RecvMsg(&m); err != nil {
			if err == io.EOF {
				return nil
			}
			return err
		}
		action, arg, _ := strings.Cut(m.Value, " ")
		if s.silent.Load() {
			<-stream.Context().Done()
			return nil
		}
		if action == "reject" {
			stream.SetTrailer(metadata.Pairs(NotProcessed, "1"))
			return status.Error(codes.Unavailable, "full")
		}
		if first {
			s.mu.Lock()
			if len(s.times) < 100000 {
				s.times = append(s.times, at)
			}
			for _, id := range md.Get("id") {
				s.ran[id]++
			}
			s.mu.Unlock()
			first = false
		}
		switch action {
		case "code":
			n, _ := strconv.Atoi(arg)
			if n > 0 {
				return status.Error(codes.Code(n), "requested code")
			}
		case "slow":
			time.Sleep(100 * time.Millisecond)
		case "hang":
			<-stream.Context().Done()
			return nil
		}
		if err := stream.SendMsg(wrapperspb.String(s.name)); err != nil {
			return err
		}
	}
}

func (s *server) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

func (s *server) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.times)
}

// member is the entry of a server in an endpoint list.
type member struct {
	id, addr string
	drains   bool
	pod      int
}

func listText(issue int, members ...member) []byte {
	var b strings.Builder
	for _, m := range members {
		fmt.Fprintf(&b, "[[server]]\nid = %q\naddress = %q\npod = %d\n", m.id, m.addr, m.pod)
		if m.drains {
			b.WriteString("state = \"draining\"\n")
		}
	}
	out, _, err := endpointfiles.Seal("list", []byte(b.String()), endpointfiles.Issue(issue), 1000)
	if err != nil {
		panic(err)
	}
	return out
}

const configuration = `[instance]
seed = "1"
[limits]
advice = "1500ms"
[[offering]]
name = "step"
methods = ["/test.S/*"]
quoted_time = "500ms"
cut_off = "3s"
repeats = "reissuable"
[[offering]]
name = "note"
methods = ["/test.S/Note"]
quoted_time = "500ms"
cut_off = "3s"
repeats = "numbered"
group = "pod"
window = "1s"
[[offering]]
name = "call"
methods = ["/test.S/Once"]
quoted_time = "500ms"
cut_off = "3s"
repeats = "at-most-once"
[rpc]
key_metadata = "about"
key_field = "value"
[source]
kind = "files"
files = ["servers.toml"]
may_take_away = 1.0
[log]
level = "error"
`

// writeList replaces the list file atomically.
func writeList(t testing.TB, dir string, text []byte) {
	t.Helper()
	path := filepath.Join(dir, "servers.toml")
	if err := os.WriteFile(path+".tmp", text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".tmp", path); err != nil {
		t.Fatal(err)
	}
}

// dial writes a list of the members to a new directory, creates a Conn that follows the list, and returns both the Conn
// and the directory.
func dial(t testing.TB, issue int, members ...member) (*Conn, string) {
	t.Helper()
	dir := t.TempDir()
	writeList(t, dir, listText(issue, members...))
	return open(t, dir), dir
}

// open creates a Conn that follows the list in the directory, and waits until the Conn has read the list.
func open(t testing.TB, dir string, opts ...grpc.DialOption) *Conn {
	t.Helper()
	return openConfigured(t, dir, configuration, opts...)
}

// openConfigured is like open, with another configuration.
func openConfigured(t testing.TB, dir, configuration string, opts ...grpc.DialOption) *Conn {
	t.Helper()
	path := filepath.Join(dir, "pepperlead.toml")
	if err := os.WriteFile(path, []byte(configuration), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := New(path, opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	for i := 0; len(c.Servers()) == 0; i++ {
		if i > 1000 {
			t.Fatal("the Conn has no endpoint list")
		}
		time.Sleep(2 * time.Millisecond)
	}
	return c
}

func (s *server) member() member { return member{id: s.name, addr: s.addr} }

// invoke calls a method and returns the server's answer.
func invoke(c grpc.ClientConnInterface, ctx context.Context, method, text string, opts ...grpc.CallOption) (string, error) {
	var out wrapperspb.StringValue
	err := c.Invoke(ctx, "/test.S/"+method, wrapperspb.String(text), &out, opts...)
	return out.Value, err
}

func withID(id string) context.Context {
	return metadata.AppendToOutgoingContext(context.Background(), "id", id)
}
