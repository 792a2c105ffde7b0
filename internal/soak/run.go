package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pepperlead/internal/freeport"
)

// Options configure a run.
type Options struct {
	Program string // path of the sidecar's program
	Plan    string // name of the plan
	Seed    uint64
	Keep    string // directory in which the files of the run are kept; empty: they are removed
	Debug   bool   // the sidecars log each event
}

// Report is the result of a run.
type Report struct {
	Plan        string
	Seed        uint64
	Limits      Limits
	Results     map[string]int // requests by their result
	Answered    int            // requests of well-behaved clients that ended
	Late        int            // those whose answer came after its due time
	MaxMemoryKB int64          // largest resident memory of a process
	MaxOpen     int            // most descriptors of a process
	Violations  []Violation
	Directory   string
}

// Run is one run.
type Run struct {
	options Options
	plan    Plan
	dir     string
	judge   *Judge
	list    *serverList
	classes []*class
	random  *rand.Rand // draws faults
	tasks   sync.WaitGroup
	ended   atomic.Bool

	sidecars []*sidecar
	number   atomic.Int64 // servers started so far

	mu        sync.Mutex
	maxMemory int64
	maxOpen   int
}

// settleTime is how long after the end of the traffic attempts may still end.
const settleTime = 300 * time.Millisecond

// Play plays one run and judges it.
func Play(ctx context.Context, options Options) (*Report, error) {
	plan, err := newPlan(options.Plan, options.Seed)
	if err != nil {
		return nil, err
	}
	r := &Run{
		options: options,
		plan:    plan,
		judge:   newJudge(),
		classes: classes(plan.Deadline),
		random:  rand.New(rand.NewPCG(options.Seed, 2)),
	}
	if r.dir, err = os.MkdirTemp(options.Keep, "soak"); err != nil {
		return nil, err
	}
	defer r.stop()
	if err := r.start(); err != nil {
		return nil, err
	}
	r.play(ctx)
	return r.report(), ctx.Err()
}

// ip returns an address of the loopback network that belongs to this process.
func (r *Run) ip(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>7%64, pid%128+128*(pid>>13%2), 1+number)
}

// start starts the servers, the list and the sidecars.
func (r *Run) start() error {
	var err error
	if r.list, err = startList(r.ip(0) + ":0"); err != nil {
		return err
	}
	for range r.plan.Servers {
		s, err := r.newServer("", time.Time{})
		if err != nil {
			return err
		}
		r.list.set(s, stateReady)
	}
	shared := false
	for _, f := range r.plan.Faults {
		shared = shared || f.Kind == Upgrade
	}
	for n := range r.plan.Sidecars {
		s, err := r.newSidecar(n, shared)
		if err != nil {
			return err
		}
		r.sidecars = append(r.sidecars, s)
	}
	for _, s := range r.sidecars {
		admin, err := r.adminAddress(shared)
		if err != nil {
			return err
		}
		if _, err := s.start(admin); err != nil {
			return err
		}
	}
	return nil
}

// adminAddress returns an address for a command server, empty if there is to be none.
func (r *Run) adminAddress(wanted bool) (string, error) {
	if !wanted {
		return "", nil
	}
	return freeport.ChooseAddress("127.0.0.1")
}

// maxListenTries is how many addresses are tried for a server: a free one can be taken before it is used.
const maxListenTries = 4

// newServer starts a server at an address, or at a new one if it is empty.
func (r *Run) newServer(address string, booted time.Time) (*server, error) {
	n := int(r.number.Add(1))
	uid, zone, cell := fmt.Sprintf("s-%04d", n), [...]string{"a", "b"}[n%2], n%4
	if address != "" {
		return startServer(r.judge, uid, address, zone, cell, booted)
	}
	for tries := 1; ; tries++ {
		address, err := freeport.ChooseAddress(r.ip(100))
		if err != nil {
			return nil, err
		}
		started, err := startServer(r.judge, uid, address, zone, cell, booted)
		if err == nil || tries == maxListenTries {
			return started, err
		}
	}
}

// play lets clients, crowds and faults act until the end of the plan.
func (r *Run) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Length)
	defer cancel()
	for n, s := range r.sidecars {
		for k := range r.plan.Clients {
			random := rand.New(rand.NewPCG(r.options.Seed, uint64(n)<<32+uint64(k)+1000))
			r.tasks.Go(func() { r.playClient(ctx, s, random) })
		}
		for i := range r.plan.Crowds {
			r.tasks.Go(func() { r.plan.Crowds[i].play(ctx, r, s) })
		}
	}
	for _, f := range r.plan.Faults {
		s := r.sidecars[r.random.IntN(len(r.sidecars))]
		r.tasks.Go(func() {
			sleep(ctx, f.At)
			if ctx.Err() == nil {
				r.apply(f, s)
			}
		})
	}
	r.tasks.Wait()
	time.Sleep(settleTime)
}

