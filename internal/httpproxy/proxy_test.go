package httpproxy

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/quick"
	"time"

	"pepperlead/internal/connstate"
	"pepperlead/internal/discovery"
	"pepperlead/internal/engine"
	"pepperlead/internal/epoll"
	"pepperlead/policy"
)

func TestBadRequestsAreAnsweredAndClosed(t *testing.T) {
	endpoint := newFakeEndpoint(t)
	r, _ := startProxy(t, nil, endpoint.Addr().String())
	for in, want := range map[string]int{
		"GET /step/echo HTTP/1.1\r\nHost: o\r\nX-Timeout: 1\r\n\r\n":                                      400, // no request ID
		"GET /step/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: a\r\n\r\n":                                   400, // no timeout
		"GET /step/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: a\r\nX-Timeout: soon\r\n\r\n":                400,
		"GET /step/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: a\r\nX-Timeout: -1\r\n\r\n":                  400,
		"POST /note/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: a\r\nX-Timeout: 1\r\n\r\n":                  400, // no idempotency key
		"TRACE /step/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: a\r\nX-Timeout: 1\r\n\r\n":                 400,
		"GET /other/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: a\r\nX-Timeout: 1\r\n\r\n":                  404,
		"GET / HTTP/1.1\r\nHost: o\r\nX-Request-ID: a\r\nX-Timeout: 1\r\n\r\n":                            404,
		"GET /? HTTP/1.1\r\nHost: o\r\nX-Request-ID: a\r\nX-Timeout: 1\r\n\r\n":                           404,
		"GET /_what HTTP/1.1\r\nHost: o\r\n\r\n":                                                          404,
		"POST /step HTTP/1.1\r\nHost: o\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("b", 70000):    400, // no request ID
		"POST /step HTTP/1.1\r\nHost: o\r\nContent-Length: 70000000\r\n\r\n" + strings.Repeat("b", 70000): 413,
		"GET /step HTTP/1.1\r\nHost: o\r\nX-A: " + strings.Repeat("b", 300<<10) + "\r\n\r\n":              431,
		strings.Repeat("\x00", 9000): 400,
	} {
		c := r.client()
		io.WriteString(c, in)
		if answer, _ := c.receive(); answer.StatusCode != want || !answer.Close {
			t.Errorf("%.60q: got status %d, want %d and Connection: close", in, answer.StatusCode, want)
		}
		if _, err := c.in.ReadByte(); err == nil {
			t.Errorf("%.60q: the connection was not closed after the response", in)
		}
	}
	if _, conns := endpoint.count(""); conns != 0 {
		t.Error("a malformed request was forwarded")
	}
}

