// Package admin answers operators: the door, one line in and an answer out, and pages over HTTP with counters, servers and
// Prometheus metrics. Each has an address of its own, and is off where none is given.
package admin

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"pepperlead/policy"
)

// MaxConnections is how many connections are open at once; further ones wait to be accepted.
const MaxConnections = 8

// Reporter is what is asked. Each call may be made from any goroutine, and answers while the sidecar runs.
type Reporter interface {
	Ready() bool
	Report() string
	ServersReport() string
	// EachMetric hands over each counter, and each figure that goes up and down.
	EachMetric(each func(name string, value float64, rises bool))
	// EachFigure hands over what the door shows, by the same names.
	EachFigure(one func(name, labels string, n int64, rises bool))
}

// LatencyBuckets are the upper bounds of the latency histograms, in seconds.
var LatencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// AnswerNames are how a ticket can end, as labels.
var AnswerNames = []string{"honoured", "declined", "turned_back", "given_up"}

// Latency measures final answers by offering and kind. Observing allocates nothing.
type Latency struct {
	vec *prometheus.HistogramVec
	by  [][]prometheus.Observer
}

// NewLatency makes the histograms, all of them empty.
func NewLatency(offerings []policy.Class) *Latency {
	l := &Latency{vec: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "pepperlead_answer_seconds",
		Help: "From the last byte of a ticket to its final answer.", Buckets: LatencyBuckets}, []string{"offering", "answer"})}
	for _, o := range offerings {
		var row []prometheus.Observer
		for _, a := range AnswerNames {
			row = append(row, l.vec.WithLabelValues(o.Name, a))
		}
		l.by = append(l.by, row)
	}
	return l
}

// SetClassName has the answers at that place count under that offering's name.
func (l *Latency) SetClassName(o policy.ClassID, name string) {
	for len(l.by) <= int(o) {
		l.by = append(l.by, nil)
	}
	l.by[o] = nil
	for _, a := range AnswerNames {
		l.by[o] = append(l.by[o], l.vec.WithLabelValues(name, a))
	}
}

// Observe counts a final answer; answer is its place in Answers.
func (l *Latency) Observe(o policy.ClassID, answer int, spent policy.Time) {
	l.by[o][answer].Observe(float64(spent) / float64(policy.Second))
}

// MetricsServer is the admin address while it is served.
type MetricsServer struct {
	http http.Server
	at   net.Addr
}

// ListenMetrics serves at the address until Close.
func ListenMetrics(addr string, of Reporter, latency *Latency) (*MetricsServer, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	metrics := prometheus.NewRegistry()
	metrics.MustRegister(figures{of}, latency.vec, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{MaxRequestsInFlight: MaxConnections}))
	page := func(path string, text func() string) {
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			io.WriteString(w, text())
		})
	}
	page("/_counters", of.Report)
	page("/_servers", of.ServersReport)
	if among, are := of.(interface{ PeersReport() string }); are {
		page("/_peers", among.PeersReport)
	}
	mux.HandleFunc("/_health", func(w http.ResponseWriter, _ *http.Request) {
		if !of.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s := &MetricsServer{at: l.Addr(), http: http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second,
		IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}}
	go s.http.Serve(&narrow{Listener: l, room: make(chan struct{}, MaxConnections)})
	return s, nil
}

// Addr is where it listens.
func (s *MetricsServer) Addr() string { return s.at.String() }

// Close ends all connections.
func (s *MetricsServer) Close() error { return s.http.Close() }

// Metric hands each figure on as a metric of ours, under that help.
func Metric(to chan<- prometheus.Metric, help string) func(name string, value float64, rises bool) {
	return func(name string, value float64, rises bool) {
		kind, suffix := prometheus.GaugeValue, ""
		if rises {
			kind, suffix = prometheus.CounterValue, "_total"
		}
		to <- prometheus.MustNewConstMetric(prometheus.NewDesc("pepperlead_"+name+suffix, help, nil, nil), kind, value)
	}
}

// figures gives the counters to Prometheus, made anew at each call.
type figures struct{ of Reporter }

func (figures) Describe(chan<- *prometheus.Desc) {} // unchecked: which there are is known only when asked

func (f figures) Collect(to chan<- prometheus.Metric) {
	f.of.EachMetric(Metric(to, "See docs/oncall.md."))
	f.of.EachFigure(func(name, labels string, n int64, rises bool) {
		kind := prometheus.GaugeValue
		if rises {
			kind = prometheus.CounterValue
		}
		// The labels are written as the door shows them: {lane="...",result="..."}, or there are none.
		var names, values []string
		for rest := strings.Trim(labels, "{}"); rest != ""; {
			name, more, _ := strings.Cut(rest, "=")
			quoted, err := strconv.QuotedPrefix(more)
			if err != nil {
				return
			}
			value, _ := strconv.Unquote(quoted)
			names, values = append(names, name), append(values, value)
			rest = strings.TrimPrefix(more[len(quoted):], ",")
		}
		desc := prometheus.NewDesc(name, "See docs/operators.md.", names, nil)
		to <- prometheus.MustNewConstMetric(desc, kind, float64(n), values...)
	})
}

// narrow accepts only so many connections at once, so that whoever asks cannot take the descriptors that tickets need.
type narrow struct {
	net.Listener
	room chan struct{}
}

type counted struct {
	net.Conn
	give func()
	once sync.Once
}

func (n *narrow) Accept() (net.Conn, error) {
	n.room <- struct{}{}
	c, err := n.Listener.Accept()
	if err != nil {
		<-n.room
		return nil, err
	}
	return &counted{Conn: c, give: func() { <-n.room }}, nil
}

// Close gives the place back, once.
func (c *counted) Close() error {
	c.once.Do(c.give)
	return c.Conn.Close()
}
