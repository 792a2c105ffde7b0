package httpproxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against bytes that are written to the connection of another client: a socket must not be used once its descriptor is closed, as
// its number is that of the next connection by then. Clients that flood a full memory and leave make many descriptors change hands; the
// others must get exactly one answer to each request, the one to their own.
func TestNoClientGetsTheAnswerOfAnother(t *testing.T) {
	r, _ := startProxy(t, func(p *Config) { p.MessageMemory = 64 << 10 }, newFakeEndpoint(t).Addr().String())
	end := time.Now().Add(1500 * time.Millisecond)
	var wg sync.WaitGroup
	head := "POST /step/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: leaver\r\nX-Timeout: 1\r\nContent-Length: 60000\r\n\r\n"
	for range 24 {
		wg.Go(func() { // floods and leaves
			for time.Now().Before(end) {
				c := r.client()
				io.WriteString(c, head+strings.Repeat("x", 30000))
				c.Close()
			}
		})
	}
	for n := range 24 {
		wg.Go(func() {
			for i := 0; time.Now().Before(end) && !t.Failed(); i++ {
				c := r.client()
				body := fmt.Sprintf("%d-%d", n, i)
				fmt.Fprintf(c, "POST /step/echo HTTP/1.1\r\nHost: o\r\nConnection: close\r\nX-Request-ID: %s\r\nX-Timeout: 1\r\nContent-Length: %d\r\n\r\n%s", body, len(body), body)
				got, err := io.ReadAll(c)
				c.Close()
				in := bufio.NewReader(strings.NewReader(string(got)))
				answer, errParse := http.ReadResponse(in, nil)
				if errParse != nil {
					t.Errorf("client %s: no answer in %q, error %v", body, got, err)
					return
				}
				gotBody, _ := io.ReadAll(answer.Body)
				if rest, _ := io.ReadAll(in); len(rest) > 0 || answer.StatusCode == 200 && string(gotBody) != body {
					t.Errorf("client %s: got status %d, body %q and then %q", body, answer.StatusCode, gotBody, rest)
				}
			}
		})
	}
	wg.Wait()
}
