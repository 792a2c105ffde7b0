// Package demo shows the daemon at work with nothing else at hand: stand-in servers and the daemon on them, in one process on
// loopback, without a file.
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

// Scene is what is to be shown.
type Scene struct {
	Listen  string // of the daemon; port 0: any that is free
	Servers int
	Seed    uint64
	For     time.Duration // 0: until the context ends
}

// Most is how many servers a demo may have.
const Most = 200

// Offerings are those of the demo; deploy/standalone.toml has the same.
var Offerings = []policy.Class{
	{Name: "step", Value: 5, LateValue: 0.2, Target: 400 * policy.Millisecond, Idempotency: policy.Idempotent},
	{Name: "note", Value: 2, LateValue: 0.2, Target: 800 * policy.Millisecond, Idempotency: policy.Keyed,
		Group: policy.GroupZone, Window: 2 * policy.Second},
	{Name: "call", Value: 10, Target: policy.Second, Idempotency: policy.NonIdempotent},
}

// Run shows the scene until its time or the context is over, and writes what there is to try and what was counted.
func Run(ctx context.Context, sc Scene, log *logrus.Logger, out io.Writer) error {
	if sc.Servers < 1 || sc.Servers > Most {
		return fmt.Errorf("servers: found %d, allowed 1 to %d", sc.Servers, Most)
	}
	listen, err := free(sc.Listen)
	if err != nil {
		return err
	}
	fixed := &discovery.Fixed{Label: "stand-ins of the demo"}
	var servers []*fakebackend.Server
	for i := range sc.Servers {
		// Three in a hundred requests go wrong, so that there is something to see.
		traits := fakebackend.Traits{Name: fmt.Sprintf("s-%d", i+1), Cores: 2, Queue: 8, Work: 20 * time.Millisecond,
			Warm: 2 * time.Second, Cold: 4, Seed: sc.Seed + uint64(i),
			Faults: fakebackend.Faults{Errors: 0.01, Resets: 0.01, Slow: 0.01}}
		s, err := fakebackend.Start("127.0.0.1:0", traits)
		if err != nil {
			return err
		}
		defer s.Close()
		servers = append(servers, s)
		fixed.Entries = append(fixed.Entries, discovery.Entry{UID: traits.Name, Addr: s.Addr(),
			Member: policy.Member{ID: endpointfiles.EndpointID(traits.Name), Zone: "a", Weight: 1}})
	}
	second := policy.Second
	daemon := httpproxy.New(httpproxy.Config{Listen: listen, Source: fixed, Seed: sc.Seed, Descriptors: 512, MessageMemory: 32 << 20,
		ConnectTimeout: second / 5, IdleTimeout: 60 * second, AcceptTime: second / 20, ShutdownTime: 2 * second, Anonymous: true, DefaultClass: "step",
		Deadlines: []policy.Time{2 * second, 3 * second, 3 * second},
		Settings: &policy.Settings{Instances: 1, Zone: "a", Zones: 1, FixedWeights: true, MayCancel: true, MaxAttempts: 3,
			MaxRetryAfter: 3 * second, Tick: 5 * policy.Millisecond, ColdCapacity: 0.2, ColdTime: 2 * second, OverloadMultiple: 3,
			Classes: Offerings}}, log)
	stop, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- daemon.Run(stop, nil) }()
	for !daemon.Ready() {
		select {
		case err := <-ended:
			return err
		case <-time.After(time.Millisecond):
		}
	}
	fmt.Fprintf(out, "%d stand-in servers, one daemon before them at %s. Try:\n\n    curl -i http://%s/step/hello\n"+
		"    curl -i -H 'X-Route-Key: me' -d 'a note' -H 'Idempotency-Key: 1' http://%s/note\n"+
		"    curl http://%s/_counters\n    curl http://%s/_servers\n\n", sc.Servers, listen, listen, listen, listen, listen)
	over := ctx.Done()
	if sc.For > 0 {
		var end context.CancelFunc
		ctx, end = context.WithTimeout(ctx, sc.For)
		defer end()
		over = ctx.Done()
	} else {
		fmt.Fprintln(out, "Ctrl-C ends it.")
	}
	select {
	case <-over:
	case err := <-ended:
		return err
	}
	stop <- syscall.SIGTERM
	err = <-ended
	fmt.Fprintln(out, "The daemon counted:")
	for line := range strings.Lines(daemon.Report()) {
		if !strings.HasSuffix(line, " 0\n") {
			fmt.Fprint(out, "    ", line)
		}
	}
	fmt.Fprintln(out, "The servers counted:")
	for i, s := range servers {
		c := s.Counts()
		fmt.Fprintf(out, "    %s: %d requests, %d served, %d turned away, %d faults\n", fixed.Entries[i].UID, c.Requests, c.Served,
			c.TurnedAway, c.Faults)
	}
	return err
}

// free finds a port where the address leaves it open. Until the daemon listens another program could take it, which then
// is told as any address in use.
func free(addr string) (string, error) {
	_, port, err := net.SplitHostPort(addr)
	if err != nil || port != "0" {
		return addr, err
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
