package httpproxy

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pepperlead/internal/connstate"
	"pepperlead/internal/epoll"
	"pepperlead/policy"
)

// Each test in this file steps an instance that does not run through one order of events on a connection that carries a long body.

// transcriptSocket is a socket that records everything written to it.
type transcriptSocket struct {
	*recordingSocket
	written bytes.Buffer
	stuck   bool // the kernel accepts no bytes
}

func (k *transcriptSocket) Write(b []byte) error {
	k.written.Write(b)
	if !k.stuck {
		k.conn.Output.Written += int64(len(b))
	}
	return nil
}

// steppedProxy is an instance that does not run, and the time that it is told.
type steppedProxy struct {
	*Proxy
	connect func(side connstate.Side) (*connstate.Conn, *recordingSocket)
	now     policy.Time
}

// steppedProxies returns a function that makes instances with one endpoint and this limit of the memory for messages.
func steppedProxies(t *testing.T, messageMemory int) func() *steppedProxy {
	t.Helper()
	r, _ := startProxy(t, func(p *Config) { p.MessageMemory = messageMemory }, "127.0.0.1:1")
	r.shutdown()
	return func() *steppedProxy {
		s, connect := r.stoppedCopy()
		return &steppedProxy{s, connect, s.Clock.Now()}
	}
}

// client adds a client connection without a real socket.
func (s *steppedProxy) client() (*connstate.Conn, *transcriptSocket) {
	c, plain := s.connect(connstate.ClientSide)
	socket := &transcriptSocket{recordingSocket: plain}
	c.Socket = socket
	s.clientConnected(s.now, c)
	return c, socket
}

// idleEndpoint adds an idle connection to the endpoint without a real socket.
func (s *steppedProxy) idleEndpoint() (*connstate.Conn, *transcriptSocket) {
	c, plain := s.connect(connstate.EndpointSide)
	socket := &transcriptSocket{recordingSocket: plain}
	c.Socket = socket
	c.Output.RequestsWritten = &s.Metrics.Written
	for _, one := range s.Endpoints {
		c.Endpoint, c.Generation = s.endpointConns(one), one.Generation
	}
	s.returnIdle(1, c)
	return c, socket
}

// post queues bytes that have arrived on a connection.
func (s *steppedProxy) post(c *connstate.Conn, received string) {
	socket := c.Socket.(*transcriptSocket)
	socket.input = append(socket.input, received...)
	s.sockets.post(event{kind: eventReady, conn: c, events: epoll.Readable})
}

// round handles the queued events in one round.
func (s *steppedProxy) round() {
	s.now += policy.Millisecond
	s.Round(s.now)
}

// step handles events, each like the only one of its round.
func (s *steppedProxy) step(events ...event) {
	for _, e := range events {
		s.handleEvent(s.now, e)
		s.ReportEndedAttempts(s.now)
		s.round()
	}
}

// hangUp ends a connection to an endpoint, like the only event of its round.
func (s *steppedProxy) hangUp(c *connstate.Conn) {
	s.closeConn(c, connstate.PeerClosed)
	s.round()
}

// receivedRequests returns the requests that an endpoint reads from these bytes, and their bodies. The last one may be incomplete.
func receivedRequests(written []byte) (requests []*http.Request, bodies []string) {
	in := bufio.NewReader(bytes.NewReader(written))
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return requests, bodies
		}
		body, _ := io.ReadAll(request.Body) // what has arrived of it
		requests, bodies = append(requests, request), append(bodies, string(body))
	}
}

// longHead is the head of a request with a body that is streamed, as it is too long to be collected.
const longHead = "POST %s HTTP/1.1\r\nHost: o\r\nX-Request-ID: long\r\nX-Timeout: 1\r\nContent-Length: %d\r\n\r\n"

// nextRequest returns a request with a body that is itself a message in chunks with another request behind it, and size further bytes.
func nextRequest(headers string, chunked bool, size int) (message, body string) {
	body = "1\r\nA\r\n0\r\n\r\nGET /step/inner HTTP/1.1\r\nHost: o\r\nX-Request-ID: inner\r\nX-Timeout: 1\r\n\r\n" + strings.Repeat("z", size)
	head := "POST /step/next HTTP/1.1\r\nHost: o\r\nX-Request-ID: next\r\nX-Timeout: 1\r\n" + headers
	if chunked {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body), body
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), body
}

