// Package fakebackend provides HTTP servers that behave like the platform's endpoints, and a fake of its discovery
// service. A Server has cores that work on one request each, a queue, warm-up after a start, draining, and faults drawn
// from a seed; a ModelServer runs the emulator's model of an endpoint in real time. They serve demos, experiments and
// tests; nothing that decides or forwards requests imports them.
package fakebackend

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Grace is how long new requests may still arrive once draining has started.
	Grace = time.Second

	maxBodyBytes = 64 << 10
	slowFactor   = 8
	// faultStream is the random stream of a server, different from other streams of the same seed.
	faultStream = 0x5374616e64496e
)

const (
	headerRequestID      = "X-Request-ID"
	headerIdempotencyKey = "Idempotency-Key"
	headerNotProcessed   = "X-Not-Processed"
	headerServedBy       = "X-Made-By"
)

// errClientLeft reports that the client closed its connection before the work was done.
var errClientLeft = errors.New("the client has left")

// Faults holds the share of requests, from 0 to 1, that each kind of fault affects. The shares add up to 1 at most.
type Faults struct {
	Errors float64 // status 500 once the work is done
	Resets float64 // the connection ends without a response once the work is done
	Silent float64 // no response, and the connection stays open
	Slow   float64 // eight times the work
}

// Traits configures a Server.
type Traits struct {
	Name       string
	Cores      int           // requests worked on at once
	Queue      int           // requests that may wait for a core; further ones are rejected
	Work       time.Duration // mean work of a request, exponentially distributed
	WarmUpTime time.Duration // warm-up time after a start, in which the factor on the work falls from ColdFactor to 1
	ColdFactor float64       // factor on the work right after a start
	Faults
	Seed uint64
	// OnRequest, if set, is called for each complete request, from any goroutine.
	OnRequest func(id, key string, at time.Time)
}

// validate checks the traits.
func (t *Traits) validate() error {
	faultShare := t.Errors + t.Resets + t.Silent + t.Slow
	if t.Cores < 1 || t.Queue < 0 || t.ColdFactor < 0 || faultShare > 1 {
		return fmt.Errorf("fake backend %s: found %+v, allowed at least 1 core and fault shares of at most 1 in total",
			t.Name, *t)
	}
	return nil
}

// Counts holds the counters of a Server.
type Counts struct {
	Requests   int // complete requests received
	Served     int
	Rejected   int
	Faults     int
	AfterDrain int // requests that arrived later than Grace after the start of draining
	Conns      int // open connections
}

// fault is the kind of fault that was drawn for a request.
type fault int

const (
	noFault fault = iota
	errorFault
	resetFault
	silentFault
)

// Server is a fake endpoint.
type Server struct {
	traits  Traits
	http    http.Server
	address net.Addr
	cores   chan struct{} // one entry for each core at work
	pending atomic.Int64  // requests that wait for a core or are worked on
	started time.Time

	mu            sync.Mutex // guards the fields below
	random        *rand.Rand
	counts        Counts
	drainingSince time.Time // zero: not draining
}

// Start starts a server that listens on the address. If the port is 0, the system chooses a free one.
func Start(address string, traits Traits) (*Server, error) {
	if err := traits.validate(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		traits:  traits,
		address: listener.Addr(),
		cores:   make(chan struct{}, traits.Cores),
		started: time.Now(),
		random:  rand.New(rand.NewPCG(traits.Seed, faultStream)),
	}
	s.http = http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: readHeaderTimeout,
		ConnState:         s.connStateChanged,
	}
	go func() {
		_ = s.http.Serve(listener) // returns once Close is called
	}()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.address.String() }

// Started returns the time of the start.
func (s *Server) Started() time.Time { return s.started }

// Drain makes the server finish the requests it has and reject all further ones.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainingSince = time.Now()
}

// Close ends the server and all its connections at once.
func (s *Server) Close() error { return s.http.Close() }

// Counts returns the current counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) connStateChanged(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.count(func(c *Counts) { c.Conns++ })
	case http.StateClosed, http.StateHijacked:
		s.count(func(c *Counts) { c.Conns-- })
	}
}

func (s *Server) count(change func(c *Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

// serve rejects a request, or works on it and returns its body in the response, unless a fault was drawn.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ping" {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	if s.traits.OnRequest != nil {
		s.traits.OnRequest(r.Header.Get(headerRequestID), r.Header.Get(headerIdempotencyKey), now)
	}
	draining, work, drawn := s.recordArrival(now)
	if draining || !s.admit() {
		s.count(func(c *Counts) { c.Rejected++ })
		writeRejection(w)
		return
	}
	err = s.work(r, work)
	s.pending.Add(-1)
	if err != nil {
		return // the client has closed the connection
	}
	if drawn != noFault {
		s.count(func(c *Counts) { c.Faults++ })
		failRequest(w, r, drawn)
		return
	}
	s.count(func(c *Counts) { c.Served++ })
	w.Header().Set(headerServedBy, s.traits.Name)
	writeBody(w, body)
}

// admit reserves a core or a place in the queue for a request and reports whether one was free.
func (s *Server) admit() bool {
	if s.pending.Add(1) > int64(s.traits.Queue+s.traits.Cores) {
		s.pending.Add(-1)
		return false
	}
	return true
}

func writeRejection(w http.ResponseWriter) {
	w.Header().Set(headerNotProcessed, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func writeBody(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // fails only if the client has closed the connection
}

func failRequest(w http.ResponseWriter, r *http.Request, drawn fault) {
	switch drawn {
	case errorFault:
		w.WriteHeader(http.StatusInternalServerError)
	case resetFault:
		panic(http.ErrAbortHandler)
	case silentFault:
		<-r.Context().Done()
	}
}

// recordArrival counts a request and draws its work and its fault. Each request makes all draws, so that a change of
// one fault share does not change the draws of later requests.
func (s *Server) recordArrival(now time.Time) (draining bool, work time.Duration, drawn fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Requests++
	size := s.random.ExpFloat64()
	kind := s.random.Float64()
	work = s.warmUp(time.Duration(float64(s.traits.Work)*size), now)
	shares := s.traits.Faults
	switch {
	case kind < shares.Errors:
		drawn = errorFault
	case kind < shares.Errors+shares.Resets:
		drawn = resetFault
	case kind < shares.Errors+shares.Resets+shares.Silent:
		drawn = silentFault
	case kind < shares.Errors+shares.Resets+shares.Silent+shares.Slow:
		work *= slowFactor
	}
	draining = !s.drainingSince.IsZero()
	if draining && now.Sub(s.drainingSince) > Grace {
		s.counts.AfterDrain++
	}
	return draining, work, drawn
}

// warmUp returns the work of a request that arrives at the given time: the work passed in, increased while the server
// is still warming up.
func (s *Server) warmUp(work time.Duration, now time.Time) time.Duration {
	age := now.Sub(s.started)
	if age >= s.traits.WarmUpTime || s.traits.ColdFactor <= 1 {
		return work
	}
	factor := s.traits.ColdFactor + (1-s.traits.ColdFactor)*float64(age)/float64(s.traits.WarmUpTime)
	return time.Duration(float64(work) * factor)
}

// work waits for a core and holds it until the work is done or the client closes the connection.
func (s *Server) work(r *http.Request, work time.Duration) error {
	select {
	case s.cores <- struct{}{}:
	case <-r.Context().Done():
		return errClientLeft
	}
	defer func() { <-s.cores }()
	done := time.NewTimer(work)
	defer done.Stop()
	select {
	case <-done.C:
		return nil
	case <-r.Context().Done():
		return errClientLeft
	}
}
