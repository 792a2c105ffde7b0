package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// CrowdKind is how the clients of a crowd behave.
type CrowdKind string

// The kinds of crowds. Those marked as sound have a claim to an answer.
const (
	SlowWriters  CrowdKind = "slow-writers"  // sound: long bodies at a low rate
	SlowReaders  CrowdKind = "slow-readers"  // sound: long responses, read at a low rate
	HalfSenders  CrowdKind = "half-senders"  // stop half way through a long request and stay
	ManyFields   CrowdKind = "many-fields"   // heads of very many short fields
	NonReaders   CrowdKind = "non-readers"   // ask for long responses and read nothing
	Silent       CrowdKind = "silent"        // connect and send nothing
	FloodReady   CrowdKind = "flood-ready"   // health checks at full speed on one connection
	FloodLocal   CrowdKind = "flood-local"   // the other paths that a sidecar serves itself, at full speed
	FloodUnsound CrowdKind = "flood-unsound" // what cannot be read, at full speed
	FloodNames   CrowdKind = "flood-names"   // ever new classes, tenants, keys and ids, at full speed
	FloodChunks  CrowdKind = "flood-chunks"  // bodies of one-byte chunks, at full speed
	Quitters     CrowdKind = "quitters"      // send many requests at once and close
	SameID       CrowdKind = "same-id"       // leave, and send the same id again
	// soundRate is the rate of slow clients and servers in bytes per second; 64 kB a second is the least that is sound.
	soundRate     = 70_000
	reconnectWait = 20 * time.Millisecond
	badAnswerWait = 4 * time.Second // an error or a close is owed within 3 s
)

// Crowd is a group of clients that connect to each sidecar for a part of the run.
type Crowd struct {
	Kind   CrowdKind
	Count  int // for each sidecar
	From   time.Duration
	Length time.Duration
}

// play runs the crowd's clients at one sidecar until its time is over.
func (c *Crowd) play(ctx context.Context, r *Run, s *sidecar) {
	sleep(ctx, c.From)
	ctx, cancel := context.WithTimeout(ctx, c.Length)
	defer cancel()
	for n := range c.Count {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(n)<<8+uint64(len(c.Kind))))
		r.tasks.Go(func() {
			for ctx.Err() == nil {
				c.playOnce(ctx, r, s, random)
				sleep(ctx, reconnectWait)
			}
		})
		sleep(ctx, time.Millisecond)
	}
	<-ctx.Done()
}

func (c *Crowd) playOnce(ctx context.Context, r *Run, s *sidecar, random *rand.Rand) {
	switch c.Kind {
	case SlowWriters:
		client := &client{run: r, sidecar: s, random: random, writeRate: soundRate}
		defer client.disconnect()
		request := r.newRequest(s, random)
		request.class = r.classes[4-random.IntN(4)]
		request.bodySize = 100<<10 + random.IntN(200<<10)
		client.send(request, random.IntN(2) == 0, 0)
	case SlowReaders:
		client := &client{run: r, sidecar: s, random: random, readRate: soundRate}
		defer client.disconnect()
		request := r.newRequest(s, random)
		request.wants.Size = 100<<10 + random.IntN(400<<10)
		request.wants.Framing = [...]framing{sizedFraming, chunkedFraming}[random.IntN(2)]
		client.send(request, false, 0)
	case SameID:
		c.playSameID(ctx, r, s, random)
	case Quitters:
		c.playQuitter(r, s, random)
	case FloodReady, FloodLocal, FloodUnsound, FloodNames, FloodChunks:
		c.playFlood(ctx, s, random)
	default:
		c.playStuck(ctx, r, s, random)
	}
}

// playStuck opens a connection that the client does not use as it should, and holds it until it ends. A client that
// sends a part of a request or nothing is owed an error or a close.
func (c *Crowd) playStuck(ctx context.Context, r *Run, s *sidecar, random *rand.Rand) {
	conn := dial(s)
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }() // nothing more is expected on it
	request := r.newRequest(s, random)
	request.bad = true
	switch c.Kind {
	case HalfSenders:
		request.class = r.classes[4-random.IntN(4)]
		request.bodySize = 200<<10 + random.IntN(2<<20)
		c.register(r, request)
		_, _ = io.WriteString(conn, request.message(false)+strings.Repeat("b", request.bodySize/2))
	case ManyFields:
		c.register(r, request)
		head := strings.TrimSuffix(request.message(false), "\r\n")
		fields := strings.Repeat("a:b\r\n", 2500)
		if random.IntN(2) == 0 { // a list of many names whose fields are for one connection only
			fields = "Connection: " + strings.Repeat("a,", 4000) + "b\r\n" + strings.Repeat("c:d\r\n", 1200)
		}
		_, _ = io.WriteString(conn, head+fields+"\r\n")
	case NonReaders:
		request.wants.Size = 300 << 10
		c.register(r, request)
		_, _ = io.WriteString(conn, request.message(false))
		sleep(ctx, badAnswerWait)
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(badAnswerWait))
	_, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
		r.judge.violate(RuleLost, "a client of kind %s got neither an error nor a close from %s within %v",
			c.Kind, s.name, badAnswerWait)
	}
}