func TestLocalPaths(t *testing.T) {
	r, service := startProxy(t, func(p *Config) { p.SavedList = nil }, newFakeEndpoint(t).Addr().String())
	ready := func() int {
		c := r.client()
		io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: o\r\n\r\n")
		answer, _ := c.receive()
		return answer.StatusCode
	}
	for i := 0; ready() != 200; i++ {
		if i > 100 {
			t.Fatal("/_health does not answer 200")
		}
		time.Sleep(5 * time.Millisecond)
	}
	c := r.client()
	io.WriteString(c, "GET /_servers HTTP/1.1\r\nHost: o\r\n\r\n")
	if _, body := c.receive(); !strings.HasPrefix(body, "s-0 id ") || !strings.HasSuffix(body, " in a ready, 0 connections idle\n") {
		t.Errorf("/_servers: got %q", body)
	}
	io.WriteString(c, "GET /_counters HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n")
	if answer, body := c.receive(); answer.StatusCode != 200 || !strings.Contains(body, "\nlists 1\n") || !answer.Close {
		t.Errorf("/_counters: got status %d, %q", answer.StatusCode, body)
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	if len(service.calls) < 2 || service.calls[0] != "/catalog/members" || service.calls[1] != "/catalog/members?from=1&hold_ms=20000" {
		t.Errorf("the discovery service received the requests %v", service.calls)
	}
}

func TestListChangesAreApplied(t *testing.T) {
	old, new := newFakeEndpoint(t), newFakeEndpoint(t)
	r, service := startProxy(t, nil, old.Addr().String())
	requestsToOld := func() (count int) {
		c := r.client()
		id := c.send("step/echo", "b", "")
		if answer, _ := c.receive(); answer.StatusCode != 200 {
			t.Errorf("got status %d, want 200", answer.StatusCode)
		}
		count, _ = old.count(id)
		return count
	}
	for range 3 {
		requestsToOld()
	}
	for _, broken := range []string{"{", `{"rev":9,"all":true,"targets":[{"uid":"x"}]}`, "", strings.Repeat("[", 1000)} {
		service.setList(broken)
		time.Sleep(20 * time.Millisecond)
		if requestsToOld() != 1 {
			t.Errorf("the list %.20q was applied", broken)
		}
	}
	service.setList(listOf(old.Addr().String()+" Terminating", new.Addr().String()))
	for i := 0; requestsToOld() != 0; i++ {
		if i > 500 {
			t.Fatal("the list in which the old endpoint drains was not applied")
		}
		time.Sleep(5 * time.Millisecond)
	}
	for range 10 {
		if requestsToOld() != 0 {
			t.Error("a draining endpoint got a request")
		}
	}
}

// A discovery service that answers at once, without a change, must not be polled in a busy loop.
func TestUnchangedListIsNotPolledWithoutPause(t *testing.T) {
	_, service := startProxy(t, nil, newFakeEndpoint(t).Addr().String())
	service.mu.Lock()
	service.noWait = true
	service.mu.Unlock()
	service.setList(strings.Replace(service.list, `"rev":1`, `"rev":REV`, 1))
	time.Sleep(300 * time.Millisecond)
	service.mu.Lock()
	defer service.mu.Unlock()
	if n := len(service.calls); n < 4 || n > 12 {
		t.Errorf("the discovery service received %d requests, want 4 to 12", n)
	}
}

// A new configuration switches to another discovery service. Requests in flight are answered, and client connections stay open.
func TestNewConfigurationUnderLoad(t *testing.T) {
	old, new := newFakeEndpoint(t), newFakeEndpoint(t)
	r, first := startProxy(t, nil, old.Addr().String())
	second := newFakeDiscovery(t, strings.Replace(listOf(old.Addr().String()+" Terminating", new.Addr().String()), "REV", "1", 1))
	slow, kept := r.client(), r.client()
	kept.send("step/echo", "a", "")
	kept.receive()
	slow.send("once/slow", "b", "")
	time.Sleep(20 * time.Millisecond)
	config := r.config
	config.Source = discovery.NewPlatform(second.Addr().String(), false)
	r.configs <- config
	first.Close()
	if answer, got := slow.receive(); answer.StatusCode != 200 || got != "b" || answer.Close {
		t.Errorf("request in flight: got status %d, %q, connection closes: %v", answer.StatusCode, got, answer.Close)
	}
	for i := 0; ; i++ {
		id := kept.send("step/echo", "c", "")
		if answer, _ := kept.receive(); answer.StatusCode != 200 {
			t.Errorf("got status %d, want 200", answer.StatusCode)
		}
		if n, _ := new.count(id); n > 0 {
			break
		}
		if i > 500 {
			t.Fatal("the list of the new discovery service is not applied")
		}
		time.Sleep(5 * time.Millisecond)
	}
	config.Settings = &policy.Settings{Classes: []policy.Class{{Name: "other"}}}
	r.configs <- config // the module's classes cannot change while it runs
	kept.send("step/echo", "d", "")
	if answer, _ := kept.receive(); answer.StatusCode != 200 {
		t.Errorf("after settings with other classes: got status %d, want 200", answer.StatusCode)
	}
	changed := *r.config.Settings
	changed.MaxRetryAfter = 2 * policy.Second
	config.Settings = &changed
	r.configs <- config
	kept.send("step/away", "e", "")
	if answer, _ := kept.receive(); answer.StatusCode != 503 {
		t.Errorf("request rejected by the endpoint: got status %d, want 503", answer.StatusCode)
	}
	second.mu.Lock()
	if len(second.calls) < 2 || second.calls[0] != "/catalog/members" {
		t.Errorf("the new discovery service received the requests %v", second.calls)
	}
	second.mu.Unlock()
	r.shutdown()
	if r.Counters.Reconfigurations != 3 || r.config.Settings.MaxRetryAfter != 2*policy.Second {
		t.Errorf("got %d reconfigurations and a MaxRetryAfter of %d", r.Counters.Reconfigurations, r.config.Settings.MaxRetryAfter)
	}
}

// During a shutdown new clients are accepted for a while, each response closes its connection, and requests that remain at the end fail.
func TestShutdown(t *testing.T) {
	endpoint := newFakeEndpoint(t)
	r, _ := startProxy(t, func(p *Config) { p.AcceptTime, p.ShutdownTime = 200*policy.Millisecond, 600*policy.Millisecond }, endpoint.Addr().String())
	idle, slow, silent := r.client(), r.client(), r.client()
	idle.send("step/echo", "b", "")
	idle.receive()
	slow.send("step/slow", "b", "")
	silent.send("once/silent", "b", "")
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	r.stop <- syscall.SIGTERM
	if answer, got := slow.receive(); answer.StatusCode != 200 || got != "b" || !answer.Close {
		t.Errorf("request in flight: got status %d, connection closes: %v", answer.StatusCode, answer.Close)
	}
	late := r.client()
	late.send("step/echo", "b", "")
	if answer, _ := late.receive(); answer.StatusCode != 200 || !answer.Close {
		t.Errorf("new client during the shutdown: got status %d, connection closes: %v", answer.StatusCode, answer.Close)
	}
	idle.send("step/echo", "b", "")
	if answer, _ := idle.receive(); answer.StatusCode != 200 || !answer.Close {
		t.Errorf("request on an idle connection: got status %d, connection closes: %v", answer.StatusCode, answer.Close)
	}
	if answer, _ := silent.receive(); answer.StatusCode != 502 || time.Since(began) > 650*time.Millisecond {
		t.Errorf("request to a silent endpoint: got status %d after %v", answer.StatusCode, time.Since(began))
	}
	r.shutdown()
	if took := time.Since(began); took > 900*time.Millisecond {
		t.Errorf("the shutdown took %v", took)
	}
}

// Guards against a sound response that is cut off by a shutdown: a long one that goes on after the time limit arrives whole, at a client
// that reads at once and at one that reads slowly.
func TestShutdownLetsLongResponsesEnd(t *testing.T) {
	const parts, part = 8, 50 << 10
	addr, _ := scriptedEndpoint(t, func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", parts*part)
		for range parts {
			io.WriteString(c, strings.Repeat("x", part))
			time.Sleep(200 * time.Millisecond)
		}
		return true
	})
	r, _ := startProxy(t, func(p *Config) { p.AcceptTime, p.ShutdownTime = 100*policy.Millisecond, 500*policy.Millisecond }, addr)
	clients := []*testClient{r.client(), r.client()}
	for _, c := range clients {
		c.send("step/x", "", "")
	}
	idle := r.client()
	time.Sleep(50 * time.Millisecond)
	r.stop <- syscall.SIGTERM
	time.Sleep(600 * time.Millisecond)
	idle.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("an idle client was not disconnected: %v", err)
	}
	for i, c := range clients {
		if i == 1 {
			time.Sleep(500 * time.Millisecond)
		}
		if answer, body := c.receive(); answer.StatusCode != 200 || len(body) != parts*part {
			t.Errorf("client %d: got status %d and %d bytes, want all %d", i, answer.StatusCode, len(body), parts*part)
		}
	}
	r.shutdown()
}

