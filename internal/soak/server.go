package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerRequestID      = "X-Request-ID"
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "X-Timeout"
)

// server is one life of a server process: a process that is started again at the same address is another server.
type server struct {
	uid     string
	address string
	zone    string
	cell    int
	booted  time.Time // zero: long ago
	judge   *Judge

	listener net.Listener

	mu        sync.Mutex
	conns     map[net.Conn]struct{}
	stopped   bool
	drainedAt time.Time // when every sidecar had been told that it drains; zero: never
	grace     time.Duration
	seen      map[string]int // attempts by the id of their request
}

// startServer starts a server that listens on the address.
func startServer(judge *Judge, uid, address, zone string, cell int, booted time.Time) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		uid:      uid,
		address:  listener.Addr().String(),
		zone:     zone,
		cell:     cell,
		booted:   booted,
		judge:    judge,
		listener: listener,
		conns:    map[net.Conn]struct{}{},
		seen:     map[string]int{},
	}
	go s.accept()
	return s, nil
}

// String returns the server's uid.
func (s *server) String() string { return s.uid }

// stop ends the server as a killed process ends: its connections are reset.
func (s *server) stop() {
	_ = s.listener.Close() // nothing is lost with it
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for conn := range s.conns {
		resetConn(conn)
	}
}

// hasStopped reports whether the server has ended.
func (s *server) hasStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// resetConn ends a connection with a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close()
}

// drain records that every sidecar has been told that the server drains.
func (s *server) drain(at time.Time, grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainedAt = at
	s.grace = grace
}

// drainedBefore reports whether the grace of a drain had ended at a time, and when the drain had been told.
func (s *server) drainedBefore(at time.Time) (drained bool, told time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainedAt.IsZero() {
		return false, time.Time{}
	}
	return at.After(s.drainedAt.Add(s.grace + socketSlack + observationSlack)), s.drainedAt
}

// processed reports whether the server ran the attempts that it got of a request: one that it rejects does not run.
func (s *server) processed(r *request) bool { return r.wants.Ending != overloadedEnding }

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		stopped := s.stopped
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		if stopped {
			resetConn(conn)
			return
		}
		go s.serve(conn)
	}
}

// serve answers the requests of one connection.
func (s *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close() // the exchange has ended
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	in := bufio.NewReaderSize(conn, 4<<10)
	for {
		message, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !s.exchange(conn, in, message) {
			return
		}
	}
}

// exchange reads the body of a request and answers it. It reports whether the connection can carry another request.
func (s *server) exchange(conn net.Conn, in *bufio.Reader, message *http.Request) bool {
	id := message.Header.Get(headerRequestID)
	seconds, _ := strconv.ParseFloat(message.Header.Get(headerTimeout), 64) // 0 if it is missing
	a := s.judge.begin(id, &attempt{
		server:  s,
		beganAt: time.Now(),
		told:    time.Duration(seconds * float64(time.Second)),
	}, message.Method, message.URL.Path)
	if a == nil {
		_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n")
		return false
	}
	wants := parseBehaviour(message.URL.Query())
	if !readBody(message.Body, wants.ReadRate) {
		s.ended(a)
		return false
	}
	s.judge.update(func() { a.ranAt = time.Now() })
	s.mu.Lock()
	s.seen[id]++
	s.mu.Unlock()
	e := &exchange{server: s, conn: conn, attempt: a, id: id, wants: wants, closed: make(chan struct{})}
	go e.watch(in)
	reusable := e.respond()
	s.ended(a)
	if !reusable {
		return false
	}
	<-e.closed
	return e.watchError == nil
}

func (s *server) ended(a *attempt) {
	s.judge.update(func() { a.endedAt = time.Now() })
}

// readBody reads a body at a rate in bytes per second, as fast as it comes if the rate is 0. It reports whether it is
// complete.
func readBody(body io.Reader, rate int) bool {
	if rate == 0 {
		_, err := io.Copy(io.Discard, body)
		return err == nil
	}
	const pause = 20 * time.Millisecond
	part := max(1, int(float64(rate)*pause.Seconds()))
	for {
		_, err := io.CopyN(io.Discard, body, int64(part))
		if err != nil {
			return errors.Is(err, io.EOF)
		}
		time.Sleep(pause)
	}
}

