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

// script is an agent that does with each call what the test says, in turn; the last goes on for all that follow.
type script struct {
	net.Listener
	mu    sync.Mutex
	steps []func(c net.Conn, call *http.Request) (stays bool)
	calls []string
}

func newScript(t *testing.T, steps ...func(c net.Conn, call *http.Request) bool) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{Listener: l, steps: steps}
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
					do := s.steps[0]
					if len(s.steps) > 1 {
						s.steps = s.steps[1:]
					}
					s.mu.Unlock()
					if !do(c, call) {
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

// asked are the calls so far: "all" or the number that changes are asked from.
func (s *script) asked() (all []string) {
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

func says(text string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return true
	}
}

func listAt(rev int, all bool, state string) string {
	return fmt.Sprintf("{\n\t\"rev\": %d,\n\t\"all\": %v,\n\t\"targets\": [\n\t\t{\"uid\":\"s-1\",\"endpoint\":\"10.1.0.18:9000\",\"az\":\"a\","+
		"\"pod_group\":3,\"state\":\"%s\",\"boot_ms\":0}\n\t]\n}\n", rev, all, state)
}

// whole is an agent that has come back with lower numbers: it gives the list to whoever asks for all, and a watch from a number of
// before waits.
func whole(list string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, call *http.Request) bool {
		return call.URL.RawQuery != "" || says(list)(c, call)
	}
}

// Whatever becomes of a call, what the agent has is known within the grace for drains, and asked for whole: its numbers may not go on.
func TestDrainsAreKnownInTimeWhateverBecomesOfACall(t *testing.T) {
	const grace = 400 * time.Millisecond
	first := says(listAt(41, true, "Ready"))
	for name, do := range map[string]func(net.Conn, *http.Request) bool{
		"reset":         func(c net.Conn, _ *http.Request) bool { c.(*net.TCPConn).SetLinger(0); return false },
		"closed":        func(net.Conn, *http.Request) bool { return false },
		"spoilt status": func(c net.Conn, _ *http.Request) bool { fmt.Fprint(c, "HTTP/1.1 5x3 \r\n\r\n"); return true },
		"another status": func(c net.Conn, _ *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
			return true
		},
		"broken off": func(c net.Conn, _ *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"rev\":42")
			return false
		},
		"stops in its body": func(c net.Conn, _ *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"rev\":42")
			return true
		},
		"unreadable":    says(`{"rev":42,"all":false,"targets":[{"uid":"s-1"}]}`),
		"lower numbers": says(`{"rev":2,"all":false,"targets":[]}`),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var at atomic.Int64
			broken := func(c net.Conn, call *http.Request) bool { at.Store(time.Now().UnixNano()); return do(c, call) }
			s := newScript(t, first, broken, whole(listAt(3, true, "Terminating")))
			took := heard(t, s, grace, func() time.Time { return time.Unix(0, at.Load()) })
			if took > grace {
				t.Errorf("known after %v", took)
			}
		})
	}
}

// heard is how long after a moment the source tells that s-1 drains.
func heard(t *testing.T, s *script, grace time.Duration, since func() time.Time) time.Duration {
	p := NewPlatform(s.Addr().String(), false)
	p.Grace, p.WatchTimeout = grace, WatchTimeout(true, 1)
	p.Follow(true)
	ctx, end := context.WithCancel(context.Background())
	told, over := make(chan time.Time, 1), make(chan struct{})
	go func() {
		defer close(over)
		p.Run(ctx, func(n Event) {
			if n.List != nil && len(n.List.Entries) > 0 && n.List.Entries[0].Status == policy.Draining {
				select {
				case told <- time.Now():
				default:
				}
			}
		})
	}()
	defer func() { end(); <-over }()
	select {
	case at := <-told:
		return at.Sub(since())
	case <-time.After(5 * time.Second):
		t.Fatalf("not known at all; asked %v", s.asked())
	}
	return 0
}

// An agent that is silent for long, because discovery is down, and comes back with a drain: it binds at once.
func TestSilentAgentIsHeardAtItsReturn(t *testing.T) {
	const grace = 500 * time.Millisecond
	for name, start := range map[string][]func(net.Conn, *http.Request) bool{
		"from the first call": {},
		"after a list":        {says(listAt(41, true, "Ready")), func(net.Conn, *http.Request) bool { return false }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			back := time.Now().Add(1500 * time.Millisecond)
			down := func(c net.Conn, call *http.Request) bool {
				if time.Now().After(back) {
					return says(listAt(42, true, "Terminating"))(c, call)
				}
				return true // never answered, also not later
			}
			s := newScript(t, append(start, down)...)
			if took := heard(t, s, grace, func() time.Time { return back }); took > grace {
				t.Errorf("heard %v after its return", took)
			}
			if n := len(s.asked()); n > 20 {
				t.Errorf("%d calls in an outage of 1.5 s", n)
			}
		})
	}
}

