package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// class is an offering as a client sends it.
type class struct {
	name    string
	method  string
	keyed   bool
	timeout time.Duration
}

var (
	hentManus   = class{"hent-manus", "GET", false, 2 * time.Second}
	lagreUtfall = class{"lagre-utfall", "POST", true, 2500 * time.Millisecond}
)

var ids atomic.Int64

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()^uint64(ids.Add(1))) }

// result is what a client saw of a request.
type result struct {
	id     string
	class  string
	sentAt time.Time
	status int // 0: no whole answer
	body   string
	after  time.Duration
	err    error
	reset  bool // a kept connection ended before any byte of an answer
}

// client sends one request at a time and keeps its connection.
type client struct {
	s       *scene
	address string
	conn    net.Conn
	in      *bufio.Reader
	used    bool
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// message returns a request of a class.
func message(k class, id string) string {
	extra := ""
	body := ""
	if k.method == "POST" {
		body = "outcome of " + id
		extra = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if k.keyed {
		extra += "Idempotency-Key: k" + id + "\r\n"
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Tenant-Id: nordkyst-salg\r\nX-Route-Key: call-%d\r\nX-Timeout: %.3f\r\n%s\r\n%s",
		k.method, k.name, id, k.name, rand.IntN(200), k.timeout.Seconds(), extra, body)
}

// send sends one request. If a kept connection has ended before anything was answered, it is sent once more on a new one.
func (c *client) send(k class) result {
	id := newID()
	for {
		reused := c.conn != nil && c.used
		if c.conn == nil {
			conn, err := net.DialTimeout("tcp", c.address, time.Second)
			if err != nil {
				return result{id: id, class: k.name, sentAt: time.Now(), err: err}
			}
			c.conn, c.in, c.used = conn, bufio.NewReader(conn), false
		}
		r := c.exchange(k, id)
		if r.reset && reused {
			continue
		}
		return r
	}
}

func (c *client) exchange(k class, id string) result {
	r := result{id: id, class: k.name, sentAt: time.Now()}
	c.used = true
	_ = c.conn.SetDeadline(time.Now().Add(k.timeout + 600*time.Millisecond))
	if _, r.err = io.WriteString(c.conn, message(k, id)); r.err != nil {
		r.reset = true
		c.drop()
		return r
	}
	if _, err := c.in.Peek(1); err != nil {
		r.err = err
		var timeout net.Error
		r.reset = !(asTimeout(err, &timeout) && timeout.Timeout())
		r.after = time.Since(r.sentAt)
		c.drop()
		return r
	}
	answer, err := http.ReadResponse(c.in, &http.Request{Method: k.method})
	if err != nil {
		r.err = err
		c.drop()
		return r
	}
	body, err := io.ReadAll(answer.Body)
	r.after = time.Since(r.sentAt)
	if err != nil {
		r.err = err
		c.drop()
		return r
	}
	r.status, r.body = answer.StatusCode, string(body)
	if answer.Close {
		c.drop()
	}
	return r
}

func asTimeout(err error, into *net.Error) bool {
	e, ok := err.(net.Error)
	if ok {
		*into = e
	}
	return ok
}

// crowd is a number of clients that send requests at a common rate until it is stopped.
type crowd struct {
	stop    chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	results []result
}

// startCrowd starts clients that send in turn; the pause between two requests of one client is drawn.
func startCrowd(s *scene, address string, clients int, pause time.Duration, classes ...class) *crowd {
	c := &crowd{stop: make(chan struct{})}
	for n := range clients {
		c.running.Go(func() {
			one := &client{s: s, address: address}
			defer one.drop()
			time.Sleep(time.Duration(n) * pause / time.Duration(clients))
			for {
				r := one.send(classes[rand.IntN(len(classes))])
				s.logAt(r.sentAt, "client %d: %s %s: status %d after %dms, %d bytes, %.40q, error %v", n, r.class, r.id, r.status,
					r.after.Milliseconds(), len(r.body), r.body, r.err)
				c.mu.Lock()
				c.results = append(c.results, r)
				c.mu.Unlock()
				select {
				case <-c.stop:
					return
				case <-time.After(pause/2 + rand.N(pause)):
				}
			}
		})
	}
	return c
}

// end stops the clients, and returns what they saw.
func (c *crowd) end() []result {
	close(c.stop)
	c.running.Wait()
	return c.results
}

// served counts the whole 200 answers.
func served(results []result) int {
	n := 0
	for _, r := range results {
		if r.status == 200 {
			n++
		}
	}
	return n
}

// waitHealthy waits until a sidecar answers 200 at /_health.
func waitHealthy(address string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answer, err := http.Get("http://" + address + "/_health")
		if err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == 200 {
				return true
			}
		}
	}
	return false
}