// playClient sends one request after another.
func (r *Run) playClient(ctx context.Context, s *sidecar, random *rand.Rand) {
	c := &client{run: r, sidecar: s, random: random}
	defer c.disconnect()
	for ctx.Err() == nil {
		request := r.newRequest(s, random)
		r.plan.Traffic.apply(request, random)
		leaves := time.Duration(0)
		if random.Float64() < r.plan.Traffic.Leaves {
			leaves = time.Duration(1+random.IntN(80)) * time.Millisecond
		}
		c.send(request, random.IntN(2) == 0, leaves)
		sleep(ctx, time.Duration(5+random.IntN(40))*time.Millisecond)
	}
}

// newRequest draws an ordinary request.
func (r *Run) newRequest(s *sidecar, random *rand.Rand) *request {
	c := r.classes[random.IntN(len(r.classes))]
	request := &request{id: newID(), class: c, sidecar: s, wait: c.Deadline * time.Duration(50+random.IntN(51)) / 100}
	request.wants = behaviour{
		Work:    time.Duration(1+random.IntN(30)) * time.Millisecond,
		Size:    10 + random.IntN(4000),
		Framing: [...]framing{sizedFraming, sizedFraming, chunkedFraming, closeFraming}[random.IntN(4)],
		Ending:  completeEnding,
	}
	request.bodySize = random.IntN(2000)
	return request
}

// apply gives a request the traits that are drawn for it.
func (t *Traffic) apply(r *request, random *rand.Rand) {
	if random.Float64() < t.ShortWaits {
		r.wait = time.Duration(100+random.IntN(200)) * time.Millisecond
	}
	if random.Float64() < t.LongResponses {
		r.wants.Size = longBody + 1 + random.IntN(150<<10)
		r.wants.Pieces = 1 + random.IntN(4)
		r.wants.Gap = time.Duration(random.Float64() * float64(t.LumpPause))
		if r.wants.Framing != sizedFraming { // it may be long or short until more than longBody have come
			part := r.wants.Size / r.wants.Pieces
			r.wants.Gap = time.Duration((0.5 + random.Float64()/2) * float64(part) / soundRate * float64(time.Second))
		}
		r.wants.Work += time.Duration(random.IntN(200)) * time.Millisecond
		return
	}
	if random.Float64() < t.LongBodies && r.class.method() != "GET" {
		r.bodySize = 5000 + random.IntN(300<<10)
		if random.Float64() < t.SlowServers {
			r.wants.ReadRate = soundRate
		}
		return
	}
	if random.Float64() < t.Endings {
		endings := []ending{hangEnding, hangMidEnding, resetEnding, resetMidEnding, errorEnding, overloadedEnding,
			surplusEnding, copyEnding}
		r.wants.Ending = endings[random.IntN(len(endings))]
		if r.wants.Framing == closeFraming && (r.wants.Ending == surplusEnding || r.wants.Ending == copyEnding) {
			r.wants.Framing = sizedFraming // without a length, what follows would belong to the body
		}
		r.wants.FirstOnly = r.wants.Ending != overloadedEnding && random.IntN(2) == 0
		r.wants.CopyAfter = time.Duration(random.IntN(int(maxCopyDelay/time.Millisecond))) * time.Millisecond
	}
}

// recordUsage records what a process uses.
func (r *Run) recordUsage(memory int64, open int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxMemory = max(r.maxMemory, memory)
	r.maxOpen = max(r.maxOpen, open)
}

// over reports whether the run has ended, so that processes may end.
func (r *Run) over() bool { return r.ended.Load() }

// stop ends all processes and servers.
func (r *Run) stop() {
	r.ended.Store(true)
	for _, s := range r.sidecars {
		s.mu.Lock()
		p := s.current
		s.mu.Unlock()
		if p != nil {
			p.signal(syscall.SIGKILL, true)
			<-p.exited
		}
	}
	if r.list != nil {
		for _, s := range r.list.ready() {
			s.stop()
		}
		_ = r.list.catalog.Close() // nothing is lost with it
	}
	if r.options.Keep == "" {
		_ = os.RemoveAll(r.dir) // at worst files stay in the temporary directory
	}
}

// report judges the run.
func (r *Run) report() *Report {
	r.ended.Store(true)
	r.judge.judgeLateness()
	report := &Report{Plan: r.plan.Name, Seed: r.options.Seed, Limits: r.plan.Limits, Results: map[string]int{}}
	report.Violations = r.judge.finish()
	for _, request := range r.judge.requests {
		report.Results[string(request.result)]++
	}
	report.Answered = r.judge.answered
	report.Late = len(r.judge.late)
	report.MaxMemoryKB = r.maxMemory
	report.MaxOpen = r.maxOpen
	report.Directory = r.dir
	return report
}
