package httpproxy

import (
	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// An endpoint processes a request once it has received the last byte. The kernel of this machine may accept that byte seconds earlier,
// and sends what it has accepted even if the connection is closed. So the last byte of a long request is withheld until the endpoint's
// kernel has acknowledged all others: an attempt that ends before that has certainly not been processed. A request of at most
// connstate.SmallBuffer bytes fits into any receive buffer and is written at once.

// Time between two checks whether the last byte may be written: a part of the time that the transfer has taken so far, within limits.
const (
	minLastByteInterval = policy.Millisecond
	maxLastByteInterval = 50 * policy.Millisecond
	lastByteDivisor     = 8
)

// writeLongBody writes the complete body of a request except its last byte, which follows as soon as it may be written.
func (p *Proxy) writeLongBody(now policy.Time, r *connstate.Request) {
	body := r.Body
	rest := r.Upload.Buffer
	if rest != nil && len(rest.B) > 0 {
		p.writeBodyPart(r, body)
		body = rest.B
	}
	last := len(body) - 1
	p.writeBodyPart(r, body[:last])
	p.withholdLastByte(now, r, body[last])
}

// withholdLastByte withholds the last byte of the request. It counts as queued, so that the connection is not flushed before it is
// written.
func (p *Proxy) withholdLastByte(now policy.Time, r *connstate.Request, value byte) {
	r.AttemptConn.Output.Queued++
	r.LastByte.Withheld = true
	r.LastByte.Value = value
	r.LastByte.Since = now
	if r.LastByte.Timer.Run == nil {
		r.LastByte.Timer.Run = func(now policy.Time) { p.checkLastByte(now, r) }
	}
	p.checkLastByte(now, r)
}

// checkLastByte writes the last byte of the request if the endpoint has received all others, and otherwise checks again later.
func (p *Proxy) checkLastByte(now policy.Time, r *connstate.Request) {
	switch {
	case r.Decided && !r.Response.Streaming: // nobody waits for a response any more
		p.endAttempt(now, r, policy.Cancelled, false)
	case p.awaitsAcknowledgement(r.AttemptConn):
		interval := (now - r.LastByte.Since) / lastByteDivisor
		interval = min(max(interval, minLastByteInterval), maxLastByteInterval)
		p.Timers.Set(&r.LastByte.Timer, now+interval)
	default:
		p.writeLastByte(r)
	}
}

// awaitsAcknowledgement reports whether bytes before the last one may not have been received by the endpoint's kernel.
func (p *Proxy) awaitsAcknowledgement(c *connstate.Conn) bool {
	if c.Unwritten() > 1 {
		return true
	}
	unacknowledged, known := c.Socket.Unacknowledged()
	return known && unacknowledged > 0
}

// writeLastByte writes the last byte of the request.
func (p *Proxy) writeLastByte(r *connstate.Request) {
	r.AttemptConn.Output.Queued-- // write counts it again
	p.scratch = append(p.scratch[:0], r.LastByte.Value)
	p.write(r.AttemptConn, p.scratch)
	p.dropLastByte(r)
}

// dropLastByte ends the withholding of the last byte, because it is written or will never be.
func (p *Proxy) dropLastByte(r *connstate.Request) {
	r.LastByte.Withheld = false
	p.Timers.Stop(&r.LastByte.Timer)
}
