package httpproxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"pepperlead/internal/discovery"
	"pepperlead/internal/golden"
	"pepperlead/policy"
)

// TestMessagesAreWrittenAsBefore holds what is written to clients and to servers, status lines and headers of each form, to what was
// written before.
func TestMessagesAreWrittenAsBefore(t *testing.T) {
	head := []byte("X-Made-By: server\r\nconnection: X-Dropped\r\nX-Dropped: 1\r\nKeep-Alive: 1\r\nProxy-Connection: 1\r\nTE: a\r\n" +
		"Trailer: a\r\nUpgrade: a\r\nExpect: a\r\nX-Timeout: 7\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\nX-Request-ID: 5\r\n" +
		"Idempotency-Key: k\r\nX-Priority-Class: step\r\nX-Tenant-Id: north\r\nX-Route-Key: r\r\nX-Retried: 1\r\n")
	var written bytes.Buffer
	show := func(title string, message []byte) { fmt.Fprintf(&written, "%s:\n%q\n", title, message) }
	statuses := slices.Sorted(maps.Keys(reasonPhrases))
	for _, status := range append(statuses, 299) {
		show(fmt.Sprint("own ", status), appendLocalResponse(nil, status, "text\n", 0, false))
	}
	show("own with advice", appendLocalResponse(nil, 503, "text\n", 12345*policy.Millisecond/10, false))
	show("own and last", appendLocalResponse(nil, 503, "", 0, true))
	show("passed on", appendResponseHead(nil, 200, head, 12, false))
	show("passed on and last", appendResponseHead(nil, 404, head, 0, true))
	for _, attempt := range []struct {
		method string
		size   int
	}{{"GET", 0}, {"HEAD", 0}, {"POST", 0}, {"POST", 12}, {"PUT", -1}} {
		show(fmt.Sprint("attempt ", attempt.method, " ", attempt.size),
			appendRequestHead(nil, []byte(attempt.method), []byte("/step/a?b=1"), head, attempt.size, 1500*policy.Millisecond))
	}
	golden.Compare(t, "messages.txt", written.Bytes())
}

// advice is the header whose value depends on the load.
var advice = regexp.MustCompile(`Retry-After: [0-9]+\.[0-9]{3}\r\n`)

// exchange is what a client sends on a connection of its own.
type exchange struct {
	title string
	send  string
	body  string // sent once the sidecar has asked for it
}

// ticket is a request with the headers that it must have; more are lines of its head.
func ticket(method, path, id, more, body string) string {
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: o\r\nX-Request-ID: %s\r\nX-Timeout: 1.0\r\n%sContent-Length: %d\r\n\r\n%s", method, path, id,
		more, len(body), body)
}

// answered gives, to the byte, what a new connection gets for it, up to the end of the final answer.
func (one exchange) answered(t *testing.T, address string) string {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(5 * time.Second))
	var came bytes.Buffer
	in := bufio.NewReader(io.TeeReader(connection, &came))
	io.WriteString(connection, one.send)
	for {
		answer, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: %v after %q", one.title, err, came.String())
		}
		if answer.StatusCode == http.StatusContinue {
			io.WriteString(connection, one.body)
			continue
		}
		if _, err := io.ReadAll(answer.Body); err != nil {
			t.Fatalf("%s: %v after %q", one.title, err, came.String())
		}
		return came.String()
	}
}

