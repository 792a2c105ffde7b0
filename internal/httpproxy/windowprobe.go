package httpproxy

import (
	"pepperlead/internal/connstate"
	"pepperlead/policy"
)

// A probe shows whether an endpoint's process reads what its kernel receives. The end of a request is written in small
// parts, each when the endpoint's kernel has acknowledged the one before, and the receive window is looked at that
// comes with each acknowledgement.
//
// A window is limited by the free part of the receive buffer, or by a threshold that rises with each part. Bytes that
// stay unread narrow it part by part in the first case, and in the second it widens. It stays as it is if the process
// reads each part. It also stays if the process reads old bytes as fast as new ones arrive, but then it widens during a
// pause. So a window is confirmed as that of an empty buffer if it was the widest of the delivery for some parts and
// after a pause.
//
// A window that has never been wider than without scaling shows nothing. One that the scaling of its connection does
// not let grow hides at most as many bytes again, as the scaling is chosen by the size of the buffer. A kernel adapts
// the threshold to a receive buffer that its process has set when the next bytes arrive that are longer than the head
// of a request; so the body follows when the process has had time to set it.

const (
	// acceptTime is how long the process of an endpoint may take to accept a connection and to set its receive buffer.
	acceptTime = 10 * policy.Millisecond
	// probePartSize is the size of a part of a probe in bytes. Windows are multiples of a smaller number.
	probePartSize = 4 << 10
	// maxProbeParts is the largest number of parts. Over loopback it is enough for the threshold of 8 MiB.
	maxProbeParts = 64
	// maxFinalProbes is the number of bytes before the last one that are kept for a last look at the window.
	maxFinalProbes = 32
	// unprobedShare is the part of a body, as a divisor, that is written before the first part of a probe.
	unprobedShare = 4
	// maxUnscaledWindow is the largest value of the window's field in a segment.
	maxUnscaledWindow = 1<<16 - 1
	// steadyParts is the number of parts in succession, before the pause, that must not narrow the window.
	steadyParts = 4
	// minProbePause is the least pause after them. The pause is as long as these parts took, if that is longer.
	minProbePause = 50 * policy.Millisecond
)

// Delay of the next part when the endpoint's process has not read the latest one; it doubles.
const (
	minProbeDelay = policy.Millisecond
	maxProbeDelay = 50 * policy.Millisecond
)

// probedBytes returns how many bytes at the end of the request a probe may be made with.
func probedBytes(r *connstate.Request) int64 {
	size := int64(r.Upload.Size)
	return min(size-size/unprobedShare, maxProbeParts*probePartSize)
}

// observeWidest records the receive window of the endpoint if the attempt is a retry.
func observeWidest(r *connstate.Request) {
	if isRetry(r) {
		window := int64(r.AttemptConn.Socket.PeerWindow())
		r.Delivery.Probe.Widest = max(r.Delivery.Probe.Widest, window)
	}
}

// beginProbePart records that a part of a probe was written.
func beginProbePart(now policy.Time, delivery *connstate.Delivery) {
	probe := &delivery.Probe
	probe.Pending = true
	if probe.Steady == 0 {
		probe.SteadySince = now
	}
}

// observeAcknowledged records the window, in bytes, that the endpoint has advertised with the acknowledgement of all
// that was written.
func observeAcknowledged(now policy.Time, delivery *connstate.Delivery, window int64) {
	probe := &delivery.Probe
	switch {
	case window > probe.Widest:
		probe.Widest = window
		probe.Confirmed = false
		probe.Steady = 0
		probe.Delay = 0
	case window+probePartSize < probe.Widest:
		if probe.Pending {
			delayProbe(now, probe)
		}
		probe.Steady = 0
	default:
		if probe.Pending {
			countSteadyPart(now, probe)
		}
		if probe.Confirmed {
			recordRead(now, delivery)
		}
	}
	probe.Pending = false
}

// countSteadyPart counts a part after which the window was the widest, and begins the pause after the last of them.
func countSteadyPart(now policy.Time, probe *connstate.WindowProbe) {
	probe.Steady++
	probe.Delay = 0
	switch {
	case probe.Steady == steadyParts:
		probe.NextAt = now + max(minProbePause, now-probe.SteadySince)
	case probe.Steady > steadyParts:
		probe.Confirmed = probe.Widest > maxUnscaledWindow
	}
}

// recordRead records how much of the request the endpoint's process has read, as the window is that of an empty buffer.
func recordRead(now policy.Time, delivery *connstate.Delivery) {
	written := delivery.Length - delivery.Withheld
	widest := delivery.Probe.Widest
	if !limitedByScaling(widest) {
		delivery.Read = written - probePartSize // the kernel may have acknowledged the latest part before it was read
		return
	}
	delivery.Read = max(delivery.Read, written-widest)
	buffered := 2 * widest
	elapsed := max(now-delivery.Since, policy.Millisecond)
	delivery.ReadRate = (written - buffered) * int64(policy.Second) / int64(elapsed)
}

// limitedByScaling reports whether a window of this size, in bytes, is the widest that the scaling of its connection
// allows.
func limitedByScaling(window int64) bool {
	factor := window & -window
	return window/factor == maxUnscaledWindow
}

// delayProbe puts the next part off, so that the endpoint has time to read before all parts are written.
func delayProbe(now policy.Time, probe *connstate.WindowProbe) {
	probe.Delay = min(max(minProbeDelay, 2*probe.Delay), maxProbeDelay)
	probe.NextAt = now + probe.Delay
}
