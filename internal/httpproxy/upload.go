package httpproxy

import (
	"net/http"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// maxInTransit is how many bytes the buffers of the client's kernel and of this machine's may hold, which the client
// has sent and this process has not read: the largest sizes to which Linux grows them by itself.
const maxInTransit = 4 << 20

// inTransitTime is the time in which such bytes arrive while this machine's kernel has room for them.
const inTransitTime = 20 * policy.Millisecond

// maxReadDelay is how long input may wait until it counts as not read soon. The kernel may have run out of room then.
const maxReadDelay = inTransitTime / 2

// A request body longer than maxBody is collected in memory if it fits, so that it can be sent again and no endpoint
// has to wait for the client. Otherwise it is streamed to an endpoint, and an attempt that fails while the body is
// being forwarded is the last one of the request.

// maxCollected returns how many bytes of one body are collected before it is streamed.
func (p *Proxy) maxCollected() int {
	if p.buffers.InUse() > p.buffers.Limit/2 {
		return maxBody
	}
	return max(maxBody, p.buffers.Limit/6)
}

// beginUpload starts to receive the long body of a request whose head is complete.
func (p *Proxy) beginUpload(now, at policy.Time, c *connstate.Conn, head requestHead) {
	p.sendContinue(c)
	p.conns.MarkBusy(c)
	p.Counters.LargeBodies++
	c.Upload.State = connstate.CollectingUpload
	c.Upload.Size = head.bodySize
	c.Upload.Start = head.bodyStart
	c.Input.Needed = 0
	c.Input.Chunks = connstate.WholeChunks{}
	if c.Input.HeadAt == 0 {
		c.Input.HeadAt = now
	}
	c.Frame = newFrame(head.bodySize, head.chunked)
	c.Upload.ReadAt = now
	c.Upload.UnsentAt = at
	c.Upload.ArrivedAt = at
	c.Upload.ReadSoonSince = at
	c.Upload.DrainedAt = 0
	c.Upload.MarkAt = at
	c.Upload.MarkBytes = 0
	in := c.Input.Buffer
	body := p.buffers.Get(max(1, len(in.B)-head.bodyStart))
	body.B = append(body.B, in.B[head.bodyStart:]...)
	in.B = in.B[:head.bodyStart]
	p.uploadData(now, at, c, body)
}

// uploadData handles bytes of a long body.
func (p *Proxy) uploadData(now, at policy.Time, c *connstate.Conn, buf *connstate.Buffer) {
	part, ok := decodeBody(&c.Frame, buf.B)
	if !ok {
		p.buffers.Put(buf)
		p.failUpload(now, c,
			refusal{http.StatusBadRequest, malformedRequest, "the body cannot be read, or is too long\n"})
		return
	}
	var next *connstate.Buffer
	if part.done {
		next = p.copyOf(buf.B[part.used:])
	}
	buf.B = buf.B[:part.size]
	if c.Upload.State == connstate.CollectingUpload {
		p.collectUpload(now, at, c, buf, part.done)
	} else {
		p.forwardUpload(c, buf)
	}
	if part.done {
		p.uploadComplete(now, c, next)
		return
	}
	if c.Upload.State != connstate.NoUpload {
		p.bodyRead(now, c)
		p.setUploadTimer(now, c)
	}
}

// A request's time counts from its last byte, but bytes that a client has sent may lie in the buffers of both kernels
// while reading is paused for a slow endpoint. So the client must be answered as if it had sent everything soon after
// it was last seen not to have: when bytes arrived after everything had been read and nothing had come for a while, or
// shortly before bytes arrived that are always read soon.

// bodyArrived records that bytes of a body have arrived.
func (p *Proxy) bodyArrived(now, at policy.Time, c *connstate.Conn) {
	u := &c.Upload
	if u.DrainedAt > 0 {
		u.ArrivedAt = at
		switch {
		case at-u.DrainedAt > inTransitTime:
			u.UnsentAt = at
		case at-u.ReadSoonSince > inTransitTime:
			u.UnsentAt = max(u.UnsentAt, at-inTransitTime)
		}
	}
	u.DrainedAt = 0
	p.expectBody(now, c)
}

// bodyRead records how far a body has been read.
func (p *Proxy) bodyRead(now policy.Time, c *connstate.Conn) {
	u := &c.Upload
	u.ReadAt = now
	received := c.Frame.Received + int64(c.Socket.Ahead())
	switch {
	case received-u.MarkBytes > maxInTransit:
		u.UnsentAt = max(u.UnsentAt, u.MarkAt)
		u.MarkAt = now
		u.MarkBytes = received
	case remaining(c) > maxInTransit:
		u.UnsentAt = now
	}
	if !c.Input.Readable && u.DrainedAt == 0 {
		u.DrainedAt = now
		if now-u.ArrivedAt > maxReadDelay {
			u.ReadSoonSince = now
		}
	}
	p.expectBody(now, c)
}

// expectBody tells the engine the deadline of a request whose body is incomplete. There is none while the client has to
// go on sending.
func (p *Proxy) expectBody(now policy.Time, c *connstate.Conn) {
	r := c.Request
	if r == nil || !r.Upload.Active {
		return
	}
	deadline := c.Upload.UnsentAt + r.ClientTimeLeft
	if c.Upload.DrainedAt > 0 || remaining(c) > maxInTransit {
		deadline = 0
	}
	p.BodyExpected(now, r.Request, deadline)
}

// remaining returns how many bytes of the body are certainly still to come.
func remaining(c *connstate.Conn) int64 {
	if c.Frame.Kind == sizedBody {
		return c.Frame.Remaining - int64(c.Socket.Ahead())
	}
	return 0
}

// collectUpload appends a part of a body to the parts collected before, and starts to stream the body once it is too
// long to be collected.
func (p *Proxy) collectUpload(now, at policy.Time, c *connstate.Conn, buf *connstate.Buffer, done bool) {
	c.Input.Buffer = p.buffers.Join(c.Input.Buffer, buf)
	if done {
		return
	}
	limit := p.maxCollected()
	if c.Upload.Size > limit || len(c.Input.Buffer.B)-c.Upload.Start > limit {
		p.streamUpload(now, at, c)
	}
}

// forwardUpload forwards a part of a body to the endpoint, or buffers it until there is an attempt.
func (p *Proxy) forwardUpload(c *connstate.Conn, buf *connstate.Buffer) {
	r := c.Request
	switch {
	case r == nil:
		p.buffers.Put(buf)
	case r.Upload.Forwarded && r.AttemptConn != nil:
		p.writeBodyPart(r, buf.B)
		p.buffers.Put(buf)
		p.applyBackpressure(c, r.AttemptConn)
	default:
		r.Upload.Buffer = p.buffers.Join(r.Upload.Buffer, buf)
		c.Input.Paused = true // until an attempt forwards it
	}
}

func (p *Proxy) setUploadTimer(now policy.Time, c *connstate.Conn) {
	deadline := uploadDeadline(c)
	if c.Input.Paused {
		deadline = min(deadline, now+streamCheckInterval) // the client waits for its endpoint, which may have stalled
	}
	p.Timers.Set(&c.Timer, deadline)
}

// streamUpload admits a request whose body is incomplete.
func (p *Proxy) streamUpload(now, at policy.Time, c *connstate.Conn) {
	buf := c.Input.Buffer
	p.Counters.StreamedBodies++
	c.Input.Buffer = nil
	c.Upload.State = connstate.StreamingUpload
	head, _ := parseRequestHead(buf.B) // cannot fail: the same head was parsed before
	p.handleRequest(now, at, c, buf, parsedRequest{requestHead: head, body: buf.B[head.bodyStart:]})
}

// uploadComplete handles the end of a body; next holds the bytes received after it.
func (p *Proxy) uploadComplete(now policy.Time, c *connstate.Conn, next *connstate.Buffer) {
	collected := c.Upload.State == connstate.CollectingUpload
	r := c.Request
	buf := c.Input.Buffer
	p.Timers.Stop(&c.Timer)
	p.endUpload(c)
	c.Input.Buffer = next
	switch {
	case collected:
		head, _ := parseRequestHead(buf.B) // cannot fail: the same head was parsed before
		body := buf.B[head.bodyStart:]
		head.bodySize = len(body)
		head.chunked = false
		p.handleRequest(now, c.Upload.UnsentAt, c, buf, parsedRequest{requestHead: head, body: body})
	case r == nil:
		p.responseSent(now, c, c.Upload.CloseAfter)
	default:
		r.Upload.Active = false
		if r.Upload.Forwarded && r.AttemptConn != nil {
			p.writeBodyEnd(r)
		}
		p.BodyComplete(now, c.Upload.UnsentAt, r.Request, r.ClientTimeLeft)
	}
}

// endUpload ends the receipt of a long body. Reading from the client may still be paused because of that body, and
// nothing else resumes it if the last bytes had been read before the pause: writeRequest calls continueUpload only for
// an incomplete body, and outputDrained needs an attempt that is still in flight.
func (p *Proxy) endUpload(c *connstate.Conn) {
	c.Upload.State = connstate.NoUpload
	c.Upload.ContinueSent = false
	c.Input.HeadAt = 0
	p.resumeReading(c)
}

// writeBody writes the buffered part of the body to the endpoint.
func (p *Proxy) writeBody(r *connstate.Request) {
	p.writeBodyPart(r, r.Body)
	if r.Upload.Buffer != nil {
		p.writeBodyPart(r, r.Upload.Buffer.B)
	}
}

// continueUpload resumes reading a request body after its first part has been written to the endpoint.
func (p *Proxy) continueUpload(r *connstate.Request) {
	if r.Client == nil {
		return
	}
	r.Upload.Forwarded = true
	r.AttemptConn.Progress.At = 0
	p.buffers.Put(r.Upload.Buffer)
	r.Upload.Buffer = nil
	p.resumeReading(r.Client)
	p.applyBackpressure(r.Client, r.AttemptConn)
}

// writeBodyPart writes a part of the body to the endpoint.
func (p *Proxy) writeBodyPart(r *connstate.Request, b []byte) {
	switch {
	case len(b) == 0:
	case r.Upload.Size >= 0:
		p.write(r.AttemptConn, b)
	default:
		p.writeChunk(r.AttemptConn, b)
	}
}

// writeBodyEnd marks the end of the body towards the endpoint.
func (p *Proxy) writeBodyEnd(r *connstate.Request) {
	c := r.AttemptConn
	if r.Upload.Size < 0 {
		c.Output.CompleteAt = c.Output.Queued + int64(len(lastChunk))
		p.write(c, lastChunk)
		return
	}
	c.Output.CompleteAt = c.Output.Queued
	c.RecordWritten(0) // all bytes may already have been written
}

// uploadDeadline returns the time by which more of the body must have arrived.
func uploadDeadline(c *connstate.Conn) policy.Time {
	return min(c.Input.HeadAt+bodyTimeout+transferTime(c.Frame.Received), c.Upload.ReadAt+bodyStallTimeout)
}

// transferTime returns how long the transfer of this many bytes of a body may take.
func transferTime(bytes int64) policy.Time {
	return policy.Time(bytes) * policy.Second / minBodyRate
}

// checkUpload checks whether the transfer of a body makes progress. While reading from the client is paused, the
// endpoint must accept bytes.
func (p *Proxy) checkUpload(now policy.Time, c *connstate.Conn) {
	r := c.Request
	switch {
	case c.Input.Paused && r != nil:
		if p.endpointStalled(now, r) {
			if r.Response.Streaming {
				p.breakStream(now, r) // the endpoint is responding already
				return
			}
			p.TimedOut(now, r.Request)
		}
		c.Input.HeadAt = now - transferTime(c.Frame.Received)
		c.Upload.ReadAt = now
		p.Timers.Set(&c.Timer, now+streamCheckInterval)
	case now < uploadDeadline(c):
		p.Timers.Set(&c.Timer, uploadDeadline(c))
	default:
		p.failUpload(now, c, refusal{http.StatusRequestTimeout, requestTooSlow, "the request came too slowly\n"})
	}
}

// endpointStalled reports whether the endpoint has accepted no bytes of a forwarded body for flushTimeout.
func (p *Proxy) endpointStalled(now policy.Time, r *connstate.Request) bool {
	c := r.AttemptConn
	return r.Upload.Forwarded && c != nil && !c.Progressed(now, taken(c), flushTimeout)
}

// failUpload ends a request whose body is malformed, too long or not received in time. If the request was answered
// before the end of its body, the connection ends without a second answer.
func (p *Proxy) failUpload(now policy.Time, c *connstate.Conn, refused refusal) {
	answered := c.Upload.State == connstate.StreamingUpload && c.Request == nil
	if r := c.Request; r != nil {
		p.abandonRequest(now, c, r)
	}
	p.endUpload(c)
	if answered {
		p.noteRefusal(c, refused.reason)
		p.responseSent(now, c, true)
		return
	}
	p.refuse(now, c, refused)
}
