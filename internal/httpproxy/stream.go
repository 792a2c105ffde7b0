package httpproxy

import (
	"net/http"
	"strconv"

	"pepperlead/internal/connstate"
	"pepperlead/internal/engine"
	"pepperlead/policy"
)

// Timing of streamed responses.
const (
	// streamAfter is how long after its head a response of unknown length is buffered before it may be streamed.
	streamAfter = 300 * policy.Millisecond
	// streamStallTimeout is the time after which a stream is broken if the client accepts none of the bytes pending for
	// it, or if the endpoint sends nothing while the client still sends the request body.
	streamStallTimeout = 5 * policy.Second
	// longBodyPause is how long a long body may pause after its latest bytes once the client's deadline has passed.
	longBodyPause = 2200 * policy.Millisecond
	// shortBodyPause is the same for a body that may turn out to be short. It is less than longBodyPause, because a
	// short response counts as lost half a second after the client's deadline.
	shortBodyPause = 300 * policy.Millisecond
	// rateSlack is how far an endpoint that sends at minTransferRate may be behind at any time.
	rateSlack = 400 * policy.Millisecond
	// streamCheckInterval is the time between checks of a stream.
	streamCheckInterval = 250 * policy.Millisecond
)

// Bounds of the bytes that a stream may have pending, the lower one however many streams there are.
const (
	minPendingBytes = connstate.SmallBuffer
	maxPendingBytes = 128 << 10
)

var lastChunk = []byte("0\r\n\r\n")

// streamCause is why an incomplete response is looked at.
type streamCause uint8

const (
	moreArrived streamCause = iota // further bytes have arrived
	tooLong                        // the response is too long to be buffered
	timeIsUp                       // the attempt times out
)

// tryStream starts to stream a response to the client if that is due, and reports whether the response needs no further
// handling. The response is incomplete, or too long to be buffered; its end may have been read together with the bytes
// that show this.
//
// Once a response is streamed, a failure can no longer be retried and becomes visible to the client; before that it
// costs only an attempt. So a short response is buffered until it is complete or its attempt ends, unless memory is
// short. A response of unknown length is streamed when bytes arrive later than streamAfter, or when the time is up and
// its endpoint may still be sending. If its endpoint sends nothing more, streaming would gain nothing, and the attempt
// fails.
func (p *Proxy) tryStream(now, at policy.Time, c *connstate.Conn, cause streamCause) bool {
	r := c.Request
	in := c.Input.Buffer.B
	head, ok := parseResponseHead(in, false, r.Response.NoBody)
	if !ok || head.bodyStart == 0 || head.bodySize > maxStreamedBody {
		return false
	}
	recordHead(c, at, head)
	body := in[head.bodyStart:]
	outcome := outcomeOf(head.status, head.headers)
	forClient := (outcome == policy.Succeeded || outcome == policy.Declined) && r.Client != nil && !r.Decided
	due := cause == timeIsUp || at-c.Input.HeadAt >= streamAfter
	isLong := cause == tooLong || head.bodySize > maxBody || len(body) > maxBody ||
		forClient && len(body) > connstate.SmallBuffer && p.buffers.Full()
	if !isLong && (!forClient || head.bodySize >= 0 || !due) {
		return false
	}
	c.Frame = newFrame(head.bodySize, head.chunked)
	part, ok := decodeBody(&c.Frame, body)
	switch {
	case !ok:
		p.endAttempt(at, r, policy.ConnectionLost, false)
	case !forClient: // the long body is not needed
		p.endAttempt(at, r, outcome, false)
	default:
		p.beginStream(at, c, head)
		p.streamFirst(now, c, body, part)
	}
	return true
}

// streamFirst forwards the part of a body that was read before it was streamed. The decoded part is at the start of
// body, which is in the connection's buffer.
func (p *Proxy) streamFirst(now policy.Time, c *connstate.Conn, body []byte, part decoded) {
	r := c.Request
	buf := c.Input.Buffer
	c.Input.Buffer = nil
	p.writeStreamed(c, r, body[:part.size])
	if part.done {
		p.streamComplete(now, c, part.used == len(body))
	} else {
		p.checkStream(now, c, r)
	}
	p.buffers.Put(buf)
}

// recordHead records when the head of a response was complete and, for a body with a known size of at most maxBody, how
// long the whole response is.
func recordHead(c *connstate.Conn, at policy.Time, head responseHead) {
	if c.Input.HeadAt != 0 {
		return
	}
	c.Input.HeadAt = at
	c.Input.Needed = 0
	if head.bodySize >= 0 && head.bodySize <= maxBody {
		c.Input.Needed = head.bodyStart + head.bodySize
	}
}

