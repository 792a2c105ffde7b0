package httpproxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lesismal/nbio"

	"pepperlead/internal/connstate"
)

// With few descriptors all clients are still answered: long idle connections are closed, and while there are too many each response
// closes its connection.
func TestMoreClientsThanDescriptors(t *testing.T) {
	server := newFakeEndpoint(t)
	r, _ := startProxy(t, func(p *Config) { p.Descriptors = 30 }, server.Addr().String())
	for range 3 {
		c := r.client()
		c.send("step/echo", "b", "")
		if answer, _ := c.receive(); answer.StatusCode != 200 || answer.Close {
			t.Errorf("with room: %d, closes %v", answer.StatusCode, answer.Close)
		}
	}
	time.Sleep(2050 * time.Millisecond)
	var clients []*testClient
	for range 40 {
		c := r.client()
		c.send("step/slow", "b", "")
		clients = append(clients, c)
	}
	codes, ended := map[int]int{}, map[bool]int{}
	for _, c := range clients {
		answer, _ := c.receive()
		codes[answer.StatusCode]++
		ended[answer.Close]++
		c.Close()
	}
	if codes[200] == 0 || codes[503] == 0 || codes[200]+codes[503] != 40 || ended[true] < 20 {
		t.Errorf("answers %v, ended %v", codes, ended)
	}
	time.Sleep(20 * time.Millisecond)
	c := r.client()
	c.send("step/echo", "b", "")
	if answer, _ := c.receive(); answer.StatusCode != 200 {
		t.Errorf("after them: %d", answer.StatusCode)
	}
	r.shutdown()
	if r.Counters.ClientConnsBroken == 0 {
		t.Errorf("the limits were not reached: %s", r.Report())
	}
}

// Hundreds of clients send nothing, or only a part of a request: they are closed in time, and others neither wait for them nor lose
// their connections to them, also while they pause.
func TestSilentClientsDoNotAffectOthers(t *testing.T) {
	server := newFakeEndpoint(t)
	r, _ := startProxy(t, func(p *Config) { p.Descriptors = 160 }, server.Addr().String())
	usual := r.client()
	ask := func(c *testClient) {
		t.Helper()
		began := time.Now()
		c.send("step/echo", "b", "")
		if answer, _ := c.receive(); answer.StatusCode != 200 || time.Since(began) > 500*time.Millisecond {
			t.Errorf("%d after %v", answer.StatusCode, time.Since(began))
		}
	}
	ask(usual)
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
		ask(r.client())
	}
	for i, c := range silent {
		answer, err := http.ReadResponse(c.in, nil)
		if i%20 == 0 && (err != nil || answer.StatusCode != 408) || i%20 > 0 && err == nil {
			t.Errorf("client %d: %v", i, err)
		}
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("all closed after %v", took)
	}
	ask(usual)
	r.shutdown()
	if k := r.Counters; k.ClientConnsBroken+k.ClientsSilent != 95 || k.ClientsSilent == 0 || k.ClientConnsBroken == 0 {
		t.Errorf("%s", k.String())
	}
}

// Clients send one request and stay connected: beyond a few of them responses close connections, and those that rest for long are closed.
func TestClientsThatStayMakeRoom(t *testing.T) {
	r, _ := startProxy(t, func(p *Config) { p.Descriptors = 160 }, newFakeEndpoint(t).Addr().String())
	var stay []*testClient
	closes := 0
	for range 40 {
		c := r.client()
		c.send("step/echo", "b", "")
		answer, _ := c.receive()
		if answer.StatusCode != 200 {
			t.Errorf("%d", answer.StatusCode)
		}
		if answer.Close {
			closes++
		}
		stay = append(stay, c)
	}
	idle := r.conns.MaxIdleClients
	if idle != 20 || closes != 40-idle-1 {
		t.Errorf("%d answers closed, %d may rest", closes, idle)
	}
	time.Sleep(2300 * time.Millisecond)
	last := stay[idle/2-2] // rests for no longer than the others, and may stay
	ended := 0
	for _, c := range stay {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.in.ReadByte(); err == io.EOF {
			ended++
		}
	}
	if ended < 40-idle/2-1 || ended == 40 {
		t.Errorf("%d of 40 ended", ended)
	}
	last.Close()
	r.shutdown()
	if r.conns.IdleClients != 0 {
		t.Errorf("%d rest at the end", r.conns.IdleClients)
	}
}

