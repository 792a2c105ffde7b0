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

// TestMessagesMatchGoldenFile compares the status lines, request lines and headers written to clients and endpoints, in each form, with
// the golden file.
func TestMessagesMatchGoldenFile(t *testing.T) {
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

// retryAfterHeader matches the header whose value depends on the load.
var retryAfterHeader = regexp.MustCompile(`Retry-After: [0-9]+\.[0-9]{3}\r\n`)

// exchange is a request that a client sends on a connection of its own.
type exchange struct {
	title string
	send  string
	body  string // sent after 100 Continue
}

// requestText returns a request with the mandatory headers and further header lines.
func requestText(method, path, id, headers, body string) string {
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: o\r\nX-Request-ID: %s\r\nX-Timeout: 1.0\r\n%sContent-Length: %d\r\n\r\n%s", method, path, id,
		headers, len(body), body)
}

// run performs the exchange on a new connection, and returns the exact bytes received up to the end of the final response.
func (one exchange) run(t *testing.T, address string) string {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(5 * time.Second))
	var received bytes.Buffer
	in := bufio.NewReader(io.TeeReader(connection, &received))
	io.WriteString(connection, one.send)
	for {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: %v after %q", one.title, err, received.String())
		}
		if response.StatusCode == http.StatusContinue {
			io.WriteString(connection, one.body)
			continue
		}
		if _, err := io.ReadAll(response.Body); err != nil {
			t.Fatalf("%s: %v after %q", one.title, err, received.String())
		}
		return received.String()
	}
}

// TestLocalResponsesMatchGoldenFile compares the responses that the instance makes itself with the golden file.
func TestLocalResponsesMatchGoldenFile(t *testing.T) {
	endpoint := newFakeEndpoint(t)
	address := endpoint.Addr().String()
	proxy, _ := startProxy(t, nil, address)
	empty, _ := startProxy(t, func(config *Config) {
		config.SavedList, config.Source = nil, discovery.NewPlatform("127.0.0.1:1", false)
	})
	chunked := "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n"
	var responses bytes.Buffer
	show := func(one exchange, from *runningProxy) {
		response := retryAfterHeader.ReplaceAllString(one.run(t, from.addr), "Retry-After: SECONDS\r\n")
		fmt.Fprintf(&responses, "%s:\n%q\n", one.title, response)
	}
	fmt.Fprintf(&responses, "servers:\n%s", strings.ReplaceAll(proxy.ServersReport(), address, "ADDRESS"))
	for _, one := range []exchange{
		{title: "ready", send: "GET /_health HTTP/1.1\r\nHost: o\r\n\r\n"},
		{title: "no page", send: "GET /_other HTTP/1.1\r\nHost: o\r\n\r\n"},
		{title: "method", send: requestText("BREW", "step/echo", "1", "", "")},
		{title: "no offering", send: requestText("POST", "other/echo", "2", "", "")},
		{title: "no offering by header", send: requestText("POST", "step/echo", "3", "X-Priority-Class: other\r\n", "")},
		{title: "no id", send: "GET /step/echo HTTP/1.1\r\nHost: o\r\nX-Timeout: 1\r\n\r\n"},
		{title: "no time", send: "GET /step/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: 4\r\n\r\n"},
		{title: "two ids", send: requestText("POST", "step/echo", "5", "X-Request-ID: 6\r\n", "")},
		{title: "key for this connection", send: requestText("POST", "note/echo", "7", "Connection: Idempotency-Key\r\n", "")},
		{title: "no key", send: requestText("POST", "note/echo", "8", "", "")},
		{title: "unreadable", send: "GET / HTTP/2.0\r\nHost: o\r\n\r\n"},
		{title: "long head", send: "GET / HTTP/1.1\r\nHost: o\r\nA: " + strings.Repeat("x", maxHead) + "\r\n\r\n"},
		{title: "body unreadable", send: "POST /step/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: 9\r\nX-Timeout: 1\r\n" + chunked + "\r\n", body: "zz\r\n"},
		{title: "body asked for", send: strings.TrimSuffix(requestText("POST", "step/echo", "10", "Expect: 100-continue\r\n", "body"), "body"), body: "body"},
		{title: "body too long", send: "POST /step/echo HTTP/1.1\r\nHost: o\r\nX-Request-ID: 11\r\nX-Timeout: 1\r\nContent-Length: 99999999\r\n\r\n"},
		{title: "passed on", send: requestText("POST", "step/echo", "12", "", "body")},
		{title: "declined", send: requestText("POST", "step/declined", "13", "", "body")},
		{title: "given up", send: requestText("POST", "once/reset", "14", "", "body")},
		{title: "turned back", send: requestText("POST", "once/away", "17", "", "body")},
		{title: "old version", send: "GET /step/echo HTTP/1.0\r\nHost: o\r\nX-Request-ID: 15\r\nX-Timeout: 1\r\n\r\n"},
	} {
		show(one, proxy)
	}
	first := proxy.client()
	io.WriteString(first, requestText("POST", "step/slow", "16", "", ""))
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if seen, _ := endpoint.count("16"); seen > 0 {
			break
		}
	}
	show(exchange{title: "in hand", send: requestText("POST", "step/echo", "16", "", "")}, proxy)
	first.receive()
	show(exchange{title: "no list", send: "GET /_health HTTP/1.1\r\nHost: o\r\n\r\n"}, empty)
	golden.Compare(t, "answers.txt", responses.Bytes())
}

// TestReportsMatchGoldenFile compares the names, kinds and order of the metrics with the golden file.
func TestReportsMatchGoldenFile(t *testing.T) {
	proxy, _ := startProxy(t, nil)
	var names bytes.Buffer
	proxy.EachMetric(func(name string, _ float64, isCounter bool) {
		fmt.Fprintf(&names, "figure %s, rises %v\n", name, isCounter)
	})
	for line := range strings.Lines(proxy.Report()) {
		name, _, _ := strings.Cut(line, " ")
		fmt.Fprintf(&names, "counter %s\n", name)
	}
	golden.Compare(t, "reports.txt", names.Bytes())
}
