package httpproxy

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pepperlead/internal/connstate"
)

// decodeBody, fed with a chunked body in random pieces, gives the same result as measureChunks and joinChunks on the whole body.
func FuzzDecodeBody(f *testing.F) {
	for _, in := range []string{"5\r\nhello\r\n0\r\n\r\n", "5 ; x=1\r\nhello\r\n1\r\n!\r\n0;y\r\nA: b\r\nC: d\r\n\r\nmore", "g\r\n", "5\nhello", "0\r\n\r\n", "\r\n",
		" 3\r\nabc\r\n000\r\n\r\n", "3\r\nabcd\r\n", "ffffffffff\r\n", "3\r\nabc\r\n0\r\nA: b\r\r\n\r\n"} {
		f.Add([]byte(in), int64(3))
	}
	f.Fuzz(func(t *testing.T, in []byte, seed int64) {
		extent, ok := measureChunks(in, maxBody, new(connstate.WholeChunks))
		used := extent.length
		complete := ok && used > 0
		var want []byte
		if complete {
			want = bytes.Clone(joinChunks(bytes.Clone(in[:used])))
		}
		rnd, frame, got := rand.New(rand.NewSource(seed)), newFrame(-1, true), []byte(nil)
		for at := 0; at < len(in); {
			part := bytes.Clone(in[at:min(len(in), at+1+rnd.Intn(9))])
			decoded, valid := decodeBody(&frame, part)
			done := decoded.done
			got = append(got, part[:decoded.size]...)
			at += decoded.used
			if done != (done && valid) || !valid && complete {
				t.Fatalf("%q: refused at byte %d, but the body is complete", in, at)
			}
			if !valid {
				return
			}
			if done {
				// decodeBody may refuse a trailer line that measureChunks accepts, but never the other way round.
				if !complete || at != used || !bytes.Equal(got, want) {
					t.Fatalf("%q: decoded %d bytes to %q, want %d bytes to %q", in, at, got, used, want)
				}
				return
			}
		}
		if complete {
			t.Fatalf("%q: not done at the end of the input, but the body is complete after %d bytes", in, used)
		}
	})
}

// scriptedEndpoint starts an endpoint that calls serve for each request, where n is the number of the request, counted from 1. It closes
// the connection when serve returns false. seen counts the requests.
func scriptedEndpoint(t *testing.T, serve func(c net.Conn, r *http.Request, n int) bool) (addr string, seen *atomic.Int64) {
	t.Helper()
	return scriptedEndpointOn(t, 0, serve)
}

// scriptedEndpointOn is like scriptedEndpoint, for an endpoint whose receive buffers have a given size in bytes; 0: the kernel's choice.
func scriptedEndpointOn(
	t *testing.T, receiveBuffer int, serve func(c net.Conn, r *http.Request, n int) bool,
) (addr string, seen *atomic.Int64) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if receiveBuffer > 0 {
			c.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
		}
		return err
	}}
	l, err := config.Listen(t.Context(), "tcp", loopbackAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	seen = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					if r, err := http.ReadRequest(in); err != nil || !serve(c, r, int(seen.Add(1))) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), seen
}

// respondingEndpoint starts an endpoint that calls respond to write each response. body always yields the same random bytes.
func respondingEndpoint(t *testing.T, respond func(w io.Writer, body *rand.Rand)) string {
	addr, _ := scriptedEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		io.Copy(io.Discard, r.Body)
		respond(c, rand.New(rand.NewSource(1)))
		return true
	})
	return addr
}

const longBody = 3 << 20

// digestOf returns the digest of the first n bytes of the fixed random body.
func digestOf(n int64) [32]byte {
	h := sha256.New()
	io.CopyN(h, rand.New(rand.NewSource(1)), n)
	return [32]byte(h.Sum(nil))
}

