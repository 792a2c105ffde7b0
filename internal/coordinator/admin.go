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

	"pepperlead/internal/ruleset"
)

const (
	maxTextBytes      = 4 << 20 // maximum size of a revision's text
	maxHeaderBytes    = 16 << 10
	adminReadTimeout  = 10 * time.Second
	adminWriteTimeout = 20 * time.Second
	digestPrefixBytes = 8 // how much of a digest the report shows
)

// LeaderHeader is the header with the leader's admin address. A coordinator that isn't the leader sets it when it
// refuses a change with status 421 (Misdirected Request, RFC 9110).
const LeaderHeader = "Leader"

// AdminServer serves a coordinator's admin interface over HTTP:
//
//	GET  /_versions                 the revision log
//	GET  /_versions/N               the text of revision N
//	POST /_apply?last=N&author=A    propose the body as a revision; with &dry=yes only check it, with &back=N
//	                                propose the text of revision N instead
//	POST /_withdraw?n=N             cancel the change to revision N
//	GET  /_peers, /_health, /metrics
type AdminServer struct {
	Address string
	http    http.Server
}

// ListenAdmin serves the admin interface at the address of the coordinator's member entry.
func ListenAdmin(c *Coordinator) (*AdminServer, error) {
	address := c.config.member().AdminAddress
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &AdminServer{Address: address, http: http.Server{
		Handler:        c.adminHandler(),
		ReadTimeout:    adminReadTimeout,
		WriteTimeout:   adminWriteTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}}
	go func() { _ = server.http.Serve(listener) }() // it returns once Close is called
	return server, nil
}

// Close stops the server.
func (s *AdminServer) Close() error { return s.http.Close() }

// adminHandler routes the admin requests.
func (c *Coordinator) adminHandler() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		metricsCollector{c},
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /_versions", c.serveRevisionLog)
	mux.HandleFunc("GET /_versions/{n}", c.serveRevision)
	mux.HandleFunc("POST /_apply", c.serveApply)
	mux.HandleFunc("POST /_withdraw", c.serveWithdraw)
	mux.HandleFunc("GET /_peers", c.servePeers)
	mux.HandleFunc("GET /_health", c.serveHealth)
	return mux
}

// writeBody writes the body of a response. It ignores errors: they mean that the client has disconnected.
func writeBody(w io.Writer, body string) { _, _ = io.WriteString(w, body) }

func (c *Coordinator) serveRevisionLog(w http.ResponseWriter, _ *http.Request) {
	writeBody(w, c.Report())
}

func (c *Coordinator) serveRevision(w http.ResponseWriter, r *http.Request) {
	for _, revision := range c.RevisionLog().Revisions {
		if strconv.FormatUint(uint64(revision.Number), 10) == r.PathValue("n") {
			writeBody(w, string(revision.Text))
			return
		}
	}
	http.Error(w, "no such revision in the revision log", http.StatusNotFound)
}

func (c *Coordinator) servePeers(w http.ResponseWriter, _ *http.Request) {
	if cluster := c.cluster.Load(); cluster != nil {
		writeBody(w, cluster.Report())
	}
}

func (c *Coordinator) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if _, err := c.Leader(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (c *Coordinator) serveApply(w http.ResponseWriter, r *http.Request) {
	proposal, err := readProposal(w, r)
	if err == nil && r.URL.Query().Get("dry") == "yes" {
		c.writeResult(w, c.DryRun(proposal),
			fmt.Sprintf("the proposal can be applied on top of revision %d\n", proposal.Last))
		return
	}
	var number ruleset.RevisionNumber
	if err == nil {
		number, err = c.Propose(proposal)
	}
	// The command line reads the number from this text.
	c.writeResult(w, err, fmt.Sprintf("version %d is agreed on\n", number))
}

func (c *Coordinator) serveWithdraw(w http.ResponseWriter, r *http.Request) {
	number, err := revisionParameter(r, "n")
	if err == nil {
		err = c.Withdraw(number)
	}
	c.writeResult(w, err, fmt.Sprintf("version %d is withdrawn\n", number))
}

// readProposal reads a proposal from the body and the query of a request. Its error joins all faults found.
func readProposal(w http.ResponseWriter, r *http.Request) (Proposal, error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTextBytes))
	last, lastErr := revisionParameter(r, "last")
	proposal := Proposal{Text: text, Last: last, Author: r.URL.Query().Get("author")}
	var rollbackErr error
	if r.URL.Query().Has("back") {
		proposal.RollbackOf, rollbackErr = revisionParameter(r, "back")
	}
	return proposal, errors.Join(err, lastErr, rollbackErr)
}

func revisionParameter(r *http.Request, name string) (ruleset.RevisionNumber, error) {
	text := r.URL.Query().Get(name)
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %q is not a revision number", name, text)
	}
	return ruleset.RevisionNumber(number), nil
}

// writeResult writes the success text, or the text of the error. The status of an error tells the client whether to
// repeat the request at the leader (421), to check the outcome (504) or to retry later (503). Status 409 means that the
// request was rejected.
func (c *Coordinator) writeResult(w http.ResponseWriter, err error, success string) {
	leader, leaderErr := c.Leader()
	switch {
	case err == nil:
		writeBody(w, success)
	case errors.Is(err, ErrNotLeader) && leaderErr == nil && leader.Name != c.config.Name:
		w.Header().Set(LeaderHeader, leader.AdminAddress)
		http.Error(w, err.Error(), http.StatusMisdirectedRequest)
	case errors.Is(err, errOutcomeUnknown):
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	case errors.Is(err, ErrNotLeader), errors.Is(err, errNoLeader):
		http.Error(w, err.Error(), http.StatusServiceUnavailable) // nothing has changed, so the client may retry
	default:
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

// Report returns the revision log as text, one revision a line. The command line and the fault-injection tests read the
// numbers in the first line.
func (c *Coordinator) Report() string {
	log := c.RevisionLog()
	leader, err := c.Leader()
	var out strings.Builder
	fmt.Fprintf(&out, "in force %d, coming %d, last %d, leader %q, lease %v\n",
		log.Active, log.Next, log.LastNumber, leader.Name, time.Duration(c.config.LeaseDuration))
	if err != nil {
		fmt.Fprintln(&out, err)
	}
	for i := range log.Revisions {
		revision := &log.Revisions[i]
		rollback := ""
		if revision.RollbackOf > 0 {
			rollback = fmt.Sprintf(" (rollback to %d)", revision.RollbackOf)
		}
		fmt.Fprintf(&out, "%d %s by %q at %s, %d bytes, sha256 %s%s\n",
			revision.Number, revisionState(&log, revision), revision.Author,
			time.Unix(0, revision.ProposedAt).UTC().Format(time.RFC3339),
			len(revision.Text), hex.EncodeToString(revision.Digest[:digestPrefixBytes]), rollback)
	}
	return out.String()
}

// revisionState returns the state of a revision as the report shows it.
func revisionState(log *ruleset.RevisionLog, revision *ruleset.Revision) string {
	switch revision.Number {
	case log.Active:
		return "in force"
	case log.Next:
		return "coming"
	}
	return revision.Outcome
}
