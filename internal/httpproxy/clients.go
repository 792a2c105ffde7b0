package httpproxy

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

const (
	headTimeout        = 2600 * policy.Millisecond // for a head to come whole: the first from connecting on, others once begun
	bodyTimeout        = 1500 * policy.Millisecond // for a body to begin to come, and
	minBodyRate        = 16 << 10                  // what must come of it in each second from then on
	idleCloseAfter     = 2 * policy.Second         // idle: a request may be on its way on one idle for less
	unusedCloseAfter   = 100 * policy.Millisecond  // the same where none has come yet: a client that connects has one to send
	roomCheckInterval  = 20 * policy.Millisecond   // between looks for connections to close while there are too many
	flushCheckInterval = 10 * policy.Millisecond   // between looks whether a last answer is out
	lingerTime         = 300 * policy.Millisecond  // for the client of a refused request to read why
	flushTimeout       = 2 * policy.Second         // for a client to take something of its answer, before it is closed
)

func (s *Proxy) clientConnected(now policy.Time, c *connstate.Conn) {
	c.Connected, c.IdleSince = true, now
	c.Timer.Run = func(now policy.Time) { s.clientTimerDue(now, c) }
	// Whoever connects and says nothing, or only a part, must not hold a place for long.
	s.Timers.Set(&c.Timer, now+headTimeout)
	s.conns.Add(c)
	s.Counters.ClientConns++
	s.makeRoom(now)
}

// makeRoom closes connections of clients that have no request open, those first that never had one. Where none can be
// closed yet, each answer ends its connection.
func (s *Proxy) makeRoom(now policy.Time) {
	s.noRoom = false
	for s.conns.OverLimit(connstate.ClientSide) && !s.noRoom {
		if s.closeOldestIdle(connstate.ClientSide, 0, now-unusedCloseAfter) || s.closeOldestIdle(connstate.ClientSide, now-idleCloseAfter, 0) {
			s.Counters.ClientConnsBroken++
			continue
		}
		s.noRoom = true
		s.Timers.Set(&s.roomTimer, now+roomCheckInterval)
	}
}

