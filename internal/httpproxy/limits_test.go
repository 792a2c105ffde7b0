package httpproxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pepperlead/internal/connstate"
	"pepperlead/internal/epoll"
	"pepperlead/internal/requestids"
	"pepperlead/policy"
)

// With few descriptors all clients are still answered: connections that were idle for long are closed, and while too many are open each
// response closes its connection.
func TestMoreClientsThanDescriptors(t *testing.T) {
	endpoint := newFakeEndpoint(t)
	r, _ := startProxy(t, func(p *Config) { p.Descriptors = 30 }, endpoint.Addr().String())
	for range 3 {
		c := r.client()
		c.send("step/echo", "b", "")
		if answer, _ := c.receive(); answer.StatusCode != 200 || answer.Close {
			t.Errorf("below the limit: got status %d, connection closes: %v", answer.StatusCode, answer.Close)
		}
	}
	time.Sleep(2050 * time.Millisecond)
	var clients []*testClient
	for range 40 {
		c := r.client()
		c.send("step/slow", "b", "")
		clients = append(clients, c)
	}
	codes, closing := map[int]int{}, map[bool]int{}
	for _, c := range clients {
		answer, _ := c.receive()
		codes[answer.StatusCode]++
		closing[answer.Close]++
		c.Close()
	}
	if codes[200] == 0 || codes[503] == 0 || codes[200]+codes[503] != 40 || closing[true] < 20 {
		t.Errorf("responses by status %v, by whether they close their connection %v", codes, closing)
	}
	time.Sleep(20 * time.Millisecond)
	c := r.client()
	c.send("step/echo", "b", "")
	if answer, _ := c.receive(); answer.StatusCode != 200 {
		t.Errorf("after the other clients disconnected: got status %d, want 200", answer.StatusCode)
	}
	r.shutdown()
	if r.Counters.ClientConnsBroken == 0 {
		t.Errorf("the limit was not reached: %s", r.Report())
	}
}

// A hundred clients send nothing, or only a part of a request. Their connections are closed within 3 s. Other clients are not delayed,
// and their connections stay open even while idle.
func TestSilentClientsDoNotAffectOthers(t *testing.T) {
	endpoint := newFakeEndpoint(t)
	r, _ := startProxy(t, func(p *Config) { p.Descriptors = 160 }, endpoint.Addr().String())
	active := r.client()
	exchange := func(c *testClient) {
		t.Helper()
		began := time.Now()
		c.send("step/echo", "b", "")
		if answer, _ := c.receive(); answer.StatusCode != 200 || time.Since(began) > 500*time.Millisecond {
			t.Errorf("got status %d after %v, want 200 within 500 ms", answer.StatusCode, time.Since(began))
		}
	}
	exchange(active)
	began := time.Now()
	var silent []*testClient
	for i := range 100 {
		c := r.client()
		if i%20 == 0 {
			io.WriteString(c, "POST /step/echo HTTP/1.1\r\nHost: o\r\nX-Requ")
		}
		silent = append(silent, c)
	}
	for range 5 {
		exchange(r.client())
	}
	for i, c := range silent {
		answer, err := http.ReadResponse(c.in, nil)
		if i%20 == 0 && (err != nil || answer.StatusCode != 408) || i%20 > 0 && err == nil {
			t.Errorf("client %d did not get 408 after a part of a request, or got a response without sending anything: %v", i, err)
		}
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the silent connections were closed only after %v", took)
	}
	exchange(active)
	r.shutdown()
	if k := r.Counters; k.ClientConnsBroken+k.ClientsSilent != 95 || k.ClientsSilent == 0 || k.ClientConnsBroken == 0 {
		t.Errorf("the counters of closed client connections are wrong: %s", k.String())
	}
}

// Clients that send one request and stay connected must not use up the descriptors. While many connections are idle, each response closes
// its connection, and connections that have been idle for long are closed.
func TestExcessIdleClientsAreClosed(t *testing.T) {
	r, _ := startProxy(t, func(p *Config) { p.Descriptors = 160 }, newFakeEndpoint(t).Addr().String())
	var clients []*testClient
	closes := 0
	for range 40 {
		c := r.client()
		c.send("step/echo", "b", "")
		answer, _ := c.receive()
		if answer.StatusCode != 200 {
			t.Errorf("got status %d, want 200", answer.StatusCode)
		}
		if answer.Close {
			closes++
		}
		clients = append(clients, c)
	}
	idle := r.conns.MaxIdleClients
	if idle != 20 || closes != 40-idle-1 {
		t.Errorf("%d responses closed their connection; the limit of idle connections is %d, want 20", closes, idle)
	}
	time.Sleep(2300 * time.Millisecond)
	last := clients[idle/2-2] // one of the connections that may still be open
	ended := 0
	for _, c := range clients {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.in.ReadByte(); err == io.EOF {
			ended++
		}
	}
	if ended < 40-idle/2-1 || ended == 40 {
		t.Errorf("%d of 40 connections were closed, want most but not all", ended)
	}
	last.Close()
	r.shutdown()
	if r.conns.IdleClients != 0 {
		t.Errorf("%d connections count as idle after the shutdown", r.conns.IdleClients)
	}
}

