// Package demo shows the daemon at work without any configuration: fake endpoints and the daemon in front of them, in
// one process on loopback.
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

// Scene is what a demo runs.
type Scene struct {
	Listen  string // of the daemon; port 0: any free one
	Servers int
	Seed    uint64
	For     time.Duration // 0: until the context ends
}

// Limits of the demo.
const (
	maxServers    = 200
	descriptors   = 512
	messageMemory = 32 << 20
	startInterval = time.Millisecond // between checks whether the daemon is ready
)

// faultRate is the rate of each kind of fault at the endpoints, so that there is something to see.
const faultRate = 0.01

// classes are the classes of the demo; deploy/standalone.toml has the same.
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

// Run runs the scene until its time or the context is over. It writes what there is to try and what was counted.
func Run(ctx context.Context, scene Scene, log *logrus.Logger, out io.Writer) error {
	if scene.Servers < 1 || scene.Servers > maxServers {
		return fmt.Errorf("servers: found %d, allowed 1 to %d", scene.Servers, maxServers)
	}
	listen, err := freeAddress(scene.Listen)
	if err != nil {
		return err
	}
	var backends endpoints
	defer backends.close()
	if err := backends.start(scene); err != nil {
		return err
	}
	daemon := httpproxy.New(config(scene, listen, &backends.list), log)
	stop := make(chan os.Signal, 1)
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(stop, nil) }()
	if ready, err := awaitReady(daemon, ended); !ready {
		return err
	}
	p := printer{out}
	p.printIntroduction(scene, listen)
	if scene.For > 0 {
		timed, cancel := context.WithTimeout(ctx, scene.For)
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
	p.printCounters(daemon)
	p.printEndpoints(&backends)
	return err
}

// awaitReady waits until the daemon serves. If the daemon ends before, it returns false and the error of its end.
func awaitReady(daemon *httpproxy.Proxy, ended <-chan error) (ready bool, err error) {
	for !daemon.Ready() {
		select {
		case err := <-ended:
			return false, err
		case <-time.After(startInterval):
		}
	}
	return true, nil
}

// config returns the configuration of the daemon.
func config(scene Scene, listen string, source discovery.Source) httpproxy.Config {
	return httpproxy.Config{
		Listen:         listen,
		Source:         source,
		Seed:           scene.Seed,
		Descriptors:    descriptors,
		MessageMemory:  messageMemory,
		ConnectTimeout: 200 * policy.Millisecond,
		IdleTimeout:    60 * policy.Second,
		AcceptTime:     50 * policy.Millisecond,
		ShutdownTime:   2 * policy.Second,
		Anonymous:      true,
		DefaultClass:   "step",
		Deadlines:      []policy.Time{2 * policy.Second, 3 * policy.Second, 3 * policy.Second}, // as classes
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

// start starts the endpoints of the scene. After an error those started before are running.
func (e *endpoints) start(scene Scene) error {
	e.list.Label = "stand-ins of the demo"
	for i := range scene.Servers {
		traits := fakebackend.Traits{
			Name:       fmt.Sprintf("s-%d", i+1),
			Cores:      2,
			Queue:      8,
			Work:       20 * time.Millisecond,
			WarmUpTime: 2 * time.Second,
			ColdFactor: 4,
			Seed:       scene.Seed + uint64(i),
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

// printer writes to the user. Errors are ignored: the demo goes on without its output.
type printer struct{ out io.Writer }

func (p printer) printf(format string, values ...any) { _, _ = fmt.Fprintf(p.out, format, values...) }

// printIntroduction prints what there is to try.
func (p printer) printIntroduction(scene Scene, listen string) {
	p.printf("%d stand-in servers, one daemon before them at %s. Try:\n\n    curl -i http://%s/step/hello\n"+
		"    curl -i -H 'X-Route-Key: me' -d 'a note' -H 'Idempotency-Key: 1' http://%s/note\n"+
		"    curl http://%s/_counters\n    curl http://%s/_servers\n\n",
		scene.Servers, listen, listen, listen, listen, listen)
	if scene.For <= 0 {
		p.printf("Ctrl-C ends it.\n")
	}
}

// printCounters prints the counters of the daemon that are not zero.
func (p printer) printCounters(daemon *httpproxy.Proxy) {
	p.printf("The daemon counted:\n")
	for line := range strings.Lines(daemon.Report()) {
		if !strings.HasSuffix(line, " 0\n") {
			p.printf("    %s", line)
		}
	}
}

// printEndpoints prints what the endpoints have counted.
func (p printer) printEndpoints(e *endpoints) {
	p.printf("The servers counted:\n")
	for i, server := range e.servers {
		counts := server.Counts()
		p.printf("    %s: %d requests, %d served, %d turned away, %d faults\n",
			e.list.Entries[i].UID, counts.Requests, counts.Served, counts.Rejected, counts.Faults)
	}
}

// freeAddress picks a port where the address leaves it open. Until the daemon listens another program could take the
// port, which is then reported as an address in use.
func freeAddress(addr string) (string, error) {
	_, port, err := net.SplitHostPort(addr)
	if err != nil || port != "0" {
		return addr, err
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }() // only its address is needed
	return l.Addr().String(), nil
}
