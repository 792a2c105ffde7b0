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
	"testing"
	"time"

	"pepperlead/internal/connstate"
)

// A chunked body that is decoded as it comes is the one that is measured at once, however it is split.
func FuzzDecodeBody(f *testing.F) {
	for _, in := range []string{"5\r\nhello\r\n0\r\n\r\n", "5 ; x=1\r\nhello\r\n1\r\n!\r\n0;y\r\nA: b\r\nC: d\r\n\r\nmore", "g\r\n", "5\nhello", "0\r\n\r\n", "\r\n",
		" 3\r\nabc\r\n000\r\n\r\n", "3\r\nabcd\r\n", "ffffffffff\r\n", "3\r\nabc\r\n0\r\nA: b\r\r\n\r\n"} {
		f.Add([]byte(in), int64(3))
	}
	f.Fuzz(func(t *testing.T, in []byte, seed int64) {
		extent, ok := measureChunks(in, maxBody)
		used := extent.length
		complete := ok && used > 0
		var want []byte
		if complete {
			want = bytes.Clone(joinChunks(bytes.Clone(in[:used])))
		}
		rnd, frame, got := rand.New(rand.NewSource(seed)), newFrame(-1, true), []byte(nil)
		for at := 0; at < len(in); {
			part := bytes.Clone(in[at:min(len(in), at+1+rnd.Intn(9))])
			decoded, fine := decodeBody(&frame, part)
			done := decoded.done
			got = append(got, part[:decoded.size]...)
			at += decoded.used
			if done != (done && fine) || !fine && complete {
				t.Fatalf("%q: refused at %d, but it is whole", in, at)
			}
			if !fine {
				return
			}
			if done {
				// What is refused here for a part of a trailer that is no line may be whole there, never the other way round.
				if !complete || at != used || !bytes.Equal(got, want) {
					t.Fatalf("%q: took %d, %q; whole: %d, %q", in, at, got, used, want)
				}
				return
			}
		}
		if complete {
			t.Fatalf("%q: not done, but whole at %d", in, used)
		}
	})
}

// peer is an endpoint that does with each request as told, until that says no; seen counts them.
func peer(t *testing.T, serve func(c net.Conn, r *http.Request, n int) bool) (addr string, seen *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", here)
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

// giver answers with a head, then so many bytes in some framing.
func giver(t *testing.T, answer func(w io.Writer, body *rand.Rand)) string {
	addr, _ := peer(t, func(c net.Conn, r *http.Request, _ int) bool {
		io.Copy(io.Discard, r.Body)
		answer(c, rand.New(rand.NewSource(1)))
		return true
	})
	return addr
}

const long = 3 << 20

func sum(n int64) [32]byte {
	h := sha256.New()
	io.CopyN(h, rand.New(rand.NewSource(1)), n)
	return [32]byte(h.Sum(nil))
}

// Long answers come through whole in every framing, to clients that read slowly too, and cost no more memory than may be ahead.
func TestLongAnswersComeAsTheyAre(t *testing.T) {
	for name, answer := range map[string]func(w io.Writer, body *rand.Rand){
		"sized": func(w io.Writer, body *rand.Rand) {
			fmt.Fprintf(w, "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX-Made-By: server\r\nContent-Length: %d\r\n\r\n", long)
			io.CopyN(w, body, long)
		},
		"in chunks": func(w io.Writer, body *rand.Rand) {
			io.WriteString(w, "HTTP/1.1 200 OK\r\nX-Made-By: server\r\nTransfer-Encoding: chunked\r\n\r\n")
			for left := long; left > 0; {
				n := min(left, 70001)
				fmt.Fprintf(w, "%x;x=y\r\n", n)
				io.CopyN(w, body, int64(n))
				io.WriteString(w, "\r\n")
				left -= n
			}
			io.WriteString(w, "0\r\nX-T: 1\r\n\r\n")
		},
		"to the end": func(w io.Writer, body *rand.Rand) {
			io.WriteString(w, "HTTP/1.1 200 OK\r\nX-Made-By: server\r\nConnection: close\r\n\r\n")
			io.CopyN(w, body, long)
			w.(net.Conn).Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := run(t, nil, giver(t, answer))
			for _, pace := range []time.Duration{0, 5 * time.Millisecond} {
				c := r.client()
				c.send("step/x", "", "")
				a, err := http.ReadResponse(c.in, nil)
				if err != nil || a.StatusCode != 200 || a.Header.Get("X-Made-By") != "server" {
					t.Fatal(err, a)
				}
				h, most := sha256.New(), int64(0)
				for err == nil {
					_, err = io.CopyN(h, a.Body, 32<<10)
					most = max(most, int64(r.buffers.Lent()))
					time.Sleep(pace)
				}
				if [32]byte(h.Sum(nil)) != sum(long) {
					t.Error("not the bytes that the server sent")
				}
				if most > maxPendingBytes+3*connstate.LargeBuffer {
					t.Errorf("%d bytes were held", most)
				}
			}
			if r.Counters.StreamsBroken != 0 {
				t.Error("broken")
			}
		})
	}
}

