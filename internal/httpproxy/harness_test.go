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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/connstate"
	"pepperlead/internal/discovery"
	"pepperlead/policy"
)

// loopbackAddr is a loopback address derived from the process id, so that parallel test processes never reuse a port that another one
// has just released.
var loopbackAddr = fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()>>14%64, os.Getpid()>>7%128, 1+os.Getpid()%128)

// lateDuplicateDelay is how long after a response a fake endpoint sends it again if the path of the request ends in "late".
const lateDuplicateDelay = 10 * time.Millisecond

// fakeEndpoint is an endpoint that counts its requests. The last part of a request's path selects one of the behaviours in serve.
type fakeEndpoint struct {
	net.Listener
	mu    sync.Mutex
	seen  map[string]int // number of requests by request ID
	last  *http.Request
	conns int

	duplicates, tooLate int // late duplicate responses, and those of them sent too late to be detected
}

func newFakeEndpoint(t *testing.T) *fakeEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeEndpoint{Listener: l, seen: map[string]int{}}
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

// count returns how many requests with this request ID the endpoint has received, and how many connections in all.
func (s *fakeEndpoint) count(id string) (seen, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[id], s.conns
}

// serve answers the requests of one connection, each according to its path.
func (s *fakeEndpoint) serve(c net.Conn) {
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
		respond := func(status, headers string) {
			fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
		}
		switch _, behaviour, _ := strings.Cut(strings.Trim(r.URL.Path, "/"), "/"); behaviour {
		case "echo":
			respond("200 OK", "X-Made-By: server\r\n")
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
			respond("200 OK", "")
		case "error":
			respond("500 Oh", "")
		case "away": // rejected without being processed
			respond("503 Full", "X-Not-Processed: 1\r\n")
		case "reset":
			return
		case "half": // a truncated response
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			return
		case "icy": // not HTTP, and the connection stays open
			fmt.Fprint(c, "ICY 200 OK\r\nContent-Le")
		case "huge":
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
			for n := 0; n < 64 && err == nil; n++ {
				_, err = c.Write(bytes.Repeat([]byte("x"), 1<<20))
			}
		case "declined":
			respond("422 Useless", "")
		case "copy": // an immediate duplicate
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			io.WriteString(c, response+response)
		case "late": // a duplicate that arrives when the next request may already have been written
			began := time.Now()
			respond("200 OK", "")
			time.Sleep(lateDuplicateDelay)
			respond("200 OK", "")
			s.mu.Lock()
			s.duplicates++
			if policy.Time(time.Since(began)) >= reuseDelay {
				s.tooLate++ // the machine delayed this process for longer than a connection must be idle before reuse
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

// fakeDiscovery is a discovery service whose list can be changed.
type fakeDiscovery struct {
	net.Listener
	mu      sync.Mutex
	rev     int
	list    string
	changed chan struct{}
	calls   []string
	noWait  bool // the service answers at once even if the list has not changed
}

func newFakeDiscovery(t *testing.T, list string) *fakeDiscovery {
	t.Helper()
	l, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		t.Fatal(err)
	}
	d := &fakeDiscovery{Listener: l, rev: 1, list: list, changed: make(chan struct{})}
	server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.calls = append(d.calls, r.URL.String())
		revision, changed, noWait := fmt.Sprint(d.rev), d.changed, d.noWait
		d.mu.Unlock()
		if !noWait && r.URL.Query().Get("from") == revision {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		fmt.Fprint(w, d.list)
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return d
}

// setList replaces the list under a new revision and wakes the watchers.
func (d *fakeDiscovery) setList(list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	d.list = strings.Replace(list, "REV", fmt.Sprint(d.rev), 1)
	close(d.changed)
	d.changed = make(chan struct{})
}

// listOf returns a list of endpoints at these addresses, each optionally followed by a space and a state.
func listOf(addrs ...string) string {
	var all []string
	for i, entry := range addrs {
		addr, state, _ := strings.Cut(entry, " ")
		if state == "" {
			state = "Ready"
		}
		all = append(all, fmt.Sprintf(`{"uid":"s-%d","endpoint":"%s","az":"a","pod_group":1,"state":"%s","boot_ms":0}`,
			i, addr, state))
	}
	return `{"rev":REV,"all":true,"targets":[` + strings.Join(all, ",") + `]}`
}

// runningProxy is a running proxy, its address, and the channels that control it.
type runningProxy struct {
	*Proxy
	t       *testing.T
	addr    string
	stop    chan os.Signal
	configs chan Config
	done    chan error
}

// startProxy starts an instance with these endpoints. At the end of the test it stops the instance and checks that no request, timer,
// buffer or connection remains.
func startProxy(t *testing.T, change func(*Config), addrs ...string) (*runningProxy, *fakeDiscovery) {
	t.Helper()
	list := strings.Replace(listOf(addrs...), "REV", "1", 1)
	service := newFakeDiscovery(t, list)
	free, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		t.Fatal(err)
	}
	free.Close()
	s := time.Second.Nanoseconds()
	config := Config{Listen: free.Addr().String(), Source: discovery.NewPlatform(service.Addr().String(), false), Seed: 5, Descriptors: 256, MessageMemory: 32 << 20,
		ConnectTimeout: policy.Time(s / 5), IdleTimeout: policy.Time(s * 60), ShutdownTime: policy.Time(s), AcceptTime: policy.Time(s / 20),
		SavedList: []byte(list), Settings: &policy.Settings{Instances: 1, Zone: "a", Zones: 1, MayCancel: true, MaxAttempts: 3,
			MaxRetryAfter: policy.Second, Tick: 5 * policy.Millisecond, ColdCapacity: 0.2, ColdTime: policy.Second, OverloadMultiple: 3,
			Classes: []policy.Class{{Name: "step", Value: 1, Target: policy.Second / 4},
				{Name: "note", Value: 1, Target: policy.Second / 4, Idempotency: policy.Keyed, Group: policy.GroupCell,
					Window: policy.Second},
				{Name: "once", Value: 1, Target: policy.Second / 4, Idempotency: policy.NonIdempotent}}}}
	if change != nil {
		change(&config)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &runningProxy{Proxy: New(config, log), t: t, addr: config.Listen, stop: make(chan os.Signal, 1),
		configs: make(chan Config), done: make(chan error, 1)}
	go func() { r.done <- r.Run(r.stop, r.configs) }()
	for i := 0; ; i++ {
		if c, err := net.Dial("tcp", r.addr); err == nil {
			c.Close()
			break
		}
		if i > 500 {
			t.Fatal("the instance does not accept connections")
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Cleanup(r.shutdown)
	return r, service
}

// shutdown stops the instance and checks that it has released all resources. It may be called more than once.
func (r *runningProxy) shutdown() {
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
		stacks := make([]byte, 1<<20)
		r.t.Fatalf("the instance does not stop:\n%s", stacks[:runtime.Stack(stacks, true)])
	}
	r.done <- nil
	if r.InFlight != 0 || r.Timers.Len() != 0 || r.buffers.InUse() != 0 || len(r.conns.Open) != 0 ||
		r.conns.Count(connstate.ClientSide) != 0 || r.conns.Count(connstate.EndpointSide) != 0 {
		r.t.Errorf("some requests, timers, buffers or connections were not released: %s", r.Report())
	}
}

// testClient is a client connection.
type testClient struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

// client opens a client connection to the instance.
func (r *runningProxy) client() *testClient {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	return &testClient{c, r.t, bufio.NewReader(c)}
}

var lastNumber atomic.Int64

// nextNumber returns a number for the id of a request that no other request has.
func nextNumber() int64 { return lastNumber.Add(1) }

// send sends a request with this path, body and further header lines, and returns its id.
func (c *testClient) send(path, body, headers string) string {
	id := fmt.Sprint("id-", nextNumber())
	class, _, _ := strings.Cut(path, "/")
	fmt.Fprintf(c, "POST /%s?q=1 HTTP/1.1\r\nHost: o\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: 1.0\r\n"+
		"Idempotency-Key: k-%s\r\n%sContent-Length: %d\r\n\r\n%s", path, id, class, id, headers, len(body), body)
	return id
}

// receive reads a response with its body.
func (c *testClient) receive() (*http.Response, string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return response, string(body)
}
