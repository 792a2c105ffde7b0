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

// The tests in this file check that a response counts as complete only at the end that its framing defines. If the body ends when the
// connection closes, the response is complete only after an orderly close.

// responseFramings holds the ways to frame a body. part and remainder together, followed by an orderly close if untilClose is set, make the
// complete body; part alone is incomplete.
var responseFramings = []struct {
	name       string
	header     string // framing header of the response
	part       func(body string) string
	remainder  func(body string) string
	untilClose bool // an orderly close of the connection completes the body
}{
	{"sized", "Content-Length: %d\r\n", func(b string) string { return b[:len(b)-1] }, func(b string) string { return b[len(b)-1:] }, false},
	{"in chunks", "Transfer-Encoding: chunked\r\n", func(b string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(b), b) },
		func(string) string { return "0\r\n\r\n" }, false},
	{"until EOF", "Connection: close\r\n", func(b string) string { return b }, func(string) string { return "" }, true},
}

// resetConn ends a connection with a reset.
func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// exchangeRaw sends one request on a new connection. It returns all bytes received until the connection ends, and the error with which it
// ended.
func (r *runningProxy) exchangeRaw(method, class, version string) (received []byte, took time.Duration, err error) {
	c := r.client()
	number := nextNumber()
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Idempotency-Key: k-%d\r\nContent-Length: 0\r\n", number)
	}
	fmt.Fprintf(c, "%s /%s/x HTTP/%s\r\nHost: o\r\nConnection: close\r\nX-Request-ID: id-%d\r\nX-Timeout: 1.0\r\n%s\r\n",
		method, class, version, number, length)
	began := time.Now()
	received, err = io.ReadAll(c.in)
	return received, time.Since(began), err
}

// readByClient returns the response that a client reads from these bytes, followed by the error endErr, and whether it is complete to the
// client.
func readByClient(t *testing.T, method string, received []byte, endErr error) (status int, body string, complete bool) {
	t.Helper()
	a, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(received), failingReader{endErr})), &http.Request{Method: method})
	if err != nil {
		return 0, "", false
	}
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err == nil
}

// failingReader returns err, or io.EOF if err is nil.
type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) {
	if f.err == nil {
		return 0, io.EOF
	}
	return 0, f.err
}

// A response whose connection is reset is incomplete, whatever its framing. If it was buffered, the attempt fails, and the idempotency of
// the class decides about a retry. If it was streamed, the client can tell that it is incomplete, also over HTTP/1.0.
func TestResetDoesNotCompleteResponse(t *testing.T) {
	const short = "what the endpoint has made for this request"
	for _, f := range responseFramings {
		for _, streamed := range []bool{false, true} {
			for _, k := range []struct {
				method, class, version string
				status                 int // what the client gets if the response was buffered: that of a retry, or that of a failure
			}{{"GET", "step", "1.1", 200}, {"GET", "step", "1.0", 200}, {"POST", "note", "1.1", 200}, {"POST", "once", "1.1", 502},
				{"POST", "once", "1.0", 502}} {
				name := fmt.Sprintf("%s, streamed %v, %s %s HTTP/%s", f.name, streamed, k.method, k.class, k.version)
				t.Run(name, func(t *testing.T) {
					var seen atomic.Int64
					body := short
					if streamed {
						body = strings.Repeat(short, 3000) // longer than maxBody
					}
					serve := func(c net.Conn, r *http.Request, _ int) bool {
						header := f.header
						if strings.Contains(header, "%d") {
							header = fmt.Sprintf(header, len(body))
						}
						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", header, f.part(body))
						if seen.Add(1) == 1 {
							if streamed {
								time.Sleep(50 * time.Millisecond) // an immediate reset would discard bytes that are not read yet
							}
							resetConn(c)
							return false
						}
						io.WriteString(c, f.remainder(body))
						return !f.untilClose
					}
					one, _ := scriptedEndpoint(t, serve)
					two, _ := scriptedEndpoint(t, serve)
					r, _ := startProxy(t, nil, one, two)
					received, _, endErr := r.exchangeRaw(k.method, k.class, k.version)
					status, got, complete := readByClient(t, k.method, received, endErr)
					switch {
					case streamed && complete:
						t.Errorf("a truncated response is taken for complete: got %d bytes of %d, then error %v", len(got), len(body), endErr)
					case streamed && seen.Load() != 1:
						t.Errorf("the request was sent %d times, although a part of a response had been forwarded", seen.Load())
					case !streamed && (!complete || status != k.status || status == 200 && got != body):
						t.Errorf("got status %d, %q, then error %v; want status %d", status, got, endErr, k.status)
					}
					r.waitUntil("no request in flight", func() bool { return r.InFlight == 0 })
					r.RunOnLoop(func() {
						want := int64(1)
						if !streamed {
							want = 0
						}
						if r.Counters.StreamsBroken != int(want) || !streamed && r.Counters.Outcomes[policy.ConnectionLost] != 1 {
							t.Errorf("%d streams are counted as broken; attempts by outcome %v", r.Counters.StreamsBroken, r.Counters.Outcomes)
						}
					})
					// Conversely, the same bytes with the remainder and an orderly close are the complete response.
					received, _, endErr = r.exchangeRaw(k.method, k.class, k.version)
					if status, got, complete = readByClient(t, k.method, received, endErr); !complete || status != 200 || got != body {
						t.Errorf("a complete response: got status %d, %d bytes, then error %v", status, len(got), endErr)
					}
				})
			}
		}
	}
}

