package httpproxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/connstate"
	"pepperlead/internal/discovery"
	"pepperlead/policy"
)

// here is an address of this run's own, so that runs side by side never meet on a port that one has just left.
var here = fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()>>14%64, os.Getpid()>>7%128, 1+os.Getpid()%128)

// lateCopyAfter is how long after an answer a stand-in endpoint sends it again, where it is asked to.
const lateCopyAfter = 10 * time.Millisecond

// standIn is an endpoint of the fleet that does as the path says, and writes down what it was sent.
type standIn struct {
	net.Listener
	mu    sync.Mutex
	seen  map[string]int // requests by id
	last  *http.Request
	conns int

	copies, overdue int // second answers, and those that came too late to be told apart
}

func newStandIn(t *testing.T) *standIn {
	t.Helper()
	l, err := net.Listen("tcp", here)
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{Listener: l, seen: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	t.Cleanup(func() { l.Close() })
	return s
}

func (s *standIn) count(id string) (seen, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[id], s.conns
}

func (s *standIn) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.seen[r.Header.Get("X-Request-ID")]++
		s.last = r
		s.mu.Unlock()
		whole := func(status, more string) {
			fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, more, len(body), body)
		}
		switch _, act, _ := strings.Cut(strings.Trim(r.URL.Path, "/"), "/"); act {
		case "echo":
			whole("200 OK", "X-Made-By: server\r\n")
		case "chunked":
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for i, b := range body {
				fmt.Fprintf(c, "1\r\n%c\r\n", b)
				if i%7 == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			fmt.Fprint(c, "0\r\n\r\n")
		case "close":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", body)
			return
		case "slow":
			time.Sleep(100 * time.Millisecond)
			whole("200 OK", "")
		case "error":
			whole("500 Oh", "")
		case "away":
			whole("503 Full", "X-Not-Processed: 1\r\n")
		case "reset":
			return
		case "half":
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			return
		case "icy": // the connection stays open
			fmt.Fprint(c, "ICY 200 OK\r\nContent-Le")
		case "huge":
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
			for n := 0; n < 64 && err == nil; n++ {
				_, err = c.Write(bytes.Repeat([]byte("x"), 1<<20))
			}
		case "declined":
			whole("422 Useless", "")
		case "copy":
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			io.WriteString(c, answer+answer)
		case "late": // a second copy that comes when the next request may have been written
			began := time.Now()
			whole("200 OK", "")
			time.Sleep(lateCopyAfter)
			whole("200 OK", "")
			s.mu.Lock()
			s.copies++
			if policy.Time(time.Since(began)) >= restTime {
				s.overdue++ // this process stood still: later than a connection rests
			}
			s.mu.Unlock()
		case "garbage":
			fmt.Fprint(c, "\x00\x01 what\r\n\r\n")
		case "silent":
			io.Copy(io.Discard, in)
			return
		}
	}
}

// agent is a stand-in for discovery; what it tells can be changed.
type agent struct {
	net.Listener
	mu    sync.Mutex
	rev   int
	told  string
	news  chan struct{}
	calls []string
	hasty bool // answers at once, also if there is nothing new
}

