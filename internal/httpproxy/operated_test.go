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

func (r *runningProxy) drainByOperator(uids ...string) {
	r.t.Helper()
	if !r.RunOnLoopWithin(time.Second, func() { r.SetDrained(r.Clock.Now(), uids) }) {
		r.t.Fatal("the loop does not come")
	}
}

// An administratively drained endpoint gets no requests, whatever the list says; once it is back it is cold, and used.
func TestAdministrativeDrainOverridesList(t *testing.T) {
	one, two := newFakeEndpoint(t), newFakeEndpoint(t)
	r, a := startProxy(t, nil, one.Addr().String(), two.Addr().String())
	c := r.client()
	asked := func(n int) (to [2]int) {
		t.Helper()
		for range n {
			id := c.send("step/echo", "x", "")
			if answer, _ := c.receive(); answer.StatusCode != 200 {
				t.Fatal(answer.Status)
			}
			for i, s := range []*fakeEndpoint{one, two} {
				seen, _ := s.count(id)
				to[i] += seen
			}
		}
		return to
	}
	if to := asked(40); to[0] == 0 || to[1] == 0 {
		t.Fatal("both should be used", to)
	}
	r.drainByOperator("s-0")
	list := listOf(one.Addr().String(), two.Addr().String())
	for i, told := range []string{"", list, listOf(one.Addr().String()+" Terminating", two.Addr().String()), listOf("127.0.0.1:1 Gone", two.Addr().String()), list} {
		if told != "" {
			a.setList(told)
			time.Sleep(20 * time.Millisecond)
		}
		if to := asked(20); to[0] != 0 {
			t.Errorf("list %d: %v", i, to)
		}
	}
	var listed, never bool
	var started policy.Time
	r.RunOnLoop(func() { listed, never = r.WasListed("s-0"), r.WasListed("s-9") })
	if !listed || never || r.Metrics.Endpoints.Load() != 2 || r.Metrics.Unavailable.Load() != 1 {
		t.Error(listed, never, r.Metrics.Endpoints.Load(), r.Metrics.Unavailable.Load())
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
		t.Error("taken for warm")
	}
	time.Sleep(1100 * time.Millisecond) // until it is warm
	if to := asked(40); to[0] == 0 {
		t.Error("not used again", to)
	}
	if r.Metrics.Unavailable.Load() != 0 {
		t.Error("still shown as avoided")
	}
}

// Each request is counted once by class and result, and each attempt once it is written.
func TestFiguresMatchWhatPeersSaw(t *testing.T) {
	one := newFakeEndpoint(t)
	r, _ := startProxy(t, nil, one.Addr().String())
	want := map[string]int{}
	for i, act := range []string{"echo", "error", "away", "declined", "reset", "echo", "once"} {
		c := r.client()
		path := []string{"step", "once"}[i%2] + "/" + act
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
	stat := string(r.AppendFigures(nil))
	for line, n := range want {
		if !strings.Contains(stat, fmt.Sprintf("%s %d\n", line, n)) {
			t.Errorf("no %s %d in\n%s", line, n, stat)
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
		if !strings.Contains(stat, line) {
			t.Errorf("no %q in\n%s", line, stat)
		}
	}
	buf := make([]byte, 0, 4<<10)
	if n := testing.AllocsPerRun(100, func() { r.AppendFigures(buf[:0]) }); n > 1 {
		t.Errorf("%v allocations to read the figures", n)
	}
}

// One process succeeds another on a shared listener: no client is refused, and no request is lost.
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
	next := func(follows bool) *runningProxy {
		r, _ := startProxy(t, func(p *Config) {
			p.Listen, p.Successor, p.ImportState = l.Addr().String(), follows, func() {}
			if p.InheritedListener, err = syscall.Dup(int(f.Fd())); err != nil {
				t.Fatal(err)
			}
		}, one.Addr().String())
		return r
	}
	old := next(false)
	var wg sync.WaitGroup
	var served, lost atomic.Int64
	end := time.Now().Add(1200 * time.Millisecond)
	for n := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// A keyed request is sent again where its connection was closed before it was read, as clients do.
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
		fresh := next(true)
		if fresh.Ready() && !fresh.Metrics.HasList.Load() {
			t.Error("ready with no list")
		}
		time.Sleep(100 * time.Millisecond)
		old.shutdown()
		if old.Ready() {
			t.Error("ready after its end")
		}
		old = fresh
	}
	wg.Wait()
	if served.Load() < 500 || lost.Load() > 2 {
		t.Errorf("%d served, %d lost", served.Load(), lost.Load())
	}
}