// A reset is distinguished from an orderly close even if a write fails because of it before the next read.
func TestFailedWriteDoesNotHideReset(t *testing.T) {
	s, _ := newStoppedProxy(t)
	peer, conn := connectedPair(t, s.sockets)
	conn.Side = connstate.EndpointSide
	io.WriteString(peer, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
	resetConn(peer)
	time.Sleep(20 * time.Millisecond) // until the bytes and the reset have arrived at this end
	if err := conn.Socket.Write([]byte("more")); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Fatal("the write did not fail with a reset:", err)
	}
	var got []byte
	var err error
	for in := make([]byte, 64); err == nil; {
		var n int
		n, err = conn.Socket.Read(in)
		got = append(got, in[:n]...)
	}
	if err == io.EOF || errors.Is(err, connstate.ErrNoInput) {
		t.Errorf("the reset is taken for an orderly close, or not noticed: error %v after %q", err, got)
	}
}

// hungResponse is a response that its endpoint begins and never completes.
type hungResponse struct {
	name, header, part string
	parts              int  // number of parts that are sent, 40 ms apart
	retried            bool // the request is retried at another endpoint
	long               bool // the response is known to be long
}

// chunkOf returns a chunk of n bytes.
func chunkOf(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

var hungResponses = []hungResponse{
	{"short, sized", "Content-Length: 1000\r\n", "xxx", 1, true, false},
	{"short, sized, slow", "Content-Length: 1000\r\n", "xxx", 11, true, false},
	{"short, in chunks", "Transfer-Encoding: chunked\r\n", chunkOf(9), 1, true, false},
	{"short, until EOF", "Connection: close\r\n", "xxx", 1, true, false},
	{"in chunks, slow", "Transfer-Encoding: chunked\r\n", chunkOf(9), 11, false, false},
	{"until EOF, slow", "Connection: close\r\n", "xxx", 11, false, false},
	{"long, sized", "Content-Length: 1000000\r\n", "xxx", 1, false, true},
	{"long, in chunks", "Transfer-Encoding: chunked\r\n", chunkOf(80000), 1, false, true},
}

// If an endpoint hangs in the middle of a response of which nothing has been forwarded, the attempt fails and is retried. Otherwise the
// client learns by its deadline that the response is incomplete. An endpoint may pause for 2 s in a long response, so that one ends 0.2 s
// after that. A run that takes too long is repeated only if the machine delayed the first bytes of the endpoint, or any timer, by at least
// the excess.
func TestHungResponseEndsByDeadline(t *testing.T) {
	const runs = 10
	for _, h := range hungResponses {
		limit := 1030 * time.Millisecond
		if h.long {
			limit = 2230 * time.Millisecond
		}
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(h.name+", HTTP/"+version, func(t *testing.T) {
				for run := 1; ; run++ {
					took, delay := h.run(t, version)
					if took <= limit {
						return
					}
					if took-limit > delay || run == runs {
						t.Fatalf("run %d: the response ended after %v, allowed %v; the machine delayed this process by %v", run, took, limit, delay)
					}
				}
			})
		}
	}
}

