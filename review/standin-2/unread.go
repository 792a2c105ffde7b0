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

// Figures of the pages.
const (
	notatWindow  = 2500 * time.Millisecond // one pod drops a repeated lagre-notat for 2.5 s
	notatBody    = 300_000                 // bodies reach 32 MB
	slowestRate  = 64_000                  // bytes a second
	notatTimeout = 3200 * time.Millisecond // 80% of the cut-off of 4 s
	readBuffer   = 208 << 10               // a fixed buffer, of the size that Linux allows by default
)

// noteServer is an endpoint of one pod that takes bodies as they come, or slowly.
type noteServer struct {
	s       *scene
	uid     string
	address string
	pod     *notePod

	mu     sync.Mutex
	slow   bool // it reads slowestRate bytes a second
	resets bool // the connection of its next long request is reset after the work
}

// notePod is what the endpoints of the pod remember.
type notePod struct {
	s    *scene
	mu   sync.Mutex
	last map[string]time.Time
	runs map[string][]time.Time
}

// run runs a request whose last byte has come, or drops it as a repeat.
func (p *notePod) run(uid, key string) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, known := p.last[key]; known && now.Sub(at) < notatWindow {
		p.s.logf("endpoint %s: key %s has come whole %dms after its run, dropped as a repeat", uid, key,
			now.Sub(at).Milliseconds())
		return
	}
	p.last[key] = now
	p.runs[key] = append(p.runs[key], now)
	p.s.logf("endpoint %s: key %s has come whole and runs", uid, key)
}

func startNoteServer(s *scene, uid string, pod *notePod) *noteServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	n := &noteServer{s: s, uid: uid, address: l.Addr().String(), pod: pod}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(conn.(*net.TCPConn))
		}
	}()
	return n
}

func (n *noteServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	must(conn.SetReadBuffer(readBuffer))
	in := bufio.NewReaderSize(conn, 4<<10)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id, key := request.Header.Get("X-Request-ID"), request.Header.Get("Idempotency-Key")
		long := request.ContentLength > 64<<10
		n.mu.Lock()
		slow, resets := n.slow && long, n.resets && long
		n.resets = n.resets && !resets
		n.mu.Unlock()
		n.s.logf("endpoint %s: %s begins to come, %d bytes", n.uid, id, request.ContentLength)
		began, total := time.Now(), 0
		part := make([]byte, 4<<10)
		for err == nil {
			var m int
			m, err = request.Body.Read(part)
			total += m
			if slow {
				time.Sleep(time.Until(began.Add(time.Duration(total) * time.Second / slowestRate)))
			}
		}
		if int64(total) < request.ContentLength {
			n.s.logf("endpoint %s: %s broke off after %d bytes", n.uid, id, total)
			return
		}
		n.pod.run(n.uid, key)
		if resets {
			n.s.logf("endpoint %s: the connection of %s is reset", n.uid, id)
			_ = conn.SetLinger(0)
			return
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(n.uid), n.uid); err != nil {
			return
		}
	}
}

// heldUnread: a numbered request runs and its connection is reset; the endpoint that gets its repeat reads slowly.
func heldUnread(s *scene) {
	pod := &notePod{s: s, last: map[string]time.Time{}, runs: map[string][]time.Time{}}
	servers := []*noteServer{startNoteServer(s, "s-1", pod), startNoteServer(s, "s-2", pod)}
	var targets []target
	for _, n := range servers {
		targets = append(targets, target{UID: n.uid, Endpoint: n.address, Zone: "oslo-nord", Model: "standard", Pod: 1,
			State: "Ready", Weight: 1})
	}
	a := startAgent(s, targets)
	listen := freeAddress()
	config := s.writeConfig("n3", listen, a.address, a.snapshot())
	s.startSidecar("sidecar", "", []string{"GW_NAME=n3", "GW_LISTEN=" + listen, "GW_DISCOVERY=" + a.address,
		"GW_CONFIG=" + config, "TMPDIR=" + s.dir}, nil)
	if !waitHealthy(listen, 10*time.Second) {
		s.unable("the sidecar is not ready")
	}
	send := func(id, key, body string) (status int, answer string) {
		conn, err := net.DialTimeout("tcp", listen, time.Second)
		if err != nil {
			s.unable("%v", err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(notatTimeout + time.Second))
		fmt.Fprintf(conn, "POST /lagre-notat HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: lagre-notat\r\n"+
			"X-Tenant-Id: nordkyst-salg\r\nX-Route-Key: call-7\r\nIdempotency-Key: %s\r\nX-Timeout: %.3f\r\n"+
			"Content-Length: %d\r\n\r\n%s", id, key, notatTimeout.Seconds(), len(body), body)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			status = response.StatusCode
			text := make([]byte, 100)
			m, _ := response.Body.Read(text)
			answer = string(text[:m])
		}
		s.logf("client: %s, key %s, %d bytes: status %d, %q, error %v", id, key, len(body), status, answer, err)
		return status, answer
	}
	twice, tried, latest := 0, 0, time.Duration(0)
	for round := range 5 {
		// A short request with the same route key shows which endpoint the key belongs to.
		status, home := send(newID(), fmt.Sprint("short-", round), "first")
		if status != http.StatusOK {
			s.unable("the short request was answered %d", status)
		}
		for _, n := range servers {
			n.mu.Lock()
			n.slow = n.uid != home
			n.resets = s.trouble && n.uid == home
			n.mu.Unlock()
		}
		key := fmt.Sprint("note-", round)
		send(newID(), key, strings.Repeat("x", notatBody))
		time.Sleep(6 * time.Second) // what is still under way comes in; a set-aside endpoint is used again
		pod.mu.Lock()
		runs := append([]time.Time{}, pod.runs[key]...)
		pod.mu.Unlock()
		if len(runs) == 0 {
			continue
		}
		tried++
		if len(runs) > 1 && runs[1].Sub(runs[0]) > notatWindow+socketSlack {
			twice++
			latest = max(latest, runs[1].Sub(runs[0]))
		}
	}
	s.say("%d numbered requests of %d bytes ran, each sent once by its client; %d of them ran twice, the second time up to %dms "+
		"after the first", tried, notatBody, twice, latest.Milliseconds())
	if tried < 3 {
		s.unable("too few requests ran")
	}
	if twice > 0 {
		s.say("BROKEN: no effect happens twice")
		s.end(exitBroken)
	}
	s.say("held")
	s.end(exitHeld)
}
