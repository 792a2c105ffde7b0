package discovery

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"pepperlead/policy"
)

const (
	// minCallInterval is the least time between the starts of two calls where the first brought nothing new.
	minCallInterval = 50 * time.Millisecond
	// maxHeaderSize bounds the header of an answer, in bytes.
	maxHeaderSize = 16 << 10
	// unknownRevision has the whole list requested.
	unknownRevision = -1
)

// Platform is a source that follows the platform's discovery service: it requests the whole list, then watches for
// changes since its revision.
type Platform struct {
	gate
	SourceIP net.IP // local address of calls; nil: the kernel chooses

	// Grace is set where discovery is an agent on this machine: how long after the agent knows of a drain no request
	// may be sent to the endpoint any more. 0: discovery is a service elsewhere.
	Grace        time.Duration
	WatchTimeout time.Duration // how long discovery may hold a watch while nothing changes

	addr     string
	onDemand bool // after a failed call, none is made until Follow

	connectionCloses bool // the last answer said that its connection is closed after it
}

// NewPlatform returns a source for the discovery service at an address.
func NewPlatform(addr string, onDemand bool) *Platform {
	return &Platform{gate: newGate(), addr: addr, onDemand: onDemand, WatchTimeout: maxWatchTimeout}
}

// Name returns the address.
func (p *Platform) Name() string { return "discovery at " + p.addr }

// Run makes calls while Follow is on.
func (p *Platform) Run(ctx context.Context, emit func(Event)) {
	transport := p.newTransport()
	defer transport.CloseIdleConnections()
	revision := int64(unknownRevision)
	failures := 0
	for p.wait(ctx) {
		start := time.Now()
		answer, err := p.call(ctx, transport, revision)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			if p.mustRequestAll(err) {
				revision = unknownRevision
			}
			p.handleFailure(ctx, err, failures, emit)
			continue
		}
		failures = 0
		emit(Event{List: answer.list()})
		next := answer.revision
		switch {
		case next == revision:
			// Were every watch answered at once with nothing new, the calls would use up the CPU.
			sleep(ctx, minCallInterval-time.Since(start))
		case next < revision && !answer.full:
			// Changes since a revision that the service counted differently: what came between is not known.
			next = unknownRevision
			sleep(ctx, minCallInterval)
		}
		revision = next
	}
}

// mustRequestAll reports whether the next call after a failed one must request the whole list. After an answer that
// can't be read, parts of it may be missing. An agent may have restarted with a lower revision, and a watch would wait
// until it exceeds the old one; the whole list is answered at once, and cheap to get from the same machine.
func (p *Platform) mustRequestAll(err error) bool {
	return errors.Is(err, errMalformedList) || p.Grace > 0
}

// handleFailure emits a failed call and waits before the next one.
func (p *Platform) handleFailure(ctx context.Context, err error, failures int, emit func(Event)) {
	if p.onDemand {
		p.Follow(false)
	}
	emit(Event{Failed: err.Error()})
	if !p.onDemand {
		sleep(ctx, p.jitter(p.retryDelay(failures)))
	}
}

// newTransport returns the transport of all calls, which keeps one connection.
func (p *Platform) newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: p.AnswerTimeout(), KeepAlive: -1}
	if p.SourceIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.SourceIP}
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    1,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderSize,
	}
}

// list returns the list of an answer.
func (l platformList) list() *List {
	if l.full {
		return &List{Kind: policy.ListFull, Entries: l.entries}
	}
	return &List{Kind: policy.ListChanges, Entries: l.entries}
}