// run requests the response once. It returns the time until the response ended for the client, and the delay caused by the machine.
func (h hungResponse) run(t *testing.T, version string) (took, delay time.Duration) {
	t.Helper()
	var seen, firstBytes atomic.Int64
	var began time.Time
	serve := func(c net.Conn, r *http.Request, _ int) bool {
		if seen.Add(1) > 1 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			return true
		}
		firstBytes.Store(int64(time.Since(began)))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", h.header)
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
	received, took, endErr := r.exchangeRaw("GET", "step", version)
	delay = stopWatch() + time.Duration(firstBytes.Load())
	status, body, complete := readByClient(t, "GET", received, endErr)
	if h.retried && (!complete || status != 200 || body != "whole") {
		t.Errorf("got status %d, complete %v, %q, want the whole response of the other endpoint", status, complete, body)
	}
	if !h.retried && (complete || status != 200 || seen.Load() != 1) {
		t.Errorf("got status %d, complete %v, %d bytes; the request was sent %d times", status, complete, len(received), seen.Load())
	}
	return took, delay
}

// A stream whose endpoint sends nothing more ends at the deadline, unless bytes arrived shortly before it.
func TestStreamDeadline(t *testing.T) {
	const ms = policy.Millisecond
	for _, k := range []struct {
		kind                uint8
		received, remaining int64
		progressAt, want    policy.Time
	}{
		{sizedBody, 1, maxBody, 0, 2200 * ms},
		{sizedBody, 1, maxBody, 600 * ms, 2800 * ms},
		{sizedBody, 1, 100, 0, 1000 * ms}, // streamed because memory was short
		{sizedBody, 1, 100, 990 * ms, 1290 * ms},
		{bodyUntilClose, 100, 0, 0, 1000 * ms},
		{bodyUntilClose, 100, 0, 990 * ms, 1290 * ms},
		{chunkedBody, 100, 0, 1390 * ms, 1690 * ms}, // its size is unknown, so it may be long
		{chunkedBody, maxBody + 1, 0, 1390 * ms, 3590 * ms},
		{chunkedBody, 51_200, 0, 0, 1200 * ms}, // the next part is due after 0.8 s, at the lowest rate
		{bodyUntilClose, 25_600, 0, 900 * ms, 1200 * ms},
	} {
		if got := streamDeadline(connstate.Frame{Kind: k.kind, Received: k.received, Remaining: k.remaining}, 0, k.progressAt, 1000*ms); got != k.want {
			t.Errorf("%+v: got %v", k, got)
		}
	}
}

// A long response that makes progress continues after the deadline, even if its client reads slowly or its endpoint pauses for less than
// a second.
func TestLongStreamsMayOutlastDeadline(t *testing.T) {
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
			t.Errorf("the client received %d bytes and then %v, want %d and EOF", got, err, longBody)
		}
	}
}

// Guards against a sound response that is cut off: an endpoint that writes a long response of unknown length at 64 kB/s, in parts that are
// 0.8 s apart, has sent less than 64 KiB when the client's time is up. The first bytes are in time, so all of it has to arrive.
func TestLongResponseInSlowPartsIsComplete(t *testing.T) {
	const part = 51_200
	for name, k := range map[string]struct{ header, before, after, end string }{
		"in chunks": {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n", part), "\r\n", "0\r\n\r\n"},
		"until EOF": {"Connection: close\r\n", "", "", ""},
	} {
		for _, class := range []string{"step", "note", "once"} {
			t.Run(name+", "+class, func(t *testing.T) {
				addr, _ := scriptedEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
					time.Sleep(250 * time.Millisecond)
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", k.header)
					for n := range 3 {
						if n > 0 {
							time.Sleep(800 * time.Millisecond)
						}
						io.WriteString(c, k.before+strings.Repeat(string(rune('a'+n)), part)+k.after)
					}
					io.WriteString(c, k.end)
					return k.end != ""
				})
				r, _ := startProxy(t, func(p *Config) { p.Settings.Classes[0].LateValue = 0.5 }, addr)
				t.Parallel()
				c := r.client()
				began := time.Now()
				c.send(class+"/x", "", "")
				answer, err := http.ReadResponse(c.in, nil)
				if err != nil || answer.StatusCode != 200 || time.Since(began) > time.Second {
					t.Fatalf("got response %v, error %v after %v, want 200 within 1 s", answer, err, time.Since(began))
				}
				body, err := io.ReadAll(answer.Body)
				if err != nil || len(body) != 3*part || body[part] != 'b' || body[2*part] != 'c' {
					t.Errorf("got %d bytes of %d, error %v", len(body), 3*part, err)
				}
			})
		}
	}
}

// An endpoint begins a long response while the request body is still being sent, and then reads no more of that body. The client
// connection is closed.
func TestStalledUploadDuringStreamedResponse(t *testing.T) {
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
		t.Errorf("the connection ended only after %v, with error %v", time.Since(began), err)
	}
	r.waitUntil("no request in flight", func() bool { return r.InFlight == 0 })
}
