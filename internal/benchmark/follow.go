package benchmark

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/fakebackend"
)

const (
	followClients    = 4
	followLoadPeriod = 100 * time.Millisecond
	followPause      = 300 * time.Millisecond // before each change
	followTimeout    = 5 * time.Second
	followPoll       = 100 * time.Microsecond
)

// MeasureListDelay measures how long a daemon takes to follow a change of a list file. The daemon listens at the
// address and reads the file, which lists two endpoints, of which one is draining. Each round swaps them and measures
// the time from the return of the rename to the first request at the endpoint that was draining before.
func MeasureListDelay(listen, list string, rounds int, sealed bool) ([]time.Duration, error) {
	pair := &endpointPair{list: list, sealed: sealed}
	defer pair.close()
	if err := pair.start(); err != nil {
		return nil, err
	}
	const firstIssue = 2
	if err := pair.writeList(firstIssue); err != nil {
		return nil, err
	}
	if err := WaitForAnswer(listen, startTimeout); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for range followClients {
		go loadUntil(stop, listen)
	}
	var delays []time.Duration
	for round := range rounds {
		time.Sleep(followPause)
		delay, err := pair.followChange(firstIssue + 1 + round)
		if err != nil {
			return delays, err
		}
		delays = append(delays, delay)
	}
	return delays, nil
}

// loadUntil sends requests until the channel is closed.
func loadUntil(stop <-chan struct{}, listen string) {
	for {
		select {
		case <-stop:
			return
		default:
			runLoad(listen, 1, followLoadPeriod)
		}
	}
}

// endpointPair holds two fake backends and the list file in which one of them is draining.
type endpointPair struct {
	list         string
	sealed       bool
	endpoints    [2]*fakebackend.Server
	firstRequest [2]atomic.Int64 // Unix time, ns, of the first request at each endpoint; 0: none yet
}

func (p *endpointPair) start() error {
	for i := range p.endpoints {
		seen := func(string, string, time.Time) { p.firstRequest[i].CompareAndSwap(0, time.Now().UnixNano()) }
		endpoint, err := fakebackend.Start("127.0.0.1:0", fakebackend.Traits{Cores: 64, Queue: 1024, OnRequest: seen})
		if err != nil {
			return err
		}
		p.endpoints[i] = endpoint
	}
	return nil
}

func (p *endpointPair) close() {
	for _, endpoint := range p.endpoints {
		if endpoint != nil {
			closeUnchecked(endpoint)
		}
	}
}

// draining returns the index of the endpoint that is draining in an issue of the list.
func (p *endpointPair) draining(issue int) int { return issue % 2 }

// followChange writes an issue of the list and returns the time until a request reaches the endpoint that this issue
// makes ready.
func (p *endpointPair) followChange(issue int) (time.Duration, error) {
	ready := 1 - p.draining(issue)
	p.firstRequest[ready].Store(0)
	if err := p.writeList(issue); err != nil {
		return 0, err
	}
	written := time.Now().UnixNano()
	deadline := time.Now().Add(followTimeout)
	for p.firstRequest[ready].Load() == 0 {
		if time.Now().After(deadline) {
			return 0, fmt.Errorf("the daemon did not follow issue %d of the list within 5 s", issue)
		}
		time.Sleep(followPoll)
	}
	return time.Duration(p.firstRequest[ready].Load() - written), nil
}

// writeList replaces the list file with an issue of the list.
func (p *endpointPair) writeList(issue int) error {
	var body strings.Builder
	for i, endpoint := range p.endpoints {
		fmt.Fprintf(&body, "[[server]]\nid = \"f-%d\"\naddress = %q\n", i, endpoint.Addr())
		if i == p.draining(issue) {
			body.WriteString("state = \"draining\"\n")
		} else if !p.sealed {
			started := time.Now().Add(-time.Minute).UTC().Format(time.RFC3339Nano)
			fmt.Fprintf(&body, "started = %s\n", started)
		}
	}
	text := fmt.Appendf([]byte(body.String()), "[whole]\nservers = 2\nissue = %d\ntakes_away = 2\n", issue)
	if p.sealed {
		var err error
		text, _, err = endpointfiles.Seal("list", []byte(body.String()), endpointfiles.Issue(issue), 2)
		if err != nil {
			return err
		}
	}
	temporary := p.list + ".tmp"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, p.list)
}
