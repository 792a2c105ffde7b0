package httpproxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// A response is complete only when its framing says so, and one framed by its connection only when that ended in order.

// responseFramings write a response with this body; rest writes what is still missing of it, except for an orderly close.
var responseFramings = []struct {
	name     string
	headSays string // in the head
	part     func(body string) string
	rest     func(body string) string
	byEnd    bool // complete where the connection ends in order
}{
	{"sized", "Content-Length: %d\r\n", func(b string) string { return b[:len(b)-1] }, func(b string) string { return b[len(b)-1:] }, false},
	{"in chunks", "Transfer-Encoding: chunked\r\n", func(b string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(b), b) },
		func(string) string { return "0\r\n\r\n" }, false},
	{"to the end", "Connection: close\r\n", func(b string) string { return b }, func(string) string { return "" }, true},
}

// resetConn ends a connection without an orderly end of its stream.
func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// exchangeRaw sends one request on a new connection, and returns all that comes back until its end, and how it ended.
func (r *runningProxy) exchangeRaw(method, class, version string) (came []byte, took time.Duration, err error) {
	c := r.client()
	lastID++
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Idempotency-Key: k-%d\r\nContent-Length: 0\r\n", lastID)
	}
	fmt.Fprintf(c, "%s /%s/x HTTP/%s\r\nHost: o\r\nConnection: close\r\nX-Request-ID: id-%d\r\nX-Timeout: 1.0\r\n%s\r\n",
		method, class, version, lastID, length)
	began := time.Now()
	came, err = io.ReadAll(c.in)
	return came, time.Since(began), err
}

// readByClient returns the response that a client reads from these bytes, and whether it takes it for complete.
func readByClient(t *testing.T, method string, came []byte, ended error) (status int, body string, is bool) {
	t.Helper()
	a, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(came), failingReader{ended})), &http.Request{Method: method})
	if err != nil {
		return 0, "", false
	}
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err == nil
}

type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) {
	if f.err == nil {
		return 0, io.EOF
	}
	return 0, f.err
}

// Whatever its framing, a response that is reset is incomplete: one that was kept costs an attempt, after which the class's
// idempotency decides; of one that was streamed the client can tell that it is incomplete, over HTTP/1.0 too.
func TestResetIsNoEndOfAnAnswer(t *testing.T) {
	const short = "what the endpoint has made for this request"
	for _, f := range responseFramings {
		for _, passed := range []bool{false, true} {
			for _, k := range []struct {
				method, offering, version string
				status                    int // of a kept one that was reset: the other endpoint's response, or failed
			}{{"GET", "step", "1.1", 200}, {"GET", "step", "1.0", 200}, {"POST", "note", "1.1", 200}, {"POST", "once", "1.1", 502},
				{"POST", "once", "1.0", 502}} {
				name := fmt.Sprintf("%s, passed on %v, %s %s HTTP/%s", f.name, passed, k.method, k.offering, k.version)
				t.Run(name, func(t *testing.T) {
					var seen atomic.Int64
					body := short
					if passed {
						body = strings.Repeat(short, 3000) // over what is kept
					}
					serve := func(c net.Conn, r *http.Request, _ int) bool {
						says := f.headSays
						if strings.Contains(says, "%d") {
							says = fmt.Sprintf(says, len(body))
						}
						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", says, f.part(body))
						if seen.Add(1) == 1 {
							if passed {
								time.Sleep(50 * time.Millisecond) // a reset right behind would discard what is still under way
							}
							resetConn(c)
							return false
						}
						io.WriteString(c, f.rest(body))
						return !f.byEnd
					}
					one, _ := scriptedEndpoint(t, serve)
					two, _ := scriptedEndpoint(t, serve)
					r, _ := startProxy(t, nil, one, two)
					came, _, ended := r.exchangeRaw(k.method, k.offering, k.version)
					status, got, is := readByClient(t, k.method, came, ended)
					switch {
					case passed && is:
						t.Errorf("a part is taken for complete: %d bytes of %d, %v", len(got), len(body), ended)
					case passed && seen.Load() != 1:
						t.Errorf("sent %d times, though a part of an answer had gone on", seen.Load())
					case !passed && (!is || status != k.status || status == 200 && got != body):
						t.Errorf("%d %q, %v; want %d", status, got, ended, k.status)
					}
					r.waitUntil("ended", func() bool { return r.InFlight == 0 })
					r.RunOnLoop(func() {
						want := int64(1)
						if !passed {
							want = 0
						}
						if r.Counters.StreamsBroken != int(want) || !passed && r.Counters.Outcomes[policy.ConnectionLost] != 1 {
							t.Errorf("%d streams broken, outcomes %v", r.Counters.StreamsBroken, r.Counters.Outcomes)
						}
					})
					// Conversely, the same bytes with an orderly end are the complete response.
					came, _, ended = r.exchangeRaw(k.method, k.offering, k.version)
					if status, got, is = readByClient(t, k.method, came, ended); !is || status != 200 || got != body {
						t.Errorf("an answer that came whole: %d, %d bytes, %v", status, len(got), ended)
					}
				})
			}
		}
	}
}