// TestAnswersOfItsOwnAreAsBefore holds the answers that the sidecar makes itself, to the byte, to what they were before.
func TestAnswersOfItsOwnAreAsBefore(t *testing.T) {
	server := newStandIn(t)
	address := server.Addr().String()
	sidecar, _ := run(t, nil, address)
	empty, _ := run(t, func(config *Config) {
		config.SavedList, config.Source = nil, discovery.NewPlatform("127.0.0.1:1", false)
	})
	chunked := "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n"
	var answers bytes.Buffer
	show := func(one exchange, from *running) {
		answer := advice.ReplaceAllString(one.answered(t, from.addr), "Retry-After: SECONDS\r\n")
		fmt.Fprintf(&answers, "%s:\n%q\n", one.title, answer)
	}
	fmt.Fprintf(&answers, "servers:\n%s", strings.ReplaceAll(sidecar.ServersReport(), address, "ADDRESS"))
	for _, one := range []exchange{
		{title: "ready", send: "GET /_health HTTP/1.1\r\nHost: o\r\n\r\n"},
		{title: "no page", send: "GET /_other HTTP/1.1\r\nHost: o\r\n\r\n"},
		{title: "method", send: ticket("BREW", "step/echo", "1", "", "")},
		{title: "no offering", send: ticket("POST", "other/echo", "2", "", "")},
		{title: "no offering by header", send: ticket("POST", "step/echo", "3", "X-Priority-Class: other\r\n", "")},
		{title: "no id", send: "GET /step/echo HTTP/1.1\r\nHost: o\r\nX-Timeout: 1\r\n\r\n"},
		{title: "no time", send: "GET /step/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: 4\r\n\r\n"},
		{title: "two ids", send: ticket("POST", "step/echo", "5", "X-Request-ID: 6\r\n", "")},
		{title: "key for this connection", send: ticket("POST", "note/echo", "7", "Connection: Idempotency-Key\r\n", "")},
		{title: "no key", send: ticket("POST", "note/echo", "8", "", "")},
		{title: "unreadable", send: "GET / HTTP/2.0\r\nHost: o\r\n\r\n"},
		{title: "long head", send: "GET / HTTP/1.1\r\nHost: o\r\nA: " + strings.Repeat("x", maxHead) + "\r\n\r\n"},
		{title: "body unreadable", send: "POST /step/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: 9\r\nX-Timeout: 1\r\n" + chunked + "\r\n", body: "zz\r\n"},
		{title: "body asked for", send: strings.TrimSuffix(ticket("POST", "step/echo", "10", "Expect: 100-continue\r\n", "body"), "body"), body: "body"},
		{title: "body too long", send: "POST /step/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: 11\r\nX-Timeout: 1\r\nContent-Length: 99999999\r\n\r\n"},
		{title: "passed on", send: ticket("POST", "step/echo", "12", "", "body")},
		{title: "declined", send: ticket("POST", "step/declined", "13", "", "body")},
		{title: "given up", send: ticket("POST", "once/reset", "14", "", "body")},
		{title: "turned back", send: ticket("POST", "once/away", "17", "", "body")},
		{title: "old version", send: "GET /step/echo HTTP/1.0\r\nHost: o\r\nX-Request-ID: 15\r\nX-Timeout: 1\r\n\r\n"},
	} {
		show(one, sidecar)
	}
	first := sidecar.client()
	io.WriteString(first, ticket("POST", "step/slow", "16", "", ""))
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if seen, _ := server.count("16"); seen > 0 {
			break
		}
	}
	show(exchange{title: "in hand", send: ticket("POST", "step/echo", "16", "", "")}, sidecar)
	first.receive()
	show(exchange{title: "no list", send: "GET /_health HTTP/1.1\r\nHost: o\r\n\r\n"}, empty)
	golden.Compare(t, "answers.txt", answers.Bytes())
}

// TestReportsHaveTheirNames holds the names, kinds and order of what the sidecar reports to what they were before.
func TestReportsHaveTheirNames(t *testing.T) {
	sidecar, _ := run(t, nil)
	var names bytes.Buffer
	sidecar.EachMetric(func(name string, _ float64, rises bool) { fmt.Fprintf(&names, "figure %s, rises %v\n", name, rises) })
	for line := range strings.Lines(sidecar.Report()) {
		name, _, _ := strings.Cut(line, " ")
		fmt.Fprintf(&names, "counter %s\n", name)
	}
	golden.Compare(t, "reports.txt", names.Bytes())
}
