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
// A retry may have to arrive within a deduplication window. What the endpoint's kernel has acknowledged may lie there
// until the endpoint's process reads it, so the last byte of a long retry is written only when the rest will be read in
// time: at minTransferRate, unless a windowProbe shows that it has been read. If it is written and not acknowledged in
// time, the attempt ends, and closing the connection takes back what the endpoint has not received.

// Time between two checks of a delivery: a part of the time since its latest bytes were written, within limits.
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

// deliverLong writes a request with a long body, whose head is in p.scratch, except its end. That follows as soon as it
// may be written.
func (p *Proxy) deliverLong(now policy.Time, r *connstate.Request) {
	c := r.AttemptConn
	length := int64(len(p.scratch) + r.Upload.Size)
	c.Output.CompleteAt = c.Output.Queued + length
	p.beginDelivery(now, r, length)
	observeWidest(r)
	p.write(c, p.scratch)
	r.Delivery.Withheld = int64(r.Upload.Size)
	c.Output.Queued += r.Delivery.Withheld // so that the connection does not count as flushed
	if p.mustArriveInTime(r) {
		r.Delivery.Probe.NextAt = now + acceptTime
	} else {
		p.writeWithheld(now, r, r.Delivery.Withheld-1)
	}
	p.checkWithheld(now, r)
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
	timer := r.Delivery.Timer
	if timer.Run == nil {
		timer.Run = func(now policy.Time) { p.checkDelivery(now, r) }
	}
	r.Delivery = connstate.Delivery{Length: length, Since: now, WrittenAt: now, Timer: timer}
}

// mustArriveInTime reports whether the attempt has to arrive by a certain time.
func (p *Proxy) mustArriveInTime(r *connstate.Request) bool {
	if !isRetry(r) {
		return false
	}
	_, limited := p.ArriveBy(r.Request)
	return limited
}

// writeWithheld writes the given number of bytes of those that are withheld.
func (p *Proxy) writeWithheld(now policy.Time, r *connstate.Request, count int64) {
	delivery := &r.Delivery
	from := int64(r.Upload.Size) - delivery.Withheld
	delivery.Withheld -= count
	delivery.WrittenAt = now
	r.AttemptConn.Output.Queued -= count // write counts them again
	collected := int64(len(r.Body))
	if from < collected {
		part := r.Body[from:min(from+count, collected)]
		p.write(r.AttemptConn, part)
		from += int64(len(part))
		count -= int64(len(part))
	}
	if count > 0 {
		rest := r.Upload.Buffer.B[from-collected:]
		p.write(r.AttemptConn, rest[:count])
	}
}

// checkDelivery continues a delivery when its timer is due.
func (p *Proxy) checkDelivery(now policy.Time, r *connstate.Request) {
	if r.Delivery.Withheld > 0 {
		p.checkWithheld(now, r)
	} else {
		p.checkAcknowledgement(now, r)
	}
}

// checkWithheld writes more of the request if the endpoint has received all that was written, ends the attempt if it is
// no longer wanted or would arrive too late, and otherwise checks again later.
func (p *Proxy) checkWithheld(now policy.Time, r *connstate.Request) {
	outstanding := outstandingBytes(r)
	processing := r.Response.Streaming // the endpoint responds although it does not have the last byte
	switch {
	case r.Decided && !processing: // nobody waits for a response any more
		p.endAttempt(now, r, policy.Cancelled, false)
	case processing && outstanding == 0:
		p.writeRest(now, r)
	case !processing && p.arrivesTooLate(r, outstanding):
		p.endAttempt(now, r, policy.NotSent, false)
	case outstanding > 0:
		observeWidest(r)
		p.scheduleDeliveryCheck(now, r)
	default:
		p.continueDelivery(now, r)
	}
}

