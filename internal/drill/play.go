package drill

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"pepperlead/internal/clock"
	"pepperlead/internal/drill/judge"
	"pepperlead/internal/links"
)

// Applied is one change that a drill made.
type Applied struct {
	Version string
	Number  int
	At      float64 // seconds since the begin
	Agreed  float64 // seconds until the group had agreed on it
	// Seconds until sidecars acted by it, also by it and the one before, and until they acted by it alone; of those that were there.
	P50, P99, Most, Alone float64
	Failed                string
}

// Result is what a play of a drill showed.
type Result struct {
	Drill      string
	Seed       uint64
	Verdict    *judge.Verdict
	Applied    []Applied
	Converged  float64 // seconds after all was healed until all acted by the same version with a lease
	Unleased   float64 // seconds without a lease, over all sidecars
	OwnDelay   float64 // seconds that a relay took for itself, 99th percentile
	Late       float64 // seconds by which the latest look at the clock came late
	Tables     int     // different slot tables at the end, where versions name the servers; they must be one
	Busy       float64 // part of the machine's cores that was in use, by whomever
	Void       bool    // the machine stood still for longer than the lease: no figure means anything
	Failed     []string
	Gone       float64 // times that a sidecar took another for gone, over all
	Packets    float64 // a second, one sidecar
	Bytes, CPU float64
	History    *judge.History `json:"-"`
	Begun      int64          `json:"-"`
	Marks      []Mark         `json:"-"`
}

// Mark is something that was done.
type Mark struct {
	At   int64
	What string
}

// Good tells whether the drill showed what it is to show.
func (r *Result) Good(s *Script) bool {
	if s.Contradicts {
		return r.Verdict.Contradiction > s.AgreeWithin
	}
	return !r.Void && len(r.Failed) == 0 && r.Verdict.Broken == 0 && r.Verdict.Contradiction <= s.AgreeWithin
}

const (
	startIn    = 90 * time.Second
	convergeIn = 90 * time.Second
	tablesIn   = 4 * time.Second // for each to look at its own; far less than it takes a server's slots to be dealt away
	settleFor  = 500 * time.Millisecond
)

// Play starts a cluster, does to it what the script says, heals it, and judges.
func Play(ctx context.Context, program, dir string, s *Script, seed uint64) (r *Result, err error) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	late := clockLateness(ctx)
	c, err := BeginCluster(program, dir, s, seed)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	r = &Result{Seed: seed}
	if err := c.leased(ctx, startIn); err != nil || len(c.ended()) > 0 {
		return nil, errors.Join(fmt.Errorf("at the start: %w", err), errors.New(strings.Join(c.ended(), ", ")))
	}
	before := sums(c.sidecars)
	r.Begun = int64(clock.True())
	begin, idle := time.Now(), machine()
	c.ask()
	var changes sync.WaitGroup
	half := c.chance.Perm(len(c.sidecars))
	for _, d := range s.Doings {
		c.await(ctx, begin, d)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		r.Marks = append(r.Marks, Mark{int64(clock.True()), d.What + " " + strings.Join(append(append(d.Who, d.From...), d.Version), " ")})
		c.do(ctx, d, half, r, &changes, begin)
		c.hearing()
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(s.Length - time.Since(begin)):
	}
	close(c.over)
	changes.Wait()
	healed := time.Now()
	c.Links.Heal()
	c.hearing()
	r.Failed = append(r.Failed, c.ended()...)
	for _, p := range c.Processes {
		c.resume(p)
	}
	r.Marks = append(r.Marks, Mark{int64(clock.True()), "all is healed"})
	if err := c.standing(); err != nil {
		return nil, err
	}
	if err := c.leased(ctx, convergeIn); err != nil && !s.Contradicts {
		r.Failed = append(r.Failed, "at the end: "+err.Error())
	}
	r.Converged = time.Since(healed).Seconds()
	time.Sleep(settleFor)
	if v := s.version(c); v != nil && v.Servers != nil {
		for end := time.Now().Add(tablesIn); time.Now().Before(end) && r.Tables != 1; time.Sleep(settleFor) {
			r.Tables = c.tables()
		}
		if r.Tables != 1 {
			r.Failed = append(r.Failed, fmt.Sprintf("sidecars go by %d tables", r.Tables))
		}
	}
	r.Busy = machine().since(idle)
	close(c.quiet)
	c.asking.Wait()
	after, share := sums(c.sidecars), 1/time.Since(begin).Seconds()/float64(len(c.sidecars))
	r.Gone = after[3] - before[3]
	r.Packets, r.Bytes, r.CPU = (after[0]-before[0])*share, (after[1]-before[1])*share, (after[2]-before[2])*share
	h := &judge.History{CutOff: cutOff, Slack: 250*time.Millisecond + late()}
	if err := errors.Join(c.meant(h), c.written(h)); err != nil {
		return nil, err
	}
	for _, p := range c.Processes {
		c.out(p, true)
	}
	h.Ran, h.Asked, h.Down, h.Listed, h.Deaf = c.ran, c.asked, c.down, c.listed, c.deaf
	r.History, r.Verdict = h, judge.Judge(h)
	r.OwnDelay, r.Late = c.Links.Own(99).Seconds(), late().Seconds()
	lease, _ := time.ParseDuration(s.Lease)
	r.Void = r.Late > lease.Seconds()
	r.spread(h)
	return r, nil
}