// A request with the ID of another one in flight is refused. The ID may be used again once the other request is answered.
func TestIDInUseIsRefused(t *testing.T) {
	endpoint := newFakeEndpoint(t)
	r, _ := startProxy(t, nil, endpoint.Addr().String())
	first, second := r.client(), r.client()
	request := "GET /step/slow HTTP/1.1\r\nHost: o\r\nX-Request-ID: same\r\nX-Timeout: 1\r\n\r\n"
	io.WriteString(first, request)
	time.Sleep(20 * time.Millisecond)
	io.WriteString(second, request)
	if answer, _ := second.receive(); answer.StatusCode != 409 || !answer.Close {
		t.Errorf("second request with the ID: got status %d, connection closes: %v", answer.StatusCode, answer.Close)
	}
	for i := range 2 {
		if answer, _ := first.receive(); answer.StatusCode != 200 {
			t.Errorf("request on the first connection: got status %d, want 200", answer.StatusCode)
		}
		if n, _ := endpoint.count("same"); n != i+1 {
			t.Errorf("the endpoint has received %d requests with the ID, want %d", n, i+1)
		}
		io.WriteString(first, request)
	}
	first.Close() // while its third request is in flight
	time.Sleep(20 * time.Millisecond)
	third := r.client()
	io.WriteString(third, request)
	if answer, _ := third.receive(); answer.StatusCode != 200 {
		t.Errorf("after the client disconnected: got status %d, want 200", answer.StatusCode)
	}
}

// Guards against a request that runs twice because its client has left and sent it again, to the same process or to another one of the
// instance. If it has surely not run, it may be sent again.
func TestRequestSentAgainRunsOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), requestids.FileName)
	endpoint := newFakeEndpoint(t)
	var proxies [2]*runningProxy
	for i := range proxies {
		proxies[i], _ = startProxy(t, func(p *Config) {
			var err error
			if p.RequestIDs, err = requestids.Open(path); err != nil {
				t.Fatal(err)
			}
			for i := range p.Settings.Classes {
				p.Settings.Classes[i].Group = policy.GroupAll // a keyed request may be rejected although it may have run
			}
		}, endpoint.Addr().String())
	}
	for _, k := range []struct {
		class, behaviour string
		leaves           bool
		again            int // status of the request that is sent again
		seen             int // how often the endpoint receives it
	}{
		{"once", "slow", true, 409, 1},
		{"note", "slow", true, 409, 1},
		{"step", "slow", true, 200, 2},
		{"once", "slow", false, 409, 1},
		{"once", "reset", false, 409, 1},
		{"once", "away", false, 503, 2},
		{"step", "slow", false, 200, 2},
		{"note", "silent", false, 503, 2},
	} {
		for i, other := range proxies {
			id := fmt.Sprintf("%s-%s-%v-%d", k.class, k.behaviour, k.leaves, i)
			request := fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: o\r\nX-Request-ID: %s\r\nIdempotency-Key: k-%s\r\nX-Timeout: 1\r\n"+
				"Content-Length: 0\r\n\r\n", k.class, k.behaviour, id, id)
			first := proxies[0].client()
			io.WriteString(first, request)
			if k.leaves {
				time.Sleep(30 * time.Millisecond)
				first.Close()
				time.Sleep(10 * time.Millisecond)
			} else {
				first.receive()
			}
			second := other.client()
			io.WriteString(second, request)
			if answer, _ := second.receive(); answer.StatusCode != k.again {
				t.Errorf("%s, sent again to process %d: got status %d, want %d", id, i, answer.StatusCode, k.again)
			}
			if seen, _ := endpoint.count(id); seen < k.seen || seen > k.seen && k.again == 409 {
				t.Errorf("%s: the endpoint has received it %d times, want %d", id, seen, k.seen)
			}
		}
	}
}

// Requests are rejected while the memory for messages is full.
func TestFullMemoryRejects(t *testing.T) {
	r, _ := startProxy(t, func(p *Config) { p.MessageMemory = 0 }, newFakeEndpoint(t).Addr().String())
	for i := range 3 {
		c := r.client()
		if i < 2 {
			c.send("step/echo", "b", "")
		} else {
			io.WriteString(c, "POST /step/echo HTTP/1.1\r\nHost: o\r\nContent-Length: 60000\r\n\r\npart")
		}
		if answer, _ := c.receive(); answer.StatusCode != 503 {
			t.Errorf("request %d: got status %d, want 503", i, answer.StatusCode)
		}
	}
}