// continueDelivery writes more of a request of which the endpoint's kernel has acknowledged all that was written: the
// rest if it will be read in time, and otherwise what comes before the parts of a probe, or the next of these.
func (p *Proxy) continueDelivery(now policy.Time, r *connstate.Request) {
	delivery := &r.Delivery
	if isRetry(r) {
		observeAcknowledged(now, delivery, int64(r.AttemptConn.Socket.PeerWindow()))
	}
	probed := probedBytes(r)
	probing := delivery.Withheld <= probed && delivery.Withheld > maxFinalProbes
	switch {
	case !probing && p.willBeReadInTime(r):
		p.writeRest(now, r)
		return
	case now < delivery.Probe.NextAt:
	case delivery.Withheld > probed:
		p.writeWithheld(now, r, delivery.Withheld-probed)
	case probing:
		p.writeWithheld(now, r, min(probePartSize, delivery.Withheld-maxFinalProbes))
		beginProbePart(now, delivery)
	case delivery.Withheld > 1 && delivery.Probe.Confirmed:
		p.writeWithheld(now, r, 1) // its acknowledgement shows whether the parts have been read meanwhile
		beginProbePart(now, delivery)
	}
	p.scheduleDeliveryCheck(now, r)
}

// writeRest writes what is withheld, in two steps: the last byte follows when the endpoint has received all others.
func (p *Proxy) writeRest(now policy.Time, r *connstate.Request) {
	if withheld := r.Delivery.Withheld; withheld > 1 {
		p.writeWithheld(now, r, withheld-1)
		p.scheduleDeliveryCheck(now, r)
		return
	}
	p.writeLastByte(now, r)
}

// writeLastByte completes the request.
func (p *Proxy) writeLastByte(now policy.Time, r *connstate.Request) {
	p.writeWithheld(now, r, r.Delivery.Withheld)
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
	interval := (now - r.Delivery.WrittenAt) / deliveryCheckDivisor
	interval = min(max(interval, minDeliveryCheckInterval), maxDeliveryCheckInterval)
	p.Timers.Set(&r.Delivery.Timer, now+interval)
}

// outstandingBytes returns how many of the written bytes the endpoint's kernel has not acknowledged.
func outstandingBytes(r *connstate.Request) int64 {
	c := r.AttemptConn
	return c.Unwritten() - r.Delivery.Withheld + int64(c.Socket.Unacknowledged())
}

// arrivesTooLate reports whether the request has to arrive by a certain time and the endpoint's kernel would not
// acknowledge what is written of it by then. outstanding is the result of outstandingBytes.
func (p *Proxy) arrivesTooLate(r *connstate.Request, outstanding int64) bool {
	by, limited := p.ArriveBy(r.Request)
	if !limited {
		return false
	}
	now := p.Clock.Now()
	timeLeft := policy.Time(0)
	if outstanding > 0 {
		timeLeft = minTimeLeft(&r.Delivery, now, outstanding)
	}
	return now+timeLeft >= by
}

// willBeReadInTime reports whether the endpoint will have read all of the request by the time by which it has to
// arrive, if all of it is written now.
func (p *Proxy) willBeReadInTime(r *connstate.Request) bool {
	by, limited := p.ArriveBy(r.Request)
	if !limited {
		return true
	}
	readsSince := p.Clock.Now()
	if delivery := &r.Delivery; delivery.Withheld == 1 && delivery.Read == 0 {
		readsSince = delivery.WrittenAt // all but the last byte could be read from then on
	}
	return readsSince+maxReadTime(&r.Delivery) < by
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

// maxReadTime returns how long the endpoint may take to read the rest of the request. The kernel that has acknowledged
// bytes may hold any number of them: its receive buffer can be larger than every window that it advertises.
func maxReadTime(delivery *connstate.Delivery) policy.Time {
	bytesPerSecond := max(minTransferRate, delivery.ReadRate)
	return policy.Time(delivery.Length-delivery.Read) * policy.Second / policy.Time(bytesPerSecond)
}
