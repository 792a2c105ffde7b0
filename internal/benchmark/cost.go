// Package benchmark measures whole processes on loopback, side by side in one run: the cost of a request at the daemon
// compared with a plain proxy, the time until the daemon follows a change of a list file, and the time and memory that
// a list takes.
package benchmark

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"sync/atomic"
	"time"

	"pepperlead/internal/freeport"
)

// loopback is the IP address of all subjects and backends.
const loopback = "127.0.0.1"

const (
	backendCount     = 3
	startTimeout     = 5 * time.Second
	warmUpShare      = 5 // before measuring, load runs for the duration divided by this, to fill connections and pools
	plainIdlePerHost = 256
)

// Subject is a proxy to measure. Start starts it, to listen at the address and to forward to the endpoints.
type Subject struct {
	Label string
	Start func(listen string, endpoints []string) (*exec.Cmd, error)
}

// Cost holds the measurements of one subject in one round.
type Cost struct {
	Subject  string        `json:"subject"`
	Clients  int           `json:"clients"`
	Requests int           `json:"tickets"`
	Failed   int           `json:"failed"`
	CPU      time.Duration `json:"cpu_ns"` // CPU time of the subject's process, per request
	P50      time.Duration `json:"p50_ns"`
	P99      time.Duration `json:"p99_ns"`
	RSS      int           `json:"rss_kib"`
}

// ServeBackend serves small responses at the address until the process ends. All subjects forward to such backends.
func ServeBackend(address string) error {
	return http.ListenAndServe(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Errors are ignored: a client that has closed the connection needs no response.
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "2")
		_, _ = w.Write([]byte("ok"))
	}))
}

// ServePlainProxy serves the baseline: the standard library's reverse proxy, which sends requests to one endpoint after
// another. Like the daemon, it keeps idle connections; it does nothing else.
func ServePlainProxy(address string, endpoints []string) error {
	var targets []*url.URL
	for _, endpoint := range endpoints {
		targets = append(targets, &url.URL{Scheme: "http", Host: endpoint})
	}
	var next atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(targets[next.Add(1)%uint64(len(targets))])
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: plainIdlePerHost, DisableCompression: true},
	}
	return http.ListenAndServe(address, proxy)
}

// Run measures the subjects one after another in each round, so that a drift of the machine's speed affects all of them
// alike. Each measurement takes the duration, with the given number of clients. self is the path of a program whose
// command "backend ADDRESS" calls ServeBackend.
func Run(
	ctx context.Context,
	self string,
	subjects []Subject,
	clients, rounds int,
	duration time.Duration,
) ([]Cost, error) {
	var endpoints []string
	for range backendCount {
		address, err := freeport.ChooseAddress(loopback)
		if err != nil {
			return nil, err
		}
		backend := exec.CommandContext(ctx, self, "backend", address)
		backend.Stderr = os.Stderr
		if err := backend.Start(); err != nil {
			return nil, err
		}
		defer Kill(backend)
		endpoints = append(endpoints, address)
	}
	var costs []Cost
	for range rounds {
		for _, subject := range subjects {
			cost, err := measure(subject, endpoints, clients, duration)
			if err != nil {
				return costs, fmt.Errorf("%s: %w", subject.Label, err)
			}
			costs = append(costs, cost)
		}
	}
	return costs, nil
}

// measure measures one subject in one round.
func measure(subject Subject, endpoints []string, clients int, duration time.Duration) (Cost, error) {
	cost := Cost{Subject: subject.Label, Clients: clients}
	address, err := freeport.ChooseAddress(loopback)
	if err != nil {
		return cost, err
	}
	process, err := subject.Start(address, endpoints)
	if err != nil {
		return cost, err
	}
	defer Kill(process)
	if err := WaitForAnswer(address, startTimeout); err != nil {
		return cost, err
	}
	runLoad(address, clients, duration/warmUpShare)
	before, err := CPU(process.Process.Pid)
	if err != nil {
		return cost, err
	}
	result := runLoad(address, clients, duration)
	after, err := CPU(process.Process.Pid)
	if err != nil {
		return cost, err
	}
	cost.Requests = int(result.latencies.TotalCount())
	cost.Failed = result.failed
	cost.CPU = (after - before) / time.Duration(max(1, cost.Requests))
	cost.P50 = time.Duration(result.latencies.ValueAtQuantile(50))
	cost.P99 = time.Duration(result.latencies.ValueAtQuantile(99))
	cost.RSS, err = RSS(process.Process.Pid)
	return cost, err
}
