// Package fakebackend is an HTTP server that behaves as the platform's endpoints do: cores that work on one request each,
// a queue, warm-up after a start, draining, and faults drawn from a seed. It serves demos, experiments and tests; nothing
// that decides or forwards requests imports it.
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

// mostBody is how many bytes of a request are read.
const mostBody = 64 << 10

// Faults are the parts of all requests, from 0 to 1, that end in some bad way; they add up to 1 at most.
type Faults struct {
	Errors float64 // 500 once the work is done
	Resets float64 // the connection ends with no answer once the work is done
	Silent float64 // no answer, and the connection stays
	Slow   float64 // eight times the work
}

// Traits are what a server is like.
type Traits struct {
	Name  string
	Cores int           // requests worked on at once
	Queue int           // requests that may wait for a core; more are turned away
	Work  time.Duration // mean of the work of a request, exponentially spread
	Warm  time.Duration // after a start the work takes longer, falling to the usual over this time
	Cold  float64       // times the work just after a start
	Faults
	Seed uint64
	// Seen, if set, is told of each request when it has come whole; any goroutine may call it.
	Seen func(id, key string, at time.Time)
}

// Counts are what a server has seen so far.
type Counts struct {
	Requests   int // come whole
	Served     int
	TurnedAway int
	Faults     int
	AfterDrain int // came after the server had been told to drain, and a second more
	Conns      int // open
}

// Server is a stand-in that serves.
type Server struct {
	traits  Traits
	http    http.Server
	at      net.Addr
	cores   chan struct{}
	waiting atomic.Int64
	started time.Time
	mu      sync.Mutex // of the two below
	chance  *rand.Rand
	counts  Counts
	drains  time.Time // since when; zero: it does not
}

// Grace is how long after a notice of draining new work may still come.
const Grace = time.Second

// Start serves at the address, which may leave the port open.
func Start(addr string, traits Traits) (*Server, error) {
	if traits.Cores < 1 || traits.Queue < 0 || traits.Cold < 0 || traits.Errors+traits.Resets+traits.Silent+traits.Slow > 1 {
		return nil, fmt.Errorf("stand-in %s: found %+v, allowed 1 core or more and faults of 1 in all at most", traits.Name, traits)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{traits: traits, at: l.Addr(), cores: make(chan struct{}, traits.Cores), started: time.Now(),
		chance: rand.New(rand.NewPCG(traits.Seed, 0x5374616e64496e))}
	s.http = http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 10 * time.Second, ConnState: s.state}
	go s.http.Serve(l)
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.at.String() }

// Started is when it was started.
func (s *Server) Started() time.Time { return s.started }

// Drain tells the server to finish what it has. New requests are turned away from then on.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains = time.Now()
}

// Close ends it at once, with all connections.
func (s *Server) Close() error { return s.http.Close() }

// Counts gives what it has seen so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) state(_ net.Conn, to http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch to {
	case http.StateNew:
		s.counts.Conns++
	case http.StateClosed, http.StateHijacked:
		s.counts.Conns--
	}
}

func (s *Server) count(change func(c *Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ping" {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, mostBody+1))
	if err != nil || len(body) > mostBody {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	if s.traits.Seen != nil {
		s.traits.Seen(r.Header.Get("X-Request-ID"), r.Header.Get("Idempotency-Key"), now)
	}
	drains, work, fault := s.arrive(now)
	if drains || s.waiting.Add(1) > int64(s.traits.Queue+s.traits.Cores) {
		if !drains {
			s.waiting.Add(-1)
		}
		s.count(func(c *Counts) { c.TurnedAway++ })
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	left := s.work(r, work)
	s.waiting.Add(-1)
	if left != nil {
		return
	}
	if fault == "" {
		s.count(func(c *Counts) { c.Served++ })
		w.Header().Set("X-Made-By", s.traits.Name)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
		return
	}
	s.count(func(c *Counts) { c.Faults++ })
	switch fault {
	case "error":
		w.WriteHeader(http.StatusInternalServerError)
	case "reset":
		panic(http.ErrAbortHandler)
	case "silent":
		<-r.Context().Done()
	}
}

// arrive counts a request and draws what becomes of it. All draws are made for each, so that one kind of fault does not move
// the others.
func (s *Server) arrive(now time.Time) (drains bool, work time.Duration, fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Requests++
	size, kind := s.chance.ExpFloat64(), s.chance.Float64()
	work = time.Duration(float64(s.traits.Work) * size)
	if age := now.Sub(s.started); age < s.traits.Warm && s.traits.Cold > 1 {
		work = time.Duration(float64(work) * (s.traits.Cold + (1-s.traits.Cold)*float64(age)/float64(s.traits.Warm)))
	}
	f := s.traits.Faults
	switch {
	case kind < f.Errors:
		fault = "error"
	case kind < f.Errors+f.Resets:
		fault = "reset"
	case kind < f.Errors+f.Resets+f.Silent:
		fault = "silent"
	case kind < f.Errors+f.Resets+f.Silent+f.Slow:
		work *= 8
	}
	if drains = !s.drains.IsZero(); drains && now.Sub(s.drains) > Grace {
		s.counts.AfterDrain++
	}
	return drains, work, fault
}

var errLeft = errors.New("the client has left")

// work waits for a core and holds it for as long as the work takes.
func (s *Server) work(r *http.Request, work time.Duration) error {
	select {
	case s.cores <- struct{}{}:
	case <-r.Context().Done():
		return errLeft
	}
	defer func() { <-s.cores }()
	done := time.NewTimer(work)
	defer done.Stop()
	select {
	case <-done.C:
	case <-r.Context().Done():
		return errLeft // what a client calls off is not worked on to its end
	}
	return nil
}
