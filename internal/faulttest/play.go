package faulttest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/internal/faulttest/judge"
)

// Applied is one change that a drill made.
type Applied struct {
	Version string  `json:"Version"`
	Number  int     `json:"Number"`
	At      float64 `json:"At"`     // seconds since the begin
	Agreed  float64 `json:"Agreed"` // seconds until the group had agreed on it
	// Seconds until sidecars acted by it, also by it and the one before, and until they acted by it alone; of those that were there.
	P50    float64 `json:"P50"`
	P99    float64 `json:"P99"`
	Max    float64 `json:"Most"`
	Alone  float64 `json:"Alone"`
	Failed string  `json:"Failed"`
}

// Result is what a play of a drill showed.
type Result struct {
	Drill         string         `json:"Drill"`
	Seed          uint64         `json:"Seed"`
	Verdict       *judge.Verdict `json:"Verdict"`
	Applied       []Applied      `json:"Applied"`
	Converged     float64        `json:"Converged"` // seconds after all was healed until all acted by the same version with a lease
	Unleased      float64        `json:"Unleased"`  // seconds without a lease, over all sidecars
	OwnDelay      float64        `json:"OwnDelay"`  // seconds that a relay took for itself, 99th percentile
	ClockLateness float64        `json:"Late"`      // seconds by which the latest look at the clock came late
	Tables        int            `json:"Tables"`    // different slot tables at the end, where versions name the servers; they must be one
	Busy          float64        `json:"Busy"`      // part of the machine's cores that was in use, by whomever
	Void          bool           `json:"Void"`      // the machine stood still for longer than the lease: no figure means anything
	Failed        []string       `json:"Failed"`
	FalseDeaths   float64        `json:"Gone"`    // times that a sidecar took another for gone, over all
	Packets       float64        `json:"Packets"` // a second, one sidecar
	Bytes         float64        `json:"Bytes"`
	CPU           float64        `json:"CPU"`
	History       *judge.History `json:"-"`
	Begun         int64          `json:"-"`
	Marks         []Mark         `json:"-"`
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
	startTimeout    = 90 * time.Second
	convergeTimeout = 90 * time.Second
	tablesTimeout   = 4 * time.Second // for each to look at its own; far less than it takes a server's slots to be dealt away
	settleTime      = 500 * time.Millisecond
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
	if err := c.leased(ctx, startTimeout); err != nil || len(c.ended()) > 0 {
		return nil, errors.Join(fmt.Errorf("at the start: %w", err), errors.New(strings.Join(c.ended(), ", ")))
	}
	before := sumFigures(c.instances)
	r.Begun = int64(clock.BootTime())
	begin, idle := time.Now(), readCPU()
	c.ask()
	var changes sync.WaitGroup
	half := c.random.Perm(len(c.instances))
	for _, d := range s.Actions {
		c.await(ctx, begin, d)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		r.Marks = append(r.Marks, Mark{int64(clock.BootTime()), d.What + " " + strings.Join(append(append(d.Who, d.From...), d.RuleSet), " ")})
		c.do(ctx, d, half, r, &changes, begin)
		c.hearing()
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(s.Length - time.Since(begin)):
	}
	close(c.scriptEnded)
	changes.Wait()
	healed := time.Now()
	c.Links.Heal()
	c.hearing()
	r.Failed = append(r.Failed, c.ended()...)
	for _, p := range c.Processes {
		c.resume(p)
	}
	r.Marks = append(r.Marks, Mark{int64(clock.BootTime()), "all is healed"})
	if err := c.standing(); err != nil {
		return nil, err
	}
	if err := c.leased(ctx, convergeTimeout); err != nil && !s.Contradicts {
		r.Failed = append(r.Failed, "at the end: "+err.Error())
	}
	r.Converged = time.Since(healed).Seconds()
	time.Sleep(settleTime)
	if v := s.version(c); v != nil && v.Endpoints != nil {
		for end := time.Now().Add(tablesTimeout); time.Now().Before(end) && r.Tables != 1; time.Sleep(settleTime) {
			r.Tables = c.tables()
		}
		if r.Tables != 1 {
			r.Failed = append(r.Failed, fmt.Sprintf("sidecars go by %d tables", r.Tables))
		}
	}
	r.Busy = readCPU().since(idle)
	close(c.clientsEnded)
	c.requesting.Wait()
	after, share := sumFigures(c.instances), 1/time.Since(begin).Seconds()/float64(len(c.instances))
	r.FalseDeaths = after[3] - before[3]
	r.Packets, r.Bytes, r.CPU = (after[0]-before[0])*share, (after[1]-before[1])*share, (after[2]-before[2])*share
	h := &judge.History{Deadline: deadline, Slack: 250*time.Millisecond + late()}
	if err := errors.Join(c.meant(h), c.written(h)); err != nil {
		return nil, err
	}
	for _, p := range c.Processes {
		c.out(p, true)
	}
	h.Executions, h.ClientRequests, h.Down, h.Lists, h.Unnotified = c.executions, c.clientRequests, c.down, c.lists, c.unnotified
	r.History, r.Verdict = h, judge.Judge(h)
	r.OwnDelay, r.ClockLateness = c.Links.Overhead(99).Seconds(), late().Seconds()
	lease, _ := time.ParseDuration(s.Lease)
	r.Void = r.ClockLateness > lease.Seconds()
	r.spread(h)
	return r, nil
}

