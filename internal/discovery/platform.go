package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"pepperlead/policy"
)

const (
	longHold   = 20 * time.Second      // for a watch to wait for news, where nothing else is told
	agentHold  = 2 * time.Second       // the same at an agent, or where calls are few: told is binding 6 s after, whatever became of a call
	callEach   = 10 * time.Millisecond // of hold for each sidecar that asks the same discovery, so that together they make 100 calls a second
	answerIn   = 2 * time.Second       // for an answer to come, where discovery may be far away or must be asked
	tryAgain   = 100 * time.Millisecond
	tryAtMost  = 2 * time.Second
	nothingNew = 50 * time.Millisecond // to the next call; a watch ends after 200 ms without one
	mostList   = 8 << 20               // of text: some thousands of servers with long names, indented
	mostHead   = 16 << 10

	// Of the time in which sends to a server that drains must end: for an agent to answer, and between two calls that fail. Both, a dial
	// and the deal of the list must fit in it, as what the agent gets binds at once.
	gracePerAnswer, gracePerPause = 3, 10
	leastAnswer, mostAnswer       = 100 * time.Millisecond, time.Second / 2
	leastPause                    = 20 * time.Millisecond
)

// Platform follows the platform's discovery: the whole list, then one watch after another.
type Platform struct {
	gate
	SourceIP     net.IP        // calls leave from there; nil: from whichever address the kernel picks
	Grace        time.Duration // discovery is an agent on this machine, and what it has been told binds so much later; 0: it is neither
	WatchTimeout time.Duration // for a watch to wait for news
	addr         string
	once         bool // after a failed call none is made until Follow says so

	closes bool // the last answer said that its connection ends with it
}

// AnswerTimeout is how long an answer may take to begin, beyond what its call is to wait.
func (p *Platform) AnswerTimeout() time.Duration {
	if p.Grace == 0 {
		return answerIn
	}
	return min(max(p.Grace/gracePerAnswer, leastAnswer), mostAnswer)
}

// pause is how long after so many failures in a row the next call is made.
func (p *Platform) pause(failed int) time.Duration {
	switch {
	case failed == 1 && p.Grace > 0:
		return 0 // a reset or a silent call, say, of an agent that answers the next at once
	case p.Grace > 0:
		return min(max(p.Grace/gracePerPause, leastPause), tryAgain)
	}
	return min(tryAgain<<min(failed-1, 8), tryAtMost)
}

// spread shortens a pause by up to a half, drawn anew each time, where discovery serves many instances: one outage fails the calls of all in
// the same moment, and asked again in step it would stay swamped.
func (p *Platform) spread(pause time.Duration) time.Duration {
	if p.Grace > 0 {
		return pause // an agent of this instance alone
	}
	return pause - rand.N(pause/2+1)
}

// NewPlatform makes a source of the discovery at the address.
func NewPlatform(addr string, once bool) *Platform {
	return &Platform{gate: newGate(), addr: addr, once: once, WatchTimeout: longHold}
}

// WatchTimeout is how long a watch may wait where so many sidecars watch. One that has fallen silent is given up after it, and what discovery had
// meanwhile binds 6 s after it had it: hold, answer, the next call and the grace have to fit in. An agent on the same machine costs
// nothing; elsewhere calls are shared out.
func WatchTimeout(agent bool, sidecars int) time.Duration {
	if agent {
		return agentHold
	}
	return min(max(agentHold, time.Duration(sidecars)*callEach), longHold)
}

// Name tells the address.
func (p *Platform) Name() string { return "discovery at " + p.addr }

// Run asks while Follow is on.
func (p *Platform) Run(ctx context.Context, say func(Event)) {
	dialer := &net.Dialer{Timeout: p.AnswerTimeout(), KeepAlive: -1}
	if p.SourceIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.SourceIP}
	}
	transport := &http.Transport{DialContext: dialer.DialContext,
		MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: mostHead}
	defer transport.CloseIdleConnections()
	version, failed := int64(-1), 0
	for p.pass(ctx) {
		began := time.Now()
		list, next, err := p.call(ctx, transport, version)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if errors.Is(err, errList) || p.Grace > 0 {
				// What else it said is not known, or an agent that comes back counts anew: a watch from the old number would wait for
				// a higher one. All is asked for, which is answered at once and costs nothing where the agent is on this machine.
				version = -1
			}
			if failed++; p.once {
				p.Follow(false)
			}
			say(Event{Failed: err.Error()})
			if !p.once {
				sleep(ctx, p.spread(p.pause(failed)))
			}
			continue
		}
		failed = 0
		say(Event{List: list})
		switch {
		case next == version:
			// Were nothing new answered at once, again and again, the calls would fill the core.
			sleep(ctx, nothingNew-time.Since(began))
		case next < version && list.Kind == policy.ListChanges:
			next = -1 // changes since a number of another count: what came between is not known
			sleep(ctx, nothingNew)
		}
		version = next
	}
}

// call asks for the whole list, or for what has changed since a version.
func (p *Platform) call(ctx context.Context, by http.RoundTripper, since int64) (*List, int64, error) {
	target, wait := "http://"+p.addr+"/catalog/members", p.AnswerTimeout()
	if since >= 0 {
		target, wait = fmt.Sprintf("%s?from=%d&hold_ms=%d", target, since, p.WatchTimeout.Milliseconds()), wait+p.WatchTimeout
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	late := time.AfterFunc(wait, func() { end(errLate) })
	defer late.Stop()
	if p.Grace > 0 {
		// Where a kept connection has ended, between two calls or as this one is made, the agent may have come back with lower numbers, or be
		// silent. The transport would watch on by a new connection: all is to be asked for instead. An agent that says of each answer
		// that its connection ends is watched all the same.
		sent := 0
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(by httptrace.GotConnInfo) {
			if sent++; sent > 1 || since >= 0 && !by.Reused && !p.closes {
				end(errRepeat)
			}
		}})
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, 0, err
	}
	answer, err := by.RoundTrip(call)
	if err != nil {
		return nil, 0, err
	}
	defer answer.Body.Close()
	p.closes = answer.Close
	late.Reset(p.AnswerTimeout()) // one that has begun must end, and is not given as long as a watch
	if answer.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("the answer cannot be used: status %d", answer.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, mostList+1))
	if err != nil {
		return nil, 0, err
	}
	if len(body) > mostList {
		return nil, 0, fmt.Errorf("%w: over %d bytes", errList, mostList)
	}
	version, full, entries, err := DecodeList(body)
	if err != nil {
		return nil, 0, err
	}
	list := &List{Kind: policy.ListChanges, Entries: entries}
	if full {
		list.Kind = policy.ListFull
	}
	return list, version, nil
}

var (
	errLate   = errors.New("no answer in time")
	errRepeat = errors.New("the connection had ended")
)

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
