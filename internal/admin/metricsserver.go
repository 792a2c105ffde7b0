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

// Reporter provides what the metrics server shows. It is safe for concurrent use.
type Reporter interface {
	Ready() bool
	Report() string
	ServersReport() string
	// EachMetric calls report with each metric; isCounter distinguishes counters from gauges.
	EachMetric(report func(name string, value float64, isCounter bool))
	// EachFigure calls report with each figure that the command server prints, under the same name.
	EachFigure(report func(name, labels string, n int64, isCounter bool))
}

// peersReporter is a Reporter of an instance that has peers.
type peersReporter interface {
	PeersReport() string
}

// MetricsServer serves counters and metrics over HTTP.
type MetricsServer struct {
	http    http.Server
	address net.Addr
}

// ListenMetrics starts a metrics server, which answers HTTP requests at the address until Close is called.
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
		_ = s.http.Serve(newLimitListener(listener, MaxConnections)) // returns when Close is called
	}()
	return s, nil
}

// Addr returns the address at which the server listens.
func (s *MetricsServer) Addr() string { return s.address.String() }

// Close closes the listener and all connections.
func (s *MetricsServer) Close() error { return s.http.Close() }

// newHandler returns the handler of the server's paths.
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

// textHandler returns a handler that responds with a plain text.
func textHandler(text func() string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, text()) // an error means that the client has closed the connection
	}
}