// cpuTimes are the times that all cores of the machine have spent, and of these the ones with nothing to do; proc(5), stat.
type cpuTimes struct{ all, idle float64 }

func readCPU() (c cpuTimes) {
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

func (c cpuTimes) since(before cpuTimes) float64 {
	if c.all <= before.all {
		return 0
	}
	return 1 - (c.idle-before.idle)/(c.all-before.all)
}

// ended tells of processes that have ended by themselves, with their last words.
func (c *Cluster) ended() (all []string) {
	for _, p := range c.Processes {
		if p.proc != nil && !p.Runs() && !p.diskFull {
			log, _ := os.ReadFile(p.Log)
			all = append(all, fmt.Sprintf("%s has ended by itself: %s", p.Name, log[max(0, len(log)-300):]))
		}
	}
	return all
}

// tables counts the different ones that sidecars hold, as each says of itself: what others know of it may be half a minute old.
func (c *Cluster) tables() int {
	all := map[string]bool{}
	for _, p := range c.instances {
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
func (s *Script) version(c *Cluster) *RuleSet {
	var name string
	c.upToDate.page("/_versions/"+strconv.Itoa(c.activeRevision), func(line string) {
		if text, is := strings.CutPrefix(line, "# "); is {
			name = text
		}
	})
	for i := range s.RuleSets {
		if s.RuleSets[i].Name == name {
			return &s.RuleSets[i]
		}
	}
	return nil
}

// keeper is one that knows who leads, or else one that runs.
func (c *Cluster) keeper() *Process {
	some := c.coordinators[0]
	for _, k := range c.coordinators {
		if !k.Runs() || k.stopped {
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
	for end := time.Now().Add(convergeTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		changing := 0
		for _, k := range c.coordinators {
			var inForce, coming, last int
			if !k.Runs() || k.page("/_versions", func(line string) {
				fmt.Sscanf(line, "in force %d, coming %d, last %d,", &inForce, &coming, &last)
			}) != nil || last < c.lastRevision {
				continue // one that has just been started may not have caught up
			}
			c.upToDate, c.activeRevision, c.lastRevision = k, inForce, last
			changing = coming - inForce
		}
		if c.upToDate != nil && changing == 0 {
			return nil
		}
	}
	return errors.New("the keepers do not answer, or a change is under way without end")
}

// leased waits until every sidecar has had a lease on the version in force.
func (c *Cluster) leased(ctx context.Context, within time.Duration) error {
	end := time.Now().Add(within)
	for _, p := range c.instances {
		for {
			f := p.Figures("pepperlead_rules_version", "pepperlead_rules_leased")
			if int(f[0]) == c.activeRevision && f[1] == 1 {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("%s goes by version %.0f, lease %.0f; in force is %d", p.Name, f[0], f[1], c.activeRevision)
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

// spread finds how long each change took to reach the sidecars that were there, and how long they had no lease.
func (r *Result) spread(h *judge.History) {
	for i := range r.Applied {
		a := &r.Applied[i]
		if a.Number == 0 || a.Failed != "" || strings.HasPrefix(a.Version, "withdraw") {
			continue
		}
		any, alone := map[string]int64{}, map[string]int64{}
		for _, one := range h.Changes {
			if !one.Leased || !slices.Contains(one.Revisions, a.Number) {
				continue
			}
			if at, is := any[one.Process]; !is || one.At < at {
				any[one.Process] = one.At
			}
			if at, is := alone[one.Process]; len(one.Revisions) == 1 && (!is || one.At < at) {
				alone[one.Process] = one.At
			}
		}
		from := r.Begun + int64(a.At*1e9)
		took := func(until map[string]int64) (all []float64) {
			for p, at := range until {
				if !slices.ContainsFunc(h.Down, func(d judge.Down) bool { return d.Process == p && d.To-int64(answerTimeout) > from && d.From < at }) {
					all = append(all, float64(at-from)/1e9)
				}
			}
			slices.Sort(all)
			return all
		}
		if t := took(any); len(t) > 0 {
			a.P50, a.P99, a.Max = t[len(t)/2], t[min(len(t)-1, len(t)*99/100)], t[len(t)-1]
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
