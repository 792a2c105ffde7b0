package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["slowclient"] = runSlowClient }

const (
	slowAnswer      = 8 << 20 // bytes; DAYS.md: answers reach 32 MB
	slowClientRate  = 128_000 // bytes a second; DAYS.md names 64 kB a second for a slow client
	slowClientPiece = 6_400   // bytes that the client reads at once, 20 times a second
)

// serveSizedAnswers serves answers of the length that the path ends with, as fast as they are taken.
func serveSizedAnswers(c *caseRun) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-ID")
		size, err := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
		if err != nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		c.note("server: request %s has come", id)
		w.Header().Set("Content-Length", fmt.Sprint(size))
		n, err := io.Copy(w, strings.NewReader(strings.Repeat("x", size)))
		c.note("server: %d of %d bytes of the answer to %s are given, error: %v", n, size, id, err)
	})
	go func() { _ = http.Serve(l, handler) }() // it serves until the process ends
	return l.Addr().String()
}

// runSlowClient has a client fetch a long answer. With the disruption it reads slowClientRate, without ever pausing.
func runSlowClient(c *caseRun) (held bool, why string) {
	server := serveSizedAnswers(c)
	list := catalog{Revision: 1, All: true, Targets: []endpoint{ready("s-1", server, "oslo-nord", 1)}}
	listen := freeAddress()
	sidecar := c.startSidecar("n1", c.platformConfig("n1", listen, serveDiscovery(list), oslo(), list))
	awaitHealthy(listen, sidecar)

	conn, err := net.Dial("tcp", listen)
	must(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET /hent-manus/%d HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: r-1\r\n"+
		"X-Priority-Class: hent-manus\r\nX-Tenant-Id: nordkyst-salg\r\nX-Timeout: 3.2\r\n\r\n", slowAnswer)
	must(err)
	c.note("client: sends r-1")
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, slowClientPiece), nil)
	must(err)
	c.note("client: r-1 is answered %d, Content-Length %d", response.StatusCode, response.ContentLength)
	if response.StatusCode != http.StatusOK {
		cannot("the answer is no 200")
	}
	// The sidecar's own count of answers that stayed a part shows when it gave this one up.
	counted := make(chan struct{})
	go func() {
		defer close(counted)
		for range 60 {
			if _, text := get("http://" + listen + "/_counters"); strings.Contains(text, "streams_broken 1\n") {
				c.note("sidecar: counts the answer as broken (streams_broken 1)")
				return
			}
			time.Sleep(250 * time.Millisecond)
		}
	}()
	began := time.Now()
	buf := make([]byte, slowClientPiece)
	total, noted := 0, time.Now()
	longest, latest := time.Duration(0), time.Now() // longest time without a byte read
	for err == nil {
		var n int
		n, err = response.Body.Read(buf)
		total += n
		if n > 0 {
			longest = max(longest, time.Since(latest))
			latest = time.Now()
		}
		if time.Since(noted) > 2*time.Second {
			noted = time.Now()
			c.note("client: has read %d bytes", total)
		}
		if c.trouble {
			time.Sleep(time.Until(began.Add(time.Duration(float64(total) / slowClientRate * float64(time.Second)))))
		}
	}
	c.note("client: has %d of %d bytes, end: %v; it never went longer than %v without reading", total, slowAnswer, err,
		longest.Round(time.Millisecond))
	if c.trouble {
		<-counted
	}
	c.copyLog(sidecar)
	_, counters := get("http://" + listen + "/_counters")
	for _, line := range strings.Split(counters, "\n") {
		if strings.HasPrefix(line, "streams") || strings.HasPrefix(line, "honoured") {
			c.note("counter: %s", line)
		}
	}
	if longest > time.Second {
		cannot("the client paused for %v", longest)
	}
	if total == slowAnswer && err == io.EOF {
		return true, "held: the client has the whole answer"
	}
	return false, fmt.Sprintf("broken: the client, which read %d bytes a second all the time, has %d of %d bytes: the "+
		"sidecar cut off the answer (%v)", slowClientRate, total, slowAnswer, err)
}