// A reset is distinguished from an orderly end also where a write has failed before the next read.
func TestFailedWriteHidesNoReset(t *testing.T) {
	far, nb, conn := connectedPair(t)
	io.WriteString(far, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
	resetConn(far)
	time.Sleep(20 * time.Millisecond) // for the kernel to have both at this end
	if _, err := conn.Socket.Write([]byte("more")); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Fatal("the write went well:", err)
	}
	s, _ := newStoppedProxy(t)
	s.sockets.read(nb)
	if conn.Input.EOF.Load() {
		t.Error("taken for an end in order")
	}
	for _, e := range s.sockets.takeEvents() {
		s.buffers.Put(e.buf)
	}
}

// hangingResponse is a response that its endpoint begins and never ends.
type hangingResponse struct {
	name, framing, part string
	parts               int  // this many, 40 ms apart
	retried             bool // another endpoint gets an attempt
}

func chunkOf(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

var hangingResponses = []hangingResponse{
	{"short, sized", "Content-Length: 1000\r\n", "xxx", 1, true},
	{"short, sized, slow", "Content-Length: 1000\r\n", "xxx", 11, true},
	{"short, in chunks", "Transfer-Encoding: chunked\r\n", chunkOf(9), 1, true},
	{"short, to the end", "Connection: close\r\n", "xxx", 1, true},
	{"in chunks, slow", "Transfer-Encoding: chunked\r\n", chunkOf(9), 11, false},
	{"to the end, slow", "Connection: close\r\n", "xxx", 11, false},
	{"long, sized", "Content-Length: 1000000\r\n", "xxx", 1, false},
	{"long, in chunks", "Transfer-Encoding: chunked\r\n", chunkOf(80000), 1, false},
}

// An endpoint that hangs in the middle of a response costs an attempt where nothing has been forwarded; otherwise its client knows by
// the deadline that the response is incomplete. A long one that makes progress has a second more, counted from its last bytes. A run is
// void, and repeated, only where the machine delayed the endpoint's first bytes, or any timer, by as much as the client knew too late.
func TestHangInMidAnswerIsKnownByTheDeadline(t *testing.T) {
	const known, plays = 1030 * time.Millisecond, 10
	for _, h := range hangingResponses {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(h.name+", HTTP/"+version, func(t *testing.T) {
				for play := 1; ; play++ {
					took, heldUp := h.play(t, version)
					if took <= known {
						return
					}
					if took-known > heldUp || play == plays {
						t.Fatalf("run %d: known after %v, the deadline is 1 s; the machine delayed this process by %v", play, took, heldUp)
					}
				}
			})
		}
	}
}

