package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["truncated"] = runTruncated }

const (
	pieces        = 80 // of the answer, one every pieceInterval
	pieceInterval = 100 * time.Millisecond
	termAfter     = time.Second // from the request to SIGTERM
)

// piece returns a piece of the answer.
func piece(n int) string { return fmt.Sprintf("piece %03d %s\n", n, strings.Repeat("x", 2000)) }

// serveLongAnswer serves an answer of unknown length, in chunks, and returns its address.
func serveLongAnswer(c *caseRun) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-ID")
		c.note("server: request %s has come", id)
		for n := range pieces {
			if _, err := io.WriteString(w, piece(n)); err != nil {
				c.note("server: answer to %s broken off by the sidecar at piece %d", id, n)
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-time.After(pieceInterval):
			case <-r.Context().Done():
				c.note("server: answer to %s broken off by the sidecar after piece %d", id, n)
				return
			}
		}
		c.note("server: answer to %s sent whole, %d pieces", id, pieces)
	})
	go func() { _ = http.Serve(l, handler) }() // it serves until the process ends
	return l.Addr().String()
}

// standalone is a deployment as in deploy/standalone.toml, with one server.
const standalone = `
[instance]
name = "desk-1"
zone = "a"
zones = ["a", "b"]
[front.http]
listen = "%s"
[limits]
descriptors = 1024
memory_mb = 192
pushes = 3
[[offering]]
name = "step"
credit = 5.0
late_credit = 0.2
quoted_time = "400ms"
cut_off = "2s"
repeats = "reissuable"
default = true
[source]
kind = "fixed"
[[source.server]]
id = "s-1"
address = "%s"
zone = "a"
pod = 1
`

// runTruncated has an HTTP/1.0 client fetch a long answer, and ends the sidecar by SIGTERM while it is passed on.
func runTruncated(c *caseRun) (held bool, why string) {
	listen := freeAddress()
	config := c.writeFile("standalone.toml", fmt.Sprintf(standalone, listen, serveLongAnswer(c)))
	sidecar := c.startSidecar("desk-1", config)
	awaitHealthy(listen, sidecar)

	conn, err := net.Dial("tcp", listen)
	must(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /step HTTP/1.0\r\nHost: origin.svc\r\nX-Request-ID: r-1\r\n\r\n")
	must(err)
	c.note("client: sends r-1 by HTTP/1.0")
	if c.trouble {
		go func() {
			time.Sleep(termAfter)
			c.note("SIGTERM to %s", sidecar.name)
			_ = sidecar.cmd.Process.Signal(syscall.SIGTERM) // the case fails to run below if it did not arrive
		}()
	}
	in := bufio.NewReader(conn)
	head := ""
	for !strings.HasSuffix(head, "\r\n\r\n") {
		line, err := in.ReadString('\n')
		if err != nil {
			cannot("no head of an answer: %v", err)
		}
		head += line
	}
	c.note("client: r-1 is answered with the head %q", head)
	if !strings.HasPrefix(head, "HTTP/1.1 200 ") && !strings.HasPrefix(head, "HTTP/1.0 200 ") {
		cannot("the answer is no 200")
	}
	if lower := strings.ToLower(head); strings.Contains(lower, "content-length:") || strings.Contains(lower, "chunked") {
		return true, "held: the answer announces its end by other means than the end of its connection"
	}
	must(conn.SetReadDeadline(time.Now().Add(30 * time.Second)))
	body, err := io.ReadAll(in)
	want := ""
	for n := range pieces {
		want += piece(n)
	}
	c.note("client: the connection of r-1 ended after %d of %d bytes, error: %v", len(body), len(want), err)
	if c.trouble {
		await("end of the sidecar", 10*time.Second, sidecar.ended)
		c.note("%s has ended: %v", sidecar.name, sidecar.cmd.ProcessState)
	}
	c.copyLog(sidecar)
	switch {
	case string(body) == want:
		return true, "held: the client has the whole answer"
	case errors.Is(err, syscall.ECONNRESET):
		return true, fmt.Sprintf("held: the client has %d of %d bytes, and a reset shows that it is a part",
			len(body), len(want))
	case err != nil:
		cannot("the client could not read its answer: %v", err)
	}
	return false, fmt.Sprintf("broken: the client has %d of %d bytes of an answer without a length, and its connection "+
		"ended in order: to the client, the part is the whole answer", len(body), len(want))
}
