package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the pages.
const (
	goneAfter     = 100 * time.Millisecond // an attempt that begins more than 0.1 s after the close is a break
	leavingBody   = 16 << 20               // bodies reach 32 MB
	leavingShort  = 16 << 10
	leavers       = 10
	usualClients  = 100
	usualPause    = 300 * time.Millisecond
	workOfRequest = 400 * time.Millisecond
)

// clientsLeave: the endpoints are busy, and clients leave in the middle of long bodies.
func clientsLeave(s *scene) {
	var mu sync.Mutex
	left := map[string]time.Time{}  // by request id: when its client closed its connection
	begun := map[string]time.Time{} // by request id: when its last attempt came to an endpoint
	var targets []target
	for i := range 6 {
		e := startEndpoint(s, fmt.Sprintf("s-%d", i+1), []string{"oslo-nord", "trondheim"}[i%2], i%2, workOfRequest)
		e.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			at := time.Now()
			id := r.Header.Get("X-Request-ID")
			mu.Lock()
			begun[id] = at
			mu.Unlock()
			s.logAt(at, "endpoint %s: %s, id %s", e.uid, r.Method, id)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				s.logf("endpoint %s: the body of %s broke off", e.uid, id)
				return
			}
			time.Sleep(e.work)
			_, _ = io.WriteString(w, "made by "+e.uid+" for "+id)
		})
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
	size := leavingShort
	if s.trouble {
		size = leavingBody
	}
	clients := startCrowd(s, listen, usualClients, usualPause, hentManus)
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range leavers {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				conn, err := net.DialTimeout("tcp", listen, time.Second)
				if err != nil {
					continue
				}
				id := newID()
				written := make(chan struct{})
				go func() {
					defer close(written)
					fmt.Fprintf(conn, "POST /lagre-utfall HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\n"+
						"X-Priority-Class: lagre-utfall\r\nIdempotency-Key: k%s\r\nX-Tenant-Id: nordkyst-salg\r\n"+
						"X-Timeout: 2.500\r\nContent-Length: %d\r\n\r\n", id, id, size)
					_, _ = conn.Write(make([]byte, size))
				}()
				time.Sleep(20*time.Millisecond + rand.N(60*time.Millisecond))
				_ = conn.Close()
				at := time.Now() // the connection is closed by now
				mu.Lock()
				left[id] = at
				mu.Unlock()
				s.logAt(at, "client: left %s", id)
				<-written
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	time.Sleep(15 * time.Second)
	close(stop)
	running.Wait()
	time.Sleep(2 * time.Second)
	results := clients.end()
	mu.Lock()
	defer mu.Unlock()
	late, attempts, longest := 0, 0, time.Duration(0)
	for id, at := range left {
		began, attempted := begun[id]
		if !attempted {
			continue
		}
		attempts++
		if after := began.Sub(at); after > goneAfter+socketSlack {
			late++
			longest = max(longest, after)
			s.logf("late: the attempt for %s began %dms after its client had left", id, after.Milliseconds())
		}
	}
	s.say("%d clients left in bodies of %d bytes, %d of their requests came to an endpoint, %d of these more than 0.15s after "+
		"the close, at most %dms; %d other requests, %d served", len(left), size, attempts, late, longest.Milliseconds(),
		len(results), served(results))
	if len(left) < 50 || served(results) < len(results)/10 {
		s.unable("too few requests")
	}
	if late > 0 {
		s.say("BROKEN: no attempt begins more than 0.1 s after its client has gone")
		s.end(exitBroken)
	}
	s.say("held")
	s.end(exitHeld)
}
