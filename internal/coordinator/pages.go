package coordinator

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"pepperlead/internal/admin"
	"pepperlead/internal/ruleset"
)

const mostText = 4 << 20

// LeaderHeader is the header that names the pages of the keeper that leads, in an answer 421 (Misdirected Request, RFC 9110) of one that does not.
const LeaderHeader = "Leader"

// AdminServer are a keeper's, over HTTP: /_versions and /_versions/N show; POST to /_apply?last=N&author=A, with &dry=yes to check alone, and with
// &back=N for the text of a kept version; POST to /_withdraw?n=N; /metrics, /_health, /_peers.
type AdminServer struct {
	Address string
	http    http.Server
}

// ListenAdmin serves them at the address that all keepers are told.
func ListenAdmin(k *Coordinator) (*AdminServer, error) {
	var at string
	for _, m := range k.post.Members {
		if m.Name == k.post.Name {
			at = m.AdminAddress
		}
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	metrics := prometheus.NewRegistry()
	metrics.MustRegister(figures{k}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /_versions", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, k.Report()) })
	mux.HandleFunc("GET /_versions/{n}", k.page)
	mux.HandleFunc("POST /_apply", k.apply)
	mux.HandleFunc("POST /_withdraw", func(w http.ResponseWriter, r *http.Request) {
		n, err := number(r, "n")
		if err == nil {
			err = k.Withdraw(n)
		}
		k.result(w, err, "version %d is withdrawn\n", n)
	})
	mux.HandleFunc("GET /_peers", func(w http.ResponseWriter, _ *http.Request) {
		if c := k.company.Load(); c != nil {
			io.WriteString(w, c.Report())
		}
	})
	mux.HandleFunc("GET /_health", func(w http.ResponseWriter, _ *http.Request) {
		if _, err := k.Leader(); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	p := &AdminServer{Address: at, http: http.Server{Handler: mux, ReadTimeout: 10 * time.Second, WriteTimeout: 20 * time.Second, MaxHeaderBytes: 16 << 10}}
	go p.http.Serve(l)
	return p, nil
}

// Close ends them.
func (p *AdminServer) Close() error { return p.http.Close() }

func number(r *http.Request, of string) (ruleset.RevisionNumber, error) {
	text := r.URL.Query().Get(of)
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: found %q, allowed the number of a version", of, text)
	}
	return ruleset.RevisionNumber(n), nil
}

// apply proposes a version.
func (k *Coordinator) apply(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostText))
	last, wrong := number(r, "last")
	err = errors.Join(err, wrong)
	var back ruleset.RevisionNumber
	if r.URL.Query().Has("back") {
		back, wrong = number(r, "back")
		err = errors.Join(err, wrong)
	}
	if err == nil && r.URL.Query().Get("dry") == "yes" {
		k.result(w, k.dry(text, back, last), "it could be applied on top of version %d\n", last)
		return
	}
	var n ruleset.RevisionNumber
	if err == nil {
		n, err = k.Apply(text, back, last, r.URL.Query().Get("author"))
	}
	k.result(w, err, "version %d is agreed on\n", n)
}

func (k *Coordinator) result(w http.ResponseWriter, err error, good string, of ...any) {
	switch leader, unknown := k.Leader(); {
	case err == nil:
		fmt.Fprintf(w, good, of...)
	case errors.Is(err, ErrNotLeader) && unknown == nil && leader.Name != k.post.Name:
		w.Header().Set(LeaderHeader, leader.AdminAddress)
		http.Error(w, err.Error(), http.StatusMisdirectedRequest)
	case errors.Is(err, errUnknown):
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	case errors.Is(err, ErrNotLeader), errors.Is(err, errNoLeader):
		http.Error(w, err.Error(), http.StatusServiceUnavailable) // nothing was done: it may be tried again
	default:
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

// Report is the versions, one a line, the latest last.
func (k *Coordinator) Report() string {
	b := k.RevisionLog()
	var out strings.Builder
	leader, err := k.Leader()
	fmt.Fprintf(&out, "in force %d, coming %d, last %d, leader %q, lease %v\n", b.Active, b.Next, b.LastNumber, leader.Name, time.Duration(k.post.Lease))
	if err != nil {
		fmt.Fprintln(&out, err)
	}
	for _, p := range b.Revisions {
		state := p.Outcome
		switch {
		case p.Number == b.Active:
			state = "in force"
		case p.Number == b.Next:
			state = "coming"
		}
		from := ""
		if p.RollbackOf > 0 {
			from = fmt.Sprintf(" (the text of %d)", p.RollbackOf)
		}
		fmt.Fprintf(&out, "%d %s by %q at %s, %d bytes, sha256 %s%s\n", p.Number, state, p.Author, time.Unix(0, p.ProposedAt).UTC().Format(time.RFC3339), len(p.Text),
			hex.EncodeToString(p.Digest[:8]), from)
	}
	return out.String()
}

func (k *Coordinator) page(w http.ResponseWriter, r *http.Request) {
	for _, p := range k.RevisionLog().Revisions {
		if strconv.FormatUint(uint64(p.Number), 10) == r.PathValue("n") {
			w.Write(p.Text)
			return
		}
	}
	http.Error(w, "no such version is kept", http.StatusNotFound)
}

// figures gives what is counted to Prometheus.
type figures struct{ of *Coordinator }

func (figures) Describe(chan<- *prometheus.Desc) {} // unchecked: which there are is known only when asked

func (f figures) Collect(to chan<- prometheus.Metric) {
	one := admin.Metric(to, "See docs/agreement.md.")
	f.of.EachMetric(one)
	if c := f.of.company.Load(); c != nil {
		c.EachMetric(one)
	}
}