// Long responses are streamed unchanged in every framing, also to slow clients, within the limit of pending bytes.
func TestLongResponsesAreStreamedUnchanged(t *testing.T) {
	for name, answer := range map[string]func(w io.Writer, body *rand.Rand){
		"sized": func(w io.Writer, body *rand.Rand) {
			fmt.Fprintf(w, "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX-Made-By: server\r\nContent-Length: %d\r\n\r\n", longBody)
			io.CopyN(w, body, longBody)
		},
		"in chunks": func(w io.Writer, body *rand.Rand) {
			io.WriteString(w, "HTTP/1.1 200 OK\r\nX-Made-By: server\r\nTransfer-Encoding: chunked\r\n\r\n")
			for left := longBody; left > 0; {
				n := min(left, 70001)
				fmt.Fprintf(w, "%x;x=y\r\n", n)
				io.CopyN(w, body, int64(n))
				io.WriteString(w, "\r\n")
				left -= n
			}
			io.WriteString(w, "0\r\nX-T: 1\r\n\r\n")
		},
		"until EOF": func(w io.Writer, body *rand.Rand) {
			io.WriteString(w, "HTTP/1.1 200 OK\r\nX-Made-By: server\r\nConnection: close\r\n\r\n")
			io.CopyN(w, body, longBody)
			w.(net.Conn).Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := startProxy(t, nil, respondingEndpoint(t, answer))
			for _, pace := range []time.Duration{0, 5 * time.Millisecond} {
				c := r.client()
				c.send("step/x", "", "")
				a, err := http.ReadResponse(c.in, nil)
				if err != nil || a.StatusCode != 200 || a.Header.Get("X-Made-By") != "server" {
					t.Fatalf("got response %v, error %v", a, err)
				}
				h, maxHeld := sha256.New(), int64(0)
				for err == nil {
					_, err = io.CopyN(h, a.Body, 32<<10)
					maxHeld = max(maxHeld, int64(r.buffers.InUse()))
					time.Sleep(pace)
				}
				if [32]byte(h.Sum(nil)) != digestOf(longBody) {
					t.Error("the body differs from the one that the endpoint sent")
				}
				if maxHeld > maxPendingBytes+3*connstate.LargeBuffer {
					t.Errorf("buffers took up to %d bytes of memory", maxHeld)
				}
			}
			if r.Counters.StreamsBroken != 0 {
				t.Error("a stream was broken")
			}
		})
	}
}

// Guards against a sound client that is cut off: it reads 64 kB/s all the time, but the kernel accepts more for it only once a third of a
// send buffer of some megabytes is free, which takes longer than a client may read nothing.
func TestSlowClientGetsItsLongResponse(t *testing.T) {
	const size, rate, tick = 12 << 20, 64_000, 50 * time.Millisecond
	r, _ := startProxy(t, nil, respondingEndpoint(t, func(w io.Writer, body *rand.Rand) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		io.CopyN(w, body, size)
	}))
	t.Parallel()
	c := r.client()
	c.SetDeadline(time.Now().Add(time.Minute))
	c.send("step/x", "", "")
	answer, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	h, began := sha256.New(), time.Now()
	for err == nil {
		if time.Since(began) > time.Duration(streamStallTimeout)+2*time.Second {
			_, err = io.Copy(h, answer.Body) // it has read slowly for long enough
			break
		}
		_, err = io.CopyN(h, answer.Body, int64(rate*tick/time.Second))
		time.Sleep(tick)
	}
	if err != nil || [32]byte(h.Sum(nil)) != digestOf(size) {
		t.Errorf("the response was cut off after %v, or is not the one that the endpoint sent: %v", time.Since(began), err)
	}
}

// A streamed response that is truncated or becomes malformed ends early for the client, and the request is not retried.
func TestFailureDuringStreamIsVisibleToClient(t *testing.T) {
	for name, answer := range map[string]func(w io.Writer, body *rand.Rand){
		"sized": func(w io.Writer, body *rand.Rand) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longBody)
			io.CopyN(w, body, longBody/2)
			w.(net.Conn).Close()
		},
		"in chunks": func(w io.Writer, body *rand.Rand) {
			io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+strconv.FormatInt(longBody/2, 16)+"\r\n")
			io.CopyN(w, body, longBody/2)
			io.WriteString(w, "\r\nnonsense\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := startProxy(t, nil, respondingEndpoint(t, answer))
			c := r.client()
			c.send("step/x", "", "")
			a, err := http.ReadResponse(c.in, nil)
			if err != nil || a.StatusCode != 200 {
				t.Fatalf("got response %v, error %v", a, err)
			}
			if n, err := io.Copy(io.Discard, a.Body); err == nil || n > longBody/2 {
				t.Errorf("the client received %d bytes and then the error %v", n, err)
			}
			r.RunOnLoop(func() {
				if r.Counters.Attempts != 1 || r.Counters.StreamsBroken != 1 || r.Metrics.Answered[0][2].Load() != 1 {
					t.Errorf("got %d attempts, %d broken streams", r.Counters.Attempts, r.Counters.StreamsBroken)
				}
			})
		})
	}
}

