package httpproxy

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// This test runs clients and endpoints with all kinds of behaviour concurrently. Each request gets one response, or none if its client
// disconnected. Non-idempotent requests are not retried once they may have been processed, and everything is released at the end.
func TestMixedClientAndEndpointBehaviour(t *testing.T) {
	var endpoints []*fakeEndpoint
	var addrs []string
	for range 4 {
		endpoints = append(endpoints, newFakeEndpoint(t))
		addrs = append(addrs, endpoints[len(endpoints)-1].Addr().String())
	}
	r, service := startProxy(t, nil, addrs...)
	behaviours := []string{"echo", "echo", "echo", "chunked", "close", "slow", "error", "away", "reset", "half", "garbage", "silent"}
	var wait sync.WaitGroup
	for n := range 16 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			rnd := rand.New(rand.NewSource(int64(n)))
			var c net.Conn
			var in *bufio.Reader
			for i := range 40 {
				class, behaviour := []string{"step", "note", "once"}[rnd.Intn(3)], behaviours[rnd.Intn(len(behaviours))]
				body := strings.Repeat("x", rnd.Intn(3)*rnd.Intn(9000))
				id := fmt.Sprintf("%d-%d", n, i)
				message := fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: o\r\nX-Request-ID: %s\r\nX-Timeout: 0.3\r\nX-Route-Key: %d\r\n"+
					"Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", class, behaviour, id, rnd.Intn(20), id, len(body), body)
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", r.addr); err != nil {
						t.Error(err)
						return
					}
					defer c.Close()
					c.SetDeadline(time.Now().Add(20 * time.Second))
					in = bufio.NewReader(c)
				}
				at := rnd.Intn(len(message))
				io.WriteString(c, message[:at])
				if rnd.Intn(20) == 0 {
					c.Close()
					c = nil
					continue
				}
				io.WriteString(c, message[at:])
				if rnd.Intn(20) == 0 {
					time.Sleep(time.Duration(rnd.Intn(30)) * time.Millisecond)
					c.Close()
					c = nil
					continue
				}
				answer, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Errorf("%s: reading the response failed: %v", message[:40], err)
					return
				}
				got, err := io.ReadAll(answer.Body)
				if answer.StatusCode == 200 && string(got) != body || err != nil ||
					answer.StatusCode != 200 && answer.StatusCode != 502 && answer.StatusCode != 503 {
					t.Errorf("%s: got status %d, a body of %d bytes, error %v", message[:40], answer.StatusCode, len(got), err)
				}
				seen := 0
				for _, s := range endpoints {
					k, _ := s.count(id)
					seen += k
				}
				if class == "once" && behaviour != "away" && seen > 1 || seen > 3 {
					t.Errorf("behaviour %s, class %s: the request was sent to endpoints %d times", behaviour, class, seen)
				}
				if answer.Close {
					c.Close()
					c = nil
				}
				if n == 0 && i%10 == 0 {
					service.setList(listOf(addrs[:2+i/20]...))
				}
			}
		}()
	}
	wait.Wait()
	time.Sleep(50 * time.Millisecond)
	r.shutdown()
	if k := r.Counters; k.Requests < 400 || k.Succeeded == 0 || k.Failed == 0 || k.Rejected == 0 || k.ClientsDisconnected == 0 {
		t.Errorf("not all kinds of results occurred: %s", k.String())
	}
}
