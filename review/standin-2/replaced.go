package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of the pages.
const (
	repeatWindow = 2500 * time.Millisecond // one pod drops a repeated lagre-notat for 2.5 s
	listBehind   = 3500 * time.Millisecond // the list tells of a process that died 0.53 to 4.1 s later
	resetsFrom   = 2300 * time.Millisecond // after the replacement
	resetsFor    = 900 * time.Millisecond
)

// effects is what the endpoints did with numbered requests. Each pod remembers its keys, and drops a repeat.
type effects struct {
	s    *scene
	mu   sync.Mutex
	last map[string]time.Time // by pod and key: when it ran
	ran  map[string][]string  // by key: where it had an effect
}

// run runs a request on an endpoint, or drops it as a repeat.
func (f *effects) run(e *endpoint, key, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	memory := fmt.Sprint(e.pod, " ", key)
	if at, known := f.last[memory]; known && now.Sub(at) < repeatWindow {
		f.s.logf("pod %d, %s: key %s dropped as a repeat", e.pod, e.uid, key)
		return
	}
	f.last[memory] = now
	f.ran[key] = append(f.ran[key], fmt.Sprintf("%s (pod %d) at %.3f", e.uid, e.pod, now.Sub(f.s.start).Seconds()))
	f.s.logf("pod %d, %s: key %s of %s has its effect", e.pod, e.uid, key, id)
}

// replacedAtItsAddress: the process of an endpoint dies, and a new endpoint of another pod comes up at its address. The
// list tells so 3.5 s later. Some connections are reset under requests that have begun.
func replacedAtItsAddress(s *scene) {
	lagreNotat := class{"lagre-notat", "POST", true, 3 * time.Second}
	f := &effects{s: s, last: map[string]time.Time{}, ran: map[string][]string{}}
	var resetting sync.Map // by endpoint: requests are run and their connections reset
	serve := func(e *endpoint) *endpoint {
		e.answer = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
			key, id := r.Header.Get("Idempotency-Key"), r.Header.Get("X-Request-ID")
			if key == "" {
				return false
			}
			time.Sleep(e.work)
			f.run(e, key, id)
			if _, resets := resetting.Load(e); resets && rand.IntN(2) == 0 {
				s.logf("endpoint %s: the connection of %s is reset", e.uid, id)
				panic(http.ErrAbortHandler)
			}
			reply := []byte("made by " + e.uid + " for " + id)
			w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
			_, _ = w.Write(reply)
			return true
		}
		return e
	}
	var endpoints []*endpoint
	var targets []target
	for i := range 8 {
		zone, pod := "oslo-nord", 1
		if i%2 == 1 {
			zone, pod = "trondheim", 2
		}
		e := serve(startEndpoint(s, fmt.Sprintf("s-%d", i+1), zone, pod, 30*time.Millisecond))
		endpoints = append(endpoints, e)
		targets = append(targets, e.target())
	}
	a := startAgent(s, targets)
	listen := freeAddress()
	config := s.writeConfig("n3", listen, a.address, a.snapshot())
	s.startSidecar("sidecar", "", []string{"GW_NAME=n3", "GW_LISTEN=" + listen, "GW_DISCOVERY=" + a.address,
		"GW_CONFIG=" + config, "TMPDIR=" + s.dir}, nil)
	if !waitHealthy(listen, 10*time.Second) {
		s.unable("the sidecar is not ready")
	}
	clients := startCrowd(s, listen, 24, 150*time.Millisecond, hentManus, lagreNotat, lagreNotat)
	time.Sleep(3 * time.Second)

	old := endpoints[0]
	struck := old
	replacedAt := time.Now()
	if s.trouble {
		old.die()
		struck = serve(startEndpointAt(s, old.address, "s-9", "oslo-nord", 3, 30*time.Millisecond))
		s.say("s-1 (pod 1) has died, s-9 (pod 3) is up at its address")
	}
	time.Sleep(time.Until(replacedAt.Add(resetsFrom)))
	resetting.Store(struck, true)
	s.say("some connections of %s are reset under requests", struck.uid)
	time.Sleep(resetsFor)
	resetting.Delete(struck)
	time.Sleep(time.Until(replacedAt.Add(listBehind)))
	if s.trouble {
		a.set("s-1", func(t *target) { t.State = "Gone" })
		a.add(struck.target(), time.Now())
		s.say("the list names s-9, and s-1 as gone")
	}
	time.Sleep(3 * time.Second)
	results := clients.end()
	broken := 0
	f.mu.Lock()
	for key, places := range f.ran {
		if len(places) > 1 {
			broken++
			s.say("key %s had its effect %d times: %v", key, len(places), places)
		}
	}
	f.mu.Unlock()
	s.say("%d requests, %d served, %d keys had an effect, %d of them twice", len(results), served(results), len(f.ran), broken)
	if served(results) < len(results)/2 {
		s.unable("too little was served")
	}
	if broken > 0 {
		s.say("BROKEN: no effect happens twice")
		s.end(exitBroken)
	}
	s.say("held")
	s.end(exitHeld)
}
