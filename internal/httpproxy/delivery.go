package httpproxy

import (
	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// An endpoint processes a request once it has received the last byte. The kernel of this machine may accept that byte
// seconds earlier. So the last byte of a long request is withheld until the endpoint's kernel has acknowledged all
// others: an attempt that ends before that has certainly not been processed. A request whose body has at most
// connstate.SmallBuffer bytes is written at once.
//
// A retry may have to arrive within a deduplication window. If it would arrive later, it ends before its last byte is
// written; if it is written and not acknowledged in time, it ends too, and closing the connection takes back what the
// endpoint has not received.

// Time between two checks of a delivery: a part of the time that it has taken so far, within limits.
const (
	minDeliveryCheckInterval = policy.Millisecond
	maxDeliveryCheckInterval = 50 * policy.Millisecond
	deliveryCheckDivisor     = 8
)

const (
	// minTransferRate is the lowest rate at which an endpoint is expected to read a request or to send a response, in
	// bytes per second.
	minTransferRate = 64_000
	// minRateObservation is the time after which a delivery shows the rate at which the endpoint takes it.
	minRateObservation = 250 * policy.Millisecond
	// maxSpeedup is how many times as fast as so far an endpoint may take the rest of a request.
	maxSpeedup = 2
)

// deliverLong writes a request with a long body, whose head is in p.scratch, except its last byte. That follows as soon
// as it may be written.
func (p *Proxy) deliverLong(now policy.Time, r *connstate.Request) {
	c := r.AttemptConn
	length := int64(len(p.scratch) + r.Upload.Size)
	c.Output.CompleteAt = c.Output.Queued + length
	p.beginDelivery(now, r, length)
	observeWindow(r)
	p.write(c, p.scratch)
	p.writeAllButLastByte(r)
	p.checkLastByte(now, r)
}

// deliverShort writes a request, which is in p.scratch, as a whole. If it is a retry, its delivery is watched.
func (p *Proxy) deliverShort(now policy.Time, r *connstate.Request) {
	c := r.AttemptConn
	length := int64(len(p.scratch))
	c.Output.CompleteAt = c.Output.Queued + length
	p.write(c, p.scratch)
	if isRetry(r) {
		p.beginDelivery(now, r, length)
		p.checkAcknowledgement(now, r)
	}
}

// isRetry reports whether the attempt is not the request's first one, so that it may have to arrive within a
// deduplication window.
func isRetry(r *connstate.Request) bool { return r.Attempts > 1 }

// beginDelivery records the begin of an attempt whose request has the given length in bytes.
func (p *Proxy) beginDelivery(now policy.Time, r *connstate.Request, length int64) {
	delivery := &r.Delivery
	delivery.Withheld = false
	delivery.Length = length
	delivery.Since = now
	delivery.WidestWindow = 0
	if delivery.Timer.Run == nil {
		delivery.Timer.Run = func(now policy.Time) { p.checkDelivery(now, r) }
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
	r.Delivery.LastByte = body[end]
	r.Delivery.Withheld = true
	r.AttemptConn.Output.Queued++
}

// checkDelivery continues a delivery when its timer is due.
func (p *Proxy) checkDelivery(now policy.Time, r *connstate.Request) {
	if r.Delivery.Withheld {
		p.checkLastByte(now, r)
	} else {
		p.checkAcknowledgement(now, r)
	}
}

// checkLastByte writes the last byte of the request if the endpoint has received all others, ends the attempt if it is
// no longer wanted or would arrive too late, and otherwise checks again later.
func (p *Proxy) checkLastByte(now policy.Time, r *connstate.Request) {
	observeWindow(r)
	outstanding := outstandingBytes(r)
	processing := r.Response.Streaming // the endpoint responds although it does not have the last byte
	switch {
	case r.Decided && !processing: // nobody waits for a response any more
		p.endAttempt(now, r, policy.Cancelled, false)
	case !processing && p.arrivesTooLate(r, outstanding):
		p.endAttempt(now, r, policy.NotSent, false)
	case outstanding > 0:
		p.scheduleDeliveryCheck(now, r)
	default:
		p.writeLastByte(now, r)
	}
}

// writeLastByte writes the last byte of the request.
func (p *Proxy) writeLastByte(now policy.Time, r *connstate.Request) {
	r.Delivery.Withheld = false
	r.AttemptConn.Output.Queued-- // write counts it again
	p.scratch = append(p.scratch[:0], r.Delivery.LastByte)
	p.write(r.AttemptConn, p.scratch)
	if isRetry(r) {
		p.checkAcknowledgement(now, r)
	}
}

// checkAcknowledgement ends a completely written retry that the endpoint's kernel has not acknowledged in time, and
// otherwise checks again later until it has.
func (p *Proxy) checkAcknowledgement(now policy.Time, r *connstate.Request) {
	outstanding := outstandingBytes(r)
	switch {
	case r.Response.Streaming || outstanding == 0:
		// The endpoint has received the request.
	case p.arrivesTooLate(r, outstanding):
		p.endAttempt(now, r, policy.TimedOut, false)
	default:
		p.scheduleDeliveryCheck(now, r)
	}
}

// scheduleDeliveryCheck sets the timer for the next check of the delivery.
func (p *Proxy) scheduleDeliveryCheck(now policy.Time, r *connstate.Request) {
	interval := (now - r.Delivery.Since) / deliveryCheckDivisor
	interval = min(max(interval, minDeliveryCheckInterval), maxDeliveryCheckInterval)
	p.Timers.Set(&r.Delivery.Timer, now+interval)
}

// outstandingBytes returns how many bytes, apart from a withheld one, the endpoint's kernel has not acknowledged.
func outstandingBytes(r *connstate.Request) int64 {
	c := r.AttemptConn
	unwritten := c.Unwritten()
	if r.Delivery.Withheld {
		unwritten--
	}
	return unwritten + int64(c.Socket.Unacknowledged())
}

// observeWindow records the receive window of the endpoint if the attempt is a retry.
func observeWindow(r *connstate.Request) {
	if isRetry(r) {
		window := int64(r.AttemptConn.Socket.PeerWindow())
		r.Delivery.WidestWindow = max(r.Delivery.WidestWindow, window)
	}
}

// arrivesTooLate reports whether the request has to arrive by a certain time and the endpoint would not read its last
// byte by then. outstanding is the result of outstandingBytes.
func (p *Proxy) arrivesTooLate(r *connstate.Request, outstanding int64) bool {
	by, limited := p.ArriveBy(r.Request)
	if !limited {
		return false
	}
	now := p.Clock.Now()
	timeLeft := maxReadTime(&r.Delivery, now)
	if outstanding > 0 {
		timeLeft = minTimeLeft(&r.Delivery, now, outstanding)
	}
	return now+timeLeft >= by
}

// minTimeLeft returns how long it takes at least until the endpoint's kernel has acknowledged the outstanding bytes,
// judged by those that it has acknowledged; 0 if that cannot be told yet.
func minTimeLeft(delivery *connstate.Delivery, now policy.Time, outstanding int64) policy.Time {
	elapsed := now - delivery.Since
	taken := delivery.Length - outstanding
	if elapsed < minRateObservation || taken <= 0 {
		return 0
	}
	return elapsed * policy.Time(outstanding) / policy.Time(maxSpeedup*taken)
}

// maxReadTime returns how long the endpoint may take to read the bytes that its kernel has acknowledged. These are at
// most as many as its widest receive window. The others were read since the request was begun, which shows the rate.
func maxReadTime(delivery *connstate.Delivery, now policy.Time) policy.Time {
	unread := min(delivery.Length, delivery.WidestWindow)
	read := delivery.Length - unread
	elapsed := max(now-delivery.Since, policy.Millisecond)
	bytesPerSecond := max(minTransferRate, policy.Time(read)*policy.Second/elapsed)
	return policy.Time(unread) * policy.Second / bytesPerSecond
}