// Clients may send a head and a body slowly, but a client that stops sending gets 408 within 2.5 s.
func TestSlowRequestsTimeOut(t *testing.T) {
	r, _ := startProxy(t, nil, newFakeEndpoint(t).Addr().String())
	slow := r.client()
	go func() {
		for _, part := range []string{"POST /step/echo HTTP/1.1\r\nHost: o\r\n", "X-Request-ID: slow\r\nX-Timeout: 1\r\nContent-Length: 60000\r\n\r\n"} {
			io.WriteString(slow, part)
			time.Sleep(800 * time.Millisecond)
		}
		for range 30 {
			io.WriteString(slow, strings.Repeat("x", 2000))
			time.Sleep(40 * time.Millisecond)
		}
	}()
	stuck := r.client()
	begun := time.Now()
	fmt.Fprint(stuck, "POST /step/echo HTTP/1.1\r\nHost: o\r\nContent-Length: 60000\r\n\r\nx")
	if a, _ := stuck.receive(); a.StatusCode != 408 || time.Since(begun) > 2500*time.Millisecond {
		t.Errorf("client that stopped sending: got %s after %v", a.Status, time.Since(begun))
	}
	if a, body := slow.receive(); a.StatusCode != 200 || len(body) != 60000 {
		t.Errorf("slow client: got %s and a body of %d bytes", a.Status, len(body))
	}
}

// readingEndpoint starts an endpoint that reads each request body with read and responds with the length and digest of the body. If the
// last result of read is false, the endpoint closes the connection instead.
func readingEndpoint(t *testing.T, read func(r *http.Request, n int) (int64, [32]byte, bool)) (string, *atomic.Int64) {
	return scriptedEndpoint(t, func(c net.Conn, r *http.Request, number int) bool {
		n, digest, ok := read(r, number)
		if body := fmt.Sprintf("%d %x", n, digest); ok {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		return ok
	})
}

func readAll(r *http.Request, _ int) (int64, [32]byte, bool) {
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	return n, [32]byte(h.Sum(nil)), err == nil
}

// sendLongBody sends a request with a body of n bytes, optionally in chunks.
func (c *testClient) sendLongBody(n int64, chunked bool) {
	body := rand.New(rand.NewSource(1))
	number := nextNumber()
	fmt.Fprintf(c, "POST http://o/step/x HTTP/1.1\r\nHost: o\r\nX-Request-ID: id-%d\r\nX-Timeout: 1\r\n", number)
	if !chunked {
		fmt.Fprintf(c, "Content-Length: %d\r\n\r\n", n)
		io.CopyN(c, body, n)
		return
	}
	io.WriteString(c, "Transfer-Encoding: chunked\r\n\r\n")
	for left := n; left > 0; left -= 30011 {
		fmt.Fprintf(c, "%x\r\n", min(left, 30011))
		io.CopyN(c, body, min(left, 30011))
		io.WriteString(c, "\r\n")
	}
	io.WriteString(c, "0\r\nX-Trailer: 1\r\n\r\n")
}

// withLittleMemory limits the memory for messages so that up to 1 MiB of one body is collected.
func withLittleMemory(p *Config) { p.MessageMemory = 6 << 20 }

// Long bodies reach the endpoint unchanged, whether collected or streamed, and the client connection then carries its next request.
func TestLongBodiesAreForwardedUnchanged(t *testing.T) {
	addr, _ := readingEndpoint(t, func(r *http.Request, n int) (int64, [32]byte, bool) {
		time.Sleep(50 * time.Millisecond) // the client must pause, as the endpoint does not read yet
		return readAll(r, n)
	})
	r, _ := startProxy(t, withLittleMemory, addr)
	c := r.client()
	var maxHeld atomic.Int64
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			default:
				maxHeld.Store(max(maxHeld.Load(), int64(r.buffers.InUse())))
				time.Sleep(time.Millisecond)
			}
		}
	}()
	for _, n := range []int64{100 << 10, 1 << 20, 5 << 20, 3} {
		for _, chunked := range []bool{false, true} {
			c.sendLongBody(n, chunked)
			a, body := c.receive()
			if want := fmt.Sprintf("%d %x", n, digestOf(n)); a.StatusCode != 200 || body != want {
				t.Fatalf("body of %d bytes, chunked %v: got %s, %q, want %q", n, chunked, a.Status, body, want)
			}
		}
	}
	close(done)
	if m := maxHeld.Load(); m > 5<<20 {
		t.Errorf("buffers took up to %d bytes of memory", m)
	}
	if written := r.Metrics.Written.Load(); written != 8 {
		t.Errorf("%d requests were counted as written, want 8", written)
	}
}

