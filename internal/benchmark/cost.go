// Package benchmark measures whole processes on loopback, side by side in one run: what a request costs the daemon next
// to a plain proxy, how long a change of a list file takes to show, how much memory a list takes.
package benchmark

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Subject is a proxy that is measured: what starts it, given where it listens and the servers behind it.
type Subject struct {
	Label string
	Start func(listen string, servers []string) (*exec.Cmd, error)
}

// Cost is what one subject took in one round.
type Cost struct {
	Subject string        `json:"subject"`
	Clients int           `json:"clients"`
	Tickets int           `json:"tickets"`
	Failed  int           `json:"failed"`
	CPU     time.Duration `json:"cpu_ns"` // of the subject's process, a ticket
	P50     time.Duration `json:"p50_ns"`
	P99     time.Duration `json:"p99_ns"`
	RSS     int           `json:"rss_kib"`
}

// Backend serves small answers at the address until the process ends. It stands behind every subject alike.
func Backend(addr string) error {
	return http.ListenAndServe(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "2")
		w.Write([]byte("ok"))
	}))
}

// Plain is the baseline: the standard library's proxy to one server after another, with connections kept as the daemon keeps
// them, and nothing else.
func Plain(addr string, servers []string) error {
	var targets []*url.URL
	for _, s := range servers {
		targets = append(targets, &url.URL{Scheme: "http", Host: s})
	}
	var turn struct {
		sync.Mutex
		n int
	}
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			turn.Lock()
			turn.n++
			to := targets[turn.n%len(targets)]
			turn.Unlock()
			r.SetURL(to)
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
	}
	return http.ListenAndServe(addr, proxy)
}

// PlatformJSON is a configuration as the platform gives it, with the servers as a list saved earlier. Nobody is at the address
// of discovery.
func PlatformJSON(listen string, servers []string) []byte {
	type target map[string]any
	var targets []target
	for i, s := range servers {
		targets = append(targets, target{"uid": fmt.Sprint("s-", i), "endpoint": s, "az": "a", "pod_group": i / 4, "state": "Ready",
			"capacity_hint": 1.0, "boot_ms": 0})
	}
	b, err := json.Marshal(map[string]any{"name": "n", "listen": listen, "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"rev": 1, "all": true, "targets": targets},
		"settings": map[string]any{"balancers": 1, "zone": "a", "zones": []string{"a"}, "weight_kind": "nominal",
			"membership_mode": "pushed", "tick_s": 0.005,
			"limits": map[string]any{"cancel": true, "max_pushes": 3, "retry_after": true, "max_retry_after_s": 3.0,
				"connect_timeout_s": 0.2, "conn_idle_s": 60.0},
			"prices": map[string]any{"cross_zone": 0.0},
			"rules":  map[string]any{"cold_from": 0.2, "cold_s": 24.0, "fall_multiple": 3.0},
			"offerings": []map[string]any{{"name": "step", "credit": 1.0, "overdue_credit": 0.2, "quoted_time_s": 1.0, "cut_off_s": 2.0,
				"idempotency": "retryable"}}}})
	if err != nil {
		panic(err)
	}
	return b
}

// ProductTOML is a configuration of the product's own, with whatever more it is to have.
func ProductTOML(listen string, servers []string, more string) []byte {
	text := fmt.Sprintf("[front.http]\nlisten = %q\n[[offering]]\nname = \"step\"\nquoted_time = \"1s\"\ncut_off = \"2s\"\nrepeats = \"reissuable\"\n"+
		"[source]\nkind = \"fixed\"\n", listen)
	for i, s := range servers {
		text += fmt.Sprintf("[[source.server]]\nid = \"s-%d\"\naddress = %q\n", i, s)
	}
	return []byte(text + more)
}