// readRequests takes the next request that is in whole. at: when its last byte came.
func (s *Proxy) readRequests(now, at policy.Time, c *connstate.Conn) {
	for c.Input.Buffer != nil && c.Request == nil && !c.Output.CloseWhenFlushed && !c.Closing && !c.Input.PeerClosed.Load() && s.lastResponseTaken(now, c) {
		if len(c.Input.Buffer.B) < c.Input.Needed && !s.buffers.Full() {
			s.setBodyTimer(c)
			return
		}
		if skipLines(c.Input.Buffer); len(c.Input.Buffer.B) == 0 {
			s.buffers.Put(c.Input.Buffer)
			c.Input.Buffer = nil
			return
		}
		n, a, body, fault := parseRequest(c.Input.Buffer.B, maxBody)
		switch {
		case fault == 413 && a.bodySize <= maxStreamedBody:
			s.beginUpload(now, at, c, a)
			return
		case fault != 0:
			s.refuse(now, c, fault, "the request cannot be read\n")
			return
		case n == 0 && s.buffers.Full():
			// Requests that come in pieces must not fill the memory from outside of all that is admitted.
			s.rejectForMemory(now, c)
			return
		case n == 0:
			s.awaitRest(now, c)
			if !c.Upload.ContinueSent && expectsContinue(c.Input.Buffer.B) {
				c.Upload.ContinueSent = true
				s.write(c, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			return
		}
		s.Timers.Stop(&c.Timer)
		s.conns.MarkBusy(c)
		c.Upload.ContinueSent, c.Input.HeadAt, c.Input.Needed = false, 0, 0
		request := c.Input.Buffer
		c.Input.Buffer = nil
		if len(request.B) > n {
			c.Input.Buffer = s.buffers.Get(len(request.B) - n)
			c.Input.Buffer.B = append(c.Input.Buffer.B, request.B[n:]...)
		}
		s.handleRequest(now, at, c, request, a, body)
	}
	if c.Input.Buffer != nil && len(c.Input.Buffer.B) > connstate.LargeBuffer && (c.Request != nil || !c.Flushed()) {
		s.closeConn(c) // it goes on sending without waiting for answers
	}
}

// awaitRest sets by when more of a request must have come. Clients may be slow, but those that say nothing must not hold a place.
func (s *Proxy) awaitRest(now policy.Time, c *connstate.Conn) {
	_, head, at := splitHead(c.Input.Buffer.B)
	switch {
	case at > 0 && c.Input.HeadAt == 0:
		c.Input.HeadAt, c.Input.Needed = now, 0
		if size, _, _, _ := parseFraming(head, true); size >= 0 {
			c.Input.Needed = at + size
		}
		fallthrough
	case at > 0:
		s.setBodyTimer(c)
	case !c.Timer.Active() || c.Resting:
		s.Timers.Set(&c.Timer, now+headTimeout)
	}
	s.conns.MarkBusy(c)
}

func (s *Proxy) setBodyTimer(c *connstate.Conn) {
	s.Timers.Set(&c.Timer, c.Input.HeadAt+bodyTimeout+policy.Time(len(c.Input.Buffer.B))*policy.Second/minBodyRate)
}

// lastResponseTaken tells whether the client has taken its last answer. Until it has, its next request waits: answers that nobody reads
// must not pile up. clientDue looks again.
func (s *Proxy) lastResponseTaken(now policy.Time, c *connstate.Conn) bool {
	c.Output.AwaitingFlush = !c.Flushed()
	if c.Output.AwaitingFlush {
		s.Timers.Set(&c.Timer, now+flushCheckInterval)
	}
	return !c.Output.AwaitingFlush
}

// handleRequest admits a request that has come whole, or answers it.
func (s *Proxy) handleRequest(now, at policy.Time, c *connstate.Conn, buf *connstate.Buffer, a requestHead, body []byte) {
	method, target, head, last := a.method, a.target, a.headers, a.closeAfter
	if strings.HasPrefix(asString(target), "/_") && s.serveLocal(now, c, target, last) {
		s.buffers.Put(buf)
		return
	}
	offering, known := s.classes[string(className(target, head))]
	if !known && s.defaultClass != policy.NoClass && headerValue(head, "X-Priority-Class") == nil {
		offering, known = s.defaultClass, true
	}
	left, timed := s.timeLeft(offering, headerValue(head, "X-Timeout"))
	id := headerValue(head, "X-Request-ID")
	named, mark := len(id) > 0, xxhash.Sum64(id)
	refuse := func(status int, why string) {
		if known {
			s.Count(offering, engine.Failed)
		}
		c.Upload.State = connstate.NoUpload
		s.refuse(now, c, status, why)
		s.buffers.Put(buf)
	}
	switch string(method) {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS":
	default:
		refuse(400, "this method is not served\n")
		return
	}
	switch {
	case !known:
		refuse(404, "no such offering\n")
		return
	case !named && !s.config.Anonymous || !timed:
		refuse(400, "X-Request-ID or X-Timeout is missing\n")
		return
	case hasAmbiguousID(head):
		refuse(400, "X-Request-ID or Idempotency-Key is given twice, or for this connection only\n")
		return
	case named && s.requests.Find(mark) != nil && bytes.Equal(headerValue(s.requests.Find(mark).Head, "X-Request-ID"), id):
		// Whoever uses another's id may mean its request, or get its answer.
		refuse(409, "a request with this X-Request-ID is in hand\n")
		return
	case s.config.Settings.Classes[offering].Idempotency == policy.Keyed && headerValue(head, "Idempotency-Key") == nil:
		refuse(400, "Idempotency-Key is missing\n")
		return
	case s.buffers.Full():
		// Out of memory: an answer costs nothing, the request might cost the process. Nothing has been attempted, so coming
		// again is harmless.
		s.Count(offering, engine.Rejected)
		s.buffers.Put(buf)
		s.rejectForMemory(now, c)
		return
	}
	franchise, known := s.tenants[string(headerValue(head, "X-Tenant-Id"))]
	if !known {
		franchise = policy.NoTenant
	}
	t := connstate.AsRequest(s.NewRequest(s.frontIndex))
	t.Client, t.Received, t.Method, t.Target, t.Head, t.Body, t.CloseAfter = c, buf, method, target, head, body, last
	t.Response.NoBody = string(method) == "HEAD"
	t.HTTP10, t.ClientTimeLeft = a.http10, left
	t.Upload.Active, t.Upload.Size = c.Upload.State == connstate.StreamingUpload, a.bodySize
	c.Request = t
	if named {
		s.requests.Add(t, mark)
	}
	if s.TracesRequests() {
		s.RulesLog().WithField("id", string(id)).Debug(engine.LogRequestAdmitted)
	}
	s.Admit(now, at, t.Request, offering, franchise, asString(headerValue(head, "X-Route-Key")), string(headerValue(head, "X-Retried")) == "1", left)
	if t.Upload.Active {
		s.BodyBegun(t.Request)
	}
}

// timeLeft is how long the client of a request waits: as it says, and at most for as long as its class allows, where that is
// set.
func (s *Proxy) timeLeft(o policy.ClassID, says []byte) (policy.Time, bool) {
	left, timed := parseSeconds(says)
	if s.config.Deadlines == nil {
		return left, timed
	}
	if says == nil {
		return s.config.Deadlines[o], true
	}
	return min(left, s.config.Deadlines[o]), timed
}

// rejectForMemory answers a request for which there is no room.
func (s *Proxy) rejectForMemory(now policy.Time, c *connstate.Conn) {
	s.Counters.Overflowed++
	s.respond(now, c, 503, "out of room\n", 0, true)
}

// serveLocal answers what is asked of the instance itself.
func (s *Proxy) serveLocal(now policy.Time, c *connstate.Conn, target []byte, last bool) bool {
	switch string(target) {
	case "/_health":
		if heard, _ := s.ListStatus(); heard {
			s.respond(now, c, 200, "ready\n", 0, last)
		} else {
			s.respond(now, c, 503, "no list of servers yet\n", 0, last)
		}
	case "/_counters":
		s.respond(now, c, 200, s.report(), 0, last)
	case "/_servers":
		s.respond(now, c, 200, s.endpointList(), 0, last)
	default:
		return false
	}
	return true
}

// endpointList is the list as it stands, with the ids under which the module speaks of endpoints.
func (s *Proxy) endpointList() string {
	var lines []string
	for id, one := range s.Endpoints {
		standing := "ready"
		if one.Draining {
			standing = "leaving"
		}
		lines = append(lines, fmt.Sprintf("%s id %d at %s in %s %s, %d connections idle\n", one.UID, id, one.Addr, one.Zone,
			standing, len(s.endpointConns(one).Idle)))
	}
	slices.Sort(lines)
	if _, refused := s.ListStatus(); refused != "" {
		lines = append([]string{"list refused, the last good one stays: " + refused + "\n"}, lines...)
	}
	return strings.Join(lines, "")
}

// refuse answers what cannot be served, and ends the connection: where the next request begins is not known.
func (s *Proxy) refuse(now policy.Time, c *connstate.Conn, status int, why string) {
	s.Counters.BadRequests++
	s.respond(now, c, status, why, 0, true)
	s.Timers.Set(&c.Timer, now+lingerTime)
}

// respond sends an answer that no endpoint made.
func (s *Proxy) respond(now policy.Time, c *connstate.Conn, status int, body string, retryIn policy.Time, last bool) {
	last = last || s.closesAfterResponse()
	s.scratch = appendLocalResponse(s.scratch[:0], status, body, retryIn, last)
	s.write(c, s.scratch)
	s.responseSent(now, c, last)
}

// closesAfterResponse tells whether a client's connection ends with its next answer. When room is short that is the one moment at which
// no request can be on its way.
func (s *Proxy) closesAfterResponse() bool {
	_, leaving := s.ShuttingDown()
	return leaving || s.noRoom || s.conns.RestingCount > s.conns.ExcessResting
}

// responseSent lets a client's connection go on to its next request, or closes it once the answer is out.
func (s *Proxy) responseSent(now policy.Time, c *connstate.Conn, last bool) {
	c.Request, c.IdleSince, c.Used, c.Progress.At = nil, now, true, 0
	switch {
	case c.Upload.State == connstate.StreamingUpload:
		// Its sender goes on with a body that nobody needs any more, and may read the answer only after that.
		c.Upload.CloseAfter = last
		s.resumeReading(c)
	case last:
		c.Output.CloseWhenFlushed = true
		c.Socket.DiscardInput()
		s.buffers.Put(c.Input.Buffer)
		c.Input.Buffer = nil
		s.Timers.Set(&c.Timer, now)
	case c.Input.Buffer != nil:
		s.ready = append(s.ready, c)
	default:
		s.conns.MarkResting(c)
		s.Timers.Set(&c.Timer, now+idleCloseAfter)
	}
}

// clientTimerDue is the one timer of a client's connection: for a request to come whole, then for the last answer to go.
func (s *Proxy) clientTimerDue(now policy.Time, c *connstate.Conn) {
	switch {
	case c.Closing:
	case c.Upload.State != connstate.NoUpload:
		s.checkUpload(now, c)
	case !c.Output.CloseWhenFlushed && !c.Flushed() && c.Progressed(now, c.Output.Written.Load(), flushTimeout):
		s.Timers.Set(&c.Timer, now+flushCheckInterval)
	case !c.Output.CloseWhenFlushed && !c.Flushed():
		s.closeConn(c) // it takes no answers
	case !c.Output.CloseWhenFlushed && c.Output.AwaitingFlush && c.Input.Buffer != nil:
		s.readRequests(now, now, c)
	case !c.Output.CloseWhenFlushed && c.Resting:
		// Clients that ask once and stay hold places that others of theirs wait for.
		if 2*s.conns.RestingCount > s.conns.ExcessResting && c.Socket.CloseIfIdle(c) {
			s.conns.CountEnd(c)
			s.Counters.ClientConnsBroken++
		} else {
			s.Timers.Set(&c.Timer, now+idleCloseAfter/8)
		}
	case !c.Output.CloseWhenFlushed && c.Input.Buffer == nil:
		// Silent since it came. Nothing is lost by its end, unless something is coming in just now.
		if c.Socket.CloseIfIdle(c) {
			s.conns.CountEnd(c)
			s.Counters.ClientsSilent++
		} else {
			s.Timers.Set(&c.Timer, now+flushCheckInterval)
		}
	case !c.Output.CloseWhenFlushed:
		s.refuse(now, c, 408, "the request came too slowly\n")
	case c.Flushed() || !c.Progressed(now, c.Output.Written.Load(), flushTimeout):
		s.closeConn(c)
	default:
		s.Timers.Set(&c.Timer, now+flushCheckInterval)
	}
}

// clientLeft is told that the client's connection is gone, and so its request over.
func (s *Proxy) clientLeft(now policy.Time, c *connstate.Conn) {
	t := c.Request
	if t == nil {
		return
	}
	if t.Response.Streaming {
		s.breakStream(now, t)
		return
	}
	s.abandonRequest(now, c, t)
}

// abandonRequest ends a request whose client is gone, or has not sent it whole.
func (s *Proxy) abandonRequest(now policy.Time, c *connstate.Conn, t *connstate.Request) {
	c.Request, t.Client = nil, nil
	s.requests.Remove(t)
	s.ClientLeft(now, t.Request)
	if (t.AttemptConn != nil || t.RestTimer.Active()) && s.abortUnwritten(t) {
		// What is missing of its body never comes; and an attempt that no endpoint has whole is none yet, so ending it is allowed also where
		// attempts may not be cancelled.
		s.endAttempt(now, t, policy.Cancelled, false)
	}
}

// skipLines leaves out empty lines before a request, as some clients send them behind a body.
func skipLines(in *connstate.Buffer) {
	n := 0
	for n+1 < len(in.B) && n < 8 && in.B[n] == '\r' && in.B[n+1] == '\n' {
		n += 2
	}
	if n > 0 {
		in.B = in.B[:copy(in.B, in.B[n:])]
	}
}
