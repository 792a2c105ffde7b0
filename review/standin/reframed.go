package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["reframed"] = runReframed }

const (
	reframedClients = 8
	reframedTime    = 30 * time.Second // for so long requests are sent
	longestText     = 130_000          // bytes of a body in chunks
	resetAfter      = 256 << 10        // bytes of a long body, after which its connection is reset with the disruption
	innerID         = "inner"          // begins the ids in the text of bodies; no client sends a request with such an id
)

// reframedRun is what the clients and servers of the case share.
type reframedRun struct {
	*caseRun
	address string
	long    []byte // text of long bodies; DAYS.md: bodies reach 32 MB
	stopped chan struct{}

	mu      sync.Mutex
	sent    map[string][32]byte // digest of the body of each request that a client has begun to send
	answers map[string]int
	came    int
	unsent  int      // requests with an id that no client sent
	altered int      // requests with a body that no client sent
	breach  []string // the first of them
}

func (r *reframedRun) isStopped() bool {
	select {
	case <-r.stopped:
		return true
	default:
		return false
	}
}

// serve stands in for a server. It looks whether a client has sent what it gets. With the disruption it resets the
// connections of long bodies.
func (r *reframedRun) serve() (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("X-Request-ID")
		if r.trouble && strings.HasSuffix(id, "-long") {
			if _, err := io.CopyN(io.Discard, request.Body, resetAfter); err != nil {
				return // it has not come whole
			}
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_ = conn.(*net.TCPConn).SetLinger(0) // the close resets the connection
				_ = conn.Close()
			}
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return // it has not come whole
		}
		r.check(id, request.Method+" "+request.URL.Path, body)
		_, _ = io.WriteString(w, "served") // an error means that the sidecar has left
	})
	go func() { _ = http.Serve(l, handler) }() // it serves until the process ends
	return l.Addr().String()
}

func (r *reframedRun) check(id, line string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.came++
	digest, known := r.sent[id]
	breach := ""
	switch {
	case !known:
		r.unsent++
		breach = fmt.Sprintf("%s with the id %q, which no client sent", line, id)
	case digest != sha256.Sum256(body):
		r.altered++
		breach = fmt.Sprintf("%s with the id %q and a body of %d bytes that no client sent", line, id, len(body))
	default:
		return
	}
	r.note("server: got %s", breach)
	r.breach = append(r.breach, breach)
}

// request builds a request and notes the digest of its body.
func (r *reframedRun) request(id, class, headers string, body []byte, chunked bool) []byte {
	r.mu.Lock()
	r.sent[id] = sha256.Sum256(body)
	r.mu.Unlock()
	var m bytes.Buffer
	method := http.MethodGet
	if len(body) > 0 {
		method = http.MethodPost
	}
	_, _ = fmt.Fprintf(&m, "%s /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Tenant-Id: nordkyst-salg\r\n%s", method, class, id, class, headers)
	switch {
	case chunked:
		_, _ = fmt.Fprintf(&m, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case len(body) > 0:
		_, _ = fmt.Fprintf(&m, "Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		m.WriteString("\r\n")
	}
	return m.Bytes()
}

// exchange sends a request on a connection and reads its answer; the status is 0 if there was none.
func (r *reframedRun) exchange(conn net.Conn, in *bufio.Reader, message []byte) (status int, closes bool) {
	written := make(chan struct{})
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second)) // a failure shows when the connection is used
	go func() {
		defer close(written)
		_, _ = conn.Write(message) // a failure shows when the answer is read
	}()
	response, err := http.ReadResponse(in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		_ = conn.Close() // ends the write too
		<-written
		return 0, true
	}
	<-written
	return response.StatusCode, response.Close
}

// client sends a long body, and on the same connection a body whose text is a message in chunks with another request
// behind it, as an archive of HTTP traffic would hold.
func (r *reframedRun) client(n int) {
	random := rand.New(rand.NewPCG(uint64(n), 2))
	for round := 0; !r.isStopped(); round++ {
		conn, err := net.Dial("tcp", r.address)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		in := bufio.NewReader(conn)
		name := fmt.Sprintf("c%d-%d", n, round)
		headers := "X-Timeout: 4.0\r\nIdempotency-Key: key-" + name
		long := r.long[:12_500_000+random.IntN(4_000_000)]
		text := fmt.Sprintf("1\r\nA\r\n0\r\n\r\nGET /hent-manus HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s-%s\r\n"+
			"X-Priority-Class: hent-manus\r\nX-Timeout: 3.2\r\n\r\n", innerID, name)
		text += strings.Repeat("z", longestText/2+random.IntN(longestText/2))
		next := r.request(name+"-text", "lagre-utfall", headers+"-text\r\n", []byte(text), true)
		first, closes := r.exchange(conn, in, r.request(name+"-long", "lagre-utfall", headers+"-long\r\n", long, false))
		second := "none"
		if first != 0 && !closes {
			status, _ := r.exchange(conn, in, next)
			second = fmt.Sprint(status)
		}
		r.mu.Lock()
		r.answers[fmt.Sprintf("%d then %s", first, second)]++
		r.mu.Unlock()
		_ = conn.Close() // nothing is under way on it
	}
}

// runReframed has clients send two requests one after the other on a connection. With the disruption, the servers reset
// their connections under the first ones, so that the sidecar turns these back.
func runReframed(c *caseRun) (held bool, why string) {
	r := &reframedRun{
		caseRun: c, long: bytes.Repeat([]byte("y"), 16_500_000), stopped: make(chan struct{}), sent: map[string][32]byte{}, answers: map[string]int{},
	}
	list := catalog{Revision: 1, All: true}
	for n := range 2 {
		list.Targets = append(list.Targets, ready(fmt.Sprint("s-", n), r.serve(), "oslo-nord", 1))
	}
	r.address = freeAddress()
	sidecar := c.startSidecar("n1", c.platformConfig("n1", r.address, serveDiscovery(list), oslo(), list))
	awaitHealthy(r.address, sidecar)
	var clients sync.WaitGroup
	for n := range reframedClients {
		clients.Go(func() { r.client(n) })
	}
	time.Sleep(reframedTime)
	close(r.stopped)
	clients.Wait()
	c.copyLog(sidecar)
	c.note("answers to pairs of requests, by status: %v; requests that servers got: %d", r.answers, r.came)
	if len(r.breach) > 0 {
		return false, fmt.Sprintf("broken: of %d requests that servers got, %d had ids that no client sent, and %d had "+
			"bodies that no client sent; the first: %s", r.came, r.unsent, r.altered, r.breach[0])
	}
	if r.came < 100 {
		cannot("servers got only %d requests", r.came)
	}
	return true, fmt.Sprintf("held: servers got %d requests, each as a client sent it", r.came)
}
