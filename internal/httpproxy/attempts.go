package httpproxy

import (
	"github.com/sirupsen/logrus"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Send begins an attempt, on an idle connection to the endpoint or on a new one.
func (p *Proxy) Send(now policy.Time, request *engine.Request, to *engine.Endpoint) {
	r := connstate.AsRequest(request)
	endpoint := p.endpointConns(to)
	if r.Upload.Active {
		p.Timers.Stop(&r.AttemptTimer) // the timeout of the attempt starts when the body is complete
	}
	if r.Upload.Forwarded {
		// A part of the body was forwarded with an earlier attempt and is no longer in memory.
		p.AttemptEnded(now, request, policy.NotSent)
		return
	}
	if c := p.takeIdle(now, endpoint); c != nil {
		p.Counters.Reused++
		r.AttemptConn = c
		c.Request = r
		p.beginAttempt(now, r)
		return
	}
	if p.waitForReusable(now, r, endpoint) {
		return
	}
	full := p.conns.Count(connstate.EndpointSide) >= p.conns.Limit[connstate.EndpointSide]
	if full && !p.closeOldestIdle(connstate.EndpointSide, now, now) {
		// Every descriptor is in use by an attempt. Nothing was sent, and the endpoint is not at fault.
		p.AttemptEnded(now, request, policy.NotSent)
		return
	}
	p.dialFor(r, endpoint)
}

// writeRequest writes the request to the connection of its attempt. It is called once per attempt: after a failure no
// part of the request is sent again, except by a new attempt.
func (p *Proxy) writeRequest(now policy.Time, r *connstate.Request) {
	p.traceAttempt(r)
	size := len(r.Body)
	if r.Upload.Buffer != nil {
		size += len(r.Upload.Buffer.B)
	}
	timeout := r.AttemptTimer.At() - now
	if r.Upload.Active {
		size = r.Upload.Size
		timeout = r.Client.Upload.UnsentAt + r.ClientTimeLeft - now
	}
	c := r.AttemptConn
	c.Used = true
	p.scratch = appendRequestHead(p.scratch[:0], r.Method, r.Target, r.Head, size, timeout)
	switch {
	case r.Upload.Active:
		p.write(c, p.scratch)
		p.writeBody(r)
		p.continueUpload(r)
	case len(r.Body) <= connstate.SmallBuffer && r.Upload.Buffer == nil:
		p.scratch = append(p.scratch, r.Body...)
		p.deliverShort(now, r)
	default:
		r.Upload.Size = size
		p.deliverLong(now, r)
	}
}

func (p *Proxy) traceAttempt(r *connstate.Request) {
	if !p.LogsRequests() {
		return
	}
	p.RulesLog().WithFields(logrus.Fields{
		"id":     asString(headerValue(r.Head, headerRequestID)),
		"no":     int(r.AttemptNo),
		"server": r.AttemptConn.Endpoint.Endpoint.UID,
	}).Debug(engine.LogAttemptStarted)
}

// readResponse handles bytes from an endpoint: it ends the attempt once the response is complete, or starts to stream
// the response. at is the arrival time of the last bytes.
func (p *Proxy) readResponse(now, at policy.Time, c *connstate.Conn) {
	r := c.Request
	if r == nil {
		p.closeConn(c, connstate.UnexpectedInput)
		return
	}
	if r.ClientCheck.Active {
		p.endAttempt(at, r, policy.NotSent, false) // nothing was written, so the input belongs to an earlier request
		return
	}
	in := c.Input.Buffer.B
	if len(in) < c.Input.Needed && !p.buffers.Full() {
		return
	}
	response, ok := parseResponse(in, false, r.Response.NoBody, maxBody, &c.Input.Chunks)
	switch {
	case response.length > 0:
		reusable := response.reusable && response.length == len(in) && c.Flushed() && !r.Upload.Active
		p.takeResponse(r, c, response)
		p.endAttempt(at, r, outcomeOf(response.status, response.headers), reusable)
	case ok && p.tryStream(now, at, c, moreArrived):
	case !ok && p.tryStream(now, at, c, tooLong):
	case !ok:
		p.endAttempt(at, r, policy.ConnectionLost, false)
	}
}

// takeResponse moves the response and its buffer from the connection to the request.
func (p *Proxy) takeResponse(r *connstate.Request, c *connstate.Conn, response parsedResponse) {
	r.Response.Buffer = c.Input.Buffer
	r.Response.Status = response.status
	r.Response.Head = response.headers
	r.Response.Body = response.body
	c.Input.Buffer = nil
}

// endpointClosed handles a connection to an endpoint that has ended or could not be established.
func (p *Proxy) endpointClosed(at policy.Time, c *connstate.Conn) {
	r := c.Request
	if r == nil {
		return
	}
	ended := c.Input.EOF // a reset does not complete a response
	if r.Response.Streaming {
		if ended && c.Frame.Kind == bodyUntilClose {
			p.endStream(p.Clock.Now(), r, false)
		} else {
			p.breakStream(at, r)
		}
		return
	}
	if !c.Connected || !c.Flushed() || r.Upload.Active {
		p.endAttempt(at, r, policy.NotConnected, false)
		return
	}
	if c.Input.Buffer != nil {
		response, ok := parseResponse(c.Input.Buffer.B, ended, r.Response.NoBody, maxBody, &c.Input.Chunks)
		if ok && response.length > 0 {
			p.takeResponse(r, c, response)
			p.endAttempt(at, r, outcomeOf(response.status, response.headers), false)
			return
		}
	}
	p.endAttempt(at, r, policy.ConnectionLost, false)
}

// TimedOut ends an attempt at its timeout. If the request has not been written completely, the endpoint receives only a
// part of it before the connection closes and never processes it.
func (p *Proxy) TimedOut(now policy.Time, request *engine.Request) {
	r := connstate.AsRequest(request)
	if p.streamInProgress(now, r) {
		return
	}
	outcome := policy.TimedOut
	if p.abortUnwritten(r) {
		outcome = policy.NotConnected
	}
	p.endAttempt(now, r, outcome, false)
}

// abortUnwritten closes the connection of an attempt whose request is not written completely, and reports whether the
// endpoint will never receive all of the request.
func (p *Proxy) abortUnwritten(r *connstate.Request) bool {
	c := r.AttemptConn
	if c == nil || !c.Connected || r.Upload.Active {
		return true
	}
	if c.Flushed() {
		return false
	}
	c.Socket.Close() // the attempt ends, and the connection with it
	return !c.Flushed()
}

// endUnwritten ends the attempt of a request that needs no response any more, unless the request is written completely.
// The endpoint never receives the rest of the request, so it cannot process it, and ending the attempt is allowed even
// if attempts may not be cancelled.
func (p *Proxy) endUnwritten(now policy.Time, r *connstate.Request) {
	if hasAttempt(r) && p.abortUnwritten(r) {
		p.endAttempt(now, r, policy.Cancelled, false)
	}
}

// isWritten reports whether all of the request was written to the endpoint of its attempt.
func isWritten(r *connstate.Request) bool {
	c := r.AttemptConn
	return c != nil && c.Connected && c.Flushed() && !r.Upload.Active
}

// CancelAttempt ends an attempt whose response is no longer needed.
func (p *Proxy) CancelAttempt(now policy.Time, request *engine.Request) {
	r := connstate.AsRequest(request)
	if hasAttempt(r) && !r.Response.Streaming {
		p.endAttempt(now, r, policy.Cancelled, false)
	}
}

// hasAttempt reports whether the request has an attempt with a connection, or one that waits for a reusable connection.
func hasAttempt(r *connstate.Request) bool { return r.AttemptConn != nil || r.ReuseTimer.Active() }

// endAttempt ends the attempt in flight.
func (p *Proxy) endAttempt(at policy.Time, r *connstate.Request, outcome policy.Outcome, reusable bool) {
	p.noteAttemptEnd(r, outcome)
	r.MayHaveRun = r.MayHaveRun || outcome.MayHaveRun() && (outcome != policy.Cancelled || isWritten(r))
	p.detachEndpoint(at, r, reusable)
	p.AttemptEnded(at, r.Request, outcome)
}