// exchange is the response to one request.
type exchange struct {
	server  *server
	conn    net.Conn
	attempt *attempt
	id      string
	wants   behaviour

	closed     chan struct{} // closed once the connection has ended or further bytes have come
	watchError error         // why the connection has ended; nil: further bytes have come
}

// watch notices the end of the connection while the response is made.
func (e *exchange) watch(in *bufio.Reader) {
	_, e.watchError = in.Peek(1)
	close(e.closed)
}

// pause waits. It returns false once the connection has ended.
func (e *exchange) pause(duration time.Duration) bool {
	select {
	case <-e.closed:
		return e.watchError == nil
	case <-time.After(duration):
		return true
	}
}

// respond makes the response. It reports whether the connection can carry another request.
func (e *exchange) respond() bool {
	if !e.pause(e.wants.Work) {
		return false
	}
	ends := e.wants.Ending
	if e.wants.FirstOnly && !e.first() {
		ends = completeEnding
	}
	switch ends {
	case hangEnding:
		<-e.closed
		return false
	case resetEnding:
		resetConn(e.conn)
		return false
	case errorEnding:
		return e.write("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	case overloadedEnding:
		return e.write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	return e.writeResponse(ends)
}

// first reports whether this is the first attempt of the request at any server.
func (e *exchange) first() bool {
	judge := e.server.judge
	judge.mu.Lock()
	defer judge.mu.Unlock()
	r := judge.requests[e.id]
	return r != nil && len(r.attempts) > 0 && r.attempts[0] == e.attempt
}

func (e *exchange) write(text string) bool {
	_, err := io.WriteString(e.conn, text)
	return err == nil
}

// writeResponse writes a response with a body, in parts.
func (e *exchange) writeResponse(ends ending) bool {
	body := responseBody(e.id, e.wants.Size)
	if !e.write(e.head(len(body))) {
		return false
	}
	pieces := max(1, e.wants.Pieces)
	end := len(body)
	if ends == hangMidEnding || ends == resetMidEnding {
		end /= 2
	}
	for n := range pieces {
		part := body[end*n/pieces : end*(n+1)/pieces]
		if n > 0 && !e.pause(e.wants.Gap) || !e.writePart(part) {
			e.server.judge.update(func() { e.attempt.cutAt = time.Now() })
			return false
		}
	}
	switch ends {
	case hangMidEnding:
		<-e.closed
		return false
	case resetMidEnding:
		resetConn(e.conn)
		return false
	}
	if e.wants.Framing == chunkedFraming && !e.write("0\r\n\r\n") {
		return false
	}
	switch ends {
	case surplusEnding:
		e.write("\x00noise behind the response\r\n")
	case copyEnding:
		return e.writeCopy(e.head(len(body)) + string(body))
	}
	return e.wants.Framing != closeFraming
}

// writeCopy writes a response once more. If this process was delayed, it closes the connection instead: a copy that
// comes later than maxCopyDelay cannot be told from the next response.
func (e *exchange) writeCopy(response string) bool {
	began := time.Now()
	time.Sleep(e.wants.CopyAfter)
	if time.Since(began) > maxCopyDelay {
		return false
	}
	e.server.judge.update(func() { e.attempt.tooLate = true }) // unless the write is soon over
	written := e.write(response)
	e.server.judge.update(func() { e.attempt.tooLate = time.Since(began) > maxCopyDelay })
	return written
}

// head returns the head of a response with a body of the given size.
func (e *exchange) head(size int) string {
	head := "HTTP/1.1 200 OK\r\nX-Server: " + e.server.uid + "\r\n"
	switch e.wants.Framing {
	case chunkedFraming:
		return head + "Transfer-Encoding: chunked\r\n\r\n"
	case closeFraming:
		return head + "Connection: close\r\n\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
}

func (e *exchange) writePart(part []byte) bool {
	if len(part) == 0 {
		return true
	}
	text := string(part)
	if e.wants.Framing == chunkedFraming {
		text = strings.Join([]string{strconv.FormatInt(int64(len(part)), 16), text, ""}, "\r\n")
	}
	if !e.write(text) {
		return false
	}
	e.server.judge.update(func() { e.attempt.gave += len(part) })
	return true
}
