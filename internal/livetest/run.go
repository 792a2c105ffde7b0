package livetest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/internal/emulator"
	"pepperlead/internal/emulator/judge"
	"pepperlead/policy"
)

// Random streams of the seed, one for each purpose. The index of an endpoint or a fault is added to the number of the
// stream, so that each of them has its own.
const (
	listStream     = 1
	retryStream    = 2
	endpointStream = 100
	faultStream    = 1000
)

// liveRun is a run of a scenario.
type liveRun struct {
	Options
	dir       string
	clock     clock.Clock
	start     policy.Time // start of the scenario, by the clock
	settings  policy.Settings
	endpoints []*fakeEndpoint
	instances []*daemonProcess
	client    *http.Transport
	tasks     sync.WaitGroup // requests in flight and the observation of endpoints

	// mu guards the fields below, and those of endpoints, instances and pending requests that change.
	mu          sync.Mutex
	judge       *judge.Judge
	pending     map[string]*pendingRequest // pending requests, by the value of X-Request-ID
	values      *emulator.ValueMeter
	listRandom  *rand.Rand
	retryRandom *rand.Rand
	listIssue   int // issue number of the latest endpoint list
}

func newLiveRun(options Options, dir string, world *emulator.World) *liveRun {
	dialer := net.Dialer{Timeout: time.Second}
	return &liveRun{
		Options:  options,
		dir:      dir,
		clock:    clock.New(),
		settings: world.Settings(),
		client: &http.Transport{
			MaxIdleConnsPerHost: 256,
			DisableCompression:  true,
			DialContext:         dialer.DialContext,
		},
		judge:       judge.New(world.JudgeConfig(tolerance), world.TenantNames()),
		pending:     map[string]*pendingRequest{},
		values:      emulator.NewValueMeter(options.Scenario, world.Rate()),
		listRandom:  rand.New(rand.NewPCG(options.Seed, listStream)),
		retryRandom: rand.New(rand.NewPCG(options.Seed, retryStream)),
	}
}

// play sends the planned requests while the faults happen, and returns the verdict.
func (r *liveRun) play(ctx context.Context, plan []emulator.Arrival) (*judge.Verdict, error) {
	length := r.Scenario.Length
	r.start = r.clock.Now() + leadTime
	faults := r.scheduleFaults()
	defer func() {
		for _, timer := range faults {
			timer.Stop()
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.tasks.Go(func() { r.observeEndpoints(ctx, length) })
	for i := range plan {
		arrival := &plan[i]
		if !r.waitUntil(ctx, r.start+arrival.At) {
			return nil, ctx.Err()
		}
		r.tasks.Go(func() { r.serveClient(arrival) })
	}
	r.waitUntil(ctx, r.start+length)
	r.tasks.Wait()
	r.waitUntil(ctx, r.clock.Now()+settleTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.judge.Finish(r.now()), ctx.Err()
}

// observeEndpoints reports to the judge, at each interval, the capacity of each endpoint and how many are idle while
// others queue.
func (r *liveRun) observeEndpoints(ctx context.Context, length policy.Time) {
	for at := r.start; at < r.start+length && r.waitUntil(ctx, at); at += observationInterval {
		r.observeOnce()
	}
}

func (r *liveRun) observeOnce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	idle := 0
	anyQueues := false
	for _, endpoint := range r.endpoints {
		status := endpoint.Status()
		capacity := status.Capacity
		if endpoint.down.Load() || endpoint.listedStatus != policy.Ready {
			capacity = 0
		}
		r.judge.CapacityChanged(max(0, r.now()), endpoint.id, capacity)
		if capacity > 0 && status.Requests == 0 {
			idle++
		}
		if status.Queued > 0 {
			anyQueues = true
		}
	}
	r.judge.IdleObserved(idle, anyQueues, observationInterval)
}

// waitUntil waits until a time of the clock. It returns false if the context ends before that.
func (r *liveRun) waitUntil(ctx context.Context, at policy.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(at - r.clock.Now())):
		return true
	}
}

// now returns the time since the start of the scenario, which is negative before it.
func (r *liveRun) now() policy.Time { return r.clock.Now() - r.start }

// log writes a line with the time since the start of the scenario.
func (r *liveRun) log(format string, arguments ...any) {
	if r.Log == nil {
		return
	}
	message := fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintf(r.Log, "%8.3f  %s\n", seconds(r.now()), message) // a lost line does no harm
}