// A long answer that breaks off, or cannot be read further, ends before its end for the client, and is never asked for again.
func TestFaultsInMidAnswerShow(t *testing.T) {
	for name, answer := range map[string]func(w io.Writer, body *rand.Rand){
		"sized": func(w io.Writer, body *rand.Rand) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", long)
			io.CopyN(w, body, long/2)
			w.(net.Conn).Close()
		},
		"in chunks": func(w io.Writer, body *rand.Rand) {
			io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+strconv.FormatInt(long/2, 16)+"\r\n")
			io.CopyN(w, body, long/2)
			io.WriteString(w, "\r\nnonsense\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := run(t, nil, giver(t, answer))
			c := r.client()
			c.send("step/x", "", "")
			a, err := http.ReadResponse(c.in, nil)
			if err != nil || a.StatusCode != 200 {
				t.Fatal(err, a)
			}
			if n, err := io.Copy(io.Discard, a.Body); err == nil || n > long/2 {
				t.Errorf("%d bytes came, %v", n, err)
			}
			r.RunOnLoop(func() {
				if r.Counters.Attempts != 1 || r.Counters.StreamsBroken != 1 || r.Tally.Answered[0][2].Load() != 1 {
					t.Error(r.Counters.Attempts, r.Counters.StreamsBroken)
				}
			})
		})
	}
}

// Clients may be slow over a head and a body; one that says no more is told so soon.
func TestSlowRequestsHaveTheirTime(t *testing.T) {
	r, _ := run(t, nil, newStandIn(t).Addr().String())
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
		t.Error(a.Status, time.Since(begun))
	}
	if a, body := slow.receive(); a.StatusCode != 200 || len(body) != 60000 {
		t.Error(a.Status, len(body))
	}
}

// taker reads each request's body as told, and answers with its length and sum.
func taker(t *testing.T, take func(r *http.Request, n int) (int64, [32]byte, bool)) (string, *atomic.Int64) {
	return peer(t, func(c net.Conn, r *http.Request, no int) bool {
		n, sum, goesOn := take(r, no)
		if answer := fmt.Sprintf("%d %x", n, sum); goesOn {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		}
		return goesOn
	})
}

func all(r *http.Request, _ int) (int64, [32]byte, bool) {
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	return n, [32]byte(h.Sum(nil)), err == nil
}

