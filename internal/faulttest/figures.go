package faulttest

import (
	"context"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// usage holds the resources that a group of instances has used in total, and how many departures they counted.
type usage struct {
	packets    float64 // sent
	bytes      float64 // sent
	cpu        float64 // CPU time in seconds
	departures float64 // other members that left or were declared dead, counted by each
}

// sumUsage reads the usage of the processes and adds it up.
func sumUsage(processes []*Process) usage {
	var sum usage
	for _, process := range processes {
		values := process.Metrics(metricPacketsSent, metricBytesSent, metricCPUSeconds, metricDepartures)
		sum.packets += values[0]
		sum.bytes += values[1]
		sum.cpu += values[2]
		sum.departures += values[3]
	}
	return sum
}

// since returns the difference to an earlier reading.
func (u usage) since(before usage) usage {
	return usage{
		packets:    u.packets - before.packets,
		bytes:      u.bytes - before.bytes,
		cpu:        u.cpu - before.cpu,
		departures: u.departures - before.departures,
	}
}

// clockInterval is the time between two readings of the clock.
const clockInterval = 5 * time.Millisecond

// clockLateness reads the clock at intervals until the context ends. The returned function reports the longest delay of
// a reading so far. Where hundreds of processes share few cores, a delay of this length may come from the scheduler and
// not from the program under test.
func clockLateness(ctx context.Context) func() time.Duration {
	var worst atomic.Int64
	go func() {
		for ctx.Err() == nil {
			start := time.Now()
			time.Sleep(clockInterval)
			worst.Store(max(worst.Load(), int64(time.Since(start)-clockInterval)))
		}
	}()
	return func() time.Duration { return time.Duration(worst.Load()) }
}

// cpuTimes holds the total time of the machine's cores and the part of it in which they were idle.
type cpuTimes struct {
	all  float64
	idle float64
}

// Columns of the first line of /proc/stat, see proc(5). Column 0 is the word "cpu"; the guest times that follow
// steal are already included in the user time.
const (
	statIdle   = 4
	statIOWait = 5
	statSteal  = 8
)

// readCPU reads the CPU times since the machine started.
func readCPU() cpuTimes {
	var times cpuTimes
	text, _ := os.ReadFile("/proc/stat") // without the file no share is known, and since returns 0
	line, _, _ := strings.Cut(string(text), "\n")
	for i, field := range strings.Fields(line) {
		value, err := strconv.ParseFloat(field, 64)
		if err != nil || i > statSteal {
			continue
		}
		times.all += value
		if i == statIdle || i == statIOWait {
			times.idle += value
		}
	}
	return times
}

// since returns the share of the cores that was in use since an earlier reading.
func (c cpuTimes) since(before cpuTimes) float64 {
	if c.all <= before.all {
		return 0
	}
	return 1 - (c.idle-before.idle)/(c.all-before.all)
}
