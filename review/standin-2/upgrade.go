package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"
)

// Figures of the pages.
const (
	drainGrace  = time.Second             // rules.drain_grace_s
	socketSlack = 50 * time.Millisecond   // each time limit is 50 ms longer on sockets
	newsBinds   = 2 * time.Second         // news of discovery binds from 2 s after the new process has said yes
	sayYes      = 6 * time.Second         // the new process has so long to say yes
	killAfter   = 3700 * time.Millisecond // SIGKILL after SIGTERM: 3 s and 0.7 s
	outage      = 8 * time.Second         // discovery is down for 8 s
)

// heldListener returns a listening socket that the platform holds, and the files with which a process inherits it as
// descriptor 7.
func heldListener() (address string, files []*os.File) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	file, err := l.(*net.TCPListener).File()
	must(err)
	null, err := os.Open(os.DevNull)
	must(err)
	return l.Addr().String(), []*os.File{null, null, null, null, file}
}

// waitReady waits until a door says that its process is ready.
func waitReady(address string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if strings.HasPrefix(door(address, "ready"), "OK") {
			return true
		}
	}
	return false
}

// upgradeDuringOutage: an endpoint drains, and the sidecar is told so and keeps to it. Discovery goes down for 8 s;
// meanwhile a new version takes over.
func upgradeDuringOutage(s *scene) {
	var endpoints []*endpoint
	var targets []target
	for i := range 8 {
		zone := []string{"oslo-nord", "trondheim"}[i%2]
		e := startEndpoint(s, fmt.Sprintf("s-%d", i+1), zone, i%2, 20*time.Millisecond)
		endpoints = append(endpoints, e)
		targets = append(targets, e.target())
	}
	a := startAgent(s, targets)
	listen, files := heldListener()
	config := s.writeConfig("n3", listen, a.address, a.snapshot())
	doors := []string{freeAddress(), freeAddress()}
	env := func(n int) []string {
		return []string{"GW_NAME=n3", "GW_LISTEN=" + listen, "GW_DISCOVERY=" + a.address, "GW_CONFIG=" + config,
			"GW_ADMIN=" + doors[n], "GW_INHERITED_FD=7", "TMPDIR=" + s.dir}
	}
	older := s.startSidecar("old process", "", env(0), files)
	if !waitReady(doors[0], 10*time.Second) {
		s.unable("the first process is not ready")
	}
	clients := startCrowd(s, listen, 24, 150*time.Millisecond, hentManus, lagreUtfall)
	time.Sleep(2 * time.Second)
	drained := endpoints[:2] // a quarter of the endpoints
	before, rev := 0, int64(0)
	for _, e := range drained {
		before += e.count()
		e.drain()
		rev = a.set(e.uid, func(t *target) { t.State = "Terminating" })
	}
	s.say("s-1 and s-2 are listed as Terminating, version %d; they had %d requests before", rev, before)
	time.Sleep(drainGrace + time.Second)
	told, heard := a.toldAt(rev)
	if !heard || before == 0 {
		s.unable("the sidecar was not told, or the two had no requests")
	}
	deadline := told.Add(drainGrace + socketSlack)
	sentSince := func(from time.Time) (n int) {
		for _, e := range drained {
			n += len(e.since(from))
		}
		return n
	}
	early := sentSince(deadline)
	s.say("told at %.3f; requests to the two after the grace, until now: %d", told.Sub(s.start).Seconds(), early)
	time.Sleep(time.Second)

	downAt := time.Now()
	if s.trouble {
		a.setSilent(true)
		s.say("discovery is down")
	}
	time.Sleep(200 * time.Millisecond)
	newer := s.startSidecar("new process", "", env(1), files)
	if !waitReady(doors[1], sayYes) {
		s.unable("the new process did not say yes in time")
	}
	yes := time.Now()
	s.say("the new process says yes %.0fms after its start; SIGTERM to the old one", time.Since(downAt).Seconds()*1000-200)
	older.signal(syscall.SIGTERM)
	select {
	case <-older.ended:
	case <-time.After(killAfter):
		older.kill()
	}
	time.Sleep(time.Until(downAt.Add(outage)))
	if s.trouble {
		a.setSilent(false)
		s.say("discovery is back")
	}
	time.Sleep(2 * time.Second)
	results := clients.end()
	if newer.hasEnded() {
		s.say("the new process has ended: %v", newer.err)
		s.end(exitBroken)
	}
	binds := yes.Add(newsBinds + drainGrace + socketSlack)
	late := sentSince(deadline)
	bound := sentSince(binds)
	s.say("%d requests, %d served; sent to the two later than 1.05s after the sidecar was told: %d; of these later than "+
		"3.05s after the yes: %d", len(results), served(results), late, bound)
	if served(results) < len(results)/2 {
		s.unable("too little was served")
	}
	if bound > 0 || early > 0 {
		s.say("BROKEN: drains are kept")
		s.end(exitBroken)
	}
	s.say("held")
	s.end(exitHeld)
}
