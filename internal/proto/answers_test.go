package proto

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pepperlead/policy"
)

// An answer is whole only when its framing says so, and one that its connection frames only when that ended in order.

// framings write an answer with this body; rest writes what is still missing of it, an orderly end apart.
var framings = []struct {
	name     string
	headSays string // in the head
	part     func(body string) string
	rest     func(body string) string
	byEnd    bool // whole where the connection ends in order
}{
	{"sized", "Content-Length: %d\r\n", func(b string) string { return b[:len(b)-1] }, func(b string) string { return b[len(b)-1:] }, false},
	{"in chunks", "Transfer-Encoding: chunked\r\n", func(b string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(b), b) },
		func(string) string { return "0\r\n\r\n" }, false},
	{"to the end", "Connection: close\r\n", func(b string) string { return b }, func(string) string { return "" }, true},
}

// reset ends a connection without an end of its stream.
func reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// raw sends one request on a connection of its own, and gives all that comes back until that ends, and how it ended.
func (r *running) raw(method, offering, version string) (came []byte, took time.Duration, err error) {
	c := r.client()
	serial++
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Idempotency-Key: k-%d\r\nContent-Length: 0\r\n", serial)
	}
	fmt.Fprintf(c, "%s /%s/x HTTP/%s\r\nHost: o\r\nConnection: close\r\nX-Request-ID: id-%d\r\nX-Timeout: 1.0\r\n%s\r\n",
		method, offering, version, serial, length)
	began := time.Now()
	came, err = io.ReadAll(c.in)
	return came, time.Since(began), err
}

// understood tells whether a client takes what has come for a whole answer, and its body.
func understood(t *testing.T, method string, came []byte, ended error) (status int, body string, is bool) {
	t.Helper()
	a, err := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(came), failing{ended})), &http.Request{Method: method})
	if err != nil {
		return 0, "", false
	}
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err == nil
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) {
	if f.err == nil {
		return 0, io.EOF
	}
	return 0, f.err
}

// Whatever its framing, an answer that is reset on the way is no answer: one that was held costs an attempt, after which the offering's
// effect decides; of one that was passed on the client can tell that it has a part, over HTTP/1.0 too. It has failed once.
func TestResetIsNoEndOfAnAnswer(t *testing.T) {
	const short = "what the endpoint has made for this request"
	for _, f := range framings {
		for _, passed := range []bool{false, true} {
			for _, k := range []struct {
				method, offering, version string
				status                    int // of a held one that was reset: the other endpoint's answer, or given up
			}{{"GET", "step", "1.1", 200}, {"GET", "step", "1.0", 200}, {"POST", "note", "1.1", 200}, {"POST", "once", "1.1", 502},
				{"POST", "once", "1.0", 502}} {
				name := fmt.Sprintf("%s, passed on %v, %s %s HTTP/%s", f.name, passed, k.method, k.offering, k.version)
				t.Run(name, func(t *testing.T) {
					var seen atomic.Int64
					body := short
					if passed {
						body = strings.Repeat(short, 3000) // over what is held
					}
					serve := func(c net.Conn, r *http.Request, _ int) bool {
						says := f.headSays
						if strings.Contains(says, "%d") {
							says = fmt.Sprintf(says, len(body))
						}
						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", says, f.part(body))
						if seen.Add(1) == 1 {
							if passed {
								time.Sleep(50 * time.Millisecond) // a reset right behind would take along what is still under way
							}
							reset(c)
							return false
						}
						io.WriteString(c, f.rest(body))
						return !f.byEnd
					}
					one, _ := peer(t, serve)
					two, _ := peer(t, serve)
					r, _ := run(t, nil, one, two)
					came, _, ended := r.raw(k.method, k.offering, k.version)
					status, got, is := understood(t, k.method, came, ended)
					switch {
					case passed && is:
						t.Errorf("a part is taken for the whole: %d bytes of %d, %v", len(got), len(body), ended)
					case passed && seen.Load() != 1:
						t.Errorf("sent %d times, though a part of an answer had gone on", seen.Load())
					case !passed && (!is || status != k.status || status == 200 && got != body):
						t.Errorf("%d %q, %v; want %d", status, got, ended, k.status)
					}
					r.until("ended", func() bool { return r.Held == 0 })
					r.Inside(func() {
						want := int64(1)
						if !passed {
							want = 0
						}
						if r.Counters.StreamsBroken != int(want) || !passed && r.Counters.Outcomes[policy.ConnBroke] != 1 {
							t.Errorf("%d streams broken, outcomes %v", r.Counters.StreamsBroken, r.Counters.Outcomes)
						}
					})
					// The other way round: the same bytes with an orderly end are the whole answer.
					came, _, ended = r.raw(k.method, k.offering, k.version)
					if status, got, is = understood(t, k.method, came, ended); !is || status != 200 || got != body {
						t.Errorf("an answer that came whole: %d, %d bytes, %v", status, len(got), ended)
					}
				})
			}
		}
	}
}

// A reset is told from an end also where a write has failed before the reading side was looked at.
func TestFailedWriteHidesNoReset(t *testing.T) {
	far, nb, conn := pair(t)
	io.WriteString(far, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
	reset(far)
	time.Sleep(20 * time.Millisecond) // for the kernel to have both at this end
	if _, err := conn.Link.Write([]byte("more")); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Fatal("the write went well:", err)
	}
	s, _ := still(t)
	s.sockets.read(nb)
	if conn.EOF.Load() {
		t.Error("taken for an end in order")
	}
	for _, e := range s.sockets.take() {
		s.buffers.Put(e.buf)
	}
}
