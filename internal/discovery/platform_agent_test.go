package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pepperlead/policy"
)

// scriptedAgent is a discovery agent that handles each call by the next of its steps, and all further calls by the last step.
type scriptedAgent struct {
	net.Listener
	mu    sync.Mutex
	steps []func(c net.Conn, call *http.Request) (keepOpen bool)
	calls []string // URLs
}

func newScriptedAgent(t *testing.T, steps ...func(c net.Conn, call *http.Request) bool) *scriptedAgent {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedAgent{Listener: l, steps: steps}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				for in := bufio.NewReader(c); ; {
					call, err := http.ReadRequest(in)
					if err != nil {
						c.Close()
						return
					}
					s.mu.Lock()
					s.calls = append(s.calls, call.URL.String())
					step := s.steps[0]
					if len(s.steps) > 1 {
						s.steps = s.steps[1:]
					}
					s.mu.Unlock()
					if !step(c, call) {
						c.Close()
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(func() { l.Close() })
	return s
}

// requested returns for each call so far the revision from which it requested changes, or "all".
func (s *scriptedAgent) requested() (all []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		_, from, watch := strings.Cut(c, "from=")
		if from, _, _ = strings.Cut(from, "&"); !watch {
			from = "all"
		}
		all = append(all, from)
	}
	return all
}

func respond(text string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return true
	}
}

// listAt returns a list with the given revision and the endpoint s-1 in the given state. all tells whether it is a full list.
func listAt(rev int, all bool, state string) string {
	return fmt.Sprintf("{\n\t\"rev\": %d,\n\t\"all\": %v,\n\t\"targets\": [\n\t\t{\"uid\":\"s-1\",\"endpoint\":\"10.1.0.18:9000\",\"az\":\"a\","+
		"\"pod_group\":3,\"state\":\"%s\",\"boot_ms\":0}\n\t]\n}\n", rev, all, state)
}

// restarted returns a step of an agent that has restarted with lower revisions: it answers requests for the whole list, and does not
// answer watches, which have a revision from before its restart.
func restarted(list string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, call *http.Request) bool {
		return call.URL.RawQuery != "" || respond(list)(c, call)
	}
}

// After any kind of failed call the source requests the whole list, because the agent may have restarted with lower revisions, and
// emits it within the grace.
func TestDrainIsEmittedWithinGraceAfterFailedCall(t *testing.T) {
	const grace = 400 * time.Millisecond
	first := respond(listAt(41, true, "Ready"))
	for name, fail := range map[string]func(net.Conn, *http.Request) bool{
		"reset":            func(c net.Conn, _ *http.Request) bool { c.(*net.TCPConn).SetLinger(0); return false },
		"closed":           func(net.Conn, *http.Request) bool { return false },
		"malformed status": func(c net.Conn, _ *http.Request) bool { fmt.Fprint(c, "HTTP/1.1 5x3 \r\n\r\n"); return true },
		"another status": func(c net.Conn, _ *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
			return true
		},
		"incomplete": func(c net.Conn, _ *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"rev\":42")
			return false
		},
		"stalls in its body": func(c net.Conn, _ *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"rev\":42")
			return true
		},
		"unreadable":     respond(`{"rev":42,"all":false,"targets":[{"uid":"s-1"}]}`),
		"lower revision": respond(`{"rev":2,"all":false,"targets":[]}`),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var at atomic.Int64
			broken := func(c net.Conn, call *http.Request) bool { at.Store(time.Now().UnixNano()); return fail(c, call) }
			s := newScriptedAgent(t, first, broken, restarted(listAt(3, true, "Terminating")))
			delay := drainDelay(t, s, grace, func() time.Time { return time.Unix(0, at.Load()) })
			if delay > grace {
				t.Errorf("the drain was emitted after %v, want at most %v", delay, grace)
			}
		})
	}
}

