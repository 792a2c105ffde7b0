package fakebackend

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/internal/emulator/machine"
	"pepperlead/policy"
)

const (
	headerWork     = "X-Work"
	headerRouteKey = "X-Route-Key"

	// routeKeyPrefix and routeKeyBase define the format of a key in X-Route-Key.
	routeKeyPrefix = "k"
	routeKeyBase   = 36

	// overloadRestartDelay is how long a cold server that was overloaded stays down, as in the emulator.
	overloadRestartDelay = 20 * time.Second
	// idleTimer is the initial setting of the timer, before there is any work.
	idleTimer = time.Hour
)

// ModelServer is a fake endpoint that runs the emulator's model of one in real time. A request states its cost in
// X-Work, as nanoseconds of a core at speed 1 and of I/O with a comma between them, and its key in X-Route-Key.
type ModelServer struct {
	clock    clock.Clock
	observer Observer
	address  string
	traits   machine.Traits
	random   func() float64 // draws from 0 to 1

	mu         sync.Mutex // guards the fields below
	machine    *machine.Machine
	waiting    map[uint64]chan bool // by request number: sent true when it is done, closed when the server stops
	lastNumber uint64               // of the latest request
	timer      *time.Timer          // runs the machine's next event
	http       *http.Server         // nil while the server is stopped
	silent     bool
	draining   bool
	errorRate  float64
	started    policy.Time
	generation uint64 // incremented by each Stop
}

// Observer receives the requests of a ModelServer. Its methods are called from any goroutine.
type Observer interface {
	// RequestArrived is called for each complete request; its result is passed to RequestEnded.
	RequestArrived(Arrival) any
	// RequestEnded is called when the response is written or the connection has ended; rejected says that the request
	// was not processed.
	RequestEnded(observed any, rejected bool)
}

// Arrival describes a request that has reached a ModelServer.
type Arrival struct {
	RequestID string
	Work      policy.Time
	Cold      bool        // the server is warming up
	Started   policy.Time // when the server started
	Capacity  float64     // cores times speed at the current warmth
}

// Status is the load and the capacity of a ModelServer.
type Status struct {
	Requests int     // requests in the server, queued or begun
	Queued   int     // of these, those that wait for a core
	Capacity float64 // cores times speed once warm; 0 while the server is stopped or silent
}

// ModelServerOptions configures a ModelServer.
type ModelServerOptions struct {
	Traits   machine.Traits
	Started  policy.Time // when the server started; 0 means long ago
	Clock    clock.Clock
	Random   func() float64 // draws from 0 to 1 for errors
	Observer Observer       // nil for none
}

// StartModelServer starts a model server that listens on the address. If the port is 0, the system chooses a free one.
func StartModelServer(address string, options ModelServerOptions) (*ModelServer, error) {
	s := &ModelServer{
		clock:    options.Clock,
		observer: options.Observer,
		traits:   options.Traits,
		random:   options.Random,
		machine:  machine.New(options.Traits, options.Started),
		waiting:  map[uint64]chan bool{},
		started:  options.Started,
	}
	s.timer = time.AfterFunc(idleTimer, s.timerFired)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.serveOn(listener)
	return s, nil
}

// Status returns the current load and capacity of the server.
func (s *ModelServer) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Requests: s.machine.Jobs(), Queued: s.machine.Queued()}
	if s.http != nil && !s.silent {
		status.Capacity = s.traits.Cores * s.traits.Speed
	}
	return status
}

func (s *ModelServer) serveOn(listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.connStateChanged}
	s.mu.Lock()
	s.http = server
	s.mu.Unlock()
	go func() {
		_ = server.Serve(listener) // returns once Stop is called
	}()
}

// Addr returns the address that the server listens on, which stays the same after a Restart.
func (s *ModelServer) Addr() string { return s.address }

// Close stops the server for good.
func (s *ModelServer) Close() { s.Stop() }

// Stop simulates the end of the process: connections are reset, new ones are refused, and all requests are lost.
func (s *ModelServer) Stop() {
	s.mu.Lock()
	server := s.http
	s.http = nil
	s.generation++
	s.machine.Restart(s.clock.Now())
	s.timer.Stop()
	for number, done := range s.waiting {
		close(done)
		delete(s.waiting, number)
	}
	s.mu.Unlock()
	if server != nil {
		_ = server.Close() // the connections are closed in any case
	}
}

// Restart starts a stopped server again, cold.
func (s *ModelServer) Restart() error {
	s.mu.Lock()
	s.started = s.clock.Now()
	s.machine.Restart(s.started)
	s.silent = false
	s.draining = false
	s.mu.Unlock()
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.serveOn(listener)
	return nil
}

// Started returns the time of the latest start; 0 means long ago.
func (s *ModelServer) Started() policy.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// SetSilent makes the server read requests without answering them, or ends that.
func (s *ModelServer) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// Drain makes the server finish the requests it has and reject all further ones.
func (s *ModelServer) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetErrorRate sets the share of requests, from 0 to 1, that end with status 500.
func (s *ModelServer) SetErrorRate(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errorRate = share
}