// The connection of a client that sends without end is closed while its first request is still in flight.
func TestFloodingClientsAreClosed(t *testing.T) {
	r, _ := startProxy(t, nil, newFakeEndpoint(t).Addr().String())
	c := r.client()
	c.send("step/silent", "b", "")
	var err error
	for i := 0; i < 4096 && err == nil; i++ {
		_, err = c.Write(bytes.Repeat([]byte("x"), 16<<10))
	}
	if err == nil {
		t.Error("64 MB were accepted")
	}
	c.Close()
}

// A client that sends requests and reads no responses has at most one response pending, and its connection is closed soon.
func TestClientsThatReadNothingAreClosed(t *testing.T) {
	r, _ := startProxy(t, nil, newFakeEndpoint(t).Addr().String())
	c := r.client()
	began := time.Now()
	body := strings.Repeat("x", maxBody)
	var err error
	for i := 0; err == nil && time.Since(began) < 4*time.Second; i++ {
		_, err = fmt.Fprintf(c, "POST /step/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: r%d\r\nX-Timeout: 1\r\n"+
			"Content-Length: %d\r\n\r\n%s", i, len(body), body)
	}
	if err == nil {
		t.Error("the connection was not closed within 4 s")
	}
	c.Close()
	r.shutdown()
	// The bounds leave room for what the kernel buffers at both ends.
	if r.Counters.BytesOut > 24<<20 || r.Counters.Succeeded > 200 {
		t.Errorf("%d bytes were sent to a client that reads nothing: %s", r.Counters.BytesOut, r.Report())
	}
}

// Guards against answers that are late because other clients send what takes long to read: half of the answers to a sound client come
// within the time that a few requests take, whatever a dozen others send at full speed.
func TestFloodsDelayNoOtherClient(t *testing.T) {
	const head = "POST /step/x HTTP/1.1\r\nHost: o\r\nX-Timeout: 1\r\n"
	for name, text := range map[string]string{
		"short chunks": head + "X-Request-ID: c\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 60000) + "z",
		"connection options": strings.Repeat(head+"X-Request-ID: c\r\nConnection: "+strings.Repeat("f,", 4000)+"f\r\n"+
			strings.Repeat("g:\r\n", 1900)+"\r\n", 8),
		"many requests": strings.Repeat("GET /_servers HTTP/1.1\r\nHost: o\r\n\r\nGET /_counters HTTP/1.1\r\nHost: o\r\n\r\n", 200),
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := startProxy(t, nil, newFakeEndpoint(t).Addr().String())
			end := make(chan struct{})
			var wait sync.WaitGroup
			defer wait.Wait()
			defer close(end)
			for range 12 {
				wait.Go(func() { floodUntil(end, r.addr, text) })
			}
			time.Sleep(100 * time.Millisecond)
			var took []time.Duration
			for range 21 {
				began := time.Now()
				c := r.client()
				c.send("step/echo", "", "")
				c.receive()
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			if took[len(took)/2] > 50*time.Millisecond {
				t.Errorf("half of the answers took %v or longer, the slowest one %v", took[len(took)/2], took[len(took)-1])
			}
		})
	}
}

// floodUntil sends a text again and again, on a new connection whenever one is closed, and discards the answers.
func floodUntil(end <-chan struct{}, addr, text string) {
	for {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return // the rest of the test fails too
		}
		var discarding sync.WaitGroup
		discarding.Go(func() { io.Copy(io.Discard, c) })
		ended := false
		for err == nil && !ended {
			c.SetWriteDeadline(time.Now().Add(time.Second))
			_, err = io.WriteString(c, text)
			select {
			case <-end:
				ended = true
			default:
			}
		}
		c.Close()
		discarding.Wait()
		if ended {
			return
		}
	}
}

// Both ends close their connections at the same time. Events of a closed connection must not affect a new one that reuses its descriptor.
func TestSimultaneousClosesLoseNoRequests(t *testing.T) {
	r, _ := startProxy(t, nil, newFakeEndpoint(t).Addr().String())
	var wait sync.WaitGroup
	lost := make(chan error, 8)
	for range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range 400 {
				c, err := net.Dial("tcp", r.addr)
				if err == nil {
					fmt.Fprint(c, "GET /_health HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n")
					_, err = http.ReadResponse(bufio.NewReader(c), nil)
					c.Close()
				}
				if err != nil {
					lost <- err
					return
				}
			}
		}()
	}
	wait.Wait()
	select {
	case err := <-lost:
		t.Error(err)
	default:
	}
}