// play requests such a response once, and returns how long the client took to know, and how long the machine delayed this process.
func (h hangingResponse) play(t *testing.T, version string) (took, heldUp time.Duration) {
	t.Helper()
	var seen, firstBytes atomic.Int64
	var began time.Time
	serve := func(c net.Conn, r *http.Request, _ int) bool {
		if seen.Add(1) > 1 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			return true
		}
		firstBytes.Store(int64(time.Since(began)))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", h.framing)
		for i := range h.parts {
			if i > 0 {
				time.Sleep(40 * time.Millisecond)
			}
			io.WriteString(c, h.part)
		}
		io.Copy(io.Discard, c) // until the instance closes
		return false
	}
	one, _ := scriptedEndpoint(t, serve)
	two, _ := scriptedEndpoint(t, serve)
	r, _ := startProxy(t, func(p *Config) { p.Settings.Classes[0].LateValue = 0.5 }, one, two)
	stopWatch := watchDelays()
	began = time.Now()
	came, took, ended := r.exchangeRaw("GET", "step", version)
	heldUp = stopWatch() + time.Duration(firstBytes.Load())
	status, body, is := readByClient(t, "GET", came, ended)
	if h.retried && (!is || status != 200 || body != "whole") {
		t.Errorf("status %d, complete %v, %q", status, is, body)
	}
	if !h.retried && (is || status != 200 || seen.Load() != 1) {
		t.Errorf("status %d, complete %v, %d bytes, sent %d times", status, is, len(came), seen.Load())
	}
	return took, heldUp
}

// A stream whose endpoint is silent ends by the deadline, unless it sent something just before.
func TestStreamsEndInTime(t *testing.T) {
	const ms = policy.Millisecond
	for _, k := range []struct {
		kind          uint8
		got           int64
		movedAt, want policy.Time
	}{
		{sizedBody, 1, 0, 1000 * ms},
		{sizedBody, 1, 600 * ms, 1600 * ms},
		{bodyUntilClose, 100, 0, 1000 * ms},
		{bodyUntilClose, 100, 990 * ms, 1290 * ms},
		{chunkedBody, 100, 1390 * ms, 1690 * ms}, // still coming, may be long
		{chunkedBody, maxBody + 1, 1390 * ms, 2390 * ms},
	} {
		if got := streamDeadline(connstate.Frame{Kind: k.kind, Received: k.got}, k.movedAt, 1000*ms); got != k.want {
			t.Errorf("%+v: %v", k, got)
		}
	}
}

// A long response that makes progress goes on past its deadline, also to a client that reads slowly, and one whose endpoint pauses for
// less than a second.
func TestLongAnswersOutlastTheDeadline(t *testing.T) {
	addr := respondingEndpoint(t, func(w io.Writer, body *rand.Rand) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longBody)
		for range 3 {
			io.CopyN(w, body, longBody/3)
			time.Sleep(600 * time.Millisecond)
		}
	})
	r, _ := startProxy(t, nil, addr)
	for _, pace := range []time.Duration{0, 15 * time.Millisecond} {
		c := r.client()
		c.send("step/x", "", "")
		a, err := http.ReadResponse(c.in, nil)
		if err != nil {
			t.Fatal(err)
		}
		got := int64(0)
		for err == nil {
			var n int64
			n, err = io.CopyN(io.Discard, a.Body, 32<<10)
			got += n
			time.Sleep(pace)
		}
		if got != longBody || err != io.EOF {
			t.Errorf("%d bytes, %v", got, err)
		}
	}
}

// An endpoint begins a long response and takes no more of the body that still comes: its client's connection is closed.
func TestAnswerBegunUnderABodyThatIsNotTaken(t *testing.T) {
	addr, _ := scriptedEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\npart", longBody)
		time.Sleep(6 * time.Second)
		return false
	})
	r, _ := startProxy(t, withLittleMemory, addr)
	c := r.client()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	go c.sendLongBody(30<<20, false)
	began := time.Now()
	if _, err := io.ReadAll(c.in); time.Since(began) > 4*time.Second {
		t.Errorf("ended after %v, %v", time.Since(began), err)
	}
	r.waitUntil("ended", func() bool { return r.InFlight == 0 })
}
