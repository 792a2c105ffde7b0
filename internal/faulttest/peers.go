package faulttest

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"pepperlead/internal/faultproxy"
)

// Step is what was done in a drill, and how long it took until all that are left knew.
type Step struct {
	What    string  `json:"What"`
	Seconds float64 `json:"Seconds"`
	Know    int     `json:"Know"` // sidecars that had to know
	Of      int     `json:"Of"`   // sidecars that they had to hold to be there
}

// PeersResult is what a drill of peers showed.
type PeersResult struct {
	Steps []Step `json:"Steps"`
	// Of one idle sidecar, the mean of all: sent in a second, and part of a core.
	Packets     float64 `json:"Packets"`
	Bytes       float64 `json:"Bytes"`
	CPU         float64 `json:"CPU"`
	FalseAlarms float64 `json:"FalseAlarms"` // counted gone while nothing was done, over all
	OwnDelay    float64 `json:"OwnDelay"`    // seconds that a relay took for itself, 99th percentile
	LatestClock float64 `json:"LatestClock"` // seconds by which the latest look at the clock came late: above this no figure means anything
}

const (
	stepTimeout = 90 * time.Second
	idleTime    = 10 * time.Second
)

// Peers kills, cuts and stalls, one after the other, in a company of at least five, each time until all that are left know. The stage's
// strangers, if any, must stay alone.
func Peers(ctx context.Context, s *Stage, count int) (c PeersResult, err error) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	late := clockLateness(ctx)
	all, strangers := s.Processes[:count], s.Processes[count:]
	if count < 5 {
		return c, fmt.Errorf("drill: found %d processes, allowed 5 at least", count)
	}
	know := func(what string, some []*Process, many int) {
		if err != nil {
			return
		}
		within, done := context.WithTimeout(ctx, stepTimeout)
		defer done()
		took, fault := s.Until(within, some, many)
		if fault != nil {
			err = fmt.Errorf("%s: %w", what, fault)
		}
		c.Steps = append(c.Steps, Step{what, took.Seconds(), len(some), many})
	}
	know("started at once", all, count)
	before := sumFigures(all)
	select {
	case <-ctx.Done():
		return c, ctx.Err()
	case <-time.After(idleTime):
	}
	after, share := sumFigures(all), 1/idleTime.Seconds()/float64(count)
	c.Packets, c.Bytes, c.CPU, c.FalseAlarms = (after[0]-before[0])*share, (after[1]-before[1])*share, (after[2]-before[2])*share, after[3]-before[3]

	one := faultproxy.Link{From: all[0].Name, To: all[1].Name}
	s.Links.Set(one, faultproxy.Faults{Blocked: true})
	select {
	case <-ctx.Done():
	case <-time.After(3 * time.Second):
	}
	know("one link cut one way: nobody is held to be gone", all, count)
	s.Links.Heal()

	half := 2 * count / 5
	all[half+1].Kill()
	var some, others []faultproxy.Node
	for i, p := range all {
		if i < half {
			some = append(some, p.Name)
		} else {
			others = append(others, p.Name)
		}
	}
	s.Links.Partition(some, others)
	left := append(append([]*Process{}, all[:half+1]...), all[half+2:]...)
	know("one killed, the company cut in two: the smaller part", left[:half], half)
	know("the larger part", left[half:], count-half-1)
	lost := func(c faultproxy.Counters) uint64 { return c.Lost }
	if err == nil && (s.count(some, others, lost) == 0 || s.count(others, some, lost) == 0) {
		err = fmt.Errorf("one side has not tried to pass the cut")
	}
	s.Links.Heal()
	know("healed", left, count-1)
	last := left[len(left)-1]
	last.Stall(true)
	know("one stands still", left[:len(left)-1], count-2)
	last.Stall(false)
	know("it goes on", left, count-1)
	if fault := left[0].Leave(); err == nil && fault != nil {
		err = fault
	}
	know("one has left", left[1:], count-2)
	if fault := all[half+1].Start(); err == nil && fault != nil {
		err = fault
	}
	know("the killed one is back", append(left[1:], all[half+1]), count-1)
	for _, p := range strangers {
		if n := p.Alive(); err == nil && (n != 1 || s.count([]faultproxy.Node{p.Name}, some, func(c faultproxy.Counters) uint64 { return c.Connections }) == 0) {
			err = fmt.Errorf("stranger %s holds %d to be there, or has not tried", p.Name, n)
		}
	}
	c.OwnDelay, c.LatestClock = s.Links.Overhead(99).Seconds(), late().Seconds()
	return c, err
}

// count adds up what was tried from some to others.
func (s *Stage) count(some, others []faultproxy.Node, of func(faultproxy.Counters) uint64) (n uint64) {
	for _, a := range some {
		for _, b := range others {
			n += of(s.Links.Counters(faultproxy.Link{From: a, To: b}))
		}
	}
	return n
}

func sumFigures(all []*Process) (sum [4]float64) {
	for _, p := range all {
		for i, value := range p.Figures("pepperlead_peers_packets_sent_total", "pepperlead_peers_bytes_sent_total", "process_cpu_seconds_total",
			"pepperlead_peers_gone_total") {
			sum[i] += value
		}
	}
	return sum
}

// clockLateness does nothing but look at the clock: where hundreds of processes share few cores, the scheduler's delay looks like a stall.
func clockLateness(ctx context.Context) (latest func() time.Duration) {
	var worst atomic.Int64
	go func() {
		for ctx.Err() == nil {
			start := time.Now()
			time.Sleep(5 * time.Millisecond)
			worst.Store(max(worst.Load(), int64(time.Since(start)-5*time.Millisecond)))
		}
	}()
	return func() time.Duration { return time.Duration(worst.Load()) }
}