// Update applies a change to the model.
func (s *ModelServer) Update(change func(m *machine.Machine, now policy.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.advance(now)
	change(s.machine, now)
	s.setTimer(now)
}

func (s *ModelServer) connStateChanged(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.machine.AddConnections(s.clock.Now(), 1)
	case http.StateClosed, http.StateHijacked:
		s.machine.AddConnections(s.clock.Now(), -1)
	}
}

// advance brings the model up to now and releases the requests that are done. The caller holds mu.
func (s *ModelServer) advance(now policy.Time) {
	for _, finished := range s.machine.Run(now, nil) {
		if done := s.waiting[finished.Owner]; done != nil {
			done <- true
			delete(s.waiting, finished.Owner)
		}
	}
}

// setTimer sets the timer to the model's next event. The caller holds mu.
func (s *ModelServer) setTimer(now policy.Time) {
	if at, pending := s.machine.Next(); pending {
		s.timer.Reset(time.Duration(max(0, at-now)))
	}
}

func (s *ModelServer) timerFired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.advance(now)
	s.setTimer(now)
}

// modelRequest is a request in the terms of the model.
type modelRequest struct {
	id   string
	key  uint64
	work policy.Time
	io   policy.Time
}

// parseRequest reads the headers of a request. Invalid values count as 0.
func parseRequest(header http.Header) modelRequest {
	workText, ioText, _ := strings.Cut(header.Get(headerWork), ",")
	request := modelRequest{
		id:   header.Get(headerRequestID),
		work: parseCost(workText),
		io:   parseCost(ioText),
	}
	if text := header.Get(headerRouteKey); text != "" {
		request.key, _ = strconv.ParseUint(strings.TrimPrefix(text, routeKeyPrefix), routeKeyBase, 64)
	}
	return request
}

func parseCost(text string) policy.Time {
	nanoseconds, _ := strconv.ParseInt(text, 10, 64)
	return policy.Time(max(0, nanoseconds))
}

func (s *ModelServer) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	request := parseRequest(r.Header)
	arrival, silent := s.describeArrival(request)
	if silent {
		<-r.Context().Done()
		return
	}
	rejected := false
	if s.observer != nil {
		observed := s.observer.RequestArrived(arrival)
		defer func() { s.observer.RequestEnded(observed, rejected) }()
	}
	job, admitted := s.admit(request)
	if !admitted {
		rejected = true
		writeRejection(w)
		return
	}
	if s.wait(r, job) {
		s.respond(w, r, body)
	}
}

// describeArrival returns the state of the server at the arrival of a request, and whether the server is silent.
func (s *ModelServer) describeArrival(request modelRequest) (arrival Arrival, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.advance(now)
	if s.silent {
		return Arrival{}, true
	}
	return Arrival{
		RequestID: request.id,
		Work:      request.work,
		Cold:      s.machine.Cold(now),
		Started:   s.started,
		Capacity:  s.traits.Cores * s.traits.Speed * s.machine.Warmth(now),
	}, false
}

// modelJob is a request that the model works on.
type modelJob struct {
	id         machine.JobID
	number     uint64
	generation uint64
	done       <-chan bool
}

// admit passes a request to the model and reports whether the model has admitted it.
func (s *ModelServer) admit(request modelRequest) (job modelJob, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.advance(now)
	s.lastNumber++
	job = modelJob{id: machine.NoJob, number: s.lastNumber, generation: s.generation}
	if !s.draining {
		job.id, admitted = s.machine.Submit(now, job.number, request.key, request.work, request.io, false)
	}
	if admitted {
		done := make(chan bool, 1)
		s.waiting[job.number] = done
		job.done = done
	}
	if s.machine.Overloaded() {
		go s.crashOverloaded()
	}
	s.setTimer(now)
	return job, admitted
}

// wait returns true once a job is done. It cancels the job and returns false if the client closes the connection, and
// aborts the connection if the server stops.
func (s *ModelServer) wait(r *http.Request, job modelJob) bool {
	select {
	case finished := <-job.done:
		if !finished {
			panic(http.ErrAbortHandler)
		}
		return true
	case <-r.Context().Done():
		s.cancel(job)
		return false
	}
}

func (s *ModelServer) cancel(job modelJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.generation == job.generation && s.waiting[job.number] != nil {
		delete(s.waiting, job.number)
		s.machine.Cancel(s.clock.Now(), job.id, true)
	}
}

// respond answers a request whose work is done, unless the server is silent or an error is drawn.
func (s *ModelServer) respond(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	silent := s.silent
	failed := s.errorRate > 0 && s.random() < s.errorRate
	s.mu.Unlock()
	switch {
	case silent:
		<-r.Context().Done()
	case failed:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		writeBody(w, body)
	}
}

// crashOverloaded stops a cold server that was overloaded and restarts it later.
func (s *ModelServer) crashOverloaded() {
	s.mu.Lock()
	crashed := s.http != nil && s.machine.Overloaded()
	s.mu.Unlock()
	if !crashed {
		return
	}
	s.Stop()
	time.AfterFunc(overloadRestartDelay, func() {
		_ = s.Restart() // the address may be taken by now; the server then stays stopped
	})
}