// drainDelay runs a source and returns how long after a given time it emits that s-1 is draining.
func drainDelay(t *testing.T, s *scriptedAgent, grace time.Duration, since func() time.Time) time.Duration {
	p := NewPlatform(s.Addr().String(), false)
	p.Grace, p.WatchTimeout = grace, WatchTimeout(true, 1)
	p.Follow(true)
	ctx, cancel := context.WithCancel(context.Background())
	drained, ended := make(chan time.Time, 1), make(chan struct{})
	go func() {
		defer close(ended)
		p.Run(ctx, func(event Event) {
			if event.List != nil && len(event.List.Entries) > 0 && event.List.Entries[0].Status == policy.Draining {
				select {
				case drained <- time.Now():
				default:
				}
			}
		})
	}()
	defer func() { cancel(); <-ended }()
	select {
	case at := <-drained:
		return at.Sub(since())
	case <-time.After(5 * time.Second):
		t.Fatalf("no drain was emitted; requested %v", s.requested())
	}
	return 0
}

// If an agent has not answered for some time because discovery is down, a drain that it reports when it recovers is emitted at once.
func TestDrainIsEmittedWhenSilentAgentRecovers(t *testing.T) {
	const grace = 500 * time.Millisecond
	for name, start := range map[string][]func(net.Conn, *http.Request) bool{
		"from the first call": {},
		"after a list":        {respond(listAt(41, true, "Ready")), func(net.Conn, *http.Request) bool { return false }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recovery := time.Now().Add(1500 * time.Millisecond)
			down := func(c net.Conn, call *http.Request) bool {
				if time.Now().After(recovery) {
					return respond(listAt(42, true, "Terminating"))(c, call)
				}
				return true // the call is never answered
			}
			s := newScriptedAgent(t, append(start, down)...)
			if delay := drainDelay(t, s, grace, func() time.Time { return recovery }); delay > grace {
				t.Errorf("the drain was emitted %v after the recovery, want at most %v", delay, grace)
			}
			if n := len(s.requested()); n > 20 {
				t.Errorf("%d calls in an outage of 1.5 s, want at most 20", n)
			}
		})
	}
}

// If an agent closes its connection between two calls and restarts with lower revisions, a change is emitted within the grace. If an
// agent stops answering during a watch, the change is delayed by the watch timeout, but takes effect within 6 s nevertheless.
func TestAgentRestartsOrStopsAnsweringDuringWatch(t *testing.T) {
	const grace = 400 * time.Millisecond
	silent := func(net.Conn, *http.Request) bool { return true }
	for name, test := range map[string]struct {
		second func(net.Conn, *http.Request) bool // handles the second call, a watch
		limit  time.Duration
	}{
		"ends between two calls": {func(c net.Conn, _ *http.Request) bool {
			respond(`{"rev":41,"all":false,"targets":[]}`)(c, nil)
			return false
		}, grace},
		"silent":                         {silent, 6*time.Second - grace},
		"responds with a lower revision": {respond(`{"rev":2,"all":false,"targets":[]}`), grace},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var at atomic.Int64
			broken := func(c net.Conn, call *http.Request) bool {
				at.Store(time.Now().UnixNano())
				return test.second(c, call)
			}
			s := newScriptedAgent(t, respond(listAt(41, true, "Ready")), broken, restarted(listAt(3, true, "Terminating")))
			if delay := drainDelay(t, s, grace, func() time.Time { return time.Unix(0, at.Load()) }); delay > test.limit {
				t.Errorf("the drain was emitted after %v, want at most %v; requested %v", delay, test.limit, s.requested())
			}
		})
	}
}

// Watches of an agent are held for two seconds; watches of a shared service are held longer the more instances watch.
func TestWatchTimeout(t *testing.T) {
	for _, test := range []struct {
		agent     bool
		instances int
		want      time.Duration
	}{{true, 1, 2 * time.Second}, {true, 350, 2 * time.Second}, {false, 8, 2 * time.Second}, {false, 350, 3500 * time.Millisecond},
		{false, 60000, 20 * time.Second}} {
		if got := WatchTimeout(test.agent, test.instances); got != test.want {
			t.Errorf("%+v: got %v", test, got)
		}
	}
}

