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

// fakeReporterWithPeers is the reporter of an instance in a cluster, so that the server has the page /_peers.
type fakeReporterWithPeers struct{ fakeReporter }

func (s *fakeReporterWithPeers) PeersReport() string { return "n-1 alive\n" }

// The paths, statuses, content types and texts of the metrics server's pages, and the names, kinds, help texts and
// labels of the metrics, must be those of the golden file. Metrics of the Go runtime and of the process are left out.
func TestPagesMatchGoldenFile(t *testing.T) {
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

// ownMetrics removes the metrics of the Go runtime, of the process and of the HTTP handler from the page of metrics.
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

// The answer to each command must be that of the golden file.
func TestAnswersToCommandsMatchGoldenFile(t *testing.T) {
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