// recordingSocket is a socket whose writes all succeed. It records the bytes of the last write.
type recordingSocket struct {
	conn     *connstate.Conn
	last     []byte
	input    []byte // bytes that have arrived and are not read
	hasInput bool   // unexpected bytes have arrived
}

func (k *recordingSocket) Read(b []byte) (int, error) {
	if len(k.input) == 0 {
		return 0, connstate.ErrNoInput
	}
	n := copy(b, k.input)
	k.input = k.input[n:]
	return n, nil
}

func (k *recordingSocket) Write(b []byte) error {
	k.last = append(k.last[:0], b...)
	k.conn.Output.Written += int64(len(b))
	return nil
}
func (k *recordingSocket) Flush() error           { return nil }
func (k *recordingSocket) Close()                 {}
func (k *recordingSocket) DiscardInput()          {}
func (k *recordingSocket) Reset()                 {}
func (k *recordingSocket) ReadAhead([]byte) error { return connstate.ErrNoInput }
func (k *recordingSocket) Ahead() int             { return 0 }
func (k *recordingSocket) Unread() int            { return 0 }
func (k *recordingSocket) Unacknowledged() int    { return 0 }
func (k *recordingSocket) PeerWindow() int        { return 0 }
func (k *recordingSocket) InputAge() policy.Time  { return 0 }
func (k *recordingSocket) Idle() bool             { return !k.hasInput && len(k.input) == 0 }

