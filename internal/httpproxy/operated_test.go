package httpproxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pepperlead/policy"
)

// drainByOperator sets the administratively drained endpoints.
func (r *runningProxy) drainByOperator(uids ...string) {
	r.t.Helper()
	if !r.RunOnLoopWithin(time.Second, func() { r.SetDrained(r.Clock.Now(), uids) }) {
		r.t.Fatal("the loop does not respond")
	}
}

// An administratively drained endpoint gets no requests, whatever the endpoint list contains. After the drain is lifted, the endpoint
// is cold, and it is used again.
func TestAdministrativeDrainOverridesList(t *testing.T) {
	one, two := newFakeEndpoint(t), newFakeEndpoint(t)
	r, service := startProxy(t, nil, one.Addr().String(), two.Addr().String())
	c := r.client()
	requestsTo := func(n int) (counts [2]int) {
		t.Helper()
		for range n {
			id := c.send("step/echo", "x", "")
			if answer, _ := c.receive(); answer.StatusCode != 200 {
				t.Fatal(answer.Status)
			}
			for i, s := range []*fakeEndpoint{one, two} {
				seen, _ := s.count(id)
				counts[i] += seen
			}
		}
		return counts
	}
	if counts := requestsTo(40); counts[0] == 0 || counts[1] == 0 {
		t.Fatal("not both endpoints got requests; requests by endpoint:", counts)
	}
	r.drainByOperator("s-0")
	list := listOf(one.Addr().String(), two.Addr().String())
	for i, newList := range []string{"", list, listOf(one.Addr().String()+" Terminating", two.Addr().String()), listOf("127.0.0.1:1 Gone", two.Addr().String()), list} {
		if newList != "" {
			service.setList(newList)
			time.Sleep(20 * time.Millisecond)
		}
		if counts := requestsTo(20); counts[0] != 0 {
			t.Errorf("list %d: requests by endpoint %v", i, counts)
		}
	}
	var listed, unknownListed bool
	var started policy.Time
	r.RunOnLoop(func() { listed, unknownListed = r.WasListed("s-0"), r.WasListed("s-9") })
	if !listed || unknownListed || r.Metrics.Endpoints.Load() != 2 || r.Metrics.Unavailable.Load() != 1 {
		t.Error("wrong result of WasListed for s-0 or s-9, or wrong number of endpoints or unavailable ones:", listed, unknownListed, r.Metrics.Endpoints.Load(), r.Metrics.Unavailable.Load())
	}
	before := r.Clock.Now()
	r.drainByOperator()
	r.RunOnLoop(func() {
		for _, s := range r.Endpoints {
			if s.UID == "s-0" {
				started = s.Started
			}
		}
	})
	if started < before {
		t.Error("the endpoint is not cold after the drain")
	}
	time.Sleep(1100 * time.Millisecond) // until it is warm
	if counts := requestsTo(40); counts[0] == 0 {
		t.Error("the endpoint was not used again; requests by endpoint:", counts)
	}
	if r.Metrics.Unavailable.Load() != 0 {
		t.Error("the endpoint still counts as unavailable")
	}
}

// Each request is counted once by class and result, and each attempt once it is written.
func TestMetricsMatchObservedRequests(t *testing.T) {
	one := newFakeEndpoint(t)
	r, _ := startProxy(t, nil, one.Addr().String())
	want := map[string]int{}
	for i, behaviour := range []string{"echo", "error", "away", "declined", "reset", "echo", "once"} {
		c := r.client()
		path := []string{"step", "once"}[i%2] + "/" + behaviour
		c.send(path, "x", "")
		answer, _ := c.receive()
		result := "failed"
		switch answer.StatusCode {
		case 200:
			result = "completed"
		case 503:
			result = "rejected"
		}
		want[fmt.Sprintf(`edge_gw_downstream_requests_total{lane="%s",result="%s"}`, path[:4], result)]++
		c.Close()
	}
	metrics := string(r.AppendFigures(nil))
	for line, n := range want {
		if !strings.Contains(metrics, fmt.Sprintf("%s %d\n", line, n)) {
			t.Errorf("the line %s %d is missing in\n%s", line, n, metrics)
		}
	}
	one.mu.Lock()
	seen := 0
	for _, n := range one.seen {
		seen += n
	}
	one.mu.Unlock()
	for _, line := range []string{fmt.Sprintf("edge_gw_upstream_requests_total %d\n", seen), "edge_gw_pending 0\n", "edge_gw_members 1\n",
		"edge_gw_members_unavailable "} {
		if !strings.Contains(metrics, line) {
			t.Errorf("%q is missing in\n%s", line, metrics)
		}
	}
	buf := make([]byte, 0, 4<<10)
	if n := testing.AllocsPerRun(100, func() { r.AppendFigures(buf[:0]) }); n > 1 {
		t.Errorf("writing the metrics took %v allocations, want at most 1", n)
	}
}

// Processes succeed each other on a shared listener while clients send requests: no client is refused, and almost no request is lost.
func TestListenerHandover(t *testing.T) {
	one := newFakeEndpoint(t)
	l, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	startProcess := func(successor bool) *runningProxy {
		r, _ := startProxy(t, func(p *Config) {
			p.Listen, p.Successor, p.ImportState = l.Addr().String(), successor, func() {}
			if p.InheritedListener, err = syscall.Dup(int(f.Fd())); err != nil {
				t.Fatal(err)
			}
		}, one.Addr().String())
		return r
	}
	old := startProcess(false)
	var wg sync.WaitGroup
	var served, lost atomic.Int64
	end := time.Now().Add(1200 * time.Millisecond)
	for n := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// The client resends a keyed request if its connection is closed before the response.
			client := http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
			for i := 0; time.Now().Before(end); i++ {
				r, _ := http.NewRequest("POST", "http://"+l.Addr().String()+"/step/echo", strings.NewReader("x"))
				r.Header = http.Header{"X-Request-Id": {fmt.Sprint(n, "-", i)}, "X-Timeout": {"1"}, "Idempotency-Key": {fmt.Sprint(n, i)}}
				if answer, err := client.Do(r); err == nil {
					answer.Body.Close()
					served.Add(1)
				} else {
					t.Log(err)
					lost.Add(1)
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}
	for range 3 {
		time.Sleep(150 * time.Millisecond)
		fresh := startProcess(true)
		if fresh.Ready() && !fresh.Metrics.HasList.Load() {
			t.Error("the new process is ready without an endpoint list")
		}
		time.Sleep(100 * time.Millisecond)
		old.shutdown()
		if old.Ready() {
			t.Error("the old process is ready after its shutdown")
		}
		old = fresh
	}
	wg.Wait()
	if served.Load() < 500 || lost.Load() > 2 {
		t.Errorf("%d requests were served and %d lost, want at least 500 and at most 2", served.Load(), lost.Load())
	}
}
