package httpproxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	logrustest "github.com/sirupsen/logrus/hooks/test"

	"pepperlead/internal/connstate"
	"pepperlead/internal/discovery"
	"pepperlead/policy"
)

// Each test here forces a race of two events that is rare by itself; docs/crossings.md has the table.

// waitUntil waits until the condition, checked on the loop, holds.
func (r *runningProxy) waitUntil(what string, is func() bool) {
	r.t.Helper()
	for i := 0; ; i++ {
		so := false
		r.RunOnLoop(func() { so = is() })
		if so {
			return
		}
		if i > 1000 {
			r.t.Fatal("never came: " + what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// holdDials blocks the dials to endpoints from the nth on until they are released.
func (r *runningProxy) holdDials(from int) (begun chan string, release chan struct{}) {
	begun, release = make(chan string, 8), make(chan struct{})
	r.RunOnLoop(func() {
		really, n := r.sockets.connect, 0
		r.sockets.connect = func(addr string, within policy.Time) (net.Conn, error) {
			if n++; n >= from {
				begun <- addr
				<-release
			}
			return really(addr, within)
		}
	})
	return begun, release
}

// A connection is established when its request's attempt is not allowed any more: its client has left, its endpoint drains or has moved,
// or the window in which duplicates are dropped has closed. Nothing is sent on it.
func TestLateConnectionsCarryNothingThatIsOver(t *testing.T) {
	type scene struct {
		*runningProxy
		*fakeDiscovery
		*testClient
		one, two *fakeEndpoint
		id       string
	}
	for name, k := range map[string]struct {
		path   string
		from   int // which dial is blocked
		cancel bool
		meets  func(s *scene) // the event that races with the dial
	}{
		"client left": {"step/echo", 1, true, func(s *scene) {
			s.testClient.Close()
			s.waitUntil("left", func() bool { return s.Counters.ClientsDisconnected == 1 })
		}},
		"client left, no cancel": {"step/echo", 1, false, func(s *scene) {
			s.testClient.Close()
			s.waitUntil("left", func() bool { return s.Counters.ClientsDisconnected == 1 })
		}},
		"server drains": {"step/echo", 1, true, func(s *scene) {
			s.setList(listOf(s.one.Addr().String()+" Terminating", s.two.Addr().String()))
			s.waitUntil("the list is applied", func() bool { return s.Counters.Lists > 2 })
		}},
		"server moves": {"step/echo", 1, true, func(s *scene) {
			s.setList(listOf(s.two.Addr().String(), s.two.Addr().String()+" Terminating"))
			s.waitUntil("the list is applied", func() bool { return s.Counters.Lists > 2 })
		}},
		"window closes": {"note/reset", 2, true, func(s *scene) { time.Sleep(400 * time.Millisecond) }},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scene{one: newFakeEndpoint(t), two: newFakeEndpoint(t)}
			addrs := []string{s.one.Addr().String(), s.two.Addr().String() + " Terminating"}
			if k.from > 1 {
				addrs[1] = s.two.Addr().String()
			}
			s.runningProxy, s.fakeDiscovery = startProxy(t, func(p *Config) {
				p.Settings.MayCancel, p.ConnectTimeout = k.cancel, 2*policy.Second
				p.Settings.Classes[1].Target, p.Settings.Classes[1].Window = 2*policy.Second, 300*policy.Millisecond
			}, addrs...)
			s.waitUntil("the list is applied", func() bool { return s.Counters.Lists == 2 })
			begun, release := s.holdDials(k.from)
			s.testClient = s.runningProxy.client()
			s.id = s.send(k.path, "b", "X-Timeout: 3.0\r\n")
			held := <-begun
			k.meets(s)
			close(release)
			s.waitUntil("no attempt in flight", func() bool { return s.Module.Gauges().InFlight == 0 })
			time.Sleep(30 * time.Millisecond)
			for _, to := range []*fakeEndpoint{s.one, s.two} {
				if n, _ := to.count(s.id); to.Addr().String() == held && n != 0 {
					t.Errorf("sent %d times on the connection that came up late", n)
				}
			}
		})
	}
}

// A request and its client's close are in the kernel together, as when accepting was delayed: no one waits for the response, and it is
// not forwarded.
func TestRequestThatComesWithItsEndIsNotSentOn(t *testing.T) {
	for name, leave := range map[string]func(c *net.TCPConn){
		"closed":      func(c *net.TCPConn) { c.Close() },
		"half closed": func(c *net.TCPConn) { c.CloseWrite() },
	} {
		s, _ := newStoppedProxy(t)
		far, nb, conn := connectedPair(t)
		conn.Side, conn.Connected = connstate.ClientSide, true
		s.conns.Add(conn)
		fmt.Fprint(far, "GET /step/a HTTP/1.1\r\nHost: o\r\nX-Request-ID: 1\r\nX-Timeout: 1\r\n\r\n")
		leave(far.(*net.TCPConn))
		time.Sleep(20 * time.Millisecond) // for the kernel to have both at this end
		s.sockets.read(nb)
		now := s.Clock.Now()
		for _, e := range s.sockets.takeEvents() {
			s.handleEvent(now, e)
		}
		s.Round(now)
		if s.Counters.BytesIn == 0 || s.Counters.Requests != 0 || s.Counters.Dials != 0 {
			t.Errorf("%s: %d bytes read, %d requests, %d dials", name, s.Counters.BytesIn, s.Counters.Requests, s.Counters.Dials)
		}
	}
}

// flushingSocket is a socket whose last bytes are written at the moment at which it is closed.
type flushingSocket struct {
	*recordingSocket
	flushesOnClose bool
}

func (k *flushingSocket) Close() error {
	if k.flushesOnClose {
		k.conn.Output.Written.Store(k.conn.Output.Queued)
	}
	return nil
}

// A request written in part is never processed, unless the rest is written just before its connection closes. That decides whether an
// attempt may have been processed that ends at its timeout or with its client; one that was not ends even where none may be cancelled.
func TestPushCutOffAsItsLastBytesGoOut(t *testing.T) {
	for _, k := range []struct {
		slips, left bool
		want        policy.Outcome
		none        bool
	}{{slips: false, want: policy.NotConnected}, {slips: true, want: policy.TimedOut}, {left: true, want: policy.Cancelled},
		{left: true, slips: true, none: true}} {
		s, connect := newStoppedProxy(t)
		s.Engine.Settings.MayCancel = false
		client, _ := connect(connstate.ClientSide)
		server, plain := connect(connstate.EndpointSide)
		for _, one := range s.Endpoints {
			server.Endpoint = s.endpointConns(one)
			s.returnIdle(1, server)
		}
		buf := s.buffers.Get(connstate.SmallBuffer)
		buf.B = append(buf.B, "GET /step/a HTTP/1.1\r\nHost: o\r\nX-Request-ID: 1\r\nX-Timeout: 1\r\n\r\n"...)
		client.Input.Buffer = buf
		now := s.Clock.Now()
		s.readRequests(now, now, client)
		s.Round(now)
		request := server.Request
		if request == nil {
			t.Fatal("no attempt")
		}
		server.Socket = &flushingSocket{plain, k.slips}
		server.Output.Queued++ // the kernel has all but one byte
		if k.left {
			s.clientLeft(now, client)
		} else {
			s.TimedOut(now, request.Request)
		}
		s.ReportEndedAttempts(now)
		if n := s.Counters.Outcomes[k.want]; !k.none && n != 1 || k.none && request.AttemptConn == nil {
			t.Errorf("%+v: outcomes %v", k, s.Counters.Outcomes)
		}
	}
}

// During the shutdown a client with its request waits in the kernel to be accepted: it is accepted and answered.
func TestWhoWaitsToBeAcceptedAtTheEndIsAnswered(t *testing.T) {
	server := newFakeEndpoint(t)
	r, _ := startProxy(t, func(p *Config) { p.ShutdownTime = 2 * policy.Second }, server.Addr().String())
	first := r.client()
	first.send("step/echo", "a", "")
	first.receive()
	most := r.sockets.maxClients.Swap(0) // the acceptor accepts one more, and then has no room
	r.client()
	r.waitUntil("the last with room", func() bool { return r.conns.Count(connstate.ClientSide) == 2 })
	waits := r.client()
	waits.send("step/echo", "b", "")
	r.stop <- syscall.SIGTERM
	time.Sleep(time.Duration(r.config.AcceptTime+reconnectTime) + 100*time.Millisecond)
	r.sockets.maxClients.Store(most)
	r.sockets.signalRoom()
	if answer, got := waits.receive(); answer.StatusCode != 200 || got != "b" || !answer.Close {
		t.Errorf("%d %q, closes %v", answer.StatusCode, got, answer.Close)
	}
	r.shutdown()
}

// blockedDiscovery is a discovery service that does not answer until it is released.
func blockedDiscovery(t *testing.T, list string) (addr string, release chan struct{}) {
	release = make(chan struct{})
	l, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		t.Fatal(err)
	}
	server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
			if r.URL.RawQuery == "" {
				fmt.Fprint(w, list)
				return
			}
			<-r.Context().Done()
		case <-r.Context().Done():
		}
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return l.Addr().String(), release
}