// newStoppedProxy returns an instance that has one endpoint and does not run, and a function that adds a connection without a real
// socket.
func newStoppedProxy(t *testing.T) (*Proxy, func(side connstate.Side) (*connstate.Conn, *recordingSocket)) {
	t.Helper()
	r, _ := startProxy(t, nil, "127.0.0.1:1")
	r.shutdown()
	return r.stoppedCopy()
}

// stoppedCopy returns another instance with this configuration that does not run, and a function that adds a connection without a real
// socket.
func (r *runningProxy) stoppedCopy() (*Proxy, func(side connstate.Side) (*connstate.Conn, *recordingSocket)) {
	r.t.Helper()
	s := New(r.config, r.Logger)
	s.sockets.connect = func(string, policy.Time) (net.Conn, error) { return nil, net.ErrClosed }
	_, _, entries, err := discovery.DecodeList(s.config.SavedList)
	if err != nil {
		r.t.Fatal(err)
	}
	s.ApplyList(1, &discovery.List{Kind: policy.ListSaved, Entries: entries})
	return s, func(side connstate.Side) (*connstate.Conn, *recordingSocket) {
		c := &connstate.Conn{Side: side, Connected: true, Timer: engine.Timer{Run: func(policy.Time) {}}}
		k := &recordingSocket{conn: c}
		c.Socket = k
		s.conns.Add(c)
		return c, k
	}
}

func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	s, connect := newStoppedProxy(t)
	client, responses := connect(connstate.ClientSide)
	endpointConn, attempts := connect(connstate.EndpointSide)
	for _, one := range s.Endpoints {
		endpointConn.Endpoint = s.endpointConns(one)
		s.returnIdle(1, endpointConn)
	}
	request := []byte("GET /step/a HTTP/1.1\r\nHost: o\r\nX-Request-ID: 1\r\nX-Route-Key: k\r\nX-Timeout: 1\r\n\r\n")
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	now := s.Clock.Now()
	once := func() {
		now += reuseDelay + 5*policy.Millisecond
		buf := s.buffers.Get(connstate.SmallBuffer)
		buf.B = append(buf.B, request...)
		client.Input.Buffer = s.buffers.Join(client.Input.Buffer, buf)
		client.Input.ArrivedAt = now
		s.readRequests(now, client)
		s.Round(now)
		buf = s.buffers.Get(connstate.SmallBuffer)
		buf.B = append(buf.B, answer...)
		endpointConn.Input.Buffer = s.buffers.Join(endpointConn.Input.Buffer, buf)
		s.readResponse(now+policy.Millisecond, now+policy.Millisecond, endpointConn)
		s.Round(now + policy.Millisecond)
	}
	for range 500 {
		once()
	}
	if n := testing.AllocsPerRun(200, once); n > 0 {
		t.Errorf("%v allocations per request, want none", n)
	}
	if !bytes.HasSuffix(responses.last, []byte("\r\n\r\nok")) || !bytes.HasPrefix(attempts.last, []byte("GET /step/a ")) ||
		s.Counters.Succeeded < 700 {
		t.Errorf("last response %q, last attempt %q, counters %s", responses.last, attempts.last, s.report())
	}
}

