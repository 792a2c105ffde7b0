package httpproxy

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
)

// Guards against incidents that the log cannot explain: each retry, refusal and close is logged with its reason, those of a request with
// its id, and a summary tells at the info level what happened.
func TestEventsAreLoggedWithIDAndReason(t *testing.T) {
	one, two := newFakeEndpoint(t), newFakeEndpoint(t)
	r, _ := startProxy(t, nil, one.Addr().String(), two.Addr().String())
	r.RunOnLoop(func() { r.Logger.SetLevel(logrus.DebugLevel) })
	log := logrustest.NewLocal(r.Logger)
	retried := r.client()
	id := retried.send("note/reset", "b", "")
	retried.receive()
	refused := r.client()
	io.WriteString(refused, "GET /nonsense HTTP/1.1\r\nHost: o\r\nX-Request-ID: a\r\nX-Timeout: 1\r\n\r\n")
	refused.receive()
	for _, want := range []struct {
		level   logrus.Level
		message string
		fields  map[string]string
	}{
		{logrus.DebugLevel, "attempt ended", map[string]string{"id": id, "attempt": "0", "outcome": "connection lost", "may_have_run": "true"}},
		{logrus.DebugLevel, "attempt ended", map[string]string{"id": id, "attempt": "1", "outcome": "connection lost"}},
		{logrus.DebugLevel, "request failed", map[string]string{"id": id, "reason": "no_endpoint", "attempts": "2"}},
		{logrus.DebugLevel, "request refused", map[string]string{"reason": "unknown_class"}},
		{logrus.DebugLevel, "connection closed", map[string]string{"side": "client", "reason": "after_response"}},
		{logrus.InfoLevel, "events: refused_unknown_class 1, ended_no_endpoint 1, attempts connection lost 2", map[string]string{"requests": "0"}},
	} {
		found := false
		for end := time.Now().Add(3 * time.Second); !found && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			for _, e := range log.AllEntries() {
				matches := e.Level == want.level && strings.Contains(e.Message, want.message)
				for name, value := range want.fields {
					matches = matches && fmt.Sprint(e.Data[name]) == value
				}
				found = found || matches
			}
		}
		if !found {
			t.Errorf("no line %q with %v at the level %v", want.message, want.fields, want.level)
		}
	}
}