// register registers the request of a client that misbehaves.
func (c *Crowd) register(r *Run, request *request) {
	r.judge.add(request)
	r.judge.update(func() { request.result = misbehavedResult })
}

// playFlood sends small messages at full speed on one connection.
func (c *Crowd) playFlood(ctx context.Context, s *sidecar, random *rand.Rand) {
	conn := dial(s)
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }() // nothing more is expected on it
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	for ctx.Err() == nil {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := io.WriteString(conn, c.floodText(random)); err != nil {
			return
		}
	}
}

// floodText returns what a flooding client sends at once.
func (c *Crowd) floodText(random *rand.Rand) string {
	const host = " HTTP/1.1\r\nHost: o\r\n"
	switch c.Kind {
	case FloodReady:
		return strings.Repeat("GET /_health"+host+"\r\n", 200)
	case FloodLocal:
		return strings.Repeat("GET /_servers"+host+"\r\nGET /_counters"+host+"\r\n", 100)
	case FloodNames:
		name := fmt.Sprintf("%x", random.Uint64())
		return fmt.Sprintf("GET /%s%sX-Request-ID: %s\r\nX-Tenant-Id: %s\r\nX-Route-Key: %s\r\nX-Timeout: 1\r\n\r\n",
			name, host, name, name, name)
	case FloodChunks:
		return "POST /order" + host + "X-Request-ID: c\r\nX-Timeout: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("1\r\nx\r\n", 60000) + "1\r\nx\r\nz"
	}
	return "GET\x01/ nonsense\r\n\r\n" + strings.Repeat("\x00\xff", 100)
}

// playQuitter writes many requests on one connection and closes it with most of them unread.
func (c *Crowd) playQuitter(r *Run, s *sidecar, random *rand.Rand) {
	conn := dial(s)
	if conn == nil {
		return
	}
	var text strings.Builder
	var all []*request
	for range 200 {
		request := r.newRequest(s, random)
		request.class = r.classes[4]
		request.bodySize = 2000
		request.bad = true
		request.wants.Work = time.Duration(random.IntN(40)) * time.Millisecond
		r.judge.add(request)
		all = append(all, request)
		text.WriteString(request.message(false) + strings.Repeat("b", request.bodySize))
	}
	_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	_, _ = io.WriteString(conn, text.String()) // as much as fits
	time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	_ = conn.Close()
	r.judge.update(func() {
		for _, request := range all {
			request.result = leftResult
			request.leftAt = time.Now()
		}
	})
}

// playSameID sends a request that must not run twice, leaves, and sends it again under the same id.
func (c *Crowd) playSameID(ctx context.Context, r *Run, s *sidecar, random *rand.Rand) {
	request := r.newRequest(s, random)
	request.class = r.classes[1+random.IntN(4)]
	request.bad = true
	request.wants.Work = 100 * time.Millisecond
	request.wants.Ending = completeEnding
	r.judge.add(request)
	r.judge.update(func() { request.result = leftResult })
	for range 2 {
		conn := dial(s)
		if conn == nil {
			return
		}
		_, _ = io.WriteString(conn, request.message(false)+strings.Repeat("b", request.bodySize))
		r.judge.update(func() { request.sentAt = time.Now() })
		sleep(ctx, time.Duration(random.IntN(150))*time.Millisecond)
		_ = conn.Close()
	}
	sleep(ctx, 200*time.Millisecond)
}

// dial connects to a sidecar, or returns nil if that fails or it takes no new connections.
func dial(s *sidecar) net.Conn {
	if !s.accepts() {
		return nil
	}
	conn, err := net.DialTimeout("tcp", s.address, dialTimeout)
	if err != nil {
		return nil
	}
	return conn
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