// beginStream ends the attempt and writes the head of the response to the client. For the decision module the attempt
// ends here, with the first bytes, as the endpoint has done its work by then.
func (p *Proxy) beginStream(at policy.Time, c *connstate.Conn, head responseHead) {
	r := c.Request
	r.Decided = true
	r.MayHaveRun = true
	p.AttemptEnded(at, r.Request, outcomeOf(head.status, head.headers))
	p.Counters.Streams++
	p.streamCount++
	p.sharePendingBytes()
	hasSize := c.Frame.Kind == sizedBody
	r.Response.Streaming = true
	r.Response.Status = head.status
	r.Response.Reusable = head.reusable
	r.Response.Chunked = !hasSize && !r.HTTP10
	r.Response.UntilClose = !hasSize && r.HTTP10
	r.CloseAfter = r.CloseAfter || p.closesAfterResponse() || head.status != http.StatusOK || r.Response.UntilClose
	p.scratch = appendStatusLine(p.scratch[:0], head.status)
	p.scratch = appendEndToEnd(p.scratch, head.headers)
	switch {
	case r.Response.Chunked:
		p.scratch = append(p.scratch, "Transfer-Encoding: chunked\r\n"...)
	case hasSize:
		p.scratch = append(p.scratch, "Content-Length: "...)
		p.scratch = strconv.AppendInt(p.scratch, c.Frame.Remaining+c.Frame.Received, 10)
		p.scratch = append(p.scratch, lineEnd...)
	}
	if r.CloseAfter {
		p.scratch = append(p.scratch, "Connection: close\r\n"...)
	}
	p.write(r.Client, append(p.scratch, lineEnd...))
	c.Progress.At = at
	r.Client.Progress.At = 0
}

// streamData decodes and forwards bytes of a streamed response.
func (p *Proxy) streamData(now, at policy.Time, c *connstate.Conn, b []byte) {
	r := c.Request
	c.Progress.At = at
	part, ok := decodeBody(&c.Frame, b)
	if r.Client != nil {
		p.writeStreamed(c, r, b[:part.size])
	}
	switch {
	case !ok:
		p.breakStream(at, r)
	case part.done:
		p.streamComplete(now, c, part.used == len(b))
	}
}

// streamComplete ends a stream whose last byte was read. The connection can be used again if nothing follows the
// response, and the whole request was written.
func (p *Proxy) streamComplete(now policy.Time, c *connstate.Conn, isLastInput bool) {
	r := c.Request
	p.endStream(now, r, r.Response.Reusable && isLastInput && c.Flushed() && !r.Upload.Active)
}

// writeStreamed writes a part of the body to the client. While too many bytes are pending for the client, reading from
// the endpoint is paused.
func (p *Proxy) writeStreamed(c *connstate.Conn, r *connstate.Request, b []byte) {
	if len(b) == 0 {
		return
	}
	if r.Response.Chunked {
		p.writeChunk(r.Client, b)
	} else {
		p.write(r.Client, b)
	}
	p.applyBackpressure(c, r.Client)
}

// writeChunk writes b as one chunk of a chunked body.
func (p *Proxy) writeChunk(c *connstate.Conn, b []byte) {
	p.scratch = strconv.AppendInt(p.scratch[:0], int64(len(b)), 16)
	p.scratch = append(p.scratch, lineEnd...)
	p.write(c, p.scratch)
	p.write(c, b)
	p.write(c, lineEnd)
}

// applyBackpressure pauses reading from the sender if too many bytes are pending for the receiver, until most of them
// have been written.
func (p *Proxy) applyBackpressure(sender, receiver *connstate.Conn) {
	if receiver.Unwritten() <= p.maxPending {
		return
	}
	sender.Input.Paused = true
	receiver.Output.NotifyAt = receiver.Output.Queued - p.maxPending/4
}

// resumeReading continues to read from a sender that was paused.
func (p *Proxy) resumeReading(sender *connstate.Conn) {
	sender.Input.Paused = false
	if sender.Input.Readable && !sender.Closing {
		p.await(sender)
	}
}

// outputDrained resumes reading from the sender once most of the bytes pending for the receiver c have been written.
func (p *Proxy) outputDrained(c *connstate.Conn) {
	r := c.Request
	switch {
	case r == nil || c.Closing:
	case c.Side == connstate.ClientSide && r.AttemptConn != nil:
		p.resumeReading(r.AttemptConn)
	case c.Side == connstate.EndpointSide && r.Client != nil:
		p.resumeReading(r.Client)
	}
}

// sharePendingBytes divides a quarter of the memory for messages among the streams, within minPendingBytes and
// maxPendingBytes for each.
func (p *Proxy) sharePendingBytes() {
	share := p.buffers.Limit / 4 / max(1, p.streamCount)
	p.maxPending = int64(min(maxPendingBytes, max(minPendingBytes, share)))
}