// A request with a collected body is retried at another endpoint. One with a streamed body is not: its client gets 503, as the request
// was never processed.
func TestRetryOfLongBodies(t *testing.T) {
	failFirst := func(r *http.Request, n int) (int64, [32]byte, bool) {
		if n == 1 {
			io.CopyN(io.Discard, r.Body, 70<<10)
			return 0, [32]byte{}, false
		}
		return readAll(r, n)
	}
	for _, c := range []struct {
		n      int64
		status int
	}{{1 << 20, 200}, {5 << 20, 503}} {
		addr, seen := readingEndpoint(t, failFirst)
		other, seenByOther := readingEndpoint(t, func(r *http.Request, n int) (int64, [32]byte, bool) { return failFirst(r, n+1) })
		r, _ := startProxy(t, withLittleMemory, addr, other)
		for i := 0; seen.Load() == 0; i++ {
			client := r.client()
			client.sendLongBody(c.n, false)
			a, _ := client.receive()
			if seen.Load() == 0 {
				continue // the first attempt went to the other endpoint
			}
			if a.StatusCode != c.status || c.status == 200 && seenByOther.Load() == 0 {
				t.Errorf("body of %d bytes: got %s; the two endpoints received %d and %d requests", c.n, a.Status, seen.Load(), seenByOther.Load())
			}
			client.sendLongBody(3, false) // the connection remains usable
			if a, _ := client.receive(); a.StatusCode != 200 {
				t.Errorf("next request on the connection: got %s, want 200", a.Status)
			}
		}
	}
}

// A client that stops sending in the middle of a long body gets 408 within 2.5 s, its connection is closed, and its request ends. Guards
// against a wait that grows with what the client has sent before.
func TestStalledLongBodyGets408(t *testing.T) {
	addr, _ := readingEndpoint(t, readAll)
	r, _ := startProxy(t, nil, addr)
	for n, sent := range map[int]int64{90 << 10: 80 << 10, 100 << 10: 20 << 10, 5 << 20: 2 << 20} {
		c := r.client()
		number := nextNumber()
		fmt.Fprintf(c, "POST /step/x HTTP/1.1\r\nHost: o\r\nX-Request-ID: id-%d\r\nX-Timeout: 1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", number, n)
		if line, _ := c.in.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
			t.Errorf("got %q, want 100 Continue", line)
		}
		c.in.ReadString('\n')
		io.CopyN(c, rand.New(rand.NewSource(1)), sent)
		stopped := time.Now()
		if a, _ := c.receive(); a.StatusCode != 408 || time.Since(stopped) > 2500*time.Millisecond {
			t.Errorf("body of %d bytes: got %s after %v, want 408 within 2.5 s", n, a.Status, time.Since(stopped))
		}
	}
	if r.Metrics.Written.Load() != 0 || r.Metrics.Pending.Load() != 0 {
		t.Errorf("%d requests are counted as written and %d as pending, want none", r.Metrics.Written.Load(), r.Metrics.Pending.Load())
	}
}
