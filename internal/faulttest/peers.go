package faulttest

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pepperlead/internal/faultproxy"
)

// Step is one step of a test of peers: what was done, and how long the remaining instances took to detect it.
type Step struct {
	Name          string  `json:"What"`
	Seconds       float64 `json:"Seconds"`
	Observers     int     `json:"Know"` // instances that had to detect it
	ExpectedAlive int     `json:"Of"`   // instances that each of them had to see alive
}

// PeersResult is the result of a test of peers.
type PeersResult struct {
	Steps []Step `json:"Steps"`
	// Packets, Bytes and CPU are what one idle instance used on average: packets and bytes sent per second, and a share
	// of a core.
	Packets       float64 `json:"Packets"`
	Bytes         float64 `json:"Bytes"`
	CPU           float64 `json:"CPU"`
	FalseAlarms   float64 `json:"FalseAlarms"` // times that an instance was declared dead while all were idle, in total
	ProxyOverhead float64 `json:"OwnDelay"`    // seconds that the fault proxy itself took, 99th percentile
	ClockLateness float64 `json:"LatestClock"` // longest delay of a clock reading, in seconds; shorter times are noise
}

const (
	minPeers           = 5
	stepTimeout        = 90 * time.Second
	idleTime           = 10 * time.Second
	oneWayTime         = 3 * time.Second // how long a link stays blocked in one direction
	overheadPercentile = 99
)

// RunPeersTest blocks links, kills, partitions, stalls and restarts among at least five instances, and waits after each
// fault until all remaining instances have detected it. The stage's strangers, if any, must not join the cluster.
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
	t.result.ProxyOverhead = s.Links.Overhead(overheadPercentile).Seconds()
	t.result.ClockLateness = lateness().Seconds()
	return t.result, t.err
}

// peersTest is the state of a test of peers.
type peersTest struct {
	ctx       context.Context
	stage     *Stage
	all       []*Process
	smaller   []faultproxy.Node // the smaller part of the partition
	killed    *Process
	survivors []*Process // all but the killed one
	result    PeersResult
	err       error // the first error; later steps still run, but are not checked
}

func (t *peersTest) fail(err error) {
	if t.err == nil {
		t.err = err
	}
}

// expect waits until each process sees the given number of instances alive, and records the step.
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
	step := Step{Name: what, Seconds: elapsed.Seconds(), Observers: len(processes), ExpectedAlive: want}
	t.result.Steps = append(t.result.Steps, step)
}

// idle measures what the instances use while nothing happens.
func (t *peersTest) idle() error {
	before := sumUsage(t.all)
	if err := sleep(t.ctx, idleTime); err != nil {
		return err
	}
	used := sumUsage(t.all).since(before)
	share := 1 / idleTime.Seconds() / float64(len(t.all))
	t.result.Packets = used.packets * share
	t.result.Bytes = used.bytes * share
	t.result.CPU = used.cpu * share
	t.result.FalseAlarms = used.departures
	return nil
}

// blockOneWay blocks a link in one direction, which must not cause any instance to be declared dead.
func (t *peersTest) blockOneWay() {
	link := faultproxy.Link{From: t.all[0].Name, To: t.all[1].Name}
	t.stage.Links.Set(link, faultproxy.Faults{Blocked: true})
	_ = sleep(t.ctx, oneWayTime) // a cancelled context fails the step below
	t.expect("one link cut one way: nobody is held to be gone", t.all, len(t.all))
	t.stage.Links.Heal()
}

// partition kills an instance, partitions the others and heals the partition.
func (t *peersTest) partition() {
	count := len(t.all)
	smallerCount := 2 * count / 5
	t.killed = t.all[smallerCount+1]
	t.killed.Kill()
	var larger []faultproxy.Node
	for i, process := range t.all {
		if i < smallerCount {
			t.smaller = append(t.smaller, process.Name)
		} else {
			larger = append(larger, process.Name)
		}
		if process != t.killed {
			t.survivors = append(t.survivors, process)
		}
	}
	t.stage.Links.Partition(t.smaller, larger)
	t.expect("one killed, the company cut in two: the smaller part", t.survivors[:smallerCount], smallerCount)
	t.expect("the larger part", t.survivors[smallerCount:], count-smallerCount-1)
	if t.lost(t.smaller, larger) == 0 || t.lost(larger, t.smaller) == 0 {
		t.fail(errors.New("one part has sent no packets to the other during the partition"))
	}
	t.stage.Links.Heal()
	t.expect("healed", t.survivors, count-1)
}

// stall stops an instance for a while.
func (t *peersTest) stall() {
	count := len(t.survivors)
	last := t.survivors[count-1]
	last.SetStalled(true)
	t.expect("one stands still", t.survivors[:count-1], count-1)
	last.SetStalled(false)
	t.expect("it goes on", t.survivors, count)
}

// leaveAndRestart shuts an instance down gracefully, and restarts the killed one.
func (t *peersTest) leaveAndRestart() {
	count := len(t.survivors)
	if err := t.survivors[0].Shutdown(); err != nil {
		t.fail(err)
	}
	remaining := t.survivors[1:]
	t.expect("one has left", remaining, count-1)
	if err := t.killed.Start(); err != nil {
		t.fail(err)
	}
	t.expect("the killed one is back", append(remaining, t.killed), count)
}

// checkStrangers fails the test if a process of another cluster or key sees other instances. It also fails
// if such a process has not tried to join, as it then proves nothing.
func (t *peersTest) checkStrangers(strangers []*Process) {
	connections := func(c faultproxy.Counters) uint64 { return c.Connections }
	for _, process := range strangers {
		alive := process.AliveCount()
		if alive != 1 || t.stage.sumCounters([]faultproxy.Node{process.Name}, t.smaller, connections) == 0 {
			t.fail(fmt.Errorf("stranger %s sees %d instances alive, or has not tried to join", process.Name, alive))
		}
	}
}

// lost returns how many packets from some nodes to others were lost.
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