// The agent's list counts from the first attempt on, and the saved list may be outdated: the agent is asked first. Where it is silent,
// clients wait no longer than configured, and the saved list is used; also in a process that shuts down meanwhile.
func TestAgentIsHeardBeforeTheFirstPush(t *testing.T) {
	for _, name := range []string{"agent answers", "agent is silent", "told to end"} {
		drained, ready := newFakeEndpoint(t), newFakeEndpoint(t)
		addr, release := blockedDiscovery(t, strings.Replace(listOf(drained.Addr().String()+" Terminating", ready.Addr().String()), "REV", "7", 1))
		r, _ := startProxy(t, func(p *Config) {
			source := discovery.NewPlatform(addr, false)
			source.Grace = time.Second
			p.Source, p.FirstListTimeout = source, 300*policy.Millisecond
		}, drained.Addr().String())
		log := logrustest.NewLocal(r.Logger)
		began, c := time.Now(), r.client()
		id := c.send("step/echo", "b", "")
		time.Sleep(50 * time.Millisecond)
		if n, _ := drained.count(id); n != 0 || r.Ready() {
			t.Errorf("%s: sent %d times before the agent was heard, ready %v", name, n, r.Ready())
		}
		want := 1
		switch name {
		case "agent answers":
			close(release)
			want = 0
		case "told to end":
			r.stop <- syscall.SIGTERM
		}
		answer, _ := c.receive()
		if n, _ := drained.count(id); answer.StatusCode != 200 || n != want || time.Since(began) > 600*time.Millisecond {
			t.Errorf("%s: %d, sent %d times to the server that drains, after %v", name, answer.StatusCode, n, time.Since(began))
		}
		r.shutdown()
		lines := 0
		for _, e := range log.AllEntries() {
			if _, says := e.Data["waited_ms"]; says && strings.Contains(e.Message, "silent") == (name != "agent answers") {
				lines++
			}
		}
		if lines != 1 {
			t.Errorf("%s: %d lines of the wait", name, lines)
		}
	}
}

