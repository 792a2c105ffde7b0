package admin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pepperlead/internal/golden"
	"pepperlead/policy"
)

// fakeReporterWithPeers is a reporter with peers.
type fakeReporterWithPeers struct{ fakeReporter }

func (s *fakeReporterWithPeers) PeersReport() string { return "n-1 alive\n" }

// TestPagesAreAsBefore holds the paths, statuses, types and texts of the pages, and the names, kinds, helps and labels of the
// metrics, to what they were before. Metrics of the Go runtime and of the process are left out.
func TestPagesAreAsBefore(t *testing.T) {
	reporter := &fakeReporterWithPeers{}
	latency := NewLatency([]policy.Class{{Name: "step"}, {Name: "call"}})
	for answer := range AnswerNames {
		latency.Observe(1, answer, 30*policy.Millisecond)
	}
	latency.SetClassName(0, "renamed")
	server, err := ListenMetrics("127.0.0.1:0", reporter, latency)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	var pages bytes.Buffer
	show := func(path string) {
		answer, err := http.Get("http://" + server.Addr() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&pages, "GET %s: %s, %q\n%s\n", path, answer.Status, answer.Header["Content-Type"], ownMetrics(path, string(body)))
	}
	show("/_health")
	reporter.ready = true
	for _, path := range []string{"/_health", "/_counters", "/_servers", "/_peers", "/metrics", "/other"} {
		show(path)
	}
	golden.Compare(t, "pages.txt", pages.Bytes())
}

// ownMetrics leaves the metrics of the Go runtime, of the process and of the handler out of that page.
func ownMetrics(path, body string) string {
	if path != "/metrics" {
		return body
	}
	var own strings.Builder
	for line := range strings.Lines(body) {
		if strings.Contains(line, "pepperlead_") || strings.Contains(line, "edge_gw_") {
			own.WriteString(line)
		}
	}
	return own.String()
}

// TestCommandsAreAnsweredAsBefore holds the answer to each command to what it was before.
func TestCommandsAreAnsweredAsBefore(t *testing.T) {
	commands, err := ListenCommands("127.0.0.1:0", &fakeOperations{})
	if err != nil {
		t.Fatal(err)
	}
	defer commands.Close()
	var answers bytes.Buffer
	for _, command := range []string{"ready", "ready now", "show-stat", "show-stat x", "disable-server s-1", "enable-server s-1",
		"disable-server", "disable-server s-2", "enable-server s-1 s-2", " ready ", "Ready", "stat", ""} {
		fmt.Fprintf(&answers, "%q: %q\n", command, sendCommand(t, commands, command+"\n"))
	}
	golden.Compare(t, "door.txt", answers.Bytes())
}
