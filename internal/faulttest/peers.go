package faulttest

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pepperlead/internal/faultproxy"
)

// Step is one step of a test of peers, and how long it took until all remaining instances knew.
type Step struct {
	What          string  `json:"What"`
	Seconds       float64 `json:"Seconds"`
	Observers     int     `json:"Know"` // instances that had to know
	ExpectedAlive int     `json:"Of"`   // instances that they had to take for alive
}

// PeersResult is the result of a test of peers.
type PeersResult struct {
	Steps []Step `json:"Steps"`
	// Of one idle instance, the mean of all: sent in a second, and part of a core.
	Packets       float64 `json:"Packets"`
	Bytes         float64 `json:"Bytes"`
	CPU           float64 `json:"CPU"`
	FalseAlarms   float64 `json:"FalseAlarms"` // times that an instance was taken for gone while all were idle, over all
	ProxyOverhead float64 `json:"OwnDelay"`    // seconds that the fault proxy added itself, 99th percentile
	ClockLateness float64 `json:"LatestClock"` // seconds of the latest clock reading; no shorter time means anything
}

const (
	minPeers      = 5
	stepTimeout   = 90 * time.Second
	idleTime      = 10 * time.Second
	oneWayTime    = 3 * time.Second // that a link stays cut one way
	overheadLevel = 99              // percentile
)

// RunPeersTest kills, cuts and stalls, one after the other, among at least five instances, each time until all remaining ones
// know. The stage's strangers, if any, must stay alone.
func RunPeersTest(ctx context.Context, s *Stage, count int) (PeersResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lateness := clockLateness(ctx)
	if count < minPeers {
		return PeersResult{}, fmt.Errorf("drill: found %d processes, allowed 5 at least", count)
	}
	t := &peersTest{ctx: ctx, stage: s, all: s.Processes[:count]}
	t.expect("started at once", t.all, count)
	if err := t.idle(); err != nil {
		return t.result, err
	}
	t.blockOneWay()
	t.partition()
	t.stall()
	t.leaveAndRestart()
	t.checkStrangers(s.Processes[count:])
	t.result.ProxyOverhead = s.Links.Overhead(overheadLevel).Seconds()
	t.result.ClockLateness = lateness().Seconds()
	return t.result, t.err
}

// peersTest is the state of a test of peers.
type peersTest struct {
	ctx     context.Context
	stage   *Stage
	all     []*Process
	smaller []faultproxy.Node // the smaller part of the partition
	killed  *Process
	left    []*Process // all but the killed one
	result  PeersResult
	err     error // the first; later steps run, but nothing more is expected
}

func (t *peersTest) fail(err error) {
	if t.err == nil {
		t.err = err
	}
}

// expect waits until each process takes the given number of instances for alive.
func (t *peersTest) expect(what string, processes []*Process, want int) {
	if t.err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, stepTimeout)
	defer cancel()
	elapsed, err := t.stage.WaitForAliveCount(ctx, processes, want)
	if err != nil {
		t.err = fmt.Errorf("%s: %w", what, err)
	}
	step := Step{What: what, Seconds: elapsed.Seconds(), Observers: len(processes), ExpectedAlive: want}
	t.result.Steps = append(t.result.Steps, step)
}

// idle finds what the instances spend while nothing happens.
func (t *peersTest) idle() error {
	before := sumFigures(t.all)
	if err := sleep(t.ctx, idleTime); err != nil {
		return err
	}
	spent := sumFigures(t.all).since(before)
	share := 1 / idleTime.Seconds() / float64(len(t.all))
	t.result.Packets = spent.packets * share
	t.result.Bytes = spent.bytes * share
	t.result.CPU = spent.cpu * share
	t.result.FalseAlarms = spent.falseDeaths
	return nil
}

func (t *peersTest) blockOneWay() {
	link := faultproxy.Link{From: t.all[0].Name, To: t.all[1].Name}
	t.stage.Links.Set(link, faultproxy.Faults{Blocked: true})
	_ = sleep(t.ctx, oneWayTime) // a cancelled context fails the step below
	t.expect("one link cut one way: nobody is held to be gone", t.all, len(t.all))
	t.stage.Links.Heal()
}

// partition kills an instance and cuts the others into two parts.
func (t *peersTest) partition() {
	count := len(t.all)
	half := 2 * count / 5
	t.killed = t.all[half+1]
	t.killed.Kill()
	var larger []faultproxy.Node
	for i, process := range t.all {
		if i < half {
			t.smaller = append(t.smaller, process.Name)
		} else {
			larger = append(larger, process.Name)
		}
		if process != t.killed {
			t.left = append(t.left, process)
		}
	}
	t.stage.Links.Partition(t.smaller, larger)
	t.expect("one killed, the company cut in two: the smaller part", t.left[:half], half)
	t.expect("the larger part", t.left[half:], count-half-1)
	if t.lost(t.smaller, larger) == 0 || t.lost(larger, t.smaller) == 0 {
		t.fail(errors.New("one side has not tried to pass the cut"))
	}
	t.stage.Links.Heal()
	t.expect("healed", t.left, count-1)
}

func (t *peersTest) stall() {
	count := len(t.left)
	last := t.left[count-1]
	last.SetStalled(true)
	t.expect("one stands still", t.left[:count-1], count-1)
	last.SetStalled(false)
	t.expect("it goes on", t.left, count)
}

func (t *peersTest) leaveAndRestart() {
	count := len(t.left)
	if err := t.left[0].Leave(); err != nil {
		t.fail(err)
	}
	remaining := t.left[1:]
	t.expect("one has left", remaining, count-1)
	if err := t.killed.Start(); err != nil {
		t.fail(err)
	}
	t.expect("the killed one is back", append(remaining, t.killed), count)
}

// checkStrangers fails where a process of another cluster or key is not alone, or has not tried to join.
func (t *peersTest) checkStrangers(strangers []*Process) {
	connections := func(c faultproxy.Counters) uint64 { return c.Connections }
	for _, process := range strangers {
		alive := process.AliveCount()
		if alive != 1 || t.stage.sumCounters([]faultproxy.Node{process.Name}, t.smaller, connections) == 0 {
			t.fail(fmt.Errorf("stranger %s holds %d to be there, or has not tried", process.Name, alive))
		}
	}
}

// lost returns how many packets and connections from some nodes to others were lost.
func (t *peersTest) lost(from, to []faultproxy.Node) uint64 {
	return t.stage.sumCounters(from, to, func(c faultproxy.Counters) uint64 { return c.Lost })
}

// sumCounters adds up a counter over all links from some nodes to others.
func (s *Stage) sumCounters(from, to []faultproxy.Node, counter func(faultproxy.Counters) uint64) uint64 {
	sum := uint64(0)
	for _, source := range from {
		for _, target := range to {
			sum += counter(s.Links.Counters(faultproxy.Link{From: source, To: target}))
		}
	}
	return sum
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}
