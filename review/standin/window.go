package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["window"] = runWindow }

const (
	windowLength   = 2 * time.Second       // for so long the servers of a zone drop a repeat
	windowSlack    = 50 * time.Millisecond // PROTOCOL.md: each time limit is 50 ms longer on sockets
	longBody       = 10 << 20              // bytes; DAYS.md: bodies reach 32 MB
	slowBytesPerS  = 3_000_000             // of the one server that is slow
	clientPatience = 4.8                   // seconds: 80% of the cut-off
)

// scriptServer is a server of the zone. All servers of the zone share what they remember of numbered requests.
type scriptServer struct {
	name    string
	memory  *repeatMemory
	run     *caseRun
	slow    bool // it takes slowBytesPerS of a body
	resets  bool // the connection of its next long request is reset after it has run
	address string
}

// repeatMemory drops repeats of a numbered request for windowLength after it has run.
type repeatMemory struct {
	mu   sync.Mutex
	last map[string]time.Time   // latest run, by Idempotency-Key
	runs map[string][]time.Time // all runs
	came map[string][]time.Time // all whole requests
}

// handle runs a request with that key, or drops it as a repeat.
func (m *repeatMemory) handle(key string, now time.Time) (ran bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.came[key] = append(m.came[key], now)
	if last, known := m.last[key]; known && now.Sub(last) < windowLength {
		return false
	}
	m.last[key] = now
	m.runs[key] = append(m.runs[key], now)
	return true
}

func (s *scriptServer) listen() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
}

// serve handles the requests of a connection one after the other. A request runs when its last byte has come.
func (s *scriptServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	if s.slow {
		must(conn.SetReadBuffer(64 << 10))
	}
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id, key := request.Header.Get("X-Request-ID"), request.Header.Get("Idempotency-Key")
		long := request.ContentLength > 64<<10
		if long {
			s.run.note("server %s: request %s begins to come, %d bytes", s.name, id, request.ContentLength)
		}
		if !s.readBody(request) {
			s.run.note("server %s: request %s broke off before its end", s.name, id)
			return
		}
		ran := s.memory.handle(key, time.Now())
		s.run.note("server %s: request %s, key %s, has come whole; ran: %v", s.name, id, key, ran)
		if long && s.resets {
			s.resets = false
			s.run.note("server %s: the connection of request %s is reset", s.name, id)
			must(conn.SetLinger(0))
			return
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(s.name), s.name); err != nil {
			return
		}
	}
}

// readBody reads the body of a request and reports whether all of it has come.
func (s *scriptServer) readBody(request *http.Request) bool {
	buf := make([]byte, 64<<10)
	began := time.Now()
	total := 0
	for {
		n, err := request.Body.Read(buf)
		total += n
		if err != nil {
			return err.Error() == "EOF"
		}
		if s.slow {
			due := time.Duration(float64(total) / slowBytesPerS * float64(time.Second))
			time.Sleep(due - time.Since(began))
		}
	}
}

// runWindow sends a numbered request with a long body. Its first server runs it, and with the disruption the connection
// is reset then. The other server of the zone takes the body slowly.
func runWindow(c *caseRun) (held bool, why string) {
	memory := &repeatMemory{
		last: map[string]time.Time{}, runs: map[string][]time.Time{}, came: map[string][]time.Time{},
	}
	servers := []*scriptServer{{name: "s-1"}, {name: "s-2"}}
	list := catalog{Revision: 1, All: true}
	for _, s := range servers {
		s.memory, s.run = memory, c
		s.listen()
		list.Targets = append(list.Targets, ready(s.name, s.address, "oslo-nord", 1))
	}
	offerings := oslo()
	offerings[3].Window = windowLength.Seconds()
	listen := freeAddress()
	sidecar := c.startSidecar("n1", c.platformConfig("n1", listen, serveDiscovery(list), offerings, list))
	awaitHealthy(listen, sidecar)

	send := func(id, key, body string) (int, string) {
		c.note("client: sends %s, key %s, %d bytes", id, key, len(body))
		status, answer := ask(listen, http.MethodPost, "/book-oppfolging", body, map[string]string{
			"X-Request-ID": id, "X-Priority-Class": "book-oppfolging", "X-Tenant-Id": "nordkyst-salg",
			"X-Route-Key": "call-7", "Idempotency-Key": key, "X-Timeout": fmt.Sprint(clientPatience),
		})
		c.note("client: %s is answered %d %q", id, status, answer)
		return status, answer
	}
	// A short request with the same route key shows which server the key belongs to.
	status, home := send("r-1", "k-1", "first")
	if status != http.StatusOK {
		cannot("the short request was answered %d", status)
	}
	for _, s := range servers {
		s.slow = s.name != home
		s.resets = c.trouble && s.name == home
	}
	const key = "k-2"
	status, _ = send("r-2", key, strings.Repeat("x", longBody))
	time.Sleep(1500 * time.Millisecond) // anything still under way comes in

	memory.mu.Lock()
	defer memory.mu.Unlock()
	runs := memory.runs[key]
	c.copyLog(sidecar)
	if len(runs) == 0 {
		cannot("the long request never ran")
	}
	if !c.trouble && status != http.StatusOK {
		cannot("without the disruption the long request was answered %d", status)
	}
	last := memory.came[key][len(memory.came[key])-1].Sub(runs[0])
	if len(runs) == 1 {
		return true, fmt.Sprintf("held: the numbered request ran once; the last push came whole %v after the run", last)
	}
	if last <= windowLength+windowSlack {
		return true, fmt.Sprintf("held: the second push came %v after the run, within the window and its slack", last)
	}
	return false, fmt.Sprintf("broken: the numbered request, sent once by its client, ran %d times; "+
		"the last push came whole %v after the first run, and repeats are dropped for %v only",
		len(runs), last, windowLength)
}
