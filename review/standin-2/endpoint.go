package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is one request that came to an endpoint.
type arrival struct {
	at       time.Time
	endpoint string
	id, key  string
	class    string
	ran      bool // the endpoint began the work
}

// endpoint is a stand-in of a script server.
type endpoint struct {
	s       *scene
	uid     string
	address string
	zone    string
	pod     int
	work    time.Duration
	listen  net.Listener
	http    *http.Server

	mu       sync.Mutex
	draining bool
	arrivals []arrival
	// answer, if set, answers a request in place of the usual way, and says whether it did. It runs after the arrival
	// was recorded.
	answer func(w http.ResponseWriter, r *http.Request, body []byte) bool
}

func startEndpoint(s *scene, uid, zone string, pod int, work time.Duration) *endpoint {
	return startEndpointAt(s, "127.0.0.1:0", uid, zone, pod, work)
}

func startEndpointAt(s *scene, address, uid, zone string, pod int, work time.Duration) *endpoint {
	l, err := net.Listen("tcp", address)
	must(err)
	e := &endpoint{s: s, uid: uid, address: l.Addr().String(), zone: zone, pod: pod, work: work, listen: l}
	e.http = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go e.http.Serve(l)
	return e
}

func (e *endpoint) target() target {
	return target{UID: e.uid, Endpoint: e.address, Zone: e.zone, Model: "standard", Pod: e.pod, State: "Ready", Weight: 1}
}

// die ends the endpoint's process: its connections end, and its address is free.
func (e *endpoint) die() { _ = e.http.Close() }

// drain makes the endpoint finish what it has and turn away what comes later than the grace.
func (e *endpoint) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	at := time.Now() // the head has come: the send began before
	if r.URL.Path == "/ping" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	away := e.draining
	answer := e.answer
	a := arrival{at: at, endpoint: e.uid, id: r.Header.Get("X-Request-ID"), key: r.Header.Get("Idempotency-Key"),
		class: r.Header.Get("X-Priority-Class"), ran: !away}
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	e.s.logAt(at, "endpoint %s: %s %s, id %s key %q, turned away %v", e.uid, r.Method, r.URL.Path, a.id, a.key, away)
	if away {
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if answer != nil && answer(w, r, body) {
		return
	}
	time.Sleep(e.work)
	reply := []byte("made by " + e.uid + " for " + a.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
	_, _ = w.Write(reply)
}

// since returns the arrivals from a moment on.
func (e *endpoint) since(from time.Time) []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	var late []arrival
	for _, a := range e.arrivals {
		if !a.at.Before(from) {
			late = append(late, a)
		}
	}
	return late
}

func (e *endpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.arrivals)
}
