package faulttest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/internal/faulttest/judge"
)

const (
	startTimeout    = 90 * time.Second
	convergeTimeout = 90 * time.Second
	settleTime      = 500 * time.Millisecond
	judgeSlack      = 250 * time.Millisecond // for late responses, besides the lateness of the clock

	// tablesTimeout is how long the sidecars may take to have the same slot table. It is far shorter than the time
	// after which the slots of a lost endpoint are reassigned.
	tablesTimeout = 4 * time.Second

	// shownLogEnd is how many bytes at the end of its log are shown for a process that has exited unexpectedly.
	shownLogEnd = 300
)

// Play starts a cluster, carries out the script's actions, ends all faults, and judges the recorded history.
func Play(ctx context.Context, program, directory string, script *Script, seed uint64) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lateness := clockLateness(ctx)
	cluster, err := StartCluster(program, directory, script, seed)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	p := &player{
		Cluster:     cluster,
		result:      &Result{Seed: seed},
		lateness:    lateness,
		scriptEnded: make(chan struct{}),
	}
	if err := p.play(ctx); err != nil {
		return nil, err
	}
	return p.result, nil
}

// player plays a script on a cluster.
type player struct {
	*Cluster
	result      *Result
	lateness    func() time.Duration
	start       time.Time
	shuffled    []*Process     // the sidecars, in an order drawn from the seed
	background  sync.WaitGroup // actions that run concurrently with later ones
	scriptEnded chan struct{}  // closed when the script ends, to end lasting faults such as throttling
}

func (p *player) play(ctx context.Context) error {
	if err := p.waitForLeases(ctx, startTimeout); err != nil || len(p.unexpectedExits()) > 0 {
		return errors.Join(fmt.Errorf("at the start: %w", err), errors.New(strings.Join(p.unexpectedExits(), ", ")))
	}
	before := sumUsage(p.instances)
	p.result.StartedAt = int64(clock.BootTime())
	p.start = time.Now()
	cpuBefore := readCPU()
	p.startClients()
	if err := p.runActions(ctx); err != nil {
		return err
	}
	if err := p.heal(ctx); err != nil {
		return err
	}
	p.checkTables()
	p.result.Busy = readCPU().since(cpuBefore)
	p.stopClients()
	p.requesting.Wait()
	p.measureUsage(before)
	return p.judge()
}

// runActions carries out the script's actions, each when it is due, and waits for the end of the script.
func (p *player) runActions(ctx context.Context) error {
	for _, i := range p.random.Perm(len(p.instances)) {
		p.shuffled = append(p.shuffled, p.instances[i])
	}
	for _, action := range p.script.Actions {
		if err := p.waitFor(ctx, action); err != nil {
			return err
		}
		p.mark(action.description())
		p.do(ctx, action)
		p.noteUnnotified()
	}
	if err := sleep(ctx, p.script.Length-time.Since(p.start)); err != nil {
		return err
	}
	close(p.scriptEnded)
	p.background.Wait()
	return nil
}

// mark records an action for the report.
func (p *player) mark(what string) {
	p.result.Marks = append(p.result.Marks, Mark{At: int64(clock.BootTime()), Label: what})
}

// heal ends all faults and waits until the sidecars have converged.
func (p *player) heal(ctx context.Context) error {
	healed := time.Now()
	p.Links.Heal()
	p.noteUnnotified()
	for _, text := range p.unexpectedExits() {
		p.fail(text)
	}
	for _, process := range p.Processes {
		_ = p.resume(process) // a process that cannot be started gets no lease, which is found below
	}
	p.mark("all faults ended")
	if err := p.readRevisions(); err != nil {
		return err
	}
	if err := p.waitForLeases(ctx, convergeTimeout); err != nil && !p.script.Contradicts {
		p.fail("at the end: " + err.Error())
	}
	p.result.Converged = time.Since(healed).Seconds()
	time.Sleep(settleTime)
	return nil
}

// checkTables records a failure if the active rule set names the endpoints and the sidecars still have different slot
// tables after tablesTimeout.
func (p *player) checkTables() {
	active := p.activeRuleSet()
	if active == nil || active.Endpoints == nil {
		return
	}
	for end := time.Now().Add(tablesTimeout); time.Now().Before(end) && p.result.Tables != 1; time.Sleep(settleTime) {
		p.result.Tables = p.countTables()
	}
	if p.result.Tables != 1 {
		p.fail(fmt.Sprintf("sidecars have %d different slot tables", p.result.Tables))
	}
}

// measureUsage measures what one sidecar has sent and used on average, and adds up the departures that all counted.
func (p *player) measureUsage(before usage) {
	used := sumUsage(p.instances).since(before)
	share := 1 / time.Since(p.start).Seconds() / float64(len(p.instances))
	p.result.Departures = used.departures
	p.result.Packets = used.packets * share
	p.result.Bytes = used.bytes * share
	p.result.CPU = used.cpu * share
}

// judge collects the records and judges them.
func (p *player) judge() error {
	history := &judge.History{Deadline: deadline, Slack: judgeSlack + p.lateness()}
	if err := errors.Join(p.readRuleSets(history), p.readLogs(history)); err != nil {
		return err
	}
	for _, process := range p.Processes {
		p.noteUp(process)
	}
	history.Executions = p.executions
	history.ClientRequests = p.clientRequests
	history.DownIntervals = p.down
	history.Lists = p.lists
	history.UnnotifiedIntervals = p.unnotified
	p.result.History = history
	p.result.Verdict = judge.Judge(history)
	p.result.ProxyOverhead = p.Links.Overhead(overheadPercentile).Seconds()
	p.result.ClockLateness = p.lateness().Seconds()
	lease, _ := time.ParseDuration(p.script.Lease) // the coordinators would not have started with a bad one
	p.result.Void = p.result.ClockLateness > lease.Seconds()
	p.result.measureSpread(history)
	return nil
}

// unexpectedExits describes the processes that have exited without being killed or shut down, with the end of their
// logs.
func (c *Cluster) unexpectedExits() []string {
	var exits []string
	for _, process := range c.Processes {
		if process.exitedUnexpectedly() && !process.diskFull {
			log, _ := os.ReadFile(process.Log) // without the log the process is still named
			end := log[max(0, len(log)-shownLogEnd):]
			exits = append(exits, fmt.Sprintf("%s exited unexpectedly: %s", process.Name, end))
		}
	}
	return exits
}
