// Package livetest plays a scenario on sockets in real time, at a small size: daemons as processes of their own, fake
// backends with the emulator's model of endpoints, the requests of the emulator's clients, and the same judge. It shows
// whether the daemon, sockets and all, does what the module does in virtual time.
package livetest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/judge"
	"pepperlead/internal/fakebackend"
	"pepperlead/policy"
)

// Play is what is to be played.
type Play struct {
	Scenario *emulator.Scenario
	Seed     uint64
	Daemon   string // program
	Record   string // folder for a trace of each sidecar; "": none
	Log      io.Writer
}

const (
	// mostServers and mostRate keep a rehearsal to what one machine can play beside the daemons.
	mostServers  = 2048
	mostSidecars = 2048
	mostRate     = 5000
	// slack is how late a stand-in may hear of what a sidecar did: its handler starts, or learns of a close, that much later.
	slack = 100 * policy.Millisecond
	lead  = 500 * policy.Millisecond // before the first request
)

// stage is a rehearsal under way.
type stage struct {
	Play
	dir      string
	clock    clock.Clock
	start    policy.Time
	campaign policy.Settings
	servers  []*server
	sidecars []*sidecar
	client   *http.Transport

	mu      sync.Mutex // of what follows
	judge   *judge.Judge
	tickets map[string]*ticket
	credit  *emulator.ValueMeter
	lists   *rand.Rand
	retries *rand.Rand
	issue   int
	busy    sync.WaitGroup
}

type ticket struct {
	of       judge.RequestID
	request  judge.ClientRequestID
	sidecar  *sidecar
	answered policy.Time // 0: not
	out      chan struct{}
	pushes   int
}

type server struct {
	*fakebackend.ModelServer
	no       judge.EndpointID
	uid      string
	zone     policy.Zone
	cell     policy.Cell
	weight   float64
	standing policy.EndpointStatus // as discovery knows it
	began    policy.Time
	gone     atomic.Bool
}

type sidecar struct {
	no     judge.InstanceID
	zone   policy.Zone
	addr   string
	list   string
	config string
	life   int
	proc   *exec.Cmd
	up     bool // it has said that it is ready, and was not killed since
	behind policy.Time
}

// fits tells why a scenario with so many requests a second cannot be played on sockets.
func fits(sc *emulator.Scenario, rate float64) error {
	switch {
	case sc.Endpoints > mostServers || sc.Instances > mostSidecars || rate > mostRate:
		return fmt.Errorf("%s: found %d servers, %d sidecars, %.0f requests a second, allowed %d, %d, %d on sockets", sc.Name,
			sc.Endpoints, sc.Instances, rate, mostServers, mostSidecars, mostRate)
	case sc.Discovery.Polled:
		return fmt.Errorf("%s: discovery.asked: lists come by files on sockets", sc.Name)
	}
	return nil
}

// Run plays the scenario and judges it.
func Run(ctx context.Context, p Play) (*judge.Verdict, error) {
	sc := p.Scenario
	plan := emulator.Plan(sc, p.Seed)
	world := emulator.New(sc, p.Seed, emulator.Module, nil) // for what it lays out: rate, campaign, servers
	if err := fits(sc, float64(len(plan))/(float64(sc.Length)/1e9)); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rehearsal")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s := &stage{Play: p, dir: dir, clock: clock.New(), campaign: world.Settings(), tickets: map[string]*ticket{},
		credit: emulator.NewValueMeter(sc, world.Rate()), lists: rand.New(rand.NewPCG(p.Seed, 1)), retries: rand.New(rand.NewPCG(p.Seed, 2)),
		client: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer s.client.CloseIdleConnections()
	s.judge = judge.New(world.Facts(slack), world.TenantNames())
	if err := s.serve(world); err != nil {
		return nil, err
	}
	defer s.end()
	if err := s.begin(); err != nil {
		return nil, err
	}
	s.start = s.clock.Now() + lead
	faults := s.script()
	ctx, over := context.WithCancel(ctx)
	defer over()
	s.busy.Go(func() { s.glance(ctx, sc.Length) })
	defer func() {
		for _, t := range faults {
			t.Stop()
		}
	}()
	for i := range plan {
		a := &plan[i]
		if !s.until(ctx, s.start+a.At) {
			return nil, ctx.Err()
		}
		s.busy.Go(func() { s.request(a) })
	}
	s.until(ctx, s.start+sc.Length)
	s.busy.Wait()
	s.until(ctx, s.clock.Now()+200*policy.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.judge.Finish(s.clock.Now() - s.start), ctx.Err()
}

// glances is how often the judge is told how the servers stand.
const glances = 250 * policy.Millisecond

// glance tells the judge which servers are there for new work, and who stands idle while others queue.
func (s *stage) glance(ctx context.Context, length policy.Time) {
	for at := s.start; at < s.start+length && s.until(ctx, at); at += glances {
		idle, queues := 0, false
		s.mu.Lock()
		for _, v := range s.servers {
			status := v.Status()
			size := status.Capacity
			if v.gone.Load() || v.standing != policy.Ready {
				size = 0
			}
			s.judge.CapacityChanged(max(0, s.now()), v.no, size)
			if size > 0 && status.Requests == 0 {
				idle++
			}
			queues = queues || status.Queued > 0
		}
		s.judge.IdleObserved(idle, queues, glances)
		s.mu.Unlock()
	}
}

func (s *stage) until(ctx context.Context, at policy.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(at - s.clock.Now())):
		return true
	}
}

// now is the moment of the day. Before the day it is under 0.
func (s *stage) now() policy.Time { return s.clock.Now() - s.start }

func (s *stage) log(format string, a ...any) {
	if s.Log != nil {
		fmt.Fprintf(s.Log, "%8.3f  %s\n", float64(s.now())/1e9, fmt.Sprintf(format, a...))
	}
}
