package httpproxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

func TestBodiesAreForwardedUnchangedOnReusedConnections(t *testing.T) {
	endpoint := newFakeEndpoint(t)
	r, _ := startProxy(t, nil, endpoint.Addr().String())
	c := r.client()
	for _, size := range []int{0, 1, 2000, 5000, maxBody} {
		for _, behaviour := range []string{"echo", "slow"} {
			time.Sleep(time.Duration(reuseDelay + 5*policy.Millisecond)) // until the connection may be reused
			body := strings.Repeat("b", size)
			id := c.send("step/"+behaviour, body, "X-Priority-Class: step\r\nX-Attrs: a=1\r\n")
			if answer, got := c.receive(); answer.StatusCode != 200 || got != body || answer.Close {
				t.Errorf("%s, body of %d bytes: got status %d and a body of %d bytes, or the connection closes",
					behaviour, size, answer.StatusCode, len(got))
			}
			if n, _ := endpoint.count(id); n != 1 {
				t.Errorf("%s, body of %d bytes: the endpoint received the request %d times", behaviour, size, n)
			}
		}
	}
	if _, conns := endpoint.count(""); conns != 1 {
		t.Errorf("sequential requests used %d connections, want 1", conns)
	}
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	if q, w := endpoint.last.URL.RequestURI(), endpoint.last.Header.Get("X-Timeout"); q != "/step/slow?q=1" ||
		endpoint.last.Header.Get("X-Attrs") != "a=1" || w <= "0.4" || w >= "1.0" {
		t.Errorf("the last request was forwarded with target %s and timeout %s", q, w)
	}
}

func TestRequestAndResponseFramings(t *testing.T) {
	endpoint := newFakeEndpoint(t)
	r, _ := startProxy(t, nil, endpoint.Addr().String())
	for _, behaviour := range []string{"chunked", "close"} {
		c := r.client()
		c.send("step/"+behaviour, "some body that is longer than one piece", "")
		if answer, got := c.receive(); answer.StatusCode != 200 || got != "some body that is longer than one piece" {
			t.Errorf("%s: got status %d, %q", behaviour, answer.StatusCode, got)
		}
	}
	c := r.client()
	for _, part := range []string{"POST /step/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: c1\r\nX-Timeout: 1\r\nExpect: 100-continue\r\n",
		"Transfer-Encoding: chunked\r\n\r\n", "3\r\nab", "c\r\n2;x=y\r\nde\r\n0\r\n", "\r\n"} {
		io.WriteString(c, part)
		time.Sleep(5 * time.Millisecond)
	}
	if answer, _ := http.ReadResponse(c.in, nil); answer == nil || answer.StatusCode != 100 {
		t.Error("the client did not get 100 Continue")
	}
	if answer, got := c.receive(); answer.StatusCode != 200 || got != "abcde" {
		t.Errorf("request in chunks: got status %d, %q", answer.StatusCode, got)
	}
	// Two pipelined requests are answered one after the other.
	first, second := c.send("step/slow", "1", ""), c.send("step/echo", "2", "")
	for _, want := range []string{"1", "2"} {
		if _, got := c.receive(); got != want {
			t.Errorf("got %q, want %q (the request IDs are %s and %s)", got, want, first, second)
		}
	}
}

// For each outcome of an attempt and each idempotency of a request, this test checks how often endpoints receive the request and which
// response the client gets.
func TestOutcomesOfAttempts(t *testing.T) {
	for _, k := range []struct {
		behaviour      string
		step, note     int // status of the response to an idempotent request, and to a keyed one
		once, onceSeen int // the same for a non-idempotent request, and how often endpoints receive that request
		outcome        policy.Outcome
	}{
		{"error", 503, 502, 502, 1, policy.Errored},
		{"away", 503, 503, 503, 3, policy.Rejected},
		{"reset", 503, 502, 502, 1, policy.ConnectionLost},
		{"half", 503, 502, 502, 1, policy.ConnectionLost},
		{"garbage", 503, 502, 502, 1, policy.ConnectionLost},
		{"icy", 503, 502, 502, 1, policy.ConnectionLost},
		{"huge", 503, 502, 502, 1, policy.ConnectionLost},
		{"declined", 422, 422, 422, 1, policy.Declined},
		{"silent", 503, 502, 502, 1, policy.TimedOut},
	} {
		endpoints := []*fakeEndpoint{newFakeEndpoint(t), newFakeEndpoint(t), newFakeEndpoint(t)}
		var addrs []string
		for _, s := range endpoints {
			addrs = append(addrs, s.Addr().String())
		}
		r, _ := startProxy(t, nil, addrs...)
		for class, want := range map[string]int{"step": k.step, "note": k.note, "once": k.once} {
			c, began := r.client(), time.Now()
			id := c.send(class+"/"+k.behaviour, "b", "")
			answer, _ := c.receive()
			if answer.StatusCode != want || answer.StatusCode == 503 && answer.Header.Get("Retry-After") == "" {
				t.Errorf("behaviour %s, class %s: got status %d, want %d; a 503 needs Retry-After", k.behaviour, class, answer.StatusCode, want)
			}
			if took := time.Since(began); took > 1050*time.Millisecond || k.behaviour == "icy" && took > 200*time.Millisecond {
				t.Errorf("behaviour %s, class %s: answered after %v", k.behaviour, class, time.Since(began))
			}
			seen := 0
			for _, s := range endpoints {
				n, _ := s.count(id)
				seen += n
			}
			if class == "once" && seen != k.onceSeen || seen == 0 || seen > 3 {
				t.Errorf("behaviour %s, class %s: endpoints received the request %d times", k.behaviour, class, seen)
			}
		}
		r.shutdown()
		if r.Counters.Outcomes[k.outcome] < 3 {
			t.Errorf("behaviour %s: attempts by outcome %v", k.behaviour, r.Counters.Outcomes)
		}
	}
}

