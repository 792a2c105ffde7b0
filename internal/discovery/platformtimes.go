package discovery

import (
	"math/rand/v2"
	"time"
)

// Bounds on the time for which discovery may hold a watch. Agents always get the minimum, because a drain must take
// effect within 6 s after discovery learns of it, even if a call fails: the watch, its response, the next call and the
// grace have to fit into these 6 s.
const (
	minWatchTimeout = 2 * time.Second
	maxWatchTimeout = 20 * time.Second
	// watchTimePerInstance limits the instances that share a service to 100 calls per second in total.
	watchTimePerInstance = 10 * time.Millisecond
)

// Timeout and retry delays of calls to a shared service.
const (
	answerTimeout   = 2 * time.Second
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
	maxDoublings    = 8 // maximum number of doublings of the delay, so that it can't overflow
)

// Timeout and retry delay of calls to an agent, as parts of the grace. A call without an answer, the delay after it and
// a second call must fit into the grace.
const (
	agentTimeoutDivisor    = 3 // the timeout is a third of the grace
	minAgentTimeout        = 100 * time.Millisecond
	maxAgentTimeout        = 500 * time.Millisecond
	agentRetryDelayDivisor = 10 // the delay is a tenth of the grace
	minAgentRetryDelay     = 20 * time.Millisecond
)

// WatchTimeout returns how long a watch may be held if the given number of instances watch. It grows with the number of
// instances that share a service, to limit the service's load; calls to an agent on the same machine cost nothing.
func WatchTimeout(agent bool, instances int) time.Duration {
	if agent {
		return minWatchTimeout
	}
	return min(max(minWatchTimeout, time.Duration(instances)*watchTimePerInstance), maxWatchTimeout)
}

// AnswerTimeout returns how long discovery may take to begin its response, in addition to the time of a watch.
func (p *Platform) AnswerTimeout() time.Duration {
	if p.Grace == 0 {
		return answerTimeout
	}
	return min(max(p.Grace/agentTimeoutDivisor, minAgentTimeout), maxAgentTimeout)
}

// retryDelay returns the delay before the next call after the given number of consecutive failures.
func (p *Platform) retryDelay(failures int) time.Duration {
	switch {
	case failures == 1 && p.Grace > 0:
		return 0 // an agent that has reset a connection or let a call time out usually answers the next call
	case p.Grace > 0:
		return min(max(p.Grace/agentRetryDelayDivisor, minAgentRetryDelay), firstRetryDelay)
	default:
		return min(firstRetryDelay<<min(failures-1, maxDoublings), maxRetryDelay)
	}
}

// jitter shortens a delay by a random part of up to one half if instances share a service: in an outage, the calls of
// all instances fail at the same moment and must not be retried in sync.
func (p *Platform) jitter(delay time.Duration) time.Duration {
	if p.Grace > 0 {
		return delay // an agent serves this instance alone
	}
	return delay - rand.N(delay/2+1)
}
