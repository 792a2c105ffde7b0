package httpproxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pepperlead/policy"
)

// wholeRequests records when requests have been read to their last byte, by any of several endpoints.
type wholeRequests struct {
	mu     sync.Mutex
	begun  int
	whole  []time.Time
	behave func(n int) requestHandling // n is the number of the request, counted from 1 over all endpoints
}

// requestHandling is what an endpoint does with a request.
type requestHandling struct {
	bytesPerSecond int  // rate at which the body is read; 0: as fast as possible
	reset          bool // the connection is reset once the request is whole
}

// endpoint starts an endpoint and returns its address.
func (w *wholeRequests) endpoint(t *testing.T) string {
	addr, _ := scriptedEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		w.mu.Lock()
		w.begun++
		handling := w.behave(w.begun)
		w.mu.Unlock()
		if !readAtRate(r.Body, handling.bytesPerSecond) {
			return false
		}
		w.mu.Lock()
		w.whole = append(w.whole, time.Now())
		w.mu.Unlock()
		if handling.reset {
			resetConn(c)
			return false
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	return addr
}

// readAtRate reads to the end at this rate, and reports whether the end was reached.
func readAtRate(body io.Reader, bytesPerSecond int) bool {
	began := time.Now()
	buf := make([]byte, 16<<10)
	for total := 0; ; {
		n, err := body.Read(buf)
		total += n
		if err != nil {
			return err == io.EOF
		}
		if bytesPerSecond > 0 {
			due := time.Duration(total) * time.Second / time.Duration(bytesPerSecond)
			time.Sleep(due - time.Since(began))
		}
	}
}

// times returns when requests became whole.
func (w *wholeRequests) times() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.whole...)
}

// sendNote sends a keyed request with a body of n bytes, optionally in chunks. Its client waits for 4 s.
func (c *testClient) sendNote(n int, chunked bool) {
	lastID++
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", n)
	end := ""
	if chunked {
		framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", n)
		end = "\r\n0\r\n\r\n"
	}
	fmt.Fprintf(c, "POST /note HTTP/1.1\r\nHost: o\r\nX-Request-ID: id-%d\r\nX-Timeout: 4.0\r\nIdempotency-Key: k-%d\r\n%s%s%s",
		lastID, lastID, framing, strings.Repeat("x", n), end)
}

// Guards against a second effect: an attempt that has timed out while its request lay in this machine's kernel must not become whole at
// its endpoint later, when the repeat has been processed elsewhere and its window has ended.
func TestTimedOutAttemptIsNotWholeLater(t *testing.T) {
	for name, k := range map[string]struct {
		size, rate int
	}{
		"all fits into the kernel": {1 << 20, 400e3},
		"long body":                {4 << 20, 1e6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requests := &wholeRequests{behave: func(n int) requestHandling {
				if n == 1 {
					return requestHandling{bytesPerSecond: k.rate}
				}
				return requestHandling{}
			}}
			r, _ := startProxy(t, func(p *Config) {
				p.Settings.Classes[1].Target = 150 * policy.Millisecond
				p.Settings.Classes[1].LateValue = 0.5
				p.Settings.Classes[1].Window = policy.Second
			}, requests.endpoint(t), requests.endpoint(t))
			c := r.client()
			c.sendNote(k.size, false)
			if answer, _ := c.receive(); answer.StatusCode != 200 {
				t.Errorf("got status %d, want 200", answer.StatusCode)
			}
			time.Sleep(time.Duration(k.size)*time.Second/time.Duration(k.rate) + 500*time.Millisecond)
			if whole := requests.times(); len(whole) != 1 {
				t.Errorf("attempts were whole at %v, want one", whole)
			}
		})
	}
}