// connectedPair returns a connection in the form the instance uses, and the peer's end of it.
func connectedPair(t *testing.T, s *sockets) (peer net.Conn, conn *connstate.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if peer, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	descriptor, err := takeDescriptor(accepted)
	if err != nil {
		t.Fatal(err)
	}
	conn = &connstate.Conn{Connected: true}
	conn.Socket = s.newSocket(descriptor, conn)
	t.Cleanup(conn.Socket.Close)
	return peer, conn
}

// Guards against a crowd of half-sent requests that takes many times the memory of what it sent, and that has the requests of others
// rejected for want of memory until it has left.
func TestHalfSentRequestsLeaveRoomForOthers(t *testing.T) {
	const clients, sent = 300, 9000
	r, _ := startProxy(t, func(p *Config) { p.Descriptors = 1024; p.MessageMemory = clients * sent }, newFakeEndpoint(t).Addr().String())
	crowd := func(clients int) {
		for range clients {
			c := r.client()
			t.Cleanup(func() { c.Close() })
			fmt.Fprintf(c, "POST /step/a HTTP/1.1\r\nHost: o\r\nX-Request-ID: 1\r\nX-Timeout: 1\r\nContent-Length: 60000\r\n\r\n%s",
				strings.Repeat("x", sent))
		}
		time.Sleep(50 * time.Millisecond)
	}
	crowd(clients / 2)
	r.RunOnLoop(func() {
		if got := r.buffers.InUse(); got > clients*sent || r.Counters.Overflowed > 0 {
			t.Errorf("%d requests with %d bytes each take %d, and %d were rejected", clients/2, sent, got, r.Counters.Overflowed)
		}
	})
	crowd(clients / 2)
	time.Sleep(time.Duration(stalledAfter))
	c := r.client()
	c.send("step/echo", strings.Repeat("y", 10_000), "")
	if answer, _ := c.receive(); answer.StatusCode != 200 {
		t.Errorf("a whole request got %s", answer.Status)
	}
}

// Guards against a flood that fills the memory, and against a sound request that is lost because other clients flood: while the memory is
// full, a client with much unread input is neither read without bound nor closed unanswered; it gets 503 for the part that was read.
func TestClientsAreAnsweredWhileMemoryIsFull(t *testing.T) {
	s, _ := newStoppedProxy(t)
	peer, conn := connectedPair(t, s.sockets)
	s.buffers.Limit = connstate.SmallBuffer
	held := s.buffers.Get(connstate.LargeBuffer)
	s.clientConnected(s.Clock.Now(), conn)
	fmt.Fprint(peer, "POST /step/a HTTP/1.1\r\nHost: o\r\nX-Request-ID: 1\r\nX-Timeout: 1\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("x", 2*connstate.SmallBuffer))
	time.Sleep(20 * time.Millisecond)
	before := s.buffers.InUse()
	now := s.Clock.Now()
	s.socketReady(now, now, conn, epoll.Readable)
	if used := s.buffers.InUse() - before; used > 2*connstate.SmallBuffer {
		t.Errorf("the input of one client takes %d bytes while the memory is full", used)
	}
	peer.SetReadDeadline(time.Now().Add(2 * time.Second))
	if answer, err := http.ReadResponse(bufio.NewReader(peer), nil); err != nil || answer.StatusCode != 503 {
		t.Errorf("got response %v, error %v, want 503", answer, err)
	}
	s.closeConn(conn, connstate.ShuttingDown)
	s.Round(now)
	if used := s.buffers.InUse() - before; used != 0 {
		t.Errorf("%d bytes are still in use after the close", used)
	}
	s.buffers.Put(held)
}

// closeIfIdle does not close a connection on which bytes have arrived, as their sender would lose a request.
func TestCloseIfIdleSparesConnectionsWithInput(t *testing.T) {
	s, _ := newStoppedProxy(t)
	peer, conn := connectedPair(t, s.sockets)
	if !conn.Socket.Idle() {
		t.Error("the connection is not idle before any input")
	}
	fmt.Fprint(peer, "GET")
	time.Sleep(20 * time.Millisecond) // until the bytes have arrived at this end
	if conn.Socket.Idle() || s.closeIfIdle(conn, connstate.IdleConnection) {
		t.Fatal("the connection was idle or closed although the kernel holds unread bytes")
	}
	var in [8]byte
	if n, err := conn.Socket.Read(in[:]); err != nil || string(in[:n]) != "GET" {
		t.Errorf("the bytes were not read: %q, %v", in[:n], err)
	}
	if !s.closeIfIdle(conn, connstate.IdleConnection) {
		t.Error("the idle connection was not closed")
	}
	if n, err := conn.Socket.Read(in[:]); err == nil {
		t.Errorf("%d bytes were read after the close", n)
	}
}
