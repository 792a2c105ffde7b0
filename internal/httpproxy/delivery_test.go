package httpproxy

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// socketSlack is how much longer than configured a time limit may be on sockets.
const socketSlack = 50 * time.Millisecond

// wholeRequests records when requests have been read to their last byte, by any of several endpoints.
type wholeRequests struct {
	mu     sync.Mutex
	begun  int
	whole  []time.Time
	behave func(n int) requestHandling // n is the number of the request, counted from 1 over all endpoints
}

// requestHandling is what an endpoint does with a request.
type requestHandling struct {
	pause          time.Duration // before the body is read
	bytesPerSecond int           // rate at which the body is read; 0: as fast as possible
	reset          bool          // the connection is reset once the request is whole
}

// smallReceiveBuffer makes the kernel of an endpoint accept only 1 to 2 kB before the endpoint reads.
const smallReceiveBuffer = 1 << 10 // bytes

// endpoint starts an endpoint and returns its address. The size of its receive buffer is chosen by the kernel if it is 0.
func (w *wholeRequests) endpoint(t *testing.T, receiveBuffer int) string {
	addr, _ := scriptedEndpointOn(t, receiveBuffer, func(c net.Conn, r *http.Request, _ int) bool {
		w.mu.Lock()
		w.begun++
		handling := w.behave(w.begun)
		w.mu.Unlock()
		time.Sleep(handling.pause)
		if !readAtRate(r.Body, handling.bytesPerSecond) {
			return false
		}
		w.mu.Lock()
		w.whole = append(w.whole, time.Now())
		w.mu.Unlock()
		if handling.reset {
			resetConn(c)
			return false
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	return addr
}

// readAtRate reads to the end at this rate, and reports whether the end was reached.
func readAtRate(body io.Reader, bytesPerSecond int) bool {
	began := time.Now()
	buf := make([]byte, 16<<10)
	for total := 0; ; {
		n, err := body.Read(buf)
		total += n
		if err != nil {
			return err == io.EOF
		}
		if bytesPerSecond > 0 {
			due := time.Duration(total) * time.Second / time.Duration(bytesPerSecond)
			time.Sleep(due - time.Since(began))
		}
	}
}

// times returns when requests became whole.
func (w *wholeRequests) times() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.whole...)
}

// noteMessage returns a keyed request with a body of n bytes, optionally in chunks. Its client waits for 4 s.
func noteMessage(n int, chunked bool) string {
	lastID++
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", n)
	end := ""
	if chunked {
		framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", n)
		end = "\r\n0\r\n\r\n"
	}
	return fmt.Sprintf("POST /note HTTP/1.1\r\nHost: o\r\nX-Request-ID: id-%d\r\nX-Timeout: 4.0\r\nIdempotency-Key: k-%d\r\n%s%s%s",
		lastID, lastID, framing, strings.Repeat("x", n), end)
}

// Guards against a second effect: a repeat of a keyed request that began in the deduplication window must not be whole at a slow
// endpoint after the window. If it cannot be, the client gets its answer at once.
func TestRepeatIsWholeWithinItsWindow(t *testing.T) {
	for name, k := range map[string]struct {
		size       int
		rate       int           // of the second endpoint, in bytes per second; 0: fast
		pause      time.Duration // before the second endpoint reads the body
		chunked    bool
		window     policy.Time
		shortened  policy.Time   // window of settings applied while the repeat is written; 0: none
		dialFor    time.Duration // how long the dial of the repeat takes
		wantStatus int
		wantAtOnce bool // the client is answered as soon as the rate of the second endpoint shows

		receiveBuffer int // of the endpoints, in bytes; 0: the kernel's choice
	}{
		"long body":                  {size: 4 << 20, rate: 1e6, window: policy.Second, wantStatus: 502, wantAtOnce: true},
		"long body in chunks":        {size: 2 << 20, rate: 1e6, chunked: true, window: policy.Second, wantStatus: 502},
		"all fits into the kernel":   {size: 300 << 10, rate: 200e3, window: policy.Second, wantStatus: 502},
		"all fits into the endpoint": {size: 60 << 10, rate: 50e3, window: 700 * policy.Millisecond, wantStatus: 502},
		"short body is not received": {size: 4000, pause: 1500 * time.Millisecond, window: policy.Second, wantStatus: 502,
			receiveBuffer: smallReceiveBuffer},
		"late connection":                 {size: 2 << 20, rate: 3e6, dialFor: 600 * time.Millisecond, window: policy.Second, wantStatus: 502},
		"window shortened":                {size: 2 << 20, rate: 1e6, window: 3 * policy.Second, shortened: policy.Second, wantStatus: 502},
		"fast endpoint, long body":        {size: 2 << 20, window: policy.Second, wantStatus: 200},
		"fast endpoint, short body":       {size: 20 << 10, window: policy.Second, wantStatus: 200},
		"slow endpoint, whole in time":    {size: 1 << 20, rate: 2e6, window: 2 * policy.Second, wantStatus: 200},
		"slow endpoint, small, long time": {size: 60 << 10, rate: 200e3, window: 3 * policy.Second, wantStatus: 200},
	} {
		t.Run(name, func(t *testing.T) {
			requests := &wholeRequests{behave: func(n int) requestHandling {
				if n == 1 {
					return requestHandling{reset: true}
				}
				return requestHandling{bytesPerSecond: k.rate, pause: k.pause}
			}}
			var config Config
			r, _ := startProxy(t, func(p *Config) {
				p.Settings.Classes[1].Target = 3 * policy.Second
				p.Settings.Classes[1].LateValue = 0.5
				p.Settings.Classes[1].Window = k.window
				p.ConnectTimeout = 2 * policy.Second
				config = *p
			}, requests.endpoint(t, k.receiveBuffer), requests.endpoint(t, k.receiveBuffer))
			message := noteMessage(k.size, k.chunked)
			t.Parallel() // from here on: instances must be started one after the other
			begun, release := r.blockDials(2)
			go func() {
				<-begun
				time.Sleep(k.dialFor)
				close(release)
			}()
			c := r.client()
			io.WriteString(c, message)
			if k.shortened > 0 {
				r.waitUntil("the repeat is written", func() bool { return r.Counters.Attempts == 2 })
				time.Sleep(100 * time.Millisecond)
				settings := *config.Settings
				settings.Classes = append([]policy.Class(nil), settings.Classes...)
				settings.Classes[1].Window = k.shortened
				config.Settings = &settings
				r.configs <- config
			}
			answer, _ := c.receive()
			answered := time.Now()
			time.Sleep(3*time.Second - time.Duration(k.window)/2) // a late request would become whole meanwhile
			r.shutdown()
			window := time.Duration(k.window)
			if k.shortened > 0 {
				window = time.Duration(k.shortened)
			}
			whole := requests.times()
			if len(whole) == 0 {
				t.Fatal("the first attempt was never whole")
			}
			for _, at := range whole[1:] {
				if late := at.Sub(whole[0]) - window; late > socketSlack {
					t.Errorf("the repeat was whole %v after the end of the window of %v", late, window)
				}
			}
			if answer.StatusCode != k.wantStatus {
				t.Errorf("got status %d, want %d", answer.StatusCode, k.wantStatus)
			}
			if waited := answered.Sub(whole[0]); waited > window+4*socketSlack || k.wantAtOnce && waited > window/2 {
				t.Errorf("the client was answered %v after the first attempt, with a window of %v", waited, window)
			}
		})
	}
}

// Guards against a second effect: an attempt that has timed out while its request lay in this machine's kernel must not become whole at
// its endpoint later, when the repeat has been processed elsewhere and its window has ended.
func TestTimedOutAttemptIsNotWholeLater(t *testing.T) {
	for name, k := range map[string]struct {
		size          int
		rate          int           // of the first endpoint, in bytes per second
		pause         time.Duration // before the first endpoint reads the body
		receiveBuffer int           // of the endpoints, in bytes; 0: the kernel's choice
	}{
		"all fits into the kernel":   {size: 1 << 20, rate: 400e3},
		"long body":                  {size: 4 << 20, rate: 1e6},
		"short body is not received": {size: 4000, rate: 1e6, pause: 2 * time.Second, receiveBuffer: smallReceiveBuffer},
	} {
		t.Run(name, func(t *testing.T) {
			requests := &wholeRequests{behave: func(n int) requestHandling {
				if n == 1 {
					return requestHandling{bytesPerSecond: k.rate, pause: k.pause}
				}
				return requestHandling{}
			}}
			r, _ := startProxy(t, func(p *Config) {
				p.Settings.Classes[1].Target = 150 * policy.Millisecond
				p.Settings.Classes[1].LateValue = 0.5
				p.Settings.Classes[1].Window = policy.Second
			}, requests.endpoint(t, k.receiveBuffer), requests.endpoint(t, k.receiveBuffer))
			message := noteMessage(k.size, false)
			t.Parallel() // from here on: instances must be started one after the other
			c := r.client()
			io.WriteString(c, message)
			if answer, _ := c.receive(); answer.StatusCode != 200 {
				t.Errorf("got status %d, want 200", answer.StatusCode)
			}
			time.Sleep(time.Duration(k.size)*time.Second/time.Duration(k.rate) + k.pause + 500*time.Millisecond)
			if whole := requests.times(); len(whole) != 1 {
				t.Errorf("attempts were whole at %v, want one", whole)
			}
		})
	}
}

// Guards against an effect after the final answer: an attempt whose last byte is withheld does not become whole once its client has left or
// the shutdown has ended, also where attempts may not be cancelled.
func TestUnwantedAttemptIsNotCompleted(t *testing.T) {
	for name, end := range map[string]func(r *runningProxy, c *testClient){
		"client leaves": func(r *runningProxy, c *testClient) {
			c.Close()
			r.waitUntil("the disconnect is noticed", func() bool { return r.Counters.ClientsDisconnected == 1 })
		},
		"shutdown": func(r *runningProxy, c *testClient) {
			r.stop <- syscall.SIGTERM
			began := time.Now()
			answer, _ := c.receive()
			if took := time.Since(began); answer.StatusCode != 502 || took > time.Duration(r.config.ShutdownTime) {
				t.Errorf("got status %d %v after SIGTERM, want 502 within %d ms", answer.StatusCode, took, r.config.ShutdownTime/policy.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			const rate = 500_000 // bytes per second
			requests := &wholeRequests{behave: func(n int) requestHandling {
				if n == 1 {
					return requestHandling{reset: true}
				}
				return requestHandling{bytesPerSecond: rate}
			}}
			r, _ := startProxy(t, func(p *Config) {
				p.Settings.MayCancel = false
				p.Settings.Classes[1].Target = 3 * policy.Second
				p.Settings.Classes[1].LateValue = 0.5
				p.Settings.Classes[1].Window = 10 * policy.Second
			}, requests.endpoint(t, 0), requests.endpoint(t, 0))
			message := noteMessage(2*rate, false)
			t.Parallel() // from here on: instances must be started one after the other
			c := r.client()
			io.WriteString(c, message)
			r.waitUntil("the repeat is written", func() bool { return r.Counters.Attempts == 2 })
			time.Sleep(100 * time.Millisecond)
			end(r, c)
			time.Sleep(2500 * time.Millisecond)
			if whole := requests.times(); len(whole) != 1 {
				t.Errorf("attempts were whole at %v, want only the first", whole)
			}
		})
	}
}

// unacknowledgedSocket is a socket whose peer has not acknowledged some bytes.
type unacknowledgedSocket struct {
	*recordingSocket
	bytes int
}

func (k *unacknowledgedSocket) Unacknowledged() int { return k.bytes }

// Guards against an attempt that counts as never processed although its endpoint gets all of it: the last byte of a long request is
// written only when the endpoint has acknowledged the others, and until then the connection does not count as flushed.
func TestLastByteFollowsTheAcknowledgementOfAllOthers(t *testing.T) {
	s, connect := newStoppedProxy(t)
	for name, k := range map[string]struct {
		unacknowledged, later int            // bytes at the write, and at the next check
		want                  policy.Outcome // of the attempt if the endpoint then closes the connection
	}{
		"not acknowledged":     {unacknowledged: 5000, later: 1, want: policy.NotConnected},
		"acknowledged":         {unacknowledged: 5000, want: policy.ConnectionLost},
		"acknowledged at once": {want: policy.ConnectionLost},
	} {
		client, _ := connect(connstate.ClientSide)
		conn, plain := connect(connstate.EndpointSide)
		socket := &unacknowledgedSocket{recordingSocket: plain, bytes: k.unacknowledged}
		conn.Socket = socket
		for _, one := range s.Endpoints {
			conn.Endpoint = s.endpointConns(one)
			s.returnIdle(1, conn)
		}
		endedBefore := s.Counters.Outcomes[k.want]
		client.Input.Buffer = s.buffers.Get(connstate.LargeBuffer)
		client.Input.Buffer.B = fmt.Appendf(client.Input.Buffer.B, "POST /once HTTP/1.1\r\nHost: o\r\nX-Request-ID: %s\r\nX-Timeout: 1\r\n"+
			"Content-Length: 10000\r\n\r\n%s", name, strings.Repeat("x", 10000))
		now := s.Clock.Now()
		s.readRequests(now, now, client)
		s.Round(now)
		socket.bytes = k.later
		s.Round(now + 2*policy.Millisecond)
		whole := k.want == policy.ConnectionLost
		if conn.Flushed() != whole || string(plain.last) == "x" != whole {
			t.Errorf("%s: the connection counts as flushed: %v, want %v; %d bytes were written last", name, conn.Flushed(), whole, len(plain.last))
		}
		s.connClosed(now, now+3*policy.Millisecond, conn)
		if s.ReportEndedAttempts(now + 3*policy.Millisecond); s.Counters.Outcomes[k.want] != endedBefore+1 {
			t.Errorf("%s: attempts by outcome %v, want one more with outcome %d", name, s.Counters.Outcomes, k.want)
		}
		s.Round(now + 3*policy.Millisecond)
	}
}

// The endpoint may still have to read what its receive buffer holds, at the rate at which it has read the rest.
func TestTimeToReadTheReceiveBuffer(t *testing.T) {
	for _, k := range []struct {
		length, window int64
		took           policy.Time
		want           policy.Time
	}{
		{length: 1_000_000, window: 100_000, took: policy.Second, want: 111 * policy.Millisecond}, // 900 kB read in a second
		{length: 64_000, window: 100_000, took: policy.Millisecond, want: policy.Second},          // the rate is unknown
		{length: 164_000, window: 100_000, took: 10 * policy.Second, want: 1562 * policy.Millisecond},
		{length: 64 << 20, window: 6 << 20, took: 0, want: 0},
		{length: 1_000_000, took: policy.Second, want: 0}, // the window is unknown
	} {
		got := maxReadTime(&connstate.Delivery{Length: k.length, WidestWindow: k.window, Since: policy.Second}, policy.Second+k.took)
		if got/policy.Millisecond != k.want/policy.Millisecond {
			t.Errorf("%d bytes in %d ms, window %d: got %d ms, want %d ms", k.length, k.took/policy.Millisecond, k.window,
				got/policy.Millisecond, k.want/policy.Millisecond)
		}
	}
}

// A retry that cannot arrive in time is ended as soon as that shows, and not before.
func TestLeastTimeUntilARequestIsAcknowledged(t *testing.T) {
	for _, k := range []struct {
		length, outstanding int64
		took                policy.Time
		want                policy.Time
	}{
		{length: 4_000_000, outstanding: 3_000_000, took: policy.Second, want: 1500 * policy.Millisecond}, // at twice 1 MB a second
		{length: 4_000_000, outstanding: 3_000_000, took: 200 * policy.Millisecond, want: 0},              // too early to tell
		{length: 4_000_000, outstanding: 4_000_000, took: policy.Second, want: 0},                         // no rate
		{length: 64 << 20, outstanding: 60 << 20, took: 10 * policy.Second, want: 75 * policy.Second},
	} {
		got := minTimeLeft(&connstate.Delivery{Length: k.length, Since: policy.Second}, policy.Second+k.took, k.outstanding)
		if got != k.want {
			t.Errorf("%d of %d bytes are outstanding after %d ms: got %d ms, want %d ms", k.outstanding, k.length, k.took/policy.Millisecond,
				got/policy.Millisecond, k.want/policy.Millisecond)
		}
	}
}

// dedupMemory is what the endpoints of a group remember of keyed requests. As real endpoints do, it drops a repeat that arrives within the
// window after the latest run.
type dedupMemory struct {
	mu     sync.Mutex
	window time.Duration
	ran    map[string]time.Time // latest run by idempotency key
	twice  []string             // what ran a second time, and how long after the first
}

// arrive handles a request that has arrived completely.
func (m *dedupMemory) arrive(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	last, known := m.ran[key]
	switch {
	case !known:
		m.ran[key] = now
	case now.Sub(last) > m.window+socketSlack:
		m.twice = append(m.twice, fmt.Sprintf("%s after %v", key, now.Sub(last)))
	}
}

// serveAtRandom reads requests at random rates and then resets the connection, fails, hangs or responds.
func (m *dedupMemory) serveAtRandom(t *testing.T, random func(n int) int) string {
	receiveBuffer := [...]int{0, smallReceiveBuffer, 64 << 10}[random(3)]
	addr, _ := scriptedEndpointOn(t, receiveBuffer, func(c net.Conn, r *http.Request, _ int) bool {
		rate := [...]int{0, 0, 100_000, 300_000, 1_000_000, 3_000_000}[random(6)]
		time.Sleep(time.Duration(random(2)*random(2)*random(500)) * time.Millisecond)
		if random(8) == 0 {
			readAtRate(io.LimitReader(r.Body, 20_000), rate)
			return false
		}
		if !readAtRate(r.Body, rate) {
			return false
		}
		m.arrive(r.Header.Get("Idempotency-Key"))
		switch random(4) {
		case 0:
			resetConn(c)
			return false
		case 1:
			fmt.Fprint(c, "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")
		case 2:
			time.Sleep(time.Second)
			return false
		default:
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		return true
	})
	return addr
}

// Guards against a second effect under any mix of lengths, rates, failures and early timeouts: no keyed request runs twice.
func TestNoKeyedRequestRunsTwiceAtSlowEndpoints(t *testing.T) {
	const clients, endpoints, seed = 150, 12, 20261204
	var mu sync.Mutex
	source := rand.New(rand.NewSource(seed))
	random := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.Intn(n)
	}
	memory := &dedupMemory{window: 2 * time.Second, ran: map[string]time.Time{}}
	var addrs []string
	for range endpoints {
		addrs = append(addrs, memory.serveAtRandom(t, random))
	}
	r, _ := startProxy(t, func(p *Config) {
		p.Settings.Classes[1].Target = 300 * policy.Millisecond
		p.Settings.Classes[1].LateValue = 0.5
		p.Settings.Classes[1].Window = policy.Time(memory.window)
		p.Descriptors = 512
		p.MessageMemory = 256 << 20
	}, addrs...)
	stopWatch := watchDelays()
	answers := make(chan int, clients)
	for range clients {
		message := noteMessage([...]int{random(3000), 5000 + random(60_000), 70_000 + random(3_000_000)}[random(3)], random(3) == 0)
		pause := time.Duration(random(5000)) * time.Millisecond
		go func() {
			time.Sleep(pause)
			c := r.client()
			io.WriteString(c, message)
			status := 0
			if answer, err := http.ReadResponse(c.in, nil); err == nil {
				status = answer.StatusCode
			}
			answers <- status
		}()
	}
	statuses := map[int]int{}
	for range clients {
		statuses[<-answers]++
	}
	time.Sleep(3 * time.Second) // a late attempt would arrive meanwhile
	r.shutdown()
	memory.mu.Lock()
	defer memory.mu.Unlock()
	delay := stopWatch()
	t.Logf("answers by status: %v; outcomes of attempts: %v; %d keys ran; longest delay %v", statuses, r.Counters.Outcomes, len(memory.ran), delay)
	if len(memory.twice) > 0 {
		t.Errorf("requests ran twice: %v; the machine delayed this process by up to %v", memory.twice, delay)
	}
	if statuses[0] > 0 || statuses[200] == 0 || statuses[502] == 0 {
		t.Errorf("answers by status: %v, want all requests answered, some with 200 and some with 502", statuses)
	}
}
