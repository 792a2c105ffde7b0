package discovery

import (
	"math/rand/v2"
	"time"
)

// How long discovery may hold a watch. A drain must take effect 6 s after discovery has it, whatever becomes of a call:
// the watch, its answer, the next call and the grace have to fit into that.
const (
	minWatchTimeout = 2 * time.Second
	maxWatchTimeout = 20 * time.Second
	// watchTimePerInstance limits all instances that share a service to 100 calls a second.
	watchTimePerInstance = 10 * time.Millisecond
)

// Timeout and retries of calls to a service elsewhere.
const (
	answerTimeout   = 2 * time.Second
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
	maxDoublings    = 8 // of the delay, so that it can't overflow
)

// Timeout and retries of calls to an agent, as parts of the grace: a call that gets no answer, the delay after it and a
// second call must fit into it.
const (
	graceParts         = 3 // the timeout is a third of the grace
	minAgentTimeout    = 100 * time.Millisecond
	maxAgentTimeout    = 500 * time.Millisecond
	graceDelayParts    = 10 // the delay is a tenth of the grace
	minAgentRetryDelay = 20 * time.Millisecond
)

// WatchTimeout returns how long a watch may wait where so many instances watch. Calls to a shared service are spread
// over the instances; calls to an agent on the same machine cost nothing.
func WatchTimeout(agent bool, instances int) time.Duration {
	if agent {
		return minWatchTimeout
	}
	return min(max(minWatchTimeout, time.Duration(instances)*watchTimePerInstance), maxWatchTimeout)
}

// AnswerTimeout returns how long an answer may take to begin, beyond the time for which its watch is held.
func (p *Platform) AnswerTimeout() time.Duration {
	if p.Grace == 0 {
		return answerTimeout
	}
	return min(max(p.Grace/graceParts, minAgentTimeout), maxAgentTimeout)
}

// retryDelay returns the delay before the next call after a number of failures in a row.
func (p *Platform) retryDelay(failures int) time.Duration {
	switch {
	case failures == 1 && p.Grace > 0:
		return 0 // an agent that resets one connection or lets one call time out answers the next
	case p.Grace > 0:
		return min(max(p.Grace/graceDelayParts, minAgentRetryDelay), firstRetryDelay)
	default:
		return min(firstRetryDelay<<min(failures-1, maxDoublings), maxRetryDelay)
	}
}

// jitter shortens a delay by a random part of up to a half where instances share a service: the calls of all of them
// fail in the same moment of an outage, and must not be retried in step.
func (p *Platform) jitter(delay time.Duration) time.Duration {
	if p.Grace > 0 {
		return delay // an agent serves this instance alone
	}
	return delay - rand.N(delay/2+1)
}
