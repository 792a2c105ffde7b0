package discovery

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/policy"
)

const (
	// minCallInterval is the minimum time between the starts of two calls if the first one returned nothing new.
	minCallInterval = 50 * time.Millisecond
	// maxHeaderSize bounds the header of a response, in bytes.
	maxHeaderSize = 16 << 10
	// unknownRevision is used while no revision is known, so that the next call requests the whole list.
	unknownRevision = -1
)

// Platform is a source that follows the platform's discovery service: it requests the whole list, and then watches for
// changes since the revision of that list.
type Platform struct {
	gate
	SourceIP net.IP // local address of the connections; nil: the kernel chooses

	// Grace is set if discovery is an agent on this machine. It is how long requests may still be sent to an endpoint
	// after the agent has learnt of the endpoint's drain. 0: discovery is a shared service on another machine.
	Grace        time.Duration
	WatchTimeout time.Duration // how long discovery may hold a watch while nothing changes

	addr     string
	onDemand bool // after a failed call, no call is made until Follow is called

	connectionCloses bool // the last response announced that its connection will be closed
}

// NewPlatform returns a source that uses the discovery service at the given address.
func NewPlatform(addr string, onDemand bool) *Platform {
	return &Platform{gate: newGate(), addr: addr, onDemand: onDemand, WatchTimeout: maxWatchTimeout}
}

// Name returns a name that contains the address of the discovery service.
func (p *Platform) Name() string { return "discovery at " + p.addr }

// Run calls the discovery service while Follow is on, and emits the lists that the service returns.
func (p *Platform) Run(ctx context.Context, emit func(Event)) {
	transport := p.newTransport()
	defer transport.CloseIdleConnections()
	revision := int64(unknownRevision)
	failures := 0
	for p.wait(ctx) {
		start := time.Now()
		askedAt := clock.BootTime()
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
		emit(Event{List: answer.list(askedAt, clock.BootTime())})
		next := answer.revision
		switch {
		case next == revision:
			// If the service answered every watch immediately with nothing new, the calls would use up the CPU.
			sleep(ctx, minCallInterval-time.Since(start))
		case next < revision && !answer.full:
			// The service has restarted its count of revisions, so changes may be missing from this list.
			next = unknownRevision
			sleep(ctx, minCallInterval)
		}
		revision = next
	}
}

// mustRequestAll reports whether the next call after a failed one must request the whole list. After a list that can't
// be decoded, some changes may be missing. An agent may have restarted and count its revisions from the start; a watch
// for changes since the old revision would then wait until the agent's revision exceeds the old one. A request for the
// whole list is answered immediately, and is cheap because the agent is on the same machine.
func (p *Platform) mustRequestAll(err error) bool {
	return errors.Is(err, errMalformedList) || p.Grace > 0
}

// handleFailure emits an event for a failed call. It then waits for the retry delay, or, if calls are made on demand,
// stops them until Follow is called.
func (p *Platform) handleFailure(ctx context.Context, err error, failures int, emit func(Event)) {
	if p.onDemand {
		p.Follow(false)
	}
	emit(Event{Failed: err.Error()})
	if !p.onDemand {
		sleep(ctx, p.jitter(p.retryDelay(failures)))
	}
}

// newTransport returns the transport for all calls, which keeps one idle connection.
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

// list returns the decoded list as a List, with the times at which it was asked for and received.
func (l platformList) list(askedAt, toldAt policy.Time) *List {
	list := &List{Kind: policy.ListChanges, Entries: l.entries, Revision: l.revision, AskedAt: askedAt, ToldAt: toldAt}
	if l.full {
		list.Kind = policy.ListFull
	}
	return list
}
