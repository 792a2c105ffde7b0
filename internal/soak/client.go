package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// longBody is the size from which on only the first bytes of a response are timed.
	longBody = 64 << 10
	// holdLimit is how long the rest of a long response may be held back.
	holdLimit = 2 * time.Second
	// chunkSize is the size of the chunks of request bodies without a length.
	chunkSize   = 16 << 10
	dialTimeout = time.Second
)

var lastID atomic.Int64

// newID returns a request id that no other request has.
func newID() string { return fmt.Sprintf("%016x", uint64(lastID.Add(1))*0x9e3779b97f4a7c15) }

// client sends one request at a time and keeps its connection.
type client struct {
	run     *Run
	sidecar *sidecar
	random  *rand.Rand
	conn    *clientConn // nil: none is open

	readRate  int // bytes per second at which responses are read; 0: as fast as they come
	writeRate int // bytes per second at which bodies are sent; 0: at once
}

// clientConn is a connection of a client to its sidecar.
type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used bool // it has carried a request before
}

// message returns the request as bytes, without its body.
func (r *request) message(chunked bool) string {
	framing := fmt.Sprintf("Content-Length: %d\r\n", r.bodySize)
	switch {
	case r.class.method() == http.MethodGet:
		framing = ""
	case chunked:
		framing = "Transfer-Encoding: chunked\r\n"
	}
	key := ""
	if r.class.Effect == keyedEffect {
		key = headerIdempotencyKey + ": k-" + r.id + "\r\n"
	}
	return fmt.Sprintf("%s /%s?%s HTTP/1.1\r\nHost: origin.svc\r\n%s: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Tenant-Id: tenant-a\r\nX-Route-Key: key-%s\r\n%s: %.3f\r\n%s%s\r\n",
		r.class.method(), r.class.Name, r.wants.query(), headerRequestID, r.id, r.class.Name, r.id[:2],
		headerTimeout, r.wait.Seconds(), key, framing)
}

// connect opens a connection. It returns false if the sidecar takes no new ones now.
func (c *client) connect() bool {
	if !c.sidecar.accepts() {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.sidecar.address, dialTimeout)
	if err != nil {
		return false
	}
	c.conn = &clientConn{Conn: conn, in: bufio.NewReaderSize(conn, 4<<10)}
	return true
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing more is expected on it
		c.conn = nil
	}
}

// send sends a request and classifies its answer. leaveAfter is the time after which the client closes its connection,
// 0 if it waits for the answer.
func (c *client) send(r *request, chunked bool, leaveAfter time.Duration) {
	for range 2 {
		if c.conn == nil && !c.connect() {
			return
		}
		if c.surplusBytes() {
			c.run.judge.violate(RuleSecond, "bytes after the last response before %s, to %s", r.id, c.sidecar.name)
			c.disconnect()
			continue
		}
		if c.conn == nil && !c.connect() {
			return
		}
		c.run.judge.add(r)
		if c.exchange(r, chunked, leaveAfter) {
			return
		}
	}
}

// surplusBytes reports whether bytes have come on the resting connection. It drops a connection that has ended.
func (c *client) surplusBytes() bool {
	if !c.conn.used {
		return false
	}
	if c.conn.in.Buffered() > 0 {
		return true
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond / 2))
	_, err := c.conn.in.Peek(1)
	switch {
	case err == nil:
		return true
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false
	}
	c.disconnect()
	return false
}

// exchange sends a request on the open connection and reads the answer. It returns false if the end of a kept
// connection crossed the request, which the client then sends once more.
func (c *client) exchange(r *request, chunked bool, leaveAfter time.Duration) (done bool) {
	conn := c.conn
	reused := conn.used
	conn.used = true
	written := make(chan error, 1)
	go func() { written <- c.write(conn, r, chunked) }()
	if leaveAfter > 0 {
		c.leave(r, conn, leaveAfter, written)
		return true
	}
	answer := c.read(r, conn, written)
	if !answer.reusable {
		c.disconnect()
	}
	if answer.none && reused && !c.sidecar.killedSince(c.run.judge.start) {
		return false
	}
	c.run.judge.update(func() { answer.classify(c, r) })
	return true
}

// write writes a request. Its client's time counts from the last byte.
func (c *client) write(conn net.Conn, r *request, chunked bool) error {
	_ = conn.SetWriteDeadline(time.Time{})
	if _, err := io.WriteString(conn, r.message(chunked)); err != nil {
		return err
	}
	if r.class.method() != http.MethodGet {
		if err := c.writeBody(conn, r.bodySize, chunked); err != nil {
			return err
		}
	}
	c.run.judge.update(func() { r.sentAt = time.Now() })
	return nil
}