// A second response comes milliseconds behind the first, when the next request may have been written already: it is discarded.
func TestLateCopiesReachNobody(t *testing.T) {
	for range 10 {
		if lateCopiesArriveInTime(t) {
			return
		}
		// The machine let the endpoint sleep for longer than a connection rests: that run has shown nothing.
	}
	t.Error("no duplicate came in time in ten runs: the machine is too busy for this test")
}

// lateCopiesArriveInTime sends requests whose responses come twice, and reports whether a second one came in time to be mistaken.
func lateCopiesArriveInTime(t *testing.T) bool {
	server := newFakeEndpoint(t)
	r, _ := startProxy(t, nil, server.Addr().String())
	c := r.client()
	stopWatch := watchDelays()
	defer stopWatch()
	for i := range 20 {
		for _, act := range []string{"late", "echo"} {
			body := fmt.Sprint(act, i)
			c.send("step/"+act, body, "")
			answer, got := c.receive()
			if answer.StatusCode == 200 && got == body {
				continue
			}
			time.Sleep(time.Duration(2 * restTime)) // for the endpoint to have counted it
			server.mu.Lock()
			overdue := server.overdue
			server.mu.Unlock()
			// A copy that left the endpoint in time is overdue as well where this process was delayed before it read it.
			if overdue == 0 {
				if heldUp := stopWatch(); heldUp < time.Duration(restTime)-lateCopyAfter {
					t.Fatalf("%d %q, want %q; the machine delayed this process by %v", answer.StatusCode, got, body, heldUp)
				}
				return false
			}
			c = r.client() // what it reads here may be an earlier copy
		}
	}
	// Forty requests may be over before the first duplicate is due.
	time.Sleep(time.Duration(restTime))
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.copies > server.overdue
}

