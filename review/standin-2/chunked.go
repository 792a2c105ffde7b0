package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An answer's body: a little over 64 KiB, and far under 32 MB, written in pieces.
const (
	longAnswer = 66_000
	piece      = 2_000
)

// wholeAnswers are the requests to which an endpoint has given a whole answer.
type wholeAnswers struct {
	mu sync.Mutex
	of map[string]int // by request id: how many
}

// chunkedAnswers: endpoints give answers of 66,000 bytes in chunks, whole and at once.
func chunkedAnswers(s *scene) {
	given := wholeAnswers{of: map[string]int{}}
	var targets []target
	for i := range 6 {
		e := startEndpoint(s, fmt.Sprintf("s-%d", i+1), []string{"oslo-nord", "trondheim"}[i%2], i%2, 0)
		e.answer = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
			time.Sleep(20 * time.Millisecond)
			id := r.Header.Get("X-Request-ID")
			body := []byte("made by " + e.uid + " for " + id)
			body = append(body, strings.Repeat(".", longAnswer-len(body))...)
			if !s.trouble {
				w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			}
			var err error
			for rest := body; len(rest) > 0 && err == nil; rest = rest[min(piece, len(rest)):] {
				_, err = w.Write(rest[:min(piece, len(rest))]) // without a length the server sends chunks
			}
			if err == nil {
				given.mu.Lock()
				given.of[id]++
				given.mu.Unlock()
				s.logf("endpoint %s: has answered %s with %d bytes", e.uid, id, len(body))
			}
			return true
		}
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
	clients := startCrowd(s, listen, 4, 200*time.Millisecond, hentManus, lagreUtfall)
	time.Sleep(20 * time.Second)
	results := clients.end()
	statuses := map[int]int{}
	forwarded := 0
	given.mu.Lock()
	defer given.mu.Unlock()
	for _, r := range results {
		statuses[r.status]++
		if r.status == http.StatusOK && len(r.body) == longAnswer && given.of[r.id] > 0 {
			forwarded++
		}
	}
	answers := 0
	for _, n := range given.of {
		answers += n
	}
	s.say("%d requests, answers to clients by status: %v; endpoints gave %d whole answers to %d requests, of which %d got one",
		len(results), statuses, answers, len(given.of), forwarded)
	if len(given.of) < 20 {
		s.unable("too few requests")
	}
	if 2*forwarded < len(given.of) {
		s.say("BROKEN: of the answers with no length that come whole, half at least are forwarded")
		s.end(exitBroken)
	}
	s.say("held")
	s.end(exitHeld)
}