// A connection with unexpected input, or one whose last response arrived less than reuseDelay ago, is not used for the next attempt.
func TestOnlyReusableConnectionsCarryAttempts(t *testing.T) {
	s, connect := newStoppedProxy(t)
	client, _ := connect(connstate.ClientSide)
	now := s.Clock.Now()
	var idle []*recordingSocket
	var all []*connstate.Conn
	for i := range 4 {
		c, k := connect(connstate.EndpointSide)
		for _, one := range s.Endpoints {
			c.Endpoint, c.Used = s.endpointConns(one), true
		}
		s.returnIdle(now+policy.Time(i)*policy.Millisecond, c)
		idle, all = append(idle, k), append(all, c)
	}
	idle[2].hasInput = true
	buf := s.buffers.Get(connstate.SmallBuffer)
	buf.B = append(buf.B, "GET /step/a HTTP/1.1\r\nHost: o\r\nX-Request-ID: 1\r\nX-Timeout: 1\r\n\r\n"...)
	client.Input.Buffer, client.Input.ArrivedAt = buf, now+2*policy.Millisecond+reuseDelay
	now += 2*policy.Millisecond + reuseDelay // too early to reuse the last connection; the one before it has input
	s.readRequests(now, client)
	s.Round(now)
	if len(idle[1].last) == 0 || len(idle[0].last)+len(idle[2].last)+len(idle[3].last) > 0 || !all[2].Closing || all[3].Closing {
		t.Errorf("the connections carried %q, %q, %q, %q; want a request on the second only", idle[0].last, idle[1].last, idle[2].last, idle[3].last)
	}
}

// Whatever bytes clients, endpoints and the discovery service send, the process keeps running and releases all resources.
func TestMalformedInputIsSurvived(t *testing.T) {
	s, connect := newStoppedProxy(t)
	texts := []string{"GET /step/a HTTP/1.1\r\nHost: o\r\nX-Request-ID: 1\r\nX-Route-Key: k\r\nX-Timeout: 1\r\n\r\n",
		"POST /note HTTP/1.1\r\nHost: o\r\nX-Request-ID: 1\r\nIdempotency-Key: 2\r\nX-Timeout: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n", "GET /_health HTTP/1.1\r\nHost: o\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		strings.Replace(listOf("127.0.0.1:1", "127.0.0.1:2 Terminating"), "REV", "7", 1)}
	now := s.Clock.Now()
	feed := func(seed int64) bool {
		rnd := rand.New(rand.NewSource(seed))
		client, _ := connect(connstate.ClientSide)
		endpointConn, _ := connect(connstate.EndpointSide)
		client.Timer.Run = func(now policy.Time) { s.clientTimerDue(now, client) }
		for _, one := range s.Endpoints {
			endpointConn.Endpoint, endpointConn.Generation = s.endpointConns(one), one.Generation
			s.returnIdle(now, endpointConn)
			break
		}
		for range 6 {
			now += policy.Time(rnd.Intn(int(policy.Second / 4)))
			in := []byte(texts[rnd.Intn(len(texts))])
			for range rnd.Intn(4) {
				switch i := rnd.Intn(len(in)); rnd.Intn(3) {
				case 0:
					in[i] = byte(rnd.Intn(256))
				case 1:
					in = append(in[:i:i], in[rnd.Intn(len(in)):]...)
				default:
					in = append(in, in[:i]...)
				}
				if len(in) == 0 {
					in = []byte{0}
				}
			}
			if _, full, entries, err := discovery.DecodeList(in); err == nil {
				kind := policy.ListChanges
				if full {
					kind = policy.ListFull
				}
				s.ApplyList(now, &discovery.List{Kind: kind, Entries: entries})
			}
			c := []*connstate.Conn{client, endpointConn}[rnd.Intn(2)]
			c.Socket.(*recordingSocket).input = in
			s.socketReady(now, now, c, epoll.Readable)
			s.ReportEndedAttempts(now)
			s.Round(now)
		}
		for _, c := range []*connstate.Conn{client, endpointConn} {
			s.closeConn(c, connstate.PeerClosed)
			s.ReportEndedAttempts(now)
			s.Round(now)
		}
		now += 2 * policy.Second
		for i := 0; i < 1000 && (i < 2 || len(s.conns.Open) > 0); i++ { // until the pending dials have failed
			s.Round(now)
			if i > 2 {
				time.Sleep(100 * time.Microsecond)
			}
		}
		return s.InFlight == 0 && s.buffers.InUse() == 0 && len(s.conns.Open) == 0
	}
	if err := quick.Check(feed, &quick.Config{MaxCount: 5000, Rand: rand.New(rand.NewSource(9))}); err != nil {
		t.Errorf("%v; counters: %s", err, s.report())
	}
	if k := s.Counters; k.Succeeded == 0 || k.MalformedRequests == 0 || k.Outcomes[policy.ConnectionLost] == 0 || k.Lists < 100 {
		t.Errorf("not all kinds of results occurred: %s", k.String())
	}
}
