package admin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pepperlead/policy"
)

// fakeReporter has a few fixed figures.
type fakeReporter struct{ ready bool }

func (r *fakeReporter) Ready() bool           { return r.ready }
func (r *fakeReporter) Report() string        { return "tickets 7\n" }
func (r *fakeReporter) ServersReport() string { return "s-1\n" }
func (r *fakeReporter) EachMetric(report func(string, float64, bool)) {
	report("tickets", 7, true)
	report("tickets_in_hand", 2, false)
}
func (r *fakeReporter) EachFigure(report func(string, string, int64, bool)) {
	report("edge_gw_downstream_requests_total", `{lane="a\"b,c",result="failed"}`, 3, true)
	report("edge_gw_pending", "", 2, false)
}

func TestPagesAndMetrics(t *testing.T) {
	reporter := &fakeReporter{}
	latency := NewLatency([]policy.Class{{Name: "step"}, {Name: "call"}})
	latency.Observe(1, 3, 30*policy.Millisecond)
	if n := testing.AllocsPerRun(100, func() { latency.Observe(0, 0, policy.Millisecond/2) }); n > 0 {
		t.Errorf("Observe made %v allocations per call, want none", n)
	}
	s, err := ListenMetrics("127.0.0.1:0", reporter, latency)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	get := func(path string) (int, string) {
		answer, err := http.Get("http://" + s.Addr() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Body.Close()
		b, _ := io.ReadAll(answer.Body)
		return answer.StatusCode, string(b)
	}
	if status, _ := get("/_health"); status != 503 {
		t.Errorf("status of /_health before the reporter is ready: %d, want 503", status)
	}
	reporter.ready = true
	if status, _ := get("/_health"); status != 200 {
		t.Errorf("status of /_health once the reporter is ready: %d, want 200", status)
	}
	_, page := get("/metrics")
	for _, want := range []string{"pepperlead_tickets_total 7\n", "pepperlead_tickets_in_hand 2\n",
		`edge_gw_downstream_requests_total{lane="a\"b,c",result="failed"} 3`, "edge_gw_pending 2\n",
		`pepperlead_answer_seconds_bucket{answer="given_up",offering="call",le="0.025"} 0`,
		`pepperlead_answer_seconds_bucket{answer="given_up",offering="call",le="0.05"} 1`,
		`pepperlead_answer_seconds_count{answer="honoured",offering="step"} 101`, "go_goroutines "} {
		if !strings.Contains(page, want) {
			t.Errorf("the page /metrics does not contain %s", want)
		}
	}
	if _, page := get("/_counters"); page != "tickets 7\n" {
		t.Errorf("unexpected page /_counters: %s", page)
	}
	// Clients that hold connections open must not take more descriptors than are reserved: further clients wait.
	var held []net.Conn
	for range MaxConnections + 4 {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		held = append(held, c)
	}
	answered := 0
	for _, c := range held {
		fmt.Fprint(c, "GET /_servers HTTP/1.1\r\nHost: o\r\n\r\n")
		c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if n, _ := c.Read(make([]byte, 8)); n > 0 {
			answered++
		}
	}
	if answered > MaxConnections {
		t.Errorf("%d connections were answered at once, more than MaxConnections", answered)
	}
	for _, c := range held {
		c.Close()
	}
	if _, page := get("/_servers"); page != "s-1\n" {
		t.Errorf("unexpected page /_servers: %s", page)
	}
}
