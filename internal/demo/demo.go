// Package demo runs a sidecar and fake endpoints in one process on loopback, without a configuration file, so that
// users can try it.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"pepperlead/internal/discovery"
	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/fakebackend"
	"pepperlead/internal/httpproxy"
	"pepperlead/policy"
)

// Options are the options of a demo.
type Options struct {
	Listen   string // address of the sidecar; port 0: any free port
	Servers  int    // number of fake endpoints
	Seed     uint64
	Duration time.Duration // 0: the demo runs until the context ends
}

const (
	maxServers    = 200 // limit on the number of fake endpoints
	descriptors   = 512
	messageMemory = 32 << 20         // bytes
	readyInterval = time.Millisecond // time between checks whether the sidecar is ready
)

// faultRate is the share of requests that each kind of fault affects at the endpoints. It is above 0 so that the
// counters show retries.
const faultRate = 0.01

// classes are the classes of the demo, the same as in deploy/standalone.toml.
var classes = []policy.Class{
	{
		Name:        "step",
		Value:       5,
		LateValue:   0.2,
		Target:      400 * policy.Millisecond,
		Idempotency: policy.Idempotent,
	},
	{
		Name:        "note",
		Value:       2,
		LateValue:   0.2,
		Target:      800 * policy.Millisecond,
		Idempotency: policy.Keyed,
		Group:       policy.GroupZone,
		Window:      2 * policy.Second,
	},
	{
		Name:        "call",
		Value:       10,
		Target:      policy.Second,
		Idempotency: policy.NonIdempotent,
	},
}

// Run runs a demo until its duration has passed or the context ends. It prints commands to try at the start, and the
// counters of the sidecar and the endpoints at the end.
func Run(ctx context.Context, options Options, log *logrus.Logger, out io.Writer) error {
	if options.Servers < 1 || options.Servers > maxServers {
		return fmt.Errorf("servers: found %d, allowed 1 to %d", options.Servers, maxServers)
	}
	listen, err := freeAddress(options.Listen)
	if err != nil {
		return err
	}
	var backends endpoints
	defer backends.close()
	if err := backends.start(options); err != nil {
		return err
	}
	sidecar := httpproxy.New(config(options, listen, &backends.list), log)
	stop := make(chan os.Signal, 1)
	ended := make(chan error, 1)
	go func() { ended <- sidecar.Run(stop, nil) }()
	if ready, err := awaitReady(sidecar, ended); !ready {
		return err
	}
	p := printer{out}
	p.printIntroduction(options, listen)
	if options.Duration > 0 {
		timed, cancel := context.WithTimeout(ctx, options.Duration)
		defer cancel()
		ctx = timed
	}
	select {
	case <-ctx.Done():
	case err := <-ended:
		return err
	}
	stop <- syscall.SIGTERM
	err = <-ended
	p.printCounters(sidecar)
	p.printEndpoints(&backends)
	return err
}

// awaitReady waits until the sidecar serves. If the sidecar ends before that, it returns false and the sidecar's error.
func awaitReady(sidecar *httpproxy.Proxy, ended <-chan error) (ready bool, err error) {
	for !sidecar.Ready() {
		select {
		case err := <-ended:
			return false, err
		case <-time.After(readyInterval):
		}
	}
	return true, nil
}

// config returns the configuration of the sidecar.
func config(options Options, listen string, source discovery.Source) httpproxy.Config {
	return httpproxy.Config{
		Listen:         listen,
		Source:         source,
		Seed:           options.Seed,
		Descriptors:    descriptors,
		MessageMemory:  messageMemory,
		ConnectTimeout: 200 * policy.Millisecond,
		IdleTimeout:    60 * policy.Second,
		AcceptTime:     50 * policy.Millisecond,
		ShutdownTime:   2 * policy.Second,
		Anonymous:      true,
		DefaultClass:   "step",
		Deadlines:      []policy.Time{2 * policy.Second, 3 * policy.Second, 3 * policy.Second}, // by class
		Settings: &policy.Settings{
			Instances:        1,
			Zone:             "a",
			Zones:            1,
			FixedWeights:     true,
			MayCancel:        true,
			MaxAttempts:      3,
			MaxRetryAfter:    3 * policy.Second,
			Tick:             5 * policy.Millisecond,
			ColdCapacity:     0.2,
			ColdTime:         2 * policy.Second,
			OverloadMultiple: 3,
			Classes:          classes,
		},
	}
}

// endpoints are the fake endpoints of the demo.
type endpoints struct {
	servers []*fakebackend.Server
	list    discovery.Fixed
}

// start starts the endpoints. After an error, those started before it keep running.
func (e *endpoints) start(options Options) error {
	e.list.Label = "fake endpoints of the demo"
	for i := range options.Servers {
		traits := fakebackend.Traits{
			Name:       fmt.Sprintf("s-%d", i+1),
			Cores:      2,
			Queue:      8,
			Work:       20 * time.Millisecond,
			WarmUpTime: 2 * time.Second,
			ColdFactor: 4,
			Seed:       options.Seed + uint64(i),
			Faults:     fakebackend.Faults{Errors: faultRate, Resets: faultRate, Slow: faultRate},
		}
		server, err := fakebackend.Start("127.0.0.1:0", traits)
		if err != nil {
			return err
		}
		e.servers = append(e.servers, server)
		e.list.Entries = append(e.list.Entries, discovery.Entry{
			UID:    traits.Name,
			Addr:   server.Addr(),
			Member: policy.Member{ID: endpointfiles.EndpointID(traits.Name), Zone: "a", Weight: 1},
		})
	}
	return nil
}

func (e *endpoints) close() {
	for _, server := range e.servers {
		_ = server.Close() // the demo is over
	}
}

// printer prints to the user. Errors are ignored: the demo goes on without its output.
type printer struct{ out io.Writer }

func (p printer) printf(format string, values ...any) { _, _ = fmt.Fprintf(p.out, format, values...) }

// printIntroduction prints commands that the user can try.
func (p printer) printIntroduction(options Options, listen string) {
	p.printf("%d fake servers behind one sidecar at %s. Try:\n\n    curl -i http://%s/step/hello\n"+
		"    curl -i -H 'X-Route-Key: me' -d 'a note' -H 'Idempotency-Key: 1' http://%s/note\n"+
		"    curl http://%s/_counters\n    curl http://%s/_servers\n\n",
		options.Servers, listen, listen, listen, listen, listen)
	if options.Duration <= 0 {
		p.printf("Press Ctrl-C to stop.\n")
	}
}

// printCounters prints the counters of the sidecar that are not zero.
func (p printer) printCounters(sidecar *httpproxy.Proxy) {
	p.printf("Counters of the sidecar:\n")
	for line := range strings.Lines(sidecar.Report()) {
		if !strings.HasSuffix(line, " 0\n") {
			p.printf("    %s", line)
		}
	}
}

// printEndpoints prints the counters of the endpoints.
func (p printer) printEndpoints(e *endpoints) {
	p.printf("Counters of the servers:\n")
	for i, server := range e.servers {
		counts := server.Counts()
		p.printf("    %s: %d requests, %d served, %d rejected, %d faults\n",
			e.list.Entries[i].UID, counts.Requests, counts.Served, counts.Rejected, counts.Faults)
	}
}

// freeAddress returns the address with a free port in place of port 0. Another program could take the port before the
// sidecar listens on it, which is then reported as an address in use.
func freeAddress(address string) (string, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil || port != "0" {
		return address, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }() // only its address is needed
	return listener.Addr().String(), nil
}