// answerEarly has a client send a long body that is answered before its end, and returns the rest of that body.
func (s *steppedProxy) answerEarly(t *testing.T, client, endpoint *connstate.Conn, path string) (rest string) {
	s.post(client, fmt.Sprintf(longHead, path, 2<<20))
	s.post(client, strings.Repeat("y", 2<<20-10))
	s.settle()
	if endpoint.Request != nil {
		s.hangUp(endpoint)
	}
	if client.Request != nil || client.Upload.State != connstate.StreamingUpload {
		t.Fatalf("%s: the long request was not answered before its end", path)
	}
	return strings.Repeat("y", 10)
}

// The next request arrives in the round in which its connection becomes ready for it: after the end of a long body that was answered
// early, or behind a request that has just been answered. While its long body is being collected, the decoded part must not be parsed as
// requests: endpoints got requests that no client had sent. Nor must it count as input that the client sends too early.
func TestCollectedBodyIsNotParsedAsRequest(t *testing.T) {
	newProxy := steppedProxies(t, 6<<20)
	before := map[string]func(s *steppedProxy, client, endpoint *connstate.Conn, next string){
		"long body, answered by the instance": func(s *steppedProxy, client, endpoint *connstate.Conn, next string) {
			s.post(client, s.answerEarly(t, client, endpoint, "/_health")+next)
		},
		"long body, rejected after its endpoint's end": func(s *steppedProxy, client, endpoint *connstate.Conn, next string) {
			s.post(client, s.answerEarly(t, client, endpoint, "/step/long")+next)
		},
		"pipelined": func(s *steppedProxy, client, endpoint *connstate.Conn, next string) {
			s.post(client, "GET /step/short HTTP/1.1\r\nHost: o\r\nX-Request-ID: short\r\nX-Timeout: 1\r\n\r\n"+next)
			s.round()
			s.post(endpoint, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			s.round()
		},
	}
	try := func(name, next, body string, cut int, responsesWait bool) error {
		s := newProxy()
		client, responses := s.client()
		first, _ := s.idleEndpoint()
		before[name](s, client, first, next[:cut])
		_, attempts := s.idleEndpoint()
		s.post(client, next[cut:len(next)-500])
		responses.stuck = responsesWait
		s.settle()
		responses.stuck = false
		client.Output.Written = client.Output.Queued
		s.post(client, next[len(next)-500:])
		s.settle()
		requests, bodies := receivedRequests(attempts.written.Bytes())
		if len(requests) == 1 && requests[0].Header.Get("X-Request-ID") == "next" && bodies[0] == body {
			return nil
		}
		return fmt.Errorf("the endpoint got %d requests with bodies %.80q; connection closed %v, responses %.200q",
			len(requests), bodies, client.Closing, responses.written.Bytes())
	}
	for name := range before {
		for _, chunked := range []bool{false, true} {
			for _, headers := range []string{"", "Expect: 100-continue\r\n"} {
				next, body := nextRequest(headers, chunked, 120<<10)
				bodyStart := strings.Index(next, "\r\n\r\n") + 4
				for _, cut := range []int{1, bodyStart - 1, bodyStart, bodyStart + 20, bodyStart + maxBody + 1000} {
					for _, responsesWait := range []bool{false, true} { // until the kernel takes the response to the next request's head
						if err := try(name, next, body, cut, responsesWait); err != nil {
							t.Errorf("%s, then chunked %v, %q, cut at byte %d, responses wait %v: %v", name, chunked, headers, cut, responsesWait, err)
						}
					}
				}
			}
		}
	}
}

// handle handles the queued events; decisions are carried out at the end of the round.
func (s *steppedProxy) handle() {
	s.Gather(s.now)
	s.ReportEndedAttempts(s.now)
}

// settle runs rounds until no connection waits for its turn.
func (s *steppedProxy) settle() {
	s.round()
	for s.HasPending() {
		s.round()
	}
}

// While a long body waits for its endpoint, reading from the client is paused. Whatever ends the wait, the connection must then carry the
// client's next request: it was never read, and its client got no answer.
func TestClientIsReadAfterItsLongBody(t *testing.T) {
	const pieceSize = 20 << 10
	respond := func(s *steppedProxy, endpoint *connstate.Conn) {
		s.post(endpoint, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		s.settle()
	}
	// obstructed makes an idle connection to the endpoint that accepts no bytes.
	obstructed := func(s *steppedProxy) {
		_, socket := s.idleEndpoint()
		socket.stuck = true
		s.maxPending = pieceSize / 2
	}
	newProxy := steppedProxies(t, 6*maxBody) // bodies over maxBody are streamed
	for name, k := range map[string]struct {
		oneRound bool // the body is read in the round in which its attempt is decided on
		prepare  func(s *steppedProxy)
		finish   func(s *steppedProxy, r *connstate.Request) // from the end of the body to the answer
		status   int
	}{
		"attempt not sent": {true, func(s *steppedProxy) { s.idleEndpoint() }, func(s *steppedProxy, r *connstate.Request) {
			respond(s, r.AttemptConn)
		}, 200},
		"attempt waits for a reusable connection": {true, func(s *steppedProxy) {
			c, _ := s.idleEndpoint()
			c.Used, c.IdleSince = true, s.now-reuseDelay+5*policy.Millisecond
		}, func(s *steppedProxy, r *connstate.Request) {
			if !r.ReuseTimer.Active() {
				t.Error("the attempt does not wait for a reusable connection")
			}
			s.now += 5 * policy.Millisecond
			s.settle()
			respond(s, r.AttemptConn)
		}, 200},
		"attempt is dialled": {false, func(s *steppedProxy) {
			blocked := make(chan struct{})
			t.Cleanup(func() { close(blocked) })
			s.sockets.connect = func(string, policy.Time) (net.Conn, error) {
				<-blocked
				return nil, net.ErrClosed
			}
		}, func(s *steppedProxy, r *connstate.Request) {
			c := r.AttemptConn
			c.Socket = &transcriptSocket{recordingSocket: &recordingSocket{conn: c}}
			s.step(event{kind: eventConnected, conn: c})
			s.settle()
			respond(s, c)
		}, 200},
		"endpoint accepts no more and responds": {false, obstructed, func(s *steppedProxy, r *connstate.Request) {
			respond(s, r.AttemptConn)
		}, 200},
		"endpoint accepts no more and closes": {false, obstructed, func(s *steppedProxy, r *connstate.Request) {
			s.hangUp(r.AttemptConn)
			s.settle()
		}, 503},
		"endpoint accepts no more until the timeout": {false, obstructed, func(s *steppedProxy, r *connstate.Request) {
			s.TimedOut(s.now, r.Request)
			s.ReportEndedAttempts(s.now)
			s.settle()
		}, 503},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %v", name, chunked), func(t *testing.T) {
				s := newProxy()
				k.prepare(s)
				c, responses := s.client()
				message, _ := nextRequest("", chunked, 80<<10)
				first := maxBody + connstate.SmallBuffer
				switch {
				case k.oneRound && chunked: // its length is known at its end only
					first = len(message) - connstate.SmallBuffer/2
				case k.oneRound:
					first = len(message)
				}
				s.post(c, message[:first])
				if s.handle(); !k.oneRound {
					s.round()
					s.post(c, message[first:first+pieceSize/4])
					s.handle()
					first += pieceSize / 4
					if c.Upload.State != connstate.StreamingUpload || !c.Input.Paused {
						t.Fatalf("the body is not paused while it is streamed: state %v, paused %v", c.Upload.State, c.Input.Paused)
					}
				}
				s.post(c, message[first:])
				s.handle()
				r := c.Request
				if k.oneRound && (r.Upload.Active || r.Upload.Buffer == nil) {
					t.Fatal("the end of the body was not read behind the pause")
				}
				s.settle()
				k.finish(s, r)
				answer, err := http.ReadResponse(bufio.NewReader(&responses.written), nil)
				if err != nil || answer.StatusCode != k.status {
					t.Fatalf("got response %v, error %v, want status %d", answer, err, k.status)
				}
				s.post(c, "GET /step/b HTTP/1.1\r\nHost: o\r\nX-Request-ID: 2\r\nX-Timeout: 1\r\n\r\n")
				s.settle()
				if s.Counters.Requests != 2 {
					t.Errorf("the next request on the connection was not read; reading paused: %v", c.Input.Paused)
				}
			})
		}
	}
}