// A client closes while its request has not been sent yet, or has failed and would be retried. No attempt begins after that, also where
// attempts may not be cancelled.
func TestNothingBeginsForAClientThatHasLeft(t *testing.T) {
	for name, k := range map[string]struct {
		quoted policy.Time
		before func(r *runningProxy) // what delays the attempt
		path   string
		stays  time.Duration // how long the client stays after it has sent
		seen   int           // attempts that had begun by then
	}{
		"behind another on its connection": {policy.Second / 4, nil, "step/slow", 30 * time.Millisecond, 1},
		"a further attempt":                {policy.Second / 4, nil, "step/fail", 30 * time.Millisecond, 1},
		"queued, every server at its limit": {2 * policy.Second, func(r *runningProxy) {
			for range 8 {
				c := r.client()
				c.send("step/slow", "b", "")
			}
			r.waitUntil("full", func() bool { return r.Module.Gauges().Queued > 1 })
		}, "step/x", 10 * time.Millisecond, 0},
		"waits for a connection to rest": {2 * policy.Second, func(r *runningProxy) {
			c := r.client()
			c.send("step/x", "b", "")
			c.receive()
		}, "step/x", 3 * time.Millisecond, 0},
	} {
		for _, cancel := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancel %v", name, cancel), func(t *testing.T) {
				var seen atomic.Int64
				serve := func(c net.Conn, r *http.Request, _ int) bool {
					if r.Header.Get("X-Leaves") != "" {
						seen.Add(1)
					}
					switch {
					case strings.HasSuffix(r.URL.Path, "/slow"):
						time.Sleep(120 * time.Millisecond)
					case strings.HasSuffix(r.URL.Path, "/fail"):
						time.Sleep(120 * time.Millisecond)
						return false
					}
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					return true
				}
				one, _ := scriptedEndpoint(t, serve)
				addrs := []string{one}
				if !strings.HasPrefix(name, "waits") { // with two endpoints the request may get a new connection
					two, _ := scriptedEndpoint(t, serve)
					addrs = append(addrs, two)
				}
				r, _ := startProxy(t, func(p *Config) { p.Settings.MayCancel, p.Settings.Classes[0].Target = cancel, k.quoted }, addrs...)
				if k.before != nil {
					k.before(r)
				}
				c := r.client()
				c.send(k.path, "b", "X-Leaves: 1\r\n")
				if strings.HasPrefix(name, "behind") {
					c.send("step/x", "b", "X-Leaves: 1\r\n")
				}
				time.Sleep(k.stays)
				c.Close()
				time.Sleep(400 * time.Millisecond)
				if n := int(seen.Load()); n != k.seen {
					t.Errorf("%d attempts, want %d", n, k.seen)
				}
				r.waitUntil("ended", func() bool { return r.InFlight == 0 })
			})
		}
	}
}

// Bytes are sent at once on either side: what the kernel still delayed would be lost with a reset.
func TestSmallWritesAreNotHeldBack(t *testing.T) {
	r, _ := startProxy(t, nil, newFakeEndpoint(t).Addr().String())
	c := r.client()
	c.send("step/echo", "b", "")
	c.receive()
	r.RunOnLoop(func() {
		sides := map[connstate.Side]int{}
		for c := range r.conns.Open {
			on, err := unix.GetsockoptInt(c.Socket.(*socket).fd, unix.IPPROTO_TCP, unix.TCP_NODELAY)
			if sides[c.Side]++; err != nil || on == 0 {
				t.Errorf("side %d: TCP_NODELAY %d, %v", c.Side, on, err)
			}
		}
		if sides[connstate.ClientSide] == 0 || sides[connstate.EndpointSide] == 0 {
			t.Errorf("connections by side: %v", sides)
		}
	})
}