func (c *client) writeBody(conn net.Conn, size int, chunked bool) error {
	for left := size; left > 0; {
		part := strings.Repeat("b", min(left, chunkSize))
		left -= len(part)
		if chunked {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
		if c.writeRate > 0 {
			time.Sleep(time.Duration(float64(len(part)) / float64(c.writeRate) * float64(time.Second)))
		}
	}
	if chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	return nil
}

// leave closes the connection after a while, with the request in hand.
func (c *client) leave(r *request, conn *clientConn, after time.Duration, written <-chan error) {
	time.Sleep(after)
	select {
	case <-written:
	default: // the body is still being sent
	}
	c.run.judge.update(func() {
		r.result = leftResult
		r.leftAt = time.Now()
	})
	_ = conn.Close() // that is the point
	c.conn = nil
}

// answer is what a client read for a request.
type answer struct {
	status    int
	body      []byte
	complete  bool // the response was complete to its reader
	none      bool // the connection ended before a byte of a response
	reusable  bool
	timedOut  bool // the client gave up
	unwritten bool // the request could not be written whole
	firstByte time.Time
	lastByte  time.Time
}

// read reads the answer to a request.
func (c *client) read(r *request, conn *clientConn, written <-chan error) (a answer) {
	a.unwritten = true
	var err error
	for { // the time of the request counts once it is written, and an answer may come before that
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err = conn.in.Peek(1)
		select {
		case failed := <-written:
			a.unwritten = failed != nil
			written = nil
		default:
		}
		if written == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	var sentAt time.Time
	c.run.judge.update(func() { sentAt = r.sentAt })
	if sentAt.IsZero() {
		sentAt = time.Now()
	}
	giveUp := sentAt.Add(r.wait + lateLimit + observationSlack)
	_ = conn.SetReadDeadline(giveUp)
	if _, err = conn.in.Peek(1); err != nil {
		a.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
		a.none = !a.timedOut
		return a
	}
	a.firstByte = latestArrival(conn.Conn)
	response, err := http.ReadResponse(conn.in, &http.Request{Method: r.class.method()})
	if err != nil {
		a.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
		return a
	}
	a.status = response.StatusCode
	a.body, err = c.readBody(r, conn, response, giveUp)
	a.lastByte = latestArrival(conn.Conn)
	a.complete = err == nil
	a.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	a.reusable = a.complete && !response.Close
	if a.complete && response.Close {
		c.expectEnd(r, conn)
	}
	return a
}

// readBody reads the body of a response, which may take as long as bytes come if it is long.
func (c *client) readBody(r *request, conn *clientConn, response *http.Response, giveUp time.Time) ([]byte, error) {
	var body bytes.Buffer
	part := make([]byte, 8<<10)
	for {
		if response.StatusCode == http.StatusOK && r.wants.Size > longBody {
			giveUp = time.Now().Add(r.wants.Gap + holdLimit + observationSlack)
		}
		_ = conn.SetReadDeadline(giveUp)
		n, err := response.Body.Read(part)
		body.Write(part[:n])
		c.run.judge.update(func() { r.bytes = body.Len() })
		if err == io.EOF {
			return body.Bytes(), nil
		}
		if err != nil {
			return body.Bytes(), err
		}
		if c.readRate > 0 {
			time.Sleep(time.Duration(float64(n) / float64(c.readRate) * float64(time.Second)))
		}
	}
}

// expectEnd checks that nothing follows a response that announced the end of its connection.
func (c *client) expectEnd(r *request, conn *clientConn) {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
	if _, err := conn.in.Peek(1); err == nil {
		c.run.judge.violate(RuleSecond, "bytes after the last response of a connection: %s", r.id)
	}
}

// classify sets the result of a request from its answer. The judge's lock is held.
func (a *answer) classify(c *client, r *request) {
	r.status = a.status
	r.firstByte = a.firstByte
	r.answeredAt = time.Now()
	timely := a.firstByte
	if !a.lastByte.IsZero() && r.wants.Size <= longBody {
		timely = a.lastByte
	}
	switch {
	case c.sidecar.killedSince(c.run.judge.start) && !a.complete:
		r.result = voidedResult
	case a.none && a.unwritten:
		r.result = unsentResult
	case !a.complete:
		a.classifyIncomplete(c, r)
	case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
		r.result = refusedResult
	case a.status != http.StatusOK:
		r.result = failedResult
	default:
		r.result = servedResult
		if !bytes.Equal(a.body, responseBody(r.id, r.wants.Size)) && !c.run.judge.isLateCopy(a.body) {
			c.run.judge.violateLocked(RuleForeign, r.answeredAt, "%d bytes that no server made: %s\n  %s",
				len(a.body), c.run.judge.describe(r), c.run.judge.describeResponse(a.body))
		}
	}
	r.arrivedAt = timely
	if a.complete && timely.After(r.due()) && !r.sentAt.IsZero() {
		c.run.judge.late = append(c.run.judge.late, r)
	}
	c.run.judge.answered++
}

// classifyIncomplete sets the result of a request whose answer is not complete. The judge's lock is held.
func (a *answer) classifyIncomplete(c *client, r *request) {
	r.result = lostResult
	if a.status != http.StatusOK {
		return
	}
	if c.sidecar.endedSince(r.sentAt) {
		r.result = brokenResult // a response that lasts longer than its process may live
		return
	}
	for _, at := range r.attempts {
		if r.wants.Ending == hangMidEnding || r.wants.Ending == resetMidEnding || at.server.hasStopped() {
			r.result = brokenResult // through no fault of the sidecar, and the client can tell
			return
		}
	}
	c.run.judge.violateLocked(RuleCut, r.answeredAt, "%s", c.run.judge.describe(r))
	r.result = brokenResult
}