// Run measures each subject for some time before some clients, one after another, round by round, so that a drift of the
// machine's speed meets all alike. self is the program that has the command "backend ADDRESS".
func Run(ctx context.Context, self string, subjects []Subject, clients, rounds int, each time.Duration) ([]Cost, error) {
	var servers []string
	for range 3 {
		addr := Free()
		c := exec.CommandContext(ctx, self, "backend", addr)
		c.Stderr = os.Stderr
		if err := c.Start(); err != nil {
			return nil, err
		}
		defer stop(c)
		servers = append(servers, addr)
	}
	var all []Cost
	for range rounds {
		for _, s := range subjects {
			one, err := measure(s, servers, clients, each)
			if err != nil {
				return all, fmt.Errorf("%s: %w", s.Label, err)
			}
			all = append(all, one)
		}
	}
	return all, nil
}

func measure(s Subject, servers []string, clients int, each time.Duration) (Cost, error) {
	out := Cost{Subject: s.Label, Clients: clients}
	addr := Free()
	c, err := s.Start(addr, servers)
	if err != nil {
		return out, err
	}
	defer stop(c)
	if err := Answers(addr, 5*time.Second); err != nil {
		return out, err
	}
	load(addr, clients, each/5) // connections come up, pools fill
	before, err := CPU(c.Process.Pid)
	if err != nil {
		return out, err
	}
	times, failed := load(addr, clients, each)
	after, err := CPU(c.Process.Pid)
	if err != nil {
		return out, err
	}
	out.Tickets, out.Failed = int(times.TotalCount()), failed
	out.CPU = (after - before) / time.Duration(max(1, out.Tickets))
	out.P50, out.P99 = time.Duration(times.ValueAtQuantile(50)), time.Duration(times.ValueAtQuantile(99))
	out.RSS, err = RSS(c.Process.Pid)
	return out, err
}

func stop(c *exec.Cmd) {
	c.Process.Signal(syscall.SIGKILL)
	c.Wait()
}

// Free finds a port that nobody listens on.
func Free() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Answers waits until a ticket is answered 200 at the address.
func Answers(addr string, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		status, err := ask(c, bufio.NewReader(c), 1)
		c.Close()
		if err == nil && status == 200 {
			return nil
		}
	}
	return fmt.Errorf("no answer at %s within %v", addr, within)
}

func ask(c net.Conn, in *bufio.Reader, n int) (int, error) {
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c, "GET /step/x HTTP/1.1\r\nHost: o\r\nX-Request-ID: %s-%d\r\nX-Route-Key: %d\r\nX-Timeout: 2\r\n\r\n",
		c.LocalAddr(), n, n%1000); err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

// load has each client ask one thing after another for some time.
func load(addr string, clients int, span time.Duration) (*hdrhistogram.Histogram, int) {
	all, failed := hdrhistogram.New(1000, int64(10*time.Second), 3), 0
	var mu sync.Mutex
	var done sync.WaitGroup
	end := time.Now().Add(span)
	for range clients {
		done.Go(func() {
			mine, bad := hdrhistogram.New(1000, int64(10*time.Second), 3), 0
			c, err := net.Dial("tcp", addr)
			if err != nil {
				bad++
			} else {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := 0; time.Now().Before(end); n++ {
					at := time.Now()
					if status, err := ask(c, in, n); err != nil || status != 200 {
						bad++
						if err != nil {
							break
						}
						continue
					}
					mine.RecordValue(int64(time.Since(at)))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(mine)
			failed += bad
		})
	}
	done.Wait()
	return all, failed
}

// CPU is the time that a process has spent, its own and the kernel's for it, in steps of 10 ms; proc(5), stat.
func CPU(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The name in brackets may hold anything; what follows it is numbers, the 12th and 13th being the two times.
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	if len(fields) < 13 {
		return 0, fmt.Errorf("process %d: stat has %d fields", pid, len(fields))
	}
	var sum time.Duration
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += time.Duration(n) * 10 * time.Millisecond
	}
	return sum, nil
}

// RSS is the memory that a process has in use, in KiB; proc(5), status.
func RSS(pid int) (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		if rest, is := strings.CutPrefix(line, "VmRSS:"); is {
			return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
		}
	}
	return 0, fmt.Errorf("process %d: no VmRSS", pid)
}

// Ready waits until a daemon has a list of servers.
func Ready(addr string, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		answer, err := http.Get("http://" + addr + "/_health")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == 200 {
			return nil
		}
	}
	return fmt.Errorf("not ready at %s within %v", addr, within)
}