// An agent that ends its connection between two calls and comes back with lower numbers, or falls silent under a watch, leaves a change
// untold for no longer than the grace, or than a watch may wait: within 6 s of having it in either case.
func TestAgentThatCountsAnewOrFallsSilentUnderAWatch(t *testing.T) {
	const grace = 400 * time.Millisecond
	silent := func(net.Conn, *http.Request) bool { return true }
	for name, k := range map[string]struct {
		under func(net.Conn, *http.Request) bool // what becomes of the second call, a watch
		in    time.Duration
	}{
		"ends between two calls": {func(c net.Conn, _ *http.Request) bool {
			says(`{"rev":41,"all":false,"targets":[]}`)(c, nil)
			return false
		}, grace},
		"silent":                   {silent, 6*time.Second - grace},
		"waits with an old number": {says(`{"rev":2,"all":false,"targets":[]}`), grace},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var at atomic.Int64
			broken := func(c net.Conn, call *http.Request) bool { at.Store(time.Now().UnixNano()); return k.under(c, call) }
			s := newScript(t, says(listAt(41, true, "Ready")), broken, whole(listAt(3, true, "Terminating")))
			if took := heard(t, s, grace, func() time.Time { return time.Unix(0, at.Load()) }); took > k.in {
				t.Errorf("known after %v, in at most %v; asked %v", took, k.in, s.asked())
			}
		})
	}
}

// Where nothing is new an agent is asked every two seconds; what costs somebody something is asked for more seldom the more there are who ask.
func TestWatchesWaitAsLongAsTheyMay(t *testing.T) {
	for _, k := range []struct {
		agent    bool
		sidecars int
		want     time.Duration
	}{{true, 1, 2 * time.Second}, {true, 350, 2 * time.Second}, {false, 8, 2 * time.Second}, {false, 350, 3500 * time.Millisecond},
		{false, 60000, 20 * time.Second}} {
		if got := WatchTimeout(k.agent, k.sidecars); got != k.want {
			t.Errorf("%+v: %v", k, got)
		}
	}
}

// A list of some thousand servers with long names, indented, is read, from an agent that gives it in chunks.
func TestLongListsAreRead(t *testing.T) {
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
	s := newScript(t, func(c net.Conn, _ *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", b.Len(), b.String())
		return true
	}, func(net.Conn, *http.Request) bool { return true })
	p := NewPlatform(s.Addr().String(), false)
	p.Follow(true)
	ctx, end := context.WithTimeout(context.Background(), 5*time.Second)
	defer end()
	p.Run(ctx, func(news Event) {
		if news.List == nil || len(news.List.Entries) != n {
			t.Errorf("of %d servers in %d bytes: %v", n, b.Len(), news.Failed)
		}
		end()
	})
	if len(s.asked()) == 0 {
		t.Error("not asked")
	}
}

// A connection that was kept and has died unnoticed is found by its use: the call is made again at once on another.
func TestKeptConnectionThatDiedCostsNoTime(t *testing.T) {
	var died atomic.Int64
	first := func(c net.Conn, call *http.Request) bool {
		says(listAt(41, true, "Ready"))(c, call)
		died.Store(time.Now().UnixNano())
		return false // the agent closes behind its answer, and does not say so
	}
	s := newScript(t, first, says(listAt(42, true, "Terminating"))) // to every call that follows
	if took := heard(t, s, time.Second, func() time.Time { return time.Unix(0, died.Load()) }); took > 300*time.Millisecond {
		t.Errorf("known after %v", took)
	}
}

// Where discovery may be far away, failed calls come ever more seldom, and a process that must ask does so once.
func TestCallsToADistantDiscoveryGrowRare(t *testing.T) {
	p := NewPlatform("127.0.0.1:1", false)
	var last time.Duration
	for n := 1; n < 20; n++ {
		if got := p.pause(n); got < last || got > tryAtMost || n > 6 && got != tryAtMost {
			t.Errorf("after %d failures %v, before %v", n, got, last)
		} else {
			last = got
		}
	}
	if p.AnswerTimeout() != answerIn {
		t.Errorf("an answer may take %v", p.AnswerTimeout())
	}
}

// One outage fails the calls of all instances in the same moment; they must not all ask again in the same moment too. An agent serves
// one instance, which asks again at once.
func TestCallsToASharedDiscoveryAreSpread(t *testing.T) {
	shared, agent := NewPlatform("127.0.0.1:1", false), NewPlatform("127.0.0.1:1", false)
	agent.Grace = time.Second
	moments := map[time.Duration]bool{}
	for range 300 {
		wait := shared.spread(time.Second)
		if wait < time.Second/2 || wait > time.Second {
			t.Fatalf("%v for a second", wait)
		}
		moments[wait/(10*time.Millisecond)] = true
		if got := agent.spread(time.Second); got != time.Second {
			t.Fatalf("%v for a second at an agent", got)
		}
	}
	if len(moments) < 40 {
		t.Errorf("300 calls in %d moments of 10 ms", len(moments))
	}
}
