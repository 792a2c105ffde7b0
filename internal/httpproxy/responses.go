package httpproxy

import (
	"net/http"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// localResponse is a response that the instance makes itself.
type localResponse struct {
	status     int
	body       string
	retryAfter policy.Time // value of the Retry-After header; 0 if the response has no such header
}

// detachClient separates the client from a request that is being answered. It returns the client connection, or nil if
// the client has disconnected.
func (p *Proxy) detachClient(now policy.Time, r *connstate.Request, answer int) *connstate.Conn {
	c := r.Client
	r.Client = nil
	p.requests.Remove(r)
	if c == nil || c.Closing {
		if c != nil {
			c.Request = nil // the request may be reused before the poller reports the end of this connection
		}
		p.Counters.Unsent++
		p.Unanswered(r.Request)
		return nil
	}
	p.Answered(now, r.Request, answer)
	return c
}

// detachClientForResponse detaches the client for the response of an endpoint, and counts it as succeeded or declined.
func (p *Proxy) detachClientForResponse(now policy.Time, r *connstate.Request) *connstate.Conn {
	answer := engine.AnswerSucceeded
	counter := &p.Counters.Succeeded
	if r.Response.Status != http.StatusOK {
		answer = engine.AnswerDeclined
		counter = &p.Counters.Declined
	}
	c := p.detachClient(now, r, answer)
	if c != nil {
		*counter++
	}
	return c
}

// Succeed forwards the response of an endpoint, which may also be one that declines the request.
func (p *Proxy) Succeed(now policy.Time, request *engine.Request) {
	r := connstate.AsRequest(request)
	c := p.detachClientForResponse(now, r)
	if c == nil {
		return
	}
	response := &r.Response
	// If the endpoint has declined the request, further input from the client is not processed.
	closing := r.CloseAfter || p.closesAfterResponse() || response.Status != http.StatusOK
	p.scratch = appendResponseHead(p.scratch[:0], response.Status, response.Head, len(response.Body), closing)
	if len(response.Body) <= connstate.SmallBuffer {
		p.scratch = append(p.scratch, response.Body...)
		p.write(c, p.scratch)
	} else {
		p.write(c, p.scratch)
		p.write(c, response.Body)
	}
	p.responseSent(now, c, closing)
}

// Reject answers a request that the decision module has rejected.
func (p *Proxy) Reject(now policy.Time, request *engine.Request, retryAfter policy.Time) {
	r := connstate.AsRequest(request)
	p.noteEnd(r, "request rejected")
	if c := p.detachClient(now, r, engine.AnswerRejected); c != nil {
		p.Counters.Rejected++
		r.Rejected = true
		response := localResponse{http.StatusServiceUnavailable, "turned back\n", retryAfter}
		p.respond(now, c, response, r.CloseAfter)
	}
	p.endUnwritten(now, r)
}

// Fail answers a request that the decision module has given up as failed.
func (p *Proxy) Fail(now policy.Time, request *engine.Request) {
	r := connstate.AsRequest(request)
	p.noteEnd(r, "request failed")
	if c := p.detachClient(now, r, engine.AnswerFailed); c != nil {
		p.Counters.Failed++
		p.respond(now, c, localResponse{status: http.StatusBadGateway, body: "given up\n"}, r.CloseAfter)
	}
	p.endUnwritten(now, r)
}

// rejectForMemory answers a request for which there is not enough memory.
func (p *Proxy) rejectForMemory(now policy.Time, c *connstate.Conn) {
	p.Counters.Overflowed++
	p.noteRefusal(c, outOfMemory)
	p.respond(now, c, localResponse{status: http.StatusServiceUnavailable, body: "out of room\n"}, true)
}

// refuse answers a request that cannot be served, and closes the connection, as the start of the next request is
// unknown.
func (p *Proxy) refuse(now policy.Time, c *connstate.Conn, refused refusal) {
	p.Counters.MalformedRequests++
	p.noteRefusal(c, refused.reason)
	c.CloseAt = now + lingerTime
	p.respond(now, c, localResponse{status: refused.status, body: refused.text}, true)
	p.Timers.Set(&c.Timer, c.CloseAt)
}

// respond sends a response that the instance makes itself.
func (p *Proxy) respond(now policy.Time, c *connstate.Conn, response localResponse, closing bool) {
	closing = closing || p.closesAfterResponse()
	p.scratch = appendLocalResponse(p.scratch[:0], response.status, response.body, response.retryAfter, closing)
	p.write(c, p.scratch)
	p.responseSent(now, c, closing)
}

// closesAfterResponse reports whether client connections are closed after their next response: during a shutdown, and
// while too many are open or idle. At any other moment the next request could already be on its way.
func (p *Proxy) closesAfterResponse() bool {
	_, shuttingDown := p.ShuttingDown()
	return shuttingDown || p.overClientLimit || p.conns.IdleClients > p.conns.MaxIdleClients
}

// responseSent prepares a client connection for its next request, or has it closed once the response is written.
func (p *Proxy) responseSent(now policy.Time, c *connstate.Conn, closing bool) {
	c.Request = nil
	c.IdleSince = now
	c.Used = true
	c.Progress.At = 0
	switch {
	case c.Upload.State == connstate.StreamingUpload:
		// The client is still sending a body that is no longer needed, and may not read the response before the end
		// of that body.
		c.Upload.CloseAfter = closing
		p.resumeReading(c)
	case closing:
		c.Output.CloseWhenFlushed = true
		c.Socket.DiscardInput()
		p.buffers.Put(c.Input.Buffer)
		c.Input.Buffer = nil
		p.Timers.Set(&c.Timer, now)
		p.await(c)
	default:
		p.awaitNextRequest(now, c)
	}
}