// An indented list of several thousand endpoints with long names, sent in chunks, is decoded.
func TestLongListsAreDecoded(t *testing.T) {
	var b strings.Builder
	b.WriteString("{\n    \"rev\": 7,\n    \"all\": true,\n    \"targets\": [\n")
	const n = 5000
	for i := range n {
		if i > 0 {
			b.WriteString(",\n")
		}
		fmt.Fprintf(&b, "        {\n            \"uid\": \"%s-%d\",\n            \"endpoint\": \"10.1.0.18:9000\",\n            \"az\": \"a\",\n"+
			"            \"pod_group\": 3,\n            \"state\": \"Ready\",\n            \"boot_ms\": 0\n        }", strings.Repeat("long", 60), i)
	}
	b.WriteString("\n    ]\n}\n")
	s := newScriptedAgent(t, func(c net.Conn, _ *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", b.Len(), b.String())
		return true
	}, func(net.Conn, *http.Request) bool { return true })
	p := NewPlatform(s.Addr().String(), false)
	p.Follow(true)
	ctx, end := context.WithTimeout(context.Background(), 5*time.Second)
	defer end()
	p.Run(ctx, func(event Event) {
		if event.List == nil || len(event.List.Entries) != n {
			t.Errorf("a list of %d endpoints in %d bytes was not decoded: %v", n, b.Len(), event.Failed)
		}
		end()
	})
	if len(s.requested()) == 0 {
		t.Error("the list was not requested")
	}
}

// If the agent closed the idle connection without an announcement, that is detected at the next call, which is repeated at once on
// another connection.
func TestCallIsRepeatedAtOnceAfterClosedIdleConnection(t *testing.T) {
	var closed atomic.Int64
	first := func(c net.Conn, call *http.Request) bool {
		respond(listAt(41, true, "Ready"))(c, call)
		closed.Store(time.Now().UnixNano())
		return false // the agent closes the connection after its response without announcing it
	}
	s := newScriptedAgent(t, first, respond(listAt(42, true, "Terminating"))) // responds to all further calls
	if delay := drainDelay(t, s, time.Second, func() time.Time { return time.Unix(0, closed.Load()) }); delay > 300*time.Millisecond {
		t.Errorf("the drain was emitted after %v, want at most 300ms", delay)
	}
}

// Retries of calls to a shared service back off.
func TestRetriesBackOff(t *testing.T) {
	p := NewPlatform("127.0.0.1:1", false)
	var last time.Duration
	for n := 1; n < 20; n++ {
		if got := p.retryDelay(n); got < last || got > maxRetryDelay || n > 6 && got != maxRetryDelay {
			t.Errorf("delay %v after %d failures, %v after one failure less", got, n, last)
		} else {
			last = got
		}
	}
	if p.AnswerTimeout() != answerTimeout {
		t.Errorf("answer timeout %v, want %v", p.AnswerTimeout(), answerTimeout)
	}
}

// In an outage the calls of all instances fail at the same moment, so retries of calls to a shared service have jitter. An agent serves
// one instance only, so its delays have none.
func TestRetriesOfSharedServiceHaveJitter(t *testing.T) {
	shared, agent := NewPlatform("127.0.0.1:1", false), NewPlatform("127.0.0.1:1", false)
	agent.Grace = time.Second
	intervals := map[time.Duration]bool{}
	for range 300 {
		wait := shared.jitter(time.Second)
		if wait < time.Second/2 || wait > time.Second {
			t.Fatalf("jitter of 1s returned %v, want 500ms to 1s", wait)
		}
		intervals[wait/(10*time.Millisecond)] = true
		if got := agent.jitter(time.Second); got != time.Second {
			t.Fatalf("jitter of 1s for an agent returned %v, want 1s", got)
		}
	}
	if len(intervals) < 40 {
		t.Errorf("300 delays fall into %d intervals of 10 ms, want at least 40", len(intervals))
	}
}
