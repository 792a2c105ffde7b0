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

// Modelled is a stand-in whose inside is the emulator's model of a server, driven in real time. A request says in X-Work what it
// costs: nanoseconds of a core at speed 1, and of I/O, with a comma between them; and in X-Route-Key what it is about.
type Modelled struct {
	clock clock.Clock
	watch Watch
	addr  string

	mu      sync.Mutex
	machine *machine.Machine
	traits  machine.Traits
	waits   map[uint64]chan bool // by job: true once it is done
	serial  uint64
	timer   *time.Timer
	http    *http.Server
	silent  bool
	drains  bool
	errors  float64
	roll    func() float64
	started policy.Time
	life    uint64
}

// Watch is told what reaches a stand-in and how it leaves; nil: nobody is. Any goroutine may call it.
type Watch interface {
	// Arrived is told of a request when it has come whole; what it gives back is handed to Left.
	Arrived(at policy.Time, id string, work policy.Time, cold bool, started policy.Time, capacity float64) any
	// Left is told when its answer is written, or its connection has ended; never: it was turned away.
	Left(at policy.Time, of any, never bool)
}

// StartModelled serves at the address. started is when its inside began, 0 for long ago; roll draws from 0 to 1 for errors.
func StartModelled(addr string, traits machine.Traits, started policy.Time, c clock.Clock, roll func() float64, watch Watch) (*Modelled, error) {
	s := &Modelled{clock: c, watch: watch, traits: traits, waits: map[uint64]chan bool{}, roll: roll, started: started,
		machine: machine.New(traits, started)}
	s.timer = time.AfterFunc(time.Hour, s.due)
	if err := s.listen(addr); err != nil {
		return nil, err
	}
	return s, nil
}

// Stands tells how many requests are in it, how many of these wait, and what it can do in a time while it is whole; 0: it is not there.
func (s *Modelled) Stands() (in, queued int, size float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil && !s.silent {
		size = s.traits.Cores * s.traits.Speed
	}
	return s.machine.Jobs(), s.machine.Queued(), size
}

func (s *Modelled) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.state}
	go s.http.Serve(l)
	return nil
}

// Addr is where it listens, the same over all its lives.
func (s *Modelled) Addr() string { return s.addr }

// Close ends it for good.
func (s *Modelled) Close() { s.Stop() }

// Stop ends its process: connections are reset, new ones refused, and what was in it is lost.
func (s *Modelled) Stop() {
	s.mu.Lock()
	old := s.http
	s.http = nil
	s.life++
	s.machine.Restart(s.clock.Now())
	s.timer.Stop()
	for job, wait := range s.waits {
		close(wait)
		delete(s.waits, job)
	}
	s.mu.Unlock()
	if old != nil {
		old.Close()
	}
}

// Begin starts its process anew, cold.
func (s *Modelled) Begin() error {
	s.mu.Lock()
	s.started = s.clock.Now()
	s.machine.Restart(s.started)
	s.silent, s.drains = false, false
	s.mu.Unlock()
	return s.listen(s.addr)
}

// Started is when its latest life began, 0 for long ago.
func (s *Modelled) Started() policy.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// Silent has it answer nothing, and read on; Drain has it turn new work away; Errors sets the part of errors.
func (s *Modelled) Silent(on bool)      { s.mu.Lock(); s.silent = on; s.mu.Unlock() }
func (s *Modelled) Drain()              { s.mu.Lock(); s.drains = true; s.mu.Unlock() }
func (s *Modelled) Errors(part float64) { s.mu.Lock(); s.errors = part; s.mu.Unlock() }

// Change does something to its inside.
func (s *Modelled) Change(do func(m *machine.Machine, now policy.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.run(now)
	do(s.machine, now)
	s.plan(now)
}

func (s *Modelled) state(_ net.Conn, to http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch to {
	case http.StateNew:
		s.machine.AddConnections(s.clock.Now(), 1)
	case http.StateClosed, http.StateHijacked:
		s.machine.AddConnections(s.clock.Now(), -1)
	}
}

// run brings the machine up to now and lets go of the requests that are done. The lock is held.
func (s *Modelled) run(now policy.Time) {
	for _, d := range s.machine.Run(now, nil) {
		if wait := s.waits[d.Owner]; wait != nil {
			wait <- true
			delete(s.waits, d.Owner)
		}
	}
}

func (s *Modelled) plan(now policy.Time) {
	if at, any := s.machine.Next(); any {
		s.timer.Reset(time.Duration(max(0, at-now)))
	}
}

func (s *Modelled) due() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.run(now)
	s.plan(now)
}

// cost reads X-Work.
func cost(v string) (work, io policy.Time) {
	a, b, _ := strings.Cut(v, ",")
	x, _ := strconv.ParseInt(a, 10, 64)
	y, _ := strconv.ParseInt(b, 10, 64)
	return policy.Time(max(0, x)), policy.Time(max(0, y))
}

func (s *Modelled) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, mostBody))
	if err != nil {
		return
	}
	work, wait := cost(r.Header.Get("X-Work"))
	key := uint64(0)
	if k := r.Header.Get("X-Route-Key"); k != "" {
		key, _ = strconv.ParseUint(strings.TrimPrefix(k, "k"), 36, 64)
	}
	s.mu.Lock()
	now := s.clock.Now()
	s.run(now)
	if s.silent {
		s.mu.Unlock()
		<-r.Context().Done()
		return
	}
	cold, started, capacity := s.machine.Cold(now), s.started, s.traits.Cores*s.traits.Speed*s.machine.Warmth(now)
	s.mu.Unlock()
	var of any
	if s.watch != nil {
		of = s.watch.Arrived(now, r.Header.Get("X-Request-ID"), work, cold, started, capacity)
	}
	never := false
	defer func() {
		if s.watch != nil {
			s.watch.Left(s.clock.Now(), of, never)
		}
	}()
	s.mu.Lock()
	now = s.clock.Now()
	s.run(now)
	life := s.life
	s.serial++
	serial := s.serial
	job, in := machine.NoJob, false
	if !s.drains {
		job, in = s.machine.Arrive(now, serial, key, work, wait, false)
	}
	fell := s.machine.Overloaded()
	done := make(chan bool, 1)
	if in {
		s.waits[serial] = done
	}
	s.plan(now)
	s.mu.Unlock()
	if fell {
		go s.fall()
	}
	if !in {
		never = true
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case ok := <-done:
		if !ok {
			panic(http.ErrAbortHandler) // its process has ended
		}
	case <-r.Context().Done():
		s.mu.Lock()
		if s.life == life && s.waits[serial] != nil {
			delete(s.waits, serial)
			s.machine.Cancel(s.clock.Now(), job, true)
		}
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	silent, bad := s.silent, s.errors > 0 && s.roll() < s.errors
	s.mu.Unlock()
	switch {
	case silent:
		<-r.Context().Done()
	case bad:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
	}
}

// fall ends a cold one that was sent too much; it comes back after as long as in the emulator.
func (s *Modelled) fall() {
	s.mu.Lock()
	up := s.http != nil && s.machine.Overloaded()
	s.mu.Unlock()
	if up {
		s.Stop()
		time.AfterFunc(20*time.Second, func() { s.Begin() })
	}
}