// cores are the times that all cores of the machine have spent, and of these the ones with nothing to do; proc(5), stat.
type cores struct{ all, idle float64 }

func machine() (c cores) {
	text, _ := os.ReadFile("/proc/stat")
	line, _, _ := strings.Cut(string(text), "\n")
	for i, field := range strings.Fields(line) {
		if n, err := strconv.ParseFloat(field, 64); err == nil && i <= 8 { // what guests took is in user's already
			if c.all += n; i == 4 || i == 5 {
				c.idle += n
			}
		}
	}
	return c
}

func (c cores) since(before cores) float64 {
	if c.all <= before.all {
		return 0
	}
	return 1 - (c.idle-before.idle)/(c.all-before.all)
}

// ended tells of processes that have ended by themselves, with their last words.
func (c *Cluster) ended() (all []string) {
	for _, p := range c.Processes {
		if p.proc != nil && !p.Runs() && !p.filled {
			log, _ := os.ReadFile(p.Log)
			all = append(all, fmt.Sprintf("%s has ended by itself: %s", p.Name, log[max(0, len(log)-300):]))
		}
	}
	return all
}

// tables counts the different ones that sidecars hold, as each says of itself: what others know of it may be half a minute old.
func (c *Cluster) tables() int {
	all := map[string]bool{}
	for _, p := range c.sidecars {
		p.page("/_peers", func(line string) {
			if strings.HasPrefix(line, string(p.Name)+" ") {
				_, table, _ := strings.Cut(line, "table=")
				all[table] = true
			}
		})
	}
	return len(all)
}

// version is the one in force.
func (s *Script) version(c *Cluster) *Version {
	var name string
	c.knows.page("/_versions/"+strconv.Itoa(c.inForce), func(line string) {
		if text, is := strings.CutPrefix(line, "# "); is {
			name = text
		}
	})
	for i := range s.Versions {
		if s.Versions[i].Name == name {
			return &s.Versions[i]
		}
	}
	return nil
}

// await waits for the moment of a doing, which differs a little by seed.
func (c *Cluster) await(ctx context.Context, begin time.Time, d Doing) {
	var jitter time.Duration
	if c.script.Jitter > 0 {
		jitter = time.Duration(c.chance.Int64N(int64(c.script.Jitter)))
	}
	pause := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	if d.At >= 0 {
		pause(d.At + jitter - time.Since(begin))
		return
	}
	n, need := 0, int(math.Ceil(d.Share*float64(len(c.sidecars))))
	act := map[*Process]bool{}
	for end := time.Now().Add(convergeIn); n < need && ctx.Err() == nil && time.Now().Before(end); pause(10 * time.Millisecond) {
		for _, p := range c.sidecars {
			if n < need && !act[p] && p.Figure("pepperlead_rules_version") >= float64(d.Number) {
				act[p] = true
				n++
			}
		}
	}
	pause(d.After)
}

// keeper is one that knows who leads, or else one that runs.
func (c *Cluster) keeper() *Process {
	some := c.keepers[0]
	for _, k := range c.keepers {
		if !k.Runs() || k.still {
			continue
		}
		some = k
		led := false
		if k.page("/_versions", func(line string) { led = led || strings.Contains(line, "leader \"k") }) == nil && led {
			return k
		}
	}
	return some
}

// standing notes the number of the latest version.
func (c *Cluster) standing() error {
	for end := time.Now().Add(convergeIn); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		changing := 0
		for _, k := range c.keepers {
			var inForce, coming, last int
			if !k.Runs() || k.page("/_versions", func(line string) {
				fmt.Sscanf(line, "in force %d, coming %d, last %d,", &inForce, &coming, &last)
			}) != nil || last < c.last {
				continue // one that has just been started may not have caught up
			}
			c.knows, c.inForce, c.last = k, inForce, last
			changing = coming - inForce
		}
		if c.knows != nil && changing == 0 {
			return nil
		}
	}
	return errors.New("the keepers do not answer, or a change is under way without end")
}

