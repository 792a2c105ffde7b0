package httpproxy

import (
	"errors"

	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// The end of a client's connection lies behind the bytes that the client has sent. While a request with a long body
// waits for its attempt, the body is not read, so the client may leave unnoticed. Its input is then read ahead before
// the attempt is written, until its end is found, or until the client was certainly there at the begin of the check or
// later.

const (
	// uncheckedTime is how long after its admission an attempt may begin without a check: an attempt is not late if its
	// client has left less than 0.1 s before.
	uncheckedTime = 50 * policy.Millisecond
	// maxClientBuffer is how many bytes the kernel of the client may hold at most, as Linux lets writers go a little
	// over the largest size to which it grows a send buffer.
	maxClientBuffer = maxInTransit + 512<<10
	// silenceTime is how long nothing arrives from a client whose input was all read, if nothing is on the way.
	silenceTime = 5 * policy.Millisecond
	// maxUnblocked is how many bytes arrive without filling a receive buffer. With more, segments may have been dropped
	// for want of room, which their sender repeats after 200 ms at the earliest.
	maxUnblocked = 64 << 10
	// maxTrickleTime is how long something may go on arriving, without silence, from a client whose input was all read,
	// until that counts as sent since.
	maxTrickleTime = 50 * policy.Millisecond
	// maxCheckTime is how long a check takes at most. The attempt begins without its result then.
	maxCheckTime = 250 * policy.Millisecond
	// overdraftShare is the part of the memory for messages, as a divisor, by which a check may exceed it: clients that
	// have left then give theirs back.
	overdraftShare = 8
	// roomCheckInterval is the time between two looks whether there is memory.
	roomCheckInterval = policy.Millisecond
)

// beginAttempt writes the request to the connection of its attempt, if need be after a check that the client has not
// left.
func (p *Proxy) beginAttempt(now policy.Time, r *connstate.Request) {
	if mayHaveLeft(now, r) {
		p.beginClientCheck(now, r)
		return
	}
	p.writeRequest(now, r)
}

// mayHaveLeft reports whether the end of the client's connection may lie behind bytes that were not read.
func mayHaveLeft(now policy.Time, r *connstate.Request) bool {
	c := r.Client
	waited := r.Upload.Active && now-r.ReceivedAt >= uncheckedTime
	return waited && c != nil && c.Socket.Unread() >= minReadAhead
}

func (p *Proxy) beginClientCheck(now policy.Time, r *connstate.Request) {
	timer := r.ClientCheck.Timer
	if timer.Run == nil {
		timer.Run = func(now policy.Time) { p.continueClientCheck(now, r) }
	}
	r.ClientCheck = connstate.ClientCheck{Active: true, Since: now, InputAt: now, Timer: timer}
	r.AttemptConn.Output.Queued++ // so that the request does not count as written
	p.continueClientCheck(now, r)
}

// continueClientCheck reads more of the client's input, for one turn at most.
func (p *Proxy) continueClientCheck(now policy.Time, r *connstate.Request) {
	check := &r.ClientCheck
	c := r.Client
	if c == nil || c.Closing {
		return // the request ends
	}
	if !p.reserveRoom(r) {
		p.awaitRoom(now, r)
		return
	}
	for range maxReadsPerTurn {
		if check.Reserved <= 0 {
			p.endClientCheck(now, r) // the client has sent some of what was read since the begin
			return
		}
		if p.buffers.InUse() > p.buffers.Limit+p.buffers.Limit/overdraftShare {
			p.awaitRoom(now, r)
			return
		}
		before := c.Socket.Ahead()
		err := c.Socket.ReadAhead(p.readBuffer)
		check.Read += c.Socket.Ahead() - before
		p.useRoom(check, c.Socket.Ahead()-before)
		switch {
		case err == nil:
			inputRead(now, check)
		case errors.Is(err, connstate.ErrNoInput):
			p.clientDrained(now, r)
			return
		case errors.Is(err, connstate.ErrShortOfMemory):
			p.Timers.Set(&check.Timer, now+retryInterval)
			return
		default:
			c.Input.HungUp = true
			p.closeConn(c, connstate.PeerClosed)
			return
		}
	}
	p.await(c)
}

// reserveRoom reserves memory for all that a client may have sent, and reports whether it is reserved. One check at a
// time may begin however little memory is left.
func (p *Proxy) reserveRoom(r *connstate.Request) bool {
	check := &r.ClientCheck
	if check.HasRoom {
		return true
	}
	most := r.Client.Socket.Unread() + maxClientBuffer
	alone := p.checkMemory == 0
	if !alone && p.buffers.InUse()+p.checkMemory+most > p.readAheadLimit() {
		return false
	}
	check.HasRoom = true
	check.Reserved = most
	p.checkMemory += most
	return true
}

// useRoom counts reserved memory as used.
func (p *Proxy) useRoom(check *connstate.ClientCheck, bytes int) {
	check.Reserved -= bytes
	p.checkMemory -= bytes
}

// awaitRoom puts the check off until there may be memory, or ends it.
func (p *Proxy) awaitRoom(now policy.Time, r *connstate.Request) {
	check := &r.ClientCheck
	if now-check.Since > maxCheckTime {
		p.endClientCheck(now, r)
		return
	}
	p.Timers.Set(&check.Timer, now+roomCheckInterval)
}

// inputRead records that input has arrived.
func inputRead(now policy.Time, check *connstate.ClientCheck) {
	if now-check.InputAt > silenceTime {
		check.DrainedAt = 0
	}
	check.InputAt = now
}

// clientDrained handles that all input of a client that had arrived was read. What the client sent before may still be
// on the way.
func (p *Proxy) clientDrained(now policy.Time, r *connstate.Request) {
	check := &r.ClientCheck
	if check.DrainedAt == 0 {
		check.DrainedAt = now
	}
	knownAt := check.Since + maxCheckTime
	if check.Read < maxUnblocked || isWholeBodyRead(r.Client) {
		knownAt = min(knownAt, check.InputAt+silenceTime)
	}
	if now >= knownAt || check.InputAt-check.DrainedAt >= maxTrickleTime {
		p.endClientCheck(now, r)
		return
	}
	p.Timers.Set(&check.Timer, knownAt)
}

// isWholeBodyRead reports whether a body of known size was read to its end, read ahead included.
func isWholeBodyRead(c *connstate.Conn) bool { return c.Frame.Kind == sizedBody && remaining(c) <= 0 }

// endClientCheck writes the request of an attempt whose client has not left, unless the attempt is no longer wanted.
func (p *Proxy) endClientCheck(now policy.Time, r *connstate.Request) {
	p.stopClientCheck(r)
	if p.mayBeWritten(now, r.AttemptConn) {
		p.writeRequest(now, r)
	}
}

// stopClientCheck ends a check without a result.
func (p *Proxy) stopClientCheck(r *connstate.Request) {
	if !r.ClientCheck.Active {
		return
	}
	r.ClientCheck.Active = false
	p.useRoom(&r.ClientCheck, r.ClientCheck.Reserved)
	r.AttemptConn.Output.Queued--
	p.Timers.Stop(&r.ClientCheck.Timer)
}
