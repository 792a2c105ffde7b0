package roster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"pepperlead/policy"
)

const (
	hold       = 20 * time.Second // for a watch to wait for news
	answerIn   = 2 * time.Second  // beyond that, for an answer to come
	tryAgain   = 100 * time.Millisecond
	tryAtMost  = 2 * time.Second
	nothingNew = 50 * time.Millisecond // to the next call; a watch ends after 200 ms without one
	mostList   = 2 << 20
	mostHead   = 16 << 10
)

// Platform follows the platform's discovery: the whole list, then one watch after another.
type Platform struct {
	gate
	From net.IP // calls leave from there; nil: from whichever address the kernel picks
	addr string
	once bool // after a failed call none is made until Follow says so
}

// NewPlatform makes a source of the discovery at the address.
func NewPlatform(addr string, once bool) *Platform {
	return &Platform{gate: newGate(), addr: addr, once: once}
}

// Name tells the address.
func (p *Platform) Name() string { return "discovery at " + p.addr }

// Run asks while Follow is on.
func (p *Platform) Run(ctx context.Context, say func(News)) {
	dialer := &net.Dialer{Timeout: answerIn, KeepAlive: -1}
	if p.From != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.From}
	}
	transport := &http.Transport{DialContext: dialer.DialContext,
		MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: mostHead}
	defer transport.CloseIdleConnections()
	version, pause := int64(-1), tryAgain
	for p.pass(ctx) {
		list, next, err := p.call(ctx, transport, version)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if errors.Is(err, errList) {
				version = -1 // what else it said is not known, so all is asked for
			}
			if p.once {
				p.Follow(false)
			}
			say(News{Failed: err.Error()})
			if !p.once {
				sleep(ctx, pause)
				pause = min(2*pause, tryAtMost)
			}
			continue
		}
		pause = tryAgain
		say(News{List: list})
		if next == version {
			// Were nothing new answered at once, again and again, the calls would fill the core.
			sleep(ctx, nothingNew)
		}
		version = next
	}
}

// call asks for the whole list, or for what has changed since a version.
func (p *Platform) call(ctx context.Context, by http.RoundTripper, since int64) (*List, int64, error) {
	target, wait := "http://"+p.addr+"/catalog/members", answerIn
	if since >= 0 {
		target, wait = fmt.Sprintf("%s?from=%d&hold_ms=%d", target, since, hold.Milliseconds()), answerIn+hold
	}
	ctx, end := context.WithTimeout(ctx, wait)
	defer end()
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, 0, err
	}
	answer, err := by.RoundTrip(call)
	if err != nil {
		return nil, 0, err
	}
	defer answer.Body.Close()
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
	version, full, entries, err := ReadList(body)
	if err != nil {
		return nil, 0, err
	}
	list := &List{Kind: policy.ListChanges, Entries: entries}
	if full {
		list.Kind = policy.ListFull
	}
	return list, version, nil
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