// leased waits until every sidecar has had a lease on the version in force.
func (c *Cluster) leased(ctx context.Context, within time.Duration) error {
	end := time.Now().Add(within)
	for _, p := range c.sidecars {
		for {
			f := p.Figures("pepperlead_rules_version", "pepperlead_rules_leased")
			if int(f[0]) == c.inForce && f[1] == 1 {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("%s goes by version %.0f, lease %.0f; in force is %d", p.Name, f[0], f[1], c.inForce)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// resume has a process go on, or starts it.
func (c *Cluster) resume(p *Process) error {
	p.Stall(false)
	defer c.out(p, true)
	if !p.Runs() {
		return p.Start()
	}
	return nil
}

// who finds the processes that a script means.
func (c *Cluster) who(names []string, half []int) (some []*Process) {
	for _, name := range names {
		k := (len(half) + 1) / 2
		switch name {
		case "sidecars":
			some = append(some, c.sidecars...)
		case "keepers":
			some = append(some, c.keepers...)
		case "all":
			some = append(some, c.Processes...)
		case "one", "another":
			some = append(some, c.sidecars[half[map[string]int{"one": 0, "another": len(half) - 1}[name]]])
		case "half", "others":
			for _, i := range map[string][]int{"half": half[:k], "others": half[k:]}[name] {
				some = append(some, c.sidecars[i])
			}
		case "leader", "followers":
			leader := c.leader()
			for _, k := range c.keepers {
				if (k == leader) == (name == "leader") {
					some = append(some, k)
				}
			}
		default:
			for _, p := range c.Processes {
				if string(p.Name) == name {
					some = append(some, p)
				}
			}
		}
	}
	return some
}

// leader is the keeper that leads; it was noted last where none is known to.
func (c *Cluster) leader() *Process {
	c.keeper().page("/_versions", func(line string) {
		_, text, _ := strings.Cut(line, "leader \"")
		text, _, _ = strings.Cut(text, "\"")
		for _, k := range c.keepers {
			if string(k.Name) == text {
				c.led = k
			}
		}
	})
	if c.led == nil {
		return c.keepers[0]
	}
	return c.led
}

// places are the processes and servers that a script means.
func (c *Cluster) places(names []string, half []int) (all []links.Place) {
	for _, p := range c.who(names, half) {
		all = append(all, p.Name)
	}
	for i := range c.servers {
		if name := fmt.Sprint("s", i+1); slices.Contains(names, name) || slices.Contains(names, "servers") {
			all = append(all, links.Place(name))
		}
	}
	if slices.Contains(names, string(discovery)) {
		all = append(all, discovery)
	}
	return all
}

func (c *Cluster) do(ctx context.Context, d Doing, half []int, r *Result, changes *sync.WaitGroup, begin time.Time) {
	who := c.who(d.Who, half)
	fail := func(err error) {
		if err != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			r.Failed = append(r.Failed, d.What+": "+err.Error())
		}
	}
	switch d.What {
	case "apply", "rollback", "withdraw":
		at := c.keeper()
		if len(who) > 0 {
			at = who[0]
		}
		changes.Go(func() { c.change(ctx, d, at, r, begin) })
	case "part":
		c.Links.Part(c.places(d.From, half), c.places(d.To, half))
	case "cut":
		for _, a := range c.places(d.From, half) {
			for _, b := range c.places(d.To, half) {
				c.Links.Set(links.Way{From: a, To: b}, links.State{Cut: true})
			}
		}
	case "weather":
		for _, a := range c.Processes {
			for _, b := range c.Processes {
				if a != b {
					c.Links.Set(links.Way{From: a.Name, To: b.Name}, links.State{Drop: d.Drop, Twice: d.Twice, Delay: d.Delay, Spread: d.Spread})
				}
			}
		}
	case "list":
		c.list(d.Servers, d.Leaving)
	case "heal":
		c.Links.Heal()
	case "stall":
		for _, p := range who {
			c.out(p, false)
			p.Stall(true)
		}
	case "go", "start":
		for _, p := range who {
			fail(c.resume(p))
		}
	case "kill":
		for _, p := range who {
			c.out(p, false)
		}
		var all sync.WaitGroup
		for _, p := range who {
			all.Go(p.Kill)
		}
		all.Wait()
	case "throttle":
		for _, p := range who {
			changes.Go(func() { p.throttle(ctx, c.over) })
		}
	case "fill-disk":
		for _, p := range who {
			fail(p.full())
		}
	case "damage":
		for _, p := range who {
			fail(p.damage())
		}
	}
}

// hearing notes which sidecars are cut off from discovery, or were until now.
func (c *Cluster) hearing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.sidecars {
		open := c.Links.Open(links.Way{From: p.Name, To: discovery}) && c.Links.Open(links.Way{From: discovery, To: p.Name})
		from, deaf := c.unheard[p]
		switch now := int64(clock.True()); {
		case open && deaf:
			c.deaf = append(c.deaf, judge.Down{Process: string(p.Name), From: from, To: now + int64(hearsIn)})
			delete(c.unheard, p)
		case !open && !deaf:
			c.unheard[p] = now
		}
	}
}

// change runs the program's own command.
func (c *Cluster) change(ctx context.Context, d Doing, at *Process, r *Result, begin time.Time) {
	args := []string{"apply", filepath.Join(c.dir, d.Version+".version"), "--wait", "30s"}
	switch d.What {
	case "rollback":
		args = []string{"rollback", strconv.Itoa(d.Of), "--wait", "30s"}
	case "withdraw":
		args = []string{"withdraw", strconv.Itoa(d.Of)}
	}
	args = append(args, "--to", at.pages)
	a := Applied{Version: d.Version, At: time.Since(begin).Seconds()}
	if a.Version == "" {
		a.Version = strings.Join(args[:2], " ")
	}
	start := time.Now()
	c.mu.Lock()
	r.Applied = append(r.Applied, a)
	mine := len(r.Applied) - 1
	c.mu.Unlock()
	if d.MayFail {
		within, done := context.WithTimeout(ctx, 5*time.Second)
		defer done()
		ctx = within
	}
	said, err := exec.CommandContext(ctx, c.program, args...).CombinedOutput()
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Sscanf(string(said), "version %d", &r.Applied[mine].Number)
	r.Applied[mine].Agreed = time.Since(start).Seconds()
	if err != nil {
		r.Applied[mine].Failed = strings.TrimSpace(string(said)) + " " + err.Error()
		if !d.MayFail {
			r.Failed = append(r.Failed, strings.Join(args, " ")+": "+r.Applied[mine].Failed)
		}
	}
}

// spread finds how long each change took to reach the sidecars that were there, and how long they had no lease.
func (r *Result) spread(h *judge.History) {
	for i := range r.Applied {
		a := &r.Applied[i]
		if a.Number == 0 || a.Failed != "" || strings.HasPrefix(a.Version, "withdraw") {
			continue
		}
		any, alone := map[string]int64{}, map[string]int64{}
		for _, one := range h.Changes {
			if !one.Leased || !slices.Contains(one.Of, a.Number) {
				continue
			}
			if at, is := any[one.Process]; !is || one.At < at {
				any[one.Process] = one.At
			}
			if at, is := alone[one.Process]; len(one.Of) == 1 && (!is || one.At < at) {
				alone[one.Process] = one.At
			}
		}
		from := r.Begun + int64(a.At*1e9)
		took := func(until map[string]int64) (all []float64) {
			for p, at := range until {
				if !slices.ContainsFunc(h.Down, func(d judge.Down) bool { return d.Process == p && d.To-int64(answerIn) > from && d.From < at }) {
					all = append(all, float64(at-from)/1e9)
				}
			}
			slices.Sort(all)
			return all
		}
		if t := took(any); len(t) > 0 {
			a.P50, a.P99, a.Most = t[len(t)/2], t[min(len(t)-1, len(t)*99/100)], t[len(t)-1]
		}
		if t := took(alone); len(t) > 0 {
			a.Alone = max(0, t[len(t)-1])
		}
	}
	off := map[string]int64{}
	for _, a := range h.Changes {
		switch from, is := off[a.Process]; {
		case !a.Leased && !is && a.At > r.Begun:
			off[a.Process] = a.At
		case a.Leased && is:
			r.Unleased += float64(a.At-from) / 1e9
			delete(off, a.Process)
		}
	}
}

// throttle leaves the process a tenth of the time, as a quota of CPU does (cpu.max, period 100 ms), until the script is over.
func (p *Process) throttle(ctx context.Context, until <-chan struct{}) {
	const period = 100 * time.Millisecond
	for p.Runs() {
		p.proc.Process.Signal(unix.SIGSTOP)
		select {
		case <-ctx.Done():
		case <-until:
		case <-time.After(period * 9 / 10):
		}
		p.proc.Process.Signal(unix.SIGCONT)
		select {
		case <-ctx.Done():
			return
		case <-until:
			return
		case <-time.After(period / 10):
		}
	}
}

// full lets the process's files grow no more, as on a full disk.
func (p *Process) full() error {
	p.filled = true // it ends there: what raft has not written it must not act on
	return unix.Prlimit(p.proc.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 4096, Max: 4096}, nil)
}

// damage writes over the middle of what a keeper that does not run has kept.
func (p *Process) damage() error {
	path := filepath.Join(p.stage.dir, string(p.Name)+".kept", "log.db")
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	for at := int64(0); at < 1<<16; at += 4096 {
		if _, err := f.WriteAt([]byte("this is no page of it"), at); err != nil {
			return err
		}
	}
	return nil
}
