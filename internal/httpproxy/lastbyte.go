package httpproxy

import (
	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// An endpoint processes a request once it has received the last byte. The kernel of this machine may accept that byte
// seconds earlier, and sends what it has accepted even if the connection is closed. So the last byte of a long request
// is withheld until the endpoint's kernel has acknowledged all others: an attempt that ends before that has certainly
// not been processed. A retry that must arrive within a deduplication window is ended if it would arrive too late.
// A request of at most connstate.SmallBuffer bytes fits into any receive buffer and is written at once.

// Time between two checks whether the last byte may be written: a part of the time that the transfer has taken so far,
// within limits.
const (
	minLastByteInterval = policy.Millisecond
	maxLastByteInterval = 50 * policy.Millisecond
	lastByteDivisor     = 8
)

const (
	// lastByteMargin is how long this process may be held up between the check of the time and the write of the last
	// byte.
	lastByteMargin = 150 * policy.Millisecond
	// minReadRate is the lowest rate at which an endpoint is expected to read a request, in bytes per second.
	minReadRate = 64_000
)

// writeLongRequest writes a request, whose head is in p.scratch, except its last byte. That follows as soon as it may
// be written.
func (p *Proxy) writeLongRequest(now policy.Time, r *connstate.Request) {
	c := r.AttemptConn
	length := int64(len(p.scratch) + r.Upload.Size)
	c.Output.CompleteAt.Store(c.Output.Queued + length)
	p.withholdLastByte(now, r, length-1)
	p.write(c, p.scratch)
	p.writeAllButLastByte(r)
	p.checkLastByte(now, r)
}

// withholdLastByte begins to withhold the last byte of a request, which follows the given number of bytes.
func (p *Proxy) withholdLastByte(now policy.Time, r *connstate.Request, before int64) {
	last := &r.LastByte
	last.Before = before
	last.Since = now
	last.WidestWindow = 0
	p.observeWindow(r)
	if last.Timer.Run == nil {
		last.Timer.Run = func(now policy.Time) { p.checkLastByte(now, r) }
	}
}

// writeAllButLastByte writes the body except its last byte. That byte counts as queued, so that the connection is not
// flushed before it is written.
func (p *Proxy) writeAllButLastByte(r *connstate.Request) {
	body := r.Body
	if rest := r.Upload.Buffer; rest != nil && len(rest.B) > 0 {
		p.writeBodyPart(r, body)
		body = rest.B
	}
	end := len(body) - 1
	p.writeBodyPart(r, body[:end])
	r.LastByte.Value = body[end]
	r.AttemptConn.Output.Queued++
}

// checkLastByte writes the last byte of the request if the endpoint has received all others, ends the attempt if it is
// no longer wanted or would arrive too late, and otherwise checks again later.
func (p *Proxy) checkLastByte(now policy.Time, r *connstate.Request) {
	p.observeWindow(r)
	arrived := acknowledged(r.AttemptConn)
	switch {
	case r.Response.Streaming && arrived: // the endpoint has begun to process the request
		p.writeLastByte(r)
	case r.Response.Streaming:
		p.scheduleLastByteCheck(now, r)
	case r.Decided: // nobody waits for a response any more
		p.endAttempt(now, r, policy.Cancelled, false)
	case p.arrivesTooLate(r, arrived):
		p.endAttempt(now, r, policy.NotSent, false)
	case arrived:
		p.writeLastByte(r)
	default:
		p.scheduleLastByteCheck(now, r)
	}
}

// acknowledged reports whether the endpoint's kernel has received all bytes before the last one.
func acknowledged(c *connstate.Conn) bool {
	if c.Unwritten() > 1 {
		return false
	}
	bytes, known := c.Socket.Unacknowledged()
	return bytes == 0 || !known
}

// observeWindow records the receive window of the endpoint if the attempt is a retry, which may have to arrive within a
// deduplication window.
func (p *Proxy) observeWindow(r *connstate.Request) {
	if r.Attempts > 1 {
		window := int64(r.AttemptConn.Socket.PeerWindow())
		r.LastByte.WidestWindow = max(r.LastByte.WidestWindow, window)
	}
}

// arrivesTooLate reports whether the request has to arrive by a certain time and the endpoint would not read its last
// byte by then.
func (p *Proxy) arrivesTooLate(r *connstate.Request, acknowledged bool) bool {
	by, limited := p.ArriveBy(r.Request)
	if !limited {
		return false
	}
	now := p.Clock.Now()
	arrival := now + lastByteMargin
	if acknowledged {
		arrival += maxReadTime(&r.LastByte, now)
	}
	return arrival >= by
}

// maxReadTime returns how long the endpoint may take to read the bytes that its kernel has acknowledged. These are at
// most as many as its widest receive window. The others were read since the request was begun, which shows the rate.
func maxReadTime(last *connstate.LastByte, now policy.Time) policy.Time {
	unread := min(last.Before, last.WidestWindow)
	read := last.Before - unread
	elapsed := max(now-last.Since, policy.Millisecond)
	bytesPerSecond := max(minReadRate, policy.Time(read)*policy.Second/elapsed)
	return policy.Time(unread) * policy.Second / bytesPerSecond
}

func (p *Proxy) scheduleLastByteCheck(now policy.Time, r *connstate.Request) {
	interval := (now - r.LastByte.Since) / lastByteDivisor
	interval = min(max(interval, minLastByteInterval), maxLastByteInterval)
	p.Timers.Set(&r.LastByte.Timer, now+interval)
}

// writeLastByte writes the last byte of the request.
func (p *Proxy) writeLastByte(r *connstate.Request) {
	r.AttemptConn.Output.Queued-- // write counts it again
	p.scratch = append(p.scratch[:0], r.LastByte.Value)
	p.write(r.AttemptConn, p.scratch)
}
