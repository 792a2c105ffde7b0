package soak

import (
	"syscall"
	"time"
)

const (
	// restartPause is the time between the end of a process and the next one.
	restartPause = time.Second
	// seriesPause is the time for which a process lives in a series of kills.
	seriesPause = 160 * time.Millisecond
	// newConnectionTime is how long after SIGTERM clients make new connections.
	newConnectionTime = 300 * time.Millisecond
	// listDelay is how long the list lags behind the servers.
	listDelay = 400 * time.Millisecond
)

// replacesProcess reports whether the fault ends the process of a sidecar and starts another one. Only one such fault
// happens to a sidecar at a time.
func (k FaultKind) replacesProcess() bool {
	switch k {
	case Kill, KillSeries, Restart, TermSeries, Upgrade:
		return true
	case Reload, Replace, ServerRestart, ServerDrain:
	}
	return false
}

// apply makes a fault happen, to the sidecar if it concerns a process.
func (r *Run) apply(f Fault, s *sidecar) {
	if f.Kind.replacesProcess() {
		s.changing.Lock()
		defer s.changing.Unlock()
	}
	switch f.Kind {
	case Kill:
		s.kill()
		time.Sleep(restartPause)
		r.restart(s)
	case KillSeries:
		for range 3 {
			s.kill()
			time.Sleep(restartPause)
			r.restart(s)
			time.Sleep(seriesPause)
		}
	case Restart:
		r.terminate(s)
	case TermSeries:
		go r.signalAgain(s)
		r.terminate(s)
	case Reload:
		for range 4 {
			r.reload(s)
			time.Sleep(seriesPause)
		}
	case Upgrade:
		r.upgrade(s)
	case Replace:
		r.replaceServer(true)
	case ServerRestart:
		r.restartServer()
	case ServerDrain:
		r.drainServer()
	}
}

// restart starts a new process of a sidecar that has none.
func (r *Run) restart(s *sidecar) {
	if _, err := s.start(""); err != nil && !r.over() {
		r.judge.violate(RuleProcess, "%v", err)
	}
}

// process returns the current process of a sidecar, nil if there is none.
func (s *sidecar) process() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (r *Run) terminate(s *sidecar) {
	p := s.process()
	if p == nil {
		return
	}
	s.terminate(p, newConnectionTime)
	s.mu.Lock()
	s.current = nil
	s.mu.Unlock()
	time.Sleep(restartPause)
	r.restart(s)
}

// signalAgain sends further signals while a process ends.
func (r *Run) signalAgain(s *sidecar) {
	p := s.process()
	if p == nil {
		return
	}
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP} {
		time.Sleep(seriesPause / 2)
		p.signal(signal, true)
	}
}

func (r *Run) reload(s *sidecar) {
	if p := s.process(); p != nil {
		p.signal(syscall.SIGHUP, false)
	}
}

// upgrade starts a new process beside the old one, and ends the old one once the new one is ready.
func (r *Run) upgrade(s *sidecar) {
	old := s.process()
	admin, err := r.adminAddress(true)
	if old == nil || err != nil {
		return
	}
	if _, err := s.start(admin); err != nil {
		r.judge.violate(RuleProcess, "%v", err)
		return
	}
	s.terminate(old, 0)
}

// pickServer returns a server that is ready, nil if few are left.
func (r *Run) pickServer() *server {
	ready := r.list.ready()
	if len(ready) < 3 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return ready[r.random.IntN(len(ready))]
}

// replaceServer ends a server and starts another one at its address. newFirst says that the list names the new one
// before it removes the old one.
func (r *Run) replaceServer(newFirst bool) {
	old := r.pickServer()
	if old == nil {
		return
	}
	old.stop()
	time.Sleep(listDelay / 4)
	replacement, err := r.newServer(old.address, time.Now())
	if err != nil {
		r.list.set(old, "")
		return
	}
	time.Sleep(listDelay)
	if !newFirst {
		r.list.set(old, "")
	}
	r.list.set(replacement, stateReady)
	if newFirst {
		time.Sleep(2 * listDelay)
		r.list.set(old, "")
	}
}

// restartServer ends a server and starts it again under its uid.
func (r *Run) restartServer() {
	old := r.pickServer()
	if old == nil {
		return
	}
	old.stop()
	time.Sleep(listDelay / 4)
	again, err := startServer(r.judge, old.uid, old.address, old.zone, old.cell, time.Now())
	r.list.set(old, "")
	if err == nil {
		time.Sleep(listDelay)
		r.list.set(again, stateReady)
	}
}

// drainServer has a server drain, and ends it after the grace.
func (r *Run) drainServer() {
	old := r.pickServer()
	if old == nil {
		return
	}
	if added, err := r.newServer("", time.Now()); err == nil {
		r.list.set(added, stateReady)
	}
	r.list.set(old, stateDraining)
	old.drain(time.Now(), drainGrace)
	time.Sleep(3 * time.Second)
	r.list.set(old, "")
	old.stop()
}