// bring sends a request with a body of n bytes, in chunks where that is asked for.
func (c *client) bring(n int64, chunked bool) {
	body := rand.New(rand.NewSource(1))
	serial++
	fmt.Fprintf(c, "POST http://o/step/x HTTP/1.1\r\nHost: o\r\nX-Request-ID: id-%d\r\nX-Timeout: 1\r\n", serial)
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

// little is memory for messages of which one body may take 1 MiB.
func little(p *Config) { p.MessageMemory = 6 << 20 }

// Long bodies come to the endpoint as they were sent, collected or passed on, and the connection goes on to its next request.
func TestLongBodiesComeAsTheyAre(t *testing.T) {
	addr, _ := taker(t, func(r *http.Request, n int) (int64, [32]byte, bool) {
		time.Sleep(50 * time.Millisecond) // its client has to wait
		return all(r, n)
	})
	r, _ := run(t, little, addr)
	c := r.client()
	var most atomic.Int64
	over := make(chan struct{})
	go func() {
		for {
			select {
			case <-over:
				return
			default:
				most.Store(max(most.Load(), int64(r.buffers.Lent())))
				time.Sleep(time.Millisecond)
			}
		}
	}()
	for _, n := range []int64{100 << 10, 1 << 20, 5 << 20, 3} {
		for _, chunked := range []bool{false, true} {
			c.bring(n, chunked)
			a, body := c.receive()
			if want := fmt.Sprintf("%d %x", n, sum(n)); a.StatusCode != 200 || body != want {
				t.Fatalf("%d bytes, chunked %v: %s %q, want %q", n, chunked, a.Status, body, want)
			}
		}
	}
	close(over)
	if m := most.Load(); m > 5<<20 {
		t.Errorf("%d bytes were held", m)
	}
	if written := r.Tally.Written.Load(); written != 8 {
		t.Errorf("%d attempts counted of 8", written)
	}
}

// A collected body is sent again elsewhere; one that was passed on is not, and its client is told to come again, as it never ran.
func TestLongBodiesWhoseServerBreaksOff(t *testing.T) {
	broken := func(r *http.Request, n int) (int64, [32]byte, bool) {
		if n == 1 {
			io.CopyN(io.Discard, r.Body, 70<<10)
			return 0, [32]byte{}, false
		}
		return all(r, n)
	}
	for _, c := range []struct {
		n      int64
		status int
	}{{1 << 20, 200}, {5 << 20, 503}} {
		addr, seen := taker(t, broken)
		other, also := taker(t, func(r *http.Request, n int) (int64, [32]byte, bool) { return broken(r, n+1) })
		r, _ := run(t, little, addr, other)
		for i := 0; seen.Load() == 0; i++ {
			client := r.client()
			client.bring(c.n, false)
			a, _ := client.receive()
			if seen.Load() == 0 {
				continue // it went to the other at once
			}
			if a.StatusCode != c.status || c.status == 200 && also.Load() == 0 {
				t.Errorf("%d bytes: %s, %d and %d requests", c.n, a.Status, seen.Load(), also.Load())
			}
			client.bring(3, false) // the connection carries on
			if a, _ := client.receive(); a.StatusCode != 200 {
				t.Error(a.Status)
			}
		}
	}
}

// Who stops in the middle of a long body is told so and closed, and its request ends without a trace.
func TestLongBodiesThatStop(t *testing.T) {
	addr, _ := taker(t, all)
	r, _ := run(t, nil, addr)
	for _, n := range []int{100 << 10, 5 << 20} {
		c := r.client()
		serial++
		fmt.Fprintf(c, "POST /step/x HTTP/1.1\r\nHost: o\r\nX-Request-ID: id-%d\r\nX-Timeout: 1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", serial, n)
		if line, _ := c.in.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
			t.Errorf("%q", line)
		}
		c.in.ReadString('\n')
		io.CopyN(c, rand.New(rand.NewSource(1)), 20<<10)
		if a, _ := c.receive(); a.StatusCode != 408 {
			t.Error(n, a.Status)
		}
	}
	if r.Tally.Written.Load() != 0 || r.Tally.Pending.Load() != 0 {
		t.Error(r.Tally.Written.Load(), r.Tally.Pending.Load())
	}
}