// Guards against a second answer to one request: once a request is answered before the end of its body, a body that stops, or cannot be
// read, ends the connection without a further answer.
func TestBodyAfterItsAnswerGetsNoSecondAnswer(t *testing.T) {
	r, _ := startProxy(t, withLittleMemory, newFakeEndpoint(t).Addr().String())
	for name, k := range map[string]struct{ head, body, rest string }{
		"stops": {"Content-Length: 3000000\r\n", strings.Repeat("x", 2_000_000), ""},
		"cannot be read": {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", 2_000_000, strings.Repeat("x", 2_000_000)),
			"no size\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := r.client()
			go fmt.Fprintf(c, "POST /_health HTTP/1.1\r\nHost: o\r\n%s\r\n%s%s", k.head, k.body, k.rest)
			c.SetDeadline(time.Now().Add(2 * time.Minute))
			got, err := io.ReadAll(c.in)
			if n := strings.Count(string(got), "HTTP/1.1 "); n != 1 || !strings.HasPrefix(string(got), "HTTP/1.1 200 OK") {
				t.Errorf("got %d answers, then %v: %q", n, err, got)
			}
		})
	}
}

// Guards against answers seconds after their time, and against endpoints that are told more time than the client has: a client has written
// its whole body, which waits in the buffers of the kernel, as reading is paused for an endpoint that reads slowly or is dialled late. Its
// time counts from then on. A client that is slow itself has the time that it takes.
func TestTimeOfALongBodyCountsFromItsLastByte(t *testing.T) {
	const size, wait = 1500 << 10, time.Second // too long to be collected
	for name, k := range map[string]struct {
		readPause, dialFor, writePause time.Duration
		chunked                        bool
		status                         int
		part                           int // bytes that the client writes at once; 0: many
	}{
		"steady client":                  {writePause: 5 * time.Millisecond, part: 4 << 10, status: 200},
		"steady client, chunked":         {writePause: 5 * time.Millisecond, part: 4 << 10, chunked: true, status: 200},
		"slow endpoint":                  {readPause: 100 * time.Millisecond, status: 503},
		"slow endpoint, chunked":         {readPause: 100 * time.Millisecond, chunked: true, status: 503},
		"late connection":                {dialFor: 400 * time.Millisecond, status: 200},
		"late connection, chunked":       {dialFor: 400 * time.Millisecond, chunked: true, status: 200},
		"slow client":                    {writePause: 30 * time.Millisecond, status: 200},
		"slow client, chunked":           {writePause: 30 * time.Millisecond, chunked: true, status: 200},
		"slow client, slow endpoint":     {writePause: 120 * time.Millisecond, readPause: 30 * time.Millisecond, status: 200},
		"slow client, endpoint hangs up": {writePause: 30 * time.Millisecond, readPause: -1, status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64 // when the client had written everything, on the clock of began
			var began time.Time
			told := make(chan error, 4)
			addr, _ := readingEndpoint(t, func(r *http.Request, _ int) (int64, [32]byte, bool) {
				if k.readPause < 0 {
					return 0, [32]byte{}, false
				}
				seconds, _ := strconv.ParseFloat(r.Header.Get("X-Timeout"), 64)
				left := wait
				if at := written.Load(); at > 0 {
					left = time.Duration(at) + wait - time.Since(began)
				}
				if timeout := time.Duration(seconds * float64(time.Second)); timeout > left+150*time.Millisecond {
					told <- fmt.Errorf("the endpoint was told %v, the client has %v", timeout, left)
				}
				for err := error(nil); err == nil && k.readPause > 0; {
					_, err = io.CopyN(io.Discard, r.Body, 16<<10)
					time.Sleep(k.readPause)
				}
				return readAll(r, 1)
			})
			r, _ := startProxy(t, func(p *Config) { withLittleMemory(p); p.ConnectTimeout = 2 * policy.Second }, addr)
			if k.dialFor > 0 {
				_, release := r.blockDials(1)
				time.AfterFunc(k.dialFor, func() { close(release) })
			}
			t.Parallel()
			c := r.client()
			c.SetDeadline(time.Now().Add(20 * time.Second))
			framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
			if k.chunked {
				framing = "Transfer-Encoding: chunked\r\n\r\n"
			}
			began = time.Now()
			go func() {
				fmt.Fprintf(c, "POST /step/x HTTP/1.1\r\nHost: o\r\nX-Request-ID: a\r\nX-Timeout: 1\r\n%s", framing)
				part := strings.Repeat("b", cmp.Or(k.part, 50<<10))
				text := part
				if k.chunked {
					text = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
				}
				for range size / len(part) {
					io.WriteString(c, text)
					time.Sleep(k.writePause)
				}
				if k.chunked {
					io.WriteString(c, "0\r\n\r\n")
				}
				written.Store(int64(time.Since(began)))
			}()
			answer, err := http.ReadResponse(c.in, nil)
			took := time.Since(began)
			if err != nil || answer.StatusCode != k.status {
				t.Fatalf("got response %v, error %v after %v, want status %d", answer, err, took, k.status)
			}
			if due := time.Duration(written.Load()) + wait + 50*time.Millisecond; written.Load() > 0 && took > due {
				t.Errorf("the answer came after %v, it was due after %v", took, due)
			}
			select {
			case err := <-told:
				t.Error(err)
			default:
			}
		})
	}
}