// Surplus bytes after a response are not taken for the response to the next request.
func TestDuplicateResponsesAreDiscarded(t *testing.T) {
	endpoint := newFakeEndpoint(t)
	r, _ := startProxy(t, nil, endpoint.Addr().String())
	c := r.client()
	for i := range 300 {
		body := strings.Repeat(fmt.Sprint(i%10), 1+i*43) // some bodies are larger than a buffer
		c.send("step/copy", body, "")
		if answer, got := c.receive(); answer.StatusCode != 200 || got != body {
			t.Fatalf("request %d: got status %d, %d bytes of %.1q, want %d of %.1q", i, answer.StatusCode, len(got), got, len(body), body)
		}
	}
}

// A connection that was never established proves that the request was not processed, so even a non-idempotent one is retried.
func TestRefusedConnectionsAreRetried(t *testing.T) {
	up, down := newFakeEndpoint(t), newFakeEndpoint(t)
	down.Close()
	r, _ := startProxy(t, nil, up.Addr().String(), down.Addr().String())
	for range 20 {
		c := r.client()
		c.send("once/echo", "b", "")
		if answer, _ := c.receive(); answer.StatusCode != 200 {
			t.Errorf("got status %d, want 200", answer.StatusCode)
		}
	}
	r.shutdown()
	if r.Counters.Outcomes[policy.NotConnected] == 0 {
		t.Error("no attempt went to the endpoint that is down")
	}
}

// A request that was only partly written was not processed. Here the kernel has accepted 10 bytes of it.
func TestPartlyWrittenRequestIsNotConnected(t *testing.T) {
	l, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := New(Config{Listen: "127.0.0.1:0", Descriptors: 64, MessageMemory: 1 << 20, Settings: &policy.Settings{Instances: 1}}, logrus.New())
	for queued, want := range map[int64]policy.Outcome{10: policy.ConnectionLost, 11: policy.NotConnected} {
		c := &connstate.Conn{Side: connstate.EndpointSide, Connected: true, Endpoint: &connstate.Endpoint{Endpoint: &engine.Endpoint{}}}
		c.Output.Queued = queued
		c.Output.Written = 10
		request := connstate.AsRequest(s.NewRequest(s.frontIndex))
		request.AttemptConn, c.Request = c, request
		s.conns.Add(c)
		s.connClosed(1, 1, c)
		if s.ReportEndedAttempts(1); s.Counters.Outcomes[want] != 1 {
			t.Errorf("10 of %d bytes were written: attempts by outcome %v, want one with outcome %d", queued, s.Counters.Outcomes, want)
		}
	}
}

func TestAttemptIsCancelledWhenClientDisconnects(t *testing.T) {
	endpoint := newFakeEndpoint(t)
	r, _ := startProxy(t, nil, endpoint.Addr().String())
	for range 5 {
		c := r.client()
		id := c.send("step/silent", "b", "")
		for i := 0; i < 200; i++ {
			if n, _ := endpoint.count(id); n > 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		c.Close()
	}
	time.Sleep(50 * time.Millisecond)
	r.shutdown()
	if r.Counters.ClientsDisconnected != 5 || r.Counters.Outcomes[policy.Cancelled] != 5 {
		t.Errorf("%d clients disconnected, want 5; attempts by outcome %v", r.Counters.ClientsDisconnected, r.Counters.Outcomes)
	}
}