// The id of a request in flight is refused to others, and free again once the request is answered.
func TestIDInUseIsRefused(t *testing.T) {
	server := newFakeEndpoint(t)
	r, _ := startProxy(t, nil, server.Addr().String())
	first, second := r.client(), r.client()
	request := "GET /step/slow HTTP/1.1\r\nHost: o\r\nX-Request-ID: same\r\nX-Timeout: 1\r\n\r\n"
	io.WriteString(first, request)
	time.Sleep(20 * time.Millisecond)
	io.WriteString(second, request)
	if answer, _ := second.receive(); answer.StatusCode != 409 || !answer.Close {
		t.Errorf("second: %d, closes %v", answer.StatusCode, answer.Close)
	}
	for i := range 2 {
		if answer, _ := first.receive(); answer.StatusCode != 200 {
			t.Errorf("first: %d", answer.StatusCode)
		}
		if n, _ := server.count("same"); n != i+1 {
			t.Errorf("seen %d times", n)
		}
		io.WriteString(first, request)
	}
	first.Close() // leaves while its third is in flight
	time.Sleep(20 * time.Millisecond)
	third := r.client()
	io.WriteString(third, request)
	if answer, _ := third.receive(); answer.StatusCode != 200 {
		t.Errorf("after its client left: %d", answer.StatusCode)
	}
}

// While memory is full requests are rejected.
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
			t.Errorf("%d", answer.StatusCode)
		}
	}
}

// A peer that sends without end is closed, whatever the loop does.
func TestFloodingClientsAreClosed(t *testing.T) {
	r, _ := startProxy(t, nil, newFakeEndpoint(t).Addr().String())
	c := r.client()
	c.send("step/silent", "b", "")
	var err error
	for i := 0; i < 4096 && err == nil; i++ {
		_, err = c.Write(bytes.Repeat([]byte("x"), 16<<10))
	}
	if err == nil {
		t.Error("64 MB were taken")
	}
	c.Close()
}

// A client that sends requests and reads no responses has one response pending, and not for long.
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
		t.Error("not closed")
	}
	c.Close()
	r.shutdown()
	// What the kernels at either end buffer does not count.
	if r.Counters.BytesOut > 24<<20 || r.Counters.Succeeded > 200 {
		t.Errorf("%d bytes were sent to one that reads nothing: %s", r.Counters.BytesOut, r.Report())
	}
}

// Connections that both ends close at once free their descriptors for new ones, which events of the old must not affect.
func TestQuickClosesLoseNothing(t *testing.T) {
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

// connectedPair is a connection as the instance has it, and its peer's end.
func connectedPair(t *testing.T) (far net.Conn, nb *nbio.Conn, conn *connstate.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if far, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if nb, err = nbio.NBConn(near); err != nil {
		t.Fatal(err)
	}
	conn = &connstate.Conn{Socket: newSocket(nb)}
	nb.SetSession(conn)
	return far, nb, conn
}

// Where memory is overcommitted, a client with much unprocessed input is closed.
func TestFloodingClientsAreClosedWhenMemoryIsFull(t *testing.T) {
	far, nb, conn := connectedPair(t)
	s := &sockets{buffers: &connstate.Buffers{Limit: connstate.SmallBuffer}, signal: func() {}}
	s.maxPending.Store(maxPendingBytes)
	held := s.buffers.Get(connstate.LargeBuffer)
	fmt.Fprint(far, "GET")
	time.Sleep(20 * time.Millisecond)
	s.read(nb) // a little is always read, to be rejected
	if conn.Socket.(*socket).readShut || conn.Input.Unread.Load() != 3 {
		t.Errorf("cut at its first bytes, or they were not read: %d", conn.Input.Unread.Load())
	}
	fmt.Fprint(far, strings.Repeat("x", 2*connstate.SmallBuffer))
	time.Sleep(20 * time.Millisecond)
	s.read(nb)
	if !conn.Socket.(*socket).readShut {
		t.Error("goes on sending")
	}
	s.buffers.Put(held)
}

// A connection on which bytes have come is not closed: their sender would have lost a request.
func TestOnlyQuietConnectionsAreCut(t *testing.T) {
	far, _, conn := connectedPair(t)
	buffers := &connstate.Buffers{}
	if !conn.Socket.Idle(conn) {
		t.Error("not quiet before anything came")
	}
	fmt.Fprint(far, "GET")
	time.Sleep(20 * time.Millisecond) // for the kernel to have it at this end
	if conn.Socket.Idle(conn) || conn.Socket.CloseIfIdle(conn) {
		t.Fatal("cut with bytes in the kernel")
	}
	buf := buffers.Get(connstate.SmallBuffer)
	if !conn.Socket.(*socket).read(conn, buf) || string(buf.B) != "GET" || conn.Socket.CloseIfIdle(conn) {
		t.Error("cut with bytes that the loop has not looked at")
	}
	conn.Input.Unread.Store(0)
	if !conn.Socket.CloseIfIdle(conn) || conn.Socket.(*socket).read(conn, buf) {
		t.Error("not cut, or read after it")
	}
}