func newAgent(t *testing.T, told string) *agent {
	t.Helper()
	l, err := net.Listen("tcp", here)
	if err != nil {
		t.Fatal(err)
	}
	a := &agent{Listener: l, rev: 1, told: told, news: make(chan struct{})}
	server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		a.calls = append(a.calls, r.URL.String())
		known, news, hasty := fmt.Sprint(a.rev), a.news, a.hasty
		a.mu.Unlock()
		if !hasty && r.URL.Query().Get("from") == known {
			select {
			case <-news:
			case <-r.Context().Done():
				return
			}
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		fmt.Fprint(w, a.told)
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return a
}

func (a *agent) tell(told string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev++
	a.told = strings.Replace(told, "REV", fmt.Sprint(a.rev), 1)
	close(a.news)
	a.news = make(chan struct{})
}

// listOf names the endpoints at the addresses as a list of theirs; an address may be followed by a state.
func listOf(addrs ...string) string {
	var all []string
	for i, at := range addrs {
		at, standing, _ := strings.Cut(at, " ")
		if standing == "" {
			standing = "Ready"
		}
		all = append(all, fmt.Sprintf(`{"uid":"s-%d","endpoint":"%s","az":"a","pod_group":1,"state":"%s","boot_ms":0}`,
			i, at, standing))
	}
	return `{"rev":REV,"all":true,"targets":[` + strings.Join(all, ",") + `]}`
}

type running struct {
	*Proxy
	t    *testing.T
	addr string
	stop chan os.Signal
	new  chan Config
	done chan error
}

// run starts an instance before the endpoints named; whatever the test did, nothing may be held at its end.
func run(t *testing.T, change func(*Config), addrs ...string) (*running, *agent) {
	t.Helper()
	told := strings.Replace(listOf(addrs...), "REV", "1", 1)
	a := newAgent(t, told)
	free, err := net.Listen("tcp", here)
	if err != nil {
		t.Fatal(err)
	}
	free.Close()
	s := time.Second.Nanoseconds()
	post := Config{Listen: free.Addr().String(), Source: discovery.NewPlatform(a.Addr().String(), false), Seed: 5, Descriptors: 256, MessageMemory: 32 << 20,
		ConnectTimeout: policy.Time(s / 5), IdleTimeout: policy.Time(s * 60), ShutdownTime: policy.Time(s), AcceptTime: policy.Time(s / 20),
		SavedList: []byte(told), Settings: &policy.Settings{Instances: 1, Zone: "a", Zones: 1, MayCancel: true, MaxAttempts: 3,
			MaxRetryAfter: policy.Second, Tick: 5 * policy.Millisecond, ColdCapacity: 0.2, ColdTime: policy.Second, OverloadMultiple: 3,
			Classes: []policy.Class{{Name: "step", Value: 1, Target: policy.Second / 4},
				{Name: "note", Value: 1, Target: policy.Second / 4, Idempotency: policy.Keyed, Group: policy.GroupCell,
					Window: policy.Second},
				{Name: "once", Value: 1, Target: policy.Second / 4, Idempotency: policy.NonIdempotent}}}}
	if change != nil {
		change(&post)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &running{Proxy: New(post, log), t: t, addr: post.Listen, stop: make(chan os.Signal, 1),
		new: make(chan Config), done: make(chan error, 1)}
	go func() { r.done <- r.Run(r.stop, r.new) }()
	for i := 0; ; i++ {
		if c, err := net.Dial("tcp", r.addr); err == nil {
			c.Close()
			break
		}
		if i > 500 {
			t.Fatal("does not listen")
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Cleanup(r.end)
	return r, a
}

func (r *running) end() {
	select {
	case r.stop <- syscall.SIGTERM:
	default:
	}
	select {
	case err := <-r.done:
		if err != nil {
			r.t.Error(err)
		}
	case <-time.After(3 * time.Second):
		where := make([]byte, 1<<20)
		r.t.Fatalf("does not end:\n%s", where[:runtime.Stack(where, true)])
	}
	r.done <- nil
	if r.InFlight != 0 || r.Timers.Len() != 0 || r.buffers.Lent() != 0 || len(r.conns.Open) != 0 ||
		r.conns.Count(connstate.ClientSide) != 0 || r.conns.Count(connstate.EndpointSide) != 0 {
		r.t.Errorf("held at the end: %s", r.Report())
	}
}

// client is one connection of an application.
type client struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func (r *running) client() *client {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return &client{c, r.t, bufio.NewReader(c)}
}

var serial int

// send asks for a class to be treated in some way, and gives the request's id.
func (c *client) send(path, body, more string) string {
	serial++
	id := fmt.Sprint("id-", serial)
	offering, _, _ := strings.Cut(path, "/")
	fmt.Fprintf(c, "POST /%s?q=1 HTTP/1.1\r\nHost: o\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: 1.0\r\n"+
		"Idempotency-Key: k-%s\r\n%sContent-Length: %d\r\n\r\n%s", path, id, offering, id, more, len(body), body)
	return id
}

func (c *client) receive() (*http.Response, string) {
	c.t.Helper()
	answer, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return answer, string(body)
}
