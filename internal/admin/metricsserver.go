package admin

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// MaxConnections is how many connections the metrics server has open at once. Further ones wait to be accepted.
	MaxConnections = 8

	metricsReadTimeout    = 5 * time.Second
	metricsWriteTimeout   = 10 * time.Second
	metricsIdleTimeout    = 30 * time.Second
	metricsMaxHeaderBytes = 16 << 10
)

// Reporter is what the metrics server reports on. Any goroutine may call it.
type Reporter interface {
	Ready() bool
	Report() string
	ServersReport() string
	// EachMetric passes each metric; isCounter tells counters from gauges.
	EachMetric(each func(name string, value float64, isCounter bool))
	// EachFigure passes each figure of the command server, under the same names.
	EachFigure(figure func(name, labels string, n int64, isCounter bool))
}

// peersReporter is a Reporter that has peers.
type peersReporter interface {
	PeersReport() string
}

// MetricsServer serves counters and metrics over HTTP.
type MetricsServer struct {
	http    http.Server
	address net.Addr
}

// ListenMetrics serves at the address until Close.
func ListenMetrics(address string, reporter Reporter, latency *Latency) (*MetricsServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &MetricsServer{
		address: listener.Addr(),
		http: http.Server{
			Handler:        newHandler(reporter, latency),
			ReadTimeout:    metricsReadTimeout,
			WriteTimeout:   metricsWriteTimeout,
			IdleTimeout:    metricsIdleTimeout,
			MaxHeaderBytes: metricsMaxHeaderBytes,
		},
	}
	go func() {
		_ = s.http.Serve(newLimitListener(listener, MaxConnections)) // ends by Close
	}()
	return s, nil
}

// Addr is the address at which the server listens.
func (s *MetricsServer) Addr() string { return s.address.String() }

// Close closes the listener and all connections.
func (s *MetricsServer) Close() error { return s.http.Close() }

// newHandler routes the server's pages.
func newHandler(reporter Reporter, latency *Latency) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collector{reporter},
		latency.histograms,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	mux := http.NewServeMux()
	options := promhttp.HandlerOpts{MaxRequestsInFlight: MaxConnections}
	mux.Handle("/metrics", promhttp.HandlerFor(registry, options))
	mux.HandleFunc("/_counters", textHandler(reporter.Report))
	mux.HandleFunc("/_servers", textHandler(reporter.ServersReport))
	if peers, ok := reporter.(peersReporter); ok {
		mux.HandleFunc("/_peers", textHandler(peers.PeersReport))
	}
	mux.HandleFunc("/_health", func(w http.ResponseWriter, _ *http.Request) {
		if !reporter.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// textHandler serves a plain text.
func textHandler(text func() string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, text()) // the client may have gone
	}
}