// endStream ends a stream whose response is complete.
func (p *Proxy) endStream(now policy.Time, r *connstate.Request, reusable bool) {
	if r.Response.Chunked && r.Client != nil {
		p.write(r.Client, lastChunk)
	}
	p.detachStream(now, r, reusable)
	if c := p.detachClientForResponse(now, r); c != nil {
		p.responseSent(now, c, r.CloseAfter)
	}
	p.FinishRequest(r.Request)
}

// breakStream ends a stream whose response remains incomplete. The client notices that the connection closes before the
// end of the response.
func (p *Proxy) breakStream(now policy.Time, r *connstate.Request) {
	p.Counters.StreamsBroken++
	if c := r.Client; c != nil {
		p.closeConn(c, connstate.StreamBroken)
		c.Request = nil
		r.Client = nil
		p.requests.Remove(r)
		p.Unanswered(r.Request)
	}
	p.detachStream(now, r, false)
	p.FinishRequest(r.Request)
}

func (p *Proxy) detachStream(now policy.Time, r *connstate.Request, reusable bool) {
	r.Response.Streaming = false
	p.detachEndpoint(now, r, reusable)
	p.streamCount--
	p.sharePendingBytes()
}

// endpointTimerDue handles the only timer of a connection to an endpoint: the connection has been idle for too long, or
// its stream is to be checked.
func (p *Proxy) endpointTimerDue(now policy.Time, c *connstate.Conn) {
	r := c.Request
	switch {
	case r == nil:
		p.closeConn(c, connstate.IdleTimeout)
	case r.Response.Streaming:
		p.checkStream(now, c, r)
	}
}

// checkStream breaks a stream that makes no progress, and otherwise schedules the next check.
func (p *Proxy) checkStream(now policy.Time, c *connstate.Conn, r *connstate.Request) {
	if r.Client == nil {
		p.breakStream(now, r)
		return
	}
	deadline := now + streamStallTimeout
	switch {
	case r.Client.Unwritten() > 0:
		c.Progress.At = now // the endpoint may be paused because of the client
		if !r.Client.Progressed(now, taken(r.Client), streamStallTimeout) {
			deadline = now
		}
	case r.Upload.Active: // the client's deadline counts from the end of the request body
		deadline = c.Progress.At + streamStallTimeout
	default:
		clientDeadline := r.ReceivedAt + r.ClientTimeLeft - engine.DeadlineMarginTicks*p.Settings.Tick
		deadline = streamDeadline(c.Frame, c.Input.HeadAt, c.Progress.At, clientDeadline)
	}
	if now >= deadline {
		p.breakStream(now, r)
		return
	}
	p.Timers.Set(&c.Timer, min(deadline, now+streamCheckInterval))
}

// streamDeadline returns the time at which a stream is broken if its endpoint sends nothing more. That is the client's
// deadline, or a time soon after the deadline if the latest bytes arrived shortly before it, or the time by which an
// endpoint that writes slowly, and in large parts, has sent the next one.
func streamDeadline(f connstate.Frame, headAt, progressAt, clientDeadline policy.Time) policy.Time {
	pause := shortBodyPause
	if f.Kind == sizedBody && f.Received+f.Remaining > maxBody || f.Received > maxBody {
		pause = longBodyPause
	}
	return max(clientDeadline, progressAt+pause, nextPartBy(headAt, f.Received))
}

// nextPartBy returns the time by which an endpoint that sends at minTransferRate has sent more than the given number of
// bytes of a body.
func nextPartBy(headAt policy.Time, received int64) policy.Time {
	return headAt + policy.Time(received)*policy.Second/minTransferRate + rateSlack
}

// streamInProgress starts to stream the response of an attempt whose time is up, if its endpoint may still be sending
// it. It reports whether it did. The length of such a response is unknown: a long one is timed by its first bytes, and
// must not be cut off.
func (p *Proxy) streamInProgress(now policy.Time, r *connstate.Request) bool {
	c := r.AttemptConn
	if c == nil || !c.Connected || c.Input.Buffer == nil || r.Response.Streaming || r.Upload.Active || !c.Flushed() {
		return false
	}
	received := int64(len(c.Input.Buffer.B))
	alive := now-c.Input.ArrivedAt < shortBodyPause || now < nextPartBy(c.Input.HeadAt, received)
	if c.Input.HeadAt == 0 || !alive || !p.tryStream(now, now, c, timeIsUp) {
		return false
	}
	p.ReportEndedAttempts(now) // before a timer that is due in the same moment ends the request
	return true
}

// taken returns how many bytes of a connection's output the peer's kernel has acknowledged. The kernel of this machine
// accepts more only once a large part of its buffer is free, so what it accepts does not show whether the peer reads.
func taken(c *connstate.Conn) int64 { return c.Output.Written - int64(c.Socket.Unacknowledged()) }
